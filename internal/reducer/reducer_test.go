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

// With the default of 100 checks the rarer orders of events hardly occur.
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

// harness drives a Reducer event by event. It keeps a model of the state of each connection, as implied by the effects,
// and of what each call is owed, and checks every effect against it.
type harness struct {
	t interface {
		Fatalf(string, ...any)
		Helper()
	}
	cfg             brain.Settings
	r               *Reducer
	now             time.Duration
	conns           map[uint64]connState
	idleAt          map[uint64]time.Duration
	calls           map[uint64]*callState
	lastCall        uint64
	timers          []scheduledEvent
	lastByClientID  map[string]scheduledEvent // by client ID: the call last sent under it, and when
	effects         []Effect                  // of the last event
	closes          []CloseClientConns        // all CloseClientConns effects so far
	sendsToDraining bool                      // the deciders may send to app nodes that drain
	notReadySince   map[string]time.Duration  // when each app node that is not ready was first listed so

	figures     *Figures          // last published
	callOn      map[uint64]uint64 // the call on each connection
	transitions map[string]int    // counts of the transitions of connections and calls, shared between runs
}

var stateNames = map[connState]string{dialing: "dialing", busy: "busy", flowing: "flowing", idle: "idle", closed: "closed"}

// setState puts a connection into a state and counts the transition.
func (h *harness) setState(conn uint64, to connState) {
	from := "nothing"
	if s, ok := h.conns[conn]; ok {
		from = stateNames[s]
	}
	h.conns[conn] = to
	h.transitions["connection: "+from+" to "+stateNames[to]]++
}

// record counts a transition of a call.
func (h *harness) record(what string) { h.transitions["call: "+what]++ }

// callState is what the model knows of a call.
type callState struct {
	deadline     time.Duration
	timeout      time.Duration // of an upload, from its last byte
	pastDeadline bool          // its answer still flows after the deadline
	answers      int
	clientGone   bool
	bodyUsed     bool   // its body has been consumed
	flow         uint64 // the connection that its answer flows on; 0: none
	reply        Reply
}

// scheduledEvent is an event with the time at which it is due.
type scheduledEvent struct {
	at    time.Duration
	event Event
}

func newHarness(t *testing.T, budget int, addresses ...string) *harness {
	return (&harness{t: t, now: time.Hour, cfg: settings()}).start(budget, addresses...)
}

func (h *harness) start(budget int, addresses ...string) *harness {
	r, err := New(h.cfg, 7, budget)
	if err != nil {
		h.t.Fatalf("%v", err)
	}
	h.lastByClientID, h.callOn, h.notReadySince = map[string]scheduledEvent{}, map[uint64]uint64{}, map[string]time.Duration{}
	if h.transitions == nil {
		h.transitions = map[string]int{}
	}
	h.r, h.conns, h.idleAt, h.calls = r, map[uint64]connState{}, map[uint64]time.Duration{}, map[uint64]*callState{}
	h.do(Started{Known: list(true, brain.Ready, addresses...), Discovery: "d:1"})
	return h
}

