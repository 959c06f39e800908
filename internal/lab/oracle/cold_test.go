package oracle

import (
	"math"
	"testing"
	"time"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/lab/world"
)

// cold is an oracle with one app node that started a moment ago, 1 core of which the settings allow a fifth at first, times three:
// 120 requests of 10 ms in two seconds and some more as it warms, and 2 x root of that and two of chance.
func cold(t *testing.T, set ...string) (*Oracle, *world.Node) {
	t.Helper()
	o := play(t, "", "[]", "60", 3)
	n := o.w.Nodes[0]
	n.Epoch++
	n.Started = o.w.Clock.Now()
	o.ColdShare = 0
	sc, err := scenario.Parse("site", []byte(site), set...)
	if err != nil {
		t.Fatal(err)
	}
	o.sc.Rules = sc.Rules
	return o, n
}

// push sends so many requests of mean work at once, and says how many of them came before the rule broke.
func push(o *Oracle, n *world.Node, balancer, count int) (first int) {
	for i := range count {
		before := o.ColdBreaks
		o.JobCame(n, &world.Job{Work: o.MeanWork}, balancer)
		if o.ColdBreaks > before && first == 0 {
			first = i + 1
		}
	}
	return first
}

func TestAColdAppNodeBearsTwoDeviationsMore(t *testing.T) {
	for allowed, want := range map[float64]float64{0: 2, 1: 5, 100: 122, 120: 143.90890230020664} {
		if got := Bears(allowed); math.Abs(got-want) > 1e-9 {
			t.Errorf("allowed %v, bears %v, not %v", allowed, got, want)
		}
	}
	o, n := cold(t)
	o.Told(0, world.Entry{Node: n, State: world.Ready, Started: n.Started})
	if first := push(o, n, 0, 200); first != 144 || o.ColdBreaks != 1 {
		t.Errorf("broken by request %d, %d times; 143.9 are borne right after the start, and a start is broken once", first, o.ColdBreaks)
	}
	if math.Abs(o.ColdShare-200/Bears(120)) > 1e-9 {
		t.Errorf("the share of what is borne is %v", o.ColdShare)
	}
}

// The settings name a multiple and a time. What they multiply is the app node's present capacity, which may be more than the least that
// the settings tell balancers of.
func TestThePresentCapacityIsWhatTheSettingsMultiply(t *testing.T) {
	for _, c := range []struct {
		age   float64 // of the time in which it warms
		set   string
		first int
	}{
		{0, "rules.cold_from=0.1", 144},     // 120 + 2 x root of 120 + 2
		{0, "rules.overload_factor=2", 100}, // 80 + 2 x root of 80 + 2
		{0, "rules.fall_for=1s", 78},        // 60 + 2 x root of 60 + 2
		{0.5, "rules.cold_for=30s", 400},    // 360 + 2 x root of 360 + 2 at 0.6 of the capacity
	} {
		o, n := cold(t, c.set)
		n.Started -= time.Duration(c.age * float64(n.ColdFor))
		o.Told(0, world.Entry{Node: n, State: world.Ready, Started: n.Started})
		if first := push(o, n, 0, 500); first != c.first {
			t.Errorf("%s at the age of %v: broken by request %d, not %d", c.set, c.age, first, c.first)
		}
	}
}

// The window is of all that came in the last two seconds, to the moment.
func TestTheWindowOfAFallIsExact(t *testing.T) {
	var w window
	const width = 2 * time.Second
	for i := range 41 { // one each 50 ms, as a step of time is
		w.add(send{at: time.Duration(i) * 50 * time.Millisecond, work: 1, told: i%2 == 0}, width)
	}
	if w.work != 40 || w.told != 20 || len(w.sends) != 40 {
		t.Errorf("%v of work, %v from those told, in %d requests: what came two seconds ago is still in it", w.work, w.told, len(w.sends))
	}
	w.add(send{at: time.Minute, work: 3}, width)
	if w.work != 3 || w.told != 0 {
		t.Errorf("%v of work, %v from those told, after a minute", w.work, w.told)
	}
}

// The rule is broken where over two thirds came from balancers that had been told of the start, all of them together; one that
// was not told counts as told so long after discovery had the start.
func TestOverTwoThirdsHaveToKnowOfAStart(t *testing.T) {
	for _, c := range []struct {
		told, untold int
		broken       bool
	}{{200, 0, true}, {0, 200, false}, {133, 67, false}, {134, 65, true}} {
		o, n := cold(t)
		o.start, o.told, o.since = append(o.start, map[*world.Node]int{}), append(o.told, nil), append(o.since, -1)
		o.start[0][n] = n.Epoch
		push(o, n, 1, c.untold)
		push(o, n, 0, c.told)
		if broken := o.ColdBreaks == 1; broken != c.broken {
			t.Errorf("%d by one that was told after %d by one that was not: broken %v", c.told, c.untold, broken)
		}
	}
	o, n := cold(t, "rules.told_within=6s")
	o.Knew(n, world.Ready)
	o.since[0] = 0
	if push(o, n, 0, 200); o.ColdBreaks != 0 {
		t.Error("broken by one that nobody told")
	}
	o.w.Clock.(*timeline.Virtual).Run(o.w.Clock.Now() + 6*time.Second)
	if push(o, n, 0, 500); o.ColdBreaks != 1 {
		t.Error("one that could have been told for six seconds does not count as told")
	}
}
