// Package rosterlab owns the experiments on what discovery says that is wrong, late or missing: it plays the days in which
// that happens, in virtual time, with the list taken as it is told, with a roster between, and with a discovery that tells
// the truth at once, and puts what clients got, and how often a dead app node was tried, into one table. It also measures
// how long a balancer stays blind once discovery is back. It must never decide what is believed: that is
// pewterrudder/internal/roster, with the settings that the program has.
package rosterlab

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/roster"
)

// Scenarios of the comparison, each with the kind of fault whose time counts as the fault's.
var Scenarios = []string{"dead-but-listed", "dark-but-listed", "registry-empty", "discovery-blinks", "discovery-renumbers"}

var faultOf = map[string]string{"dead-but-listed": "crash", "dark-but-listed": "vanish", "registry-empty": "discovery_empty", "discovery-blinks": "deploy",
	"discovery-renumbers": "deploy"}

// Ways of taking discovery's word.
const (
	Believed = "as told"   // the list is what discovery says
	Rostered = "roster"    // what it says goes through a roster
	Honest   = "the truth" // as told, by a discovery that is prompt and never fails
)

// Ways are all of them; Honest is last, since the others are held against it.
var Ways = []string{Believed, Rostered, Honest}

// after is left out of the figures of a fault: nobody can know of it at once.
const after = 2 * time.Second

// Row is one way in one scenario, over all seeds: means, but for what is named otherwise.
type Row struct {
	Scenario  string  `json:"scenario"`
	Way       string  `json:"way"`
	Seeds     int     `json:"seeds"`
	Goodput   float64 `json:"goodput"`
	Fault     float64 `json:"goodput_in_fault"`       // from 2 s after its beginning
	Behind    float64 `json:"behind_truth"`           // in Fault, the same seeds
	Worst     float64 `json:"behind_truth_worst"`     // the worst seed's
	Calls     float64 `json:"calls_to_dead"`          // share of the calls from then on with an attempt at a dead app node
	CallsMost float64 `json:"calls_to_dead_worst"`    // the worst seed's
	Attempts  float64 `json:"attempts_to_dead"`       // share of the attempts
	Refused   float64 `json:"refused"`                // share of what clients wanted that ended refused, in the fault
	Broken    uint64  `json:"broken"`                 // rules, all seeds
	First     string  `json:"first_broken,omitempty"` // the first of them
	Blind     float64 `json:"blind_95_s"`             // from discovery's recovery to the first list, all seeds and balancers
	BlindMost float64 `json:"blind_most_s"`
	Blinds    int     `json:"blinds"`      // so many recoveries, by balancer
	Again     int     `json:"blind_again"` // and so many after which discovery failed again first

	faults, touched []float64 // by seed
	blinds          []time.Duration
}

// settings are the program's own, with all that a roster can do switched on.
func settings() roster.Settings {
	r := config.DefaultService().Roster
	r.HoldMs, r.Loss.Share, r.Suspects.On = 2000, 0.5, true
	return r.Rules()
}

// honest is the same day with a discovery that is prompt, and honest, and does not fail.
func honest(sc *scenario.Scenario) {
	kept := sc.Faults[:0]
	for i := range sc.Faults {
		f := sc.Faults[i]
		if f.Draw == "" {
			f.Draw = strconv.Itoa(i) // so that the others are drawn as they were
		}
		if k := scenario.KindOf(f.Kind); k.On != "discovery" && k.Name != "discovery_lies" {
			kept = append(kept, f)
		}
	}
	sc.Faults = kept
	prompt := func(ms int) scenario.Span {
		d := scenario.Duration(time.Duration(ms) * time.Millisecond)
		return scenario.Span{d, 2 * d}
	}
	d := &sc.Discovery
	d.Notice, d.Silent, d.Add, d.Line = prompt(50), prompt(50), prompt(50), prompt(20)
}

// window is the time of the scenario's fault, on the day's clock.
func window(sc *scenario.Scenario) (from, to time.Duration, err error) {
	i := slices.IndexFunc(sc.Faults, func(f scenario.Fault) bool { return f.Kind == faultOf[sc.Name] })
	if i < 0 {
		return 0, 0, fmt.Errorf("%s: %q is not among its faults", sc.Name, faultOf[sc.Name])
	}
	f := &sc.Faults[i]
	if from, to = f.At[0].D(), f.At[0].D()+f.For[0].D(); to == from {
		to = sc.Length.D() // what is dead stays so
	}
	return from + after, to, nil
}

// Run plays a scenario in one way for seeds 1 to so many.
func Run(name, way string, seeds int) (*Row, error) {
	sum := &Row{Scenario: name, Way: way, Seeds: seeds}
	rows := make([]*Row, seeds)
	err := each(seeds, func(i int) (err error) {
		rows[i], err = runOne(name, way, uint64(i+1))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%s, %s: %w", name, way, err)
	}
	for _, r := range rows {
		n := float64(seeds)
		sum.Goodput += r.Goodput / n
		sum.Fault += r.Fault / n
		sum.Calls += r.Calls / n
		sum.CallsMost = max(sum.CallsMost, r.Calls)
		sum.Attempts += r.Attempts / n
		sum.Refused += r.Refused / n
		sum.Broken += r.Broken
		sum.Again += r.Again
		if sum.First == "" {
			sum.First = r.First
		}
		sum.faults, sum.blinds = append(sum.faults, r.Fault), append(sum.blinds, r.blinds...)
	}
	slices.Sort(sum.blinds)
	sum.Blinds, sum.Blind, sum.BlindMost = len(sum.blinds), part(sum.blinds, 0.95), part(sum.blinds, 1)
	return sum, nil
}

// part is the value in seconds that so large a share of the times, which are in order, does not pass.
func part(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(share*float64(len(sorted))+0.9999)-1)].Seconds()
}

// each runs what shares nothing, as many at a time as there are cores, and joins the errors in order.
func each(n int, do func(i int) error) error {
	errs := make([]error, n)
	var wait sync.WaitGroup
	turn := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		wait.Go(func() {
			turn <- struct{}{}
			if err := do(i); err != nil {
				errs[i] = fmt.Errorf("seed %d: %w", i+1, err)
			}
			<-turn
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

func runOne(name, way string, seed uint64) (*Row, error) {
	sc, err := scenario.Load(name)
	if err != nil {
		return nil, err
	}
	from, to, err := window(sc)
	if err != nil {
		return nil, err
	}
	opt := virtual.Options{Seed: seed}
	switch way {
	case Believed:
	case Rostered:
		opt.Roster = settings
	case Honest:
		honest(sc)
	default:
		return nil, fmt.Errorf("%q is none of %v", way, Ways)
	}
	v := newView(sc, seed, from, to)
	opt.Recorder, opt.Log, opt.Policy, opt.Line = v, v, v.policy, v.line
	rec, err := virtual.Run(sc, opt)
	if err != nil {
		return nil, err
	}
	return v.row(rec), nil
}