func (h *harness) do(ev Event) []Effect {
	h.t.Helper()
	h.effects = h.r.Handle(h.now, ev, nil)
	for _, e := range h.effects {
		switch e := e.(type) {
		case Dial:
			if _, ok := h.conns[e.Conn]; ok {
				h.t.Fatalf("connection %d dialed twice", e.Conn)
			}
			h.setState(e.Conn, dialing)
		case Exchange:
			if s, ok := h.conns[e.Conn]; !ok || s != idle {
				h.t.Fatalf("Exchange on connection %d in state %v", e.Conn, s)
			}
			if at, ok := h.idleAt[e.Conn]; ok && h.now-at >= h.r.idleLimit() {
				h.t.Fatalf("connection %d used after %v idle", e.Conn, h.now-at)
			}
			if c := h.calls[e.Call.ID]; c.answers > 0 || c.clientGone || c.bodyUsed {
				h.t.Fatalf("call %d sent although it has ended or its body was used: %+v", e.Call.ID, c)
			}
			cn := h.r.conns[e.Conn]
			if at, ok := h.notReadySince[cn.srv.id]; ok && h.now-at >= h.cfg.Rules.DrainGrace && !(h.sendsToDraining && cn.attempt.startedAt >= at) {
				h.t.Fatalf("call %d sent to an app node %v after its drain was listed", e.Call.ID, h.now-at)
			}
			if c := h.calls[e.Call.ID]; h.now >= c.deadline-answerMargin {
				h.t.Fatalf("call %d sent only %v before its deadline", e.Call.ID, c.deadline-h.now)
			}
			if e.ReadTimeout <= 0 || e.FlowReadTimeout <= e.ReadTimeout {
				h.t.Fatalf("invalid stall timeouts %v and %v", e.ReadTimeout, e.FlowReadTimeout)
			}
			h.setState(e.Conn, busy)
			h.callOn[e.Conn] = e.Call.ID
			if e.Call.StreamedBody {
				h.calls[e.Call.ID].deadline = 1 << 62 // the deadline does not run while the body is being sent
			}
			if id := e.Call.ClientID; id != "" {
				by, ok := h.lastByClientID[id].event.(callDeadline)
				if ok && by.call != e.Call.ID && h.calls[by.call].reply.Kind != Rejected && h.now-h.lastByClientID[id].at < clientIDRetention {
					h.t.Fatalf("calls %d and %d both sent with client ID %s", by.call, e.Call.ID, id)
				}
				h.lastByClientID[id] = scheduledEvent{h.now, callDeadline{e.Call.ID}}
			}
		case Close:
			if s, ok := h.conns[e.Conn]; !ok || s == closed {
				h.t.Fatalf("connection %d closed twice", e.Conn)
			}
			if c := h.calls[h.callOn[e.Conn]]; h.conns[e.Conn] == flowing && c.flow == e.Conn {
				c.flow = 0
				if !c.clientGone {
					h.t.Fatalf("flow of call %d cut by event %T", h.callOn[e.Conn], ev)
				}
				h.record("flowing, the client left")
			}
			h.setState(e.Conn, closed)
		case Answer:
			c := h.calls[e.Call]
			if c.answers++; c.answers > 1 || c.clientGone {
				h.t.Fatalf("call %d: answer %d, client gone: %v", e.Call, c.answers, c.clientGone)
			}
			if h.now > c.deadline {
				h.t.Fatalf("call %d answered %v late", e.Call, h.now-c.deadline)
			}
			c.reply = e.Reply
			if conn, ok := e.Reply.Message.(uint64); ok {
				if h.conns[conn] != busy || h.callOn[conn] != e.Call {
					h.t.Fatalf("call %d committed on connection %d, which is in state %v and carries call %d", e.Call, conn, h.conns[conn], h.callOn[conn])
				}
				c.flow = conn
				h.setState(conn, flowing)
			}
			h.record(fmt.Sprintf("answered, kind %d, flowing %v", e.Reply.Kind, c.flow != 0))
		case Publish:
			h.figures = e.Figures
		case CloseClientConns:
			h.closes = append(h.closes, e)
		case StartTimer:
			h.timers = append(h.timers, scheduledEvent{h.now + e.After, e.Event})
		}
	}
	for _, c := range h.calls {
		if c.flow != 0 && h.now > c.deadline && !c.pastDeadline {
			c.pastDeadline = true
			h.record("flowing, past its deadline")
		}
	}
	if c := h.r.counts; c.active() < 0 || c.active() > h.r.OpenCalls() {
		h.t.Fatalf("%d calls active, %d open: %+v", c.active(), h.r.OpenCalls(), c)
	}
	byServer, seen := 0, map[*server]bool{}
	for _, cn := range h.r.conns {
		if !seen[cn.srv] {
			byServer += len(cn.srv.conns)
		}
		seen[cn.srv] = true
	}
	if open := len(h.inState(dialing)) + len(h.inState(busy)) + len(h.inState(flowing)) + len(h.inState(idle)); open > h.r.connBudget ||
		open != len(h.r.conns) || open != byServer {
		h.t.Fatalf("%d connections open, the reducer has %d, budget %d", open, len(h.r.conns), h.r.connBudget)
	}
	return h.effects
}

