package paper

import (
	"bytes"
	"math"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/policy"
)

// The two states bring the share of the jobs that is asked for, and the process counts scatter as its index says.
func TestBurstsAreAsAsked(t *testing.T) {
	for _, s := range []System{table1(313.5), table1(32.25), table2(16, 1, 0.5)} {
		high, share := s.states()
		if got := high * share; math.Abs(got-s.Share) > 1e-9 {
			t.Errorf("I = %g: %g of the jobs come in bursts, want %g", s.Dispersion, got, s.Share)
		}
		// Of the variance of the counts in stretches far longer than the distance of two bursts.
		apart := s.Burst / s.Gap / share // in arrivals
		stretch, stretches := 30*apart, 1000
		p, rng := chance.NewMMPP(s.Dispersion, high, share), chance.New(1).Stream("bursts")
		at, counts := 0.0, make([]float64, stretches)
		for {
			at += p.Next(rng)
			i := int(at / stretch)
			if i >= stretches {
				break
			}
			counts[i]++
		}
		m, v := mean(counts), 0.0
		for _, c := range counts {
			v += (c - m) * (c - m) / float64(stretches-1)
		}
		if off := v/m/s.Dispersion - 1; math.Abs(off) > 0.15 { // three deviations of a variance of 1000 counts
			t.Errorf("I = %g: measured %g", s.Dispersion, v/m)
		}
		if off := m/stretch - 1; math.Abs(off) > 0.02 {
			t.Errorf("I = %g: a mean rate of %g", s.Dispersion, m/stretch)
		}
	}
}

// Between two polls the paper's greedy sends everything to one site, whatever ties there are; another poll, another site.
func TestGreedyHoldsItsOrderBetweenPolls(t *testing.T) {
	sent := func(name string) (to []string) {
		cfg := brain.Settings{Nodes: 1, MaxAttempts: 1, Reports: brain.ReportsOnProbe, Columns: []brain.Column{brain.ColInFlight},
			Classes: []brain.Class{{Aim: time.Hour, Deadline: time.Hour}}}
		d, err := policyOf(name)(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		list := &brain.FleetUpdate{Kind: brain.UpdateFull}
		for i := range 16 {
			list.Members = append(list.Members, brain.Member{Server: strconv.Itoa(i)})
		}
		d.Handle(0, list, nil)
		for poll := range 20 {
			for i := range 16 {
				d.Handle(0, &brain.ProbeEnded{Server: strconv.Itoa(i), Report: []float64{3}}, nil)
			}
			for job := range 10 {
				id := strconv.Itoa(100*poll + job)
				to = append(to, d.Handle(0, &brain.Request{ID: id, Tenant: -1, Deadline: time.Hour}, nil)[0].Server)
			}
		}
		return to
	}
	sites := func(to []string) int {
		all := map[string]bool{}
		for _, s := range to {
			all[s] = true
		}
		return len(all)
	}
	held := sent("greedy")
	for poll := range 20 {
		if n := sites(held[10*poll : 10*poll+10]); n != 1 {
			t.Errorf("poll %d: jobs went to %d sites", poll, n)
		}
	}
	if n := sites(held); n < 6 { // of 16, drawn 20 times; fewer come once in a hundred thousand
		t.Errorf("20 polls led to %d sites: the order of ties is not drawn anew", n)
	}
	if n := sites(sent("greedy" + redrawn)[:10]); n < 3 {
		t.Errorf("with ties redrawn 10 jobs went to %d sites", n)
	}
}

// The pattern of Table I in a few short runs, and the same to the last digit when run again.
func TestPattern(t *testing.T) {
	b := Budget{Seeds: 5, Jobs: 1000, First: 1}
	var todo []experiment
	for _, e := range experiments() {
		if e.name == "weak bursts" || e.name == "no bursts" {
			e.ks, e.more = nil, nil
			todo = append(todo, e)
		}
	}
	r, err := run(todo, b, nil)
	if err != nil {
		t.Fatal(err)
	}
	weak, none := r.Rows[0], r.Rows[1]
	if !strings.HasPrefix(weak.Greedy, "worse than random") {
		t.Errorf("under bursts greedy is %s", weak.Greedy)
	}
	if !strings.HasPrefix(none.Greedy, "better than random") {
		t.Errorf("without bursts greedy is %s", none.Greedy)
	}
	if lost := r.Lost(); lost != nil {
		t.Errorf("ours loses %s: %s, %s", lost, weak.Ours, none.Ours)
	}
	for _, row := range r.Rows {
		if row.Unserved > 0 {
			t.Errorf("%s: %d unserved", row.Name, row.Unserved)
		}
		for _, c := range row.Cells { // a mean service of 80 s, drawn from one distribution for all
			if service := c.Response - c.Wait; math.Abs(service-row.System.Mean()) > 6 {
				t.Errorf("%s, %s: a mean service of %g s", row.Name, c.Policy, service)
			}
		}
	}
	again, err := run(todo[1:], b, nil)
	if err != nil || !reflect.DeepEqual(again.Rows, r.Rows[1:]) {
		t.Errorf("another run of the same seeds differs: %v, %v", err, again)
	}
	var text bytes.Buffer
	r.Table(&text)
	for _, want := range []string{"weak bursts: I = 32.25, mean service 80 s", "466.5", policy.Ours} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, text.String())
		}
	}
}

// A row is lost where ours is worse and the interval tells it, and nowhere else.
func TestLost(t *testing.T) {
	e := &experiment{table: 1, name: "row", system: table1(1)}
	waits := func(random, greedy, ours []float64) Row {
		var all []figures
		for _, w := range [][]float64{random, greedy, ours} {
			for _, v := range w {
				all = append(all, figures{response: v + 80, wait: v})
			}
		}
		return e.row(all, 3)
	}
	for _, c := range []struct {
		random, greedy, ours []float64
		lost                 bool
		say                  string
	}{
		{[]float64{10, 20, 30}, []float64{9, 19, 29}, []float64{10, 20.1, 30}, true, "worse than greedy by 5.4"},
		{[]float64{10, 20, 30}, []float64{11, 21, 31}, []float64{9, 19.1, 29}, false, "better than random by"},
		{[]float64{10, 20, 30}, []float64{11, 21, 31}, []float64{1, 30, 30}, false, "not told apart from random"},
	} {
		r := waits(c.random, c.greedy, c.ours)
		if r.Lost != c.lost || !strings.HasPrefix(r.Ours, c.say) {
			t.Errorf("lost %v, ours is %q; want %v, %q", r.Lost, r.Ours, c.lost, c.say)
		}
		if lost := (&Result{Rows: []Row{r}}).Lost(); (lost != nil) != c.lost {
			t.Errorf("lost rows %v", lost)
		}
	}
}

func TestBudgets(t *testing.T) {
	for _, b := range []Budget{{Seeds: 1, Jobs: 1000}, {Seeds: 2, Jobs: 10}, {Seeds: 2, Jobs: 1000, Tables: []int{1, 4}},
		{Seeds: 2, Jobs: 1000, Rows: "no such row"}} {
		if b.Check() == nil {
			t.Errorf("%+v is taken", b)
		}
	}
}
