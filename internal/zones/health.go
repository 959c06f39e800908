package zones

import (
	"math"
	"time"
)

// States of a zone.
//
//	well ------> dark          no response, nearly all responses are failures, or the last member is gone
//	dark ------> returning     trials were answered in time for the hold time
//	returning -> dark          as from well, or answers stayed worse than before for too long
//	returning -> well          the limit has not refused a call for a while
const (
	well uint8 = iota
	dark
	returning
)

var stateNames = [...]string{"well", "dark", "returning"}

const (
	// A zone is dark when at least silenceMinCalls calls wait without any response: at 80 calls a second that many come
	// within 100 ms. After longSilence, longSilenceMinCalls are enough; while a zone is returning, they are enough after
	// the normal time as well.
	silenceMinCalls     = 8
	longSilenceMinCalls = 3
	longSilence         = time.Second
	// The time without a response must also exceed silenceLatencyFactor times the slowest class's mean latency plus
	// latencyDeviations mean deviations.
	silenceLatencyFactor, latencyDeviations = 3.0, 2.0

	// maxFailureRatio is the share of failures above which a zone is treated as dark. It is higher than the failure of
	// half of its app nodes could cause. failureWindow is the number of outcomes that the share is averaged over.
	maxFailureRatio = 0.85
	failureWindow   = 20.0

	requiredTrials = 3               // successful trials, with no failure in between
	maxTrialPause  = 2 * time.Second // longest interval between trials
	trialsPerHold  = 8               // trials per hold time, within the bounds of Settings.TrialInterval and maxTrialPause

	// A returning zone's answers count as good as before within these bounds.
	maxOnTimeDrop  = 0.05 // permitted drop of the share of answers in time
	maxSlowdown    = 1.5  // permitted mean latency relative to before
	minStepAnswers = 5    // answers that a step waits for
	maxBadSteps    = 4    // consecutive bad steps after which the zone is dark again

	latencyWeight = 0.02 // weight of one answer in the moving averages of latency
	onTimeWeight  = 0.01 // weight of one answer in the share of answers in time
)

// latencyStats holds the latency of the answers of one class in one zone.
type latencyStats struct {
	seen      bool
	mean, dev float64 // seconds
}

// zone is the state of one zone, as this balancer sees it.
type zone struct {
	name  string
	state uint8

	capacity          float64 // total size of the ready members, those in slow start counted by their warmth
	ready, cold       int
	membersKnown      bool    // SetMembers was called
	capacityPerMember float64 // largest capacity seen per ready member, taken as that of a fully warm one

	// load reports
	busy              float64 // smoothed share of the capacity in use
	busyKnown         bool
	busyAt            time.Duration
	reportsSinceSpill int     // load reports since calls began to spill to it
	busySinceSpill    float64 // sum of the busy shares of these reports

	// responses and failures
	everHeard        bool           // it has responded at least once
	waitingSince     time.Duration  // when the first of the calls now waiting was decided or sent
	decidedCount     int            // calls decided for it since the last response
	sentCount        int            // attempts sent since the last response
	overdueCancelled int            // those of sentCount that were cancelled after their usual latency
	failureRatio     float64        // smoothed share of failures
	outcomesSeen     float64        // outcomes behind failureRatio, at most failureWindow
	onTimeRatio      float64        // smoothed share of answers in time while it was well
	latency          []latencyStats // by class, while it was well
	darkSince        time.Duration

	// trials
	nextTrialAt, firstSuccessAt time.Duration // when the next trial is due; when the first of the current successes came
	trialSuccesses              int
	relapses                    int           // -1: never been dark
	returnedAt                  time.Duration // when it last became returning

	// limit: see limit.go
	limited                bool
	limit                  float64 // cores; printed as "room"
	tokens                 float64 // in the bucket, core-seconds; may be negative
	tokensAt               time.Duration
	pending, pendingRank   int // calls decided for it and not yet sent; rank of the most valuable of them
	pendingAt              time.Duration
	sentWork               float64       // core-seconds sent since the last step
	refusedAt              time.Duration // when the limit last refused a call
	acceptedAt             time.Duration // when a call was last accepted
	nextStepAt             time.Duration // when the next step is due
	lastStepAt             time.Duration // when the last step was made
	limitGuessed           bool          // the limit is a guess, since no reports have come yet
	answers, answersOnTime float64       // since the last step: answers, and those of them in time
	failures               int           // since the last step: failed connects, timeouts and dropped calls
	slowdownSum            float64       // sum of latencies relative to the mean while well
	badSteps               int           // consecutive bad steps
}

func newZone(name string, classes int) zone {
	return zone{name: name, onTimeRatio: 1, latency: make([]latencyStats, classes), relapses: -1, pendingRank: classes}
}

