package reducer

import (
	"cmp"
	"slices"
	"time"

	"pewterrudder/brain"
)

func (r *Reducer) openWatch() {
	r.watch++
	r.watching = true
	r.emit(Watch{r.watch, r.discovery, r.revision})
}

func (r *Reducer) onListed(l List) {
	kind := brain.UpdateChanges
	if l.Complete {
		kind = brain.UpdateFull
	}
	r.onList(l, kind)
}

func (r *Reducer) onList(l List, kind brain.UpdateKind) {
	r.revision = max(r.revision, l.Revision)
	if l.Complete {
		r.revision = l.Revision // whatever came before, the list is this one
	}
	ready := false
	for i := range l.Members {
		m := &l.Members[i]
		ready = ready || m.State == brain.Ready
		s := r.servers[m.Server]
		if m.State == brain.Gone {
			if s != nil {
				r.drop(s)
			}
			continue
		}
		if s == nil {
			s = &server{id: m.Server, conns: map[uint64]*conn{}}
			r.servers[m.Server], r.ordered = s, append(r.ordered, s)
		}
		// What is open to an old address, or was to the process before the last start, leads elsewhere or nowhere.
		if l.Addresses[i] != "" && l.Addresses[i] != s.address || m.Started != s.started {
			s.address, s.started = cmp.Or(l.Addresses[i], s.address), m.Started
			r.doom(s)
		}
	}
	if l.Complete {
		named := make(map[string]struct{}, len(l.Members)) // a search for each would take a second with 10,000 of them
		for i := range l.Members {
			named[l.Members[i].Server] = struct{}{}
		}
		for _, s := range slices.Clone(r.ordered) {
			if _, ok := named[s.id]; !ok {
				r.drop(s)
			}
		}
	}
	l.Members = append(l.Members, r.displaced()...)
	r.tell(&brain.FleetUpdate{Kind: kind, Members: l.Members})
	// Without a server every call would only be held, so readiness waits for one.
	if !r.readied && ready {
		r.readied = true
		r.emit(Ready{})
	}
}

// displaced drops the servers at whose address another has started since, and gives the entries that tell the node:
// that they are gone may be listed only later, and until then their calls would reach the new one.
func (r *Reducer) displaced() (gone []brain.Member) {
	latest := make(map[string]time.Duration, len(r.ordered)) // start at each address; it may lie before the clock's zero
	for _, s := range r.ordered {
		if at, ok := latest[s.address]; !ok || s.started > at {
			latest[s.address] = s.started
		}
	}
	for _, s := range slices.Clone(r.ordered) {
		if s.started < latest[s.address] {
			r.drop(s)
			gone = append(gone, brain.Member{Server: s.id, State: brain.Gone})
		}
	}
	return gone
}

// drop takes a server out of the state for good; on a long day most of those ever listed are gone.
func (r *Reducer) drop(s *server) {
	s.gone = true
	delete(r.servers, s.id)
	r.ordered = slices.DeleteFunc(r.ordered, func(o *server) bool { return o == s })
	r.doom(s)
}

// doom closes what is open to a server, busy connections and dials at their end.
func (r *Reducer) doom(s *server) {
	for len(s.idle) > 0 {
		r.close(s.idle[0])
	}
	for _, k := range s.conns {
		k.doomed = true
	}
}
