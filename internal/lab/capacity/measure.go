package capacity

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"
)

// Options of a measurement.
type Options struct {
	Balancer string // the program
	Only     string // a role; empty: all
	Site     Site
	Say      func(text string) // what is under way, and what failed
}

// group is what is measured together.
type group struct {
	name    string
	measure func(ctx context.Context, o *Options, r *Results) ([]*Slope, error)
}

// all measures, in the page's order.
var all = []group{{"list", measureList}, {"settings", measureSettings}, {"catalog", measureCatalog},
	{"calls", measureCalls}, {"subset", measureSubset}, {"discovery", measureDiscovery}, {"source", measureSource}, {"peers", measurePeers}}

// Measure runs the measures that a role stands on. One that fails says so on the page, in its slopes' place.
func Measure(ctx context.Context, o Options) (*Results, error) {
	began := time.Now()
	r := &Results{Machine: machine(), Only: o.Only}
	for _, g := range all {
		if o.Only != "" && !Needs(o.Only, g.name) {
			continue
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		from := time.Now()
		slopes, err := g.measure(ctx, &o, r)
		for _, s := range slopes {
			s.Group = g.name
		}
		if err != nil {
			o.Say(fmt.Sprintf("%s: %v", g.name, err))
			slopes = append(slopes, &Slope{Name: g.name, Group: g.name, What: "failed", Unit: "nothing", X: "nothing", Refused: refusal(err)})
		}
		r.add(slopes...)
		o.Say(fmt.Sprintf("%s: %v", g.name, time.Since(from).Round(100*time.Millisecond)))
	}
	r.Took = time.Since(began)
	return r, nil
}

// machine that we are on, without its name.
func machine() Machine {
	m := Machine{CPU: runtime.GOARCH, Used: runtime.NumCPU(), Go: runtime.Version()}
	raw, _ := os.ReadFile("/proc/cpuinfo") // where there is none, the kind is all that is known
	clock := ""
	for _, line := range strings.Split(string(raw), "\n") {
		key, value, _ := strings.Cut(line, ":")
		switch strings.TrimSpace(key) {
		case "processor":
			m.Cores++
		case "model name":
			m.CPU = strings.TrimSpace(value)
		case "cpu MHz":
			if clock == "" {
				clock = strings.TrimSpace(value)
			}
		}
	}
	if clock != "" {
		m.CPU += ", " + clock + " MHz"
	}
	if load, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.Load, _, _ = strings.Cut(string(load), " ")
	}
	return m
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// share of a core as milliseconds a second.
func msPerSecond(share float64) float64 { return 1000 * share }

// heap is what is reachable, in bytes.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the first leaves what finalizers and pools hold
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
