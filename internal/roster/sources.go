package roster

import (
	"slices"
	"time"
)

// Health of a source, by the age of its latest sign of life.
type Health uint8

const (
	Never Health = iota // nothing was heard yet, or no list
	Fresh
	Stale
	Lost
)

func (h Health) String() string { return [...]string{"never heard", "fresh", "stale", "lost"}[h] }

// Standing is what a source's word counts for.
type Standing uint8

const (
	Out        Standing = iota // nothing
	Standby                    // its ends alone, of what others list: another decides
	DrainsOnly                 // its ends, and what it alone lists drains
	Decides
)

func (s Standing) String() string {
	return [...]string{"out", "standing by", "drains only", "decides"}[s]
}

type source struct {
	Source
	rank  int
	words []*word
	byID  map[string]*word
	live  int // words that are not Gone, those in doubt included
	doubt int // words in doubt

	heard    bool // ever
	at       time.Duration
	health   Health
	standing Standing
	lostAt   time.Duration
	back     time.Duration // until then it has come back with a list that has not moved; 0: it has not
	why      string        // it broke, since it was last heard
	rev      int64
	revMost  int64 // ever

	list    uint64 // whole lists begun
	open    bool   // the latest is being told
	openRev int64
	named   int // by the open list, not Gone
	wants   bool

	left  int  // words still to be looked at, from the end
	sweep bool // what the latest list does not name goes
	clear bool // and what is in doubt as well

	guard    bool // a list was too short
	guardRef int  // entries before
	guardEnd time.Duration
	kept     bool // it has been said that the doubt goes on
}

// age is the time since the latest sign of life.
func (r *Roster) age(s *source) time.Duration { return r.now - s.at }

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

// nextOf is when time alone changes something about a source.
func (r *Roster) nextOf(s *source) (at time.Duration, ok bool) {
	add := func(t time.Duration, on bool) {
		if on && (!ok || t < at) {
			at, ok = t, true
		}
	}
	switch s.health {
	case Fresh:
		add(s.at+s.Stale, true)
	case Stale:
		add(s.at+s.Source.Lost, s.Source.Lost > 0)
	case Lost:
		add(s.lostAt+r.cfg.Hold, s.standing == DrainsOnly)
	}
	add(s.back, s.back > 0)
	add(s.guardEnd, s.guard)
	return at, ok
}

// restand finds what each source counts for now, and has what changes by it looked at again.
func (r *Roster) restand() {
	for _, s := range r.sources {
		if h := r.healthOf(s); h != s.health {
			r.sayHealth(s, h)
			if h == Lost {
				s.lostAt, s.back = s.at+s.Source.Lost, 0
			}
			s.health = h
		}
		if s.back > 0 && s.back <= r.now {
			s.back = 0
		}
		if s.guard && s.guardEnd <= r.now {
			r.guardOut(s)
		}
	}
	var next [SourcesMost]Standing
	main := r.lead(Primary)
	if main == nil && (r.joined() == 0 || r.has(Primary)) {
		main = r.lead(Fallback)
	}
	if main == nil { // nobody can take its place
		main = r.last()
	}
	for i, s := range r.sources {
		switch {
		case s == main, s.Role == Joined && s.able():
			next[i] = Decides
		case s.able() && s.health == Fresh:
			next[i] = Standby
		case s.able() || s.back > 0 || s.health == Lost && r.now < s.lostAt+r.cfg.Hold:
			next[i] = DrainsOnly
		}
	}
	for i, s := range r.sources {
		if next[i] != s.standing {
			if len(r.sources) > 1 {
				r.note("source %s: %s, was: %s", s.Name, next[i], s.standing)
			}
			s.standing, s.left = next[i], len(s.words)
		}
	}
}

// able says that a source may decide.
func (s *source) able() bool { return (s.health == Fresh || s.health == Stale) && s.back == 0 }

// lead is the source of a role that decides: the first that is fresh, else the first that is stale. One that lists much
// less than another that could decide is like a list that has lost most of its entries, and one that lists nobody takes
// nobody's place, lost or not.
func (r *Roster) lead(role Role) *source {
	most := 0
	for _, s := range r.sources {
		if s.Role != Joined && s.able() {
			most = max(most, s.live)
		}
	}
	held := r.cfg.LossShare > 0 && slices.ContainsFunc(r.sources, func(s *source) bool {
		return s.Role != Joined && s.standing == Decides && s.live > 0
	})
	var found *source
	for _, s := range r.sources {
		if most >= leastGuarded && float64(s.live) < r.cfg.LossShare*float64(most) || held && s.live == 0 {
			continue
		}
		if s.Role == role && s.able() && (found == nil || found.health != Fresh && s.health == Fresh) {
			found = s
		}
	}
	return found
}

func (r *Roster) has(role Role) bool {
	for _, s := range r.sources {
		if s.Role == role {
			return true
		}
	}
	return false
}

func (r *Roster) joined() (n int) {
	for _, s := range r.sources {
		if s.Role == Joined && s.able() {
			n++
		}
	}
	return n
}

// last is the source that has decided and goes on, since nobody can take its place; where none has, the one that has
// been heard last.
func (r *Roster) last() *source {
	var found *source
	for _, s := range r.sources {
		if !s.heard || s.Role == Joined && r.has(Primary) {
			continue
		}
		if s.standing == Decides && s.Role != Joined {
			return s
		}
		if found == nil || s.at > found.at {
			found = s
		}
	}
	return found
}

func (r *Roster) sayHealth(s *source, h Health) {
	switch {
	case h == Fresh && s.health == Never:
		r.note("source %s: first heard", s.Name)
	case h == Fresh:
		r.note("source %s: heard again, was: %s", s.Name, s.health)
	case s.why != "":
		r.note("source %s: %s, not heard for %v: %s", s.Name, h, r.age(s), s.why)
	default:
		r.note("source %s: %s, not heard for %v", s.Name, h, r.age(s))
	}
}

// alive notes a sign of life. moved: with it came something newer than all before.
func (r *Roster) alive(s *source, moved bool) {
	h := r.healthOf(s)
	s.heard, s.at, s.why = true, r.now, ""
	switch {
	case moved:
		s.back = 0
	case h == Lost && len(r.sources) > 1:
		s.back = r.now + r.cfg.Hold
		r.note("source %s: back with a list that has not moved; only drains are taken from it for %v", s.Name, r.cfg.Hold)
	}
	r.restand()
}

// Heard: a sign of life without news: the list as it was last told is the present one.
func (r *Roster) Heard(now time.Duration, source int) {
	r.advance(now)
	if s := r.source(source); s != nil && s.heard {
		r.alive(s, false)
	}
}

// Broke: the watch ended, or a call failed. A list that was being told is over; what it has told stays.
func (r *Roster) Broke(now time.Duration, source int, why string) {
	r.advance(now)
	s := r.source(source)
	if s == nil {
		return
	}
	s.open = false
	if s.why == "" {
		r.note("source %s: broke: %s", s.Name, why)
	}
	s.why = why
}

// Wants says that a source's changes do not follow on what was held, so that its whole list must be asked for.
func (r *Roster) Wants(source int) bool {
	s := r.source(source)
	return s != nil && s.wants
}

func (r *Roster) source(i int) *source {
	if i < 0 || i >= len(r.sources) {
		return nil
	}
	return r.sources[i]
}
