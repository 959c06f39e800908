package zones

import (
	"math"
	"time"
)

// A zone is well, dark or returning.
//
//	well ------> dark          no sign of life, or nearly all that it says is failure, or its last member is gone
//	dark ------> returning     trials were answered in time for long enough (hold)
//	returning -> dark          as from well; or its answers stayed worse than before for too long
//	returning -> well          its room has no longer turned a call away for a while
const (
	well uint8 = iota
	dark
	returning
)

var stateNames = [...]string{"well", "dark", "returning"}

const (
	// A zone is dark when so many calls are without an answer: at 80 a second they come within 100 ms. On probation,
	// or over a long silence, few are enough.
	silentCalls = 8
	silentFew   = 3
	silentLong  = time.Second
	// latTimes and latDevs: silence is also longer than this many times the slowest class's time plus deviations.
	latTimes, latDevs = 3.0, 2.0

	// failMost is the share of failures among what a zone says that makes it as good as dark: beyond what half of its
	// app nodes failing alone could explain. failOver is the number of outcomes that it is seen over.
	failMost = 0.85
	failOver = 20.0

	trialsAsked = 3               // answered trials, in a row
	trialSlow   = 2 * time.Second // the longest pause between trials
	trialHold   = 8               // trials within a hold, if they are not less often than that

	// Returning: answers count as good as before within these.
	lateMore  = 0.05 // share of answers in time that may be missing
	worseMost = 1.5  // times the time that they took before
	judgeFrom = 5    // answers; a step waits for them
	badMost   = 4    // bad steps in a row that end the return

	latOver  = 0.02 // weight of one answer in what is learned of times
	goodOver = 0.01 // and in the share that comes in time
)

// pace is what is known of the answers of one class in one zone.
type pace struct {
	seen      bool
	mean, dev float64 // seconds
}

type zone struct {
	name  string
	state uint8

	capacity    float64 // of ready members, warming ones by their warmth
	ready, cold int
	listed      bool    // Members has been called
	each        float64 // the largest capacity seen per ready member, which is that of a warm one

	// load reports
	busy      float64 // share of the capacity
	busyKnown bool
	busyAt    time.Duration
	fresh     int // reports since the spill began
	freshSum  float64

	// signs of life
	heard     bool          // there was one, ever
	waitFrom  time.Duration // the first call without an answer since the last one
	decidedN  int           // calls bound for it since the last sign of life
	sentN     int           // attempts sent since then
	calledOff int           // those among them that were called off when they were due
	failing   float64       // share of failures
	failSeen  float64       // outcomes behind it
	intime    float64       // share of answers in time, when it was well
	pace      []pace        // by class, when it was well
	darkSince time.Duration

	// trials
	trialAt, proofAt time.Duration // the next; the first success in a row
	proofs           int
	strikes          int
	backAt           time.Duration // when it last left the dark

	// room: see room.go
	limited        bool
	room           float64 // cores
	level          float64 // of the bucket, core-seconds
	levelAt        time.Duration
	owed, owedRank int // calls bound for it and not yet sent; the rank of the dearest
	owedAt         time.Duration
	used           float64       // core-seconds sent since the last step
	turnedAt       time.Duration // a call found no room
	takenAt        time.Duration // one did
	stepAt         time.Duration // the next step
	stepFrom       time.Duration // the last
	blind          bool          // the room is a guess, for want of reports
	answers, timed float64       // since the last step: answers, those in time
	failures       int           // connects and silence
	worse          float64       // sum of times relative to before
	bad            int           // bad steps in a row
}

func newZone(name string, classes int) zone {
	return zone{name: name, intime: 1, pace: make([]pace, classes), strikes: -1, owedRank: classes}
}

// open says whether calls may be meant for the zone at all.
func (z *zone) open() bool { return z.state != dark && z.capacity > 0 }

// warmth is the share of their full capacity that the ready members have.
func (z *zone) warmth() float64 {
	if z.ready == 0 || z.each <= 0 {
		return 1
	}
	return min(1, max(0.05, z.capacity/(float64(z.ready)*z.each)))
}

