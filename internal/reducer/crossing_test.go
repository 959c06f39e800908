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
			w := &world{t: t, now: time.Hour, cfg: settings()}
			w.cfg.Rules.DrainGrace, w.cfg.ConnectTimeout = c.grace, 5*time.Second
			w.start(10, "a:1")
			id := w.call(1, 5*time.Second)
			k := w.in(dialing)[0]
			w.now += 10 * ms
			w.listed(list(false, state, "a:1"))
			w.now += c.up // the module's own clocks stand still: what is held here is held by the reducer
			w.dialed(k, nil)
			want := c.goes && state == brain.Draining
			if goes := w.conns[k] == busy; goes != want {
				t.Errorf("grace %v, up %v after the word %v: sent %v", c.grace, c.up, state, goes)
			}
			if d := w.r.calls[id]; !want && d != nil && !d.delegations[0].over {
				t.Errorf("grace %v, up after %v: nobody was told that it was not sent", c.grace, c.up)
			}
		}
	}
}

// A kept connection turns out to have ended, so that its call needs another one, after the drain was told.
func TestADrainIsToldWhileAKeptConnectionEnds(t *testing.T) {
	w := newWorld(t, 10, "a:1")
	first := w.call(1, 5*time.Second)
	w.dialed(1, nil)
	w.exchanged(good(1))
	w.now += 20 * ms
	second := w.call(1, 5*time.Second)
	if w.calls[first].answers != 1 || w.conns[1] != busy {
		t.Fatal("the kept connection was not used")
	}
	w.listed(list(false, brain.Draining, "a:1"))
	w.now += 1500 * ms
	w.exchanged(Exchanged{Conn: 1, Written: Nothing})
	if n := len(w.in(dialing)); n != 0 {
		t.Errorf("%d connections are made to an app node that drains", n)
	}
	if d := w.r.calls[second]; d != nil && !d.delegations[0].over {
		t.Error("nobody was told that it was not sent")
	}
}

// The process stood still: a connection that came up meanwhile is heard of before the deadline of the call that it is for.
func TestAConnectionComesUpBehindTheDeadline(t *testing.T) {
	w := newWorld(t, 10, "a:1")
	id := w.call(0, 600*ms)
	w.now += 590 * ms
	w.dialed(1, nil)
	if w.conns[1] != idle {
		t.Errorf("connection %s", names[w.conns[1]])
	}
	w.pass(ms)
	if c := w.calls[id]; c.answers != 1 || c.reply.Kind != Refused {
		t.Errorf("%+v", c)
	}
}

// Where lists are pushed, what the agent has counts as told all the time: a watch that was reset is opened again well
// within the grace for drains.
func TestAWatchIsOpenedAgainWithinTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{100 * ms, 250 * ms, 2 * time.Second, time.Minute} {
		w := &world{t: t, now: time.Hour, cfg: settings()}
		w.cfg.AskDiscovery, w.cfg.Rules.DrainGrace = false, grace
		w.start(10, "a:1")
		old := w.r.watch
		w.do(WatchEnded{old, errDown})
		if w.r.watch != old {
			t.Fatal("opened again at once, however often")
		}
		w.pass(min(grace/4, time.Second))
		if w.r.watch == old {
			t.Errorf("grace %v: the watch is not open after a quarter of it", grace)
		}
	}
}

// The client of a call is seen to have left when that is to be written, while the word of its leaving still waits: the call is
// over with all that is out for it, and the word finds nothing.
func TestTheLastLookComesBeforeTheWord(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		w := &world{t: t, now: time.Hour, cfg: settings()}
		w.cfg.CanCancel = cancel
		w.start(10, "a:1", "b:1")
		id := w.call(0, 600*ms)
		w.dialed(1, nil)
		w.exchanged(Exchanged{Conn: 1, Written: Nothing, Result: Left})
		if w.conns[1] != closed || len(w.in(dialing)) != 0 {
			t.Errorf("connection %s, and %d are made for it", names[w.conns[1]], len(w.in(dialing)))
		}
		if c := w.r.counts; c.Left != 1 || w.r.Open() != 0 {
			t.Errorf("%+v, %d calls open", c, w.r.Open())
		}
		w.gone(id)
		if c := w.r.counts; c.Left != 1 || c.active() != 0 {
			t.Errorf("%+v", c)
		}
	}
}
