package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pewterrudder/brain"
)

// retuned puts settings in force and gives the places of classes.
func (h *harness) reload(s brain.Settings) (places map[string]int, classes []brain.Class) {
	h.t.Helper()
	for _, e := range h.do(Reloaded{Discovery: "d:1", Settings: &s, Tag: "tag"}) {
		if e, ok := e.(Retuned); ok && e.Tag == "tag" {
			return e.Places, e.Classes
		}
	}
	h.t.Fatalf("nobody was told")
	return nil, nil
}

// A call keeps the class that it came with, whatever becomes of its name: one of a class that may be repeated is still
// repeated after the class has become one that may not, and new calls of that name are not.
func TestACallKeepsItsClass(t *testing.T) {
	h := newHarness(t, 8, "a:1", "a:2")
	h.warmUp()
	old := h.arrive(0, 600*ms)
	next := settings()
	next.Classes = slices.Clone(next.Classes)
	next.Classes[0].Repeat = brain.Unsafe
	name := next.Classes[0].Name
	places, classes := h.reload(next)
	at := places[name]
	if at == 0 || !classes[0].Gone || classes[at].Repeat != brain.Unsafe || classes[at].Gone {
		t.Fatalf("%v, %+v", places, classes)
	}
	for _, id := range h.inState(dialing) {
		h.dialed(id, nil)
	}
	breaks := func(call uint64) (again bool) {
		for conn, c := range h.callOn {
			if c == call && h.conns[conn] == busy {
				h.exchanged(Exchanged{Conn: conn, Written: Whole, Err: errDown})
			}
		}
		return h.calls[call].answers == 0
	}
	if !breaks(old) {
		t.Error("a call under way was not repeated, though its class may be")
	}
	fresh := h.arrive(at, 600*ms)
	for _, id := range h.inState(dialing) {
		h.dialed(id, nil)
	}
	if breaks(fresh) || h.calls[fresh].reply.Kind != Failed {
		t.Errorf("a call that may not be repeated: %+v", h.calls[fresh])
	}
	f := h.r.classCounts[name]
	if f == nil || f.errors != 1 {
		t.Errorf("counted by another name: %+v", h.r.classCounts)
	}
}

// A place is given to another class only when no call has the old one and none can be on its way, and settings may change
// for ever without the places growing in number.
func TestPlacesAreGivenAwayAgain(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	held := h.arrive(0, 600*ms)
	class := func(name string) brain.Settings {
		s := settings()
		c := s.Classes[0]
		c.Name = name
		s.Classes = []brain.Class{c}
		return s
	}
	places, _ := h.reload(class("new"))
	if places["new"] < 2 {
		t.Fatalf("%v: a place with a call was given away", places)
	}
	h.clientGone(held)
	h.advance(classSlotRest + time.Second)
	most := 0
	for i := range 200 {
		places, classes := h.reload(class(string(rune('a' + i%26))))
		most = max(most, len(classes))
		if len(places) != 1 {
			t.Fatalf("%v", places)
		}
		id := h.arrive(places[string(rune('a'+i%26))], 600*ms)
		h.advance(classSlotRest)
		if h.calls[id].answers != 1 {
			t.Fatalf("call %d was not answered", id)
		}
	}
	if most > 6 {
		t.Errorf("%d places for one class", most)
	}
}

// An answer that flows for longer than a place rests keeps it.
func TestAPlaceWithACallIsNotGivenAway(t *testing.T) {
	h := newHarness(t, 4, "a:1")
	h.arrive(0, 600*ms)
	h.dialed(1, nil)
	h.startFlow(1, Good)
	next := settings()
	next.Classes = slices.Clone(next.Classes[1:])
	h.reload(next)
	h.advance(2 * classSlotRest)
	c := next.Classes[0]
	c.Name = "new"
	next.Classes = append(next.Classes, c)
	if places, _ := h.reload(next); places["new"] == 0 {
		t.Errorf("%v, while an answer flows", places)
	}
	h.exchanged(goodAnswer(1))
	if e := h.r.classCounts[settings().Classes[0].Name]; e == nil || e.ok != 1 {
		t.Errorf("%+v", h.r.classCounts)
	}
}

// Fewer attempts hold for calls under way too.
func TestFewerAttemptsHoldAtOnce(t *testing.T) {
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
			h.exchanged(Exchanged{Conn: conn, Written: Whole, Err: errDown})
		}
	}
	h.advance(time.Second)
	if n := len(h.inState(busy)) + len(h.inState(dialing)); n != 0 || h.calls[id].answers != 1 {
		t.Errorf("%d attempts go on, %+v", n, h.calls[id])
	}
	h.do(TurnedDown{})
	if h.r.reloadsApplied != 1 || h.r.reloadsRejected != 1 {
		t.Errorf("%d taken, %d turned down", h.r.reloadsApplied, h.r.reloadsRejected)
	}
}

// Hundreds of pools hear of settings in slices, and the shells behind the last of them: a call with a new class must find every
// pool ready for it. What comes meanwhile begins anew, and ends once.
func TestManyPoolsAreRetunedInSlices(t *testing.T) {
	var l Layout
	for i := range 10 * maxRetunesPerEvent {
		l.Pools = append(l.Pools, PoolSpec{Name: fmt.Sprint("p", i)})
	}
	told := map[string]int{} // attempts that a pool's node was last told of
	event := 0
	r, err := NewPools(settings(), 100, l, func(name string) brain.Decider {
		return eventFunc{func(ev brain.Event) {
			if e, ok := ev.(*brain.Retuned); ok {
				told[name] = e.Settings.MaxAttempts
				event++
			}
		}}
	})
	if err != nil {
		t.Fatal(err)
	}
	var slice []Event
	var tags []any
	do := func(ev Event) {
		event = 0
		for _, e := range r.Handle(time.Hour, ev, nil) {
			switch e := e.(type) {
			case Arm:
				slice = append(slice, e.Event)
			case Retuned:
				tags = append(tags, e.Tag)
				for i := range l.Pools {
					if n := told[l.Pools[i].Name]; n != e.Tag {
						t.Errorf("the shells hear of %v, and pool %d has heard of %d", e.Tag, i, n)
					}
				}
			}
		}
		if event > maxRetunesPerEvent {
			t.Fatalf("%d pools were told in one event", event)
		}
	}
	next := settings()
	for _, attempts := range []int{7, 8, 9} {
		next.MaxAttempts = attempts
		do(Reloaded{Settings: &next, Tag: attempts})
		if attempts == 8 { // some of the second has been told
			do(slice[0])
			slice = slice[1:]
		}
	}
	for len(slice) > 0 {
		e := slice[0]
		slice = slice[1:]
		do(e)
	}
	if len(tags) != 1 || tags[0] != 9 || r.retuning {
		t.Errorf("the shells heard of %v", tags)
	}
}
