package policy

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/walks"
)

const ms = time.Millisecond

func TestMain(m *testing.M) { walks.Main(m, 400, 0) }

func settings() brain.Settings {
	return brain.Settings{Nodes: 3, Zone: "a", MaxAttempts: 3, CanCancel: true, AskDiscovery: true,
		RetryAfter: true, MaxRetryAfter: time.Second, ConnectTimeout: 100 * ms, IdleClose: 10 * time.Second,
		Reports: brain.ReportsInline, Columns: []brain.Column{brain.ColUtilization, brain.ColQueue},
		Classes: []brain.Class{
			{Name: "read", Aim: 300 * ms, Deadline: time.Second, Worth: 1},
			{Name: "put", Repeat: brain.Keyed, Scope: brain.ScopeZone, Window: 150 * ms,
				Aim: 300 * ms, Deadline: time.Second, Worth: 1},
			{Name: "pay", Repeat: brain.Unsafe, Window: 150 * ms, Aim: 300 * ms, Deadline: time.Second, Worth: 1},
		},
		Rules: brain.Rules{AnswerGrace: 20 * ms, DrainGrace: 0, AskEvery: 10 * time.Second}}
}

var everyName = []string{"random", "round-robin", "least-outstanding", "power-of-two", "greedy", "static-k=3", Ours}

