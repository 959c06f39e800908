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

// MaxPools is the maximum number of pools, including retired ones that still have calls or app nodes: several times what
// one site is planned to have. App nodes refer to pools by 16-bit indexes.
const MaxPools = 4096

// Layout divides the app nodes into pools and routes calls to them. Its functions are called only from the goroutine
// that drives the reducer and must be deterministic.
type Layout struct {
	Pools []PoolSpec
	// Route returns the ID of a call's pool, which is its index in Pools until a PoolsChanged event changes that. nil: the
	// first pool.
	Route func(*Call) int
}

// PoolSpec is the specification of a pool.
type PoolSpec struct {
	Name     string
	Selector selector.Selector // the app nodes that belong to the pool
	MaxOpen  int               // open calls, beyond which further ones are refused; 0: unlimited
	Zones    *zones.Settings   // nil: zones are treated alike, except for the decider's prices
}

// defaultLayout is the layout of an installation without configured pools.
func defaultLayout() Layout { return Layout{Pools: []PoolSpec{{Name: "all"}}} }

// pool is a group of app nodes with its own decider.
type pool struct {
	PoolSpec
	id             int // its ID in the routes
	index          uint16
	decider        brain.Decider
	zoneView       *zoneView      // nil: without zones
	subset         *poolSubset    // nil: all members are used
	openCalls      int            // including calls that wait or have attempts outstanding
	readyMembers   int            // members in state Ready
	matchedServers int            // app nodes that refer to it by index
	retired        bool           // no new calls are routed to it
	zonesStale     bool           // zoneView lacks changes of the current list
	pendingChanges []brain.Member // to be sent to the decider after the current slice
}

// applyLayout puts a layout in force, at the start or while calls are open. A pool keeps its decider with everything
// learned as long as its name stays. A call stays in the pool that it was first routed to.
func (r *Reducer) applyLayout(l Layout) error {
	if len(l.Pools) == 0 {
		return errors.New("a layout needs at least one pool")
	}
	wanted := map[string]bool{}
	count := r.poolCount()
	for _, spec := range l.Pools {
		switch {
		case wanted[spec.Name]:
			return fmt.Errorf("two pools named %q", spec.Name)
		case r.poolsByName[spec.Name] == nil:
			count++
		}
		wanted[spec.Name] = true
	}
	zoneViews := make([]*zoneView, len(l.Pools))
	for i := range l.Pools {
		var err error
		if zoneViews[i], err = r.zoneViewFor(&l.Pools[i], r.poolsByName[l.Pools[i].Name]); err != nil {
			return err
		}
	}
	if count > MaxPools {
		return fmt.Errorf("%d pools, including removed ones that still have calls, exceed the limit of %d", count, MaxPools)
	}
	r.dropAdjustments()
	routed, needsCount := make([]*pool, len(l.Pools)), false
	for i, spec := range l.Pools {
		p := r.poolsByName[spec.Name]
		if p == nil {
			p = r.addPool(spec)
		}
		r.updateSpec(p, spec)
		p.id, routed[i] = i, p
		needsCount = r.setZoneView(p, zoneViews[i]) || needsCount
	}
	if needsCount {
		r.fillZoneTallies()
	}
	r.route, r.routedPools = l.Route, routed
	r.poolsByID = map[int]*pool{}
	for _, p := range routed {
		r.poolsByID[p.id] = p
	}
	for _, p := range r.pools {
		if p != nil && !p.retired && r.poolsByID[p.id] != p {
			r.retire(p)
		}
	}
	r.chooseDiscoveryPool()
	return nil
}

func (r *Reducer) poolCount() (n int) { return len(r.pools) - len(r.freeIndexes) }

// zoneViewFor returns the zone view of a pool with the given specification: the existing one, with everything learned,
// if the zone settings are the same.
func (r *Reducer) zoneViewFor(spec *PoolSpec, current *pool) (*zoneView, error) {
	if spec.Zones == nil {
		return nil, nil
	}
	if r.subsetSize > 0 {
		return nil, fmt.Errorf("pool %q: zone bounds cannot be combined with subsets", spec.Name)
	}
	for at, zone := range spec.Zones.Zones {
		if r.zoneBit(zone) != 1<<at {
			return nil, fmt.Errorf("pool %q: the zones differ from those configured at startup", spec.Name)
		}
	}
	if current != nil && current.Zones != nil && reflect.DeepEqual(current.Zones, spec.Zones) {
		return current.zoneView, nil
	}
	zv, err := newZoneView(*spec.Zones)
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", spec.Name, err)
	}
	return zv, nil
}

