package reducer

import (
	"testing"
	"time"
)

// turned says that the last event turned clients away, or welcomed them.
func (w *world) turned(away bool) bool {
	return w.has(func(e Effect) bool { return e == Turn{away} })
}

// A drain lets the front take note before connections are closed, and spares those that have not said anything for a
// while longer; a second wish changes nothing, and both are told.
func TestADrainSendsClientsAway(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	began, told := w.now, func(e Effect) bool { _, ok := e.(Tell); return ok }
	if w.do(Drain{Done: func() {}}); !w.turned(true) || !w.has(told) {
		t.Fatalf("%v", w.took)
	}
	w.pass(partIdle - ms)
	if w.do(Drain{Done: func() {}}); w.turned(true) || !w.has(told) || len(w.parts) != 0 {
		t.Errorf("%v, %v", w.took, w.parts)
	}
	w.pass(2 * ms)
	if len(w.parts) != 1 || w.parts[0].Silent {
		t.Errorf("%v after %v", w.parts, w.now-began)
	}
	w.pass(partSilent - 2*partEvery - partIdle)
	for _, p := range w.parts {
		if p.Silent {
			t.Errorf("the silent go after %v", w.now-began)
		}
	}
	w.pass(4 * partEvery)
	if last := w.parts[len(w.parts)-1]; !last.Silent || w.now-began > 3*time.Second {
		t.Errorf("%+v after %v, when the platform looks at 4 s", last, w.now-began)
	}
}

// Clients are welcome again at any moment of a drain, and none of their connections is closed any more, also by what an
// earlier drain has begun.
func TestADrainEndsAtAnyMoment(t *testing.T) {
	for _, after := range []time.Duration{0, partIdle - ms, partIdle, partIdle + ms, partSilent, 3 * time.Second} {
		w := newWorld(t, 4, "a:1")
		w.do(Drain{})
		w.pass(after)
		if w.do(Activate{}); !w.turned(false) {
			t.Fatalf("after %v: %v", after, w.took)
		}
		n := len(w.parts)
		if w.pass(4 * time.Second); len(w.parts) != n {
			t.Errorf("after %v: connections closed though clients are welcome", after)
		}
		w.do(Drain{})
		w.pass(partIdle / 2)
		w.do(Activate{})
		w.do(Drain{})
		if w.pass(partIdle - ms); len(w.parts) != n {
			t.Error("a drain was cut short by what an earlier one had begun")
		}
	}
}

// What is published adds up, is as old as it may be, and tells what the list and the module say of app nodes.
func TestFiguresArePublished(t *testing.T) {
	w := &world{t: t, now: time.Hour, cfg: settings()}
	w.start(4)
	if w.pass(time.Second); w.figures != nil {
		t.Fatal("published though nobody asks")
	}
	w.do(Started{Known: list(true, 0, "a:1", "a:2"), Discovery: "d:1", Figures: true})
	w.call(0, 600*ms)
	w.dialed(1, nil)
	w.call(1, 600*ms)
	w.pass(figuresEvery)
	if f := w.figures; f == nil || f.Active != 2 || f.Listed != 2 || f.Avoided != 0 || len(f.OK) != 0 {
		t.Fatalf("%+v", f)
	}
	w.exchanged(good(1))
	w.listed(list(false, 1, "a:2"))
	w.pass(figuresEvery)
	name := w.cfg.Classes[0].Name
	if f := w.figures; f.Active != 1 || f.OK[name] != 1 || f.Shed[name] != 0 || f.Errors[name] != 0 || f.Avoided != 1 {
		t.Errorf("%+v", f)
	}
	w.pass(time.Second) // the second finds nobody in time
	name = w.cfg.Classes[1].Name
	if f := w.figures; f.Active != 0 || f.Shed[name]+f.Errors[name] != 1 {
		t.Errorf("%+v", f)
	}
}

// While another version serves, half of the connections are given back, those between calls first, and none is opened over
// the half; alone again the whole is there.
func TestConnectionsAreSharedWithAnotherVersion(t *testing.T) {
	w := newWorld(t, 4, "a:1", "a:2", "a:3", "a:4")
	fill := func(n int) {
		t.Helper()
		for range n {
			w.call(0, 600*ms)
		}
		for _, id := range w.in(dialing) {
			w.dialed(id, nil)
		}
	}
	fill(3)
	for _, id := range w.in(busy)[:2] {
		w.exchanged(good(id))
	}
	w.do(Beside{Others: 1})
	if n := len(w.in(idle)) + len(w.in(busy)); n != 2 || !w.has(func(e Effect) bool { return e == Share{2} }) {
		t.Errorf("%d connections, %v", n, w.took)
	}
	if fill(4); len(w.r.conns) > 2 {
		t.Errorf("%d connections of two", len(w.r.conns))
	}
	w.do(Beside{})
	if fill(4); len(w.r.conns) != 4 {
		t.Errorf("%d connections of four", len(w.r.conns))
	}
}
