package commonprefix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fleet simulates a coordinator and another router while instances come and go.
type fleet struct {
	set    *Set
	placer *Placer
	now    time.Duration
	ready  []string
	places []Place
}

func newFleet(ready ...string) *fleet {
	f := &fleet{set: &Set{}, placer: NewPlacer(), ready: ready}
	f.agree(0)
	return f
}

// observe sets the ready instances and assigns the places to them.
func (f *fleet) observe(ready ...string) {
	f.ready = ready
	f.places = f.set.Assign("service", ready, f.places)
}

// agree advances the clock and puts the next set into force.
func (f *fleet) agree(after time.Duration) {
	f.now += after
	f.observe(f.ready...)
	next := f.placer.Next(f.now, f.set, []Assignment{{Backend: "service", Ready: f.ready, Places: f.places}})
	f.set = f.set.Successor(nil, next)
	f.observe(f.ready...)
}

// placeOf returns the number of the place that an instance holds, or -1.
func (f *fleet) placeOf(id string) int {
	at := slices.IndexFunc(f.places, func(place Place) bool { return place.Instance == id })
	if at < 0 {
		return -1
	}
	return f.places[at].Number
}

func TestAReplacementTakesThePlaceOfTheInstanceThatLeft(t *testing.T) {
	f := newFleet("a", "b", "c")
	before := f.placeOf("b")
	f.observe("a", "b", "c", "new")
	assert.Equal(t, f.placeOf("new"), -1, "the new instance has no place until the old one leaves")
	f.observe("a", "c", "new")
	assert.Equal(t, f.placeOf("new"), before)
	assert.Equal(t, f.placeOf("a"), 0)
	assert.Equal(t, f.placeOf("c"), 2)
	f.agree(time.Second)
	assert.Equal(t, f.placeOf("new"), before)
}

func TestAnAdditionalInstanceGetsANewPlace(t *testing.T) {
	f := newFleet("a", "b")
	f.observe("a", "b", "c")
	f.agree(time.Second)
	assert.Equal(t, f.placeOf("c"), -1)
	f.agree(addPlaceAfter)
	assert.Equal(t, f.placeOf("c"), 2)
}

func TestAPlaceIsKeptForAnInstanceThatRestarts(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.observe("a", "c")
	f.agree(time.Second)
	f.agree(removePlaceAfter / 2)
	f.observe("a", "b-again", "c")
	assert.Equal(t, f.placeOf("b-again"), 1)
	f.observe("a", "c")
	f.agree(time.Second)
	f.agree(removePlaceAfter)
	assert.Equal(t, len(f.places), 2)
	assert.Equal(t, f.placeOf("c"), 2)
}

func TestPlacesAreKeptWhileNoInstanceIsReady(t *testing.T) {
	f := newFleet("a", "b")
	f.observe()
	f.agree(time.Second)
	f.agree(2 * removePlaceAfter)
	f.observe("b", "a")
	assert.Equal(t, f.placeOf("a"), 0)
	assert.Equal(t, f.placeOf("b"), 1)
}

func TestPlacesStayConsistentUnderRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("i0", "i1", "i2")
		next := 3
		t.Repeat(map[string]func(*rapid.T){
			"join": func(*rapid.T) {
				f.observeAndCheck(t, append(slices.Clone(f.ready), fmt.Sprintf("i%d", next)))
				next++
			},
			"leave": func(t *rapid.T) {
				if len(f.ready) > 0 {
					at := rapid.IntRange(0, len(f.ready)-1).Draw(t, "at")
					f.observeAndCheck(t, slices.Delete(slices.Clone(f.ready), at, at+1))
				}
			},
			"agree": func(t *rapid.T) {
				before := slices.Clone(f.places)
				f.agree(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
				f.checkKept(t, before)
			},
			"": func(t *rapid.T) { f.check(t) },
		})
	})
}

func (f *fleet) observeAndCheck(t *rapid.T, ready []string) {
	before := slices.Clone(f.places)
	f.observe(ready...)
	f.checkKept(t, before)
}

// checkKept asserts that each instance that held a place and is still ready keeps it.
func (f *fleet) checkKept(t *rapid.T, before []Place) {
	for _, place := range before {
		if place.Instance != "" && slices.Contains(f.ready, place.Instance) {
			assert.Equal(t, f.placeOf(place.Instance), place.Number)
		}
	}
}

// check asserts that no instance holds two places, that all holders are ready, and that no ready instance is without a
// place while another place is vacant.
func (f *fleet) check(t *rapid.T) {
	holders, vacant := map[string]bool{}, 0
	for _, place := range f.places {
		if place.Instance == "" {
			vacant++
			continue
		}
		assert.Assert(t, slices.Contains(f.ready, place.Instance))
		assert.Assert(t, !holders[place.Instance])
		holders[place.Instance] = true
	}
	assert.Assert(t, vacant == 0 || len(holders) == len(f.ready))
}
