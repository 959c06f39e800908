package reducer

import (
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
)

// hasEffect reports whether an effect of the last event satisfies fits.
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

// warmUp completes some calls, so that the decider knows typical latencies and has a retry budget.
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

// twoAttempts returns a call with attempts on two connections, the first of which is overdue.
func twoAttempts(t *testing.T, cancel bool) (*harness, uint64) {
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.cfg.CanCancel = cancel
	h.start(4, "a:1", "b:1", "c:1")
	h.warmUp()
	id := h.arrive(0, 600*ms)
	for until := h.now + 140*ms; len(h.inState(busy))+len(h.inState(dialing)) < 2; h.advance(5 * ms) {
		if h.now > until {
			t.Fatalf("no second attempt: %+v", h.calls[id])
		}
	}
	for _, d := range h.inState(dialing) {
		h.dialed(d, nil)
	}
	if len(h.inState(busy)) != 2 {
		t.Fatalf("busy connections %v, want 2", h.inState(busy))
	}
	return h, id
}

// The heads of two attempts' answers arrive at the same time: the first to ask is committed, the other is cancelled at
// once. If the committed one then breaks off, nothing more is sent, as the client's only answer has been given.
func TestOnlyFirstAttemptIsCommitted(t *testing.T) {
	h, id := twoAttempts(t, true)
	b := h.inState(busy)
	if !h.startFlow(b[0], ResultGood) || !h.hasEffect(closesConn(b[1])) {
		t.Fatalf("%+v", h.effects)
	}
	if h.startFlow(b[1], ResultGood) {
		t.Error("both attempts were committed")
	}
	h.exchanged(Exchanged{Conn: b[0], Written: WroteAll, Result: ResultBroken, Err: errDown})
	if c := h.calls[id]; c.answers != 1 || h.r.OpenCalls() != 0 || h.conns[b[0]] != closed {
		t.Errorf("%+v, %d open", c, h.r.OpenCalls())
	}
	if !h.hasEffect(func(e Effect) bool { l, ok := e.(Log); return ok && strings.Contains(l.Text, errDown.Error()) }) {
		t.Errorf("the broken answer was not logged: %+v", h.effects)
	}
	h.advance(time.Second)
	if len(h.inState(busy))+len(h.inState(dialing)) != 0 {
		t.Error("an attempt was sent after the commit")
	}
}

// If the settings do not allow cancellation, the other attempt runs on. Its answer, large or small, comes too late for
// the client.
func TestSecondAttemptRunsOnWithoutCancel(t *testing.T) {
	for _, large := range []bool{true, false} {
		h, id := twoAttempts(t, false)
		b := h.inState(busy)
		h.startFlow(b[0], ResultGood)
		if h.conns[b[1]] != busy {
			t.Fatal("the other attempt was cancelled although cancellation is not allowed")
		}
		if large && h.startFlow(b[1], ResultGood) {
			t.Error("both attempts were committed")
		} else if !large {
			h.exchanged(goodAnswer(b[1]))
		}
		h.exchanged(goodAnswer(b[0]))
		if c := h.calls[id]; c.answers != 1 || h.r.OpenCalls() != 0 {
			t.Errorf("%+v, %d open", c, h.r.OpenCalls())
		}
	}
}

// An overdue upload gets no second attempt: part of its body may have been consumed.
func TestUploadGetsNoSecondAttempt(t *testing.T) {
	h := newHarness(t, 4, "a:1", "b:1", "c:1")
	h.warmUp()
	h.lastCall++
	h.calls[h.lastCall] = &callState{deadline: h.now + 600*ms}
	h.do(Arrived{&Call{ID: h.lastCall, Tenant: -1, Deadline: h.now + 600*ms, StreamedBody: true}})
	for range 30 {
		if h.advance(5 * ms); len(h.inState(busy))+len(h.inState(dialing)) > 1 {
			t.Fatalf("busy %v, dialing %v", h.inState(busy), h.inState(dialing))
		}
	}
}

