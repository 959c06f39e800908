// Package roster is the one place where what registries say of app nodes becomes the list that the reducer hears: which
// source decides, how old its word may grow, what a list that loses most of its entries is worth, and which entries are
// listed as up while nobody answers there. It owns each source's last word and nothing else. It must never do I/O, read
// a clock, start a goroutine or lock: one goroutine drives it, and the same calls always give the same changes.
//
// The rules, in the order in which they win:
//
//   - Drains and removals. What any source with a list that still counts for something says of an entry's end holds,
//     whatever the others say: a drain for as long as that source says so, a removal for Settings.Hold after it was told.
//     A removed entry that another source still has is draining, not gone. No guard and no age stands against a drain.
//     What a whole list merely lacks was not told: it goes with that source, and no other need mind.
//   - Who decides. Of the primary sources the first that is fresh, else the first that is stale; a fallback where no
//     primary is either; joined ones add to that. Where nobody else can decide, the last that did goes on, at any age.
//   - Age. A source that is lost while another decides is one from which only drains are taken: what it alone has drains,
//     and after Hold its list is out. One that comes back from there with a list that has not moved is treated so for Hold.
//   - The same node is one with the same id; or, from different sources, with the same address: then it goes by the id
//     that the deciding, more trusted source has for it. One source that has two ids at an address means two nodes.
//   - Older words. A source that goes on with lower revisions has forgotten something. Its whole list is taken, but what
//     it said of ends holds against it for Hold; of changes with lower revisions only drains are taken (see Wants).
//   - Loss. A whole list that is shorter than a share of what the source had is doubted: what it does not name stays for
//     LossFor. Then it is believed, but for entries to which a connect has succeeded within LossFor, and unless it lists
//     nobody at all or the source is not fresh. A source that has much less than another does not decide in its place.
//   - Suspects. An entry that is up by all this while no connect succeeds gets no fresh work but a rare trial.
//
// Entries are told at once, except where a source's standing changes or a list given in slices has been committed: then
// they are walked through in slices, one a Tick, so that no call's work grows with the list.
package roster

import (
	"fmt"
	"maps"
	"time"
)

// State of an entry.
type State uint8

