package reducer

import (
	"cmp"
	"fmt"
	"slices"

	"pewterrudder/brain"
	"pewterrudder/internal/fleet/subset"
)

// Subsets: if the other balancers are known, each pool may use a subset of the app nodes in place of a sample chosen by
// its decider. The decider gets the subset as its list, and the number of balancers that share an app node as the number
// of balancers. While the view is not believed (see view.View.Believed), the subset consists of all app nodes.

// poolSubset is the subset of one pool.
type poolSubset struct {
	*subset.Set
	assignedTurns uint64 // Set.Turns at the last assignment
	notifiedHeld  int    // size last sent to the decider
	pool          *pool
	changed       bool // since the last reassignSubsets
}

// nextPeerChange adds or removes the next balancer in pendingPeers, one per event.
type nextPeerChange struct{}

func (nextPeerChange) event() {}

// UseSubsets makes each pool use the given number of app nodes on average. It must be called after UsePeers and before
// the first event. It cannot be combined with zone bounds, which rely on all app nodes.
func (r *Reducer) UseSubsets(size int) error {
	for _, p := range r.pools {
		if p != nil && p.zoneView != nil {
			return fmt.Errorf("pool %q has zone bounds, which need all of its app nodes and cannot be combined with subsets", p.Name)
		}
	}
	r.subsetSize, r.subsetPeers = size, map[string]bool{}
	for _, p := range r.pools {
		if p != nil {
			p.subset = r.newPoolSubset(p)
		}
	}
	return nil
}

func (r *Reducer) newPoolSubset(p *pool) *poolSubset {
	if r.subsetSize == 0 {
		return nil
	}
	s := &poolSubset{pool: p, Set: subset.New(r.peerView.Own().Address, r.subsetSize)}
	for address := range r.subsetPeers {
		s.Enter(address)
	}
	return s
}

// updateSubset adds an app node to the subset of a pool, or removes it if it no longer belongs to the pool.
func (r *Reducer) updateSubset(p *pool, m *brain.Member, belongs bool) {
	if p.subset == nil {
		return
	}
	if belongs {
		p.subset.Put(m.Server, m.Zone, r.subsetWeight(m))
	} else {
		p.subset.Remove(m.Server)
	}
	r.markSubsetChanged(p.subset)
}

// markSubsetChanged makes the next reassignSubsets check a subset.
func (r *Reducer) markSubsetChanged(s *poolSubset) {
	if !s.changed {
		s.changed, r.changedSubsets = true, append(r.changedSubsets, s)
	}
}

// subsetWeight is the weight of an app node in the division among subsets. Live weights fall with load and are ignored.
func (r *Reducer) subsetWeight(m *brain.Member) float64 {
	if r.cfg.Weights == brain.WeightOff || r.cfg.Weights == brain.WeightLive {
		return 1
	}
	return m.Weight
}

// comparePeers looks for balancers that share the list but are not in the subsets, and the reverse. The work is
// proportional to the number of balancers, twice a second.
func (r *Reducer) comparePeers() {
	if r.subsetSize == 0 {
		return
	}
	sharers := r.peerView.Sharers()
	r.pendingPeers = r.pendingPeers[:0]
	for address := range r.subsetPeers {
		if !sharers[address] {
			r.pendingPeers = append(r.pendingPeers, address)
		}
	}
	for address := range sharers {
		if !r.subsetPeers[address] {
			r.pendingPeers = append(r.pendingPeers, address)
		}
	}
	slices.Sort(r.pendingPeers)
	if len(r.pendingPeers) > 0 && !r.peerChangeArmed {
		r.peerChangeArmed = true
		r.emit(StartTimer{0, nextPeerChange{}})
	}
}

func (r *Reducer) onNextPeerChange() {
	r.peerChangeArmed = false
	if n := len(r.pendingPeers); n > 0 {
		address := r.pendingPeers[n-1]
		r.pendingPeers = r.pendingPeers[:n-1]
		leaves := r.subsetPeers[address]
		if leaves {
			delete(r.subsetPeers, address)
		} else {
			r.subsetPeers[address] = true
		}
		for _, p := range r.pools {
			switch {
			case p == nil || p.subset == nil:
			case leaves:
				p.subset.Leave(address)
				r.markSubsetChanged(p.subset)
			default:
				p.subset.Enter(address)
				r.markSubsetChanged(p.subset)
			}
		}
		r.peerChangeArmed = n > 1
	}
	if r.peerChangeArmed {
		r.emit(StartTimer{0, nextPeerChange{}})
		return
	}
	r.reassignSubsets()
}

// reassignSubsets schedules an assignment of the app nodes, in slices, if subsets have changed.
func (r *Reducer) reassignSubsets() {
	anyMoved := false
	slices.SortFunc(r.changedSubsets, func(a, b *poolSubset) int { return cmp.Compare(a.pool.index, b.pool.index) })
	for _, s := range r.changedSubsets {
		s.changed = false
		held, _ := s.Count()
		if moved := s.assignedTurns != s.Turns(); moved || s.notifiedHeld != held {
			s.assignedTurns, s.notifiedHeld = s.Turns(), held
			anyMoved = anyMoved || moved
			r.retunePool(s.pool)
		}
	}
	clear(r.changedSubsets)
	r.changedSubsets = r.changedSubsets[:0]
	if anyMoved {
		r.enqueue(&fleetJob{reassign: true, kind: brain.UpdateChanges})
		held, total := r.SubsetCount()
		r.emit(Log{fmt.Sprintf("peers: %d of %d app nodes are ours, among %d balancers", held, total, 1+len(r.subsetPeers))})
	}
}

// SubsetCount returns how many app nodes the first pool uses, and of how many.
func (r *Reducer) SubsetCount() (held, total int) {
	if p := r.routedPools[0]; p.subset != nil {
		return p.subset.Count()
	}
	return 0, 0
}
