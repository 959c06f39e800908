package reducer

import (
	"cmp"
	"slices"

	"pewterrudder/brain"
)

// Pool membership of app nodes, as ascending sets of pool indexes. The sets are found through an index of the pools'
// selectors, so that the work grows with the number of pools that match an app node and not with all pools.

// maxKeptChanges bounds the capacity of pendingChanges that a pool keeps between two lists: about a megabyte with
// thousands of pools.
const maxKeptChanges = 4

// matchPools returns the pools whose selectors match a server, and those among them that use it. It also updates the
// subsets of these pools. The results are valid until the next call.
func (r *Reducer) matchPools(s *server) (matching, using []uint16) {
	matching = r.matchBuffers[0][:0]
	if s.member.State != brain.Gone {
		matching = r.selectors.Match(&s.member, matching)
	}
	r.matchBuffers[0] = matching
	if r.subsetSize == 0 {
		return matching, matching
	}
	forEachInEither(s.matchingPools, matching, func(i uint16, _, belongs bool) { r.updateSubset(r.pools[i], &s.member, belongs) })
	using = r.matchBuffers[1][:0]
	for _, i := range matching {
		if p := r.pools[i]; p.subset == nil || p.subset.Holds(s.id) {
			using = append(using, i)
		}
	}
	r.matchBuffers[1] = using
	return matching, using
}

// internIndexSet returns a lasting copy of set, or previous if the two are equal. Neighbouring entries of a list mostly
// belong to the same pools and share one copy.
func (r *Reducer) internIndexSet(previous, set []uint16) []uint16 {
	switch {
	case len(set) == 0:
		return nil
	case slices.Equal(previous, set):
		return previous
	case !slices.Equal(r.lastIndexSet, set):
		r.lastIndexSet = slices.Clone(set)
	}
	return r.lastIndexSet
}

// forEachInEither calls do for each index in two ascending sets and says which of them contain it.
func forEachInEither(a, b []uint16, do func(i uint16, inA, inB bool)) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0] < b[0]:
			do(a[0], true, false)
			a = a[1:]
		case len(a) == 0 || b[0] < a[0]:
			do(b[0], false, true)
			b = b[1:]
		default:
			do(a[0], true, true)
			a, b = a[1:], b[1:]
		}
	}
}

// notifyChangedPools sends the pools their pending changes, in the order of their indexes. The pool always, if not nil,
// is notified even if it has no changes.
func (r *Reducer) notifyChangedPools(always *pool, kind brain.UpdateKind) {
	if always != nil && len(always.pendingChanges) == 0 {
		r.changedPools = append(r.changedPools, always)
	}
	for _, p := range sortByIndex(r.changedPools) {
		changes := p.pendingChanges
		p.pendingChanges = nil
		r.notify(p, &brain.FleetUpdate{Kind: kind, Members: changes})
		if cap(changes) <= maxKeptChanges {
			p.pendingChanges = changes[:0]
		}
	}
	clear(r.changedPools)
	r.changedPools = r.changedPools[:0]
}

// updateStaleZones updates the zones of the pools that the finished list has changed, and those of the pool always, if
// not nil.
func (r *Reducer) updateStaleZones(always *pool) {
	if always != nil && always.zoneView != nil && !always.zonesStale {
		r.staleZonePools = append(r.staleZonePools, always)
	}
	for _, p := range sortByIndex(r.staleZonePools) {
		if p.zonesStale = false; p.zoneView != nil {
			for zone := range p.zoneView.tallies {
				r.updateZone(p.zoneView, zone)
			}
		}
	}
	clear(r.staleZonePools)
	r.staleZonePools = r.staleZonePools[:0]
}

func sortByIndex(some []*pool) []*pool {
	slices.SortFunc(some, func(a, b *pool) int { return cmp.Compare(a.index, b.index) })
	return some
}
