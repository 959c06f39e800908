package reducer

import (
	"testing"
	"time"

	"pewterrudder/brain"
)

// These are orders of events in which something that was decided crosses its end.

// A drain is told while the connection for a call is being made. What is told binds from then on for new sends, and the
// connection may come up after the grace.
func TestADrainIsToldWhileAConnectionIsBeingMade(t *testing.T) {
	for _, c := range []struct {
		grace, up time.Duration // from the word to the connection
		goes      bool
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
			h.now += c.up // the module's own clocks stand still: what is held here is held by the reducer
			h.dialed(k, nil)
			want := c.goes && state == brain.Draining
			if goes := h.conns[k] == busy; goes != want {
				t.Errorf("grace %v, up %v after the word %v: sent %v", c.grace, c.up, state, goes)
			}
			if d := h.r.calls[id]; !want && d != nil && !d.attempts[0].ended {
				t.Errorf("grace %v, up after %v: nobody was told that it was not sent", c.grace, c.up)
			}
		}
	}
}

// A kept connection turns out to have ended, so that its call needs another one, after the drain was told.
func TestADrainIsToldWhileAKeptConnectionEnds(t *testing.T) {
	h := newHarness(t, 10, "a:1")
	first := h.arrive(1, 5*time.Second)
	h.dialed(1, nil)
	h.exchanged(goodAnswer(1))
	h.now += 20 * ms
	second := h.arrive(1, 5*time.Second)
	if h.calls[first].answers != 1 || h.conns[1] != busy {
		t.Fatal("the kept connection was not used")
	}
	h.listed(list(false, brain.Draining, "a:1"))
	h.now += 1500 * ms
	h.exchanged(Exchanged{Conn: 1, Written: Nothing})
	if n := len(h.inState(dialing)); n != 0 {
		t.Errorf("%d connections are made to an app node that drains", n)
	}
	if d := h.r.calls[second]; d != nil && !d.attempts[0].ended {
		t.Error("nobody was told that it was not sent")
	}
}

// The process stood still: a connection that came up meanwhile is heard of before the deadline of the call that it is for.
func TestAConnectionComesUpBehindTheDeadline(t *testing.T) {
	h := newHarness(t, 10, "a:1")
	id := h.arrive(0, 600*ms)
	h.now += 590 * ms
	h.dialed(1, nil)
	if h.conns[1] != idle {
		t.Errorf("connection %s", stateNames[h.conns[1]])
	}
	h.advance(ms)
	if c := h.calls[id]; c.answers != 1 || c.reply.Kind != Refused {
		t.Errorf("%+v", c)
	}
}

// Where lists are pushed, what the agent has counts as told all the time: a watch that was reset is opened again well
// within the grace for drains.
func TestAWatchIsOpenedAgainWithinTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{100 * ms, 250 * ms, 2 * time.Second, time.Minute} {
		h := &harness{t: t, now: time.Hour, cfg: settings()}
		h.cfg.AskDiscovery, h.cfg.Rules.DrainGrace = false, grace
		h.start(10, "a:1")
		old := h.r.watchID
		h.do(WatchEnded{old, errDown})
		if h.r.watchID != old {
			t.Fatal("opened again at once, however often")
		}
		h.advance(min(grace/4, time.Second))
		if h.r.watchID == old {
			t.Errorf("grace %v: the watch is not open after a quarter of it", grace)
		}
	}
}

// The client of a call is seen to have left when that is to be written, while the word of its leaving still waits: the call is
// over with all that is out for it, and the word finds nothing.
func TestTheLastLookComesBeforeTheWord(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		h := &harness{t: t, now: time.Hour, cfg: settings()}
		h.cfg.CanCancel = cancel
		h.start(10, "a:1", "b:1")
		id := h.arrive(0, 600*ms)
		h.dialed(1, nil)
		h.exchanged(Exchanged{Conn: 1, Written: Nothing, Result: Left})
		if h.conns[1] != closed || len(h.inState(dialing)) != 0 {
			t.Errorf("connection %s, and %d are made for it", stateNames[h.conns[1]], len(h.inState(dialing)))
		}
		if c := h.r.counts; c.Left != 1 || h.r.Open() != 0 {
			t.Errorf("%+v, %d calls open", c, h.r.Open())
		}
		h.clientGone(id)
		if c := h.r.counts; c.Left != 1 || c.active() != 0 {
			t.Errorf("%+v", c)
		}
	}
}
