package swarm

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/run"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/world"
)

// seedsTried is how many seeds each smaller day is tried with: it is another run than the larger one, and what breaks in
// many of its runs need not break in that of one seed.
const seedsTried = 8

// Shrunk is what Shrink came to.
type Shrunk struct {
	*Finding
	From  Size
	To    Size
	Tried int // runs
}

// Shrink makes a case smaller while its first break stays of the same way: faults, time, app nodes, balancers, classes and
// requests are taken away, and settings go back to plain ones. It ends when nothing more can go or after so many runs.
// progress hears of the share of those.
func Shrink(f *Finding, runs int, progress run.Progress) (*Shrunk, error) {
	first, err := f.Again()
	if err != nil {
		return nil, err
	}
	if first == nil || first.Way != f.Way {
		return nil, fmt.Errorf("swarm: the case does not break in the way that it names: %s", f.Way)
	}
	s := &Shrunk{Finding: first, From: f.Size()}
	for again := true; again && s.Tried < runs; {
		again = false
		for _, step := range steps {
			for i := 0; s.Tried < runs; i++ {
				smaller := clone(s.Scenario)
				if !step(smaller, i, s.At) {
					break
				}
				if progress != nil {
					progress(float64(s.Tried) / float64(runs))
				}
				ok, err := s.try(smaller)
				if err != nil {
					return nil, err
				}
				if ok { // the same step may do again
					again = true
					i--
				}
			}
		}
	}
	s.To = s.Size()
	return s, nil
}

// try plays a smaller day and takes it in the case's place where it breaks in the same way.
func (s *Shrunk) try(sc *scenario.Scenario) (bool, error) {
	if sc.Check() != nil || same(sc, s.Scenario) {
		return false, nil
	}
	found, errs := make([]*Finding, seedsTried), make([]error, seedsTried)
	run.Each(seedsTried, func(i int) {
		c := s.Case
		c.Scenario = sc
		if i > 0 {
			c.Seed = chance.New(s.Seed).Number("shrink/" + strconv.Itoa(i))
		}
		found[i], errs[i] = c.Again()
	})
	s.Tried += seedsTried
	for i := range found {
		if errs[i] != nil {
			return false, errs[i]
		}
		if found[i] != nil && found[i].Way == s.Way {
			s.Finding = found[i]
			return true, nil
		}
	}
	return false, nil
}

func same(a, b *scenario.Scenario) bool {
	x, err := json.Marshal(a)
	y, err2 := json.Marshal(b)
	return err == nil && err2 == nil && bytes.Equal(x, y)
}

func clone(sc *scenario.Scenario) *scenario.Scenario {
	raw, err := json.Marshal(sc)
	if err != nil {
		panic(err) // a scenario is plain data
	}
	day := scenario.Default()
	if err := json.Unmarshal(raw, &day); err != nil {
		panic(err)
	}
	return &day
}

// step makes its i-th change; false: there is none. at is when the rule was broken.
type step func(sc *scenario.Scenario, i int, at float64) bool

var steps = []step{noFaults, fewerFaults, shorter, oneFaultLess, fewerNodes, fewerBalancers, slower, oneClassLess, oneZoneLess, shorterFault,
	plainer}

// noFaults: a rule that breaks on a calm day is the plainest case.
func noFaults(sc *scenario.Scenario, i int, _ float64) bool {
	ok := i == 0 && len(sc.Faults) > 0
	sc.Faults = []scenario.Fault{}
	return ok
}

// fewerFaults takes away halves, then quarters.
func fewerFaults(sc *scenario.Scenario, i int, _ float64) bool {
	n := len(sc.Faults)
	for _, parts := range []int{2, 4} {
		if n < 2*parts {
			return false
		}
		if i < parts {
			sc.Faults = slices.Delete(sc.Faults, n*i/parts, n*(i+1)/parts)
			return true
		}
		i -= parts
	}
	return false
}

func oneFaultLess(sc *scenario.Scenario, i int, _ float64) bool {
	if i >= len(sc.Faults) {
		return false
	}
	sc.Faults = slices.Delete(sc.Faults, i, i+1)
	return true
}