// inState returns the connections in a state, lowest ID first.
func (h *harness) inState(s connState) (ids []uint64) {
	for id := uint64(1); id <= h.r.lastConnID; id++ {
		if have, ok := h.conns[id]; ok && have == s {
			ids = append(ids, id)
		}
	}
	return ids
}

func (h *harness) arrive(class int, wait time.Duration) uint64 { return h.arriveAs("", class, wait) }

func (h *harness) arriveAs(id string, class int, wait time.Duration) uint64 {
	h.lastCall++
	h.calls[h.lastCall] = &callState{deadline: h.now + wait}
	h.do(Arrived{&Call{ID: h.lastCall, ClientID: id, Class: class, Tenant: -1, Deadline: h.now + wait}})
	return h.lastCall
}

// clientGone ends the client connection of a call.
func (h *harness) clientGone(id uint64) {
	if c := h.calls[id]; c.answers == 0 || c.flow != 0 {
		c.clientGone = true
	}
	h.do(ClientGone{id})
}

// startFlow asks to commit the answer on a connection and reports whether it was committed.
func (h *harness) startFlow(conn uint64, result Result) bool {
	h.do(Flowing{Conn: conn, Result: result, Message: conn})
	return h.conns[conn] == flowing
}

// uploaded reports the last byte of a body, if it was being sent.
func (h *harness) uploaded(id uint64) {
	if c := h.r.calls[id]; c != nil && c.uploading {
		h.calls[id].deadline = h.now + h.calls[id].timeout
	}
	h.do(Uploaded{id, h.now})
}

func (h *harness) dialed(id uint64, err error) {
	if err == nil {
		h.setState(id, idle) // the connection is up; whether it is used is up to the reducer
	}
	h.do(Dialed{id, err})
}

func (h *harness) listed(l List) []Effect {
	for _, m := range l.Members {
		if _, ok := h.notReadySince[m.Server]; m.State == brain.Ready {
			delete(h.notReadySince, m.Server)
		} else if !ok {
			h.notReadySince[m.Server] = h.now
		}
	}
	return h.do(Listed{h.r.watchID, l})
}

func (h *harness) exchanged(e Exchanged) {
	if e.Result != ResultBroken && e.Result != ResultStalled && e.Reusable && e.Written == WroteAll {
		h.setState(e.Conn, idle)
		h.idleAt[e.Conn] = h.now
	}
	c := h.calls[h.callOn[e.Conn]]
	if e.Result == ResultClientLeft && e.Written == WroteNothing && c.answers == 0 {
		c.clientGone = true
		h.record("found to have left before the write")
	}
	if c.bodyUsed = c.bodyUsed || e.BodyUsed; c.flow == e.Conn {
		c.flow = 0
		h.record(fmt.Sprintf("flowing, ended with result %d", e.Result))
	}
	h.do(e)
}

// advance moves the clock forward and delivers the scheduled events in order.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; ; {
		first := -1
		for i := range h.timers {
			if h.timers[i].at <= end && (first < 0 || h.timers[i].at < h.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			h.now = end
			return
		}
		next := h.timers[first]
		h.timers = append(h.timers[:first], h.timers[first+1:]...)
		h.now = max(h.now, next.at)
		h.do(next.event)
	}
}

// goodAnswer is a complete answer on a connection that can be reused.
func goodAnswer(conn uint64) Exchanged {
	return Exchanged{Conn: conn, Written: WroteAll, Result: ResultGood, Reusable: true}
}

var errDown = errors.New("down")

