package result

import (
	"fmt"
	"math"
	"strconv"
)

// measure is one figure of a run that can be compared.
type measure struct {
	name string
	more bool // of it is better
	of   func(r *Run) float64
}

var measures = []measure{
	{"goodput", true, func(r *Run) float64 { return r.Goodput }},
	{"p50 ms", false, func(r *Run) float64 { return r.Latency.P50 }},
	{"p90 ms", false, func(r *Run) float64 { return r.Latency.P90 }},
	{"p99 ms", false, func(r *Run) float64 { return r.Latency.P99 }},
	{"p999 ms", false, func(r *Run) float64 { return r.Latency.P999 }},
	{"refused share", false, func(r *Run) float64 { return share(r.Refused, r) }},
	{"failed share", false, func(r *Run) float64 { return share(r.Failed, r) }},
	{"lost", false, func(r *Run) float64 { return float64(r.Lost) }},
	{"duplicated", false, func(r *Run) float64 { return float64(r.Duplicated) }},
	{"drain breaks", false, func(r *Run) float64 { return float64(r.DrainBreaks) }},
	{"cold breaks", false, func(r *Run) float64 { return float64(r.ColdBreaks) }},
	{"peak pressure", false, func(r *Run) float64 { return r.PeakPressure }},
	{"served after the aim, share", false, func(r *Run) float64 { return share(r.AfterAim, r) }},
	{"cold share of the bound", false, func(r *Run) float64 { return r.ColdShare }},
	{"attempts at the hottest node in 1 s", false, func(r *Run) float64 { return float64(r.HottestNode) }},
	{"most connections at a node", false, func(r *Run) float64 { return float64(r.MostConns) }},
	{"most calls to discovery in 1 s", false, func(r *Run) float64 { return float64(r.MostCalls) }},
}

func share(n int64, r *Run) float64 { return float64(n) / float64(max(1, r.Offered)) }

// Comparison is one measure of one policy against another's over the same seeds.
type Comparison struct {
	Scenario   string  `json:"scenario"`
	Measure    string  `json:"measure"`
	Policy     string  `json:"policy"`
	Against    string  `json:"against"`
	Pairs      int     `json:"pairs"`
	Left       int     `json:"left_out"` // seeds that only one has, or whose run is void
	Mean       float64 `json:"mean"`
	Other      float64 `json:"other"`
	Difference float64 `json:"difference"` // of the means of the pairs
	Half       float64 `json:"half_width"` // of its 95 % interval; 0 where there are fewer than two pairs
	Verdict    string  `json:"verdict"`    // "better by x ± y", "worse by x ± y" or "not told apart"
}

const apart = "not told apart"

// Compare sets the runs of one policy against those of another, seed by seed: both met the same arrivals and the same
// faults, so that their difference scatters far less than either. Each measure has an interval of its own at 95 %,
// so over the whole table one in twenty is told apart by chance alone.
func Compare(runs, others []Run) ([]Comparison, error) {
	bySeed := map[uint64]*Run{}
	for i := range others {
		bySeed[others[i].Seed] = &others[i]
	}
	var pairs [][2]*Run
	for i := range runs {
		a := &runs[i]
		b := bySeed[a.Seed]
		if b == nil {
			continue
		}
		if a.Scenario != b.Scenario || a.On != b.On {
			return nil, fmt.Errorf("result: seed %d is of %s on %s and of %s on %s", a.Seed, a.Scenario, a.On, b.Scenario, b.On)
		}
		if !a.Void && !b.Void {
			pairs = append(pairs, [2]*Run{a, b})
		}
	}
	if len(pairs) == 0 {
		return nil, fmt.Errorf("result: none of the seeds has a run that counts on both sides")
	}
	first := pairs[0]
	left := len(runs) + len(others) - 2*len(pairs)
	var all []Comparison
	for _, m := range measures {
		c := Comparison{Scenario: first[0].Scenario, Measure: m.name, Policy: first[0].Policy, Against: first[1].Policy,
			Pairs: len(pairs), Left: left}
		diffs := make([]float64, len(pairs))
		for i, p := range pairs {
			a, b := m.of(p[0]), m.of(p[1])
			diffs[i] = a - b
			c.Mean += a / float64(len(pairs))
			c.Other += b / float64(len(pairs))
		}
		c.Difference, c.Half = Interval(diffs, Confidence)
		c.Verdict = verdict(c.Difference, c.Half, m.more)
		if math.IsInf(c.Half, 0) { // which JSON cannot say
			c.Half = 0
		}
		all = append(all, c)
	}
	return all, nil
}

func verdict(diff, half float64, more bool) string {
	switch {
	case math.IsInf(half, 0):
		return apart + ": one pair tells nothing"
	case math.Abs(diff) <= half || diff == 0:
		return apart
	}
	word := "worse"
	if (diff > 0) == more {
		word = "better"
	}
	d := digits(half, diff)
	return fmt.Sprintf("%s by %s ± %s", word, strconv.FormatFloat(math.Abs(diff), 'f', d, 64),
		strconv.FormatFloat(half, 'f', d, 64))
}

// digits gives the decimals that show two figures of a half-width, or three of the value where that is 0.
func digits(half, value float64) int {
	size, figures := half, 2
	if half == 0 {
		size, figures = math.Abs(value), 3
	}
	if size == 0 {
		return 0
	}
	return min(max(0, figures-1-int(math.Floor(math.Log10(size)))), 9)
}

// Mean is one measure of one policy over its runs.
type Mean struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Measure  string  `json:"measure"`
	Runs     int     `json:"runs"`
	Mean     float64 `json:"mean"`
	Half     float64 `json:"half_width"` // of the 95 % interval; 0 where there are fewer than two runs
}

func (m Mean) String() string {
	d := digits(m.Half, m.Mean)
	text := strconv.FormatFloat(m.Mean, 'f', d, 64)
	if m.Half > 0 {
		text += " ± " + strconv.FormatFloat(m.Half, 'f', d, 64)
	}
	return text
}

// Means gives each measure over runs of one scenario and policy; void ones are left out.
func Means(runs []Run) (all []Mean) {
	for _, m := range measures {
		var figures []float64
		for i := range runs {
			if !runs[i].Void {
				figures = append(figures, m.of(&runs[i]))
			}
		}
		if len(figures) == 0 {
			return nil
		}
		c := Mean{Scenario: runs[0].Scenario, Policy: runs[0].Policy, Measure: m.name, Runs: len(figures)}
		if c.Mean, c.Half = Interval(figures, Confidence); math.IsInf(c.Half, 0) {
			c.Half = 0
		}
		all = append(all, c)
	}
	return all
}
