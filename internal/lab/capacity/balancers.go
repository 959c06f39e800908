package capacity

import (
	"context"
	"fmt"
	"time"

	"pewterrudder/internal/routes"
)

// The sizes that are run. The largest are the coming ones, so that no line has to reach beyond its points there.
var (
	listSizes   = []int{2000, 13_000, 26_000}
	burstSizes  = []int{100, 1000, 2900}
	changeSizes = []int{10, 20, 40}
	routeSizes  = []int{60, 5000, 10_000}
	poolSizes   = []int{1, 16, 60, 550}
	tenantSizes = []int{0, 100_000, 300_000}
	// fewPools are what routes are measured with: as many as today's program takes, nearly.
	fewPools = 60
)

// restless is the share of a core at rest from which a reload's time is not told apart from the rest's.
const restless = 0.3

func (o *Options) balancer(nodes int, n installation) (b *balancer, d *listing, end func(), err error) {
	if d, err = newListing(nodes, n.pools); err != nil {
		return nil, nil, nil, err
	}
	n.nodes, n.discovery = nodes, d.address()
	if b, err = start(o.Balancer, n); err != nil {
		d.close()
		return nil, nil, nil, err
	}
	return b, d, func() { b.Stop(); d.close() }, nil
}

// measureList has discovery tell lists to one process each.
func measureList(ctx context.Context, o *Options, _ *Results) ([]*Slope, error) {
	const x = "app nodes"
	memory := &Slope{Name: "list.memory", What: "the most resident once the list is taken up", X: x, Unit: "MB"}
	started := &Slope{Name: "list.start_cpu", What: "processor time of the start", X: x, Unit: "ms"}
	idle := &Slope{Name: "list.idle", What: "processor time at rest", X: x, Unit: "ms/s"}
	again := &Slope{Name: "list.whole_cpu", What: "the whole list told anew, nothing else", X: x, Unit: "ms"}
	peak := &Slope{Name: "list.whole_peak", What: "the most resident while it is taken up", X: x, Unit: "MB"}
	bytes := &Slope{Name: "list.bytes", What: "a line of discovery's, as a chunk", X: "entries", Unit: "B"}
	single := &Slope{Name: "list.change_cpu", What: "changes of one entry each", X: "changes", Unit: "us"}
	burst := &Slope{Name: "list.burst_cpu", What: "one line with so many changes", X: "entries", Unit: "ms"}
	all := []*Slope{memory, started, idle, again, peak, bytes, single, burst}
	for _, n := range listSizes {
		if err := ctx.Err(); err != nil {
			return all, err
		}
		err := func() error {
			b, d, end, err := o.balancer(n, installation{})
			if err != nil {
				return err
			}
			defer end()
			x := float64(n)
			took, most, err := b.soFar()
			if err != nil {
				return err
			}
			started.add(x, ms(took))
			idle.add(x, msPerSecond(b.rest))
			memory.add(x, most)
			bytes.add(x, float64(d.whole))
			if err := b.ForgetPeak(); err != nil {
				return err
			}
			if took, err = b.spent(func() error { d.again(); return nil }); err != nil {
				return err
			}
			again.add(x, ms(took))
			if most, err = b.peak(); err != nil {
				return err
			}
			peak.add(x, most)
			if n != listSizes[len(listSizes)-1] {
				return nil
			}
			for _, changes := range changeSizes {
				if took, err = b.spent(func() error {
					for i := range changes {
						one, _ := d.change(i, i+1, true)
						if i == 0 && changes == changeSizes[0] {
							bytes.add(1, float64(one))
						}
						time.Sleep(2 * time.Millisecond) // they come one by one
					}
					return nil
				}); err != nil {
					return err
				}
				single.add(float64(changes), us(took))
				d.change(0, changes, false)
				if err := b.settle(); err != nil {
					return err
				}
			}
			for _, entries := range burstSizes {
				line := 0
				if took, err = b.spent(func() error { line, _ = d.change(0, entries, true); return nil }); err != nil {
					return err
				}
				burst.add(float64(entries), ms(took))
				bytes.add(float64(entries), float64(line))
				d.change(0, entries, false)
				if err := b.settle(); err != nil {
					return err
				}
			}
			return nil
		}()
		if err != nil {
			return all, err
		}
	}
	return all, nil
}

// figures of processes that start with something, and reload.
type figures struct{ memory, started, idle, reload, peak, after *Slope }

