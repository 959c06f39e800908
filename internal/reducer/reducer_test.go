package reducer

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pewterrudder/brain"

	"pewterrudder/internal/lab/walks"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A hundred walks, the default, seldom meet the rarer orders of events.
func TestMain(m *testing.M) { walks.Main(m, 2000, 80) }

func settings() brain.Settings {
	return brain.Settings{Nodes: 1, Zone: "a", MaxAttempts: 4, SecondCopies: true, CanCancel: true, RetryAfter: true,
		AskDiscovery: true, MaxRetryAfter: 500 * ms, ConnectTimeout: 75 * ms, IdleClose: 2 * time.Second,
		Reports: brain.ReportsInline, Columns: []brain.Column{brain.ColQueue},
		Classes: []brain.Class{
			{Name: "read", Repeat: brain.Safe, Aim: 150 * ms, Deadline: 600 * ms, Worth: 1},
			{Name: "book", Repeat: brain.Keyed, Scope: brain.ScopeZone, Window: time.Second, Aim: 300 * ms,
				Deadline: time.Second, Worth: 5}},
		Rules: brain.Rules{DrainGrace: 2 * time.Second, AskEvery: 10 * time.Second, ColdFrom: 0.2,
			ColdFor: 24 * time.Second, OverloadFactor: 3, FallFor: 2 * time.Second}}
}

func list(complete bool, state brain.Readiness, addresses ...string) List {
	l := List{Complete: complete, Revision: 1}
	for i, a := range addresses {
		l.Members = append(l.Members, brain.Member{Server: fmt.Sprintf("s%d", i), Zone: "a", Weight: 1, State: state})
		l.Addresses = append(l.Addresses, a)
	}
	return l
}

// world drives a reducer by hand. It keeps the model: the states of each connection as the effects imply them,
// and what each call is owed. Every effect is checked against it.
type world struct {
	t interface {
		Fatalf(string, ...any)
		Helper()
	}
	cfg      brain.Settings
	r        *Reducer
	now      time.Duration
	conns    map[uint64]connState
	idleAt   map[uint64]time.Duration
	calls    map[uint64]*owed
	last     uint64
	timers   []due
	owner    map[string]due           // by client's id: the call last delegated under it, and when
	took     []Effect                 // of the last event
	parts    []Part                   // asked for so far
	heedless bool                     // its deciders send to app nodes that drain
	left     map[string]time.Duration // app nodes that are not in service, by the list, since when

	figures *Figures          // as last published
	onto    map[uint64]uint64 // the call that a connection carries
	met     map[string]int    // transitions of connections and calls, kept from run to run
}

var names = map[connState]string{dialing: "dialing", busy: "busy", flowing: "flowing", idle: "idle", closed: "closed"}

// turn puts a connection in a state.
func (w *world) turn(conn uint64, to connState) {
	from := "nothing"
	if s, ok := w.conns[conn]; ok {
		from = names[s]
	}
	w.conns[conn] = to
	w.met["connection: "+from+" to "+names[to]]++
}

// becomes notes what became of a call.
func (w *world) becomes(what string) { w.met["call: "+what]++ }

type owed struct {
	deadline time.Duration
	wait     time.Duration // of an upload, from its last byte
	late     bool          // it flows past that
	answers  int
	gone     bool
	spent    bool   // its body is gone
	flow     uint64 // the connection that its answer flows on; 0: none, or no more
	reply    Reply
}

type due struct {
	at time.Duration
	ev Event
}

func newWorld(t *testing.T, budget int, addresses ...string) *world {
	return (&world{t: t, now: time.Hour, cfg: settings()}).start(budget, addresses...)
}

func (w *world) start(budget int, addresses ...string) *world {
	r, err := New(w.cfg, 7, budget)
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.owner, w.onto, w.left = map[string]due{}, map[uint64]uint64{}, map[string]time.Duration{}
	if w.met == nil {
		w.met = map[string]int{}
	}
	w.r, w.conns, w.idleAt, w.calls = r, map[uint64]connState{}, map[uint64]time.Duration{}, map[uint64]*owed{}
	w.do(Started{Known: list(true, brain.Ready, addresses...), Discovery: "d:1"})
	return w
}

