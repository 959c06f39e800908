package control

import "slices"

// Sight is what the roster and the health of a node say, as the caller sees it. It is no part of what operators want, and
// of it only the question before the last node comes.
type Sight struct {
	Pools   []string // as they are by now, operators' pools among them
	Ready   bool     // it would be given work, were it not for an operator's drain
	Drained bool     // by the roster
	Weight  float64  // by the roster
}

// Hear takes the latest of a node. One that has gone from the roster is told with Gone.
func (s *State) Hear(node string, n Sight) {
	s.Gone(node)
	n.Pools = slices.Clone(n.Pools)
	s.sights[node] = n
	s.count(node, 1)
}

// Gone takes a node off. What operators say of it stays, and holds when it is listed again.
func (s *State) Gone(node string) {
	s.count(node, -1)
	delete(s.sights, node)
}

// See gives what was last heard of a node.
func (s *State) See(node string) (Sight, bool) {
	n, ok := s.sights[node]
	return n, ok
}

func (s *State) isDrained(node string) bool {
	k := key(thingDrain, node)
	return s.word(k, s.keys[k].layer) != nil
}

func (s *State) count(node string, by int) {
	if !s.isDrained(node) {
		s.add(node, by)
	}
}

// add counts a node in or out of the ready ones of its pools.
func (s *State) add(node string, by int) {
	n := s.sights[node]
	if !n.Ready {
		return
	}
	for _, p := range n.Pools {
		if s.ready[p] += by; s.ready[p] == 0 {
			delete(s.ready, p)
		}
	}
}

// drained follows an operator's drain or its end.
func (s *State) drained(node string, was, is bool) {
	switch {
	case is && !was:
		s.add(node, -1)
	case was && !is:
		s.add(node, 1)
	}
}

// empties gives the pools that a record takes the last ready node of. own are the parts of its edit, if it has one; fewer
// is how many nodes each pool loses by records that will count before it, and then by it too.
func (s *State) empties(r *Record, own []part, fewer map[string]int) []string {
	less := map[string]int{}
	for i, set := range r.Sets {
		thing, node := set.Key.Parts()
		if thing != thingDrain || !s.sights[node].Ready {
			continue
		}
		was, is := s.word(set.Key, set.Was) != nil, s.word(set.Key, set.Now) != nil
		if r.Kind == Edited { // its own layer is not there yet
			is = !own[i].op.empty()
		}
		for _, p := range s.sights[node].Pools {
			switch {
			case is && !was:
				less[p]++
			case was && !is:
				less[p]--
			}
		}
	}
	var out []string
	for p, n := range less {
		if left := s.ready[p] - fewer[p]; n > 0 && left == n {
			out = append(out, p)
		}
		fewer[p] += n
	}
	slices.Sort(out)
	return out
}