// Members tells what the list and the judgement of single app nodes leave of a zone: the sizes of its ready members in
// all, warming ones counted by their warmth, and numbers. It is told again as they warm.
func (s *State) Members(now time.Duration, zone int, capacity float64, ready, cold int) {
	if zone < 0 || zone >= len(s.zones) {
		return
	}
	z := &s.zones[zone]
	s.now = max(s.now, now)
	was, first := z.capacity, !z.listed
	z.listed, z.capacity, z.ready, z.cold = true, max(0, capacity), ready, cold
	if ready > 0 {
		z.each = max(z.each, capacity/float64(ready))
	}
	switch {
	case first || z.state == dark:
	case z.capacity <= 0:
		s.darken(zone, "its last member has gone")
	case z.capacity < was:
		s.shrink(zone, was)
	}
}

// Ended tells the one end of an attempt. util is the busy share of the app node and queue what waits there, from the
// load report; util below 0: there is none.
func (s *State) Ended(now time.Duration, zone, class int, o Outcome, took time.Duration, inTime bool, util, queue float64) {
	if zone < 0 || zone >= len(s.zones) || class < 0 || class >= len(s.classes) {
		return
	}
	s.at(now)
	z := &s.zones[zone]
	answered := o == OK || o == Late || o == Errored || o == Shed
	if answered {
		z.heard, z.decidedN, z.sentN, z.calledOff = true, 0, 0, 0
		if util >= 0 && !math.IsNaN(util) && !math.IsInf(util, 0) {
			s.report(z, min(util, 1), queue)
		}
	}
	switch {
	case o == Cancelled && took < s.usual(zone, class):
		// Another copy was faster, and this one was not due: it says nothing of the zone.
		z.sentN, z.decidedN = max(0, z.sentN-1), max(0, z.decidedN-1)
	case o == Cancelled:
		z.calledOff++
	}
	s.failed(zone, o)
	if z.state == dark {
		s.proof(zone, o, inTime)
		return
	}
	switch o {
	case OK, Late:
		s.answer(z, class, took, inTime && o == OK, util)
	case ConnectFailed, TimedOut, Dropped:
		z.failures++
	}
}

// answer enters the time of an answer: into what is normal while all is well, else into the judgement of the step.
func (s *State) answer(z *zone, class int, took time.Duration, inTime bool, util float64) {
	t, p := took.Seconds(), &z.pace[class]
	z.answers++
	if inTime {
		z.timed++
	}
	if z.state == returning {
		if p.seen {
			z.worse += t / max(p.mean, 1e-4)
		} else {
			z.worse++
		}
		return
	}
	step := latOver
	if !p.seen {
		p.seen, p.dev, step = true, t/2, 1
	}
	p.dev += step * (math.Abs(t-p.mean) - p.dev)
	p.mean += step * (t - p.mean)
	hit := 0.0
	if inTime {
		hit = 1
	}
	z.intime += goodOver * (hit - z.intime)
	if c := &s.classes[class]; c.learnt { // M/M/1: a call is there for its work over the free share
		c.cost += latOver * (t*(1-min(max(util, 0), 0.75)) - c.cost)
	}
}

// usual is the time within which most answers of a class come; where a zone has hardly been used, as in the own one.
func (s *State) usual(zone, class int) time.Duration {
	p := &s.zones[zone].pace[class]
	if !p.seen {
		p = &s.zones[s.cfg.Own].pace[class]
	}
	return time.Duration((p.mean + latDevs*p.dev) * float64(time.Second))
}

// failed watches for a zone that answers, and answers nothing but failures.
func (s *State) failed(zone int, o Outcome) {
	z, bad := &s.zones[zone], 0.0
	switch o {
	case Errored, Dropped, ConnectFailed:
		bad = 1
	case OK, Late, Shed:
	default:
		return
	}
	z.failSeen = min(z.failSeen+1, failOver)
	z.failing += (bad - z.failing) / z.failSeen
	if z.state != dark && z.failSeen >= failOver && z.failing > failMost {
		s.darken(zone, "all but nothing of what it is sent succeeds")
	}
}