func (w *world) do(ev Event) []Effect {
	w.t.Helper()
	w.took = w.r.Handle(w.now, ev, nil)
	for _, e := range w.took {
		switch e := e.(type) {
		case Dial:
			if _, ok := w.conns[e.Conn]; ok {
				w.t.Fatalf("connection %d dialed twice", e.Conn)
			}
			w.turn(e.Conn, dialing)
		case Exchange:
			if s, ok := w.conns[e.Conn]; !ok || s != idle {
				w.t.Fatalf("exchange on connection %d, which is %v", e.Conn, s)
			}
			if at, ok := w.idleAt[e.Conn]; ok && w.now-at >= w.r.idleFor() {
				w.t.Fatalf("connection %d used after %v idle", e.Conn, w.now-at)
			}
			if c := w.calls[e.Call.ID]; c.answers > 0 || c.gone || c.spent {
				w.t.Fatalf("call %d goes out though nothing may: %+v", e.Call.ID, c)
			}
			k := w.r.conns[e.Conn]
			if at, ok := w.left[k.srv.id]; ok && w.now-at >= w.cfg.Rules.DrainGrace && !(w.heedless && k.delg.sent >= at) {
				w.t.Fatalf("call %d goes to an app node %v after it was told to drain", e.Call.ID, w.now-at)
			}
			if c := w.calls[e.Call.ID]; w.now >= c.deadline-answerMargin {
				w.t.Fatalf("call %d goes out %v before its time is over", e.Call.ID, c.deadline-w.now)
			}
			if e.Stall <= 0 || e.FlowStall <= e.Stall {
				w.t.Fatalf("waits of %v and %v", e.Stall, e.FlowStall)
			}
			w.turn(e.Conn, busy)
			w.onto[e.Conn] = e.Call.ID
			if e.Call.OneShot {
				w.calls[e.Call.ID].deadline = 1 << 62 // no time runs while its body is on its way
			}
			if id := e.Call.ClientID; id != "" {
				by, ok := w.owner[id].ev.(deadline)
				if ok && by.call != e.Call.ID && w.calls[by.call].reply.Kind != Rejected && w.now-w.owner[id].at < idKept {
					w.t.Fatalf("calls %d and %d were both delegated as %s", by.call, e.Call.ID, id)
				}
				w.owner[id] = due{w.now, deadline{e.Call.ID}}
			}
		case Close:
			if s, ok := w.conns[e.Conn]; !ok || s == closed {
				w.t.Fatalf("connection %d given back twice", e.Conn)
			}
			if c := w.calls[w.onto[e.Conn]]; w.conns[e.Conn] == flowing && c.flow == e.Conn {
				c.flow = 0
				if !c.gone {
					w.t.Fatalf("call %d was cut while it flowed, by %T", w.onto[e.Conn], ev)
				}
				w.becomes("flowing, the client left")
			}
			w.turn(e.Conn, closed)
		case Answer:
			c := w.calls[e.Call]
			if c.answers++; c.answers > 1 || c.gone {
				w.t.Fatalf("call %d: answer %d, client gone: %v", e.Call, c.answers, c.gone)
			}
			if w.now > c.deadline {
				w.t.Fatalf("call %d answered %v late", e.Call, w.now-c.deadline)
			}
			c.reply = e.Reply
			if conn, ok := e.Reply.Message.(uint64); ok {
				if w.conns[conn] != busy || w.onto[conn] != e.Call {
					w.t.Fatalf("call %d is to flow on connection %d, which is %v and carries %d", e.Call, conn, w.conns[conn], w.onto[conn])
				}
				c.flow = conn
				w.turn(conn, flowing)
			}
			w.becomes(fmt.Sprintf("answered, kind %d, flowing %v", e.Reply.Kind, c.flow != 0))
		case Publish:
			w.figures = e.Figures
		case Part:
			w.parts = append(w.parts, e)
		case Arm:
			w.timers = append(w.timers, due{w.now + e.After, e.Event})
		}
	}
	for _, c := range w.calls {
		if c.flow != 0 && w.now > c.deadline && !c.late {
			c.late = true
			w.becomes("flowing, past its deadline")
		}
	}
	if c := w.r.counts; c.active() < 0 || c.active() > w.r.Open() {
		w.t.Fatalf("%d calls active of %d open: %+v", c.active(), w.r.Open(), c)
	}
	byServer, seen := 0, map[*server]bool{}
	for _, k := range w.r.conns {
		if !seen[k.srv] {
			byServer += len(k.srv.conns)
		}
		seen[k.srv] = true
	}
	if open := len(w.in(dialing)) + len(w.in(busy)) + len(w.in(flowing)) + len(w.in(idle)); open > w.r.budget ||
		open != len(w.r.conns) || open != byServer {
		w.t.Fatalf("%d connections open, the reducer holds %d, the budget is %d", open, len(w.r.conns), w.r.budget)
	}
	return w.took
}

