package virtual

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/world"
)

func load(t testing.TB, name string, set ...string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Load(name, set...)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func play(t testing.TB, sc *scenario.Scenario, opt Options) *Record {
	t.Helper()
	rec, err := Run(sc, opt)
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

func mustHold(t *testing.T, rec *Record) {
	t.Helper()
	for i, b := range rec.Breaks {
		t.Errorf("%s: %s", rec.Name(), b)
		for _, e := range b.Last[max(0, len(b.Last)-20):] {
			if i == 0 {
				t.Log(e)
			}
		}
	}
}

// Each scenario that comes with the lab runs, and nothing is broken in it. The large fleet's day is cut short.
func TestTheScenariosHold(t *testing.T) {
	for _, name := range scenario.List() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			length := "length=20s"
			if name == "fleet-10k" {
				length = "length=500ms"
			}
			rec := play(t, load(t, name, length), Options{Seed: 11})
			mustHold(t, rec)
			if c := &rec.Counts; c.Wishes < 500 || c.Served < c.Wishes/2 || c.Goodput() < 0.3 || c.Peak > 20 {
				t.Errorf("this was no day to judge by: %+v", c)
			}
		})
	}
}

// One seed gives one log, to the byte, whatever else the machine does; another seed gives another.
func TestOneSeedGivesOneLog(t *testing.T) {
	sc := load(t, "swarm", "length=8s")
	const seeds = 6
	round := func(cores int) (logs [seeds]uint64, digests [seeds]uint64) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		var wg sync.WaitGroup
		for seed := range seeds {
			wg.Go(func() {
				text := fnv.New64a()
				rec, err := Run(sc, Options{Seed: uint64(seed), Log: text})
				if err != nil {
					t.Error(err)
					return
				}
				logs[seed], digests[seed] = text.Sum64(), rec.Digest
			})
		}
		wg.Wait()
		return
	}
	logs, digests := round(1)
	again, digestsAgain := round(8)
	if logs != again || digests != digestsAgain {
		t.Errorf("logs %x and %x, digests %x and %x", logs, again, digests, digestsAgain)
	}
	for i := range seeds - 1 {
		if digests[i] == digests[i+1] {
			t.Errorf("seeds %d and %d give one log", i, i+1)
		}
	}
}

// The order of what is due at one instant is drawn from the seed, and shows where a grain makes many tasks meet.
func TestTheOrderAtOneInstantCounts(t *testing.T) {
	sc := load(t, "calm", "length=3s", "network.grain=2ms")
	drawn, set := play(t, sc, Options{Seed: 3}), play(t, sc, Options{Seed: 3, InOrder: true})
	mustHold(t, drawn)
	mustHold(t, set)
	if drawn.Digest == set.Digest {
		t.Error("two orders give one log")
	}
}

// heap looks at the live memory now and then.
type heap struct{ live []uint64 }

func (h *heap) Settled(*world.Op, world.Kind, time.Duration) {}

func (h *heap) Sample(*Sample) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	h.live = append(h.live, m.HeapAlloc)
}

// What a run holds must not grow with the requests it has seen.
func TestMemoryDoesNotGrow(t *testing.T) {
	h := &heap{}
	rec := play(t, load(t, "calm", "length=400s"), Options{Seed: 1, Recorder: h, Sample: 40 * time.Second})
	mustHold(t, rec)
	early, late := h.live[2], h.live[len(h.live)-1]
	if rec.Counts.Wishes < 90_000 || late > early+1<<20 {
		t.Errorf("after %d requests %d bytes are held, a quarter of the way %d", rec.Counts.Wishes, late, early)
	}
}

// saboteur makes the module break a rule.
type saboteur struct {
	inner brain.Decider
	flaw  string
}

func (s *saboteur) Handle(now time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.FleetUpdate:
		if s.flaw == "ignores drains" {
			for i := range e.Members {
				if e.Members[i].State == brain.Draining {
					e.Members[i].State = brain.Ready
				}
			}
		}
	case *brain.Request:
		if s.flaw == "panics" && now > ClockStart+5*time.Second {
			panic("out of cheese")
		}
	}
	from := len(acts)
	acts = s.inner.Handle(now, ev, acts)
	for i := from; i < len(acts); i++ {
		if acts[i].Kind == brain.Fail && s.flaw == "refuses what may have run" {
			acts[i].Kind = brain.Refuse
		}
	}
	return acts
}