func make1(t fataler, name string, cfg brain.Settings) brain.Decider {
	d, err := New(name, cfg, 5)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

type fataler interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// embedder obeys a policy as the reducer would, and holds the contract in its own words. What becomes of an attempt is
// drawn, without any model of servers.
type embedder struct {
	fataler
	cfg    brain.Settings
	d      brain.Decider
	now    time.Duration
	asked  []*ask
	list   map[string]brain.Member
	timers []brain.Action
	subs   int
	acts   []brain.Action // all, in order
}

type ask struct {
	class        brain.Class
	deadline     time.Duration
	tries        []*try
	final, gone  bool
	finals, sent int
}

type try struct {
	to           brain.Member
	sent         time.Duration
	over, mayRun bool
}

func (e *embedder) tell(ev brain.Event) {
	acts := e.d.Handle(e.now, ev, nil)
	e.acts = append(e.acts, acts...)
	for _, a := range acts {
		switch a.Kind {
		case brain.Send:
			e.checkSend(e.ask(a.ID), a)
		case brain.Refuse, brain.Fail:
			r := e.ask(a.ID)
			if r.finals++; r.final || r.gone || r.finals > 1 {
				e.Fatalf("%s: a second final answer", a.ID)
			}
			for _, y := range r.tries {
				if a.Kind == brain.Refuse && (!y.over || y.mayRun) && r.class.Repeat != brain.Safe {
					e.Fatalf("%s: refused a %s that may have run", a.ID, r.class.Name)
				}
			}
			r.final = true
		case brain.Cancel:
			if r := e.ask(a.ID); !e.cfg.CanCancel || a.Attempt >= len(r.tries) || r.tries[a.Attempt].over {
				e.Fatalf("%s: cancelled attempt %d, which is not out", a.ID, a.Attempt)
			} else {
				e.end(r, a.Attempt, brain.Cancelled)
			}
		case brain.SetTimer:
			a.After += e.now
			e.timers = append(e.timers, a)
		case brain.Subscribe:
			e.subs++
		}
	}
}

func (e *embedder) ask(id string) *ask {
	var i int
	if n, _ := fmt.Sscanf(id, "q%d", &i); n != 1 || i >= len(e.asked) {
		e.Fatalf("an action for the unknown request %q", id)
	}
	return e.asked[i]
}

func (e *embedder) checkSend(r *ask, a brain.Action) {
	m, listed := e.list[a.Server]
	switch {
	case !listed || m.State != brain.Ready:
		e.Fatalf("sent to %s, which is not ready (listed: %v)", a.Server, listed)
	case r.final || r.gone:
		e.Fatalf("%s: sent after its end", a.ID)
	case len(r.tries) >= e.cfg.MaxAttempts:
		e.Fatalf("%s: more than %d attempts", a.ID, e.cfg.MaxAttempts)
	case e.now >= r.deadline:
		e.Fatalf("%s: sent after its deadline", a.ID)
	}
	for _, y := range r.tries {
		if !y.over {
			e.Fatalf("%s: a second copy", a.ID)
		}
		if y.mayRun && (r.class.Repeat == brain.Unsafe ||
			r.class.Repeat == brain.Keyed && (y.to.Zone != m.Zone || e.now-y.sent > r.class.Window)) {
			e.Fatalf("%s: a %s that may have run at %s sent again to %s", a.ID, r.class.Name, y.to.Server, a.Server)
		}
	}
	r.tries = append(r.tries, &try{to: m, sent: e.now, mayRun: true})
}

func (e *embedder) end(r *ask, attempt int, o brain.Outcome) {
	y := r.tries[attempt]
	y.over, y.mayRun = true, o != brain.Shed && o != brain.ConnectFailed && o != brain.NeverSent
	r.final = r.final || o == brain.OK
	e.tell(&brain.AttemptEnded{ID: fmt.Sprintf("q%d", slices.Index(e.asked, r)), Attempt: attempt, Server: y.to.Server,
		Outcome: o, Took: e.now - y.sent, Final: r.final || r.gone, Report: []float64{0.5, float64(attempt)}})
}

// pass lets time go by in small steps: timers fire, deadlines end what is out.
func (e *embedder) pass(d time.Duration) {
	for until := e.now + d; e.now < until; {
		e.now += 5 * ms
		due := e.timers
		e.timers = nil
		for _, a := range due {
			if a.After > e.now {
				e.timers = append(e.timers, a)
			} else {
				e.tell(&brain.TimerFired{Cookie: a.Cookie})
			}
		}
		for i, r := range e.asked {
			if e.now < r.deadline {
				continue
			}
			for k, y := range r.tries {
				if !y.over {
					e.end(r, k, brain.TimedOut)
				}
			}
			if !r.final && !r.gone {
				e.Fatalf("q%d: no final answer at its deadline", i)
			}
		}
	}
}

func (e *embedder) draw(t *rapid.T, what string) *ask {
	var open []*ask
	for _, r := range e.asked {
		if !r.final && !r.gone {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(t, what)
}

func play(t *rapid.T, name string) {
	e := &embedder{fataler: t, cfg: settings(), now: time.Hour, list: map[string]brain.Member{}}
	e.cfg.CanCancel = rapid.Bool().Draw(t, "cancel")
	e.cfg.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
	e.d = make1(t, name, e.cfg)
	update := func(t *rapid.T, kind brain.UpdateKind) {
		u := &brain.FleetUpdate{Kind: kind}
		if kind != brain.UpdateChanges {
			clear(e.list)
		}
		for i := range 5 {
			state := rapid.IntRange(0, 5).Draw(t, "state")
			m := brain.Member{Server: fmt.Sprintf("s%d", i), Zone: "ab"[i%2 : i%2+1], Weight: 1,
				State: brain.Readiness(max(0, state-2))}
			switch {
			case state == 5: // not named
				continue
			case m.State == brain.Gone:
				delete(e.list, m.Server)
			default:
				e.list[m.Server] = m
			}
			u.Members = append(u.Members, m)
		}
		e.tell(u)
	}
	update(t, brain.UpdateRestored)
	t.Repeat(map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			r := &ask{class: rapid.SampledFrom(e.cfg.Classes).Draw(t, "class")}
			r.deadline = e.now + time.Duration(rapid.IntRange(40, 900).Draw(t, "patience"))*ms
			e.asked = append(e.asked, r)
			e.tell(&brain.Request{ID: fmt.Sprintf("q%d", len(e.asked)-1), Tenant: -1, Deadline: r.deadline,
				Class: slices.IndexFunc(e.cfg.Classes, func(c brain.Class) bool { return c.Name == r.class.Name })})
			for _, m := range e.list { // ours may hold a request, the plain ones send it at once
				if m.State == brain.Ready && len(r.tries) == 0 && name != Ours {
					e.Fatalf("not sent, though %s is ready", m.Server)
				}
			}
		},
		"end": func(t *rapid.T) {
			if r := e.draw(t, "of"); r != nil && len(r.tries) > 0 && !r.tries[len(r.tries)-1].over {
				e.end(r, len(r.tries)-1, brain.Outcome(rapid.IntRange(int(brain.OK), int(brain.NeverSent)).Draw(t, "outcome")))
			}
		},
		"rejected": func(t *rapid.T) { // the app node's 4xx went to the client: final, and no fault of the server
			if r := e.draw(t, "of"); r != nil && len(r.tries) > 0 && !r.tries[len(r.tries)-1].over {
				r.final = true
				e.end(r, len(r.tries)-1, brain.Cancelled)
			}
		},
		"client gone": func(t *rapid.T) {
			if r := e.draw(t, "of"); r != nil {
				r.gone = true
				e.tell(&brain.ClientGone{ID: fmt.Sprintf("q%d", slices.Index(e.asked, r))})
				if e.cfg.CanCancel && slices.ContainsFunc(r.tries, func(y *try) bool { return !y.over }) {
					e.Fatal("left out for a client that has gone")
				}
			}
		},
		"list":       func(t *rapid.T) { update(t, brain.UpdateKind(rapid.IntRange(0, 1).Draw(t, "whole"))) },
		"ask failed": func(t *rapid.T) { e.tell(&brain.FleetUpdate{Kind: brain.UpdateAskFailed}) },
		"time":       func(t *rapid.T) { e.pass(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms) },
		"nonsense": func(t *rapid.T) {
			e.tell(&brain.AttemptEnded{ID: "q0", Attempt: 7})
			e.tell(&brain.ProbeEnded{Server: "nowhere", Report: []float64{1, 1}})
			e.tell(&brain.ClientGone{ID: "nobody"})
		},
	})
	e.pass(2 * time.Second)
	if e.subs == 0 {
		e.Fatal("the list must be asked for, and never was")
	}
	if n, ok := e.d.(*node); ok {
		if len(n.reqs) > 0 || slices.ContainsFunc(n.fleet, func(s *server) bool { return s.out != 0 }) {
			e.Fatalf("kept after the end: %d requests", len(n.reqs))
		}
	}
}

func TestEachPolicyKeepsTheContract(t *testing.T) {
	for _, name := range everyName {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { play(t, name) }) })
	}
}