// in lists the connections in a state, lowest id first.
func (w *world) in(s connState) (ids []uint64) {
	for id := uint64(1); id <= w.r.lastConn; id++ {
		if have, ok := w.conns[id]; ok && have == s {
			ids = append(ids, id)
		}
	}
	return ids
}

func (w *world) call(class int, wait time.Duration) uint64 { return w.callAs("", class, wait) }

func (w *world) callAs(id string, class int, wait time.Duration) uint64 {
	w.last++
	w.calls[w.last] = &owed{deadline: w.now + wait}
	w.do(Arrived{&Call{ID: w.last, ClientID: id, Class: class, Tenant: -1, Deadline: w.now + wait}})
	return w.last
}

// gone has the client of a call leave.
func (w *world) gone(id uint64) {
	if c := w.calls[id]; c.answers == 0 || c.flow != 0 {
		c.gone = true
	}
	w.do(ClientGone{id})
}

// flows has the answer on a connection ask to be committed, and says whether it was.
func (w *world) flows(conn uint64, result Result) bool {
	w.do(Flowing{Conn: conn, Result: result, Message: conn})
	return w.conns[conn] == flowing
}

// uploaded has the last byte of a body come, where it was on its way.
func (w *world) uploaded(id uint64) {
	if c := w.r.calls[id]; c != nil && c.open {
		w.calls[id].deadline = w.now + w.calls[id].wait
	}
	w.do(Uploaded{id, w.now})
}

func (w *world) dialed(id uint64, err error) {
	if err == nil {
		w.turn(id, idle) // in the shell's eyes; used or not is the reducer's word
	}
	w.do(Dialed{id, err})
}

func (w *world) listed(l List) []Effect {
	for _, m := range l.Members {
		if _, ok := w.left[m.Server]; m.State == brain.Ready {
			delete(w.left, m.Server)
		} else if !ok {
			w.left[m.Server] = w.now
		}
	}
	return w.do(Listed{w.r.watch, l})
}

func (w *world) exchanged(e Exchanged) {
	if e.Result != Broke && e.Result != Stalled && e.Reuse && e.Written == Whole {
		w.turn(e.Conn, idle)
		w.idleAt[e.Conn] = w.now
	}
	c := w.calls[w.onto[e.Conn]]
	if e.Result == Left && e.Written == Nothing && c.answers == 0 {
		c.gone = true
		w.becomes("seen to have left at the last look")
	}
	if c.spent = c.spent || e.Spent; c.flow == e.Conn {
		c.flow = 0
		w.becomes(fmt.Sprintf("flowing, ended with result %d", e.Result))
	}
	w.do(e)
}

// pass lets time go by, firing what is due in order.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; ; {
		first := -1
		for i := range w.timers {
			if w.timers[i].at <= end && (first < 0 || w.timers[i].at < w.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			w.now = end
			return
		}
		next := w.timers[first]
		w.timers = append(w.timers[:first], w.timers[first+1:]...)
		w.now = max(w.now, next.at)
		w.do(next.ev)
	}
}