func newFigures(name, x, changed string) figures {
	return figures{memory: &Slope{Name: name + ".memory", What: "the most resident after a start", X: x, Unit: "MB"},
		started: &Slope{Name: name + ".start_cpu", What: "processor time of the start", X: x, Unit: "ms"},
		idle:    &Slope{Name: name + ".idle", What: "processor time at rest", X: x, Unit: "ms/s"},
		reload: &Slope{Name: name + ".reload_cpu", What: "a reload with " + changed + " changed, until the process rests, or of the " + quietMost.String() + " from it on",
			X: x, Unit: "ms"},
		peak:  &Slope{Name: name + ".reload_peak", What: "the most resident in a reload", X: x, Unit: "MB"},
		after: &Slope{Name: name + ".idle_after", What: "processor time at rest after a reload", X: x, Unit: "ms/s"}}
}

func (f figures) slopes() []*Slope {
	return []*Slope{f.memory, f.started, f.idle, f.reload, f.peak, f.after}
}

// measure one process.
func (f figures) measure(o *Options, nodes int, n installation, x float64) error {
	b, _, end, err := o.balancer(nodes, n)
	if err != nil {
		return err
	}
	defer end()
	took, most, err := b.soFar()
	if err != nil {
		return err
	}
	f.memory.add(x, most)
	f.started.add(x, ms(took))
	f.idle.add(x, msPerSecond(b.rest))
	took, most, rest, err := b.reload()
	if err != nil {
		return err
	}
	if b.rest < restless {
		f.reload.add(x, ms(took))
	} else {
		f.reload.Refused = "it never rests, and the reload is not told apart from that"
	}
	f.peak.add(x, most)
	f.after.add(x, msPerSecond(rest))
	return nil
}

// measureSettings starts a process with so many of one thing each, and has it reload with one of them changed.
func measureSettings(ctx context.Context, o *Options, r *Results) ([]*Slope, error) {
	var all []*Slope
	for _, k := range []struct {
		name  string
		sizes []int
		nodes int
		at    func(n int) installation
	}{
		{"routes", routeSizes, fewPools, func(n int) installation { return installation{pools: fewPools, routes: n} }},
		{"pools", poolSizes, o.Site.Nodes, func(n int) installation { return installation{pools: n, routes: 2 * n} }},
		{"tenants", tenantSizes, 1, func(n int) installation { return installation{tenants: n} }},
	} {
		f := newFigures(k.name, k.name, "one")
		own := f.slopes()
		all = append(all, own...)
		probe := Probe{Name: k.name, Taken: true}
		for _, n := range k.sizes {
			if err := ctx.Err(); err != nil {
				return all, err
			}
			if err := f.measure(o, k.nodes, k.at(n), float64(n)); err != nil { // the program does not take so many: the next ones neither
				probe.Taken, probe.Why = false, refusal(err)
				for _, s := range own {
					s.Refused = fmt.Sprintf("%d %s: %s", n, k.name, probe.Why)
				}
				break
			}
		}
		r.Probes = append(r.Probes, probe)
	}
	match, err := measureMatch()
	return append(all, match), err
}

// matches are calls that are looked up for one figure.
const matches = 200_000

// measureMatch looks calls up in tables of routes.
func measureMatch() (*Slope, error) {
	s := &Slope{Name: "routes.match", What: "a call's route found", X: "routes", Unit: "ns"}
	var pools []string
	for i := range fewPools {
		pools = append(pools, poolName(i))
	}
	for _, n := range routeSizes {
		var rules []routes.Rule
		var hosts, paths []string
		for i := range n {
			r := installation{pools: fewPools, routes: n}.route(i, 0)
			rules = append(rules, routes.Rule{Name: r.Name, Host: r.Host, Prefix: r.Path, Shares: []routes.Share{{Pool: r.Pool, Weight: 1}}})
			hosts, paths = append(hosts, r.Host), append(paths, r.Path+"/some/thing")
		}
		table, err := routes.Compile(rules, pools, nil)
		if err != nil {
			return s, err
		}
		began := time.Now()
		for i := range matches {
			k := i * 7919 % n
			if table.Match(hosts[k], paths[k], "GET", "bulk") == routes.None {
				return s, fmt.Errorf("%s%s has no route", hosts[k], paths[k])
			}
		}
		s.add(float64(n), float64(time.Since(began).Nanoseconds())/matches)
	}
	return s, nil
}
