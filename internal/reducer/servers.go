package reducer

import (
	"cmp"
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/roster"
)

const (
	// sliceMost bounds the entries of a list that one event works through, and walkMost the servers that one looks at:
	// each keeps an event under a millisecond. What is left comes back as an event of its own, behind those that wait.
	sliceMost = 100
	walkMost  = 1000
)

func (r *Reducer) openWatch() {
	r.watch++
	r.watching = true
	r.emit(Watch{r.watch, r.discovery, r.revision})
}

// watchPause is how long nothing is heard at the most between two watches.
func (r *Reducer) watchPause() time.Duration {
	return min(max(r.cfg.Rules.DrainGrace/watchPart, watchLeast), watchAgain)
}

// feed is work on the fleet that is under way: a list being entered, or the pools being dealt anew.
type feed struct {
	list   List
	kind   brain.UpdateKind
	deal   bool        // no list: only the pools have changed
	adjust *adjustment // what follows, if it is one
	epoch  uint64      // of the servers that the list names
	next   int         // entry
	left   int         // servers still to be looked at, once all entries are in; they are taken from the end
	walks  bool        // that has begun

	said     bool // by a source of the roster, which gives the changes that follow
	source   int
	whole    bool
	revision int64
	entries  []roster.Entry
}

func (r *Reducer) onList(l List, kind brain.UpdateKind) {
	r.revision = max(r.revision, l.Revision)
	if l.Complete {
		r.revision = l.Revision // whatever came before, the list is this one
	}
	if kind == brain.UpdateFull {
		kind = brain.UpdateChanges // what the pools hear is what has changed; a whole list without the rest would empty them
	}
	r.epoch++
	r.enqueue(&feed{list: l, kind: kind, epoch: r.epoch})
}

func (r *Reducer) enqueue(f *feed) {
	if r.feeds = append(r.feeds, f); len(r.feeds) == 1 {
		r.feedOn()
	}
}

// feedOn works through one slice. The pools hear of changes alone. The one that asks for the list hears also of an empty
// one: that discovery has answered is news.
func (r *Reducer) feedOn() {
	f := r.feeds[0]
	touched := r.touched[:0]
	saidAll := true
	if f.said {
		var changes []roster.Change
		changes, saidAll = r.sayOn(f)
		for i := range changes {
			m, address := member(&changes[i])
			if s := r.learn(&m, address, f.epoch); s != nil {
				touched = append(touched, s)
			}
		}
	}
	for n := sliceMost; n > 0 && f.next < len(f.list.Members); n-- {
		if s := r.learn(&f.list.Members[f.next], f.list.Addresses[f.next], f.epoch); s != nil {
			touched = append(touched, s)
		}
		f.next++
	}
	for _, s := range touched {
		r.displace(s)
	}
	clear(touched)
	r.touched = touched[:0]
	if f.next >= len(f.list.Members) && (f.list.Complete || f.deal) {
		r.walk(f)
	}
	over := saidAll && f.next >= len(f.list.Members) && f.left == 0
	if over {
		r.feeds = slices.Delete(r.feeds, 0, 1)
	}
	kind := f.kind
	f.kind = brain.UpdateChanges // the rest of it
	asker := r.asker
	if f.deal || f.adjust != nil {
		asker = nil // it was not discovery that spoke
	}
	if over {
		r.tellRegions(asker)
	}
	r.tellChanged(asker, kind)
	if f.adjust != nil && over {
		r.bringAbout(f.adjust)
	}
	// Without a server every call would only be held, so readiness waits for one.
	if !r.readied && r.ready > 0 {
		r.readied = true
		r.emit(Ready{})
	}
	if f.said && over {
		r.rosterNext()
	}
	if len(r.feeds) > 0 {
		r.emit(Arm{0, more{}})
	} else {
		r.redeal()
	}
}

// learn enters one entry. It gives the server if it may now stand at the address of another.
func (r *Reducer) learn(m *brain.Member, address string, epoch uint64) *server {
	s := r.servers[m.Server]
	if m.State == brain.Gone {
		if s != nil {
			r.drop(s)
		}
		return nil
	}
	if s == nil {
		s = &server{id: m.Server, conns: map[uint64]*conn{}, at: len(r.ordered)}
		r.servers[m.Server], r.ordered = s, append(r.ordered, s)
		s.member.State, s.told.State = brain.Gone, brain.Gone // until noted below
	}
	s.seen = epoch
	moved := address != "" && address != s.address
	// What is open to an old address, or was to the process before the last start, leads elsewhere or nowhere.
	if moved || m.Started != s.member.Started {
		r.leaveAddress(s)
		s.address = cmp.Or(address, s.address)
		r.byAddress[s.address] = append(r.byAddress[s.address], s)
		r.doom(s)
		moved = true
	}
	was := s.member
	s.told = *m
	s.told.Bit = r.zoneBit(m.Zone)
	s.member = r.effective(s.told)
	if was != s.member {
		r.note(s, was)
	}
	if moved {
		return s
	}
	return nil
}

