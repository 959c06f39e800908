package reducer

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"pewterrudder/brain"
	"pewterrudder/internal/selector"
	"pewterrudder/internal/zones"
)

// PoolsMost is how many pools there may be, with those that still have calls or app nodes: some times what one site is
// planned to have, and each has a place, by which app nodes know it, of 16 bits.
const PoolsMost = 4096

// Layout is how the fleet is divided, and which calls go where. What it holds is asked from the goroutine that drives the
// reducer alone, and must give the same answer to the same question.
type Layout struct {
	Pools []PoolSpec
	// Route names the pool of a call by its ID, which is its place in Pools until Adjusted says more. nil: the first.
	Route func(*Call) int
}

// PoolSpec is one pool as it is wanted.
type PoolSpec struct {
	Name     string
	Selector selector.Selector // which app nodes belong to it
	MaxOpen  int               // calls open at once, before further ones are refused; 0: as many as come
	Zones    *zones.Settings   // nil: a zone is as good as another, but for the module's prices
}

// onePool is the layout of an installation that names none.
func onePool() Layout { return Layout{Pools: []PoolSpec{{Name: "all"}}} }

// pool is a group of app nodes with a decider of its own.
type pool struct {
	PoolSpec
	id      int // by which the routes know it
	index   uint16
	node    brain.Decider
	region  *region        // nil: without zones
	share   *share         // nil: all members are used
	open    int            // calls
	ready   int            // members
	held    int            // app nodes that know it by its place
	retired bool           // by a layout without it: no call comes any more
	untold  bool           // its region has not heard of all that the list under way brought
	changes []brain.Member // to tell, of the slice under way
}

// Lay puts a layout in force: at the start, or with calls under way. A pool keeps its decider, and all that it has
// learned, as long as its name stays. A call stays in the pool that it came to, whatever the routes say later.
func (r *Reducer) lay(l Layout) error {
	if len(l.Pools) == 0 {
		return errors.New("a layout needs a pool")
	}
	wanted := map[string]bool{}
	used := r.poolsUsed()
	for _, spec := range l.Pools {
		switch {
		case wanted[spec.Name]:
			return fmt.Errorf("two pools of the name %q", spec.Name)
		case r.byName[spec.Name] == nil:
			used++
		}
		wanted[spec.Name] = true
	}
	regions := make([]*region, len(l.Pools))
	for i := range l.Pools {
		var err error
		if regions[i], err = r.regionOf(&l.Pools[i], r.byName[l.Pools[i].Name]); err != nil {
			return err
		}
	}
	if used > PoolsMost {
		return fmt.Errorf("%d pools, with those that still have calls, of %d", used, PoolsMost)
	}
	r.overtake()
	next, anew := make([]*pool, len(l.Pools)), false
	for i, spec := range l.Pools {
		p := r.byName[spec.Name]
		if p == nil {
			p = r.addPool(spec)
		}
		r.respecify(p, spec)
		p.id, next[i] = i, p
		anew = r.divide(p, regions[i]) || anew
	}
	if anew {
		r.recount()
	}
	r.route, r.targets = l.Route, next
	r.asked = map[int]*pool{}
	for _, p := range next {
		r.asked[p.id] = p
	}
	for _, p := range r.pools {
		if p != nil && !p.retired && r.asked[p.id] != p {
			r.retire(p)
		}
	}
	r.chooseAsker()
	return nil
}

func (r *Reducer) poolsUsed() (n int) { return len(r.pools) - len(r.freed) }

// regionOf is what a pool of a specification has in its zones: what it had, with all that it has learned, where they are the
// same.
func (r *Reducer) regionOf(spec *PoolSpec, had *pool) (*region, error) {
	if spec.Zones == nil {
		return nil, nil
	}
	if r.subsetSize > 0 {
		return nil, fmt.Errorf("pool %q: zones with bounds do not go together with subsets", spec.Name)
	}
	for at, zone := range spec.Zones.Zones {
		if r.zoneBit(zone) != 1<<at {
			return nil, fmt.Errorf("pool %q: the zones differ from those of the start", spec.Name)
		}
	}
	if had != nil && had.Zones != nil && reflect.DeepEqual(had.Zones, spec.Zones) {
		return had.region, nil
	}
	g, err := newRegion(*spec.Zones)
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", spec.Name, err)
	}
	return g, nil
}