// shorter ends the day right after the break, or earlier still. What shows only at the end of a run comes with it.
func shorter(sc *scenario.Scenario, i int, at float64) bool {
	const least, after = 100 * time.Millisecond, 50 * time.Millisecond
	was := sc.Length.D()
	to := []time.Duration{time.Duration(at*float64(time.Second)) - world.Lead + after, was / 2, was * 3 / 4, was * 9 / 10}
	if i >= len(to) {
		return false
	}
	if d := max(least, to[i].Round(time.Millisecond)); d < was*19/20 {
		sc.Length = scenario.Duration(d)
	}
	return true
}

func fewerNodes(sc *scenario.Scenario, i int, _ float64) bool {
	g, how := i/3, i%3
	if g >= len(sc.Nodes) {
		return false
	}
	switch n := &sc.Nodes[g]; {
	case how == 0 && len(sc.Nodes) > 1:
		sc.Nodes = slices.Delete(sc.Nodes, g, g+1)
	case how == 1:
		n.Count = max(1, n.Count/2)
	case how == 2:
		n.Count = max(1, n.Count-1)
	}
	return true
}

func fewerBalancers(sc *scenario.Scenario, i int, _ float64) bool {
	to := []int{1, sc.Balancers.Count / 2, sc.Balancers.Count - 1}
	if i >= len(to) {
		return false
	}
	sc.Balancers.Count = max(1, to[i])
	return true
}

func slower(sc *scenario.Scenario, i int, _ float64) bool {
	times := []float64{0.1, 0.5, 0.8}
	if i >= len(times) {
		return false
	}
	if rate := round(sc.Traffic.Rate[1] * times[i]); rate >= 1 {
		sc.Traffic.Rate = scenario.Range{rate, rate}
	}
	return true
}

func oneClassLess(sc *scenario.Scenario, i int, _ float64) bool {
	if len(sc.Classes) < 2 || i >= len(sc.Classes) {
		return false
	}
	sc.Classes = slices.Delete(sc.Classes, i, i+1)
	return true
}

func oneZoneLess(sc *scenario.Scenario, i int, _ float64) bool {
	if len(sc.Zones) < 2 || i >= len(sc.Zones) {
		return false
	}
	sc.Zones = slices.Delete(sc.Zones, i, i+1)
	return true
}

func shorterFault(sc *scenario.Scenario, i int, _ float64) bool {
	if i >= len(sc.Faults) {
		return false
	}
	if f := &sc.Faults[i]; f.For[1] > scenario.Duration(100*time.Millisecond) {
		f.For = scenario.Span{f.For[0] / 2, f.For[1] / 2}
	}
	return true
}

// plainer sets one part of the day to what a plain one has.
func plainer(sc *scenario.Scenario, i int, _ float64) bool {
	plain := scenario.Default()
	changes := []func(){
		func() { sc.Tenants = []scenario.Tenant{} },
		func() { sc.Clients = plain.Clients },
		func() { sc.Clients.Impatient = 0 },
		func() { sc.Clients.Retries = 0 },
		func() { sc.Traffic.Process = "poisson" },
		func() { sc.Traffic.Skew = scenario.Range{} },
		func() { sc.Network = plain.Network },
		func() { sc.Network.Grain = scenario.Span{} },
		func() { sc.Discovery = plain.Discovery },
		func() { sc.Front = plain.Front },
		func() { sc.Reports = plain.Reports },
		func() { sc.Prices = plain.Prices },
		func() { sc.Limits = plain.Limits },
		func() { sc.Balancers.Sockets, sc.Balancers.Known = plain.Balancers.Sockets, plain.Balancers.Known },
	}
	for k := range sc.Classes {
		c := &sc.Classes[k]
		changes = append(changes, func() { c.Bytes, c.Upload = scenario.Range{1000, 1000}, scenario.Range{} },
			func() { c.Work.Dist, c.Work.Noise, c.Hint = "constant", 0, false })
	}
	for k := range sc.Nodes {
		n := &sc.Nodes[k]
		changes = append(changes, func() { n.HangEvery, n.HangFor = scenario.Span{}, scenario.Span{} },
			func() { n.Errors = scenario.Range{} }, func() { n.CrowdLoss, n.ConnTax, n.Slots, n.Speed = 0, 0, 0, scenario.Range{1, 1} })
	}
	if i >= len(changes) {
		return false
	}
	changes[i]()
	return true
}
