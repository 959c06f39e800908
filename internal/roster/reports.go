package roster

import "time"

// Apply applies a full list or changes from a source, and returns the resulting changes. The revision is 0 for a source
// without revisions. A full list is processed in this one call; see Begin for long lists.
func (r *Roster) Apply(now time.Duration, source int, whole bool, revision int64, entries []Entry) []Change {
	s := r.sourceAt(source)
	if s == nil {
		return nil
	}
	if !whole {
		return r.applyChanges(now, s, revision, entries)
	}
	r.advance(now)
	r.finishRecheck(s)
	r.markAlive(s, revision > s.maxRev)
	r.beginList(s, revision)
	for i := range entries {
		r.applyEntry(s, &entries[i], revision)
	}
	r.commitList(s)
	r.finishRecheck(s)
	r.updateStandings()
	return r.flush()
}

// Begin starts a full list that is given in slices: Add for each, then Commit. The entries of a slice take effect at once;
// entries absent from the list are removed after Commit, also in slices. RecordError or another Begin abandons the
// list.
func (r *Roster) Begin(now time.Duration, source int, revision int64) {
	r.advance(now)
	s := r.sourceAt(source)
	if s == nil {
		return
	}
	s.needsFullList = s.needsFullList || s.listOpen
	r.finishRecheck(s) // entries absent from an earlier list must not count as present in this one
	r.beginList(s, revision)
	for _, o := range r.sources {
		if o.standing == Decides {
			return // until Commit the source's list is still its previous one, which may be old
		}
	}
	r.markAlive(s, true) // part of a list is better than none
}

// Add applies a slice of the open list. Without an open list it does nothing.
func (r *Roster) Add(now time.Duration, source int, entries []Entry) []Change {
	r.advance(now)
	s := r.sourceAt(source)
	if s == nil || !s.listOpen {
		return nil
	}
	for i := range entries {
		r.applyEntry(s, &entries[i], s.listRev)
	}
	r.updateStandings()
	return r.flush()
}

// Commit ends the open list as complete. Without an open list it does nothing.
func (r *Roster) Commit(now time.Duration, source int) []Change {
	r.advance(now)
	s := r.sourceAt(source)
	if s == nil || !s.listOpen {
		return nil
	}
	r.markAlive(s, s.listRev > s.maxRev)
	r.commitList(s)
	r.updateStandings()
	return r.flush()
}

// beginList opens a list, and stores the current length as the baseline of the loss guard.
func (r *Roster) beginList(s *source, revision int64) {
	s.listSeq++
	s.listOpen, s.listRev, s.listLive = true, revision, 0
	if !s.guarded {
		s.guardBaseline = s.live
	}
}

// commitList decides whether to accept the list, and schedules a recheck of the entries absent from it.
func (r *Roster) commitList(s *source) {
	if s.listRev < s.rev {
		r.note("source %s: its revision went back from %d to %d", s.Name, s.rev, s.listRev)
	}
	s.listOpen, s.needsFullList = false, false
	s.rev, s.maxRev = s.listRev, max(s.maxRev, s.listRev)
	short := r.cfg.LossShare > 0 && s.guardBaseline > 0 && (s.listLive == 0 ||
		s.guardBaseline >= minGuardedEntries && float64(s.listLive) < r.cfg.LossShare*float64(s.guardBaseline))
	switch {
	case short && !s.guarded:
		s.guarded, s.keptNoted, s.guardEnd = true, false, r.now+r.cfg.LossFor
		r.note("source %s: its list fell from %d entries to %d; what it lacks is kept for %v", s.Name, s.guardBaseline, s.listLive, r.cfg.LossFor)
	case !short && s.guarded:
		s.guarded, s.sweepDoubted = false, false
		r.note("source %s: its list is believed again; entries: %d", s.Name, s.listLive)
	}
	s.sweepOmitted, s.recheckLeft = true, len(s.reports)
}

