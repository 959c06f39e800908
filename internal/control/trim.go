package control

import "slices"

// Trim removes all records of the history but the latest keep. Edits in force stay, with their deadlines. Ids stay for
// edits that are in force or below one; an edit with a removed id could be made a second time, so keep must be far above
// the number of records for which a client may retry. The cost is linear in the whole state.
func (s *State) Trim(keep int) {
	cut := len(s.history) - max(keep, 0)
	if cut <= 0 {
		return
	}
	s.floor, s.floorStamp = s.history[cut-1].Revision, s.history[cut-1].Stamp
	s.history = slices.Clone(s.history[cut:])

	// Unlink expired layers, so that a chain of timed edits on one key does not grow without bound.
	for at, l := range s.layers {
		if at <= s.floor {
			r := *l.Record
			r.Sets = slices.Clone(r.Sets)
			for i := range r.Sets {
				r.Sets[i].Was = s.unexpiredLayer(r.Sets[i].Key, r.Sets[i].Was, s.lastStamp.Box)
			}
			l.Record = &r
		}
	}

	// The layer below is needed while the layer on top may expire, and the layers of a record while it can be undone.
	needed := map[uint64]bool{}
	var markNeeded func(at uint64)
	markNeeded = func(at uint64) {
		for l := s.layers[at]; l != nil && !needed[at]; l = s.layers[at] {
			needed[at] = true
			if _, ok := l.deadline(); !ok && l.Edit.Trial == 0 {
				return
			}
			for _, set := range l.Sets[1:] {
				markNeeded(set.Was)
			}
			at = l.Sets[0].Was
		}
	}
	for _, at := range s.slots {
		markNeeded(at.layer)
	}
	for _, r := range s.history {
		markNeeded(r.Of)
		for _, set := range r.Sets {
			markNeeded(set.Was)
			markNeeded(set.Now)
		}
	}
	for at := range s.layers {
		if !needed[at] {
			delete(s.layers, at)
		}
	}
	for id, at := range s.revisionByID {
		if at <= s.floor && !needed[at] {
			delete(s.revisionByID, id)
		}
	}
	for k, at := range s.slots {
		if at.revision <= s.floor && at.layer == 0 {
			delete(s.slots, k)
		}
	}
}