// shares has n requests sent and answered at once, with the reports told, and counts them by server.
func shares(t *testing.T, name string, reports []float64, n int, hold bool) []int {
	e := &embedder{fataler: t, cfg: settings(), now: time.Hour, list: map[string]brain.Member{}}
	e.d = make1(t, name, e.cfg)
	u := &brain.FleetUpdate{Kind: brain.UpdateRestored}
	for i := range reports {
		m := brain.Member{Server: fmt.Sprintf("s%d", i), Zone: "a", Weight: 1}
		e.list[m.Server], u.Members = m, append(u.Members, m)
	}
	e.tell(u)
	count := make([]int, len(reports))
	for i := range n {
		for k, f := range reports {
			e.tell(&brain.ProbeEnded{Server: fmt.Sprintf("s%d", k), Report: []float64{0, f}})
		}
		e.asked = append(e.asked, &ask{class: e.cfg.Classes[0], deadline: e.now + time.Second})
		e.tell(&brain.Request{ID: fmt.Sprintf("q%d", i), Tenant: -1, Deadline: e.now + time.Second})
		to := e.asked[i].tries[0].to.Server
		count[to[1]-'0']++
		if !hold || i%2 == 0 { // held: those that stay out leave own counts behind
			e.end(e.asked[i], 0, brain.OK)
		}
	}
	return count
}

func TestEachRulePicksAsItSays(t *testing.T) {
	const n = 6000
	reports := []float64{4, 0, 2, 2, 7, 2} // the three lowest are s1 and two of the three that tie
	check := func(name string, hold bool, want ...float64) {
		t.Helper()
		got := shares(t, name, reports, n, hold)
		for i, w := range want { // five standard deviations of a binomial count
			if d := math.Abs(float64(got[i]) - w*n); d > 5*math.Sqrt(n*w*(1-w)) {
				t.Errorf("%s: %v of %d, want shares %v", name, got, n, want)
				return
			}
		}
	}
	sixth := 1.0 / 6
	even := []float64{sixth, sixth, sixth, sixth, sixth, sixth}
	check("random", false, even...)
	check("greedy", false, 0, 1, 0, 0, 0, 0)
	check("static-k=3", false, 0, 1./3, 2./9, 2./9, 0, 2./9)
	check("static-k=9", false, even...)
	for name, spread := range map[string]int{"round-robin": 1, "least-outstanding": 1, "power-of-two": 8} {
		got := shares(t, name, reports, n, true)
		if d := slices.Max(got) - slices.Min(got); name == "round-robin" && d > 1 || d > 60*spread {
			t.Errorf("%s: %v is uneven", name, got)
		}
	}
}

func TestRankedIsTheSortedValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := rapid.SliceOfN(rapid.Float64Range(0, 4), 1, 30).Draw(t, "x")
		for i := range x {
			x[i] = math.Floor(x[i])
		}
		rank := rapid.IntRange(0, len(x)-1).Draw(t, "rank")
		want := slices.Sorted(slices.Values(x))[rank]
		n := newNode(settings(), 1, rules["random"])
		if got := ranked(n.rng, x, rank); got != want {
			t.Fatalf("rank %d: %v, want %v", rank, got, want)
		}
	})
}

func TestSameSeedSameActions(t *testing.T) {
	for _, name := range everyName {
		a, b := shares(t, name, make([]float64, 6), 200, true), shares(t, name, make([]float64, 6), 200, true)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: %v, then %v", name, a, b)
		}
	}
}

func TestK(t *testing.T) {
	for name, want := range map[string]int{"random": 6, "power-of-two": 1, "greedy": 1, "static-k=3": 3, "static-k=9": 6} {
		d := make1(t, name, settings()).(*node)
		u := &brain.FleetUpdate{Kind: brain.UpdateRestored}
		for i := range 7 {
			u.Members = append(u.Members, brain.Member{Server: fmt.Sprint(i), State: brain.Readiness(i / 6)})
		}
		d.Handle(0, u, nil)
		if k, on := d.Burst(); k != want || on {
			t.Errorf("%s: K is %d, want %d; burst %v", name, k, want, on)
		}
	}
}

func TestNewNamesWhatIsWrong(t *testing.T) {
	for name, want := range map[string]string{"best": `"best" is none of`, "static-k=0": "from 1 on",
		"static-k": "none of"} {
		if _, err := New(name, settings(), 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", name, err, want)
		}
	}
	if _, err := New("random", brain.Settings{}, 1); err == nil {
		t.Error("random took settings without classes")
	}
}
