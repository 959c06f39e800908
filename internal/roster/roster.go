// Package roster merges the lists of app nodes from several registries (sources) into the one list that the reducer uses.
// It decides which source is authoritative, for how long an unreachable source is trusted, whether to accept a list that
// lost most of its entries, and which entries are listed as up although no connect succeeds. It stores only the latest
// report of each source about each node. It must not do I/O, read a clock, start goroutines or take locks: one goroutine
// drives it, and the same calls always produce the same changes.
//
// The rules, highest precedence first:
//
//   - Drains and removals. A drain or removal reported by any source whose standing is not Out applies whatever the other
//     sources report: a drain for as long as that source reports it, a removal for Settings.Hold after it was reported.
//     A removed entry that another source still lists is draining, not gone. Neither the loss guard nor the age of a list
//     overrides a drain. An entry that was up and is merely absent from a full list was not reported as removed: it is
//     dropped for that source only.
//   - Deciding source. The first fresh primary source decides, else the first stale one; a fallback source decides if no
//     primary is fresh or stale. Joined sources add entries. If no other source can decide, the last one that did goes on,
//     however old its list is.
//   - Age. From a source that is lost while another decides, only drains are taken: entries that it alone lists drain, and
//     after Hold its list is ignored. If it returns with a list of no higher revision, the same applies for Hold.
//   - Identity. Entries with the same id are one node. So are entries of different sources with the same address: the node
//     then has the id that the deciding, more trusted source uses. Two ids at one address in one source are two nodes.
//   - Lower revisions. A source that continues with lower revisions has lost data. Its full list is accepted, but the
//     drains and removals that it reported before still apply for Hold; of changes with lower revisions only drains and
//     removals are taken (see NeedsFullList).
//   - Loss. A full list that is shorter than a share of the source's previous list is doubted: entries absent from it are
//     kept for LossFor. After that the list is accepted, except for entries to which a connect succeeded within LossFor,
//     and unless the list is empty or the source is not fresh. A source that lists far fewer entries than another does not
//     decide in its place.
//   - Suspects. An entry that is up by all these rules while no connect succeeds gets no new work except rare trials.
//
// Changes take effect at once, except after a change of a source's standing or the commit of a list given in slices: then
// the entries are rechecked in slices, one per Tick, so that the work of a call does not grow with the list.
package roster

import (
	"fmt"
	"maps"
	"time"
)

// State is the state of an entry.
type State uint8

