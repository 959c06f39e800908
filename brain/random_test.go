package brain

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// Random but legal streams of events, without a model of servers: the outcome of each attempt is drawn at random.
// The checker states the rules independently and shares no code with the module.

// attemptRecord is the checker's view of an attempt.
type attemptRecord struct {
	server   string
	zone     string
	cell     int
	sent     time.Duration
	giveUpAt time.Duration
	ended    bool
	neverRan bool // its outcome proves that it was not executed
}

// requestRecord is the checker's view of a request.
type requestRecord struct {
	class    Class
	deadline time.Duration
	attempts []*attemptRecord
	answered bool
	streamed bool
}

// serverRecord is a server and what the node has been told of it.
type serverRecord struct {
	Member
	known  bool
	leftAt time.Duration // when the node was told that it is draining or gone; 0: in service
}

// workload feeds random events to a node and checks its actions against the rules.
type workload struct {
	t        *testing.T
	cfg      Settings
	quotas   []float64 // by tenant
	rng      *rand.Rand
	node     *Node
	now      time.Duration
	requests map[string]*requestRecord
	openIDs  []string // of requests that are unanswered or have attempts in flight
	servers  []*serverRecord
	timers   []pendingTimer
	probes   []string
	sends    []sendRecord
	actions  []Action
	seq      int
}

type pendingTimer struct {
	at     time.Duration
	cookie uint64
}

type sendRecord struct {
	server string
	at     time.Duration
}

func newWorkload(t *testing.T, cfg Settings, quotas []float64, seed uint64) *workload {
	node, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &workload{t: t, cfg: cfg, quotas: quotas, rng: rand.New(rand.NewPCG(seed, 99)), node: node, now: time.Hour, requests: map[string]*requestRecord{}}
	for i := range 12 {
		w.servers = append(w.servers, &serverRecord{known: true, Member: Member{Server: fmt.Sprintf("s%d", i),
			Zone: []string{"a", "b"}[i%2], Cell: i / 3, Kind: "k", Weight: 1 + float64(i%3)}})
	}
	var list []Member
	for _, s := range w.servers[:8] {
		list = append(list, s.Member)
	}
	for _, s := range w.servers[8:] {
		s.known = false
	}
	w.handle(&FleetUpdate{Kind: UpdateRestored, Members: list})
	return w
}

func (w *workload) server(name string) *serverRecord {
	for _, s := range w.servers {
		if s.Server == name {
			return s
		}
	}
	return nil
}

func (w *workload) handle(ev Event) {
	acts := w.node.Handle(w.now, ev, nil)
	w.actions = append(w.actions, acts...)
	for _, a := range acts {
		w.apply(a)
	}
}

