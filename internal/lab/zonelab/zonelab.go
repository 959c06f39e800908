// Package zonelab owns the experiments on lost zones: it runs scenarios in which a zone goes and comes back, in virtual
// time, with several ways of choosing a zone, and puts what clients got, and what the returning app nodes were sent,
// into one table. It must never decide where a call goes other than through the policies that it compares.
package zonelab

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/sockets"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/zones"
)

// Scenarios are those of the comparison.
var Scenarios = []string{"zone-dark", "zone-cut-unlisted", "zone-flap", "zone-return-cold", "zone-half", "zone-cut-full"}

// Policies: all have the module choose the app node; they differ in the zones that it may choose from.
var Policies = []string{"no zones", "listed", "zones"}

// near says which zone with app nodes a zone without them lies by.
var near = map[string]string{"hill": "north", "mill": "south", "dock": "south"}

// Row is one policy in one scenario, over all seeds: means, but for the peaks and Back, which are the worst.
type Row struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seeds    int     `json:"seeds"`
	Goodput  float64 `json:"goodput"`
	Calm     float64 `json:"calm"`      // goodput before the zone goes
	Dark     float64 `json:"dark"`      // while it is gone, or comes and goes
	Best     float64 `json:"dark_best"` // what the other zone could carry then at best, by worth
	Of       float64 `json:"dark_of_best"`
	OfLate   float64 `json:"dark_of_best_after_3s"` // the same from 3 s on: clients' front has then seen what it can
	Least    float64 `json:"least_of_best"`         // the worst seed's
	Back     float64 `json:"back_s"`                // from the return until goodput is within 0.02 of Calm; the worst seed's
	BackMean float64 `json:"back_mean_s"`
	NotBack  int     `json:"not_back"`      // seeds in which that took more than a minute
	Peak     float64 `json:"peak_pressure"` // of the returning app nodes after the return, once warm
	PeakMean float64 `json:"peak_pressure_mean"`
	Cold     float64 `json:"peak_cold"`  // of those that warm, over what their rule allows
	Other    float64 `json:"peak_other"` // of the other zone's app nodes, while the first is gone
	Rest     float64 `json:"rest"`       // goodput, while it is gone, of what has nothing to do with it: of other pools
	Part     float64 `json:"part"`       // and of what is the lost pool's
	Broken   uint64  `json:"broken"`     // rules
	Attempts float64 `json:"attempts"`   // for each call
}

// Run runs a scenario with a policy for seeds 1 to so many.
func Run(name, policy string, seeds int) (*Row, error) {
	sum := &Row{Scenario: name, Policy: policy, Seeds: seeds, Least: 1}
	rows, errs := make([]*Row, seeds), make([]error, seeds)
	var wait sync.WaitGroup
	turn := make(chan struct{}, runtime.GOMAXPROCS(0)) // runs share nothing
	for i := range seeds {
		wait.Go(func() {
			turn <- struct{}{}
			rows[i], errs[i] = runOne(name, policy, uint64(i+1))
			<-turn
		})
	}
	wait.Wait()
	for i, r := range rows {
		if errs[i] != nil {
			return nil, fmt.Errorf("%s, %s, seed %d: %w", name, policy, i+1, errs[i])
		}
		n := float64(seeds)
		sum.Goodput += r.Goodput / n
		sum.Calm += r.Calm / n
		sum.Dark += r.Dark / n
		sum.Best += r.Best / n
		sum.Of += r.Of / n
		sum.OfLate += r.OfLate / n
		sum.Attempts += r.Attempts / n
		sum.Rest += r.Rest / n
		sum.Part += r.Part / n
		sum.BackMean += r.Back / n
		sum.PeakMean += r.Peak / n
		sum.Least = min(sum.Least, r.Of)
		sum.Back, sum.Peak, sum.Cold, sum.Other = max(sum.Back, r.Back), max(sum.Peak, r.Peak), max(sum.Cold, r.Cold), max(sum.Other, r.Other)
		sum.Broken += r.Broken
		if r.Back > 60 {
			sum.NotBack++
		}
	}
	return sum, nil
}

func runOne(name, policy string, seed uint64) (*Row, error) {
	sc, err := scenario.Load(name)
	if err != nil {
		return nil, err
	}
	v, err := newView(sc)
	if err != nil {
		return nil, err
	}
	opt := virtual.Options{Seed: seed, Recorder: v, Sample: sliceWidth, Log: v}
	switch policy {
	case "no zones":
	case "one pool", "pools":
		of, layout, err := divided(sc)
		if err != nil {
			return nil, err
		}
		v.lost = func(op *world.Op) bool { return of(op) > 0 }
		if policy == "pools" {
			opt.Layout = layout
		}
	case "listed":
		opt.Policy = func(cfg brain.Settings, seed uint64) (brain.Decider, error) {
			d, err := brain.New(cfg, seed)
			return newListed(d, ownOf(cfg.Zone), cfg.Classes), err
		}
	case "zones":
		opt.Layout = func(cfg brain.Settings) (reducer.Layout, error) { return layout(sc, cfg), nil }
	default:
		return nil, errors.New("no policy of that name")
	}
	rec, err := virtual.Run(sc, opt)
	if err != nil {
		return nil, err
	}
	row := v.row(rec)
	row.Scenario, row.Policy, row.Seeds = name, policy, 1
	return row, nil
}