// walk looks at servers for what a whole list does not name any more, or for the pools that they belong to.
func (r *Reducer) walk(f *feed) {
	if !f.walks {
		f.walks, f.left = true, len(r.ordered)
	}
	f.left = min(f.left, len(r.ordered))
	for n := walkMost; n > 0 && f.left > 0; n-- {
		f.left--
		s := r.ordered[f.left] // one that is dropped gives its place to a later one, which has been looked at
		switch {
		case f.deal:
			if takes, uses := r.belongs(s); !slices.Equal(takes, s.takes) || !slices.Equal(uses, s.pools) {
				r.note(s, s.member)
				n -= 10 // that is more than a look
			}
		case s.seen != f.epoch:
			r.drop(s)
			n -= 10
		}
	}
}

// displace drops the servers at whose address another has started since: that they are gone may be listed only later, and
// until then their calls would reach the new one.
func (r *Reducer) displace(s *server) {
	if s.gone {
		return
	}
	last := s
	for _, o := range r.byAddress[s.address] {
		if o.member.Started > last.member.Started {
			last = o
		}
	}
	for _, o := range slices.Clone(r.byAddress[s.address]) {
		if o.member.Started < last.member.Started {
			r.drop(o)
		}
	}
}

// note has the pools hear of a server: those it belongs to now, and those it has left.
func (r *Reducer) note(s *server, was brain.Member) {
	before, took := s.pools, s.takes
	takes, uses := r.belongs(s)
	s.takes = r.kept(took, takes)
	s.pools = s.takes
	if len(uses) < len(takes) {
		s.pools = r.kept(before, uses)
	}
	if was.State == brain.Ready {
		r.ready--
		if s.member.State != brain.Ready {
			s.leftAt = r.now
		}
	}
	if s.member.State == brain.Ready {
		r.ready++
	}
	both(before, s.pools, func(i uint16, had, is bool) {
		p := r.pools[i]
		if p.region != nil {
			if !p.untold {
				p.untold, r.untold = true, append(r.untold, p)
			}
			if had {
				r.count(p.region, s, &was, -1)
			}
			if is {
				r.count(p.region, s, &s.member, 1)
			}
		}
		if had && was.State == brain.Ready {
			p.ready--
		}
		if is && s.member.State == brain.Ready {
			p.ready++
		}
		m := s.member
		if !is {
			m.State = brain.Gone
		}
		if len(p.changes) == 0 {
			r.changed = append(r.changed, p)
		}
		p.changes = append(p.changes, m)
	})
	both(took, s.takes, func(i uint16, was, is bool) {
		switch p := r.pools[i]; {
		case is && !was:
			p.held++
		case was && !is:
			p.held--
			r.free(p)
		}
	})
	if r.subsetSize > 0 && len(before) > 0 && len(s.pools) == 0 && !s.gone {
		r.doom(s) // what is open to it is let go, busy connections after their call
	}
}

// zoneBit gives each zone a bit of its own, the first 62 of them.
func (r *Reducer) zoneBit(zone string) uint64 {
	bit, ok := r.zoneBits[zone]
	if !ok && len(r.zoneBits) < 62 {
		bit = 1 << len(r.zoneBits)
		r.zoneBits[zone] = bit
	}
	return bit
}

// drop takes a server out of the state for good; on a long day most of those ever listed are gone.
func (r *Reducer) drop(s *server) {
	was := s.member
	s.gone, s.member.State = true, brain.Gone
	r.note(s, was)
	r.leaveAddress(s)
	delete(r.servers, s.id)
	last := r.ordered[len(r.ordered)-1]
	r.ordered[s.at], last.at = last, s.at
	r.ordered[len(r.ordered)-1] = nil
	r.ordered = r.ordered[:len(r.ordered)-1]
	r.doom(s)
}

func (r *Reducer) leaveAddress(s *server) {
	at := r.byAddress[s.address]
	if i := slices.Index(at, s); i >= 0 {
		if at = slices.Delete(at, i, i+1); len(at) == 0 {
			delete(r.byAddress, s.address)
		} else {
			r.byAddress[s.address] = at
		}
	}
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