// good is a whole answer on a connection that carries on.
func good(conn uint64) Exchanged {
	return Exchanged{Conn: conn, Written: Whole, Result: Good, Reuse: true}
}

var errDown = errors.New("down")

// The model against random steps: whatever clients, app nodes and discovery do, each connection goes through
// its states in order and is given back once, each call has one answer in time, and nothing is left behind.
func TestConnectionsAndCallsKeepToTheModel(t *testing.T) {
	met := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Hour, cfg: settings(), met: met}
		w.cfg.CanCancel = rapid.Bool().Draw(t, "cancel") // without, answers come after the call is over
		w.start(rapid.IntRange(1, 6).Draw(t, "budget"), "a:1", "b:1", "c:1")
		pick := func(s connState) (uint64, bool) {
			ids := w.in(s)
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(t, "conn"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"upload": func(t *rapid.T) {
				w.last++
				wait := time.Duration(rapid.IntRange(0, 700).Draw(t, "wait")) * ms
				w.calls[w.last] = &owed{deadline: w.now + wait, wait: wait}
				w.do(Arrived{&Call{ID: w.last, Class: rapid.IntRange(0, 1).Draw(t, "class"), Tenant: -1, Deadline: w.now + wait, OneShot: true}})
			},
			"uploaded": func(t *rapid.T) {
				if w.last > 0 {
					w.uploaded(rapid.Uint64Range(1, w.last).Draw(t, "call"))
				}
			},
			"call": func(t *rapid.T) {
				w.callAs(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "id"), rapid.IntRange(0, 1).Draw(t, "class"),
					time.Duration(rapid.IntRange(0, 700).Draw(t, "wait"))*ms)
			},
			"client gone": func(t *rapid.T) {
				if w.last > 0 {
					w.gone(rapid.Uint64Range(1, w.last).Draw(t, "call"))
				}
			},
			"dialed": func(t *rapid.T) {
				if id, ok := pick(dialing); ok {
					w.dialed(id, rapid.SampledFrom([]error{nil, nil, errDown}).Draw(t, "err"))
				}
			},
			"exchanged": func(t *rapid.T) {
				if id, ok := pick(busy); ok {
					e := Exchanged{Conn: id, Written: rapid.SampledFrom([]Written{Nothing, Partly, Whole}).Draw(t, "written")}
					if e.Written == Nothing && rapid.Bool().Draw(t, "left") {
						e.Result = Left
					}
					if e.Written != Nothing {
						e.Result = rapid.SampledFrom([]Result{Broke, Broke, Stalled, Good, Good, Good, Errored, Shed, Unusable, NoRoom, Left}).Draw(t, "result")
						e.Reuse = e.Result > Stalled && rapid.Bool().Draw(t, "reuse")
						e.Report = []float64{float64(rapid.IntRange(0, 9).Draw(t, "queue"))}
						e.Pause = time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * ms
						e.Spent = w.r.calls[w.onto[id]].OneShot && rapid.Bool().Draw(t, "spent")
					}
					if c := w.r.calls[w.onto[id]]; c.OneShot && !e.Spent && c.open {
						w.calls[c.ID].deadline = max(w.now, c.came+w.calls[c.ID].wait)
					}
					w.exchanged(e)
				}
			},
			"commit": func(t *rapid.T) {
				if id, ok := pick(busy); ok {
					w.flows(id, rapid.SampledFrom([]Result{Good, Good, Unusable}).Draw(t, "result"))
				}
			},
			"flow ends": func(t *rapid.T) {
				if id, ok := pick(flowing); ok {
					r := rapid.SampledFrom([]Result{Broke, Stalled, Good, Good, Left}).Draw(t, "result")
					w.exchanged(Exchanged{Conn: id, Written: Whole, Result: r, Reuse: r == Good && rapid.Bool().Draw(t, "reuse"),
						Report: []float64{1}, Pause: ms, Err: errDown})
				}
			},
			"late events": func(t *rapid.T) {
				if id, ok := pick(closed); ok {
					w.do(Flowing{Conn: id, Message: id})
					w.do(good(id))
					w.do(Lost{id})
					w.do(Dialed{Conn: id})
				}
			},
			"lost": func(t *rapid.T) {
				if id, ok := pick(idle); ok {
					w.do(Lost{id})
				}
			},
			"list": func(t *rapid.T) {
				state := rapid.SampledFrom([]brain.Readiness{brain.Ready, brain.Draining, brain.Gone}).Draw(t, "state")
				w.listed(list(rapid.Bool().Draw(t, "complete"), state,
					rapid.SampledFrom([]string{"a:1", "a:2", ""}).Draw(t, "address")))
				w.do(WatchEnded{w.r.watch, errDown})
				w.do(Reloaded{Discovery: rapid.SampledFrom([]string{"d:1", "d:2"}).Draw(t, "discovery")})
			},
			"operators": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "away") {
					w.do(Drain{})
				} else {
					w.do(Activate{})
				}
			},
			"time": func(t *rapid.T) {
				w.pass(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 1500}).Draw(t, "ms")) * ms)
			},
		})
		for range 2 { // what is held goes out when others end
			for id := range w.last {
				w.uploaded(id + 1)
			}
			for _, id := range w.in(flowing) { // no deadline ends those
				w.exchanged(Exchanged{Conn: id, Written: Whole, Result: Good})
			}
			w.pass(2 * time.Second) // past every deadline
		}
		for _, id := range w.in(dialing) {
			w.dialed(id, nil)
		}
		for id, c := range w.calls {
			if c.answers == 0 && !c.gone {
				t.Fatalf("call %d was never answered", id)
			}
		}
		if c := w.r.counts; c.Taken != c.Served+c.Refused+c.Failed+c.Left || c.Taken != uint64(len(w.calls)) {
			t.Fatalf("the counts do not add up: %+v of %d", c, len(w.calls))
		}
		byClass := ended{}
		for _, e := range w.r.tallies {
			byClass.ok, byClass.shed, byClass.errors = byClass.ok+e.ok, byClass.shed+e.shed, byClass.errors+e.errors
		}
		if c := w.r.counts; byClass != (ended{c.Served, c.Refused, c.Failed}) {
			t.Fatalf("by class %+v, all told %+v", byClass, c)
		}
		if w.r.Open() != 0 || len(w.in(busy))+len(w.in(flowing)) != 0 || len(w.r.byClient) != 0 {
			t.Fatalf("left behind: %d calls, busy connections %v, flowing %v", w.r.Open(), w.in(busy), w.in(flowing))
		}
		w.pass(5 * time.Second)
		if n := len(w.r.conns); n != 0 {
			t.Fatalf("%d connections outlived the idle limit", n)
		}
	})
	// A model whose walks never come to a state proves nothing of it.
	for _, what := range transitions {
		if met[what] == 0 && flag.Lookup("rapid.checks").Value.String() == "2000" {
			t.Errorf("never met: %s", what)
		}
		t.Logf("%7d  %s", met[what], what)
	}
	for what, n := range met {
		if !slices.Contains(transitions, what) {
			t.Errorf("not in the model: %s, %d times", what, n)
		}
	}
}

