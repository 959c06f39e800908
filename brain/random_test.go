package brain

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// A random but legal stream of events, without any model of servers: whatever an attempt's fate, it is drawn.
// The checker holds the rules in its own words and shares no code with the module.

type fate struct {
	server   string
	zone     string
	cell     int
	sent     time.Duration
	stop     time.Duration
	over     bool
	harmless bool
}

type asked struct {
	class    Class
	deadline time.Duration
	tries    []*fate
	answered bool
	streamed bool
}

type listed struct {
	Member
	named   bool
	leaving time.Duration // when the node was told that it drains or is gone; 0: in service
}

type world struct {
	t       *testing.T
	cfg     Settings
	quotas  []float64 // by tenant
	rng     *rand.Rand
	node    *Node
	now     time.Duration
	reqs    map[string]*asked
	order   []string
	servers []*listed
	timers  []timerDue
	probes  []string
	sends   []sentAt
	trace   []Action
	seq     int
}

type timerDue struct {
	at     time.Duration
	cookie uint64
}

type sentAt struct {
	server string
	at     time.Duration
}

func newWorld(t *testing.T, cfg Settings, quotas []float64, seed uint64) *world {
	node, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, cfg: cfg, quotas: quotas, rng: rand.New(rand.NewPCG(seed, 99)), node: node, now: time.Hour, reqs: map[string]*asked{}}
	for i := range 12 {
		w.servers = append(w.servers, &listed{named: true, Member: Member{Server: fmt.Sprintf("s%d", i),
			Zone: []string{"a", "b"}[i%2], Cell: i / 3, Kind: "k", Weight: 1 + float64(i%3)}})
	}
	var list []Member
	for _, s := range w.servers[:8] {
		list = append(list, s.Member)
	}
	for _, s := range w.servers[8:] {
		s.named = false
	}
	w.hand(&FleetUpdate{Kind: UpdateRestored, Members: list})
	return w
}

func (w *world) server(name string) *listed {
	for _, s := range w.servers {
		if s.Server == name {
			return s
		}
	}
	return nil
}

func (w *world) hand(ev Event) {
	acts := w.node.Handle(w.now, ev, nil)
	w.trace = append(w.trace, acts...)
	for _, a := range acts {
		w.obey(a)
	}
}

func (w *world) obey(a Action) {
	t := w.t
	switch a.Kind {
	case Send, Cancel, Refuse, Fail:
		r := w.reqs[a.ID]
		if r == nil {
			t.Fatalf("%v names an unknown request %q", a.Kind, a.ID)
		}
		switch a.Kind {
		case Send:
			w.checkSend(r, a)
		case Cancel:
			if !w.cfg.CanCancel || a.Attempt >= len(r.tries) {
				t.Fatalf("a cancel that is not allowed or names attempt %d of %d", a.Attempt, len(r.tries))
			}
		case Refuse:
			if r.answered {
				t.Fatal("refused after the final answer")
			}
			if !(r.class.Repeat == Safe || r.class.Repeat == Keyed && r.class.Scope == ScopeAll) {
				for _, f := range r.tries {
					if !(f.over && f.harmless) {
						t.Fatal("rule 2: refused though an attempt may have run")
					}
				}
			}
			r.answered = true
		case Fail:
			if r.answered {
				t.Fatal("failed after the final answer")
			}
			r.answered = true
		}
	case SetTimer:
		w.timers = append(w.timers, timerDue{w.now + a.After, a.Cookie})
	case Probe:
		if !w.cfg.CanProbe || w.server(a.Server) == nil || !w.server(a.Server).named {
			t.Fatalf("a probe not allowed or to an unknown server %q", a.Server)
		}
		w.probes = append(w.probes, a.Server)
	case Subscribe:
		if !w.cfg.AskDiscovery {
			t.Fatal("subscribed where changes are pushed")
		}
	}
}

func (w *world) checkSend(r *asked, a Action) {
	t := w.t
	s := w.server(a.Server)
	if s == nil || !s.named {
		t.Fatalf("sent to unknown server %q", a.Server)
	}
	if r.answered {
		t.Fatal("rule 1: sent after the final answer")
	}
	if s.leaving > 0 && w.now > s.leaving+w.cfg.Rules.DrainGrace {
		t.Fatalf("rule 3: sent to %s %v after it was told to leave", a.Server, w.now-s.leaving)
	}
	for _, f := range r.tries {
		if !f.over && !w.cfg.SecondCopies {
			t.Fatal("two attempts out where second copies are not allowed")
		}
		if f.over && f.harmless || r.class.Repeat == Safe {
			continue
		}
		same := r.class.Scope == ScopeAll || r.class.Scope == ScopeZone && f.zone == s.Zone ||
			r.class.Scope == ScopeCell && f.cell == s.Cell
		if r.class.Repeat == Unsafe || !same || w.now-f.sent > r.class.Window {
			t.Fatalf("rule 2: class %s sent again to %s after %s", r.class.Name, a.Server, f.server)
		}
	}
	stop := r.deadline
	if a.At > 0 && a.At < stop {
		stop = a.At
	}
	r.tries = append(r.tries, &fate{server: a.Server, zone: s.Zone, cell: s.Cell, sent: w.now, stop: stop})
	if len(r.tries) > w.cfg.MaxAttempts {
		t.Fatal("more attempts than allowed")
	}
	w.sends = append(w.sends, sentAt{a.Server, w.now})
}

