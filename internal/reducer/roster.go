package reducer

import (
	"pewterrudder/brain"
	"pewterrudder/internal/roster"
)

// UseRoster passes the lists of all registries through a roster, which merges them into one. discovery is the index of
// the platform's discovery among the roster's sources, or -1. It must be called before the first event.
func (r *Reducer) UseRoster(m *roster.Roster, discovery int) {
	r.roster, r.discoverySource = m, discovery
	r.refetching = make([]bool, len(m.Sources()))
}

// Roster returns the roster given to UseRoster, for inspection; nil: the list comes from discovery alone.
func (r *Reducer) Roster() *roster.Roster { return r.roster }

// rosterEntries converts a list from discovery to the roster's form. A change may omit the address, which then stays the
// same.
func rosterEntries(l *List) []roster.Entry {
	out := make([]roster.Entry, len(l.Members))
	for i := range l.Members {
		m := &l.Members[i]
		out[i] = roster.Entry{ID: m.Server, Address: l.Addresses[i], Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Weight: m.Weight, Started: m.Started}
		switch m.State {
		case brain.Draining:
			out[i].State = roster.Draining
		case brain.Gone:
			out[i].State = roster.Gone
		}
	}
	return out
}

// enqueueSourceList enqueues the list of a source, or changes to it, for processing in slices.
func (r *Reducer) enqueueSourceList(source int, complete bool, revision int64, list []roster.Entry, kind brain.UpdateKind) {
	r.enqueue(&fleetJob{kind: kind, fromSource: true, source: source, complete: complete, revision: revision, entries: list})
}

// applySourceSlice passes one slice to the roster and returns the resulting changes; done reports whether it was the
// last slice.
func (r *Reducer) applySourceSlice(job *fleetJob) (changes []roster.Change, done bool) {
	end := min(job.nextEntry+maxEntriesPerEvent, len(job.entries))
	slice := job.entries[job.nextEntry:end]
	switch {
	case !job.complete:
		changes = r.roster.Apply(r.now, job.source, false, job.revision, slice)
	case job.nextEntry == 0:
		r.roster.Begin(r.now, job.source, job.revision)
		fallthrough
	default:
		changes = r.roster.Add(r.now, job.source, slice)
	}
	if job.nextEntry = end; job.nextEntry < len(job.entries) {
		return changes, false
	}
	if job.complete {
		changes = append(changes, r.roster.Commit(r.now, job.source)...)
	}
	return changes, true
}

// enqueueRosterChanges enqueues changes that the roster made on its own.
func (r *Reducer) enqueueRosterChanges(changes []roster.Change) {
	if len(changes) == 0 {
		return
	}
	l := List{}
	for i := range changes {
		m, address := memberOf(&changes[i])
		l.Members, l.Addresses = append(l.Members, m), append(l.Addresses, address)
	}
	r.enqueue(&fleetJob{list: l})
}

// memberOf converts a roster change to a member and its address.
func memberOf(c *roster.Change) (brain.Member, string) {
	m := brain.Member{Server: c.ID, Zone: c.Zone, Kind: c.Kind, Cell: c.Cell, Weight: c.Weight, Started: c.Started}
	switch c.State {
	case roster.Draining:
		m.State = brain.Draining
	case roster.Gone:
		m.State = brain.Gone
	}
	return m, c.Address
}

// reportConnect reports the result of a connect to the roster. An answer counts like a successful connect.
func (r *Reducer) reportConnect(s *server, ok bool) {
	if r.roster != nil && !s.removed {
		r.roster.Connect(r.now, s.id, ok)
		r.pollRoster()
	}
}

// onRosterTick lets the roster do the work that is due.
func (r *Reducer) onRosterTick() {
	if r.roster == nil || r.now < r.rosterTimerAt {
		return // a newer timer has been armed
	}
	r.rosterTimerAt = 0
	r.enqueueRosterChanges(r.roster.Tick(r.now))
	r.pollRoster()
}

// pollRoster logs the roster's notes, requests the lists that it needs, and arms its next timer.
func (r *Reducer) pollRoster() {
	for _, line := range r.roster.TakeLogLines() {
		r.emit(Log{"roster: " + line})
	}
	for i := range r.refetching {
		if wants := r.roster.NeedsFullList(i); wants && !r.refetching[i] {
			if i == r.discoverySource {
				r.listRevision = 0
				r.openWatch()
			} else {
				r.emit(Refetch{i})
			}
		}
		r.refetching[i] = r.roster.NeedsFullList(i)
	}
	at, ok := r.roster.NextTick()
	if !ok || r.rosterTimerAt > 0 && r.rosterTimerAt <= at {
		return
	}
	r.rosterTimerAt = max(at, r.now, 1)
	r.emit(StartTimer{max(0, at-r.now), rosterTimer{}})
}

// onSourceBroke reports to the roster that a source cannot be reached. The decider reconnects to the platform's
// discovery; other sources reconnect by themselves.
func (r *Reducer) onSourceBroke(source int, err error) {
	if r.roster == nil {
		return
	}
	r.roster.RecordError(r.now, source, err.Error())
	r.pollRoster()
}
