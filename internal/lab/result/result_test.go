package result

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestIntervalOfKnownFigures(t *testing.T) {
	// Mean 3, deviation sqrt(2.5), Student's t for 4 degrees at 97.5 %: 2.776445.
	mean, half := Interval([]float64{1, 2, 3, 4, 5}, 0.95)
	if want := 2.776445 * math.Sqrt(2.5/5); mean != 3 || math.Abs(half-want) > 1e-5 {
		t.Errorf("%v ± %v, want 3 ± %v", mean, half, want)
	}
	if _, half := Interval([]float64{1}, 0.95); !math.IsInf(half, 1) {
		t.Errorf("one figure gave ± %v", half)
	}
}

// The interval holds the true mean as often as it says: 19 of 20 times.
func TestIntervalCoversAsOftenAsItSays(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	const tries = 4000
	held := 0
	for range tries {
		x := make([]float64, 6)
		for i := range x {
			x[i] = 7 + 3*rng.NormFloat64()
		}
		if mean, half := Interval(x, 0.95); math.Abs(mean-7) <= half {
			held++
		}
	}
	if dev := math.Sqrt(tries * 0.95 * 0.05); math.Abs(float64(held)-0.95*tries) > 4*dev {
		t.Errorf("held %d of %d", held, tries)
	}
}

func series(policy string, goodput func(seed uint64) float64) (runs []Run) {
	for seed := range uint64(8) {
		runs = append(runs, Run{Scenario: "calm", On: "virtual", Policy: policy, Seed: seed, Goodput: goodput(seed),
			Latency: Latency{P50: 10 + goodput(seed)}})
	}
	return runs
}

func TestPairsAreToldApartInWords(t *testing.T) {
	day := func(seed uint64) float64 { return 0.5 + 0.05*float64(seed) } // days differ far more than the policies
	a := series("ours", func(s uint64) float64 { return day(s) + 0.02 + 0.004*float64(s%2) })
	b := series("random", day)
	slices.Reverse(b) // pairs go by the seed
	table, err := Compare(a, b)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, c := range table {
		got[c.Measure] = c.Verdict
	}
	// Mean 0.022, deviation 0.002138, t for 7 degrees 2.3646: ± 0.00179.
	for m, want := range map[string]string{"goodput": "better by 0.0220 ± 0.0018", "p50 ms": "worse by 0.0220 ± 0.0018",
		"lost": "not told apart"} {
		if got[m] != want {
			t.Errorf("%s: %q, want %q", m, got[m], want)
		}
	}
	noisy := series("random", func(s uint64) float64 { return day(s) + 0.1*float64(s%2) })
	if table, _ = Compare(a, noisy); table[0].Verdict != "not told apart" {
		t.Errorf("a difference within its noise: %q", table[0].Verdict)
	}
	a[3].Void = true
	if table, _ = Compare(a, b[:4]); table[0].Pairs != 4 || table[0].Left != 4 {
		t.Errorf("%d pairs, %d left out", table[0].Pairs, table[0].Left)
	}
	if table, _ = Compare(a[:1], b); table[0].Verdict != "not told apart: one pair tells nothing" {
		t.Errorf("one pair: %q", table[0].Verdict)
	}
	if _, err = Compare(a[3:4], b); err == nil {
		t.Error("a void run was compared")
	}
	b[0].Scenario = "burst"
	if _, err = Compare(a, b); err == nil {
		t.Error("two scenarios were compared")
	}
}

// record plays a day of so many seconds in which every second request of the latter half is refused.
func record(seconds int, seed uint64) Record {
	r := NewRecorder()
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += 10 * ms {
		r.Offered(at, 2)
		if at >= time.Duration(seconds)*time.Second/2 && at/(10*ms)%2 == 0 {
			r.Ended(Refused, at, at+ms, 0)
		} else {
			r.Ended(Served, at, at+time.Duration(seed+1)*10*ms, 2)
		}
		r.Load("s1", at, 3)
		r.Load("s2", at, float64(at/time.Second))
		r.Choices(at, 4, at < time.Second)
	}
	r.Offered(0, 0)
	r.Ended(Left, 0, ms, 0)
	r.Fault("slow", "s2", time.Second, 2*time.Second)
	return r.Record(Run{Scenario: "calm", Policy: "ours", On: "virtual", Seed: seed, Digest: "d",
		PeakPressure: float64(seed)})
}