// Random events from clients, app nodes and discovery: each connection goes through its states in order and is released
// once, each call gets one answer in time, and nothing is left over.
func TestConnectionsAndCallsMatchModel(t *testing.T) {
	transitions := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, now: time.Hour, cfg: settings(), transitions: transitions}
		h.cfg.CanCancel = rapid.Bool().Draw(t, "cancel") // without cancellation, answers arrive after the end of the call
		h.start(rapid.IntRange(1, 6).Draw(t, "budget"), "a:1", "b:1", "c:1")
		pick := func(s connState) (uint64, bool) {
			ids := h.inState(s)
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(t, "conn"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"upload": func(t *rapid.T) {
				h.lastCall++
				wait := time.Duration(rapid.IntRange(0, 700).Draw(t, "wait")) * ms
				h.calls[h.lastCall] = &callState{deadline: h.now + wait, timeout: wait}
				h.do(Arrived{&Call{ID: h.lastCall, Class: rapid.IntRange(0, 1).Draw(t, "class"), Tenant: -1, Deadline: h.now + wait, StreamedBody: true}})
			},
			"uploaded": func(t *rapid.T) {
				if h.lastCall > 0 {
					h.uploaded(rapid.Uint64Range(1, h.lastCall).Draw(t, "call"))
				}
			},
			"call": func(t *rapid.T) {
				h.arriveAs(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "id"), rapid.IntRange(0, 1).Draw(t, "class"),
					time.Duration(rapid.IntRange(0, 700).Draw(t, "wait"))*ms)
			},
			"client gone": func(t *rapid.T) {
				if h.lastCall > 0 {
					h.clientGone(rapid.Uint64Range(1, h.lastCall).Draw(t, "call"))
				}
			},
			"dialed": func(t *rapid.T) {
				if id, ok := pick(dialing); ok {
					h.dialed(id, rapid.SampledFrom([]error{nil, nil, errDown}).Draw(t, "err"))
				}
			},
			"exchanged": func(t *rapid.T) {
				if id, ok := pick(busy); ok {
					e := Exchanged{Conn: id, Written: rapid.SampledFrom([]WriteProgress{WroteNothing, WrotePart, WroteAll}).Draw(t, "written")}
					if e.Written == WroteNothing && rapid.Bool().Draw(t, "left") {
						e.Result = ResultClientLeft
					}
					if e.Written != WroteNothing {
						e.Result = rapid.SampledFrom([]Result{ResultBroken, ResultBroken, ResultStalled, ResultGood, ResultGood, ResultGood, ResultAppError, ResultShed, ResultInvalidCall, ResultNoMemory, ResultClientLeft}).Draw(t, "result")
						e.Reusable = e.Result > ResultStalled && rapid.Bool().Draw(t, "reuse")
						e.Report = []float64{float64(rapid.IntRange(0, 9).Draw(t, "queue"))}
						e.LongestPause = time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * ms
						e.BodyUsed = h.r.calls[h.callOn[id]].StreamedBody && rapid.Bool().Draw(t, "spent")
					}
					if c := h.r.calls[h.callOn[id]]; c.StreamedBody && !e.BodyUsed && c.uploading {
						h.calls[c.ID].deadline = max(h.now, c.arrivedAt+h.calls[c.ID].timeout)
					}
					h.exchanged(e)
				}
			},
			"commit": func(t *rapid.T) {
				if id, ok := pick(busy); ok {
					h.startFlow(id, rapid.SampledFrom([]Result{ResultGood, ResultGood, ResultInvalidCall}).Draw(t, "result"))
				}
			},
			"flow ends": func(t *rapid.T) {
				if id, ok := pick(flowing); ok {
					r := rapid.SampledFrom([]Result{ResultBroken, ResultStalled, ResultGood, ResultGood, ResultClientLeft}).Draw(t, "result")
					h.exchanged(Exchanged{Conn: id, Written: WroteAll, Result: r, Reusable: r == ResultGood && rapid.Bool().Draw(t, "reuse"),
						Report: []float64{1}, LongestPause: ms, Err: errDown})
				}
			},
			"late events": func(t *rapid.T) {
				if id, ok := pick(closed); ok {
					h.do(Flowing{Conn: id, Message: id})
					h.do(goodAnswer(id))
					h.do(Lost{id})
					h.do(Dialed{Conn: id})
				}
			},
			"lost": func(t *rapid.T) {
				if id, ok := pick(idle); ok {
					h.do(Lost{id})
				}
			},
			"list": func(t *rapid.T) {
				state := rapid.SampledFrom([]brain.Readiness{brain.Ready, brain.Draining, brain.Gone}).Draw(t, "state")
				h.listed(list(rapid.Bool().Draw(t, "complete"), state,
					rapid.SampledFrom([]string{"a:1", "a:2", ""}).Draw(t, "address")))
				h.do(WatchEnded{h.r.watchID, errDown})
				h.do(Reloaded{Discovery: rapid.SampledFrom([]string{"d:1", "d:2"}).Draw(t, "discovery")})
			},
			"operators": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "drain") {
					h.do(Drain{})
				} else {
					h.do(Activate{})
				}
			},
			"time": func(t *rapid.T) {
				h.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 1500}).Draw(t, "ms")) * ms)
			},
		})
		for range 2 { // twice, because held calls are sent when others end
			for id := range h.lastCall {
				h.uploaded(id + 1)
			}
			for _, id := range h.inState(flowing) { // flows are not ended by a deadline
				h.exchanged(Exchanged{Conn: id, Written: WroteAll, Result: ResultGood})
			}
			h.advance(2 * time.Second) // past every deadline
		}
		for _, id := range h.inState(dialing) {
			h.dialed(id, nil)
		}
		for id, c := range h.calls {
			if c.answers == 0 && !c.clientGone {
				t.Fatalf("call %d was never answered", id)
			}
		}
		if c := h.r.counts; c.Taken != c.Served+c.Refused+c.Failed+c.Left || c.Taken != uint64(len(h.calls)) {
			t.Fatalf("counts %+v do not add up to %d calls", c, len(h.calls))
		}
		byClass := classCount{}
		for _, e := range h.r.classCounts {
			byClass.ok, byClass.shed, byClass.errors = byClass.ok+e.ok, byClass.shed+e.shed, byClass.errors+e.errors
		}
		if c := h.r.counts; byClass != (classCount{c.Served, c.Refused, c.Failed}) {
			t.Fatalf("counts by class %+v, in total %+v", byClass, c)
		}
		if h.r.OpenCalls() != 0 || len(h.inState(busy))+len(h.inState(flowing)) != 0 || len(h.r.callsByClientID) != 0 {
			t.Fatalf("left over: %d calls, busy connections %v, flowing %v", h.r.OpenCalls(), h.inState(busy), h.inState(flowing))
		}
		h.advance(5 * time.Second)
		if n := len(h.r.conns); n != 0 {
			t.Fatalf("%d connections open after the idle limit", n)
		}
	})
	// A check whose runs never reach a transition proves nothing about it.
	for _, what := range modelTransitions {
		if transitions[what] == 0 && flag.Lookup("rapid.checks").Value.String() == "2000" {
			t.Errorf("transition never occurred: %s", what)
		}
		t.Logf("%7d  %s", transitions[what], what)
	}
	for what, n := range transitions {
		if !slices.Contains(modelTransitions, what) {
			t.Errorf("transition not in the model: %s, %d times", what, n)
		}
	}
}

