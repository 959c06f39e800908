package reducer

import (
	"errors"
	"fmt"
	"slices"
)

// Pools are added, changed and removed one by one while calls are open. New and changed pools get their app nodes first;
// then the routes change, and only then do removed pools lose their app nodes. So no call reaches a pool that has not
// seen the list. A rejected change does not affect the others.

// PoolsChanged changes some of the pools and the routes. Done is called once the change is in force: from then on all
// new calls follow Route.
type PoolsChanged struct {
	Pools []PoolChange
	Route func(*Call) int // returns the ID of a call's pool; nil: unchanged
	Done  func()
}

// PoolChange sets the specification of one pool. An ID stands for the same pool as long as its name stays; with another
// name it stands for another pool.
type PoolChange struct {
	ID   int
	Spec *PoolSpec // nil: remove the pool
}

func (PoolsChanged) event() {}

// adjustment is a change of pools and routes that takes effect once the app nodes have been assigned to the new pools.
type adjustment struct {
	pools   map[int]*pool // by ID; nil: removed
	route   func(*Call) int
	removed []*pool
	onDone  []func()
}

func (r *Reducer) onAdjusted(e *PoolsChanged) {
	// A change joins an adjustment whose assignment has not started yet, so that however fast changes come, one scan of
	// the list serves many of them.
	var job *fleetJob
	isNew := true
	if n := len(r.jobs); n > 1 && r.jobs[n-1].adjustment != nil {
		job, isNew = r.jobs[n-1], false
	} else {
		job = &fleetJob{adjustment: &adjustment{pools: map[int]*pool{}}}
	}
	for i := range e.Pools {
		if err := r.applyPoolChange(job, &e.Pools[i]); err != nil {
			r.emit(Log{"pools: " + err.Error()})
		}
	}
	if e.Route != nil {
		job.adjustment.route = e.Route
	}
	if e.Done != nil {
		job.adjustment.onDone = append(job.adjustment.onDone, e.Done)
	}
	if isNew {
		r.enqueue(job)
	}
}

// applyPoolChange adds one change to the job.
func (r *Reducer) applyPoolChange(job *fleetJob, c *PoolChange) error {
	current := r.poolsByID[c.ID]
	if c.Spec == nil {
		switch {
		case current == nil:
			return nil
		case len(r.poolsByID) == 1:
			return errors.New("the last pool cannot be removed: a layout needs at least one")
		}
		r.scheduleRemoval(job, current)
		delete(r.poolsByID, c.ID)
		job.adjustment.pools[c.ID] = nil
		return nil
	}
	if current != nil && current.Name != c.Spec.Name {
		current = nil
	}
	if c.ID < 0 {
		return fmt.Errorf("pool %q: invalid ID %d", c.Spec.Name, c.ID)
	}
	if o := r.poolsByName[c.Spec.Name]; o != nil && o != current {
		return fmt.Errorf("two pools named %q", c.Spec.Name)
	}
	if count := r.poolCount() + 1; current == nil && count > MaxPools {
		return fmt.Errorf("%d pools, including removed ones that still have calls, exceed the limit of %d", count, MaxPools)
	}
	zv, err := r.zoneViewFor(c.Spec, current)
	if err != nil {
		return err
	}
	if current != nil {
		job.reassign = r.updateSpec(current, *c.Spec) || job.reassign
		if r.setZoneView(current, zv) {
			r.fillZoneTallies()
		}
		return nil
	}
	if other := r.poolsByID[c.ID]; other != nil {
		r.scheduleRemoval(job, other)
	}
	p := r.addPool(*c.Spec)
	p.id = c.ID
	r.setZoneView(p, zv)
	r.poolsByID[c.ID], job.adjustment.pools[c.ID], job.reassign = p, p, true
	return nil
}

// scheduleRemoval retires a pool once no route leads to it. Its name can be reused at once.
func (r *Reducer) scheduleRemoval(job *fleetJob, p *pool) {
	job.adjustment.removed = append(job.adjustment.removed, p)
	delete(r.poolsByName, p.Name)
}

// commitAdjustment puts an adjustment in force after its app nodes have been assigned.
func (r *Reducer) commitAdjustment(adj *adjustment) {
	for id, p := range adj.pools {
		at, found := r.findRouted(id)
		switch {
		case p == nil && found:
			r.routedPools = slices.Delete(r.routedPools, at, at+1)
		case p != nil && found:
			r.routedPools[at] = p
		case p != nil:
			r.routedPools = slices.Insert(r.routedPools, at, p)
		}
	}
	if adj.route != nil {
		r.route = adj.route
	}
	for _, p := range adj.removed {
		r.retire(p)
	}
	r.chooseDiscoveryPool()
	for _, done := range adj.onDone {
		r.emit(RunCallback{done})
	}
	if slices.ContainsFunc(adj.removed, func(p *pool) bool { return p.matchedServers > 0 }) {
		r.enqueueReassign()
	}
}

// enqueueReassign schedules a scan that assigns the servers to pools again. Requests made before the scan starts share
// it.
func (r *Reducer) enqueueReassign() {
	if n := len(r.jobs); n > 1 && r.jobs[n-1].reassign {
		return
	}
	r.jobs = append(r.jobs, &fleetJob{reassign: true})
}

// dropAdjustments discards adjustments that are not in force yet, because a complete layout supersedes them. Their
// callbacks are called.
func (r *Reducer) dropAdjustments() {
	for _, job := range r.jobs {
		if job.adjustment == nil {
			continue
		}
		for _, done := range job.adjustment.onDone {
			r.emit(RunCallback{done})
		}
		job.adjustment = nil
	}
}
