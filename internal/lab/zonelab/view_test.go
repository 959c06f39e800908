package zonelab

import (
	"math"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/scenario"
)

func TestBestFillsTheDearestFirst(t *testing.T) {
	v := &view{}
	s := second{worth: []float64{10, 50}, work: []float64{10, 10}} // core-seconds; the second is worth more by work
	for able, want := range map[float64]float64{5: 25, 10: 50, 15: 55, 100: 60} {
		if got := v.best(s, able); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v core-seconds carry %v, not %v", able, got, want)
		}
	}
}

func TestPressureTellsWarmFromCold(t *testing.T) {
	sc := scenario.Default()
	sc.Rules.OverloadFactor = 3
	v := &view{sc: &sc, mean: 60, nodes: [][]slice{make([]slice, 40)}} // 100 requests allowed in a window, and 22 of chance
	for i := range v.nodes[0] {
		v.nodes[0][i] = slice{work: 150, could: 200, cold: i < 15}
	}
	v.nodes[0][30].work = 650 // 2000 of 2000 over its window
	warm, cold := v.pressure(0, 0, 40)
	if math.Abs(warm-1) > 1e-9 || math.Abs(cold-25.0/122) > 1e-9 {
		t.Errorf("pressure %v warm and %v cold, not 1 and 25 of 122", warm, cold)
	}
	if warm, _ := v.pressure(0, 31, 40); warm != 0 {
		t.Errorf("a window of less than 2 s counts: %v", warm)
	}
}

// told is a decider that keeps what it was asked.
type told struct{ last brain.Request }

func (d *told) Handle(_ time.Duration, ev brain.Event, a []brain.Action) []brain.Action {
	if e, ok := ev.(*brain.Request); ok {
		d.last = *e
	}
	return a
}

func TestListedFollowsTheListAlone(t *testing.T) {
	d := &told{}
	l := newListed(d, "south", []brain.Class{{Repeat: brain.Keyed}, {}})
	list := func(kind brain.UpdateKind, state brain.Readiness, servers ...string) {
		u := &brain.FleetUpdate{Kind: kind}
		for _, s := range servers {
			u.Members = append(u.Members, brain.Member{Server: s, Zone: map[byte]string{'n': "north", 's': "south"}[s[0]], State: state})
		}
		l.Handle(0, u, nil)
	}
	for i, step := range []struct {
		do    func()
		first uint64
	}{
		{func() { list(brain.UpdateRestored, brain.Ready, "n1", "s1", "s2") }, ownBit},
		{func() { list(brain.UpdateChanges, brain.Gone, "s1") }, ownBit},
		{func() { list(brain.UpdateChanges, brain.Draining, "s2") }, otherBit},
		{func() { list(brain.UpdateChanges, brain.Ready, "s1", "s1") }, ownBit},
		{func() { list(brain.UpdateFull, brain.Ready, "n1", "n2") }, otherBit},
	} {
		step.do()
		l.Handle(0, &brain.Request{}, nil)
		if d.last.First != step.first || d.last.Later != step.first {
			t.Errorf("step %d: bound %b and %b, not %b", i, d.last.First, d.last.Later, step.first)
		}
	}
}

// The measure of the whole, for one seed: the zones carry what can be carried, and come back.
func TestZonesCarryWhatTheOtherZoneCan(t *testing.T) {
	for _, name := range []string{"zone-cut-unlisted", "zone-return-cold"} {
		r, err := Run(name, "zones", 1)
		if err != nil {
			t.Fatal(err)
		}
		if r.Of < 0.95 || r.Back > 60 || r.Peak > 1 || r.Cold > 1 || r.Broken > 0 {
			t.Errorf("%s: %+v", name, *r)
		}
	}
}
