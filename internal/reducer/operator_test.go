package reducer

import (
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/control"
)

// applyOperator applies operator changes and reports whether Done was called.
func (h *harness) applyOperator(changes ...control.Change) bool {
	h.t.Helper()
	done := false
	for _, e := range h.do(OverridesChanged{Changes: changes, Done: func() { done = true }}) {
		if e, ok := e.(RunCallback); ok {
			e.Do()
		}
	}
	return done
}

func (h *harness) inspect() (v Snapshot) {
	for _, e := range h.do(Inspect{Done: func(seen Snapshot) { v = seen }}) {
		if e, ok := e.(RunCallback); ok {
			e.Do()
		}
	}
	return v
}

// A drain by an operator holds from the moment it is confirmed, whatever is listed later, even if the app node is
// removed from the list and listed again. Open calls there finish normally. The Snapshot shows both the listed and the
// resulting state.
func TestOperatorDrainOverridesList(t *testing.T) {
	h := newHarness(t, 8, "a:1")
	id := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	if !h.applyOperator(control.Change{Node: "s0", Drained: true}) {
		t.Error("the drain was not confirmed")
	}
	connsInUse := func() int {
		h.arrive(0, 100*ms)
		n := len(h.inState(dialing)) + len(h.inState(busy))
		h.advance(100 * ms)
		return n
	}
	if n := connsInUse(); n != 1 { // the one still in use
		t.Errorf("%d connections in use after a drain", n)
	}
	h.exchanged(goodAnswer(1))
	if h.calls[id].reply.Kind != Served {
		t.Errorf("open call: %+v", h.calls[id])
	}
	h.listed(list(true, brain.Ready, "a:1"))
	h.listed(list(false, brain.Gone, ""))
	h.listed(list(false, brain.Ready, "a:1"))
	if n := connsInUse(); n != 0 {
		t.Error("the list cancelled the operator's drain")
	}
	if v := h.inspect(); len(v.Nodes) != 1 || v.Nodes[0].Listed != brain.Ready || v.Nodes[0].Effective != brain.Draining || !v.Nodes[0].Drained || v.Pools[0].Members != 0 {
		t.Errorf("%+v", v)
	}
	h.applyOperator(control.Change{Node: "s0"})
	if n := connsInUse(); n != 1 || len(h.r.nodeOverrides) != 0 {
		t.Errorf("%d connections in use after the drain ended", n)
	}
}

// An override for an app node that is not listed yet applies when it is. A weight takes precedence over the listed one,
// and a cap over that of the settings.
func TestOverridesPrecedeListing(t *testing.T) {
	h := newHarness(t, 8)
	h.applyOperator(control.Change{Node: "s1", Drained: true}, control.Change{Node: "s0", Weight: 0.25}, control.Change{Pool: "all", Cap: 1})
	h.listed(list(true, brain.Ready, "a:1", "b:1"))
	v := h.inspect()
	if v.Total != 2 || v.Nodes[0].Weight != 0.25 || v.Nodes[1].Effective != brain.Draining || v.Pools[0].Members != 1 || v.Pools[0].Cap != 1 {
		t.Errorf("%+v", v)
	}
	h.arrive(0, 600*ms)
	if id := h.arrive(0, 600*ms); h.calls[id].reply.Kind != Refused || h.calls[id].answers != 1 {
		t.Errorf("call beyond the cap: %+v", h.calls[id])
	}
	h.applyOperator(control.Change{Pool: "all"})
	if id := h.arrive(0, 600*ms); h.calls[id].answers != 0 {
		t.Error("the cap was not removed")
	}
	h.advance(time.Second)
}
