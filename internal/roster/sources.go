package roster

import (
	"slices"
	"time"
)

// Health is the health of a source, by the age of its latest contact.
type Health uint8

const (
	Never Health = iota // no contact yet
	Fresh
	Stale
	Lost
)

func (h Health) String() string { return [...]string{"never heard", "fresh", "stale", "lost"}[h] }

// Standing is how far the reports of a source count.
type Standing uint8

const (
	Out        Standing = iota // not at all
	Standby                    // another source decides: only its drains and removals, of entries that others list
	DrainsOnly                 // its drains and removals; entries that it alone lists are draining
	Decides                    // its entries are authoritative
)

func (s Standing) String() string {
	return [...]string{"out", "standing by", "drains only", "decides"}[s]
}

// source is a configured source with its reports and the state of its contact.
type source struct {
	Source
	rank         int // index in Roster.sources; a lower one is more trusted
	reports      []*report
	byID         map[string]*report
	live         int // reports that are not Gone, doubted ones included
	doubtedCount int // reports that are doubted

	heard       bool // whether there was any contact
	lastSeen    time.Duration
	health      Health
	standing    Standing
	lostAt      time.Duration
	returnUntil time.Duration // end of the Hold after it returned from Lost with no higher revision; 0: not in force
	lastError   string        // error since the latest contact, or empty
	rev         int64
	maxRev      int64 // highest revision ever received

	listSeq       uint64 // number of full lists begun
	listOpen      bool   // a full list was begun and not yet committed
	listRev       int64
	listLive      int // entries in the open list that are not Gone
	needsFullList bool

	recheckLeft     int  // reports still to be rechecked, from the end
	standingChanged bool // its standing changed, so its nodes must be resolved again
	sweepOmitted    bool // remove what is absent from the latest list
	sweepDoubted    bool // remove what is doubted

	guarded       bool // the latest list was too short, so entries absent from it are kept
	guardBaseline int  // entries in the list before it
	guardEnd      time.Duration
	keptNoted     bool // it was logged that doubted entries stay
}

// age is the time since the latest contact with a source.
func (r *Roster) age(s *source) time.Duration { return r.now - s.lastSeen }

// healthOf returns the health of a source at the current time.
func (r *Roster) healthOf(s *source) Health {
	switch {
	case !s.heard:
		return Never
	case s.Lost > 0 && r.age(s) >= s.Lost:
		return Lost
	case r.age(s) >= s.Stale:
		return Stale
	}
	return Fresh
}

// nextDeadline returns the earliest time at which the state of a source changes without a call; ok is false if there is
// none.
func (r *Roster) nextDeadline(s *source) (at time.Duration, ok bool) {
	add := func(t time.Duration, applies bool) {
		if applies && (!ok || t < at) {
			at, ok = t, true
		}
	}
	switch s.health {
	case Fresh:
		add(s.lastSeen+s.Stale, true)
	case Stale:
		add(s.lastSeen+s.Source.Lost, s.Source.Lost > 0)
	case Lost:
		add(s.lostAt+r.cfg.Hold, s.standing == DrainsOnly)
	}
	add(s.returnUntil, s.returnUntil > 0)
	add(s.guardEnd, s.guarded)
	return at, ok
}

// updateStandings recomputes the health and standing of each source, and schedules a recheck of the reports of those whose
// standing changed.
func (r *Roster) updateStandings() {
	for _, s := range r.sources {
		if h := r.healthOf(s); h != s.health {
			r.noteHealth(s, h)
			if h == Lost {
				s.lostAt, s.returnUntil = s.lastSeen+s.Source.Lost, 0
			}
			s.health = h
		}
		if s.returnUntil > 0 && s.returnUntil <= r.now {
			s.returnUntil = 0
		}
		if s.guarded && s.guardEnd <= r.now {
			r.guardExpired(s)
		}
	}
	var next [MaxSources]Standing
	decider := r.pickDecider(Primary)
	if decider == nil && (r.eligibleJoined() == 0 || r.hasRole(Primary)) {
		decider = r.pickDecider(Fallback)
	}
	if decider == nil { // no source is eligible
		decider = r.lastDecider()
	}
	for i, s := range r.sources {
		switch {
		case s == decider, s.Role == Joined && s.eligible():
			next[i] = Decides
		case s.eligible() && s.health == Fresh:
			next[i] = Standby
		case s.eligible() || s.returnUntil > 0 || s.health == Lost && r.now < s.lostAt+r.cfg.Hold:
			next[i] = DrainsOnly
		}
	}
	for i, s := range r.sources {
		if next[i] != s.standing {
			if len(r.sources) > 1 {
				r.note("source %s: %s, was: %s", s.Name, next[i], s.standing)
			}
			s.standing, s.recheckLeft, s.standingChanged = next[i], len(s.reports), true
		}
	}
}

