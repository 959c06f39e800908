// Package zones decides how a balancer spreads the calls of a pool over zones: how many stay in its own zone, how many
// spill to others, what is shed because no zone has capacity for it, and how a zone that was lost gets its calls back.
// It answers each call with a bound, a set of zones; choosing an app node, repeating an attempt and refusing calls for
// other reasons are up to the caller. The package must never read a clock, do I/O, start a goroutine, draw a random
// number, or iterate over app nodes or calls: the cost of an event grows with the number of zones and classes alone.
//
// It sends no probes of its own. Its inputs are the list of members, load reports in answers, and the outcomes of
// connects and calls.
//
// Each zone has a limit: the work per second, in cores, that this balancer may send it, enforced by a token bucket. The
// own zone is unlimited while it can carry the load. A zone that stops responding is dark and gets only trial calls
// (health.go); after that, its limit grows from a small start. Limits are adjusted in steps (limit.go), each no sooner
// than the effect of the last one shows in load reports, so that the reporting delay cannot cause oscillation.
package zones

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Class is one kind of call.
type Class struct {
	Value   float64 // value per unit of work: the class with the lowest is shed first
	Work    float64 // mean work in ms on a core of size 1; 0: learned from response times
	Movable bool    // an attempt that may have been executed may be repeated in another zone
}

// Settings are fixed for the lifetime of a State. For the numbers and durations from MaxFill on, 0 means the default.
type Settings struct {
	Zones     []string // names; a zone's index is also its bit in a Bound
	OwnZone   int      // the balancer's zone
	Tiers     [][]int  // zones in order of preference; those of one tier are equivalent
	Balancers int      // number of balancers that send to the same zones, this one included, without coordination
	Classes   []Class

	MaxFill        float64       // share of another zone's capacity up to which calls may spill there
	SpillFrom      float64       // share of the own zone's capacity from which calls leave it
	SilenceTimeout time.Duration // time without any response, while calls are outstanding, after which a zone is dark
	TrialInterval  time.Duration // initial interval between trials of a dark zone
	HoldFirst      time.Duration // how long trials must succeed before a zone gets calls back; doubled at each relapse
	HoldMost       time.Duration // upper bound of the doubled HoldFirst
	RelapseExpiry  time.Duration // good service of this length cancels one relapse
	SettlingTime   time.Duration // time until load reports fully show a change of the load sent to a zone
}

// Defaults of Settings.
const (
	// defaultFill leaves a tenth of a zone that takes spilled calls to the bursts of its own clients. Above it, the
	// queue of a single server is about ten deep (M/M/1).
	defaultFill = 0.9
	// defaultSpillFrom is above defaultFill, or two busy zones would send calls to each other.
	defaultSpillFrom = 0.95
	// defaultSilentFor is several times the response time of a healthy node and longer than the stalls seen in service
	// (130 ms), yet a third of the shortest deadline, so that the calls affected can still be repeated.
	defaultSilentFor = 200 * time.Millisecond
	// defaultTrialEvery makes four trials a second, of a hundred calls or so. A call used as a trial is delayed by a
	// connect timeout or lost.
	defaultTrialEvery = 250 * time.Millisecond
	// defaultHoldFirst leaves time for two trials beyond the three that are required. With defaultHoldMost, the sixth
	// relapse waits 16 s, and a return still completes within a minute.
	defaultHoldFirst = 500 * time.Millisecond
	defaultHoldMost  = 16 * time.Second
	defaultForgive   = 60 * time.Second
	// defaultSettle: a load report is refreshed every 430 to 1300 ms and averages over that time, arrives up to 300 ms
	// late, and is smoothed here over busySmoothing. A step may follow the last one when nine tenths of that one's
	// effect is visible.
	defaultSettle = 2500 * time.Millisecond
)

// updateInterval is how often time-dependent state is updated while calls arrive: a fraction of defaultSilentFor.
const updateInterval = 20 * time.Millisecond

// Bound says which zones a call may go to, as bit sets by zone index; 0 means anywhere.
type Bound struct {
	First, Later uint64 // for the first attempt and for further ones
	Shed         bool   // no zone has capacity for it: refuse it now
	Trial        bool   // the first attempt tests whether a dark zone responds again
}

// Outcome is how an attempt ended.
type Outcome uint8

const (
	OK Outcome = iota
	Late
	Errored
	Shed
	ConnectFailed
	TimedOut
	Dropped
	Cancelled
)

// LogLine is a log line.
type LogLine struct {
	Zone int // zone index; -1: all zones
	Text string
}