// guardExpired runs when doubted entries have been kept for LossFor. It accepts the list, unless the list is empty or the
// source is not fresh: then the entries stay.
func (r *Roster) guardExpired(s *source) {
	s.guardEnd = r.now + r.cfg.LossFor
	if s.health == Fresh && s.live > s.doubtedCount {
		s.sweepDoubted, s.recheckLeft = true, len(s.reports)
		return
	}
	if !s.keptNoted {
		s.keptNoted = true
		r.note("source %s: what it lacks is kept on, since it lists nobody or is not heard: %d", s.Name, s.doubtedCount)
	}
}

// finishRecheck rechecks all remaining reports of a source if the removal of absent entries is in progress.
func (r *Roster) finishRecheck(s *source) {
	if s.sweepOmitted {
		r.recheckSource(s, len(s.reports)+1)
	}
}

// recheckSource rechecks up to n reports whose effect may have changed, and returns the unused part of n.
func (r *Roster) recheckSource(s *source, n int) int {
	if s.recheckLeft == 0 && !s.sweepOmitted && !s.sweepDoubted && !s.standingChanged {
		return n
	}
	s.recheckLeft = min(s.recheckLeft, len(s.reports))
	for ; n > 0 && s.recheckLeft > 0; n-- {
		s.recheckLeft--
		rep := s.reports[s.recheckLeft] // a removed report is replaced by the last one, which is already checked
		missing := s.sweepOmitted && rep.listSeq != s.listSeq && rep.entry.State != Gone
		switch {
		case missing && s.guarded && !rep.doubted:
			rep.doubted = true
			s.doubtedCount++
		case missing && !s.guarded, s.sweepDoubted && rep.doubted && !r.recentlyReachable(rep.node):
			r.removeOmitted(rep)
			continue
		}
		if s.standingChanged {
			r.markDirty(rep.node)
		}
	}
	if s.recheckLeft == 0 {
		if s.sweepDoubted && s.doubtedCount == 0 {
			s.guarded = false
			r.note("source %s: its list is believed now; entries: %d", s.Name, s.live)
		} else if s.sweepDoubted && !s.keptNoted {
			s.keptNoted = true
			r.note("source %s: what it lacks and connects succeed to is kept on: %d", s.Name, s.doubtedCount)
		}
		s.sweepOmitted, s.sweepDoubted, s.standingChanged = false, false, false
	}
	return n
}

// recentlyReachable reports whether a connect to the node succeeded within LossFor.
func (r *Roster) recentlyReachable(n *node) bool {
	return n.lastOK > 0 && r.now-n.lastOK < r.cfg.LossFor
}

// applyChanges applies changes from a source. Changes of a lower revision than the stored one are late, or come from a
// source that lost data: only their drains and removals are taken, and the full list is requested for the rest.
func (r *Roster) applyChanges(now time.Duration, s *source, revision int64, entries []Entry) []Change {
	r.advance(now)
	outdated := revision != 0 && revision < s.rev
	r.markAlive(s, !outdated && revision > s.maxRev)
	if outdated && !s.needsFullList {
		s.needsFullList = true
		r.note("source %s: changes of revision %d after %d: its whole list is wanted", s.Name, revision, s.rev)
	}
	if !outdated {
		s.rev, s.maxRev = revision, max(s.maxRev, revision)
	}
	for i := range entries {
		if e := &entries[i]; !outdated || e.State != Up {
			r.applyEntry(s, e, revision)
		}
	}
	r.updateStandings()
	return r.flush()
}

