package control

import "slices"

// Sight is the state of a node by the roster and its health checks, as the caller sees it. It is not part of the
// operators' settings; it serves only the check for the last ready node of a pool.
type Sight struct {
	Pools   []string // current pools, those of operators included
	Ready   bool     // eligible for work, an operator's drain aside
	Drained bool     // by the roster
	Weight  float64  // by the roster
}

// Hear records the latest state of a node. Call Gone for a node that has left the roster.
func (s *State) Hear(node string, status Sight) {
	s.Gone(node)
	status.Pools = slices.Clone(status.Pools)
	s.statuses[node] = status
	s.countNode(node, 1)
}

// Gone removes the state of a node. The operators' settings of it stay, and apply when it is listed again.
func (s *State) Gone(node string) {
	s.countNode(node, -1)
	delete(s.statuses, node)
}

// See returns the state of a node as last given to Hear.
func (s *State) See(node string) (Sight, bool) {
	status, ok := s.statuses[node]
	return status, ok
}

func (s *State) isDrained(node string) bool {
	k := newKey(keyTypeDrain, node)
	return s.opAt(k, s.slots[k].layer) != nil
}

func (s *State) countNode(node string, delta int) {
	if !s.isDrained(node) {
		s.addReady(node, delta)
	}
}

// addReady adds delta to the ready counts of the node's pools, if the node is ready.
func (s *State) addReady(node string, delta int) {
	status := s.statuses[node]
	if !status.Ready {
		return
	}
	for _, p := range status.Pools {
		if s.readyCount[p] += delta; s.readyCount[p] == 0 {
			delete(s.readyCount, p)
		}
	}
}

// drainChanged updates the ready counts when an operator's drain begins or ends.
func (s *State) drainChanged(node string, was, is bool) {
	switch {
	case is && !was:
		s.addReady(node, -1)
	case was && !is:
		s.addReady(node, 1)
	}
}

// emptiedPools returns the sorted names of the pools that lose their last ready node by a record. ops are the operations
// of its edit, nil for other kinds. lostBefore holds, per pool, the nodes lost by records that will be committed before
// this one; the losses of this record are added to it.
func (s *State) emptiedPools(r *Record, ops []keyOp, lostBefore map[string]int) []string {
	lost := map[string]int{}
	for i, set := range r.Sets {
		keyType, node := set.Key.Parts()
		if keyType != keyTypeDrain || !s.statuses[node].Ready {
			continue
		}
		was, is := s.opAt(set.Key, set.Was) != nil, s.opAt(set.Key, set.Now) != nil
		if r.Kind == Edited { // its layer does not exist before Commit
			is = !ops[i].op.resets()
		}
		for _, p := range s.statuses[node].Pools {
			switch {
			case is && !was:
				lost[p]++
			case was && !is:
				lost[p]--
			}
		}
	}
	var out []string
	for p, n := range lost {
		if left := s.readyCount[p] - lostBefore[p]; n > 0 && left == n {
			out = append(out, p)
		}
		lostBefore[p] += n
	}
	slices.Sort(out)
	return out
}