// transitions are all that the model knows.
var transitions = []string{
	"connection: nothing to dialing", "connection: dialing to idle", "connection: dialing to closed",
	"connection: idle to busy", "connection: idle to closed", "connection: busy to idle", "connection: busy to closed",
	"connection: busy to flowing", "connection: flowing to idle", "connection: flowing to closed",
	"call: answered, kind 0, flowing false", "call: answered, kind 0, flowing true", "call: answered, kind 1, flowing false",
	"call: answered, kind 1, flowing true", "call: answered, kind 2, flowing false", "call: answered, kind 3, flowing false",
	"call: answered, kind 4, flowing false", "call: flowing, the client left", "call: flowing, past its deadline",
	"call: flowing, ended with result 0", "call: flowing, ended with result 1", "call: flowing, ended with result 2",
	"call: flowing, ended with result 7", "call: seen to have left at the last look",
}

// A connection that the app node closed just before the write was never used: the call goes out on a new one
// and the module does not hear of a failure.
func TestACallNotWrittenAtAllGoesOutAgain(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	first := w.call(0, 600*ms)
	w.dialed(1, nil)
	w.exchanged(good(1))
	second := w.call(0, 600*ms)
	w.exchanged(Exchanged{Conn: 1, Written: Nothing, Err: errDown})
	w.dialed(2, nil)
	w.exchanged(good(2))
	if a, b := w.calls[first], w.calls[second]; a.answers != 1 || b.answers != 1 || a.reply.Kind != Served || b.reply.Kind != Served {
		t.Fatalf("answers %+v and %+v", a, b)
	}
}