// usable reports whether calls may be sent to the zone, apart from trials.
func (z *zone) usable() bool { return z.state != dark && z.capacity > 0 }

// warmth returns the share of their full capacity that the ready members have, between 0.05 and 1.
func (z *zone) warmth() float64 {
	if z.ready == 0 || z.capacityPerMember <= 0 {
		return 1
	}
	return min(1, max(0.05, z.capacity/(float64(z.ready)*z.capacityPerMember)))
}

// SetMembers sets what is left of a zone after the member list and the health of single app nodes: the total size of
// its ready members, those in slow start counted by their warmth, and the numbers of ready and of cold members. It is
// called again as members warm up.
func (s *State) SetMembers(now time.Duration, zone int, capacity float64, ready, cold int) {
	if zone < 0 || zone >= len(s.zones) {
		return
	}
	z := &s.zones[zone]
	s.now = max(s.now, now)
	oldCapacity, first := z.capacity, !z.membersKnown
	z.membersKnown, z.capacity, z.ready, z.cold = true, max(0, capacity), ready, cold
	if ready > 0 {
		z.capacityPerMember = max(z.capacityPerMember, capacity/float64(ready))
	}
	switch {
	case first || z.state == dark:
	case z.capacity <= 0:
		s.markDark(zone, "its last member is gone")
	case z.capacity < oldCapacity:
		s.handleCapacityLoss(zone, oldCapacity)
	}
}

// Ended reports the end of an attempt, once for each. util is the busy share of the app node and queue the number of
// calls waiting there, from the load report; util is negative if there was no report.
func (s *State) Ended(now time.Duration, zone, class int, o Outcome, took time.Duration, inTime bool, util, queue float64) {
	if zone < 0 || zone >= len(s.zones) || class < 0 || class >= len(s.classes) {
		return
	}
	s.advance(now)
	z := &s.zones[zone]
	answered := o == OK || o == Late || o == Errored || o == Shed
	if answered {
		z.everHeard, z.decidedCount, z.sentCount, z.overdueCancelled = true, 0, 0, 0
		if util >= 0 && !math.IsNaN(util) && !math.IsInf(util, 0) {
			s.recordReport(z, min(util, 1), queue)
		}
	}
	switch {
	case o == Cancelled && took < s.usualLatency(zone, class):
		// Another copy of the call was faster and this one was not overdue, so it says nothing about the zone.
		z.sentCount, z.decidedCount = max(0, z.sentCount-1), max(0, z.decidedCount-1)
	case o == Cancelled:
		z.overdueCancelled++
	}
	s.trackFailures(zone, o)
	if z.state == dark {
		s.recordTrial(zone, o, inTime)
		return
	}
	switch o {
	case OK, Late:
		s.recordAnswer(z, class, took, inTime && o == OK, util)
	case ConnectFailed, TimedOut, Dropped:
		z.failures++
	}
}

// recordAnswer adds the latency of an answer to the averages of a well zone, or to the current step of a returning one.
func (s *State) recordAnswer(z *zone, class int, took time.Duration, inTime bool, util float64) {
	t, p := took.Seconds(), &z.latency[class]
	z.answers++
	if inTime {
		z.answersOnTime++
	}
	if z.state == returning {
		if p.seen {
			z.slowdownSum += t / max(p.mean, 1e-4)
		} else {
			z.slowdownSum++
		}
		return
	}
	step := latencyWeight
	if !p.seen {
		p.seen, p.dev, step = true, t/2, 1
	}
	p.dev += step * (math.Abs(t-p.mean) - p.dev)
	p.mean += step * (t - p.mean)
	hit := 0.0
	if inTime {
		hit = 1
	}
	z.onTimeRatio += onTimeWeight * (hit - z.onTimeRatio)
	if c := &s.classes[class]; c.costLearned { // M/M/1: latency is the work divided by the idle share
		c.cost += latencyWeight * (t*(1-min(max(util, 0), 0.75)) - c.cost)
	}
}

// usualLatency returns the time within which most answers of a class come. A zone without answers of that class yet
// gets the own zone's value.
func (s *State) usualLatency(zone, class int) time.Duration {
	p := &s.zones[zone].latency[class]
	if !p.seen {
		p = &s.zones[s.cfg.OwnZone].latency[class]
	}
	return time.Duration((p.mean + latencyDeviations*p.dev) * float64(time.Second))
}