// newest sends each request once, to the app node that has started last.
type newest struct{ at brain.Member }

func (n *newest) Handle(_ time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.FleetUpdate:
		for _, m := range e.Members {
			if m.State == brain.Ready && (n.at.Server == "" || m.Started > n.at.Started) {
				n.at = m
			}
		}
		if e.Kind == brain.UpdateRestored || e.Kind == brain.UpdateAskFailed {
			acts = append(acts, brain.Action{Kind: brain.Subscribe})
		}
	case *brain.Request:
		acts = append(acts, brain.Action{Kind: brain.Send, ID: e.ID, Server: n.at.Server})
	case *brain.AttemptEnded:
		if e.Outcome != brain.OK && !e.Final {
			acts = append(acts, brain.Action{Kind: brain.Fail, ID: e.ID})
		}
	}
	return acts
}

// What the module does wrong shows in the verdict, through the reducer and the world.
func TestWhatTheModuleDoesWrongShows(t *testing.T) {
	for _, c := range []struct {
		scenario, flaw string
		set            []string
		rule           oracle.Rule
	}{
		{"rolling-deploy", "ignores drains", []string{"length=30s"}, oracle.Drains},
		{"one-class-fails", "refuses what may have run", []string{"length=20s"}, oracle.Effects},
		{"calm", "panics", []string{"length=5s"}, oracle.Sound},
		{"flash-crowd", "sends all to the newest", []string{"length=25s"}, oracle.Cold},
	} {
		rec := play(t, load(t, c.scenario, c.set...), Options{Seed: 2, Policy: func(cfg brain.Settings, seed uint64) (brain.Decider, error) {
			if c.flaw == "sends all to the newest" {
				return &newest{}, nil
			}
			inner, err := brain.New(cfg, seed)
			return &saboteur{inner, c.flaw}, err
		}})
		if rec.OK() || rec.Breaks[0].Rule != c.rule {
			t.Errorf("%s in %s: %d breaks, the first %v", c.flaw, c.scenario, rec.Broken, rec.Breaks)
		}
	}
}

// ends counts how wishes end, and looks at samples.
type ends struct {
	by      map[world.Kind]int
	large   int
	samples int
	busy    float64
}

func (e *ends) Settled(op *world.Op, how world.Kind, at time.Duration) { e.by[how]++ }

func (e *ends) Sample(s *Sample) {
	e.samples++
	for _, n := range s.Nodes {
		e.busy += n.Busy / float64(len(s.Nodes))
	}
}

// Answers that flow arrive, and those that break off in their middle are failures and no losses.
func TestLargeAnswersFlow(t *testing.T) {
	sc := load(t, "large-answers")
	for i := range sc.Classes {
		sc.Classes[i].Bytes = scenario.Range{200_000, 2_000_000}
	}
	e := &ends{by: map[world.Kind]int{}}
	var log bytes.Buffer
	rec := play(t, sc, Options{Seed: 5, Recorder: e, Log: &log})
	mustHold(t, rec)
	if e.by[world.Served] < 9*e.by[world.Failed] || e.by[world.Failed] == 0 || rec.Counts.Lost > 0 {
		t.Errorf("wishes ended so: %v", e.by)
	}
	if !strings.Contains(log.String(), "flow: ") {
		t.Error("no answer broke off while it flowed")
	}
}

func TestSamplesShowTheLoad(t *testing.T) {
	e := &ends{by: map[world.Kind]int{}}
	sc := load(t, "calm", "length=30s", "traffic.rate=0", "traffic.load=0.4")
	play(t, sc, Options{Seed: 5, Recorder: e, Sample: time.Second})
	mean := e.busy / float64(e.samples)
	if e.samples < 30 || mean < 0.3 || mean > 0.5 { // 3 s without requests, and work beside the requests'
		t.Errorf("%d samples, %.2f cores busy on average", e.samples, mean)
	}
}

// polled hands every report to every balancer at once, whether or not it talks to the app node.
type listener struct {
	brain.Decider
	reports map[string]int
	inline  *int
}