// A client that leaves frees the app node: its connection closes. A dial under way is kept for the next call.
func TestClientGoneClosesTheDelegation(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	id := w.call(0, 600*ms)
	w.gone(id)
	w.dialed(1, nil)
	id = w.call(0, 600*ms)
	if len(w.in(busy)) != 1 || w.r.lastConn != 1 {
		t.Fatal("the finished dial did not join the pool")
	}
	w.gone(id)
	if w.conns[1] != closed || w.r.Open() != 0 {
		t.Fatalf("the delegation goes on: %v, %d calls", w.conns[1], w.r.Open())
	}
}

// An app node that never answers must not cost the client its answer, and a refusal says when to come back.
func TestASilentAppNodeIsAnsweredForInTime(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	id := w.call(0, 600*ms)
	w.dialed(1, nil)
	w.pass(600 * ms)
	if c := w.calls[id]; c.reply.Kind != Refused || c.reply.After == 0 {
		t.Fatalf("%+v", c.reply)
	}
	if w.conns[1] != closed {
		t.Error("the app node was left working")
	}
}

// What is open to an app node's old address leads elsewhere.
func TestAChangedAddressClosesOldConnections(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	w.call(0, 600*ms)
	w.dialed(1, nil)
	w.exchanged(good(1))
	w.call(0, 600*ms)
	w.listed(list(false, brain.Ready, "a:2"))
	w.exchanged(Exchanged{Conn: 1, Written: Whole, Result: Good})
	w.call(0, 600*ms)
	if d, ok := w.took[len(w.took)-1].(Dial); w.conns[1] != closed || !ok || d.Address != "a:2" {
		t.Fatalf("%v, then %+v", w.conns[1], w.took)
	}
}

// Readiness waits for a server: an empty list would have every call held.
func TestReadyWaitsForAServer(t *testing.T) {
	ready := func(effects []Effect) (n int) {
		for _, e := range effects {
			if _, ok := e.(Ready); ok {
				n++
			}
		}
		return n
	}
	w := newWorld(t, 4)
	if ready(w.took) != 0 || ready(w.listed(list(true, brain.Ready, "a:1"))) != 1 ||
		ready(w.listed(list(true, brain.Ready, "a:1"))) != 0 {
		t.Error("Ready belongs once, to the first list with a server")
	}
}

// A call that comes with no time left was sent nowhere, so the client is told that it may come again.
func TestACallWithoutTimeIsRefused(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	id := w.call(1, answerMargin)
	if c := w.calls[id]; c.reply.Kind != Refused || c.reply.After == 0 || w.r.Open() != 0 {
		t.Errorf("%+v, %d calls open", c.reply, w.r.Open())
	}
}

// The answer goes out in time even if the node stays silent, as it does about a call it holds.
func TestTheReducerAnswersForASilentNode(t *testing.T) {
	w := newWorld(t, 4) // no server: the node holds the call
	id := w.call(0, 140*ms)
	w.r.tell(w.r.pools[0], &brain.ClientGone{ID: w.r.calls[id].brainID}) // and now it has forgotten it
	w.pass(140 * ms)
	if c := w.calls[id]; c.answers != 1 || c.reply.Kind != Refused || w.r.Open() != 0 {
		t.Errorf("%+v, %d calls open", c, w.r.Open())
	}
}

