package capacity

import (
	"encoding/json"
	"fmt"
	"strconv"

	"pewterrudder/internal/config"
)

// installation is what a balancer is told: so many of each thing, named by their numbers.
type installation struct {
	nodes, pools, routes, tenants int
	memoryMB                      int
	discovery                     string
	catalog                       *store
}

// store is where settings come from by entries.
type store struct {
	Addresses []string `json:"addresses"`
	Prefix    string   `json:"prefix"`
}

type object = map[string]any

// limits of a machine with so many descriptors and no second address.
func limits(sockets int) config.Limits { return config.Limits{Sockets: sockets} }

// tenant has a quota that hangs on the turn, so that each reload changes something.
func tenant(i, turn int) object {
	return object{"name": "tenant-" + strconv.Itoa(i), "quota_per_s": 10 + float64((i+turn)%7), "share": 0.001}
}

// route leads to one pool; the turn moves the first.
func (n installation) route(i, turn int) config.Route {
	to := i
	if i == 0 && n.routes > n.pools { // the pool that it leaves has another route
		to = turn
	}
	return config.Route{Name: "route-" + strconv.Itoa(i), Host: fmt.Sprintf("h%d.example.net", i/8), Path: fmt.Sprintf("/service-%d/part", i%8),
		Pool: poolName(to % n.pools)}
}

func poolName(i int) string { return "pool-" + strconv.Itoa(i) }

// pool holds the app nodes of one kind. The first is for all calls that no route matches.
func pool(i int) config.Pool {
	return config.Pool{Name: poolName(i), Default: i == 0, Members: config.Members{Kinds: []string{kindOf(i)}}}
}

func kindOf(pool int) string { return "k" + strconv.Itoa(pool) }

// config is the configuration file's text, for a balancer that listens there.
func (n installation) config(listen string, turn int) []byte {
	var tenants []object
	for i := range n.tenants {
		tenants = append(tenants, tenant(i, turn))
	}
	text, err := json.Marshal(object{"name": "capacity", "listen": listen, "discovery": n.discovery, "seed": "8c1f",
		"limits": object{"cores": 1, "memory_mb": n.memoryMB, "sockets": defaultSockets},
		"settings": object{"balancers": Coming.Balancers, "zone": zoneName(0), "discovery": "push", "weights": "nominal", "worth_by": "work",
			"prices": object{}, "tenants": tenants,
			"categories": []object{{"name": "bulk", "semantics": "safe", "dedup_scope": "all", "aim_ms": 100, "deadline_ms": 1000, "importance": 1}},
			"limits": object{"cancel": true, "max_attempts": 3, "connect_timeout_ms": 75, "idle_close_ms": 1000 * idleClose, "streams_per_conn": 1,
				"retry_after": true, "max_retry_after_ms": 500},
			"rules": object{"grace_to_answer_ms": 58, "drain_grace_ms": 2000, "ask_every_ms": 10000, "cold_from": 0.2, "cold_ms": 20000,
				"overload_factor": 3, "fall_ms": 2000},
			"stats": object{"how": "inline", "columns": []string{"utilization", "backlog"}}}})
	if err != nil {
		panic(err) // no value above is one that JSON lacks
	}
	return text
}

// settings is the settings file's text; nothing where it would hold nothing.
func (n installation) settings(turn int) []byte {
	all := object{}
	if n.pools > 0 {
		var pools []config.Pool
		var routes []config.Route
		for i := range n.pools {
			pools = append(pools, pool(i))
		}
		for i := range n.routes {
			routes = append(routes, n.route(i, turn))
		}
		all["pools"], all["routes"] = pools, routes
	}
	if n.catalog != nil {
		all["catalog"] = n.catalog
	}
	if len(all) == 0 {
		return nil
	}
	text, err := json.Marshal(all)
	if err != nil {
		panic(err) // as above
	}
	return text
}

func zoneName(i int) string { return "zone-" + strconv.Itoa(i%Coming.Zones) }

// entry of discovery's list. No call comes to its address. The kind says its pool.
func entry(i, pools int, draining bool) []byte {
	phase := "Ready"
	if draining {
		phase = "Terminating"
	}
	return fmt.Appendf(nil, `{"id":"s-%08x","host_port":"127.%d.%d.%d:5000","locality":"%s","flavor":"%s","cell":%d,"phase":"%s","size":1.0,"up_since_ms":0}`,
		i*2654435761, 1+i>>16, i>>8&255, i&255, zoneName(i), kindOf(i%max(1, pools)), i%10, phase)
}