const (
	Up State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Entry is one app node as a source reports it.
type Entry struct {
	ID, Address, Zone, Kind string
	Cell                    int
	Weight                  float64
	Started                 time.Duration // on the local clock; 0: long ago. A time in the future counts as the time of the report
	State                   State
	Labels                  map[string]string // read-only
}

// equal reports whether all fields of two entries are equal.
func (e *Entry) equal(o *Entry) bool {
	return e.ID == o.ID && e.Address == o.Address && e.Zone == o.Zone && e.Kind == o.Kind && e.Cell == o.Cell &&
		e.Weight == o.Weight && e.Started == o.Started && e.State == o.State && maps.Equal(e.Labels, o.Labels)
}

// Change is the new merged state of an entry. A suspect is Draining, and briefly Up while on trial: a connect made to
// probe it counts as much as one made for a call.
type Change struct {
	Entry
	Suspect bool
}

// Role is how a source relates to the other sources.
type Role uint8

const (
	Primary  Role = iota // lists the whole fleet; the first that is fresh decides, else the first that is stale
	Joined               // lists additional nodes
	Fallback             // lists the whole fleet; decides if no primary source can
)

func (r Role) String() string { return [...]string{"primary", "joined", "fallback"}[r] }

// Source is one registry. Sources named earlier are trusted more.
type Source struct {
	Name  string
	Role  Role
	Stale time.Duration // age of the latest contact at which the source is stale
	Lost  time.Duration // age at which it is lost; 0: never
}

// Settings configures a roster. A setting of 0 is disabled.
type Settings struct {
	Sources []Source
	Hold    time.Duration // how long a removal, or a drain reported at a higher revision, overrides other reports

	LossShare float64       // a full list shorter than this share of the previous one is doubted
	LossFor   time.Duration // how long entries absent from it are kept, if the source stays fresh

	SuspectFails int           // consecutive failed connects that make a node a suspect
	SuspectOver  time.Duration // minimum time over which they must have failed
	SuspectShare float64       // of the entries that are up; above it, the local network is assumed to be at fault
	TrialFirst   time.Duration // pause before the first trial; doubles after each failed one
	TrialMost    time.Duration // longest pause
	TrialFor     time.Duration // length of a trial in which no connect is made
}

// MaxSources limits the number of sources, since choosing the deciding source visits each.
const MaxSources = 8

const (
	// maxEntriesPerTick limits the entries that one Tick visits, so that it takes well under a millisecond.
	maxEntriesPerTick = 250
	// minGuardedEntries is the list length from which the loss guard applies. Losing most of a shorter list is normal;
	// losing all entries never is.
	minGuardedEntries = 3
)

// settingError describes an invalid setting, named by its key in the settings file.
func settingError(key string, v any, want string) error {
	return fmt.Errorf("roster: %s: got %v, want %s", key, v, want)
}

// validate returns an error that names the first invalid setting, or nil.
func (s *Settings) validate() error {
	if len(s.Sources) < 1 || len(s.Sources) > MaxSources {
		return settingError("sources", len(s.Sources), fmt.Sprintf("1 to %d of them", MaxSources))
	}
	names := map[string]bool{}
	for i, src := range s.Sources {
		at := fmt.Sprintf("sources[%d].", i)
		switch {
		case src.Name == "" || names[src.Name]:
			return settingError(at+"name", fmt.Sprintf("%q", src.Name), "a name that is not empty and not used by another source")
		case src.Role > Fallback:
			return settingError(at+"role", uint8(src.Role), "a known role")
		case src.Stale <= 0:
			return settingError(at+"stale_ms", src.Stale, "a duration above 0")
		case src.Lost != 0 && src.Lost < src.Stale:
			return settingError(at+"lost_ms", src.Lost, "0 or at least stale_ms")
		}
		names[src.Name] = true
	}
	switch {
	case s.Hold < 0 || s.Hold == 0 && len(s.Sources) > 1:
		return settingError("hold_ms", s.Hold, "a duration above 0 if there are several sources, else 0 or more")
	case !(s.LossShare >= 0 && s.LossShare < 1):
		return settingError("loss.share", s.LossShare, "a share of at least 0 and below 1")
	case s.LossShare > 0 && s.LossFor <= 0:
		return settingError("loss.for_ms", s.LossFor, "a duration above 0")
	case s.SuspectFails < 0:
		return settingError("suspects.fails", s.SuspectFails, "0 or more")
	case s.SuspectFails == 0:
		return nil
	case s.SuspectOver < 0:
		return settingError("suspects.over_ms", s.SuspectOver, "0 or more")
	case !(s.SuspectShare > 0 && s.SuspectShare <= 1):
		return settingError("suspects.share", s.SuspectShare, "a share above 0 and at most 1")
	case s.TrialFirst <= 0:
		return settingError("suspects.trial_first_ms", s.TrialFirst, "a duration above 0")
	case s.TrialMost < s.TrialFirst:
		return settingError("suspects.trial_most_ms", s.TrialMost, "at least trial_first_ms")
	case s.TrialFor <= 0:
		return settingError("suspects.trial_ms", s.TrialFor, "a duration above 0")
	}
	return nil
}

// node holds everything known about one id.
type node struct {
	id             string
	reports        *report // linked list of the sources' latest reports, unordered
	dirty          bool
	published      Change  // latest Change returned; Gone if none was, or if it was removed
	deciding       *report // the report that takes precedence, set by flush; nil: none
	indexedAddress string  // its key in Roster.byAddress, with several sources
	nextAtAddress  *node   // next node at that address

	failures     int
	failingSince time.Duration
	lastOK       time.Duration
	trialPause   time.Duration // pause before the next trial
	trialAt      time.Duration // when the next trial begins, or the current one ends
	onTrial      bool
	failingPos   int // index in Roster.failing plus one, or 0
	countedUp    bool
}

// report is the latest that a source reported about an id. After a removal it is kept for Settings.Hold.
type report struct {
	node          *node
	nextOfNode    *report // next report about the same node
	source        *source
	entry         Entry
	reportedStart time.Duration // Started as reported
	index         int           // in source.reports
	listSeq       uint64        // source.listSeq when the source last reported it
	endRev        int64         // revision at which its drain or removal was reported
	endedStart    time.Duration // reported Started of the process that drained or was removed
	holdUntil     time.Duration // until then a drain or removal overrides lower revisions, and a removal also other sources
	omitted       bool          // gone because absent from a full list, not reported as removed: does not affect other sources
	overruled     bool          // reported up at a lower revision than its drain or removal: counts as draining
	doubted       bool          // absent from a list that is too short, and kept
}

// reportedState returns the state of the source's entry; Draining if the entry is overruled.
func (rep *report) reportedState() State {
	if rep.overruled {
		return Draining
	}
	return rep.entry.State
}

// Roster merges the reports of all sources. Create it with New.
type Roster struct {
	cfg       Settings
	now       time.Duration
	sources   []*source
	nodes     map[string]*node
	byAddress map[string]*node // first node at each address, with several sources
	dirty     []*node
	timers    timerQueue
	seq       uint64
	notes     []string

	upCount     int      // nodes that are up by the sources' reports
	failing     []*node  // of these, nodes to which connects fail
	failingLeft int      // number of failing nodes still to be rechecked since localFault changed; from the end
	localFault  bool     // so many nodes fail that the local network must be at fault
	newSuspects []string // ids of suspects not logged yet
}

// New returns a roster without entries, or an error that names the invalid setting.
func New(s Settings) (*Roster, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	r := &Roster{cfg: s, nodes: map[string]*node{}, byAddress: map[string]*node{}}
	for i, src := range s.Sources {
		r.sources = append(r.sources, &source{Source: src, rank: i, reports: nil, byID: map[string]*report{}})
	}
	return r, nil
}

// note adds a line to those that TakeLogLines returns.
func (r *Roster) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// TakeLogLines returns the log lines added since the previous call.
func (r *Roster) TakeLogLines() []string {
	n := r.notes
	r.notes = nil
	return n
}

// advance sets the current time; it never goes back.
func (r *Roster) advance(now time.Duration) { r.now = max(r.now, now) }

// Tick fires due timers and continues rechecking entries in slices.
func (r *Roster) Tick(now time.Duration) []Change {
	r.advance(now)
	r.updateStandings()
	for n := maxEntriesPerTick; n > 0 && len(r.timers) > 0 && r.timers[0].at <= r.now; n-- {
		r.fire(r.timers.pop())
	}
	left := maxEntriesPerTick
	for _, s := range r.sources {
		left = r.recheckSource(s, left)
	}
	r.recheckFailing(left)
	r.updateStandings() // a source whose list became shorter may no longer decide
	return r.flush()
}

// NextTick returns when Tick is to be called next; ok is false if nothing is pending. A time in the past means now.
func (r *Roster) NextTick() (at time.Duration, ok bool) {
	add := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if len(r.dirty) > 0 || r.failingLeft > 0 {
		add(r.now)
	}
	if len(r.timers) > 0 {
		add(r.timers[0].at)
	}
	for _, s := range r.sources {
		if s.recheckLeft > 0 {
			add(r.now)
		}
		if t, pending := r.nextDeadline(s); pending {
			add(t)
		}
	}
	return at, ok
}
