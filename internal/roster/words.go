package roster

import "time"

// Said takes a whole list, or changes. A source without revisions says 0. A whole list is worked through at once here;
// see Begin for a long one.
func (r *Roster) Said(now time.Duration, source int, whole bool, revision int64, entries []Entry) []Change {
	s := r.source(source)
	if s == nil {
		return nil
	}
	if !whole {
		return r.changes(now, s, revision, entries)
	}
	r.advance(now)
	r.finish(s)
	r.alive(s, revision > s.revMost)
	r.begin(s, revision)
	for i := range entries {
		r.learn(s, &entries[i], revision)
	}
	r.commit(s)
	r.finish(s)
	r.restand()
	return r.flush()
}

// Begin opens a whole list that is given in slices: Add for each, then Commit. What a slice names counts at once; what
// none names goes, in slices as well, after Commit. Broke, or another Begin, gives the list up.
func (r *Roster) Begin(now time.Duration, source int, revision int64) {
	r.advance(now)
	s := r.source(source)
	if s == nil {
		return
	}
	r.finish(s) // what an earlier list did not name must not seem named by this one
	r.begin(s, revision)
	for _, o := range r.sources {
		if o.standing == Decides {
			return // until Commit the source's list is its last one, which may be old
		}
	}
	r.alive(s, true) // part of a list is better than none
}

// Add takes a slice of the list that is open.
func (r *Roster) Add(now time.Duration, source int, entries []Entry) []Change {
	r.advance(now)
	s := r.source(source)
	if s == nil || !s.open {
		return nil
	}
	for i := range entries {
		r.learn(s, &entries[i], s.openRev)
	}
	r.restand()
	return r.flush()
}

// Commit says that the list was whole.
func (r *Roster) Commit(now time.Duration, source int) []Change {
	r.advance(now)
	s := r.source(source)
	if s == nil || !s.open {
		return nil
	}
	r.alive(s, s.openRev > s.revMost)
	r.commit(s)
	r.restand()
	return r.flush()
}

func (r *Roster) begin(s *source, revision int64) {
	s.list++
	s.open, s.openRev, s.named = true, revision, 0
	if !s.guard {
		s.guardRef = s.live
	}
}

// commit finds whether the list is to be believed, and has what it does not name looked at.
func (r *Roster) commit(s *source) {
	if s.openRev < s.rev {
		r.note("source %s: its revision went back from %d to %d", s.Name, s.rev, s.openRev)
	}
	s.open, s.wants = false, false
	s.rev, s.revMost = s.openRev, max(s.revMost, s.openRev)
	short := r.cfg.LossShare > 0 && s.guardRef >= leastGuarded && float64(s.named) < r.cfg.LossShare*float64(s.guardRef)
	switch {
	case short && !s.guard:
		s.guard, s.kept, s.guardEnd = true, false, r.now+r.cfg.LossFor
		r.note("source %s: its list fell from %d entries to %d; what it lacks is kept for %v", s.Name, s.guardRef, s.named, r.cfg.LossFor)
	case !short && s.guard:
		s.guard, s.clear = false, false
		r.note("source %s: its list is believed again; entries: %d", s.Name, s.named)
	}
	s.sweep, s.left = true, len(s.words)
}

// guardOut: the time for which what is in doubt is kept has run out. A list of nobody is never believed, nor one of which
// nothing has been heard of late.
func (r *Roster) guardOut(s *source) {
	s.guardEnd = r.now + r.cfg.LossFor
	if s.health == Fresh && s.live > s.doubt {
		s.clear, s.left = true, len(s.words)
		return
	}
	if !s.kept {
		s.kept = true
		r.note("source %s: what it lacks is kept on, since it lists nobody or is not heard: %d", s.Name, s.doubt)
	}
}

// finish walks a source's words to the end, where a sweep is under way.
func (r *Roster) finish(s *source) {
	if s.sweep {
		r.walkSource(s, len(s.words)+1)
	}
}

// walkSource looks at some words whose worth may have changed, and gives what is left of n.
func (r *Roster) walkSource(s *source, n int) int {
	if s.left == 0 && !s.sweep && !s.clear {
		return n
	}
	s.left = min(s.left, len(s.words))
	for ; n > 0 && s.left > 0; n-- {
		s.left--
		w := s.words[s.left] // one that goes gives its place to a later one, which has been looked at
		missing := s.sweep && w.list != s.list && w.entry.State != Gone
		switch {
		case missing && s.guard && !w.doubt:
			w.doubt = true
			s.doubt++
		case missing && !s.guard, s.clear && w.doubt && !r.answersStill(w.node):
			w.missed = true
			r.remove(w, s.rev)
			continue
		}
		r.touch(w.node)
	}
	if s.left == 0 {
		if s.clear && s.doubt == 0 {
			s.guard = false
			r.note("source %s: its list is believed now; entries: %d", s.Name, s.live)
		} else if s.clear && !s.kept {
			s.kept = true
			r.note("source %s: what it lacks and connects succeed to is kept on: %d", s.Name, s.doubt)
		}
		s.sweep, s.clear = false, false
	}
	return n
}

