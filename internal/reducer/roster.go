package reducer

import (
	"pewterrudder/brain"
	"pewterrudder/internal/roster"
)

// UseRoster has what registries say go through a roster, which decides what of it is the list. discovery is the place of
// the platform's discovery among its sources, -1 if it is none of them. It belongs before the first event.
func (r *Reducer) UseRoster(m *roster.Roster, discovery int) {
	r.roster, r.discoverySource = m, discovery
	r.wants = make([]bool, len(m.Sources()))
}

// Roster is what UseRoster was given, for whoever watches; nil: the word of the platform's discovery is the list.
func (r *Reducer) Roster() *roster.Roster { return r.roster }

// entries gives a list of discovery's the roster's form. A change may leave out an address, which then stays.
func entries(l *List) []roster.Entry {
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

// said queues what a source said, to be entered in slices.
func (r *Reducer) said(source int, whole bool, revision int64, es []roster.Entry, kind brain.UpdateKind) {
	r.enqueue(&feed{kind: kind, said: true, source: source, whole: whole, revision: revision, entries: es})
}

// sayOn hands the roster one slice and gives the changes that follow; over says that it was the last.
func (r *Reducer) sayOn(f *feed) (changes []roster.Change, over bool) {
	end := min(f.next+sliceMost, len(f.entries))
	part := f.entries[f.next:end]
	switch {
	case !f.whole:
		changes = r.roster.Said(r.now, f.source, false, f.revision, part)
	case f.next == 0:
		r.roster.Begin(r.now, f.source, f.revision)
		fallthrough
	default:
		changes = r.roster.Add(r.now, f.source, part)
	}
	if f.next = end; f.next < len(f.entries) {
		return changes, false
	}
	if f.whole {
		changes = append(changes, r.roster.Commit(r.now, f.source)...)
	}
	return changes, true
}

// believe enters changes that the roster came to by itself.
func (r *Reducer) believe(changes []roster.Change) {
	if len(changes) == 0 {
		return
	}
	l := List{}
	for i := range changes {
		m, address := member(&changes[i])
		l.Members, l.Addresses = append(l.Members, m), append(l.Addresses, address)
	}
	r.enqueue(&feed{list: l})
}

// member gives a change of the roster's the fleet's form.
func member(c *roster.Change) (brain.Member, string) {
	m := brain.Member{Server: c.ID, Zone: c.Zone, Kind: c.Kind, Cell: c.Cell, Weight: c.Weight, Started: c.Started}
	switch c.State {
	case roster.Draining:
		m.State = brain.Draining
	case roster.Gone:
		m.State = brain.Gone
	}
	return m, c.Address
}

// heardAt tells the roster of a connect, or of an answer, which is as good.
func (r *Reducer) heardAt(s *server, ok bool) {
	if r.roster != nil && !s.gone {
		r.roster.Connect(r.now, s.id, ok)
		r.rosterNext()
	}
}

// onRosterTick has the roster do what is due.
func (r *Reducer) onRosterTick() {
	if r.roster == nil || r.now < r.rosterAt {
		return // an earlier one has been set since
	}
	r.rosterAt = 0
	r.believe(r.roster.Tick(r.now))
	r.rosterNext()
}

// rosterNext passes on the roster's lines and what it wants, and arms its next moment.
func (r *Reducer) rosterNext() {
	for _, line := range r.roster.Notes() {
		r.emit(Log{"roster: " + line})
	}
	for i := range r.wants {
		if wants := r.roster.Wants(i); wants && !r.wants[i] {
			if i == r.discoverySource {
				r.revision = 0
				r.openWatch()
			} else {
				r.emit(Refetch{i})
			}
		}
		r.wants[i] = r.roster.Wants(i)
	}
	at, ok := r.roster.Due()
	if !ok || r.rosterAt > 0 && r.rosterAt <= at {
		return
	}
	r.rosterAt = max(at, r.now, 1)
	r.emit(Arm{max(0, at-r.now), rosterTick{}})
}

// onSourceBroke: one source cannot be heard. The platform's discovery is asked again by the node, others by themselves.
func (r *Reducer) onSourceBroke(source int, err error) {
	if r.roster == nil {
		return
	}
	r.roster.Broke(r.now, source, err.Error())
	r.rosterNext()
}