// modelTransitions lists every transition that the model knows.
var modelTransitions = []string{
	"connection: nothing to dialing", "connection: dialing to idle", "connection: dialing to closed",
	"connection: idle to busy", "connection: idle to closed", "connection: busy to idle", "connection: busy to closed",
	"connection: busy to flowing", "connection: flowing to idle", "connection: flowing to closed",
	"call: answered, kind 0, flowing false", "call: answered, kind 0, flowing true", "call: answered, kind 1, flowing false",
	"call: answered, kind 1, flowing true", "call: answered, kind 2, flowing false", "call: answered, kind 3, flowing false",
	"call: answered, kind 4, flowing false", "call: flowing, the client left", "call: flowing, past its deadline",
	"call: flowing, ended with result 0", "call: flowing, ended with result 1", "call: flowing, ended with result 2",
	"call: flowing, ended with result 7", "call: found to have left before the write",
}

// The app node closed the connection just before the write: the call was not sent. It goes out on a new connection, and
// the decider does not see a failure.
func TestUnwrittenCallIsSentAgain(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	first := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.exchanged(goodAnswer(1))
	second := h.arrive(0, 600*ms)
	h.exchanged(Exchanged{Conn: 1, Written: WroteNothing, Err: errDown})
	h.dialed(2, nil)
	h.exchanged(goodAnswer(2))
	if a, b := h.calls[first], h.calls[second]; a.answers != 1 || b.answers != 1 || a.reply.Kind != Served || b.reply.Kind != Served {
		t.Fatalf("answers %+v and %+v", a, b)
	}
}

