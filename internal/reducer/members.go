package reducer

import (
	"cmp"
	"slices"

	"pewterrudder/brain"
)

// Which pools an app node belongs to, as sets of the pools' places, in rising order. They are found by what the pools ask for,
// so that the work grows with the pools that an entry is of, and not with those that there are.

// changesKept bounds the room for changes that a pool keeps between two lists: with thousands of pools, a megabyte or so.
const changesKept = 4

// belongs gives the pools that ask for a server as it counts now, and those of them that use it, whose subsets know of it then.
// The sets are good until the next call.
func (r *Reducer) belongs(s *server) (takes, uses []uint16) {
	takes = r.found[0][:0]
	if s.member.State != brain.Gone {
		takes = r.selectors.Of(&s.member, takes)
	}
	r.found[0] = takes
	if r.subsetSize == 0 {
		return takes, takes
	}
	both(s.takes, takes, func(i uint16, _, is bool) { r.enter(r.pools[i], &s.member, is) })
	uses = r.found[1][:0]
	for _, i := range takes {
		if p := r.pools[i]; p.share == nil || p.share.Holds(s.id) {
			uses = append(uses, i)
		}
	}
	r.found[1] = uses
	return takes, uses
}

// kept makes a set stay. Neighbours on a list are mostly of the same pools, and share one.
func (r *Reducer) kept(had, set []uint16) []uint16 {
	switch {
	case len(set) == 0:
		return nil
	case slices.Equal(had, set):
		return had
	case !slices.Equal(r.latest, set):
		r.latest = slices.Clone(set)
	}
	return r.latest
}

// both goes through two sets, and says of each place which of them has it.
func both(a, b []uint16, do func(i uint16, inA, inB bool)) {
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

// tellChanged hands the pools their changes, in the order of their places, and an empty one to a pool that is to hear in any case.
func (r *Reducer) tellChanged(always *pool, kind brain.UpdateKind) {
	if always != nil && len(always.changes) == 0 {
		r.changed = append(r.changed, always)
	}
	for _, p := range byPlace(r.changed) {
		changes := p.changes
		p.changes = nil
		r.tell(p, &brain.FleetUpdate{Kind: kind, Members: changes})
		if cap(changes) <= changesKept {
			p.changes = changes[:0]
		}
	}
	clear(r.changed)
	r.changed = r.changed[:0]
}

// tellRegions has the regions hear of what they have, where the list that has ended has changed it, and one in any case.
func (r *Reducer) tellRegions(always *pool) {
	if always != nil && always.region != nil && !always.untold {
		r.untold = append(r.untold, always)
	}
	for _, p := range byPlace(r.untold) {
		if p.untold = false; p.region != nil {
			for zone := range p.region.tallies {
				r.tellZone(p.region, zone)
			}
		}
	}
	clear(r.untold)
	r.untold = r.untold[:0]
}

func byPlace(some []*pool) []*pool {
	slices.SortFunc(some, func(a, b *pool) int { return cmp.Compare(a.index, b.index) })
	return some
}