func (r *Roster) answersStill(n *node) bool { return n.lastOK > 0 && r.now-n.lastOK < r.cfg.LossFor }

// changes takes changes. Those of a lower revision than what is held come late or from a source that has forgotten: their
// ends are taken, and what else they say must be seen in a whole list.
func (r *Roster) changes(now time.Duration, s *source, revision int64, entries []Entry) []Change {
	r.advance(now)
	older := revision != 0 && revision < s.rev
	r.alive(s, !older && revision > s.revMost)
	if older && !s.wants {
		s.wants = true
		r.note("source %s: changes of revision %d after %d: its whole list is wanted", s.Name, revision, s.rev)
	}
	if !older {
		s.rev, s.revMost = revision, max(s.revMost, revision)
	}
	for i := range entries {
		if e := &entries[i]; !older || e.State != Up {
			r.learn(s, e, revision)
		}
	}
	r.restand()
	return r.flush()
}

// learn takes one word.
func (r *Roster) learn(s *source, e *Entry, rev int64) {
	if e.ID == "" {
		return
	}
	w := s.byID[e.ID]
	if w == nil {
		n := r.nodes[e.ID]
		if e.State == Gone && (n == nil || len(r.sources) == 1) {
			return
		}
		if n == nil {
			n = &node{id: e.ID}
			n.told.State = Gone
			r.nodes[n.id] = n
		}
		w = &word{node: n, other: n.words, source: s, at: len(s.words)}
		w.entry.State = Gone
		n.words, s.words, s.byID[n.id] = w, append(s.words, w), w
		w.list = s.list - 1  // not named by it yet
		if e.State == Gone { // its own removal holds against those that list it
			if w.other != nil {
				w.entry.Address = w.other.entry.Address
			}
			r.bury(w, rev)
			r.touch(n)
			return
		}
	}
	if was, is := w.list == s.list && w.entry.State != Gone, e.State != Gone; s.open && was != is {
		if is {
			s.named++
		} else {
			s.named--
		}
	}
	w.list = s.list
	if w.doubt {
		w.doubt = false
		s.doubt--
	}
	if e.State == Gone {
		if w.entry.State != Gone {
			r.remove(w, rev)
		}
		return
	}
	w.missed = false
	before := w.entry.State
	if before == Gone {
		s.live++
	}
	ended := before != Up || w.held
	w.held = ended && e.State == Up && rev != 0 && rev < w.rev && r.now < w.until && e.Started <= w.raw
	started := w.entry.Started
	if before == Gone && !w.held || w.raw != e.Started {
		if started = min(e.Started, r.now); started == 0 && e.Started != 0 {
			started = 1 // the clock's first moment is not "long ago"
		}
	}
	w.entry, w.raw = *e, e.Started
	w.entry.Started = started
	switch {
	case w.held:
		if before == Draining {
			r.at(w.until, holdEnds, w, nil)
		}
	case e.State == Draining:
		if !ended {
			w.until = r.now + r.cfg.Hold
		}
		w.rev = max(w.rev, rev)
	default:
		w.rev, w.until = 0, 0
	}
	r.touch(w.node)
}

// remove: the source does not have the entry any more.
func (r *Roster) remove(w *word, rev int64) {
	w.source.live--
	if w.doubt {
		w.doubt = false
		w.source.doubt--
	}
	r.touch(w.node)
	r.bury(w, rev)
}

// bury keeps a removal for as long as it holds against somebody.
func (r *Roster) bury(w *word, rev int64) {
	w.entry.State, w.held = Gone, false
	w.rev, w.until = max(w.rev, rev), r.now+r.cfg.Hold
	if r.cfg.Hold == 0 || len(r.sources) == 1 && rev == 0 {
		r.forget(w)
		return
	}
	r.at(w.until, holdEnds, w, nil)
}

// forget takes a word out of the state, and its node if nothing is left of it once the others have been told.
func (r *Roster) forget(w *word) {
	s := w.source
	delete(s.byID, w.node.id)
	last := s.words[len(s.words)-1]
	s.words[w.at], last.at = last, w.at
	s.words[len(s.words)-1] = nil
	s.words = s.words[:len(s.words)-1]
	for at := &w.node.words; *at != nil; at = &(*at).other {
		if *at == w {
			*at = w.other
			break
		}
	}
	r.touch(w.node)
}
