package swarm

import (
	"encoding/json"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
)

// The days of a swarm hold. What is found here is a defect: of the balancer, or of the lab.
func TestTheSwarmHolds(t *testing.T) {
	h, err := Go(Options{From: 1, Runs: 240, Length: 4 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range h.Found {
		t.Errorf("day %d: %s broken at %.6f s: %s", f.Seed, f.Rule, f.At, f.Text)
	}
	if h.Runs != 240 || h.Requests < 100_000 || h.Served < h.Requests/2 || h.Faults < 800 {
		t.Errorf("this was no swarm to judge by: %+v", h)
	}
}

func TestTheNumberOfCoresChangesNothing(t *testing.T) {
	digest := func(cores int) string {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		h, err := Go(Options{From: 7, Runs: 24, Length: 2 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		return h.Digest
	}
	if one, eight := digest(1), digest(8); one != eight {
		t.Errorf("%s on one core, %s on eight", one, eight)
	}
}

// The draws reach every kind of fault, and both orders of what is due at one instant.
func TestDrawsReachFar(t *testing.T) {
	kinds, ordered, grains, classes := map[string]int{}, 0, 0, map[string]int{}
	const days = 400
	for n := range uint64(days) {
		c, err := Draw(n, 20*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range c.Scenario.Faults {
			kinds[f.Kind]++
		}
		for _, k := range c.Scenario.Classes {
			classes[k.Repeat+" "+k.Scope]++
		}
		if c.InOrder {
			ordered++
		}
		if c.Scenario.Network.Grain[1] > 0 {
			grains++
		}
	}
	for _, k := range scenario.Kinds {
		if kinds[k.Name] < 10 && !k.Rigged() {
			t.Errorf("%s came %d times in %d days", k.Name, kinds[k.Name], days)
		}
	}
	if len(classes) != 9 || ordered < days/5 || ordered > days/2 || grains < days/3 {
		t.Errorf("classes %v, %d in order, %d with a grain", classes, ordered, grains)
	}
}

// forgetful takes no notice of drains; and where it is anxious it panics with fewer than three app nodes, so that a day
// which is made too small breaks in another way.
type forgetful struct {
	brain.Decider
	anxious bool
	members int
}

func (f *forgetful) Handle(now time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.FleetUpdate:
		e.Members = slices.Clone(e.Members)
		for i := range e.Members {
			if e.Members[i].State == brain.Draining {
				e.Members[i].State = brain.Ready
			}
		}
		if e.Kind == brain.UpdateRestored {
			f.members = len(e.Members)
		}
	case *brain.Request:
		if f.anxious && f.members < 3 {
			panic("so few")
		}
	}
	return f.Decider.Handle(now, ev, acts)
}

func flawed(anxious bool) virtual.Policy {
	return func(cfg brain.Settings, seed uint64) (brain.Decider, error) {
		inner, err := brain.New(cfg, seed)
		return &forgetful{Decider: inner, anxious: anxious}, err
	}
}

// mustBe plays a case and holds it against what it was.
func mustBe(t *testing.T, f *Finding) {
	t.Helper()
	again, err := f.Again()
	if err != nil || again == nil {
		t.Fatalf("it does not break again: %v", err)
	}
	if again.Digest != f.Digest || again.Way != f.Way || again.At != f.At || again.Text != f.Text {
		t.Errorf("%s, %s became %s, %s", f.Digest, f.Text, again.Digest, again.Text)
	}
}

// A break is found, plays again from its file to the same digest, and is made smaller without becoming another.
func TestABreakPlaysAgainAndShrinks(t *testing.T) {
	var h *Hunt
	for from := uint64(1); ; from += 20 { // until a day whose balancers know enough app nodes for the second flaw to keep quiet
		var err error
		if h, err = Go(Options{From: from, Runs: 400, Length: 20 * time.Second, Stop: true, Policy: flawed(false)}); err != nil {
			t.Fatal(err)
		}
		if len(h.Found) != 1 || h.Found[0].Rule != oracle.Drains.String() {
			t.Fatalf("%d found in %d runs: %+v", len(h.Found), h.Runs, h.Ways)
		}
		both := *h.Found[0]
		both.Policy = flawed(true)
		if again, err := both.Again(); err == nil && again != nil && again.Way == both.Way && h.Found[0].Scenario.Balancers.Known != "none" {
			break
		}
		if from > 400 {
			t.Fatal("no day breaks in that way alone")
		}
	}
	path := filepath.Join(t.TempDir(), "one"+Suffix)
	read := func(f *Finding) *Finding {
		if err := f.Write(path); err != nil {
			t.Fatal(err)
		}
		back, err := Read(path)
		if err != nil {
			t.Fatal(err)
		}
		back.Policy = f.Policy
		return back
	}
	f := read(h.Found[0])
	mustBe(t, f)
	f.Policy = flawed(true)
	s, err := Shrink(f, 1500, nil)
	if err != nil {
		t.Fatal(err)
	}
	if s.Way != f.Way || !strings.HasPrefix(s.Way, "drains: ") {
		t.Errorf("%s became %s", f.Way, s.Way)
	}
	if s.To.Faults != 1 || s.From.Faults < 3 || s.To.Seconds > s.From.Seconds || s.To.Balancers > 1 || s.To.Classes > 1 ||
		s.To.Nodes != 3 || s.To.Rate > s.From.Rate/10 {
		t.Errorf("%s became %s in %d runs", s.From, s.To, s.Tried)
	}
	mustBe(t, read(s.Finding))
	f.Policy = nil // as when the flaw is mended
	if _, err := Shrink(f, 100, nil); err == nil {
		t.Error("a case that breaks no more was made smaller")
	}
}

// A scenario comes back from a file as it went in.
func TestADayComesBackAsItWent(t *testing.T) {
	for n := range uint64(50) {
		c, err := Draw(n, 7*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		one, _ := json.Marshal(c.Scenario)
		two, _ := json.Marshal(clone(c.Scenario))
		if string(one) != string(two) {
			t.Fatalf("day %d:\n%s\n%s", n, one, two)
		}
	}
}

func TestWaysAreOfAKind(t *testing.T) {
	stack := "goroutine 7 [running]:\npewterrudder/internal/lab/virtual.(*run).play.func1()\n\tx.go:1\npanic({0x1, 0x2})\n" +
		"pewterrudder/internal/reducer.(*Reducer).rest(0xc0001, 0x0)\n\ty.go:2 +0x12\npewterrudder/brain.(*Node).pick(0x0)\n"
	for _, c := range []struct {
		b    oracle.Break
		want string
	}{
		{oracle.Break{Rule: oracle.Drains, Text: "balancer 2 sends wish 17 to app node 3, 1m2.5s after the grace"},
			"drains: balancer # sends wish # to app node #, # after the grace"},
		{oracle.Break{Rule: oracle.Answers, Text: "request 9 is answered -13.2µs after its deadline"},
			"answers: request # is answered # after its deadline"},
		{oracle.Break{Rule: oracle.Sound, Text: "panic: index 4\n" + stack}, "sound: panic: index # in rest"},
	} {
		if got := Way(&c.b); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}