// When a client leaves, the app node's connection is closed to stop the work. A dial in progress is kept for the next
// call.
func TestClientGoneClosesAttempt(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	id := h.arrive(0, 600*ms)
	h.clientGone(id)
	h.dialed(1, nil)
	id = h.arrive(0, 600*ms)
	if len(h.inState(busy)) != 1 || h.r.lastConnID != 1 {
		t.Fatal("the connection of the abandoned attempt was not reused")
	}
	h.clientGone(id)
	if h.conns[1] != closed || h.r.OpenCalls() != 0 {
		t.Fatalf("the attempt continues: connection %v, %d calls open", h.conns[1], h.r.OpenCalls())
	}
}

// If an app node never answers, the client still gets a refusal in time, with a retry hint.
func TestSilentAppNodeIsRefusedInTime(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	id := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.advance(600 * ms)
	if c := h.calls[id]; c.reply.Kind != Refused || c.reply.RetryAfter == 0 {
		t.Fatalf("%+v", c.reply)
	}
	if h.conns[1] != closed {
		t.Error("the connection to the silent app node is still open")
	}
}

// Connections to an app node's old address must not be used any more.
func TestChangedAddressClosesOldConnections(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.exchanged(goodAnswer(1))
	h.arrive(0, 600*ms)
	h.listed(list(false, brain.Ready, "a:2"))
	h.exchanged(Exchanged{Conn: 1, Written: WroteAll, Result: ResultGood})
	h.arrive(0, 600*ms)
	if d, ok := h.effects[len(h.effects)-1].(Dial); h.conns[1] != closed || !ok || d.Address != "a:2" {
		t.Fatalf("connection %v, effects %+v", h.conns[1], h.effects)
	}
}

// Ready waits for the first server: with an empty list every call would be held.
func TestReadyWaitsForServer(t *testing.T) {
	ready := func(effects []Effect) (n int) {
		for _, e := range effects {
			if _, ok := e.(Ready); ok {
				n++
			}
		}
		return n
	}
	h := newHarness(t, 4)
	if ready(h.effects) != 0 || ready(h.listed(list(true, brain.Ready, "a:1"))) != 1 ||
		ready(h.listed(list(true, brain.Ready, "a:1"))) != 0 {
		t.Error("Ready must be emitted exactly once, with the first list that has a server")
	}
}

// A call that arrives too late was not sent anywhere, so it is refused and may be retried.
func TestExpiredCallIsRefused(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	id := h.arrive(1, answerMargin)
	if c := h.calls[id]; c.reply.Kind != Refused || c.reply.RetryAfter == 0 || h.r.OpenCalls() != 0 {
		t.Errorf("%+v, %d calls open", c.reply, h.r.OpenCalls())
	}
}

// A call is answered in time even if the decider never decides on it, as with a call that it holds.
func TestReducerAnswersForSilentDecider(t *testing.T) {
	h := newHarness(t, 4) // without a server the decider holds the call
	id := h.arrive(0, 140*ms)
	h.r.notify(h.r.pools[0], &brain.ClientGone{ID: h.r.calls[id].deciderID}) // makes the decider forget the call
	h.advance(140 * ms)
	if c := h.calls[id]; c.answers != 1 || c.reply.Kind != Refused || h.r.OpenCalls() != 0 {
		t.Errorf("%+v, %d calls open", c, h.r.OpenCalls())
	}
}