// When the client leaves between commit and end, the app node's connection is closed in the same event.
func TestClientLeavesDuringFlow(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	id := h.arriveAs("x", 1, 600*ms)
	h.dialed(1, nil)
	h.startFlow(1, ResultGood)
	if h.arriveAs("x", 1, 600*ms); h.r.OpenCalls() != 2 {
		t.Error("a call with the client ID of a flowing call was not queued")
	}
	if h.clientGone(id); !h.hasEffect(closesConn(1)) {
		t.Errorf("%+v", h.effects)
	}
	if h.r.OpenCalls() != 0 || h.calls[2].reply.Kind != Conflict {
		t.Errorf("%d calls open, the duplicate was answered %+v", h.r.OpenCalls(), h.calls[2])
	}
}

// endRecorder records the AttemptEnded events that the decider gets.
type endRecorder struct {
	brain.Decider
	ends []brain.AttemptEnded
}

func (recorder *endRecorder) Handle(now time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	if e, ok := ev.(*brain.AttemptEnded); ok {
		recorder.ends = append(recorder.ends, *e)
	}
	return recorder.Decider.Handle(now, ev, acts)
}

// The deadline applies to the first bytes only: a flow continues past it. The reported duration ends at the commit.
func TestFlowContinuesPastDeadline(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	recorder := &endRecorder{Decider: h.r.pools[0].decider}
	h.r.pools[0].decider = recorder
	id := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.advance(100 * ms)
	h.startFlow(1, ResultGood)
	h.advance(5 * time.Second)
	if h.conns[1] != flowing || h.calls[id].answers != 1 || h.r.counts.active() != 1 || len(recorder.ends) != 0 {
		t.Errorf("%v, %+v, %+v, %v", h.conns[1], h.calls[id], h.r.counts, recorder.ends)
	}
	h.exchanged(goodAnswer(1))
	if len(recorder.ends) != 1 || recorder.ends[0].Outcome != brain.OK || recorder.ends[0].Took != 100*ms || !recorder.ends[0].Final || h.r.OpenCalls() != 0 {
		t.Errorf("%+v", recorder.ends)
	}
	if c := h.r.counts; c.Served != 1 || c.active() != 0 {
		t.Errorf("%+v", c)
	}
}

// An app node drains, moves or is removed while an answer flows from it: the flow is completed, and the connection is
// not reused.
func TestFlowSurvivesListChanges(t *testing.T) {
	for _, l := range []List{list(false, brain.Draining, "a:1"), list(false, brain.Gone, "a:1"), list(false, brain.Ready, "a:2"), list(true, brain.Ready)} {
		h := newHarness(t, 4, "a:1")
		h.arrive(0, 600*ms)
		h.dialed(1, nil)
		h.startFlow(1, ResultGood)
		h.listed(l)
		h.do(Reloaded{Discovery: "d:9"})
		if h.conns[1] != flowing {
			t.Fatalf("list %+v ended the flow", l)
		}
		h.exchanged(goodAnswer(1))
		h.advance(3 * time.Second)
		if h.conns[1] != closed || h.r.OpenCalls() != 0 {
			t.Errorf("%+v: %v, %d open", l, h.conns[1], h.r.OpenCalls())
		}
	}
}

