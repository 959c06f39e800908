package reducer

import (
	"testing"
	"time"

	"pewterrudder/brain"
)

// Tests of event orders in which a decision is overtaken by the end of its call, app node or connection.

// A drain is listed while the connection for a call is being dialed. The drain applies to new sends from then on, and
// the connection may come up after the grace period.
func TestDrainListedDuringDial(t *testing.T) {
	for _, c := range []struct {
		grace, up time.Duration // from the listing to the end of the dial
		wantSent  bool
	}{{2 * time.Second, 100 * ms, true}, {250 * ms, 100 * ms, true}, {250 * ms, 200 * ms, false}, {250 * ms, 400 * ms, false},
		{2 * time.Second, 2100 * ms, false}} {
		for _, state := range []brain.Readiness{brain.Draining, brain.Gone} {
			h := &harness{t: t, now: time.Hour, cfg: settings()}
			h.cfg.Rules.DrainGrace, h.cfg.ConnectTimeout = c.grace, 5*time.Second
			h.start(10, "a:1")
			id := h.arrive(1, 5*time.Second)
			k := h.inState(dialing)[0]
			h.now += 10 * ms
			h.listed(list(false, state, "a:1"))
			// The clock moves without timers, so the decider does nothing and only the reducer's own check is tested.
			h.now += c.up
			h.dialed(k, nil)
			want := c.wantSent && state == brain.Draining
			if sent := h.conns[k] == busy; sent != want {
				t.Errorf("grace %v, connection up %v after state %v was listed: sent %v", c.grace, c.up, state, sent)
			}
			if d := h.r.calls[id]; !want && d != nil && !d.attempts[0].ended {
				t.Errorf("grace %v, connection up after %v: the end of the attempt was not reported", c.grace, c.up)
			}
		}
	}
}

// After a drain is listed, a kept connection turns out to be closed, so that its call would need a new one.
func TestDrainListedBeforeIdleConnectionBreaks(t *testing.T) {
	h := newHarness(t, 10, "a:1")
	first := h.arrive(1, 5*time.Second)
	h.dialed(1, nil)
	h.exchanged(goodAnswer(1))
	h.now += 20 * ms
	second := h.arrive(1, 5*time.Second)
	if h.calls[first].answers != 1 || h.conns[1] != busy {
		t.Fatal("the idle connection was not used")
	}
	h.listed(list(false, brain.Draining, "a:1"))
	h.now += 1500 * ms
	h.exchanged(Exchanged{Conn: 1, Written: WroteNothing})
	if n := len(h.inState(dialing)); n != 0 {
		t.Errorf("%d connections dialed to a draining app node", n)
	}
	if d := h.r.calls[second]; d != nil && !d.attempts[0].ended {
		t.Error("the end of the attempt was not reported")
	}
}

// The process was suspended: the end of a dial is processed before the deadline of the call that it is for.
func TestDialCompletesAfterDeadline(t *testing.T) {
	h := newHarness(t, 10, "a:1")
	id := h.arrive(0, 600*ms)
	h.now += 590 * ms
	h.dialed(1, nil)
	if h.conns[1] != idle {
		t.Errorf("connection is %s, want idle", stateNames[h.conns[1]])
	}
	h.advance(ms)
	if c := h.calls[id]; c.answers != 1 || c.reply.Kind != Refused {
		t.Errorf("%+v", c)
	}
}

// Where lists are pushed, everything that the agent knows counts as announced. A watch that was reset must be reopened
// well within the grace period for drains.
func TestWatchReopensWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{100 * ms, 250 * ms, 2 * time.Second, time.Minute} {
		h := &harness{t: t, now: time.Hour, cfg: settings()}
		h.cfg.AskDiscovery, h.cfg.Rules.DrainGrace = false, grace
		h.start(10, "a:1")
		old := h.r.watchID
		h.do(WatchEnded{old, errDown})
		if h.r.watchID != old {
			t.Fatal("watch reopened without a pause")
		}
		h.advance(min(grace/4, time.Second))
		if h.r.watchID == old {
			t.Errorf("grace %v: watch not reopened after a quarter of it", grace)
		}
	}
}

// The client is seen to have left just before its call is written, while the ClientGone event is still queued. The call
// ends with all its attempts, and ClientGone then has no effect.
func TestClientLeftSeenBeforeClientGone(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		h := &harness{t: t, now: time.Hour, cfg: settings()}
		h.cfg.CanCancel = cancel
		h.start(10, "a:1", "b:1")
		id := h.arrive(0, 600*ms)
		h.dialed(1, nil)
		h.exchanged(Exchanged{Conn: 1, Written: WroteNothing, Result: ResultClientLeft})
		if h.conns[1] != closed || len(h.inState(dialing)) != 0 {
			t.Errorf("connection is %s, %d being dialed; want closed and none", stateNames[h.conns[1]], len(h.inState(dialing)))
		}
		if c := h.r.counts; c.Left != 1 || h.r.OpenCalls() != 0 {
			t.Errorf("%+v, %d calls open", c, h.r.OpenCalls())
		}
		h.clientGone(id)
		if c := h.r.counts; c.Left != 1 || c.active() != 0 {
			t.Errorf("%+v", c)
		}
	}
}
