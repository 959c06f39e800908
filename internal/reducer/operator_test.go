package reducer

import (
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/control"
)

// operator hands in what operators want, and says whether Done was told.
func (w *world) operator(changes ...control.Change) bool {
	w.t.Helper()
	done := false
	for _, e := range w.do(Operator{Changes: changes, Done: func() { done = true }}) {
		if e, ok := e.(Tell); ok {
			e.Do()
		}
	}
	return done
}

func (w *world) see() (v View) {
	for _, e := range w.do(Look{To: func(seen View) { v = seen }}) {
		if e, ok := e.(Tell); ok {
			e.Do()
		}
	}
	return v
}

// A drain by hand holds from its answer on, whatever the list says after it, and also where the list takes the app node out
// and names it again; what is under way there ends as it would. The list's word and the operators' are both to be seen.
func TestADrainByHandHolds(t *testing.T) {
	w := newWorld(t, 8, "a:1")
	id := w.call(0, 600*ms)
	w.dialed(1, nil)
	if !w.operator(control.Change{Node: "s0", Drained: true}) {
		t.Error("nobody is told that it holds")
	}
	fresh := func() int {
		w.call(0, 100*ms)
		n := len(w.in(dialing)) + len(w.in(busy))
		w.pass(100 * ms)
		return n
	}
	if n := fresh(); n != 1 { // the one that is under way
		t.Errorf("%d connections in use after a drain", n)
	}
	w.exchanged(good(1))
	if w.calls[id].reply.Kind != Served {
		t.Errorf("what was under way: %+v", w.calls[id])
	}
	w.listed(list(true, brain.Ready, "a:1"))
	w.listed(list(false, brain.Gone, ""))
	w.listed(list(false, brain.Ready, "a:1"))
	if n := fresh(); n != 0 {
		t.Error("the list takes the drain back")
	}
	if v := w.see(); len(v.Nodes) != 1 || v.Nodes[0].Told != brain.Ready || v.Nodes[0].Counts != brain.Draining || !v.Nodes[0].Drained || v.Pools[0].Members != 0 {
		t.Errorf("%+v", v)
	}
	w.operator(control.Change{Node: "s0"})
	if n := fresh(); n != 1 || len(w.r.wishes) != 0 {
		t.Errorf("%d connections in use after it was restored", n)
	}
}

// A wish for an app node that nobody has listed waits for it, a weight takes the place of the list's, and a cap that of the
// settings.
func TestWishesAheadOfTheList(t *testing.T) {
	w := newWorld(t, 8)
	w.operator(control.Change{Node: "s1", Drained: true}, control.Change{Node: "s0", Weight: 0.25}, control.Change{Pool: "all", Cap: 1})
	w.listed(list(true, brain.Ready, "a:1", "b:1"))
	v := w.see()
	if v.Total != 2 || v.Nodes[0].Weight != 0.25 || v.Nodes[1].Counts != brain.Draining || v.Pools[0].Members != 1 || v.Pools[0].Cap != 1 {
		t.Errorf("%+v", v)
	}
	w.call(0, 600*ms)
	if id := w.call(0, 600*ms); w.calls[id].reply.Kind != Refused || w.calls[id].answers != 1 {
		t.Errorf("past the cap: %+v", w.calls[id])
	}
	w.operator(control.Change{Pool: "all"})
	if id := w.call(0, 600*ms); w.calls[id].answers != 0 {
		t.Error("the cap is still there")
	}
	w.pass(time.Second)
}
