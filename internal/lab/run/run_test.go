package run

import (
	"encoding/json"
	"math"
	"runtime"
	"testing"

	"pewterrudder/internal/lab/result"
	"pewterrudder/internal/lab/scenario"
)

func load(t *testing.T, name string, set ...string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Load(name, set...)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func jobs(sc *scenario.Scenario, policies ...string) (all []Job) {
	for _, p := range policies {
		for seed := uint64(1); seed <= 4; seed++ {
			all = append(all, Job{Scenario: sc, Policy: p, Seed: seed})
		}
	}
	return all
}

// The whole record, plots' series and all, is the same on one core and on eight; only the speed may differ.
func TestTheNumberOfCoresChangesNothing(t *testing.T) {
	all := jobs(load(t, "swarm", "length=4s"), "ours", "power-of-two")
	round := func(cores int) (text []string) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		done, err := All(all, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range done {
			d.Speedup = 0
			raw, err := json.Marshal(d.Record)
			if err != nil {
				t.Fatal(err)
			}
			text = append(text, string(raw))
		}
		return text
	}
	one, eight := round(1), round(8)
	for i := range one {
		if one[i] != eight[i] {
			t.Errorf("%s, seed %d: two records\n%.200s\n%.200s", all[i].Policy, all[i].Seed, one[i], eight[i])
		}
		if i > 0 && one[i] == one[i-1] {
			t.Errorf("jobs %d and %d are alike", i-1, i)
		}
	}
}

// What the recorder made of a run agrees with what the oracle counted, and with itself.
func TestARecordAgreesWithTheOracle(t *testing.T) {
	sc := load(t, "flash-crowd", "length=15s", "clients.impatient=0.05")
	done, err := All([]Job{{Scenario: sc, Policy: "ours", Seed: 3}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	d := done[0]
	if d.Broken > 0 {
		t.Fatal(d.Breaks)
	}
	ended := d.Served + d.Refused + d.Failed
	if math.Abs(d.Goodput-d.Counts.Goodput()) > 1e-9 || d.Served != int64(d.Counts.Served) {
		t.Errorf("goodput %v, and by the oracle %v; %d served, and %d", d.Goodput, d.Counts.Goodput(), d.Served, d.Counts.Served)
	}
	if d.Offered != int64(d.Counts.Wishes) || ended > d.Offered || ended < d.Offered*9/10 || ended == d.Offered {
		t.Errorf("%d offered of %d wishes; %d served, %d refused, %d failed, and a twentieth wanted to leave", d.Offered, d.Counts.Wishes,
			d.Served, d.Refused, d.Failed)
	}
	var w result.Window
	looks := int64(0)
	for i := range d.Windows {
		w.Offered += d.Windows[i].Offered
		w.Earned += d.Windows[i].Earned
		w.Asked += d.Windows[i].Asked
	}
	for i := range d.Loads {
		for _, n := range d.Loads[i].Looks {
			looks += n
		}
	}
	if w.Offered != d.Offered || math.Abs(w.Earned/w.Asked-d.Goodput) > 1e-9 || d.Goodput < 0.2 || d.Goodput > 1 {
		t.Errorf("%d of %d in windows, goodput %v of %v", w.Offered, d.Offered, w.Earned/w.Asked, d.Goodput)
	}
	if l := d.Latency; !(0 < l.P50 && l.P50 < l.P90 && l.P90 <= l.P99 && l.P99 <= l.P999 && l.P999 <= l.Max && l.Max < 5000) {
		t.Errorf("latencies %+v", l)
	}
	if looks < 1000 || len(d.Faults) != len(sc.Faults) {
		t.Errorf("%d looks at app nodes, %d faults of %d", looks, len(d.Faults), len(sc.Faults))
	}
}

func TestProgressRisesToAll(t *testing.T) {
	last, calls := 0.0, 0
	if _, err := All(jobs(load(t, "calm", "length=2s"), "random"), func(share float64) {
		if share < last-1e-9 {
			t.Errorf("%v after %v", share, last)
		}
		last = share
		calls++
	}); err != nil {
		t.Fatal(err)
	}
	if math.Abs(last-1) > 1e-9 || calls < 40 {
		t.Errorf("ended at %v after %d calls", last, calls)
	}
}

func TestAnUnknownPolicyIsNamed(t *testing.T) {
	if _, err := All([]Job{{Scenario: load(t, "calm"), Policy: "luck"}}, nil); err == nil {
		t.Error("no error")
	}
}
