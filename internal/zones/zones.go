// Package zones owns what the zones of a pool may be sent: how much of a balancer's calls goes to its own zone, how much
// spills to others, what is shed because none has room, and how a zone that was lost gets its calls back. It answers
// each call with a bound, a set of zones; which app node of them, whether to repeat and what to refuse for other reasons
// is the business of whoever asks. It must never read a clock, do I/O, start a goroutine, draw a random number, or walk
// over app nodes or calls: the work for an event grows with the number of zones and classes alone.
//
// All that it knows comes from what happens anyway: the list of members, load reports in answers, connects, answers.
//
// Each zone has a room: the work a second, in cores, that this balancer may send it, kept by a bucket (bucket.go). The
// own zone's room has no bound while it carries what comes. A zone that says nothing is dark and gets trials alone
// (health.go); from then on its room grows from a small start. Rooms are set in steps (room.go), each no sooner than the
// last one's effect can be seen in load reports, so that delay cannot make them swing.
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
	Value   float64 // worth per unit of work: the least is shed first
	Work    float64 // mean work in ms of a core of size 1; 0: learned from the times of answers
	Movable bool    // an attempt that may have run may be repeated in another zone
}

// Settings are fixed for the life of a State. A limit of 0 means the default.
type Settings struct {
	Zones     []string // by index, which is also the bit in a bound
	Own       int      // the balancer's zone
	Tiers     [][]int  // zones in order of preference; those of a tier are alike
	Balancers int      // that send to the same zones as this one and cannot talk to it
	Classes   []Class

	Fill       float64       // share of another zone's capacity up to which calls may spill there
	SpillFrom  float64       // share of the own zone's capacity from which calls leave it
	SilentFor  time.Duration // without any sign of life, though calls are out, until a zone is dark
	TrialEvery time.Duration // between trials of a dark zone, at first
	HoldFirst  time.Duration // for so long trials must succeed before a zone gets calls back; doubled at each relapse
	HoldMost   time.Duration
	Forgive    time.Duration // a relapse is forgotten after so long a time of good service
	Settle     time.Duration // from a change of what a zone is sent until load reports show it whole
}

// Defaults of the limits, with their reasons.
const (
	// fill leaves a zone that takes spill the tenth that its own clients' bursts need: beyond it queues of a single
	// server are ten deep (M/M/1).
	fill = 0.9
	// spillFrom lies above fill: zones that are both busy must not send calls past each other.
	spillFrom = 0.95
	// silentFor is several times what a healthy node takes and longer than the stalls seen in service (130 ms), yet a
	// third of the shortest deadline, so that calls caught by it can still be repeated.
	silentFor = 200 * time.Millisecond
	// trialEvery: a call caught by a trial is late by a connect timeout or is lost; four a second of a hundred or so.
	trialEvery = 250 * time.Millisecond
	// holdFirst is two trials more than the three that are asked for; with holdMost the sixth relapse waits 16 s, and
	// a return is still over within a minute.
	holdFirst = 500 * time.Millisecond
	holdMost  = 16 * time.Second
	forgive   = 60 * time.Second
	// settle: a report is refreshed every 430 to 1300 ms and averages over that time, travels up to 300 ms, and is
	// smoothed here over busyOver. A step may follow the last one when nine tenths of that one's effect is seen.
	settle = 2500 * time.Millisecond
)

// lookEvery is how often what time brings about is looked after while calls flow: a fraction of silentFor.
const lookEvery = 20 * time.Millisecond

// Bound says where a call may go: sets of zones as bits, 0 for anywhere.
type Bound struct {
	First, Later uint64 // for the first attempt, for further ones
	Shed         bool   // no zone has room for it: refuse it now
	Trial        bool   // the first attempt finds out whether a zone is back
}

// Outcome of an attempt.
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

// Note is a line for the log.
type Note struct {
	Zone int // -1: all
	Text string
}

type class struct {
	Class
	rank   int     // 0: the dearest
	cost   float64 // core-seconds of a call, before price
	learnt bool    // cost comes from answers
}

// State decides for one balancer and one pool.
type State struct {
	cfg     Settings
	now     time.Duration
	zones   []zone
	classes []class
	notes   []Note
	lost    bool // every zone is bad
	began   bool // some zone has had members
	movable bool // some class is
	least   int  // the class that is worth least

	price      float64 // what a unit of cost comes to in reported load; see learnPrice
	priced     float64 // how much has been learned of it, in seconds
	work, load float64 // means behind it: cost sent to the own zone a second, and this balancer's part of its load
	calm       float64 // busy share of the own zone, when it was last well; 0: not known
	rate       float64 // cost sent to the own zone a second, of late
	lookAt     time.Duration
}

// New checks the settings and makes the state: every zone is taken to be well until it shows otherwise.
func New(cfg Settings) (*State, error) {
	orElse(&cfg.Fill, fill)
	orElse(&cfg.SpillFrom, spillFrom)
	orElse(&cfg.SilentFor, silentFor)
	orElse(&cfg.TrialEvery, trialEvery)
	orElse(&cfg.HoldFirst, holdFirst)
	orElse(&cfg.HoldMost, holdMost)
	orElse(&cfg.Forgive, forgive)
	orElse(&cfg.Settle, settle)
	if err := check(&cfg); err != nil {
		return nil, err
	}
	s := &State{cfg: cfg, price: 1, lost: true}
	for _, name := range cfg.Zones {
		s.zones = append(s.zones, newZone(name, len(cfg.Classes)))
	}
	order := make([]int, len(cfg.Classes))
	for i, c := range cfg.Classes {
		order[i] = i
		k := class{Class: c, cost: c.Work / 1000, learnt: c.Work == 0}
		if k.learnt {
			k.cost = 0.02 // until the first answers
		}
		s.movable = s.movable || c.Movable
		s.classes = append(s.classes, k)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cfg.Classes[b].Value, cfg.Classes[a].Value) })
	for rank, i := range order {
		s.classes[i].rank = rank
	}
	s.least = order[len(order)-1]
	return s, nil
}

