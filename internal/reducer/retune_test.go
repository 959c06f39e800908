package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pewterrudder/brain"
)

// retuned puts settings in force and gives the places of classes.
func (w *world) retuned(s brain.Settings) (places map[string]int, classes []brain.Class) {
	w.t.Helper()
	for _, e := range w.do(Reloaded{Discovery: "d:1", Settings: &s, Tag: "tag"}) {
		if e, ok := e.(Retuned); ok && e.Tag == "tag" {
			return e.Places, e.Classes
		}
	}
	w.t.Fatalf("nobody was told")
	return nil, nil
}

// A call keeps the class that it came with, whatever becomes of its name: one of a class that may be repeated is still
// repeated after the class has become one that may not, and new calls of that name are not.
func TestACallKeepsItsClass(t *testing.T) {
	w := newWorld(t, 8, "a:1", "a:2")
	w.warm()
	old := w.call(0, 600*ms)
	next := settings()
	next.Classes = slices.Clone(next.Classes)
	next.Classes[0].Repeat = brain.Unsafe
	name := next.Classes[0].Name
	places, classes := w.retuned(next)
	at := places[name]
	if at == 0 || !classes[0].Gone || classes[at].Repeat != brain.Unsafe || classes[at].Gone {
		t.Fatalf("%v, %+v", places, classes)
	}
	for _, id := range w.in(dialing) {
		w.dialed(id, nil)
	}
	breaks := func(call uint64) (again bool) {
		for conn, c := range w.onto {
			if c == call && w.conns[conn] == busy {
				w.exchanged(Exchanged{Conn: conn, Written: Whole, Err: errDown})
			}
		}
		return w.calls[call].answers == 0
	}
	if !breaks(old) {
		t.Error("a call under way was not repeated, though its class may be")
	}
	fresh := w.call(at, 600*ms)
	for _, id := range w.in(dialing) {
		w.dialed(id, nil)
	}
	if breaks(fresh) || w.calls[fresh].reply.Kind != Failed {
		t.Errorf("a call that may not be repeated: %+v", w.calls[fresh])
	}
	f := w.r.tallies[name]
	if f == nil || f.errors != 1 {
		t.Errorf("counted by another name: %+v", w.r.tallies)
	}
}

// A place is given to another class only when no call has the old one and none can be on its way, and settings may change
// for ever without the places growing in number.
func TestPlacesAreGivenAwayAgain(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	held := w.call(0, 600*ms)
	class := func(name string) brain.Settings {
		s := settings()
		c := s.Classes[0]
		c.Name = name
		s.Classes = []brain.Class{c}
		return s
	}
	places, _ := w.retuned(class("new"))
	if places["new"] < 2 {
		t.Fatalf("%v: a place with a call was given away", places)
	}
	w.gone(held)
	w.pass(placeRests + time.Second)
	most := 0
	for i := range 200 {
		places, classes := w.retuned(class(string(rune('a' + i%26))))
		most = max(most, len(classes))
		if len(places) != 1 {
			t.Fatalf("%v", places)
		}
		id := w.call(places[string(rune('a'+i%26))], 600*ms)
		w.pass(placeRests)
		if w.calls[id].answers != 1 {
			t.Fatalf("call %d was not answered", id)
		}
	}
	if most > 6 {
		t.Errorf("%d places for one class", most)
	}
}

// An answer that flows for longer than a place rests keeps it.
func TestAPlaceWithACallIsNotGivenAway(t *testing.T) {
	w := newWorld(t, 4, "a:1")
	w.call(0, 600*ms)
	w.dialed(1, nil)
	w.flows(1, Good)
	next := settings()
	next.Classes = slices.Clone(next.Classes[1:])
	w.retuned(next)
	w.pass(2 * placeRests)
	c := next.Classes[0]
	c.Name = "new"
	next.Classes = append(next.Classes, c)
	if places, _ := w.retuned(next); places["new"] == 0 {
		t.Errorf("%v, while an answer flows", places)
	}
	w.exchanged(good(1))
	if e := w.r.tallies[settings().Classes[0].Name]; e == nil || e.ok != 1 {
		t.Errorf("%+v", w.r.tallies)
	}
}

// Fewer attempts hold for calls under way too.
func TestFewerAttemptsHoldAtOnce(t *testing.T) {
	w := newWorld(t, 8, "a:1", "a:2", "a:3")
	w.warm()
	id := w.call(0, 600*ms)
	next := settings()
	next.MaxAttempts = 1
	w.retuned(next)
	for _, c := range w.in(dialing) {
		w.dialed(c, errDown)
	}
	for conn, c := range w.onto {
		if c == id && w.conns[conn] == busy {
			w.exchanged(Exchanged{Conn: conn, Written: Whole, Err: errDown})
		}
	}
	w.pass(time.Second)
	if n := len(w.in(busy)) + len(w.in(dialing)); n != 0 || w.calls[id].answers != 1 {
		t.Errorf("%d attempts go on, %+v", n, w.calls[id])
	}
	w.do(TurnedDown{})
	if w.r.applied != 1 || w.r.rejected != 1 {
		t.Errorf("%d taken, %d turned down", w.r.applied, w.r.rejected)
	}
}

// Hundreds of pools hear of settings in slices, and the shells behind the last of them: a call with a new class must find every
// pool ready for it. What comes meanwhile begins anew, and ends once.
func TestManyPoolsAreRetunedInSlices(t *testing.T) {
	var l Layout
	for i := range 10 * retuneMost {
		l.Pools = append(l.Pools, PoolSpec{Name: fmt.Sprint("p", i)})
	}
	told := map[string]int{} // attempts that a pool's node was last told of
	event := 0
	r, err := NewPools(settings(), 100, l, func(name string) brain.Decider {
		return ear{func(ev brain.Event) {
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
		if event > retuneMost {
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