// A reload that moves discovery must open the watch there at once and for the whole list, keep the servers known
// until it has spoken, and hear no more of the old watch; one that moves nothing must leave the watch alone.
func TestAReloadMovesTheWatchAtOnce(t *testing.T) {
	watches := func(effects []Effect) (all []Watch) {
		for _, e := range effects {
			if v, ok := e.(Watch); ok {
				all = append(all, v)
			}
		}
		return all
	}
	w := newWorld(t, 4, "a:1")
	w.pass(2 * time.Second) // the node's first ask
	old := w.r.watch
	if got := watches(w.do(Reloaded{Discovery: "d:1"})); old == 0 || len(got) != 0 {
		t.Fatalf("the same address again: %+v", got)
	}
	w.do(WatchEnded{old, errDown}) // the node pauses
	got := watches(w.do(Reloaded{Discovery: "d:2"}))
	if len(got) != 1 || got[0].Discovery != "d:2" || got[0].Since != 0 || got[0].ID == old {
		t.Fatalf("%+v", got)
	}
	w.do(WatchEnded{old, errDown})
	w.do(Listed{old, list(true, brain.Gone, "a:1")})
	w.pass(5 * time.Second) // the pause is over, but a watch is open
	if w.r.watch != got[0].ID {
		t.Error("the new watch was replaced")
	}
	if w.call(0, 600*ms); len(w.in(dialing)) != 1 {
		t.Error("the list was not kept")
	}
}

// Another client's copy of an open call's id must cost the call nothing, whichever is read first: the app node tells
// them apart, since it cannot use the copy. Nor may a copy be delegated later, or be told that coming again is harmless.
func TestACopiedIDCostsTheCallNothing(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	copied := w.callAs("x", 1, 600*ms) // read first
	real := w.callAs("x", 1, 600*ms)
	another := w.callAs("x", 1, 600*ms)
	w.dialed(1, nil)
	w.exchanged(Exchanged{Conn: 1, Written: Whole, Result: Unusable, Reuse: true})
	w.exchanged(good(1))
	late := w.callAs("x", 1, 600*ms)
	for id, want := range map[uint64]Kind{copied: Rejected, real: Served, another: Conflict, late: Conflict} {
		if got := w.calls[id].reply.Kind; got != want {
			t.Errorf("call %d: %d, want %d", id, got, want)
		}
	}
	held := w.callAs("z", 1, 600*ms)
	behind := w.callAs("z", 1, 300*ms)
	w.pass(300 * ms)
	if w.calls[behind].reply.Kind != Conflict || w.calls[held].answers != 0 {
		t.Errorf("%+v %+v", w.calls[behind], w.calls[held])
	}
	w.exchanged(good(1))
	if w.pass(time.Minute); w.r.Open() != 0 || len(w.r.byClient) != 0 {
		t.Errorf("%d calls and %d ids left", w.r.Open(), len(w.r.byClient))
	}
	for i := range 3 * idsMost { // a flood of ids must not grow without end
		w.r.remember(strconv.Itoa(i))
	}
	if n := len(w.r.used[0]) + len(w.r.used[1]); n > 2*idsMost || !w.r.wasUsed(strconv.Itoa(3*idsMost-1)) {
		t.Errorf("%d ids remembered", n)
	}
}

// On a long day app nodes are replaced all the time, some by new ones at the same address. What left must leave the
// state, what is open to it must not serve the new one, and no call may reach the new one under the old id.
func TestAReplacedServerIsForgotten(t *testing.T) {
	w := newWorld(t, 8)
	one := func(i int, state brain.Readiness, complete bool) List {
		return List{Complete: complete, Revision: int64(i), Addresses: []string{"a:1"}, Members: []brain.Member{
			{Server: fmt.Sprintf("s%d", i), Zone: "a", Weight: 1, Started: time.Duration(i) * time.Second, State: state}}}
	}
	w.listed(one(1, brain.Ready, false))
	first := w.call(0, 600*ms)
	w.dialed(1, nil)
	w.listed(one(2, brain.Ready, false)) // s1 is not told of
	if len(w.r.servers) != 1 || len(w.r.ordered) != 1 {
		t.Fatalf("%d servers at one address", len(w.r.servers))
	}
	w.exchanged(Exchanged{Conn: 1, Written: Whole, Result: Good})
	w.now += 10 * time.Second // s2 is cold, and takes its share
	w.call(0, 600*ms)
	if d, ok := w.took[len(w.took)-1].(Dial); w.calls[first].answers != 1 || w.conns[1] != closed || !ok || d.Address != "a:1" {
		t.Fatalf("%+v, connection %v, then %+v", w.calls[first], w.conns[1], w.took)
	}
	for i := 3; i < 50; i++ {
		w.listed(one(i, brain.Ready, i%2 == 0))
		w.listed(one(i, brain.Gone, false))
	}
	w.pass(time.Minute)
	if n := len(w.r.servers) + len(w.r.ordered); n != 0 {
		t.Errorf("%d entries left of servers that are gone", n)
	}
}

