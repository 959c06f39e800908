package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pewterrudder/brain"
)

// reload applies settings and returns the slots of the classes.
func (h *harness) reload(s brain.Settings) (slots map[string]int, classes []brain.Class) {
	h.t.Helper()
	for _, e := range h.do(Reloaded{Discovery: "d:1", Settings: &s, Tag: "tag"}) {
		if e, ok := e.(SettingsChanged); ok && e.Tag == "tag" {
			return e.ClassSlots, e.Classes
		}
	}
	h.t.Fatalf("no SettingsChanged effect")
	return nil, nil
}

// A call keeps its class even if the class's definition changes: a call of a class that was repeatable is still retried
// after the class has become unsafe, and new calls of that class are not.
func TestCallKeepsItsClass(t *testing.T) {
	h := newHarness(t, 8, "a:1", "a:2")
	h.warmUp()
	old := h.arrive(0, 600*ms)
	next := settings()
	next.Classes = slices.Clone(next.Classes)
	next.Classes[0].Repeat = brain.Unsafe
	name := next.Classes[0].Name
	slots, classes := h.reload(next)
	slot := slots[name]
	if slot == 0 || !classes[0].Gone || classes[slot].Repeat != brain.Unsafe || classes[slot].Gone {
		t.Fatalf("%v, %+v", slots, classes)
	}
	for _, id := range h.inState(dialing) {
		h.dialed(id, nil)
	}
	breakAttempt := func(call uint64) (retried bool) {
		for conn, c := range h.callOn {
			if c == call && h.conns[conn] == busy {
				h.exchanged(Exchanged{Conn: conn, Written: WroteAll, Err: errDown})
			}
		}
		return h.calls[call].answers == 0
	}
	if !breakAttempt(old) {
		t.Error("an open call of a repeatable class was not retried")
	}
	newCall := h.arrive(slot, 600*ms)
	for _, id := range h.inState(dialing) {
		h.dialed(id, nil)
	}
	if breakAttempt(newCall) || h.calls[newCall].reply.Kind != Failed {
		t.Errorf("call of the unsafe class: %+v", h.calls[newCall])
	}
	f := h.r.classCounts[name]
	if f == nil || f.errors != 1 {
		t.Errorf("counts by class: %+v", h.r.classCounts)
	}
}

// A slot is reused only when no call has the old class and none can still be on its way. Repeated changes of the
// settings must not increase the number of slots without bound.
func TestClassSlotsAreReused(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	openCall := h.arrive(0, 600*ms)
	class := func(name string) brain.Settings {
		s := settings()
		c := s.Classes[0]
		c.Name = name
		s.Classes = []brain.Class{c}
		return s
	}
	slots, _ := h.reload(class("new"))
	if slots["new"] < 2 {
		t.Fatalf("%v: a slot in use was reused", slots)
	}
	h.clientGone(openCall)
	h.advance(classSlotRest + time.Second)
	maxSlots := 0
	for i := range 200 {
		slots, classes := h.reload(class(string(rune('a' + i%26))))
		maxSlots = max(maxSlots, len(classes))
		if len(slots) != 1 {
			t.Fatalf("%v", slots)
		}
		id := h.arrive(slots[string(rune('a'+i%26))], 600*ms)
		h.advance(classSlotRest)
		if h.calls[id].answers != 1 {
			t.Fatalf("call %d was not answered", id)
		}
	}
	if maxSlots > 6 {
		t.Errorf("%d slots for one class", maxSlots)
	}
}

// A flow that lasts longer than classSlotRest keeps its slot.
func TestClassSlotInUseIsNotReused(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.startFlow(1, ResultGood)
	next := settings()
	next.Classes = slices.Clone(next.Classes[1:])
	h.reload(next)
	h.advance(2 * classSlotRest)
	c := next.Classes[0]
	c.Name = "new"
	next.Classes = append(next.Classes, c)
	if slots, _ := h.reload(next); slots["new"] == 0 {
		t.Errorf("slots %v while an answer flows", slots)
	}
	h.exchanged(goodAnswer(1))
	if e := h.r.classCounts[settings().Classes[0].Name]; e == nil || e.ok != 1 {
		t.Errorf("%+v", h.r.classCounts)
	}
}

// A lower MaxAttempts also applies to open calls.
func TestMaxAttemptsAppliesToOpenCalls(t *testing.T) {
	h := newHarness(t, 8, "a:1", "a:2", "a:3")
	h.warmUp()
	id := h.arrive(0, 600*ms)
	next := settings()
	next.MaxAttempts = 1
	h.reload(next)
	for _, c := range h.inState(dialing) {
		h.dialed(c, errDown)
	}
	for conn, c := range h.callOn {
		if c == id && h.conns[conn] == busy {
			h.exchanged(Exchanged{Conn: conn, Written: WroteAll, Err: errDown})
		}
	}
	h.advance(time.Second)
	if n := len(h.inState(busy)) + len(h.inState(dialing)); n != 0 || h.calls[id].answers != 1 {
		t.Errorf("%d attempts continue, %+v", n, h.calls[id])
	}
	h.do(ReloadRejected{})
	if h.r.reloadsApplied != 1 || h.r.reloadsRejected != 1 {
		t.Errorf("%d reloads applied, %d rejected", h.r.reloadsApplied, h.r.reloadsRejected)
	}
}

// Hundreds of pools are notified of settings in slices, and SettingsChanged follows the last of them: a call with a new
// class must find every pool prepared. Newer settings restart the round, and SettingsChanged is emitted once.
func TestSettingsReachPoolsInSlices(t *testing.T) {
	var l Layout
	for i := range 10 * maxRetunesPerEvent {
		l.Pools = append(l.Pools, PoolSpec{Name: fmt.Sprint("p", i)})
	}
	maxAttempts := map[string]int{} // MaxAttempts as last sent to each pool's decider
	notified := 0
	r, err := NewWithDeciders(settings(), 100, l, func(name string) brain.Decider {
		return eventFunc{func(ev brain.Event) {
			if e, ok := ev.(*brain.Retuned); ok {
				maxAttempts[name] = e.Settings.MaxAttempts
				notified++
			}
		}}
	})
	if err != nil {
		t.Fatal(err)
	}
	var scheduled []Event
	var tags []any
	do := func(ev Event) {
		notified = 0
		for _, e := range r.Handle(time.Hour, ev, nil) {
			switch e := e.(type) {
			case StartTimer:
				scheduled = append(scheduled, e.Event)
			case SettingsChanged:
				tags = append(tags, e.Tag)
				for i := range l.Pools {
					if n := maxAttempts[l.Pools[i].Name]; n != e.Tag {
						t.Errorf("SettingsChanged with tag %v emitted while pool %d has MaxAttempts %d", e.Tag, i, n)
					}
				}
			}
		}
		if notified > maxRetunesPerEvent {
			t.Fatalf("%d pools notified in one event", notified)
		}
	}
	next := settings()
	for _, attempts := range []int{7, 8, 9} {
		next.MaxAttempts = attempts
		do(Reloaded{Settings: &next, Tag: attempts})
		if attempts == 8 { // part of the second round has been sent
			do(scheduled[0])
			scheduled = scheduled[1:]
		}
	}
	for len(scheduled) > 0 {
		e := scheduled[0]
		scheduled = scheduled[1:]
		do(e)
	}
	if len(tags) != 1 || tags[0] != 9 || r.retuning {
		t.Errorf("SettingsChanged emitted with tags %v", tags)
	}
}