func (r *Reducer) addPool(spec PoolSpec) *pool {
	p := &pool{PoolSpec: spec, decider: r.newDecider(spec.Name)}
	p.subset = r.newPoolSubset(p)
	if n := len(r.freeIndexes); n > 0 {
		p.index = r.freeIndexes[n-1]
		r.freeIndexes = r.freeIndexes[:n-1]
	} else {
		p.index = uint16(len(r.pools))
		r.pools = append(r.pools, nil)
	}
	r.pools[p.index], r.poolsByName[p.Name] = p, p
	r.selectors.Put(p.index, spec.Selector)
	if r.settingsChanged {
		r.retunePool(p)
	}
	return p
}

// updateSpec gives a pool another specification of the same name. It reports whether other app nodes may belong to the
// pool now.
func (r *Reducer) updateSpec(p *pool, spec PoolSpec) (selectorChanged bool) {
	if selectorChanged = !p.Selector.Equal(spec.Selector); selectorChanged {
		r.selectors.Put(p.index, spec.Selector)
	}
	p.PoolSpec = spec
	return selectorChanged
}

// setZoneView gives a pool its zone view. It reports whether the view has to be filled with the pool's members.
func (r *Reducer) setZoneView(p *pool, zv *zoneView) (needsCount bool) {
	if p.zoneView == zv {
		return false
	}
	if p.zoneView = zv; zv == nil {
		return false
	}
	// Without members there is nothing to fill in: each is counted when it is added.
	r.hasZones, zv.counted = true, p.matchedServers == 0
	return !zv.counted
}

// fillZoneTallies counts the existing members into new zone views.
func (r *Reducer) fillZoneTallies() {
	for _, s := range r.serverList {
		for _, i := range s.usingPools {
			if zv := r.pools[i].zoneView; zv != nil && !zv.counted {
				r.countMember(zv, s, &s.member, 1)
			}
		}
	}
	for _, p := range r.pools {
		if p != nil && p.zoneView != nil {
			p.zoneView.counted = true
		}
	}
}

// retire stops routing calls to a pool. The pool is freed once it has neither calls nor app nodes.
func (r *Reducer) retire(p *pool) {
	p.retired = true
	r.selectors.Delete(p.index)
	if r.poolsByName[p.Name] == p {
		delete(r.poolsByName, p.Name)
	}
	r.freeIfUnused(p)
}

// freeIfUnused releases the index of a retired pool that has neither calls nor app nodes.
func (r *Reducer) freeIfUnused(p *pool) {
	if p.retired && p.openCalls == 0 && p.matchedServers == 0 && r.pools[p.index] == p {
		r.pools[p.index] = nil
		r.freeIndexes = append(r.freeIndexes, p.index)
	}
}

// chooseDiscoveryPool selects the pool whose decider asks for the list, which is the same for all pools: the first one,
// until it is retired.
func (r *Reducer) chooseDiscoveryPool() {
	if r.discoveryPool != nil && !r.discoveryPool.retired {
		return
	}
	first := r.discoveryPool == nil
	if r.discoveryPool = r.routedPools[0]; first || !r.cfg.AskDiscovery {
		return
	}
	r.retunePool(r.discoveryPool)
	if !r.watchOpen { // the retired pool may have been about to ask
		r.notify(r.discoveryPool, &brain.FleetUpdate{Kind: brain.UpdateAskFailed})
	}
}

// findRouted returns the position of the pool with the given ID in routedPools, or where it would be inserted.
func (r *Reducer) findRouted(id int) (at int, found bool) {
	if id >= 0 && id < len(r.routedPools) && r.routedPools[id].id == id {
		return id, true // holds for every pool as long as none has been removed
	}
	return slices.BinarySearchFunc(r.routedPools, id, func(p *pool, id int) int { return cmp.Compare(p.id, id) })
}

// routeCall returns the pool of a new call. It asks the route once per call.
func (r *Reducer) routeCall(c *Call) *pool {
	if r.route == nil {
		return r.routedPools[0]
	}
	if at, ok := r.findRouted(r.route(c)); ok {
		return r.routedPools[at]
	}
	return r.routedPools[0]
}

// Pools returns the names of the pools in force with their ready members and open calls.
func (r *Reducer) Pools() (names []string, members, openCalls []int) {
	for _, p := range r.routedPools {
		names, members, openCalls = append(names, p.Name), append(members, p.readyMembers), append(openCalls, p.openCalls)
	}
	return names, members, openCalls
}