// A slow client's flow counts as in flight at the app node, but neither its long duration nor its pauses count against
// the app node.
func TestSlowClientIsNotBlamedOnAppNode(t *testing.T) {
	h := newHarness(t, 8, "a:1")
	h.cfg.Classes[0].Deadline = time.Minute
	h = h.start(8, "a:1")
	h.arrive(0, 30*time.Second)
	h.dialed(1, nil)
	h.advance(5 * ms)
	h.startFlow(1, ResultGood)
	for i := range 20 { // the client reads for ten seconds; others are served meanwhile
		id := h.arrive(0, 600*ms)
		for _, d := range h.inState(dialing) {
			h.dialed(d, nil)
		}
		if len(h.inState(busy)) != 1 {
			t.Fatalf("after %d s no call is sent to the app node", i/2)
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
	// Attempts at a fast app node count as overdue after milliseconds, not after the ten seconds of the flow.
	id := h.arrive(0, 600*ms)
	conn := h.inState(busy)[0]
	h.advance(300 * ms)
	if h.calls[id].answers == 0 && h.conns[conn] == busy && h.r.calls[id].attempts[0].ended {
		t.Error("the overdue attempt is still waited for")
	}
}

// There is no memory for a large answer. The call has run, so only repeatable calls are refused, and no other app node
// is asked.
func TestNoMemoryForLargeAnswer(t *testing.T) {
	for class, want := range []ReplyKind{Refused, Failed} {
		h := newHarness(t, 4, "a:1", "b:1")
		id := h.arrive(class, 600*ms)
		h.dialed(1, nil)
		h.exchanged(Exchanged{Conn: 1, Written: WroteAll, Result: ResultNoMemory})
		if c := h.calls[id]; c.answers != 1 || c.reply.Kind != want || (c.reply.RetryAfter > 0) != (want == Refused) || h.r.lastConnID != 1 {
			t.Errorf("class %d: %+v, %d connections", class, c, h.r.lastConnID)
		}
	}
}

// An answer that stalls before the commit is retried on another app node while there is time.
func TestStalledAnswerIsRetriedElsewhere(t *testing.T) {
	h := newHarness(t, 4, "a:1", "b:1")
	h.warmUp()
	id := h.arrive(0, 600*ms)
	conn := h.inState(busy)[0]
	var firstStall time.Duration
	for _, e := range h.effects {
		if x, ok := e.(Exchange); ok {
			firstStall = x.ReadTimeout
		}
	}
	h.advance(firstStall)
	h.exchanged(Exchanged{Conn: conn, Written: WroteAll, Result: ResultStalled, Err: errDown})
	if len(h.inState(dialing))+len(h.inState(busy)) != 1 || h.conns[conn] != closed {
		t.Fatalf("%+v", h.effects)
	}
	for _, d := range h.inState(dialing) {
		h.dialed(d, nil)
	}
	for _, e := range h.effects {
		if x, ok := e.(Exchange); ok && x.ReadTimeout <= firstStall {
			t.Errorf("stall timeout was %v, now %v; must grow after a stall, or a timeout that is too short would never adapt", firstStall, x.ReadTimeout)
		}
	}
	h.exchanged(goodAnswer(h.inState(busy)[0]))
	if h.calls[id].reply.Kind != Served {
		t.Errorf("%+v", h.calls[id])
	}
}

// A body streamed from the client is sent only once. A failed attempt is answered at once: with a refusal if it never
// ran or may run twice. Before its first byte it may go to another connection.
func TestUploadBodyIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		class   int
		written WriteProgress
		result  Result
		want    ReplyKind
	}{
		{0, WroteAll, ResultBroken, Refused}, {1, WroteAll, ResultBroken, Failed}, {1, WrotePart, ResultBroken, Refused}, {1, WroteAll, ResultShed, Refused},
		{1, WroteAll, ResultAppError, Failed}, {1, WrotePart, ResultClientLeft, Refused}, {1, WroteAll, ResultInvalidCall, Rejected},
	} {
		h := newHarness(t, 4, "a:1", "b:1")
		h.lastCall++
		h.calls[1] = &callState{deadline: h.now + 600*ms}
		h.do(Arrived{&Call{ID: 1, Class: c.class, Tenant: -1, Deadline: h.now + 600*ms, StreamedBody: true}})
		h.dialed(1, nil)
		h.exchanged(Exchanged{Conn: 1, Written: WroteNothing}) // the connection had ended: nothing was consumed
		h.dialed(2, nil)
		h.exchanged(Exchanged{Conn: 2, Written: c.written, Result: c.result, BodyUsed: true})
		if o := h.calls[1]; o.answers != 1 || o.reply.Kind != c.want || h.r.lastConnID != 2 || h.r.OpenCalls() != 0 {
			t.Errorf("%+v: %+v, %d connections", c, o, h.r.lastConnID)
		}
	}
}

// misbehavingDecider breaks its contract: it answers after the commit, sends again, cancels the flow and names an
// unknown server. The client's answer must not be affected.
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

func TestMisbehavingDeciderCannotDisturbFlow(t *testing.T) {
	d := new(misbehavingDecider)
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.start(4, "a:1")
	h.r = NewWithDecider(h.cfg, d, 4)
	h.do(Started{Known: list(true, brain.Ready, "a:1"), Discovery: "d:1"})
	id := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	if !h.startFlow(1, ResultGood) || !d.streamBegun || h.conns[1] != flowing || len(h.inState(dialing))+len(h.inState(busy)) != 0 {
		t.Fatalf("%+v", h.effects)
	}
	h.exchanged(goodAnswer(1))
	if c := h.calls[id]; c.answers != 1 || c.reply.Kind != Served || h.r.OpenCalls() != 0 {
		t.Errorf("%+v, %d open", c, h.r.OpenCalls())
	}
}
