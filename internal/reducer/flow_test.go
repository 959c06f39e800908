package reducer

import (
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
)

// has says whether the effects of the last event hold one that fits.
func (h *harness) hasEffect(fits func(Effect) bool) bool {
	for _, e := range h.effects {
		if fits(e) {
			return true
		}
	}
	return false
}

func closesConn(conn uint64) func(Effect) bool {
	return func(e Effect) bool { c, ok := e.(Close); return ok && c.Conn == conn }
}

// warm has calls served, so that the module knows how long answers take and has earned a budget for repeats.
func (h *harness) warmUp() {
	for range 20 {
		h.arrive(0, 600*ms)
		for _, d := range h.inState(dialing) {
			h.dialed(d, nil)
		}
		h.advance(2 * ms)
		for _, b := range h.inState(busy) {
			h.exchanged(goodAnswer(b))
		}
		h.advance(20 * ms)
	}
}

// twoCopies has one call out on two connections, the first of them overdue.
func twoCopies(t *testing.T, cancel bool) (*harness, uint64) {
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.cfg.CanCancel = cancel
	h.start(4, "a:1", "b:1", "c:1")
	h.warmUp()
	id := h.arrive(0, 600*ms)
	for until := h.now + 140*ms; len(h.inState(busy))+len(h.inState(dialing)) < 2; h.advance(5 * ms) {
		if h.now > until {
			t.Fatalf("no second copy: %+v", h.calls[id])
		}
	}
	for _, d := range h.inState(dialing) {
		h.dialed(d, nil)
	}
	if len(h.inState(busy)) != 2 {
		t.Fatalf("busy: %v", h.inState(busy))
	}
	return h, id
}

// Two copies' heads arrive in the same instant: the first to ask is the client's, the other is called off at once; when
// the winner breaks, nothing is left to send, and the client's one answer has been given.
func TestTwoCopiesAskToBeCommitted(t *testing.T) {
	h, id := twoCopies(t, true)
	b := h.inState(busy)
	if !h.startFlow(b[0], Good) || !h.hasEffect(closesConn(b[1])) {
		t.Fatalf("%+v", h.effects)
	}
	if h.startFlow(b[1], Good) {
		t.Error("both flow")
	}
	h.exchanged(Exchanged{Conn: b[0], Written: Whole, Result: Broke, Err: errDown})
	if c := h.calls[id]; c.answers != 1 || h.r.Open() != 0 || h.conns[b[0]] != closed {
		t.Errorf("%+v, %d open", c, h.r.Open())
	}
	if !h.hasEffect(func(e Effect) bool { l, ok := e.(Log); return ok && strings.Contains(l.Text, errDown.Error()) }) {
		t.Errorf("nothing is said of it: %+v", h.effects)
	}
	h.advance(time.Second)
	if len(h.inState(busy))+len(h.inState(dialing)) != 0 {
		t.Error("something was sent after the commit")
	}
}

// Where the settings permit no cancels the other copy runs on; its answer, large or small, is too late for the client.
func TestACopyThatCannotBeCalledOff(t *testing.T) {
	for _, large := range []bool{true, false} {
		h, id := twoCopies(t, false)
		b := h.inState(busy)
		h.startFlow(b[0], Good)
		if h.conns[b[1]] != busy {
			t.Fatal("called off")
		}
		if large && h.startFlow(b[1], Good) {
			t.Error("both flow")
		} else if !large {
			h.exchanged(goodAnswer(b[1]))
		}
		h.exchanged(goodAnswer(b[0]))
		if c := h.calls[id]; c.answers != 1 || h.r.Open() != 0 {
			t.Errorf("%+v, %d open", c, h.r.Open())
		}
	}
}

// An overdue upload has no second copy: a part of its body may be gone.
func TestAnUploadHasNoSecondCopy(t *testing.T) {
	h := newHarness(t, 4, "a:1", "b:1", "c:1")
	h.warmUp()
	h.last++
	h.calls[h.last] = &callModel{deadline: h.now + 600*ms}
	h.do(Arrived{&Call{ID: h.last, Tenant: -1, Deadline: h.now + 600*ms, OneShot: true}})
	for range 30 {
		if h.advance(5 * ms); len(h.inState(busy))+len(h.inState(dialing)) > 1 {
			t.Fatalf("busy %v, dialing %v", h.inState(busy), h.inState(dialing))
		}
	}
}

