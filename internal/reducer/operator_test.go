package reducer

import (
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/control"
)

// operator hands in what operators want, and says whether Done was told.
func (h *harness) applyOperator(changes ...control.Change) bool {
	h.t.Helper()
	done := false
	for _, e := range h.do(Operator{Changes: changes, Done: func() { done = true }}) {
		if e, ok := e.(Tell); ok {
			e.Do()
		}
	}
	return done
}

func (h *harness) inspect() (v View) {
	for _, e := range h.do(Look{To: func(seen View) { v = seen }}) {
		if e, ok := e.(Tell); ok {
			e.Do()
		}
	}
	return v
}

// A drain by hand holds from its answer on, whatever the list says after it, and also where the list takes the app node out
// and names it again; what is under way there ends as it would. The list's word and the operators' are both to be seen.
func TestADrainByHandHolds(t *testing.T) {
	h := newHarness(t, 8, "a:1")
	id := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	if !h.applyOperator(control.Change{Node: "s0", Drained: true}) {
		t.Error("nobody is told that it holds")
	}
	fresh := func() int {
		h.arrive(0, 100*ms)
		n := len(h.inState(dialing)) + len(h.inState(busy))
		h.advance(100 * ms)
		return n
	}
	if n := fresh(); n != 1 { // the one that is under way
		t.Errorf("%d connections in use after a drain", n)
	}
	h.exchanged(goodAnswer(1))
	if h.calls[id].reply.Kind != Served {
		t.Errorf("what was under way: %+v", h.calls[id])
	}
	h.listed(list(true, brain.Ready, "a:1"))
	h.listed(list(false, brain.Gone, ""))
	h.listed(list(false, brain.Ready, "a:1"))
	if n := fresh(); n != 0 {
		t.Error("the list takes the drain back")
	}
	if v := h.inspect(); len(v.Nodes) != 1 || v.Nodes[0].Told != brain.Ready || v.Nodes[0].Counts != brain.Draining || !v.Nodes[0].Drained || v.Pools[0].Members != 0 {
		t.Errorf("%+v", v)
	}
	h.applyOperator(control.Change{Node: "s0"})
	if n := fresh(); n != 1 || len(h.r.nodeOverrides) != 0 {
		t.Errorf("%d connections in use after it was restored", n)
	}
}

// A wish for an app node that nobody has listed waits for it, a weight takes the place of the list's, and a cap that of the
// settings.
func TestWishesAheadOfTheList(t *testing.T) {
	h := newHarness(t, 8)
	h.applyOperator(control.Change{Node: "s1", Drained: true}, control.Change{Node: "s0", Weight: 0.25}, control.Change{Pool: "all", Cap: 1})
	h.listed(list(true, brain.Ready, "a:1", "b:1"))
	v := h.inspect()
	if v.Total != 2 || v.Nodes[0].Weight != 0.25 || v.Nodes[1].Counts != brain.Draining || v.Pools[0].Members != 1 || v.Pools[0].Cap != 1 {
		t.Errorf("%+v", v)
	}
	h.arrive(0, 600*ms)
	if id := h.arrive(0, 600*ms); h.calls[id].reply.Kind != Refused || h.calls[id].answers != 1 {
		t.Errorf("past the cap: %+v", h.calls[id])
	}
	h.applyOperator(control.Change{Pool: "all"})
	if id := h.arrive(0, 600*ms); h.calls[id].answers != 0 {
		t.Error("the cap is still there")
	}
	h.advance(time.Second)
}
