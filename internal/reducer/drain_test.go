package reducer

import (
	"testing"
	"time"
)

// turnedTo reports whether the last event started (drain) or ended a drain of clients.
func (h *harness) turnedTo(drain bool) bool {
	return h.hasEffect(func(e Effect) bool { return e == SetDraining{drain} })
}

// A drain gives the frontend time to notice before connections are closed, and spares connections that have not sent
// anything for longer. A repeated request has no effect, and both are confirmed.
func TestDrainClosesClientConnections(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	began, isCallback := h.now, func(e Effect) bool { _, ok := e.(RunCallback); return ok }
	if h.do(Drain{Done: func() {}}); !h.turnedTo(true) || !h.hasEffect(isCallback) {
		t.Fatalf("%v", h.effects)
	}
	h.advance(closeIdleAfter - ms)
	if h.do(Drain{Done: func() {}}); h.turnedTo(true) || !h.hasEffect(isCallback) || len(h.closes) != 0 {
		t.Errorf("%v, %v", h.effects, h.closes)
	}
	h.advance(2 * ms)
	if len(h.closes) != 1 || h.closes[0].IncludeSilent {
		t.Errorf("%v after %v", h.closes, h.now-began)
	}
	h.advance(closeSilentAfter - 2*closeInterval - closeIdleAfter)
	for _, p := range h.closes {
		if p.IncludeSilent {
			t.Errorf("silent connections closed after %v", h.now-began)
		}
	}
	h.advance(4 * closeInterval)
	if last := h.closes[len(h.closes)-1]; !last.IncludeSilent || h.now-began > 3*time.Second {
		t.Errorf("last close %+v after %v; the platform checks at 4 s", last, h.now-began)
	}
}

// A drain can be ended at any time, and then no client connection is closed, not even by a timer of an earlier drain.
func TestActivateEndsDrain(t *testing.T) {
	for _, after := range []time.Duration{0, closeIdleAfter - ms, closeIdleAfter, closeIdleAfter + ms, closeSilentAfter, 3 * time.Second} {
		h := newHarness(t, 4, "a:1")
		h.do(Drain{})
		h.advance(after)
		if h.do(Activate{}); !h.turnedTo(false) {
			t.Fatalf("after %v: %v", after, h.effects)
		}
		n := len(h.closes)
		if h.advance(4 * time.Second); len(h.closes) != n {
			t.Errorf("after %v: connections closed after Activate", after)
		}
		h.do(Drain{})
		h.advance(closeIdleAfter / 2)
		h.do(Activate{})
		h.do(Drain{})
		if h.advance(closeIdleAfter - ms); len(h.closes) != n {
			t.Error("a timer of an earlier drain closed connections")
		}
	}
}

// Published figures add up, are recent enough, and reflect the list and the decider's view of app nodes.
func TestFiguresArePublished(t *testing.T) {
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.start(4)
	if h.advance(time.Second); h.figures != nil {
		t.Fatal("figures published although not enabled")
	}
	h.do(Started{Known: list(true, 0, "a:1", "a:2"), Discovery: "d:1", Figures: true})
	h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.arrive(1, 600*ms)
	h.advance(publishInterval)
	if f := h.figures; f == nil || f.Active != 2 || f.Listed != 2 || f.Avoided != 0 || len(f.OK) != 0 {
		t.Fatalf("%+v", f)
	}
	h.exchanged(goodAnswer(1))
	h.listed(list(false, 1, "a:2"))
	h.advance(publishInterval)
	name := h.cfg.Classes[0].Name
	if f := h.figures; f.Active != 1 || f.OK[name] != 1 || f.Shed[name] != 0 || f.Errors[name] != 0 || f.Avoided != 1 {
		t.Errorf("%+v", f)
	}
	h.advance(time.Second) // the second call is not answered in time
	name = h.cfg.Classes[1].Name
	if f := h.figures; f.Active != 0 || f.Shed[name]+f.Errors[name] != 1 {
		t.Errorf("%+v", f)
	}
}

// While another process serves as well, half of the connection budget is given up, idle connections first, and no
// connection is opened beyond the half. Alone again, the whole budget is available.
func TestConnBudgetIsSharedBetweenProcesses(t *testing.T) {
	h := newHarness(t, 4, "a:1", "a:2", "a:3", "a:4")
	fill := func(n int) {
		t.Helper()
		for range n {
			h.arrive(0, 600*ms)
		}
		for _, id := range h.inState(dialing) {
			h.dialed(id, nil)
		}
	}
	fill(3)
	for _, id := range h.inState(busy)[:2] {
		h.exchanged(goodAnswer(id))
	}
	h.do(ProcessesChanged{Others: 1})
	if n := len(h.inState(idle)) + len(h.inState(busy)); n != 2 || !h.hasEffect(func(e Effect) bool { return e == DivideLimits{2} }) {
		t.Errorf("%d connections, %v", n, h.effects)
	}
	if fill(4); len(h.r.conns) > 2 {
		t.Errorf("%d connections, budget 2", len(h.r.conns))
	}
	h.do(ProcessesChanged{})
	if fill(4); len(h.r.conns) != 4 {
		t.Errorf("%d connections, budget 4", len(h.r.conns))
	}
}