// Between commit and end the client leaves: the app node's connection ends in that very step.
func TestAClientLeavesAFlow(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	id := h.arriveAs("x", 1, 600*ms)
	h.dialed(1, nil)
	h.startFlow(1, Good)
	if h.arriveAs("x", 1, 600*ms); h.r.Open() != 2 {
		t.Error("the id of a call that flows is in use")
	}
	if h.clientGone(id); !h.hasEffect(closesConn(1)) {
		t.Errorf("%+v", h.effects)
	}
	if h.r.Open() != 0 || h.calls[2].reply.Kind != Conflict {
		t.Errorf("%d open, the copy was answered %+v", h.r.Open(), h.calls[2])
	}
}

// listener notes what the module hears of the ends of attempts.
type endRecorder struct {
	brain.Decider
	ends []brain.AttemptEnded
}

func (l *endRecorder) Handle(now time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	if e, ok := ev.(*brain.AttemptEnded); ok {
		l.ends = append(l.ends, *e)
	}
	return l.Decider.Handle(now, ev, acts)
}

// The deadline is that of the first bytes: what flows goes on past it, and the time that is told of is the one to the commit.
func TestAFlowOutlivesItsDeadline(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	l := &endRecorder{Decider: h.r.pools[0].decider}
	h.r.pools[0].decider = l
	id := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.advance(100 * ms)
	h.startFlow(1, Good)
	h.advance(5 * time.Second)
	if h.conns[1] != flowing || h.calls[id].answers != 1 || h.r.counts.active() != 1 || len(l.ends) != 0 {
		t.Errorf("%v, %+v, %+v, %v", h.conns[1], h.calls[id], h.r.counts, l.ends)
	}
	h.exchanged(goodAnswer(1))
	if len(l.ends) != 1 || l.ends[0].Outcome != brain.OK || l.ends[0].Took != 100*ms || !l.ends[0].Final || h.r.Open() != 0 {
		t.Errorf("%+v", l.ends)
	}
	if c := h.r.counts; c.Served != 1 || c.active() != 0 {
		t.Errorf("%+v", c)
	}
}

// An app node drains, moves, or is gone while an answer flows from it: what has been taken is finished, and the
// connection is not used again.
func TestAFlowOutlivesTheList(t *testing.T) {
	for _, l := range []List{list(false, brain.Draining, "a:1"), list(false, brain.Gone, "a:1"), list(false, brain.Ready, "a:2"), list(true, brain.Ready)} {
		h := newHarness(t, 4, "a:1")
		h.arrive(0, 600*ms)
		h.dialed(1, nil)
		h.startFlow(1, Good)
		h.listed(l)
		h.do(Reloaded{Discovery: "d:9"})
		if h.conns[1] != flowing {
			t.Fatalf("%+v: cut", l)
		}
		h.exchanged(goodAnswer(1))
		h.advance(3 * time.Second)
		if h.conns[1] != closed || h.r.Open() != 0 {
			t.Errorf("%+v: %v, %d open", l, h.conns[1], h.r.Open())
		}
	}
}

// A slow client's flow holds its place at the app node, and says nothing against it: neither a long time of an answer
// nor silence.
func TestASlowClientIsNoSlowAppNode(t *testing.T) {
	h := newHarness(t, 8, "a:1")
	h.cfg.Classes[0].Deadline = time.Minute
	h = h.start(8, "a:1")
	h.arrive(0, 30*time.Second)
	h.dialed(1, nil)
	h.advance(5 * ms)
	h.startFlow(1, Good)
	for i := range 20 { // it reads for ten seconds; meanwhile others are served
		id := h.arrive(0, 600*ms)
		for _, d := range h.inState(dialing) {
			h.dialed(d, nil)
		}
		if len(h.inState(busy)) != 1 {
			t.Fatalf("after %d s no call goes to the app node", i/2)
		}
		h.advance(5 * ms)
		h.exchanged(goodAnswer(h.inState(busy)[0]))
		if h.calls[id].reply.Kind != Served {
			t.Fatalf("%+v", h.calls[id])
		}
		h.advance(500 * ms)
	}
	h.exchanged(goodAnswer(1))
	h.advance(time.Second)
	id := h.arrive(0, 600*ms) // an overdue attempt at a fast app node is one of milliseconds, not of ten seconds
	conn := h.inState(busy)[0]
	h.advance(300 * ms)
	if h.calls[id].answers == 0 && h.conns[conn] == busy && h.r.calls[id].attempts[0].ended {
		t.Error("still waited for")
	}
}

// No memory for a large answer: it has run, so that only what may be repeated is refused, and another app node is not
// asked for the same again.
func TestNoRoomForALargeAnswer(t *testing.T) {
	for class, want := range []ReplyKind{Refused, Failed} {
		h := newHarness(t, 4, "a:1", "b:1")
		id := h.arrive(class, 600*ms)
		h.dialed(1, nil)
		h.exchanged(Exchanged{Conn: 1, Written: Whole, Result: NoRoom})
		if c := h.calls[id]; c.answers != 1 || c.reply.Kind != want || (c.reply.After > 0) != (want == Refused) || h.r.lastConnID != 1 {
			t.Errorf("class %d: %+v, %d connections", class, c, h.r.lastConnID)
		}
	}
}

