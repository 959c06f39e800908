package reducer

import (
	"errors"
	"fmt"
	"slices"
)

// Pools come, change and go one by one, with calls under way. What is new takes up its app nodes first; then the routes
// change, and only then does what is to go lose its own: no call comes to a pool that has not seen the list. A refused
// change leaves the others as they are.

// Adjusted changes some of the pools and the routes. Done hears when that is in force: then all calls that come follow Route.
type Adjusted struct {
	Pools []PoolChange
	Route func(*Call) int // names a pool by its ID; nil: as it was
	Done  func()
}

// PoolChange is one pool as it is wanted from now on. A pool is known by its ID for as long as that has its name; an ID with
// another name stands for another pool.
type PoolChange struct {
	ID   int
	Spec *PoolSpec // nil: gone
}

func (Adjusted) event() {}

// adjustment is what follows once the app nodes have been dealt.
type adjustment struct {
	bind  map[int]*pool // by ID; nil: none any more
	route func(*Call) int
	gone  []*pool
	done  []func()
}

func (r *Reducer) onAdjusted(e *Adjusted) {
	// What has not begun to be dealt takes this change along: however fast they come, the list is walked once for many.
	var f *feed
	fresh := true
	if n := len(r.feeds); n > 1 && r.feeds[n-1].adjust != nil {
		f, fresh = r.feeds[n-1], false
	} else {
		f = &feed{adjust: &adjustment{bind: map[int]*pool{}}}
	}
	for i := range e.Pools {
		if err := r.adjust(f, &e.Pools[i]); err != nil {
			r.emit(Log{"pools: " + err.Error()})
		}
	}
	if e.Route != nil {
		f.adjust.route = e.Route
	}
	if e.Done != nil {
		f.adjust.done = append(f.adjust.done, e.Done)
	}
	if fresh {
		r.enqueue(f)
	}
}

// adjust enters one change.
func (r *Reducer) adjust(f *feed, c *PoolChange) error {
	had := r.asked[c.ID]
	if c.Spec == nil {
		switch {
		case had == nil:
			return nil
		case len(r.asked) == 1:
			return errors.New("the last pool cannot go: a layout needs one")
		}
		r.dismiss(f, had)
		delete(r.asked, c.ID)
		f.adjust.bind[c.ID] = nil
		return nil
	}
	if had != nil && had.Name != c.Spec.Name {
		had = nil
	}
	if c.ID < 0 {
		return fmt.Errorf("pool %q: %d is no ID", c.Spec.Name, c.ID)
	}
	if o := r.byName[c.Spec.Name]; o != nil && o != had {
		return fmt.Errorf("two pools of the name %q", c.Spec.Name)
	}
	if used := r.poolsUsed() + 1; had == nil && used > PoolsMost {
		return fmt.Errorf("%d pools, with those that still have calls, of %d", used, PoolsMost)
	}
	g, err := r.regionOf(c.Spec, had)
	if err != nil {
		return err
	}
	if had != nil {
		f.deal = r.respecify(had, *c.Spec) || f.deal
		if r.divide(had, g) {
			r.recount()
		}
		return nil
	}
	if other := r.asked[c.ID]; other != nil {
		r.dismiss(f, other)
	}
	p := r.addPool(*c.Spec)
	p.id = c.ID
	r.divide(p, g)
	r.asked[c.ID], f.adjust.bind[c.ID], f.deal = p, p, true
	return nil
}

// dismiss has a pool go once the routes lead past it. Its name is free at once.
func (r *Reducer) dismiss(f *feed, p *pool) {
	f.adjust.gone = append(f.adjust.gone, p)
	delete(r.byName, p.Name)
}

// bringAbout puts an adjustment in force whose app nodes have been dealt.
func (r *Reducer) bringAbout(a *adjustment) {
	for id, p := range a.bind {
		at, found := r.targetAt(id)
		switch {
		case p == nil && found:
			r.targets = slices.Delete(r.targets, at, at+1)
		case p != nil && found:
			r.targets[at] = p
		case p != nil:
			r.targets = slices.Insert(r.targets, at, p)
		}
	}
	if a.route != nil {
		r.route = a.route
	}
	for _, p := range a.gone {
		r.retire(p)
	}
	r.chooseAsker()
	for _, done := range a.done {
		r.emit(Tell{done})
	}
	if slices.ContainsFunc(a.gone, func(p *pool) bool { return p.held > 0 }) {
		r.dealAgain()
	}
}

// dealAgain has the servers looked at for the pools that they belong to, once for all who ask before that has begun.
func (r *Reducer) dealAgain() {
	if n := len(r.feeds); n > 1 && r.feeds[n-1].deal {
		return
	}
	r.feeds = append(r.feeds, &feed{deal: true})
}

// overtake drops what is under way of adjustments: a whole layout says more.
func (r *Reducer) overtake() {
	for _, f := range r.feeds {
		if f.adjust == nil {
			continue
		}
		for _, done := range f.adjust.done {
			r.emit(Tell{done})
		}
		f.adjust = nil
	}
}