// applyEntry stores what a source reports about one entry.
func (r *Roster) applyEntry(s *source, e *Entry, rev int64) {
	if e.ID == "" {
		return
	}
	rep := s.byID[e.ID]
	if rep == nil {
		n := r.nodes[e.ID]
		if e.State == Gone && (r.cfg.Hold == 0 || len(r.sources) == 1 && rev == 0) {
			return // no report could be overruled by this removal
		}
		if n == nil {
			n = &node{id: e.ID}
			n.published.State = Gone
			r.nodes[n.id] = n
		}
		rep = &report{node: n, nextOfNode: n.reports, source: s, index: len(s.reports)}
		rep.entry.State = Gone
		n.reports, s.reports, s.byID[n.id] = rep, append(s.reports, rep), rep
		rep.listSeq = s.listSeq - 1 // not in the current list yet
		if e.State == Gone {        // the removal overrides other sources that list the node
			if rep.nextOfNode != nil {
				rep.entry.Address = rep.nextOfNode.entry.Address
			}
			rep.endedStart = r.now // any process that it concerns has started by now
			r.remove(rep, rev, r.now+r.cfg.Hold)
			return
		}
	}
	if was, is := rep.listSeq == s.listSeq && rep.entry.State != Gone, e.State != Gone; s.listOpen && was != is {
		if is {
			s.listLive++
		} else {
			s.listLive--
		}
	}
	rep.listSeq = s.listSeq
	if rep.doubted {
		rep.doubted = false
		s.doubtedCount--
	}
	if e.State == Gone {
		rep.omitted = false
		r.remove(rep, rev, r.now+r.cfg.Hold)
		return
	}
	rep.omitted = false
	previous := rep.entry.State
	if previous == Gone {
		s.live++
	}
	rep.overruled = (previous != Up || rep.overruled) && e.State == Up && rev != 0 && rev < rep.endRev &&
		r.now < rep.holdUntil && e.Started <= rep.endedStart
	repeated := previous == Draining && rep.reportedStart == e.Started
	started := rep.entry.Started
	if previous == Gone && !rep.overruled || rep.reportedStart != e.Started {
		if started = min(e.Started, r.now); started == 0 && e.Started != 0 {
			started = 1 // 0 would mean "long ago"
		}
	}
	rep.entry, rep.reportedStart = *e, e.Started
	rep.entry.Started = started
	switch {
	case rep.overruled:
		if previous == Draining {
			r.schedule(rep.holdUntil, holdTimer, rep, nil)
		}
	case e.State == Draining:
		if !repeated {
			rep.holdUntil = r.now + r.cfg.Hold
		}
		rep.endRev, rep.endedStart = max(rep.endRev, rev), max(rep.endedStart, e.Started)
	default:
		rep.endRev, rep.holdUntil, rep.endedStart = 0, 0, 0
	}
	r.markDirty(rep.node)
}

// removeOmitted removes an entry that is absent from the source's full list. If it was draining, this counts as its
// removal.
func (r *Roster) removeOmitted(rep *report) {
	until := r.now + r.cfg.Hold
	if rep.overruled {
		until = rep.holdUntil // of the drain or removal that overrules it
	}
	rep.omitted = rep.reportedState() == Up
	r.remove(rep, rep.source.rev, until)
}

// remove marks a report Gone until the given time, or deletes it if the removal cannot override any other report.
func (r *Roster) remove(rep *report, rev int64, until time.Duration) {
	if rep.entry.State != Gone {
		rep.source.live--
	}
	if rep.doubted {
		rep.doubted = false
		rep.source.doubtedCount--
	}
	r.markDirty(rep.node)
	rep.entry.State, rep.overruled = Gone, false
	rep.endRev, rep.holdUntil, rep.endedStart = max(rep.endRev, rev), until, max(rep.endedStart, rep.reportedStart)
	if r.cfg.Hold == 0 || len(r.sources) == 1 && rev == 0 {
		r.deleteReport(rep)
		return
	}
	r.schedule(rep.holdUntil, holdTimer, rep, nil)
}

// deleteReport deletes a report. Its node is deleted by resolve if it has no report left.
func (r *Roster) deleteReport(rep *report) {
	s := rep.source
	delete(s.byID, rep.node.id)
	last := s.reports[len(s.reports)-1]
	s.reports[rep.index], last.index = last, rep.index
	s.reports[len(s.reports)-1] = nil
	s.reports = s.reports[:len(s.reports)-1]
	for at := &rep.node.reports; *at != nil; at = &(*at).nextOfNode {
		if *at == rep {
			*at = rep.nextOfNode
			break
		}
	}
	r.markDirty(rep.node)
}