// An app node may close a connection right behind an answer. The next call takes one that has rested, so that the close
// is noticed before a call is lost to it; with no other at hand it does take that one.
func TestAConnectionSettlesBeforeItsNextCall(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	answer := func(conn uint64) { w.exchanged(good(conn)) }
	w.call(0, 600*ms)
	w.call(0, 600*ms)
	w.dialed(1, nil)
	w.dialed(2, nil)
	answer(1)
	w.pass(settleFor)
	answer(2)
	if w.call(0, 600*ms); w.conns[1] != busy || w.conns[2] != idle {
		t.Errorf("the connection of the latest answer was taken")
	}
	if w.call(0, 600*ms); w.conns[2] != busy || w.r.lastConn != 2 {
		t.Errorf("a new connection where one was idle")
	}
	answer(1)
	w.pass(settleFor)
	answer(2)
	w.pass(settleFor)
	if w.call(0, 600*ms); w.conns[2] != busy {
		t.Errorf("of those that have settled, the latest is to be used: the others may end")
	}
}

// A repeat of a keyed call is decided on while the app nodes remember its key. Where the connection for it comes up only when
// a cut is mended, that time may be over, and the call would have its effect twice.
func TestALateConnectionCarriesNoRepeatOfAKeyedCall(t *testing.T) {
	for _, c := range []struct {
		up    time.Duration // of the second connection, after the first was written on
		first *Exchanged    // how the first attempt has ended by then; nil: not yet
		goes  bool
	}{
		{900 * ms, nil, true}, {990 * ms, nil, false},
		{990 * ms, &Exchanged{Written: Whole, Result: Broke}, false},
		{990 * ms, &Exchanged{Written: Partly, Result: Broke}, true}, // it never ran
	} {
		w := newWorld(t, 10, "a:1", "b:1")
		w.r.cfg.ConnectTimeout = 2 * time.Second
		id := w.call(1, 3*time.Second)
		first := w.in(dialing)[0]
		w.dialed(first, nil)
		began := w.now
		call := w.r.calls[id]
		other := "s0"
		if call.delegations[0].server == "s0" {
			other = "s1"
		}
		w.pass(200 * ms)
		if len(call.delegations) == 1 { // the module has not asked for a copy by itself
			w.r.send(call, &brain.Action{Kind: brain.Send, ID: call.brainID, Server: other})
			for _, e := range w.r.out {
				if d, ok := e.(Dial); ok {
					w.turn(d.Conn, dialing)
				}
			}
			w.r.out = nil
		}
		second := w.in(dialing)
		if len(second) != 1 || len(call.delegations) != 2 {
			t.Fatalf("%d delegations, connections %v being made", len(call.delegations), second)
		}
		if c.first != nil {
			c.first.Conn = first
			w.exchanged(*c.first)
			if ran := call.delegations[0].asked > 0; ran == c.goes {
				t.Errorf("an attempt that ended as %+v may have run: %v", *c.first, ran)
			}
			continue // the module, which knows of no copy, has answered
		}
		w.now = began + c.up
		w.dialed(second[0], nil)
		if goes := w.conns[second[0]] == busy; goes != c.goes {
			t.Errorf("up %v after the first, which ended as %+v: sent %v, want %v", c.up, c.first, goes, c.goes)
		}
	}
}