func orElse[T float64 | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

func check(cfg *Settings) error {
	seen := uint64(0)
	switch n := len(cfg.Zones); {
	case n == 0 || n > 63:
		return fmt.Errorf("zones: Zones: %d of them, and 1 to 63 can be kept", n)
	case cfg.Own < 0 || cfg.Own >= n:
		return fmt.Errorf("zones: Own: there is no zone %d", cfg.Own)
	case cfg.Balancers < 1:
		return errors.New("zones: Balancers must be at least 1")
	case len(cfg.Classes) == 0:
		return errors.New("zones: Classes is empty")
	case cfg.Fill < 0.1 || cfg.Fill > 1:
		return fmt.Errorf("zones: Fill: %v is not in 0.1 to 1", cfg.Fill)
	case cfg.SpillFrom < cfg.Fill || cfg.SpillFrom > 1:
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
	if len(cfg.Tiers) == 0 || len(cfg.Tiers[0]) != 1 || cfg.Tiers[0][0] != cfg.Own {
		return errors.New("zones: Tiers[0] must be the own zone alone")
	}
	for _, d := range []struct {
		key string
		v   time.Duration
	}{{"SilentFor", cfg.SilentFor}, {"TrialEvery", cfg.TrialEvery}, {"HoldFirst", cfg.HoldFirst}, {"HoldMost", cfg.HoldMost},
		{"Forgive", cfg.Forgive}, {"Settle", cfg.Settle}} {
		if d.v < 0 {
			return fmt.Errorf("zones: %s is negative", d.key)
		}
	}
	return nil
}

// at takes the clock, which never runs back, and looks after what time alone brings about.
func (s *State) at(now time.Duration) {
	s.now = max(s.now, now)
	if s.now >= s.lookAt {
		s.look()
		s.lookAt = s.now + lookEvery
	}
}

// look does what follows from the passing of time.
func (s *State) look() {
	for i := range s.zones {
		s.silence(i)
		s.step(i)
	}
	s.learnPrice()
	lost := true
	for _, t := range s.cfg.Tiers {
		for _, i := range t {
			lost = lost && !s.zones[i].open()
		}
	}
	if lost != s.lost {
		s.lost = lost
		if !s.began {
			s.began = true // before the first list there is nothing to say
		} else if lost {
			s.note(-1, "no zone answers or has members: calls go everywhere")
		} else {
			s.note(-1, "a zone serves again: calls go by zone")
		}
	}
}

// Tick looks after what time brings about, and gives the lines for the log since the last one.
func (s *State) Tick(now time.Duration) []Note {
	s.now = max(s.now, now)
	s.look()
	notes := s.notes
	s.notes = nil
	return notes
}

func (s *State) note(zone int, format string, args ...any) {
	const most = 64 // who never collects them must not fill the memory
	text := fmt.Sprintf(format, args...)
	if zone >= 0 {
		text = "zone " + s.cfg.Zones[zone] + ": " + text
	}
	if len(s.notes) < most {
		s.notes = append(s.notes, Note{zone, text})
	}
}

// Arrived answers a call with its bound.
func (s *State) Arrived(now time.Duration, class int) Bound {
	s.at(now)
	if s.lost || class < 0 || class >= len(s.classes) {
		return Bound{}
	}
	if b, ok := s.trial(class); ok {
		return b
	}
	for _, t := range s.cfg.Tiers {
		if i := s.roomIn(t, class); i >= 0 {
			s.decided(i, class)
			return s.bound(i, class)
		}
	}
	// The own zone, if it stands, is better than none: it is only busy, and who picks its app node sees how busy.
	if own := s.cfg.Own; s.zones[own].state == well && s.zones[own].capacity > 0 {
		s.decided(own, class)
		return s.bound(own, class)
	}
	return Bound{Shed: true}
}

// roomIn finds the zone of a tier that has most room left for a call, or -1.
func (s *State) roomIn(tier []int, class int) int {
	best, most := -1, 0.0
	for _, i := range tier {
		z := &s.zones[i]
		if !z.open() {
			continue
		}
		left := s.left(i, class)
		if left < 0 {
			z.turnedAt = s.now
			continue
		}
		if best < 0 || left > most {
			best, most = i, left
		}
	}
	return best
}

// bound is that of a call whose first attempt is for a zone.
func (s *State) bound(first, class int) Bound {
	b := Bound{First: 1 << first, Later: 1 << first}
	if s.classes[class].Movable {
		b.Later |= s.others(first)
	}
	return b
}

// others are the zones that may be sent further attempts: those that are well and not full.
func (s *State) others(but int) (set uint64) {
	for _, t := range s.cfg.Tiers {
		for _, i := range t {
			if z := &s.zones[i]; i != but && z.state == well && z.capacity > 0 && !s.full(z) {
				set |= 1 << i
			}
		}
	}
	return set
}

// Describe puts the state into one line.
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
			b.WriteString("room " + strconv.FormatFloat(z.room, 'f', 2, 64))
		} else {
			b.WriteString("no bound")
		}
	}
	return b.String()
}