func (r *Reducer) addPool(spec PoolSpec) *pool {
	p := &pool{PoolSpec: spec, node: r.decide(spec.Name)}
	p.share = r.newShare(p)
	if n := len(r.freed); n > 0 {
		p.index = r.freed[n-1]
		r.freed = r.freed[:n-1]
	} else {
		p.index = uint16(len(r.pools))
		r.pools = append(r.pools, nil)
	}
	r.pools[p.index], r.byName[p.Name] = p, p
	r.selectors.Put(p.index, spec.Selector)
	if r.retuned {
		r.retunePool(p)
	}
	return p
}

// respecify gives a pool another specification, of the same name. It says whether other app nodes may belong to it now.
func (r *Reducer) respecify(p *pool, spec PoolSpec) (moved bool) {
	if moved = !p.Selector.Equal(spec.Selector); moved {
		r.selectors.Put(p.index, spec.Selector)
	}
	p.PoolSpec = spec
	return moved
}

// divide gives a pool its region. It says whether that has to be filled with the members that the pool has.
func (r *Reducer) divide(p *pool, g *region) (anew bool) {
	if p.region == g {
		return false
	}
	if p.region = g; g == nil {
		return false
	}
	r.zoned, g.counted = true, p.held == 0 // then each member is counted as it comes
	return !g.counted
}

// recount fills the tallies of regions that are new to pools with members.
func (r *Reducer) recount() {
	for _, s := range r.ordered {
		for _, i := range s.pools {
			if g := r.pools[i].region; g != nil && !g.counted {
				r.count(g, s, &s.member, 1)
			}
		}
	}
	for _, p := range r.pools {
		if p != nil && p.region != nil {
			p.region.counted = true
		}
	}
}

// retire has no call come to a pool any more. It goes once it has none, and no app node knows it.
func (r *Reducer) retire(p *pool) {
	p.retired = true
	r.selectors.Delete(p.index)
	if r.byName[p.Name] == p {
		delete(r.byName, p.Name)
	}
	r.free(p)
}

// free gives the place of a pool back that is wholly gone.
func (r *Reducer) free(p *pool) {
	if p.retired && p.open == 0 && p.held == 0 && r.pools[p.index] == p {
		r.pools[p.index] = nil
		r.freed = append(r.freed, p.index)
	}
}

// chooseAsker has one pool's node ask for the list, which is the same for all: the first, until it goes.
func (r *Reducer) chooseAsker() {
	if r.asker != nil && !r.asker.retired {
		return
	}
	first := r.asker == nil
	if r.asker = r.targets[0]; first || !r.cfg.AskDiscovery {
		return
	}
	r.retunePool(r.asker)
	if !r.watching { // the one that went may have been about to ask
		r.tell(r.asker, &brain.FleetUpdate{Kind: brain.UpdateAskFailed})
	}
}

// targetAt is where a pool of an ID stands among the targets, or would.
func (r *Reducer) targetAt(id int) (at int, found bool) {
	if id >= 0 && id < len(r.targets) && r.targets[id].id == id {
		return id, true // none has gone yet
	}
	return slices.BinarySearchFunc(r.targets, id, func(p *pool, id int) int { return cmp.Compare(p.id, id) })
}

// poolOf asks the routes, once for each call.
func (r *Reducer) poolOf(c *Call) *pool {
	if r.route == nil {
		return r.targets[0]
	}
	if at, ok := r.targetAt(r.route(c)); ok {
		return r.targets[at]
	}
	return r.targets[0]
}

// Pools names the pools in force with their app nodes that are ready and their open calls, for whoever watches.
func (r *Reducer) Pools() (names []string, members, open []int) {
	for _, p := range r.targets {
		names, members, open = append(names, p.Name), append(members, p.ready), append(open, p.open)
	}
	return names, members, open
}