// A reload with a new discovery address opens the watch there at once and requests the complete list, keeps the known
// servers until that list arrives, and ignores the old watch. A reload with the same address leaves the watch alone.
func TestReloadMovesWatchAtOnce(t *testing.T) {
	watches := func(effects []Effect) (all []Watch) {
		for _, e := range effects {
			if v, ok := e.(Watch); ok {
				all = append(all, v)
			}
		}
		return all
	}
	h := newHarness(t, 4, "a:1")
	h.advance(2 * time.Second) // until the decider first asks
	old := h.r.watchID
	if got := watches(h.do(Reloaded{Discovery: "d:1"})); old == 0 || len(got) != 0 {
		t.Fatalf("reload with the same address: %+v", got)
	}
	h.do(WatchEnded{old, errDown}) // the decider waits before it asks again
	got := watches(h.do(Reloaded{Discovery: "d:2"}))
	if len(got) != 1 || got[0].Discovery != "d:2" || got[0].Since != 0 || got[0].ID == old {
		t.Fatalf("%+v", got)
	}
	h.do(WatchEnded{old, errDown})
	h.do(Listed{old, list(true, brain.Gone, "a:1")})
	h.advance(5 * time.Second) // the wait is over, but a watch is open
	if h.r.watchID != got[0].ID {
		t.Error("the new watch was replaced")
	}
	if h.arrive(0, 600*ms); len(h.inState(dialing)) != 1 {
		t.Error("the server list was not kept")
	}
}

// A copy of an open call's client ID from another client must not harm the call, whichever is read first: the app node
// rejects the copy. A later copy must neither be sent nor be told that a retry is harmless.
func TestDuplicateClientIDDoesNotHarmCall(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	copied := h.arriveAs("x", 1, 600*ms) // read first
	real := h.arriveAs("x", 1, 600*ms)
	another := h.arriveAs("x", 1, 600*ms)
	h.dialed(1, nil)
	h.exchanged(Exchanged{Conn: 1, Written: WroteAll, Result: ResultInvalidCall, Reusable: true})
	h.exchanged(goodAnswer(1))
	late := h.arriveAs("x", 1, 600*ms)
	for id, want := range map[uint64]ReplyKind{copied: Rejected, real: Served, another: Conflict, late: Conflict} {
		if got := h.calls[id].reply.Kind; got != want {
			t.Errorf("call %d: %d, want %d", id, got, want)
		}
	}
	first := h.arriveAs("z", 1, 600*ms)
	second := h.arriveAs("z", 1, 300*ms)
	h.advance(300 * ms)
	if h.calls[second].reply.Kind != Conflict || h.calls[first].answers != 0 {
		t.Errorf("%+v %+v", h.calls[second], h.calls[first])
	}
	h.exchanged(goodAnswer(1))
	if h.advance(time.Minute); h.r.OpenCalls() != 0 || len(h.r.callsByClientID) != 0 {
		t.Errorf("%d calls and %d client IDs left", h.r.OpenCalls(), len(h.r.callsByClientID))
	}
	for i := range 3 * maxClientIDs { // the number of remembered IDs is bounded
		h.r.rememberClientID(strconv.Itoa(i))
	}
	if n := len(h.r.recentClientIDs[0]) + len(h.r.recentClientIDs[1]); n > 2*maxClientIDs || !h.r.recentlyUsed(strconv.Itoa(3*maxClientIDs-1)) {
		t.Errorf("%d client IDs remembered", n)
	}
}

// App nodes are replaced all the time, sometimes by new ones at the same address. A replaced one must leave the state,
// its connections must not serve the new one, and no call may reach the new one under the old ID.
func TestReplacedServerIsRemoved(t *testing.T) {
	h := newHarness(t, 8)
	listOf := func(i int, state brain.Readiness, complete bool) List {
		return List{Complete: complete, Revision: int64(i), Addresses: []string{"a:1"}, Members: []brain.Member{
			{Server: fmt.Sprintf("s%d", i), Zone: "a", Weight: 1, Started: time.Duration(i) * time.Second, State: state}}}
	}
	h.listed(listOf(1, brain.Ready, false))
	first := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.listed(listOf(2, brain.Ready, false)) // the removal of s1 is not listed
	if len(h.r.servers) != 1 || len(h.r.serverList) != 1 {
		t.Fatalf("%d servers at one address", len(h.r.servers))
	}
	h.exchanged(Exchanged{Conn: 1, Written: WroteAll, Result: ResultGood})
	h.now += 10 * time.Second // s2 is warming up and gets its share
	h.arrive(0, 600*ms)
	if d, ok := h.effects[len(h.effects)-1].(Dial); h.calls[first].answers != 1 || h.conns[1] != closed || !ok || d.Address != "a:1" {
		t.Fatalf("%+v, connection %v, then %+v", h.calls[first], h.conns[1], h.effects)
	}
	for i := 3; i < 50; i++ {
		h.listed(listOf(i, brain.Ready, i%2 == 0))
		h.listed(listOf(i, brain.Gone, false))
	}
	h.advance(time.Minute)
	if n := len(h.r.servers) + len(h.r.serverList); n != 0 {
		t.Errorf("%d entries of removed servers left", n)
	}
}