const (
	Up State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Entry is one app node as a source knows it.
type Entry struct {
	ID, Address, Zone, Kind string
	Cell                    int
	Weight                  float64
	Started                 time.Duration // on our clock; 0: long ago. One that lies ahead counts as the moment it is told
	State                   State
	Labels                  map[string]string // never written to
}

func (e *Entry) same(o *Entry) bool {
	return e.ID == o.ID && e.Address == o.Address && e.Zone == o.Zone && e.Kind == o.Kind && e.Cell == o.Cell &&
		e.Weight == o.Weight && e.Started == o.Started && e.State == o.State && maps.Equal(e.Labels, o.Labels)
}

// Change is an entry as it counts from now on. A suspect is Draining, and Up for a moment where it is on trial: one
// connect of its own tells as much as a call.
type Change struct {
	Entry
	Suspect bool
}

// Role of a source among the others.
type Role uint8

const (
	Primary  Role = iota // lists the whole fleet; the first that is heard decides
	Joined               // lists further nodes
	Fallback             // lists the whole fleet where no primary is heard
)

func (r Role) String() string { return [...]string{"primary", "joined", "fallback"}[r] }

// Source is one registry. Those named first are trusted more.
type Source struct {
	Name  string
	Role  Role
	Stale time.Duration // without a sign of life for so long, it is stale
	Lost  time.Duration // and for so long, lost; 0: never
}

// Settings of a roster. What is 0 is off.
type Settings struct {
	Sources []Source
	Hold    time.Duration // that a removal, or an end that was told at a later revision, holds against other words

	LossShare float64       // a whole list shorter than this share of what was held is doubted
	LossFor   time.Duration // for so long, if the source is heard all the while

	SuspectFails int           // connects in a row that fail
	SuspectOver  time.Duration // and for how long at the least
	SuspectShare float64       // of the entries that are up; with more, the fault is taken for our own
	TrialFirst   time.Duration // pause before the first trial; it doubles
	TrialMost    time.Duration
	TrialFor     time.Duration // a trial ends at a connect, and after that without
}

// SourcesMost bounds the sources; a switch between them looks at each.
const SourcesMost = 8

const (
	// sliceMost bounds the entries that one Tick walks through, so that it stays well under a millisecond.
	sliceMost = 250
	// leastGuarded: of fewer entries, losing most is an ordinary day.
	leastGuarded = 3
)

// fault names a field of Settings, by the key that the settings file has for it.
func fault(key string, v any, want string) error {
	return fmt.Errorf("roster: %s: %v, where %s is wanted", key, v, want)
}

func (s *Settings) check() error {
	if len(s.Sources) < 1 || len(s.Sources) > SourcesMost {
		return fault("sources", len(s.Sources), fmt.Sprintf("a number of 1 to %d", SourcesMost))
	}
	names := map[string]bool{}
	for i, src := range s.Sources {
		at := fmt.Sprintf("sources[%d].", i)
		switch {
		case src.Name == "" || names[src.Name]:
			return fault(at+"name", fmt.Sprintf("%q", src.Name), "a name of its own")
		case src.Role > Fallback:
			return fault(at+"role", uint8(src.Role), "a role")
		case src.Stale <= 0:
			return fault(at+"stale_ms", src.Stale, "a time")
		case src.Lost != 0 && src.Lost < src.Stale:
			return fault(at+"lost_ms", src.Lost, "0 or no less than stale_ms")
		}
		names[src.Name] = true
	}
	switch {
	case s.Hold < 0 || s.Hold == 0 && len(s.Sources) > 1:
		return fault("hold_ms", s.Hold, "a time, where there are several sources")
	case !(s.LossShare >= 0 && s.LossShare < 1):
		return fault("loss.share", s.LossShare, "a share under 1")
	case s.LossShare > 0 && s.LossFor <= 0:
		return fault("loss.for_ms", s.LossFor, "a time")
	case s.SuspectFails < 0:
		return fault("suspects.fails", s.SuspectFails, "0 or more")
	case s.SuspectFails == 0:
		return nil
	case s.SuspectOver < 0:
		return fault("suspects.over_ms", s.SuspectOver, "0 or more")
	case !(s.SuspectShare > 0 && s.SuspectShare <= 1):
		return fault("suspects.share", s.SuspectShare, "a share over 0")
	case s.TrialFirst <= 0:
		return fault("suspects.trial_first_ms", s.TrialFirst, "a time")
	case s.TrialMost < s.TrialFirst:
		return fault("suspects.trial_most_ms", s.TrialMost, "no less than trial_first_ms")
	case s.TrialFor <= 0:
		return fault("suspects.trial_ms", s.TrialFor, "a time")
	}
	return nil
}

// node is all that is said of one id.
type node struct {
	id    string
	words *word // the latest words of the sources, in no order
	dirty bool
	told  Change // Gone: not told, or told to be gone
	base  *word  // what decides, after resolve; nil: nothing
	place string // the address that it is filed under, where there are several sources
	next  *node  // at that address

	fails    int
	failFrom time.Duration
	lastOK   time.Duration
	pause    time.Duration // before the next trial
	trialAt  time.Duration // its moment, or that of the end of the one under way
	onTrial  bool
	failing  int // place in Roster.failing and one, or 0
	counted  bool
}

// word is the latest that a source said of an id. It stays for a while after a removal.
type word struct {
	node   *node
	other  *word // of the same node
	source *source
	entry  Entry
	raw    time.Duration // Started as told
	at     int           // in source.words
	list   uint64        // the latest whole list, or the one since which it was named
	rev    int64         // at which its end was told
	until  time.Duration // that this holds against lower revisions and, if it was a removal, against other sources
	missed bool          // gone, as a whole list did not name it: nothing that was told, so no other source need mind
	held   bool          // it is told to be up, but at a lower revision
	doubt  bool          // a list that is too short does not name it
}

// state is what the source's word amounts to.
func (w *word) state() State {
	if w.held {
		return Draining
	}
	return w.entry.State
}

// Roster is the whole state. Make it with New.
type Roster struct {
	cfg     Settings
	now     time.Duration
	sources []*source
	nodes   map[string]*node
	places  map[string]*node // by address, where there are several sources
	dirty   []*node
	due     queue
	seq     uint64
	notes   []string

	listed  int      // nodes that are up by the sources' words
	failing []*node  // those of them that fail
	walk    int      // of these still to be looked at since ours changed; from the end
	ours    bool     // so many fail that it must be our own network
	newly   []string // suspects since the last line
}

// New makes a roster without entries.
func New(s Settings) (*Roster, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Roster{cfg: s, nodes: map[string]*node{}, places: map[string]*node{}}
	for i, src := range s.Sources {
		r.sources = append(r.sources, &source{Source: src, rank: i, words: nil, byID: map[string]*word{}})
	}
	return r, nil
}

func (r *Roster) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// Notes gives the lines for the operator since it was last called.
func (r *Roster) Notes() []string {
	n := r.notes
	r.notes = nil
	return n
}

// advance takes the time; it never runs back.
func (r *Roster) advance(now time.Duration) { r.now = max(r.now, now) }

// Tick does what time brings about, and goes on with what is walked through in slices.
func (r *Roster) Tick(now time.Duration) []Change {
	r.advance(now)
	r.restand()
	for n := sliceMost; n > 0 && len(r.due) > 0 && r.due[0].at <= r.now; n-- {
		r.fall(r.due.pop())
	}
	left := sliceMost
	for _, s := range r.sources {
		left = r.walkSource(s, left)
	}
	r.walkFailing(left)
	r.restand() // a list that has become shorter may not decide any more
	return r.flush()
}

// Due is when Tick has something to do next; ok is false where nothing waits. A moment that has passed means at once.
func (r *Roster) Due() (at time.Duration, ok bool) {
	add := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if len(r.dirty) > 0 || r.walk > 0 {
		add(r.now)
	}
	if len(r.due) > 0 {
		add(r.due[0].at)
	}
	for _, s := range r.sources {
		if s.left > 0 {
			add(r.now)
		}
		if t, is := r.nextOf(s); is {
			add(t)
		}
	}
	return at, ok
}