// OnSockets runs one seed of a scenario against real processes: without zones, or with them in their settings file. A run
// that this machine was too busy for gives the reason with the row.
func OnSockets(ctx context.Context, name, policy, balancer string, seed uint64) (row *Row, void string, err error) {
	sc, err := scenario.Load(name)
	if err != nil {
		return nil, "", err
	}
	v, err := newView(sc)
	if err != nil {
		return nil, "", err
	}
	opt := sockets.Options{Seed: seed, Balancer: balancer, Recorder: v, Sample: sliceWidth, Log: v}
	switch policy {
	case "no zones":
	case "zones":
		tiers := [][]string{}
		for _, zone := range sc.Zones { // for all balancers one file: each one's own comes first by itself
			if _, without := near[zone]; !without {
				tiers = append(tiers, []string{zone})
			}
		}
		opt.Sections = map[string]any{"zones": map[string]any{"names": sc.Zones, "tiers": tiers}}
	case "one pool":
		v.lost = ofClass(sc)
	case "pools":
		v.lost = ofClass(sc)
		if opt.Sections, err = sections(sc); err != nil {
			return nil, "", err
		}
	default:
		return nil, "", fmt.Errorf("%s: sockets have no such policy", policy)
	}
	rec, err := sockets.Run(ctx, sc, opt)
	if err != nil {
		return nil, "", err
	}
	row = v.row(&rec.Record)
	row.Scenario, row.Policy, row.Seeds = name, policy+", sockets", 1
	return row, rec.Void, nil
}

func ownOf(zone string) string {
	if n, ok := near[zone]; ok {
		return n
	}
	return zone
}

// layout is one pool whose zones are those with app nodes.
func layout(sc *scenario.Scenario, cfg brain.Settings) reducer.Layout {
	z := &zones.Settings{}
	for _, name := range sc.Zones {
		if _, without := near[name]; !without {
			z.Zones = append(z.Zones, name)
		}
	}
	z.OwnZone = slices.Index(z.Zones, ownOf(cfg.Zone))
	z.Tiers = [][]int{{z.OwnZone}}
	for i := range z.Zones {
		if i != z.OwnZone {
			z.Tiers = append(z.Tiers, []int{i})
		}
	}
	z.Balancers = max(1, sc.Balancers.Count/len(z.Zones)) // as spread by the front: those beside the same zone
	for _, c := range cfg.Classes {
		z.Classes = append(z.Classes, zones.Class{Value: c.Worth, Movable: c.Repeat == brain.Safe || c.Repeat == brain.Keyed && c.Scope == brain.ScopeAll})
	}
	return reducer.Layout{Pools: []reducer.PoolSpec{{Name: "all", Zones: z}}}
}

// ---- fail-over by the list alone ----

// listed sends all calls to the own zone as long as the list has a ready member there, and else to the others.
type listed struct {
	brain.Decider
	own     string
	classes []brain.Class
	ready   map[string]bool // whether in the own zone, by server
	here    int
}

func newListed(d brain.Decider, own string, classes []brain.Class) *listed {
	return &listed{Decider: d, own: own, classes: classes, ready: map[string]bool{}}
}

const ownBit, otherBit = 1, 2

func (l *listed) Handle(now time.Duration, ev brain.Event, actions []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.FleetUpdate:
		seen := map[string]bool{}
		for i := range e.Members {
			m := &e.Members[i]
			m.Bit = otherBit
			if m.Zone == l.own {
				m.Bit = ownBit
			}
			seen[m.Server] = true
			l.set(m.Server, m.State == brain.Ready, m.Zone == l.own)
		}
		if e.Kind == brain.UpdateFull || e.Kind == brain.UpdateRestored {
			for server := range l.ready {
				if !seen[server] {
					l.set(server, false, false)
				}
			}
		}
	case *brain.Request:
		if e.First = otherBit; l.here > 0 {
			e.First = ownBit
		}
		e.Later = e.First
		if l.classes[e.Class].Repeat == brain.Safe {
			e.Later = 0
		}
	}
	return l.Decider.Handle(now, ev, actions)
}

func (l *listed) set(server string, ready, here bool) {
	if l.ready[server] {
		l.here--
	}
	delete(l.ready, server)
	if ready {
		l.ready[server] = here
		if here {
			l.here++
		}
	}
}
