package reducer

import (
	"testing"
	"time"
)

// turned says that the last event turned clients away, or welcomed them.
func (h *harness) turnedTo(away bool) bool {
	return h.hasEffect(func(e Effect) bool { return e == Turn{away} })
}

// A drain lets the front take note before connections are closed, and spares those that have not said anything for a
// while longer; a second wish changes nothing, and both are told.
func TestADrainSendsClientsAway(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	began, told := h.now, func(e Effect) bool { _, ok := e.(Tell); return ok }
	if h.do(Drain{Done: func() {}}); !h.turnedTo(true) || !h.hasEffect(told) {
		t.Fatalf("%v", h.effects)
	}
	h.advance(closeIdleAfter - ms)
	if h.do(Drain{Done: func() {}}); h.turnedTo(true) || !h.hasEffect(told) || len(h.closes) != 0 {
		t.Errorf("%v, %v", h.effects, h.closes)
	}
	h.advance(2 * ms)
	if len(h.closes) != 1 || h.closes[0].Silent {
		t.Errorf("%v after %v", h.closes, h.now-began)
	}
	h.advance(closeSilentAfter - 2*closeInterval - closeIdleAfter)
	for _, p := range h.closes {
		if p.Silent {
			t.Errorf("the silent go after %v", h.now-began)
		}
	}
	h.advance(4 * closeInterval)
	if last := h.closes[len(h.closes)-1]; !last.Silent || h.now-began > 3*time.Second {
		t.Errorf("%+v after %v, when the platform looks at 4 s", last, h.now-began)
	}
}

// Clients are welcome again at any moment of a drain, and none of their connections is closed any more, also by what an
// earlier drain has begun.
func TestADrainEndsAtAnyMoment(t *testing.T) {
	for _, after := range []time.Duration{0, closeIdleAfter - ms, closeIdleAfter, closeIdleAfter + ms, closeSilentAfter, 3 * time.Second} {
		h := newHarness(t, 4, "a:1")
		h.do(Drain{})
		h.advance(after)
		if h.do(Activate{}); !h.turnedTo(false) {
			t.Fatalf("after %v: %v", after, h.effects)
		}
		n := len(h.closes)
		if h.advance(4 * time.Second); len(h.closes) != n {
			t.Errorf("after %v: connections closed though clients are welcome", after)
		}
		h.do(Drain{})
		h.advance(closeIdleAfter / 2)
		h.do(Activate{})
		h.do(Drain{})
		if h.advance(closeIdleAfter - ms); len(h.closes) != n {
			t.Error("a drain was cut short by what an earlier one had begun")
		}
	}
}

// What is published adds up, is as old as it may be, and tells what the list and the module say of app nodes.
func TestFiguresArePublished(t *testing.T) {
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.start(4)
	if h.advance(time.Second); h.figures != nil {
		t.Fatal("published though nobody asks")
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
	h.advance(time.Second) // the second finds nobody in time
	name = h.cfg.Classes[1].Name
	if f := h.figures; f.Active != 0 || f.Shed[name]+f.Errors[name] != 1 {
		t.Errorf("%+v", f)
	}
}

// While another version serves, half of the connections are given back, those between calls first, and none is opened over
// the half; alone again the whole is there.
func TestConnectionsAreSharedWithAnotherVersion(t *testing.T) {
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
	h.do(Beside{Others: 1})
	if n := len(h.inState(idle)) + len(h.inState(busy)); n != 2 || !h.hasEffect(func(e Effect) bool { return e == Share{2} }) {
		t.Errorf("%d connections, %v", n, h.effects)
	}
	if fill(4); len(h.r.conns) > 2 {
		t.Errorf("%d connections of two", len(h.r.conns))
	}
	h.do(Beside{})
	if fill(4); len(h.r.conns) != 4 {
		t.Errorf("%d connections of four", len(h.r.conns))
	}
}