func (l *listener) Handle(now time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.ProbeEnded:
		l.reports[e.Server]++
	case *brain.AttemptEnded:
		if len(e.Report) > 0 {
			*l.inline++
		}
	}
	return l.Decider.Handle(now, ev, acts)
}

func TestPolledReportsReachEveryBalancer(t *testing.T) {
	sc := load(t, "calm", "length=10s", "reports.how=polled", "reports.every=1s")
	var heard []*listener
	inline := 0
	mustHold(t, play(t, sc, Options{Seed: 1, Policy: func(cfg brain.Settings, seed uint64) (brain.Decider, error) {
		inner, err := brain.New(cfg, seed)
		l := &listener{inner, map[string]int{}, &inline}
		heard = append(heard, l)
		return l, err
	}}))
	with := 0
	for _, l := range heard {
		if len(l.reports) == 0 {
			continue // the one that was made to check the settings
		}
		with++
		for id, n := range l.reports {
			if len(l.reports) != 8 || n < 10 || n > 13 {
				t.Errorf("%d app nodes, %d reports of %s in 10 s", len(l.reports), n, id)
			}
		}
	}
	if with != 3 || inline > 0 {
		t.Errorf("%d balancers heard reports, %d came in answers", with, inline)
	}
}

// A run whose faults were drawn can be played again from a script of what was drawn, and then without some of them.
func TestDrawnFaultsMakeAScript(t *testing.T) {
	sc := load(t, "swarm", "length=12s")
	drawn := play(t, sc, Options{Seed: 31})
	if len(drawn.Episodes) < 5 {
		t.Fatalf("only %d faults were drawn", len(drawn.Episodes))
	}
	script := *sc
	script.Faults = nil
	for _, e := range drawn.Episodes {
		script.Faults = append(script.Faults, e.Fault())
	}
	raw, err := json.Marshal(script)
	if err != nil {
		t.Fatal(err)
	}
	written, err := scenario.Parse("script", raw) // as a file
	if err != nil {
		t.Fatal(err)
	}
	again := play(t, written, Options{Seed: 31})
	if again.Digest != drawn.Digest {
		t.Error("the script's run is another")
	}
	written.Faults = written.Faults[1:]
	fewer := play(t, written, Options{Seed: 31})
	if fewer.Digest == drawn.Digest || len(fewer.Episodes) != len(drawn.Episodes)-1 {
		t.Fatalf("%d faults are left", len(fewer.Episodes))
	}
	for i, e := range fewer.Episodes {
		if was := drawn.Episodes[i+1]; e.Kind != was.Kind || e.From != was.From || e.To != was.To || e.Size != was.Size {
			t.Errorf("%s at %v has become %s at %v", was.Kind, was.From, e.Kind, e.From)
		}
	}
}

// A balancer that was told to end is killed in the end. An answer that it still passes on then is a lost request where the
// app node would have given the rest; where the app node had stopped in its middle, nobody could have finished it.
func TestAnAnswerThatHaltedIsNotLostWithItsBalancer(t *testing.T) {
	for _, c := range []struct {
		halts, rate string
		lost        bool
	}{{"1", "100", false}, {"0", "100", false}, {"0", "1", true}} {
		sc, err := scenario.Parse("end", []byte(`{
			"name": "end", "length": "12s", "zones": ["a"], "balancers": {"count": 1}, "nodes": [{"count": 2, "cores": 2}],
			"classes": [{"name": "look", "work": {"mean": 5}, "aim": "300ms", "deadline": "2500ms", "bytes": 16000000}],
			"traffic": {"rate": 5}, "clients": {"patience": [1, 1]},
			"faults": [{"kind": "halt", "at": "4s", "for": "4s", "part": 1, "size": `+c.halts+`},
				{"kind": "balancer_restart", "at": "5s", "for": "100ms", "count": 1}]}`), "network.rate="+c.rate)
		if err != nil {
			t.Fatal(err)
		}
		rec := play(t, sc, Options{Seed: 5})
		if lost := len(rec.Breaks) > 0 && rec.Breaks[0].Rule == oracle.Answers; lost != c.lost || rec.Counts.Took < 20 {
			t.Errorf("halts %s at %s MB/s: lost %v, want %v; %d taken", c.halts, c.rate, lost, c.lost, rec.Counts.Took)
			mustHold(t, rec)
		}
	}
}