// apply checks an action and carries it out.
func (w *workload) apply(a Action) {
	t := w.t
	switch a.Kind {
	case Send, Cancel, Refuse, Fail:
		r := w.requests[a.ID]
		if r == nil {
			t.Fatalf("%v names an unknown request %q", a.Kind, a.ID)
		}
		switch a.Kind {
		case Send:
			w.checkSend(r, a)
		case Cancel:
			if !w.cfg.CanCancel || a.Attempt >= len(r.attempts) {
				t.Fatalf("a cancel that is not permitted or names attempt %d of %d", a.Attempt, len(r.attempts))
			}
		case Refuse:
			if r.answered {
				t.Fatal("refused after the final answer")
			}
			if !(r.class.Repeat == Safe || r.class.Repeat == Keyed && r.class.Scope == ScopeAll) {
				for _, prior := range r.attempts {
					if !(prior.ended && prior.neverRan) {
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
		w.timers = append(w.timers, pendingTimer{w.now + a.After, a.Cookie})
	case Probe:
		if !w.cfg.CanProbe || w.server(a.Server) == nil || !w.server(a.Server).known {
			t.Fatalf("a probe that is not permitted or to an unknown server %q", a.Server)
		}
		w.probes = append(w.probes, a.Server)
	case Subscribe:
		if !w.cfg.AskDiscovery {
			t.Fatal("subscribed although changes are pushed")
		}
	}
}

func (w *workload) checkSend(r *requestRecord, a Action) {
	t := w.t
	s := w.server(a.Server)
	if s == nil || !s.known {
		t.Fatalf("sent to unknown server %q", a.Server)
	}
	if r.answered {
		t.Fatal("rule 1: sent after the final answer")
	}
	if s.leftAt > 0 && w.now > s.leftAt+w.cfg.Rules.DrainGrace {
		t.Fatalf("rule 3: sent to %s %v after the node was told that it left", a.Server, w.now-s.leftAt)
	}
	for _, prior := range r.attempts {
		if !prior.ended && !w.cfg.SecondCopies {
			t.Fatal("two attempts in flight though second copies are disabled")
		}
		if prior.ended && prior.neverRan || r.class.Repeat == Safe {
			continue
		}
		same := r.class.Scope == ScopeAll || r.class.Scope == ScopeZone && prior.zone == s.Zone ||
			r.class.Scope == ScopeCell && prior.cell == s.Cell
		if r.class.Repeat == Unsafe || !same || w.now-prior.sent > r.class.Window {
			t.Fatalf("rule 2: class %s sent again to %s after %s", r.class.Name, a.Server, prior.server)
		}
	}
	giveUpAt := r.deadline
	if a.At > 0 && a.At < giveUpAt {
		giveUpAt = a.At
	}
	r.attempts = append(r.attempts, &attemptRecord{server: a.Server, zone: s.Zone, cell: s.Cell, sent: w.now, giveUpAt: giveUpAt})
	if len(r.attempts) > w.cfg.MaxAttempts {
		t.Fatal("more attempts than MaxAttempts")
	}
	w.sends = append(w.sends, sendRecord{a.Server, w.now})
}

// expire fires due timers, times out attempts, and checks that no request is past its deadline without an answer.
func (w *workload) expire() {
	due := w.timers
	w.timers = nil
	for _, d := range due {
		if d.at <= w.now {
			w.handle(&TimerFired{d.cookie})
		} else {
			w.timers = append(w.timers, d)
		}
	}
	for _, id := range slices.Clone(w.openIDs) {
		r := w.requests[id]
		for i, record := range r.attempts {
			if !record.ended && w.now >= record.giveUpAt && !r.streamed {
				w.endAttempt(id, i, TimedOut)
			}
		}
		if !r.answered && !r.streamed && w.now > r.deadline+w.cfg.Rules.AnswerGrace {
			w.t.Fatalf("rule 1: %s (class %s) has no answer %v after its deadline", id, r.class.Name, w.now-r.deadline)
		}
		if r.answered && !slices.ContainsFunc(r.attempts, func(record *attemptRecord) bool { return !record.ended }) {
			w.openIDs = slices.DeleteFunc(w.openIDs, func(o string) bool { return o == id })
		}
	}
}

func (w *workload) endAttempt(id string, attempt int, o Outcome) {
	r := w.requests[id]
	record := r.attempts[attempt]
	record.ended = true
	record.neverRan = o == Shed || o == ConnectFailed || o == NeverSent
	if o == OK {
		r.answered = true
	}
	var report []float64
	if w.rng.IntN(2) == 0 {
		report = []float64{float64(w.rng.IntN(20)), w.rng.Float64()}
	}
	w.handle(&AttemptEnded{ID: id, Attempt: attempt, Server: record.server, Outcome: o, Took: w.now - record.sent,
		Final: r.answered, Report: report})
}

func (w *workload) step() {
	w.now += time.Duration(w.rng.IntN(15)) * ms
	w.expire()
	switch x := w.rng.IntN(100); {
	case x < 45:
		w.seq++
		class := w.rng.IntN(len(w.cfg.Classes))
		id := fmt.Sprintf("q%d", w.seq)
		r := &requestRecord{class: w.cfg.Classes[class], deadline: w.now + time.Duration(100+w.rng.IntN(1900))*ms}
		w.requests[id] = r
		w.openIDs = append(w.openIDs, id)
		tenant, quota := w.rng.IntN(len(w.quotas)+1)-1, 0.0
		if tenant >= 0 {
			quota = w.quotas[tenant]
		}
		w.handle(&Request{ID: id, Class: class, Tenant: tenant, Quota: quota, Deadline: r.deadline, Work: w.rng.Float64() * 100})
	case x < 85:
		if len(w.openIDs) == 0 {
			return
		}
		id := w.openIDs[w.rng.IntN(len(w.openIDs))]
		for i, record := range w.requests[id].attempts {
			if !record.ended {
				o := []Outcome{OK, OK, OK, OK, OK, OK, AppError, Shed, ConnectFailed, Dropped, NeverSent}[w.rng.IntN(11)]
				w.endAttempt(id, i, o)
				return
			}
		}
	case x < 88:
		if len(w.openIDs) > 0 {
			id := w.openIDs[w.rng.IntN(len(w.openIDs))]
			w.requests[id].answered = true
			w.handle(&ClientGone{id})
		}
	case x < 95:
		w.changeFleet()
	case x < 98 && len(w.probes) > 0:
		w.handle(&ProbeEnded{Server: w.probes[0], Outcome: Outcome(w.rng.IntN(5)), Took: ms,
			Report: []float64{float64(w.rng.IntN(9)), w.rng.Float64()}})
		w.probes = w.probes[1:]
	default:
		w.handle(&TimerFired{w.rng.Uint64() >> 1})
		w.handle(&AttemptEnded{ID: "nobody", Attempt: 3, Server: "s1"})
		w.handle(&ClientGone{"nobody"})
		w.handle(&ProbeEnded{Server: "nowhere"})
	}
}

func (w *workload) changeFleet() {
	if w.cfg.AskDiscovery && w.rng.IntN(8) == 0 {
		w.handle(&FleetUpdate{Kind: UpdateAskFailed})
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
		case x < 8 && full, x < 8 && !s.known:
			if s.known && s.leftAt == 0 {
				s.leftAt = w.now // absent from a full list: gone
			}
			continue
		case x < 8:
			m.State = Gone
		default:
			m.State, m.Started = Ready, w.now-time.Duration(w.rng.IntN(4000))*ms
		}
		switch {
		case m.State == Ready:
			s.leftAt = 0
		case s.leftAt == 0:
			s.leftAt = w.now
		}
		s.Member, s.known = m, true
		list = append(list, m)
	}
	kind := UpdateChanges
	if full {
		kind = UpdateFull
	}
	w.handle(&FleetUpdate{Kind: kind, Members: list})
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

func runWorkload(t *testing.T, seed uint64, steps int) *workload {
	cfg, quotas := randomSettings(seed)
	w := newWorkload(t, cfg, quotas, seed)
	for range steps {
		w.step()
	}
	for range 400 { // until all open requests have expired
		w.now += 10 * ms
		w.expire()
	}
	if len(w.openIDs) > 0 && slices.ContainsFunc(w.openIDs, func(id string) bool { return !w.requests[id].answered }) {
		t.Fatal("rule 1: requests left without an answer")
	}
	w.checkCold()
	return w
}

// checkCold checks the node's part of rule 4: a cold server gets at most OverloadFactor times its capacity when
// coldest of an even share of this node's sends, plus 2 for rounding to whole requests.
func (w *workload) checkCold() {
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
		all := float64(len(w.sends)) // an upper bound of the node's sends in that time
		if limit := 2 + w.cfg.Rules.OverloadFactor*all/4; float64(cold) > limit {
			w.t.Fatalf("rule 4: %d sends to a cold server, %v at most", cold, limit)
		}
	}
}

func TestRandomEventsObeyTheRules(t *testing.T) {
	for seed := range uint64(60) {
		runWorkload(t, seed, 1500)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(6) {
		if a, b := runWorkload(t, seed, 800), runWorkload(t, seed, 800); !reflect.DeepEqual(a.actions, b.actions) {
			t.Fatalf("seed %d: two runs with the same events differ", seed)
		}
	}
}

func FuzzRandomEvents(f *testing.F) {
	for seed := range uint64(5) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runWorkload(t, seed, 300) })
}

// A freshly started idle server among busy ones has the lowest load score, but must not attract all requests.
func TestFreshServerIsLimitedWhileCold(t *testing.T) {
	cfg := testSettings()
	cfg.Nodes = 10
	b := newTestbed(cfg, members(8))
	serve := func() (cold int) {
		for range 100 { // one second
			b.now += 10 * ms
			id, acts := b.request(read)
			for _, a := range actionsOf(acts, Send) {
				if a.Server == "fresh" {
					cold++
				}
				held := 5.0
				if a.Server == "fresh" {
					held = 0
				}
				b.endAttempt(id, a.Attempt, a.Server, OK, 30*ms, held)
			}
		}
		return cold
	}
	for range 5 {
		serve()
	}
	b.handle(&FleetUpdate{Kind: UpdateChanges, Members: []Member{{Server: "fresh", Zone: "z1", Weight: 1, Started: b.now}}})
	b.handle(&ProbeEnded{Server: "fresh", Outcome: OK, Report: []float64{0}})
	// 100 sends per second over 9 servers: an even share is 11. A cold server gets a third of it, plus one for the
	// initial level of its token bucket.
	if got := serve(); got > 4 {
		t.Errorf("%d sends to a cold server in its first second", got)
	}
	for range 10 {
		serve()
	}
	if got := serve(); got < 5 {
		t.Errorf("%d sends per second to the server once it is warm", got)
	}
}