// settle ends what is due at this clock: timers, attempts past their time, requests past their deadline.
func (w *world) settle() {
	due := w.timers
	w.timers = nil
	for _, d := range due {
		if d.at <= w.now {
			w.hand(&TimerFired{d.cookie})
		} else {
			w.timers = append(w.timers, d)
		}
	}
	for _, id := range slices.Clone(w.order) {
		r := w.reqs[id]
		for i, f := range r.tries {
			if !f.over && w.now >= f.stop && !r.streamed {
				w.finish(id, i, TimedOut)
			}
		}
		if !r.answered && !r.streamed && w.now > r.deadline+w.cfg.Rules.AnswerGrace {
			w.t.Fatalf("rule 1: %s (class %s) has no answer %v after its deadline", id, r.class.Name, w.now-r.deadline)
		}
		if r.answered && !slices.ContainsFunc(r.tries, func(f *fate) bool { return !f.over }) {
			w.order = slices.DeleteFunc(w.order, func(o string) bool { return o == id })
		}
	}
}

func (w *world) finish(id string, attempt int, o Outcome) {
	r := w.reqs[id]
	f := r.tries[attempt]
	f.over = true
	f.harmless = o == Shed || o == ConnectFailed || o == NeverSent
	if o == OK {
		r.answered = true
	}
	var report []float64
	if w.rng.IntN(2) == 0 {
		report = []float64{float64(w.rng.IntN(20)), w.rng.Float64()}
	}
	w.hand(&AttemptEnded{ID: id, Attempt: attempt, Server: f.server, Outcome: o, Took: w.now - f.sent,
		Final: r.answered, Report: report})
}

func (w *world) step() {
	w.now += time.Duration(w.rng.IntN(15)) * ms
	w.settle()
	switch x := w.rng.IntN(100); {
	case x < 45:
		w.seq++
		class := w.rng.IntN(len(w.cfg.Classes))
		id := fmt.Sprintf("q%d", w.seq)
		r := &asked{class: w.cfg.Classes[class], deadline: w.now + time.Duration(100+w.rng.IntN(1900))*ms}
		w.reqs[id] = r
		w.order = append(w.order, id)
		tenant, quota := w.rng.IntN(len(w.quotas)+1)-1, 0.0
		if tenant >= 0 {
			quota = w.quotas[tenant]
		}
		w.hand(&Request{ID: id, Class: class, Tenant: tenant, Quota: quota, Deadline: r.deadline, Work: w.rng.Float64() * 100})
	case x < 85:
		if len(w.order) == 0 {
			return
		}
		id := w.order[w.rng.IntN(len(w.order))]
		for i, f := range w.reqs[id].tries {
			if !f.over {
				o := []Outcome{OK, OK, OK, OK, OK, OK, AppError, Shed, ConnectFailed, Dropped, NeverSent}[w.rng.IntN(11)]
				w.finish(id, i, o)
				return
			}
		}
	case x < 88:
		if len(w.order) > 0 {
			id := w.order[w.rng.IntN(len(w.order))]
			w.reqs[id].answered = true
			w.hand(&ClientGone{id})
		}
	case x < 95:
		w.changeFleet()
	case x < 98 && len(w.probes) > 0:
		w.hand(&ProbeEnded{Server: w.probes[0], Outcome: Outcome(w.rng.IntN(5)), Took: ms,
			Report: []float64{float64(w.rng.IntN(9)), w.rng.Float64()}})
		w.probes = w.probes[1:]
	default:
		w.hand(&TimerFired{w.rng.Uint64() >> 1})
		w.hand(&AttemptEnded{ID: "nobody", Attempt: 3, Server: "s1"})
		w.hand(&ClientGone{"nobody"})
		w.hand(&ProbeEnded{Server: "nowhere"})
	}
}

func (w *world) changeFleet() {
	if w.cfg.AskDiscovery && w.rng.IntN(8) == 0 {
		w.hand(&FleetUpdate{Kind: UpdateAskFailed})
		return
	}
	full := w.rng.IntN(6) == 0
	var list []Member
	for _, s := range w.servers {
		if !full && w.rng.IntN(6) > 0 {
			continue
		}
		m := s.Member
		switch x := w.rng.IntN(10); {
		case x < 5:
			m.State = Ready
		case x < 7:
			m.State = Draining
		case x < 8 && full, x < 8 && !s.named:
			if s.named && s.leaving == 0 {
				s.leaving = w.now // left out of a full list: gone
			}
			continue
		case x < 8:
			m.State = Gone
		default:
			m.State, m.Started = Ready, w.now-time.Duration(w.rng.IntN(4000))*ms
		}
		switch {
		case m.State == Ready:
			s.leaving = 0
		case s.leaving == 0:
			s.leaving = w.now
		}
		s.Member, s.named = m, true
		list = append(list, m)
	}
	kind := UpdateChanges
	if full {
		kind = UpdateFull
	}
	w.hand(&FleetUpdate{Kind: kind, Members: list})
}

