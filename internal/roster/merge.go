package roster

// crowd is how many nodes at one address are held against each other: a registry that gives one address to all must not
// make each change cost the whole list.
const crowd = 16

// touch has a node resolved at the end of the call.
func (r *Roster) touch(n *node) {
	if !n.dirty {
		n.dirty = true
		r.dirty = append(r.dirty, n)
	}
}

// flush resolves what has been touched, and gives what that changes.
func (r *Roster) flush() (out []Change) {
	for i := 0; i < len(r.dirty); i++ { // refile adds those at the same address
		n := r.dirty[i]
		n.base = nil
		for w := n.words; w != nil; w = w.other {
			if w.entry.State != Gone && (n.base == nil || w.before(n.base)) && w.source.standing >= DrainsOnly {
				n.base = w
			}
		}
		if len(r.sources) > 1 {
			r.refile(n)
		}
	}
	r.weighFailing() // first, so that there are never too many suspects
	for _, n := range r.dirty {
		out = r.resolve(n, out)
		n.dirty = false
	}
	clear(r.dirty)
	r.dirty = r.dirty[:0]
	if len(r.newly) > 0 {
		r.note("suspects: listed as up, and no connect succeeds: %s; with them %d of %d", sayNames(r.newly), len(r.failing), r.listed)
		r.newly = r.newly[:0]
	}
	r.weighFailing()
	return out
}

// before says that a word wins over another.
func (w *word) before(o *word) bool {
	if a, b := w.source.standing, o.source.standing; a != b {
		return a > b
	}
	return w.source.rank < o.source.rank
}

// refile files a node under its address; those there, and where it was, are resolved as well. One without a deciding word
// stays where it was, since its ends hold there.
func (r *Roster) refile(n *node) {
	place := n.place
	switch {
	case n.base != nil:
		place = n.base.entry.Address
	case n.words == nil:
		place = ""
	case place == "": // listed by nobody who decides
		for w := n.words; w != nil; w = w.other {
			if w.entry.Address != "" {
				place = w.entry.Address
			}
		}
	}
	r.touchAt(n.place)
	if place == n.place {
		return
	}
	if n.place != "" {
		for at, first := r.places[n.place], true; at != nil; at, first = at.next, false {
			if first && at == n {
				if n.next == nil {
					delete(r.places, n.place)
				} else {
					r.places[n.place] = n.next
				}
				break
			}
			if at.next == n {
				at.next = n.next
				break
			}
		}
		n.next = nil
	}
	if n.place = place; place != "" {
		n.next = r.places[place]
		r.places[place] = n
	}
	r.touchAt(place)
}

func (r *Roster) touchAt(place string) {
	if place == "" {
		return
	}
	for n, left := r.places[place], crowd; n != nil && left > 0; n, left = n.next, left-1 {
		r.touch(n)
	}
}

// knows says that a source lists a node.
func (n *node) knows(s *source) bool {
	for w := n.words; w != nil; w = w.other {
		if w.source == s && w.entry.State != Gone {
			return true
		}
	}
	return false
}

// behind says that a node is another under an id that counts less.
func (n *node) behind(o *node) bool {
	if n.base == nil || o.base == nil || !o.base.before(n.base) {
		return false
	}
	for w := n.words; w != nil; w = w.other {
		if w.entry.State != Gone && o.knows(w.source) {
			return false
		}
	}
	return true
}

// ends says that a word speaks against fresh work.
func (r *Roster) ends(w *word) bool {
	if w.source.standing == Out {
		return false
	}
	return w.state() == Draining || w.entry.State == Gone && !w.missed && r.now < w.until
}

// stateOf is what all words together make of a node.
func (r *Roster) stateOf(n *node) State {
	if n.base == nil {
		return Gone
	}
	state := n.base.state()
	if n.base.source.standing == DrainsOnly {
		state = Draining
	}
	for w := n.words; w != nil; w = w.other {
		if r.ends(w) {
			state = Draining
		}
	}
	if n.place == "" {
		return state
	}
	var up, end [SourcesMost]bool // of other sources, under other ids
	for o, left := r.places[n.place], crowd; o != nil && left > 0; o, left = o.next, left-1 {
		if o == n {
			continue
		}
		if n.behind(o) {
			return Gone
		}
		for w := o.words; w != nil; w = w.other {
			i := w.source.rank
			switch {
			case n.knows(w.source):
			case r.ends(w):
				end[i] = true
			case w.entry.State == Up && w.source.standing != Out:
				up[i] = true
			}
		}
	}
	for i := range end {
		if end[i] && !up[i] {
			state = Draining
		}
	}
	return state
}

// resolve tells of a node what differs from what was told.
func (r *Roster) resolve(n *node, out []Change) []Change {
	state := r.stateOf(n)
	is := Change{}
	if state == Gone {
		is.Entry = n.told.Entry
		n.fails, n.lastOK = 0, 0 // at its address there may be another by the time it comes back
	} else {
		is.Entry = n.base.entry
		if n.told.State == Gone || is.Started != n.told.Started || is.Address != n.told.Address || state == Up && !n.counted {
			r.clearSuspicion(n) // there is news of it
		}
	}
	is.State = state
	r.count(n, state == Up)
	if n.failing > 0 && !r.ours {
		is.Suspect = true
		if !n.onTrial {
			is.State = Draining
		}
	}
	if is.Suspect && !n.told.Suspect {
		r.newly = append(r.newly, n.id)
	}
	if is.Suspect != n.told.Suspect || !is.same(&n.told.Entry) {
		n.told = is
		out = append(out, is)
	}
	if n.words == nil {
		delete(r.nodes, n.id)
	}
	return out
}