// eligible reports whether a source may decide.
func (s *source) eligible() bool {
	return (s.health == Fresh || s.health == Stale) && s.returnUntil == 0
}

// pickDecider returns the source of a role that is to decide: the first fresh one, else the first stale one, or nil. It
// skips a source that lists far fewer entries than another eligible one, as a list that lost most of its entries. With
// the loss guard enabled, a source without entries never replaces one that decides and has some.
func (r *Roster) pickDecider(role Role) *source {
	longest := 0
	for _, s := range r.sources {
		if s.Role != Joined && s.eligible() {
			longest = max(longest, s.live)
		}
	}
	decided := r.cfg.LossShare > 0 && slices.ContainsFunc(r.sources, func(s *source) bool {
		return s.Role != Joined && s.standing == Decides && s.live > 0
	})
	var found *source
	for _, s := range r.sources {
		if longest >= minGuardedEntries && float64(s.live) < r.cfg.LossShare*float64(longest) || decided && s.live == 0 {
			continue
		}
		if s.Role == role && s.eligible() && (found == nil || found.health != Fresh && s.health == Fresh) {
			found = s
		}
	}
	return found
}

// hasRole reports whether a source with the role is configured.
func (r *Roster) hasRole(role Role) bool {
	for _, s := range r.sources {
		if s.Role == role {
			return true
		}
	}
	return false
}

// eligibleJoined counts the joined sources that may decide.
func (r *Roster) eligibleJoined() (n int) {
	for _, s := range r.sources {
		if s.Role == Joined && s.eligible() {
			n++
		}
	}
	return n
}

// lastDecider returns the source that keeps deciding when no source is eligible: the one that decided so far, or else
// the one with the latest contact. It returns nil if there was no contact yet.
func (r *Roster) lastDecider() *source {
	var found *source
	for _, s := range r.sources {
		if !s.heard || s.Role == Joined && r.hasRole(Primary) {
			continue
		}
		if s.standing == Decides && s.Role != Joined {
			return s
		}
		if found == nil || s.lastSeen > found.lastSeen {
			found = s
		}
	}
	return found
}

// noteHealth logs a change of a source's health to h.
func (r *Roster) noteHealth(s *source, h Health) {
	switch {
	case h == Fresh && s.health == Never:
		r.note("source %s: first heard", s.Name)
	case h == Fresh:
		r.note("source %s: heard again, was: %s", s.Name, s.health)
	case s.lastError != "":
		r.note("source %s: %s, not heard for %v: %s", s.Name, h, r.age(s), s.lastError)
	default:
		r.note("source %s: %s, not heard for %v", s.Name, h, r.age(s))
	}
}

// markAlive records contact with a source. moved means that it brought a higher revision than any before.
func (r *Roster) markAlive(s *source, moved bool) {
	h := r.healthOf(s)
	s.heard, s.lastSeen, s.lastError = true, r.now, ""
	switch {
	case moved:
		s.returnUntil = 0
	case h == Lost && len(r.sources) > 1:
		s.returnUntil = r.now + r.cfg.Hold
		r.note("source %s: back with a list that has not moved; only drains are taken from it for %v", s.Name, r.cfg.Hold)
	}
	r.updateStandings()
}

// RecordContact records contact with a source without changes: its list is still the one last reported.
func (r *Roster) RecordContact(now time.Duration, source int) {
	r.advance(now)
	if s := r.sourceAt(source); s != nil && s.heard {
		r.markAlive(s, false)
	}
}

// RecordError records that the watch of a source ended or a call to it failed. A list that is being received is
// abandoned; the entries received so far stay.
func (r *Roster) RecordError(now time.Duration, source int, why string) {
	r.advance(now)
	s := r.sourceAt(source)
	if s == nil {
		return
	}
	s.needsFullList = s.needsFullList || s.listOpen // entries of a partial list, of any revision, are now mixed with older ones
	s.listOpen = false
	if s.lastError == "" {
		r.note("source %s: broke: %s", s.Name, why)
	}
	s.lastError = why
}

// NeedsFullList reports whether the full list of a source must be requested, because its changes do not continue from
// the stored state.
func (r *Roster) NeedsFullList(source int) bool {
	s := r.sourceAt(source)
	return s != nil && s.needsFullList
}

// sourceAt returns a source by its index, or nil if there is none.
func (r *Roster) sourceAt(i int) *source {
	if i < 0 || i >= len(r.sources) {
		return nil
	}
	return r.sources[i]
}