type class struct {
	Class
	rank        int     // by descending Value; 0: the most valuable class
	cost        float64 // core-seconds of a call, before costScale
	costLearned bool    // cost is learned from response times
}

// State holds the decisions of one balancer for one pool. It is not safe for concurrent use.
type State struct {
	cfg           Settings
	now           time.Duration
	zones         []zone
	classes       []class
	notes         []LogLine
	allDown       bool // no zone is usable
	membersSeen   bool // some zone was usable at some time
	anyMovable    bool // some class is movable
	leastValuable int  // the class of the lowest Value

	costScale        float64 // reported load per unit of cost; see learnCostScale
	costScaleLearned float64 // seconds of load that costScale was learned from
	// Smoothed inputs of costScale: the cost per second sent to the own zone, and this balancer's part of that zone's
	// load.
	meanWork, meanLoad float64
	normalBusy         float64 // smoothed busy share of the own zone when it was last well and unlimited; 0: not known
	sendRate           float64 // recent cost per second sent to the own zone
	nextUpdateAt       time.Duration
}

// New checks the settings and returns a State in which every zone is presumed well.
func New(cfg Settings) (*State, error) {
	setDefault(&cfg.MaxFill, defaultFill)
	setDefault(&cfg.SpillFrom, defaultSpillFrom)
	setDefault(&cfg.SilenceTimeout, defaultSilentFor)
	setDefault(&cfg.TrialInterval, defaultTrialEvery)
	setDefault(&cfg.HoldFirst, defaultHoldFirst)
	setDefault(&cfg.HoldMost, defaultHoldMost)
	setDefault(&cfg.RelapseExpiry, defaultForgive)
	setDefault(&cfg.SettlingTime, defaultSettle)
	if err := checkSettings(&cfg); err != nil {
		return nil, err
	}
	s := &State{cfg: cfg, costScale: 1, allDown: true}
	for _, name := range cfg.Zones {
		s.zones = append(s.zones, newZone(name, len(cfg.Classes)))
	}
	order := make([]int, len(cfg.Classes))
	for i, c := range cfg.Classes {
		order[i] = i
		k := class{Class: c, cost: c.Work / 1000, costLearned: c.Work == 0}
		if k.costLearned {
			k.cost = 0.02 // until the first answers arrive
		}
		s.anyMovable = s.anyMovable || c.Movable
		s.classes = append(s.classes, k)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cfg.Classes[b].Value, cfg.Classes[a].Value) })
	for rank, i := range order {
		s.classes[i].rank = rank
	}
	s.leastValuable = order[len(order)-1]
	return s, nil
}