// An answer that stops before its commit frees the attempt for another app node while there is time.
func TestAnAnswerThatStopsIsAskedForElsewhere(t *testing.T) {
	h := newHarness(t, 4, "a:1", "b:1")
	h.warmUp()
	id := h.arrive(0, 600*ms)
	conn := h.inState(busy)[0]
	var first time.Duration
	for _, e := range h.effects {
		if x, ok := e.(Exchange); ok {
			first = x.Stall
		}
	}
	h.advance(first)
	h.exchanged(Exchanged{Conn: conn, Written: Whole, Result: Stalled, Err: errDown})
	if len(h.inState(dialing))+len(h.inState(busy)) != 1 || h.conns[conn] != closed {
		t.Fatalf("%+v", h.effects)
	}
	for _, d := range h.inState(dialing) {
		h.dialed(d, nil)
	}
	for _, e := range h.effects {
		if x, ok := e.(Exchange); ok && x.Stall <= first {
			t.Errorf("the wait was %v and is %v: one that was too short could never learn it", first, x.Stall)
		}
	}
	h.exchanged(goodAnswer(h.inState(busy)[0]))
	if h.calls[id].reply.Kind != Served {
		t.Errorf("%+v", h.calls[id])
	}
}

// A body that flows is sent once. What is left of a failed attempt is an answer at once: a refusal where it never ran or
// may run twice. Before its first byte it may go elsewhere.
func TestAnUploadIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		class   int
		written WriteProgress
		result  Result
		want    ReplyKind
	}{
		{0, Whole, Broke, Refused}, {1, Whole, Broke, Failed}, {1, Partly, Broke, Refused}, {1, Whole, Shed, Refused},
		{1, Whole, Errored, Failed}, {1, Partly, Left, Refused}, {1, Whole, Unusable, Rejected},
	} {
		h := newHarness(t, 4, "a:1", "b:1")
		h.last++
		h.calls[1] = &callModel{deadline: h.now + 600*ms}
		h.do(Arrived{&Call{ID: 1, Class: c.class, Tenant: -1, Deadline: h.now + 600*ms, OneShot: true}})
		h.dialed(1, nil)
		h.exchanged(Exchanged{Conn: 1, Written: Nothing}) // the connection had ended: nothing was taken
		h.dialed(2, nil)
		h.exchanged(Exchanged{Conn: 2, Written: c.written, Result: c.result, Spent: true})
		if o := h.calls[1]; o.answers != 1 || o.reply.Kind != c.want || h.r.lastConnID != 2 || h.r.Open() != 0 {
			t.Errorf("%+v: %+v, %d connections", c, o, h.r.lastConnID)
		}
	}
}

// A decider that does what it should not: answers after the commit, sends again, calls the flow off, names a server that
// nobody knows. The client's answer stands.
type misbehavingDecider struct {
	streamBegun bool
	id          string
}

func (s *misbehavingDecider) Handle(_ time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.Request:
		s.id = e.ID
		return append(acts, brain.Action{Kind: brain.Send, ID: e.ID, Server: "nobody"}, brain.Action{Kind: brain.Send, ID: e.ID, Server: "s0"})
	case *brain.StreamBegun:
		s.streamBegun = true
		return append(acts, brain.Action{Kind: brain.Cancel, ID: e.ID, Attempt: e.Attempt}, brain.Action{Kind: brain.Refuse, ID: e.ID},
			brain.Action{Kind: brain.Send, ID: e.ID, Server: "s0"}, brain.Action{Kind: brain.Fail, ID: e.ID})
	}
	return acts
}

func TestAStubbornDeciderCannotHarmAFlow(t *testing.T) {
	d := new(misbehavingDecider)
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.start(4, "a:1")
	h.r = NewWith(h.cfg, d, 4)
	h.do(Started{Known: list(true, brain.Ready, "a:1"), Discovery: "d:1"})
	id := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	if !h.startFlow(1, Good) || !d.streamBegun || h.conns[1] != flowing || len(h.inState(dialing))+len(h.inState(busy)) != 0 {
		t.Fatalf("%+v", h.effects)
	}
	h.exchanged(goodAnswer(1))
	if c := h.calls[id]; c.answers != 1 || c.reply.Kind != Served || h.r.Open() != 0 {
		t.Errorf("%+v, %d open", c, h.r.Open())
	}
}
