package control

import "slices"

// Trim forgets all of the history but its latest records. What is in force stays, and what of it ends by itself. Of the
// ids, those of the edits stay that are in force or lie below; a forgotten one could be made again, so that keep belongs
// far above what a client sends again. The work is that of all that is held.
func (s *State) Trim(keep int) {
	cut := len(s.history) - max(keep, 0)
	if cut <= 0 {
		return
	}
	s.floor, s.base = s.history[cut-1].Revision, s.history[cut-1].Stamp
	s.history = slices.Clone(s.history[cut:])

	// Layers that have run out are passed over for good: a chain of timed edits on one key does not grow for ever.
	for at, l := range s.layers {
		if at <= s.floor {
			r := *l.Record
			r.Sets = slices.Clone(r.Sets)
			for i := range r.Sets {
				r.Sets[i].Was = s.alive(r.Sets[i].Key, r.Sets[i].Was, s.last.Box)
			}
			l.Record = &r
		}
	}

	// What a layer lies on matters while it may run out, and what a record names while it may be undone.
	needed := map[uint64]bool{}
	var need func(at uint64)
	need = func(at uint64) {
		for l := s.layers[at]; l != nil && !needed[at]; l = s.layers[at] {
			needed[at] = true
			if _, ok := l.ends(); !ok && l.Edit.Trial == 0 {
				return
			}
			for _, set := range l.Sets[1:] {
				need(set.Was)
			}
			at = l.Sets[0].Was
		}
	}
	for _, at := range s.keys {
		need(at.layer)
	}
	for _, r := range s.history {
		need(r.Of)
		for _, set := range r.Sets {
			need(set.Was)
			need(set.Now)
		}
	}
	for at := range s.layers {
		if !needed[at] {
			delete(s.layers, at)
		}
	}
	for id, at := range s.ids {
		if at <= s.floor && !needed[at] {
			delete(s.ids, id)
		}
	}
	for k, at := range s.keys {
		if at.revision <= s.floor && at.layer == 0 {
			delete(s.keys, k)
		}
	}
}