func setDefault[T float64 | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

func checkSettings(cfg *Settings) error {
	seen := uint64(0)
	switch n := len(cfg.Zones); {
	case n == 0 || n > 63:
		return fmt.Errorf("zones: Zones: %d zones, want 1 to 63", n)
	case cfg.OwnZone < 0 || cfg.OwnZone >= n:
		return fmt.Errorf("zones: Own: there is no zone %d", cfg.OwnZone)
	case cfg.Balancers < 1:
		return errors.New("zones: Balancers must be at least 1")
	case len(cfg.Classes) == 0:
		return errors.New("zones: Classes is empty")
	case cfg.MaxFill < 0.1 || cfg.MaxFill > 1:
		return fmt.Errorf("zones: Fill: %v is not in 0.1 to 1", cfg.MaxFill)
	case cfg.SpillFrom < cfg.MaxFill || cfg.SpillFrom > 1:
		return fmt.Errorf("zones: SpillFrom: %v is not between Fill and 1", cfg.SpillFrom)
	}
	for i, c := range cfg.Classes {
		if c.Value < 0 || c.Work < 0 {
			return fmt.Errorf("zones: Classes[%d]: Value and Work cannot be negative", i)
		}
	}
	for i, t := range cfg.Tiers {
		for _, z := range t {
			if z < 0 || z >= len(cfg.Zones) || seen&(1<<z) != 0 {
				return fmt.Errorf("zones: Tiers[%d]: zone %d is unknown or named twice", i, z)
			}
			seen |= 1 << z
		}
	}
	if len(cfg.Tiers) == 0 || len(cfg.Tiers[0]) != 1 || cfg.Tiers[0][0] != cfg.OwnZone {
		return errors.New("zones: Tiers[0] must hold the own zone and no other")
	}
	for _, d := range []struct {
		key string
		v   time.Duration
	}{{"SilentFor", cfg.SilenceTimeout}, {"TrialEvery", cfg.TrialInterval}, {"HoldFirst", cfg.HoldFirst}, {"HoldMost", cfg.HoldMost},
		{"Forgive", cfg.RelapseExpiry}, {"Settle", cfg.SettlingTime}} {
		if d.v < 0 {
			return fmt.Errorf("zones: %s is negative", d.key)
		}
	}
	return nil
}

// advance sets the clock, which never runs backwards, and calls update when updateInterval has passed.
func (s *State) advance(now time.Duration) {
	s.now = max(s.now, now)
	if s.now >= s.nextUpdateAt {
		s.update()
		s.nextUpdateAt = s.now + updateInterval
	}
}

// update applies what depends on time alone: silence, limit steps, the cost scale, and whether any zone is usable.
func (s *State) update() {
	for i := range s.zones {
		s.checkSilence(i)
		s.adjustLimit(i)
	}
	s.learnCostScale()
	lost := true
	for _, t := range s.cfg.Tiers {
		for _, i := range t {
			lost = lost && !s.zones[i].usable()
		}
	}
	if lost != s.allDown {
		s.allDown = lost
		if !s.membersSeen {
			s.membersSeen = true // nothing is logged before the first list of members
		} else if lost {
			s.addNote(-1, "no zone answers or has members: calls go everywhere")
		} else {
			s.addNote(-1, "a zone serves again: calls go by zone")
		}
	}
}

// Tick updates time-dependent state and returns the log lines since the last call of Tick.
func (s *State) Tick(now time.Duration) []LogLine {
	s.now = max(s.now, now)
	s.update()
	notes := s.notes
	s.notes = nil
	return notes
}

// addNote queues a log line for Tick, prefixed with the zone's name.
func (s *State) addNote(zone int, format string, args ...any) {
	const maxNotes = 64 // bounds memory if Tick is never called
	text := fmt.Sprintf(format, args...)
	if zone >= 0 {
		text = "zone " + s.cfg.Zones[zone] + ": " + text
	}
	if len(s.notes) < maxNotes {
		s.notes = append(s.notes, LogLine{zone, text})
	}
}

// Arrived returns the bound for a call that arrives now, and reserves capacity for it.
func (s *State) Arrived(now time.Duration, class int) Bound {
	s.advance(now)
	if s.allDown || class < 0 || class >= len(s.classes) {
		return Bound{}
	}
	if b, ok := s.trialBound(class); ok {
		return b
	}
	for _, t := range s.cfg.Tiers {
		if i := s.pickZone(t, class); i >= 0 {
			s.reserve(i, class)
			return s.boundFor(i, class)
		}
	}
	// A busy own zone is better than none while it is well: whoever picks its app node sees how busy each one is.
	if own := s.cfg.OwnZone; s.zones[own].state == well && s.zones[own].capacity > 0 {
		s.reserve(own, class)
		return s.boundFor(own, class)
	}
	return Bound{Shed: true}
}

// pickZone returns the zone of a tier with the most capacity left for a call, or -1.
func (s *State) pickZone(tier []int, class int) int {
	best, mostLeft := -1, 0.0
	for _, i := range tier {
		z := &s.zones[i]
		if !z.usable() {
			continue
		}
		left := s.remaining(i, class)
		if left < 0 {
			z.refusedAt = s.now
			continue
		}
		if best < 0 || left > mostLeft {
			best, mostLeft = i, left
		}
	}
	return best
}

// boundFor returns the bound of a call whose first attempt goes to a given zone.
func (s *State) boundFor(first, class int) Bound {
	b := Bound{First: 1 << first, Later: 1 << first}
	if s.classes[class].Movable {
		b.Later |= s.laterZones(first)
	}
	return b
}

// laterZones returns the zones other than but that further attempts may go to: those that are well and not full.
func (s *State) laterZones(exclude int) (set uint64) {
	for _, t := range s.cfg.Tiers {
		for _, i := range t {
			if z := &s.zones[i]; i != exclude && z.state == well && z.capacity > 0 && !s.full(z) {
				set |= 1 << i
			}
		}
	}
	return set
}

// Describe returns the state as one line.
func (s *State) Describe() string {
	var b strings.Builder
	for i := range s.zones {
		z := &s.zones[i]
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s %s, %d ready, %d cold, capacity %.3g, ", s.cfg.Zones[i], stateNames[z.state], z.ready, z.cold, z.capacity)
		if z.busyKnown {
			fmt.Fprintf(&b, "busy %.0f%%, ", 100*z.busy)
		}
		if z.limited {
			b.WriteString("room " + strconv.FormatFloat(z.limit, 'f', 2, 64))
		} else {
			b.WriteString("no bound")
		}
	}
	return b.String()
}