func TestRecorderCountsByWindow(t *testing.T) {
	r := record(200, 0)
	if r.Offered != 20001 || r.Failed+r.Lost != 0 || r.Served != 15000 || r.Refused != 5000 || math.Abs(r.Goodput-0.75) > 1e-9 {
		t.Errorf("%+v", r.Run)
	}
	if r.Width != 0.4 || len(r.Windows) != 500 { // 2000 windows of 0.1 s joined to at most 512
		t.Fatalf("%d windows of %v s", len(r.Windows), r.Width)
	}
	if w := r.Windows[499]; w.Offered != 40 || w.Served != 20 || w.Refused != 20 || w.Earned != 40 || w.K != 160 ||
		w.Bursts != 0 {
		t.Errorf("the last window: %+v", w)
	}
	if w := r.Windows[0]; w.Bursts != 40 || w.Looks != 40 {
		t.Errorf("the first window: %+v", w)
	}
	if m, ok := r.Loads[1].Mean(250); !ok || m != 100 {
		t.Errorf("s2 at 100 s: %v", m)
	}
	if math.Abs(r.Latency.P50-10) > 0.02 || math.Abs(r.Latency.Max-10) > 0.02 {
		t.Errorf("%+v", r.Latency)
	}
}

func TestRecordSurvivesJSONAndKeepsTheNames(t *testing.T) {
	r := record(3, 1)
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var back Record
	if err := json.Unmarshal(text, &back); err != nil {
		t.Fatal(err)
	}
	if back.Times.Latency() != r.Latency || !reflect.DeepEqual(back.Windows, r.Windows) || back.Run != r.Run {
		t.Errorf("came back as %+v", back.Run)
	}
	text, _ = json.Marshal(r.Run)
	var keys map[string]any
	json.Unmarshal(text, &keys)
	for _, name := range strings.Fields("scenario seed policy on digest offered served refused failed lost duplicated " +
		"drain_breaks cold_breaks leaked goodput latency_ms peak_pressure speedup void hottest_node most_conns most_calls after_aim cold_share") {
		if _, ok := keys[name]; !ok {
			t.Errorf("a run's object has no %s: %s", name, text)
		}
		delete(keys, name)
	}
	if len(keys) > 0 {
		t.Errorf("names beyond those agreed on: %v", keys)
	}
}

func TestMergeAddsUp(t *testing.T) {
	short, long := record(20, 0), record(200, 1)
	m, err := Merge([]Record{short, long, {Run: Run{Void: true}}})
	if err != nil {
		t.Fatal(err)
	}
	if m.Runs != 2 || m.Offered != 22002 || m.Width != 0.4 || len(m.Windows) != 500 || m.Windows[0].Offered != 82 {
		t.Errorf("%d runs, %d offered, %d windows of %v s", m.Runs, m.Offered, len(m.Windows), m.Width)
	}
	if m.PeakPressure != 1 || math.Abs(m.Latency.P50-20) > 0.02 || m.Times.TotalCount() != 16500 || len(m.Faults) != 1 {
		t.Errorf("%+v", m.Run)
	}
	if mean, _ := m.Loads[0].Mean(3); mean != 3 {
		t.Errorf("load of s1: %v", mean)
	}
	if short.Windows[0].Offered != 11 || short.Times.TotalCount() != 1500 {
		t.Error("merging changed what it merged")
	}
	long.Policy = "random"
	if _, err := Merge([]Record{short, long}); err == nil {
		t.Error("two policies were merged")
	}
}

func TestAWideFleetSharesRows(t *testing.T) {
	r := NewRecorder()
	for n := range 1000 {
		r.Load(string(rune('a'+n%26))+time.Duration(n).String(), 0, float64(n))
	}
	rec := r.Record(Run{})
	if len(rec.Loads) != 125 || rec.Loads[0].Nodes != "a0s to h7ns" {
		t.Fatalf("%d rows, the first of %s", len(rec.Loads), rec.Loads[0].Nodes)
	}
	for i := range rec.Loads {
		if m, _ := rec.Loads[i].Mean(0); m != float64(8*i)+3.5 {
			t.Fatalf("row %d: %v", i, m)
		}
	}
}