// An app node may close a connection right after an answer. The next call prefers a connection that has been idle for
// reuseDelay, so that the close is noticed before a call is lost to it. Without another one it takes the recent one.
func TestReuseDelay(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	answer := func(conn uint64) { h.exchanged(goodAnswer(conn)) }
	h.arrive(0, 600*ms)
	h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.dialed(2, nil)
	answer(1)
	h.advance(reuseDelay)
	answer(2)
	if h.arrive(0, 600*ms); h.conns[1] != busy || h.conns[2] != idle {
		t.Errorf("the connection with the latest answer was used before reuseDelay")
	}
	if h.arrive(0, 600*ms); h.conns[2] != busy || h.r.lastConnID != 2 {
		t.Errorf("a new connection was dialed although one was idle")
	}
	answer(1)
	h.advance(reuseDelay)
	answer(2)
	h.advance(reuseDelay)
	if h.arrive(0, 600*ms); h.conns[2] != busy {
		t.Errorf("the most recently used settled connection must be preferred, so that the others can expire")
	}
}

// A retry of a keyed call is decided while the app nodes remember its key. If its connection comes up only after a
// network partition heals, the window may be over, and the call would take effect twice.
func TestNoKeyedRetryAfterKeyWindow(t *testing.T) {
	for _, c := range []struct {
		up    time.Duration // when the second connection comes up, after the first attempt was written
		first *Exchanged    // how the first attempt has ended by then; nil: it has not
		sent  bool
	}{
		{900 * ms, nil, true}, {990 * ms, nil, false},
		{990 * ms, &Exchanged{Written: WroteAll, Result: ResultBroken}, false},
		{990 * ms, &Exchanged{Written: WrotePart, Result: ResultBroken}, true}, // it never ran
	} {
		h := newHarness(t, 10, "a:1", "b:1")
		h.r.cfg.ConnectTimeout = 2 * time.Second
		id := h.arrive(1, 3*time.Second)
		first := h.inState(dialing)[0]
		h.dialed(first, nil)
		began := h.now
		call := h.r.calls[id]
		other := "s0"
		if call.attempts[0].server == "s0" {
			other = "s1"
		}
		h.advance(200 * ms)
		if len(call.attempts) == 1 { // the decider has not started a second attempt by itself
			h.r.startAttempt(call, &brain.Action{Kind: brain.Send, ID: call.deciderID, Server: other})
			for _, e := range h.r.effects {
				if d, ok := e.(Dial); ok {
					h.setState(d.Conn, dialing)
				}
			}
			h.r.effects = nil
		}
		second := h.inState(dialing)
		if len(second) != 1 || len(call.attempts) != 2 {
			t.Fatalf("%d attempts, connections %v being dialed", len(call.attempts), second)
		}
		if c.first != nil {
			c.first.Conn = first
			h.exchanged(*c.first)
			if ran := call.attempts[0].mayHaveRunSince > 0; ran == c.sent {
				t.Errorf("an attempt that ended as %+v may have run: %v", *c.first, ran)
			}
			continue // the decider, which does not know of the second attempt, has answered
		}
		h.now = began + c.up
		h.dialed(second[0], nil)
		if sent := h.conns[second[0]] == busy; sent != c.sent {
			t.Errorf("connection up %v after the first attempt, which ended as %+v: sent %v, want %v", c.up, c.first, sent, c.sent)
		}
	}
}