// silence looks whether a zone has said nothing for too long while calls wait for it.
func (s *State) silence(zone int) {
	z := &s.zones[zone]
	n := max(z.decidedN, z.sentN)
	if z.state == dark || n < silentFew {
		return
	}
	quiet, limit := s.now-z.waitFrom, s.cfg.SilentFor
	for i := range z.pace {
		if p := &z.pace[i]; p.seen {
			limit = max(limit, time.Duration(latTimes*(p.mean+latDevs*p.dev)/z.warmth()*float64(time.Second)))
		}
	}
	long := max(limit, silentLong)
	limit = min(limit, long)
	if !z.heard {
		limit = long // nothing is known yet of how long answers take
	}
	if quiet >= limit && (n >= silentCalls || z.state == returning) || quiet >= long && n-z.calledOff >= silentFew {
		s.darken(zone, "no sign of life for "+quiet.Round(time.Millisecond).String())
	}
}

// waiting notes that an answer is due from now on.
func (s *State) waiting(z *zone) {
	if z.decidedN == 0 && z.sentN == 0 {
		z.waitFrom = s.now
	}
}

// darken takes a zone out of service. Each time that follows soon after the last return counts as a relapse.
func (s *State) darken(zone int, why string) {
	z := &s.zones[zone]
	if z.strikes < 0 {
		z.strikes = 0
	} else {
		z.strikes = max(0, z.strikes+1-int((s.now-z.backAt)/s.cfg.Forgive))
	}
	z.state, z.darkSince, z.proofs = dark, s.now, 0
	z.trialAt = s.now + s.cfg.TrialEvery
	z.limited, z.room, z.level = true, 0, 0
	s.note(zone, "%s: dark; trials for %v before it gets calls back", why, s.hold(z))
}

// hold is how long trials must succeed.
func (s *State) hold(z *zone) time.Duration {
	h := s.cfg.HoldFirst
	for range max(0, z.strikes) {
		if h = 2 * h; h >= s.cfg.HoldMost {
			return s.cfg.HoldMost
		}
	}
	return min(h, s.cfg.HoldMost)
}

// trial bounds a call for a dark zone, now and then: one that may go elsewhere when nothing comes.
func (s *State) trial(class int) (Bound, bool) {
	if !s.classes[class].Movable && (s.movable || class != s.least) {
		return Bound{}, false
	}
	for _, t := range s.cfg.Tiers {
		for _, i := range t {
			z := &s.zones[i]
			if z.state != dark || z.capacity <= 0 || s.now < z.trialAt {
				continue
			}
			slow := s.hold(z) / trialHold
			if z.proofs == 0 {
				slow = (s.now - z.darkSince) / 20 // a zone long lost is asked less often
			}
			z.trialAt = s.now + max(s.cfg.TrialEvery, min(slow, trialSlow))
			b := Bound{First: 1 << i, Later: 1 << i, Trial: true}
			if s.classes[class].Movable {
				if rest := s.others(i); rest != 0 {
					b.Later = rest
				}
			}
			return b, true
		}
	}
	return Bound{}, false
}

// proof counts what a dark zone answers. One failure begins the count anew.
func (s *State) proof(zone int, o Outcome, inTime bool) {
	z := &s.zones[zone]
	switch {
	case o == OK && inTime:
		if z.proofs++; z.proofs == 1 {
			z.proofAt = s.now
			z.trialAt = min(z.trialAt, s.now+s.cfg.TrialEvery)
		}
		if z.proofs >= trialsAsked && s.now-z.proofAt >= s.hold(z) && z.capacity > 0 {
			s.comeBack(zone)
		}
	case o == Cancelled || o == Late || o == Shed || o == OK:
	default:
		z.proofs = 0
	}
}
