package reducer

import (
	"cmp"
	"fmt"
	"slices"

	"pewterrudder/brain"
	"pewterrudder/internal/fleet/subset"
)

// Shares: where the other balancers are known, each pool may use its subset of the app nodes in place of a sample of its module's
// own drawing. The module gets the subset as its list, and the number of those that have an app node in theirs as the number that it
// divides by. Until the view is believed, and whenever it is not, the subset is all there are.

// share is one pool's subset.
type share struct {
	*subset.Set
	turns uint64 // when the pool was dealt last
	held  int    // that its module was told of
	pool  *pool
	moved bool // since it was looked at
}

// regroup is the next balancer to enter or leave the subsets: one an event.
type regroup struct{}

func (regroup) event() {}

// UseSubsets has each pool use so many app nodes on average. It belongs behind UsePeers, before the first event; zones' bounds
// count on all app nodes, so that the two do not go together.
func (r *Reducer) UseSubsets(size int) error {
	for _, p := range r.pools {
		if p != nil && p.region != nil {
			return fmt.Errorf("pool %q has zones with bounds, which count on all of its app nodes", p.Name)
		}
	}
	r.subsetSize, r.sharing = size, map[string]bool{}
	for _, p := range r.pools {
		if p != nil {
			p.share = r.newShare(p)
		}
	}
	return nil
}

func (r *Reducer) newShare(p *pool) *share {
	if r.subsetSize == 0 {
		return nil
	}
	s := &share{pool: p, Set: subset.New(r.view.Own().Address, r.subsetSize)}
	for at := range r.sharing {
		s.Enter(at)
	}
	return s
}

// enter has the subset of a pool know of an app node that belongs to it, or does no more.
func (r *Reducer) enter(p *pool, m *brain.Member, belongs bool) {
	if p.share == nil {
		return
	}
	if belongs {
		p.share.Put(m.Server, m.Zone, r.sizeOf(m))
	} else {
		p.share.Remove(m.Server)
	}
	r.moved(p.share)
}

// moved has the next deal look at a subset.
func (r *Reducer) moved(s *share) {
	if !s.moved {
		s.moved, r.turned = true, append(r.turned, s)
	}
}

// sizeOf is how much of the places an app node is due. Weights that sink with load say nothing of that.
func (r *Reducer) sizeOf(m *brain.Member) float64 {
	if r.cfg.Weights == brain.WeightOff || r.cfg.Weights == brain.WeightLive {
		return 1
	}
	return m.Weight
}

// compare looks whether others share the list than those who do in the subsets. The work is that of the balancers, twice a second.
func (r *Reducer) compare() {
	if r.subsetSize == 0 {
		return
	}
	now := r.view.Sharers()
	r.moves = r.moves[:0]
	for at := range r.sharing {
		if !now[at] {
			r.moves = append(r.moves, at)
		}
	}
	for at := range now {
		if !r.sharing[at] {
			r.moves = append(r.moves, at)
		}
	}
	slices.Sort(r.moves)
	if len(r.moves) > 0 && !r.moving {
		r.moving = true
		r.emit(Arm{0, regroup{}})
	}
}

func (r *Reducer) onRegroup() {
	r.moving = false
	if n := len(r.moves); n > 0 {
		at := r.moves[n-1]
		r.moves = r.moves[:n-1]
		was := r.sharing[at]
		if was {
			delete(r.sharing, at)
		} else {
			r.sharing[at] = true
		}
		for _, p := range r.pools {
			switch {
			case p == nil || p.share == nil:
			case was:
				p.share.Leave(at)
				r.moved(p.share)
			default:
				p.share.Enter(at)
				r.moved(p.share)
			}
		}
		r.moving = n > 1
	}
	if r.moving {
		r.emit(Arm{0, regroup{}})
		return
	}
	r.redeal()
}

// redeal has the app nodes dealt anew where subsets have turned, in slices.
func (r *Reducer) redeal() {
	turned := false
	slices.SortFunc(r.turned, func(a, b *share) int { return cmp.Compare(a.pool.index, b.pool.index) })
	for _, s := range r.turned {
		s.moved = false
		held, _ := s.Count()
		if moved := s.turns != s.Turns(); moved || s.held != held {
			s.turns, s.held = s.Turns(), held
			turned = turned || moved
			r.retunePool(s.pool)
		}
	}
	clear(r.turned)
	r.turned = r.turned[:0]
	if turned {
		r.enqueue(&feed{deal: true, kind: brain.UpdateChanges})
		held, of := r.Share()
		r.emit(Log{fmt.Sprintf("peers: %d of %d app nodes are ours, among %d balancers", held, of, 1+len(r.sharing))})
	}
}

// Share is how many app nodes the first pool uses, and how many there are.
func (r *Reducer) Share() (held, of int) {
	if p := r.targets[0]; p.share != nil {
		return p.share.Count()
	}
	return 0, 0
}