func randomSettings(seed uint64) (cfg Settings, quotas []float64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	cfg = testSettings()
	cfg.Zone = "a"
	cfg.Nodes = 1 + rng.IntN(50)
	cfg.MaxAttempts = 1 + rng.IntN(5)
	cfg.SecondCopies = rng.IntN(2) == 0
	cfg.CanCancel = rng.IntN(3) > 0
	cfg.CanProbe = rng.IntN(3) > 0
	cfg.AskDiscovery = rng.IntN(2) == 0
	cfg.Reports = ReportMode(rng.IntN(3))
	cfg.Columns = [][]Column{{ColInFlight}, {ColQueue, ColUtilization}, {ColUtilization, ColQueue, ColUnknown}, nil}[rng.IntN(4)]
	cfg.Weights = WeightKind(rng.IntN(4))
	cfg.RetryAfter = rng.IntN(2) == 0
	cfg.MaxRetryAfter = time.Second
	cfg.Prices = Prices{CrossZone: float64(rng.IntN(2)) * 0.02, Probe: 0.01, Connection: float64(rng.IntN(2)) * 0.05}
	cfg.Classes[put].Scope = Scope(rng.IntN(3))
	if rng.IntN(2) == 0 {
		quotas = []float64{10, 0}
	}
	return cfg, quotas
}

func play(t *testing.T, seed uint64, steps int) *world {
	cfg, quotas := randomSettings(seed)
	w := newWorld(t, cfg, quotas, seed)
	for range steps {
		w.step()
	}
	for range 400 { // let all that is open run out
		w.now += 10 * ms
		w.settle()
	}
	if len(w.order) > 0 && slices.ContainsFunc(w.order, func(id string) bool { return !w.reqs[id].answered }) {
		t.Fatal("rule 1: requests left without an answer")
	}
	w.checkCold()
	return w
}

// checkCold: the node's part of rule 4. While a server is cold it gets no more, in any window, than the
// stated multiple of its coldest share of an even part of this node's sends, plus whole requests' rounding.
func (w *world) checkCold() {
	for _, s := range w.servers {
		if s.Started == 0 {
			continue
		}
		cold := 0
		for _, x := range w.sends {
			if x.server == s.Server && x.at >= s.Started && x.at < s.Started+w.cfg.Rules.ColdFor {
				cold++
			}
		}
		all := float64(len(w.sends)) // an upper bound of what the node sent meanwhile
		if limit := 2 + w.cfg.Rules.OverloadFactor*all/4; float64(cold) > limit {
			w.t.Fatalf("rule 4: %d sends to a cold server, %v at most", cold, limit)
		}
	}
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(60) {
		play(t, seed, 1500)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(6) {
		if a, b := play(t, seed, 800), play(t, seed, 800); !reflect.DeepEqual(a.trace, b.trace) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

func FuzzRandomEvents(f *testing.F) {
	for seed := range uint64(5) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { play(t, seed, 300) })
}

// TestColdServerGetsItsShareAtTheMost: a fresh, idle server beside busy ones must not draw the window.
func TestColdServerGetsItsShareAtTheMost(t *testing.T) {
	cfg := testSettings()
	cfg.Nodes = 10
	b := newBed(cfg, members(8))
	serve := func() (cold int) {
		for range 100 { // one second
			b.now += 10 * ms
			id, acts := b.ask(read)
			for _, a := range only(acts, Send) {
				if a.Server == "fresh" {
					cold++
				}
				held := 5.0
				if a.Server == "fresh" {
					held = 0
				}
				b.end(id, a.Attempt, a.Server, OK, 30*ms, held)
			}
		}
		return cold
	}
	for range 5 {
		serve()
	}
	b.do(&FleetUpdate{Kind: UpdateChanges, Members: []Member{{Server: "fresh", Zone: "z1", Weight: 1, Started: b.now}}})
	b.do(&ProbeEnded{Server: "fresh", Outcome: OK, Report: []float64{0}})
	// 100 sends a second over 9 servers: an even part is 11; cold, a third of it, and one for the bucket's start.
	if got := serve(); got > 4 {
		t.Errorf("%d sends to a cold server in its first second", got)
	}
	for range 10 {
		serve()
	}
	if got := serve(); got < 5 {
		t.Errorf("%d sends in a second to the server once warm", got)
	}
}
