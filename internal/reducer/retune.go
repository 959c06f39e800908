package reducer

import (
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/patience"
)

// Settings change while calls are under way. A call keeps the class that it came with: each class stands at a place of its
// own, by which calls, the module and the learned waits know it. A class whose definition changes gets another place, and its
// old one is gone: no new call takes it. A place is given away again once no call has it and none can be on its way here.

// placeRests is how long a place that is gone stays empty: a request that was read with it is here by then, or never comes.
const placeRests = time.Minute

// place is what is known of a class beside its settings.
type place struct {
	open   int           // calls
	goneAt time.Duration // when it was left
}

// Retuned tells the acceptor and the delegations of settings that are in force.
type Retuned struct {
	Places  map[string]int // of the classes that calls may have, by name
	Classes []brain.Class  // by place
	Tag     any            // as it came with Reloaded
}

func (Retuned) effect() {}

func (r *Reducer) onRetuned(next brain.Settings, tag any) {
	classes := slices.Clone(r.cfg.Classes)
	places := map[string]int{}
	for _, c := range next.Classes {
		if i := slices.Index(classes, c); i >= 0 {
			places[c.Name] = i
		}
	}
	for i := range classes {
		if at, ok := places[classes[i].Name]; !classes[i].Gone && (!ok || at != i) {
			classes[i].Gone = true
			r.places[i].goneAt = r.now
		}
	}
	for _, c := range next.Classes {
		if _, ok := places[c.Name]; ok {
			continue
		}
		i := r.emptyPlace(classes)
		if i < 0 {
			i = len(classes)
			classes, r.places, r.stalls = append(classes, c), append(r.places, place{}), append(r.stalls, nil)
		}
		classes[i], r.places[i], r.stalls[i] = c, place{}, r.stallOf(&c)
		places[c.Name] = i
	}
	next.Classes = classes
	next.AskDiscovery = r.cfg.AskDiscovery // how the list comes is for a start to say
	if r.view != nil {
		r.words(r.view.Want(next.Nodes))
		next.Nodes = r.view.Crowd()
	}
	r.cfg, r.retuned = next, true
	r.retuneAll(Retuned{places, classes, tag})
}

// retuneMost bounds the pools that one event tells of settings: some 25 us each, so that an event stays under a millisecond.
const retuneMost = 20

// retuneRest is the next slice of the pools.
type retuneRest struct{}

func (retuneRest) event() {}

// retuneAll tells every pool of the settings in force, and then the shells: a call with a class that is new must not come to a
// pool that has not heard of it. Settings that come meanwhile begin anew; their word to the shells takes the place of the earlier.
func (r *Reducer) retuneAll(then Effect) {
	if r.retuneAt = 0; then != nil {
		r.retuneThen = then
	}
	if !r.retuning { // else the next slice is on its way
		r.onRetuneRest()
	}
}

func (r *Reducer) onRetuneRest() {
	for n := retuneMost; n > 0 && r.retuneAt < len(r.pools); r.retuneAt++ {
		if p := r.pools[r.retuneAt]; p != nil {
			r.retunePool(p)
			n--
		}
	}
	if r.retuning = r.retuneAt < len(r.pools); r.retuning {
		r.emit(Arm{0, retuneRest{}})
	} else if r.retuneThen != nil {
		r.emit(r.retuneThen)
		r.retuneThen = nil
	}
}

// emptyPlace finds one that can be given away; -1: none.
func (r *Reducer) emptyPlace(classes []brain.Class) int {
	for i := range classes {
		if p := &r.places[i]; classes[i].Gone && p.open == 0 && r.now-p.goneAt > placeRests {
			return i
		}
	}
	return -1
}

// retunePool tells the node of a pool. Only the first asks for the list.
func (r *Reducer) retunePool(p *pool) {
	own := r.cfg
	own.AskDiscovery = own.AskDiscovery && p == r.asker
	if p.share != nil && p.share.Balancers() > 1 {
		own.Nodes = p.share.Sharing(own.Nodes)
		own.Sample, _ = p.share.Count() // all of them: one that its balancers left out would be nobody's
	}
	r.tell(p, &brain.Retuned{Settings: own})
}

// stallOf makes what learns how long the rest of an answer is waited for.
func (r *Reducer) stallOf(c *brain.Class) *patience.Estimator {
	if r.stallFixed > 0 {
		return patience.Fixed(r.stallFixed)
	}
	part := func(of time.Duration, share float64) time.Duration { return time.Duration(share * float64(of)) }
	most := part(c.Deadline, stallMost)
	return patience.New(min(part(c.Aim, stallFirst), most), min(part(c.Aim, stallLeast), most), most)
}
