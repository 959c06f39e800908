// Package hollow owns scale tests with hollow balancers: many of them in one process, each with the real settings code,
// decoder, registry client and reducer, and with nobody's calls. Of each scene it says how long a change takes until the
// last balancer has it, what that costs a balancer in bytes and CPU, and what the source has to give.
//
// Two forms are played, since 3,000 whole states do not fit one machine. On sockets all balancers watch one source over
// loopback at once; a part of them holds the whole list, the rest a tenth of it (sockets.go). In virtual time each balancer
// holds the whole list, some of them at a time, and the same timeline feeds them all (virtual.go). A result names its
// form, and how many balancers held how much: a sample must never be told as the whole.
//
// What a hollow balancer lacks: clients, connections to app nodes, the acceptor and the delegation. It must never be
// linked into the balancer's program, nor reach for more of the machine than a process may by itself.
package hollow

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
)

// The size that is coming, and what a balancer's control work may take of it.
const (
	Balancers = 3000
	AppNodes  = 26_000
	Zones     = 9
	Changes   = 2600 // of the configuration in a day: one in 33 s

	InForce     = 4 * time.Second // a change is in force everywhere
	ChangeCPU   = 5 * time.Millisecond
	CoreShare   = 0.019
	MemoryMB    = 64.0
	BytesSecond = 4096.0
)

// clockStart keeps a balancer's clock away from 0, as cmd/pewterrudder does.
const clockStart = 24 * time.Hour

// zoneNames are the zones of the three regions.
func zoneName(i int) string { return "region-" + strconv.Itoa(i/3+1) + string(rune('a'+i%3)) }

// site is what a balancer is told of its installation.
const site = `{"name":"hollow-%d","listen":"127.0.0.1:0","discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":64,"sockets":1024},
"settings":{"balancers":%d,"zone":%q,"discovery":"ask","weights":"nominal",
"categories":[{"name":"look","semantics":"safe","aim_ms":150,"deadline_ms":600,"importance":1},
{"name":"order","semantics":"keyed","dedup_scope":"zone","window_ms":1000,"aim_ms":300,"deadline_ms":1000,"importance":5}],
"limits":{"max_attempts":4,"connect_timeout_ms":75,"idle_close_ms":60000,"retry_after":true,"max_retry_after_ms":500},
"rules":{"ask_every_ms":10000,"drain_grace_ms":2000},"stats":{"how":"inline","columns":["utilization","backlog"]}}}`

func file(folder string, index int) string { return filepath.Join(folder, strconv.Itoa(index)+".json") }

// services is the file of an installation's own settings, one for all balancers of a play.
func services(folder string) string { return filepath.Join(folder, "services.json") }

// divide writes pools of one kind of app node each, with a route to each of them; one pool is an installation that names none.
func divide(folder string, pools int) error {
	if pools < 2 {
		return nil
	}
	all, routes := make([]string, pools), make([]string, pools)
	for i := range all {
		routes[i] = fmt.Sprintf(`{"name":"route-%d","host":"shop-%d.yard.example","pool":"pool-%d"}`, i, i, i)
		all[i] = fmt.Sprintf(`{"name":"pool-%d","default":%v,"members":{"kinds":["m%d"]}}`, i, i == 0, i)
	}
	return os.WriteFile(services(folder), []byte(`{"pools":[`+strings.Join(all, ",")+`],"routes":[`+strings.Join(routes, ",")+`]}`), 0o600)
}

// configure has a balancer's configuration read and checked by the real code, from files in a folder.
func configure(folder string, index, of int, discovery string) (*config.Config, error) {
	path := file(folder, index)
	text := fmt.Sprintf(site, index, discovery, index+1, of, zoneName(index%Zones))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return config.Load(func(name string) string {
		switch name {
		case "RELAY_CONFIG":
			return path
		case config.SettingsVariable:
			if _, err := os.Stat(services(folder)); err == nil {
				return services(folder)
			}
		}
		return ""
	})
}

// state makes the reducer of a configuration, as cmd/pewterrudder does.
func state(cfg *config.Config) (*reducer.Reducer, error) {
	_, _, budget := cfg.Limits.Budget()
	var l reducer.Layout
	pools := cfg.Service.PoolsInForce()
	for i := range pools {
		l.Pools = append(l.Pools, reducer.PoolSpec{Name: pools[i].Name, Selector: pools[i].Members.Selector(), MaxOpen: pools[i].MaxOpen})
	}
	return reducer.NewLaid(cfg.Brain, cfg.Prng, budget, l)
}