// trackFailures marks a zone dark that responds with hardly anything but failures.
func (s *State) trackFailures(zone int, o Outcome) {
	z, bad := &s.zones[zone], 0.0
	switch o {
	case Errored, Dropped, ConnectFailed:
		bad = 1
	case OK, Late, Shed:
	default:
		return
	}
	z.outcomesSeen = min(z.outcomesSeen+1, failureWindow)
	z.failureRatio += (bad - z.failureRatio) / z.outcomesSeen
	if z.state != dark && z.outcomesSeen >= failureWindow && z.failureRatio > maxFailureRatio {
		s.markDark(zone, "nearly all calls sent to it fail")
	}
}

// checkSilence marks a zone dark that has not responded for too long while calls wait for it.
func (s *State) checkSilence(zone int) {
	z := &s.zones[zone]
	waiting := max(z.decidedCount, z.sentCount)
	if z.state == dark || waiting < longSilenceMinCalls {
		return
	}
	quiet, limit := s.now-z.waitingSince, s.cfg.SilenceTimeout
	for i := range z.latency {
		if p := &z.latency[i]; p.seen {
			limit = max(limit, time.Duration(silenceLatencyFactor*(p.mean+latencyDeviations*p.dev)/z.warmth()*float64(time.Second)))
		}
	}
	long := max(limit, longSilence)
	limit = min(limit, long)
	if !z.everHeard {
		limit = long // how long answers take is not known yet
	}
	if quiet >= limit && (waiting >= silenceMinCalls || z.state == returning) || quiet >= long && waiting-z.overdueCancelled >= longSilenceMinCalls {
		s.markDark(zone, "no response for "+quiet.Round(time.Millisecond).String())
	}
}

// startWaiting sets the start of the waiting time if no call waits for the zone yet.
func (s *State) startWaiting(z *zone) {
	if z.decidedCount == 0 && z.sentCount == 0 {
		z.waitingSince = s.now
	}
}

// markDark takes a zone out of service. If that happens soon after its last return, it counts as a relapse.
func (s *State) markDark(zone int, why string) {
	z := &s.zones[zone]
	if z.relapses < 0 {
		z.relapses = 0
	} else {
		z.relapses = max(0, z.relapses+1-int((s.now-z.returnedAt)/s.cfg.RelapseExpiry))
	}
	z.state, z.darkSince, z.trialSuccesses = dark, s.now, 0
	z.nextTrialAt = s.now + s.cfg.TrialInterval
	z.limited, z.limit, z.tokens = true, 0, 0
	s.addNote(zone, "%s: dark; trials for %v before it gets calls back", why, s.holdTime(z))
}

// holdTime returns how long trials must succeed before the zone returns. It doubles with each relapse.
func (s *State) holdTime(z *zone) time.Duration {
	h := s.cfg.HoldFirst
	for range max(0, z.relapses) {
		if h = 2 * h; h >= s.cfg.HoldMost {
			return s.cfg.HoldMost
		}
	}
	return min(h, s.cfg.HoldMost)
}

// trialBound returns the bound of a trial call, if a dark zone is due for one. The call is of a movable class, which can
// be repeated elsewhere if the trial fails; if there is no such class, it is of the least valuable one.
func (s *State) trialBound(class int) (Bound, bool) {
	if !s.classes[class].Movable && (s.anyMovable || class != s.leastValuable) {
		return Bound{}, false
	}
	for _, t := range s.cfg.Tiers {
		for _, i := range t {
			z := &s.zones[i]
			if z.state != dark || z.capacity <= 0 || s.now < z.nextTrialAt {
				continue
			}
			pause := s.holdTime(z) / trialsPerHold
			if z.trialSuccesses == 0 {
				pause = (s.now - z.darkSince) / 20 // the longer a zone has been dark, the rarer its trials
			}
			z.nextTrialAt = s.now + max(s.cfg.TrialInterval, min(pause, maxTrialPause))
			b := Bound{First: 1 << i, Later: 1 << i, Trial: true}
			if s.classes[class].Movable {
				if rest := s.laterZones(i); rest != 0 {
					b.Later = rest
				}
			}
			return b, true
		}
	}
	return Bound{}, false
}

// recordTrial counts the successful trials of a dark zone. A failure restarts the count.
func (s *State) recordTrial(zone int, o Outcome, inTime bool) {
	z := &s.zones[zone]
	switch {
	case o == OK && inTime:
		if z.trialSuccesses++; z.trialSuccesses == 1 {
			z.firstSuccessAt = s.now
			z.nextTrialAt = min(z.nextTrialAt, s.now+s.cfg.TrialInterval)
		}
		if z.trialSuccesses >= requiredTrials && s.now-z.firstSuccessAt >= s.holdTime(z) && z.capacity > 0 {
			s.beginReturn(zone)
		}
	case o == Cancelled || o == Late || o == Shed || o == OK:
	default:
		z.trialSuccesses = 0
	}
}
