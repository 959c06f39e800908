package zones

import (
	"math"
	"time"
)

// Limits follow load reports in steps, each of which waits until the effect of the last one is visible. This is sampled
// integral control with a period longer than the delay, which cannot oscillate however late reports are, as long as the
// gain is below 1 (Astrom and Wittenmark, Computer-Controlled Systems, on dead-beat control). Each of n balancers takes
// 1/n of a zone's spare capacity, so that together they take no more than there is, if all of them follow this rule.
// When a zone is above its bound, a limit is cut at once (additive increase, multiplicative decrease: Chiu and Jain
// 1989).

const (
	busySmoothing      = 0.5                    // seconds; time constant of the average of load reports
	rateSmoothing      = 2.0                    // seconds; time constant of the average of sent work
	costScaleSmoothing = 5.0                    // seconds; time constant of costScale, far above the delay of reports
	maxReportAge       = 4 * time.Second        // an older average is not used; the next report replaces it
	minFirstReports    = 6                      // reports behind a first limit: a few from each of a few app nodes
	maxFirstReportWait = 400 * time.Millisecond // after that, one report is enough

	// fillMargin is kept free below Settings.MaxFill. It absorbs the noise of reports (3 to 10% each, plus the variation
	// of the load from second to second) and the unsynchronized steps of several balancers.
	fillMargin = 0.08
	// firstLimitGain is the share of the observed spare capacity that a first limit takes. The first reports are too
	// low, because most answers come from the less busy app nodes.
	firstLimitGain   = 0.7
	stepGain         = 0.5  // share of the spare capacity that a later step adds
	assumedBusy      = 0.6  // busy share assumed for a zone without reports, if the own zone's is not known either
	guessFraction    = 0.5  // share of the limit that an assumed busy share would give
	minLimitFraction = 0.01 // share of the capacity that a zone always gets, since without calls no report would ever come

	returnStart     = 0.1             // first limit of a returning zone, as a share of its target load per balancer
	maxReturnGrowth = 2.0             // largest growth of a returning zone's limit per step, relative to the work sent
	minReturnWarmth = 0.95            // warmth that a returning zone needs to become well
	liftLimitAfter  = 5 * time.Second // see adjustLimit

	// Bounds of the token bucket, in seconds of the limit. It holds at most maxCredit. The least valuable class is
	// accepted while the bucket is at or above 0, the most valuable one until it is maxDebt below, and others in
	// between. So valuable calls have priority without a forecast of how many will come.
	maxCredit = 0.2
	// pendingTimeout: the caller holds a call back instead of sending it if none of a warming zone's cold app nodes may
	// take it now. Until it is sent, or for this time after the last such decision, calls of the same or a lower value
	// are not accepted for that zone, since another one may have capacity for them.
	pendingTimeout = 150 * time.Millisecond
	maxDebt        = 0.5
)

// recordReport adds a load report to the zone's average.
func (s *State) recordReport(z *zone, util, queue float64) {
	if queue > 0 && util > 0.9 { // saturated: the queue shows the overload that the busy share cannot
		util += min(queue, 10) * 0.02
	}
	dt := (s.now - z.busyAt).Seconds() + 0.005 // several may come at the same time
	if !z.busyKnown || s.now-z.busyAt > maxReportAge {
		z.busy, z.busyKnown = util, true
	} else {
		z.busy += (util - z.busy) * (1 - math.Exp(-dt/busySmoothing))
	}
	z.busyAt = s.now
	z.reportsSinceSpill++
	z.busySinceSpill += util
}

// full reports whether a zone is too busy for further attempts of calls that went to another zone first.
func (s *State) full(z *zone) bool {
	return z.busyKnown && s.now-z.busyAt < maxReportAge && z.busy > s.cfg.MaxFill
}

// cost returns the load that a call puts on a zone, in core-seconds.
func (s *State) cost(class int) float64 { return s.classes[class].cost * s.costScale }

// learnCostScale learns the ratio of the load that the own zone reports to the cost counted here. Each of n balancers
// attributes 1/n of that load to itself. If it sends more or less than that, or n is wrong, its scale is wrong by the
// inverse factor, so that the share of the spare capacity that all balancers take together is still right.
func (s *State) learnCostScale() {
	z := &s.zones[s.cfg.OwnZone]
	dt := (s.now - z.lastStepAt).Seconds()
	if z.state != well || z.limited || dt < updateInterval.Seconds() {
		return
	}
	rate := z.sentWork / dt
	z.sentWork, z.lastStepAt = 0, s.now
	if dt > 1 { // too few calls to learn from; also, dt may count from the clock's zero
		s.sendRate = rate
		return
	}
	s.sendRate += (rate - s.sendRate) * (1 - math.Exp(-dt/rateSmoothing))
	if s.now < z.nextStepAt || !z.busyKnown || s.now-z.busyAt > time.Second || z.busy < 0.05 || z.busy > 0.98 {
		return // reports are too old or do not reflect the load sent
	}
	weight := 1 - math.Exp(-dt/costScaleSmoothing)
	s.meanWork += weight * (rate - s.meanWork)
	s.meanLoad += weight * (z.busy*z.capacity/float64(s.cfg.Balancers) - s.meanLoad)
	s.normalBusy += weight * (z.busy - s.normalBusy)
	if s.costScaleLearned += dt; s.costScaleLearned > costScaleSmoothing && s.meanWork > 1e-6 {
		seen := min(max(s.meanLoad/s.meanWork, 0.1), 10) // the stated work of a class is hardly wrong by more
		s.costScale += (seen - s.costScale) * (1 - math.Exp(-dt/min(s.costScaleLearned-costScaleSmoothing+dt, 4*costScaleSmoothing)))
	}
}

// targetBusy returns the busy share that a zone's limit is controlled to.
func (s *State) targetBusy(zone int) float64 {
	if zone == s.cfg.OwnZone && s.zones[zone].state == well {
		return s.cfg.SpillFrom
	}
	return s.cfg.MaxFill - fillMargin
}

// ---- the bucket ----

// refillTokens adds the tokens since the last refill to a zone's bucket.
func (s *State) refillTokens(z *zone) {
	if dt := (s.now - z.tokensAt).Seconds(); dt > 0 {
		z.tokens = min(z.tokens+z.limit*dt, max(maxCredit*z.limit, s.cost(s.leastValuable)))
		z.tokensAt = s.now
	}
}

// remaining returns the tokens that a zone has left for a call of a class; below 0, the call is refused. The first limit
// of another zone is set here, when the first call is considered for it.
func (s *State) remaining(zone, class int) float64 {
	z := &s.zones[zone]
	if !z.limited {
		if zone == s.cfg.OwnZone {
			return math.Inf(1)
		}
		s.setFirstLimit(zone)
	}
	if z.limitGuessed && (z.reportsSinceSpill >= minFirstReports || z.reportsSinceSpill > 0 && s.now-z.lastStepAt > maxFirstReportWait) {
		s.applyFirstReports(zone)
	}
	if z.pending > 0 && s.now-z.pendingAt > pendingTimeout {
		z.pending, z.pendingRank = 0, len(s.classes) // refused long ago by the caller
	}
	if z.limited && (z.cold > 0 || z.state == returning) && z.pending > 0 && s.classes[class].rank >= z.pendingRank {
		return -1
	}
	s.refillTokens(z)
	floor := 0.0
	if n := len(s.classes) - 1; n > 0 {
		floor = -maxDebt * z.limit * float64(n-s.classes[class].rank) / float64(n)
	}
	return z.tokens - floor
}

// reserve takes the tokens for a call that is assigned to a zone and counts it as pending.
func (s *State) reserve(zone, class int) {
	z := &s.zones[zone]
	s.startWaiting(z)
	z.decidedCount++
	z.pending++
	z.pendingRank, z.pendingAt = min(z.pendingRank, s.classes[class].rank), s.now
	z.acceptedAt = s.now
	if z.limited {
		z.tokens -= s.cost(class)
	}
}

// Sent reports that an attempt is sent to a zone. One without a reservation, such as a repeat, takes tokens as well.
func (s *State) Sent(now time.Duration, zone, class int) {
	if zone < 0 || zone >= len(s.zones) || class < 0 || class >= len(s.classes) {
		return
	}
	s.advance(now)
	z := &s.zones[zone]
	if z.sentCount == 0 && z.decidedCount == 0 {
		z.waitingSince = s.now
	}
	z.sentCount++
	if z.limited {
		z.sentWork += s.cost(class)
	} else {
		z.sentWork += s.classes[class].cost // as learnCostScale needs it
	}
	switch {
	case z.pending > 0:
		if z.pending--; z.pending == 0 {
			z.pendingRank = len(s.classes)
		}
	case z.limited:
		s.refillTokens(z)
		z.tokens -= s.cost(class)
	}
}

// ---- steps ----

// setLimit starts a step with a new limit, and resets what is counted per step.
func (s *State) setLimit(z *zone, limit float64) {
	s.refillTokens(z)
	z.limited, z.limit = true, max(limit, minLimitFraction*z.capacity/float64(s.cfg.Balancers))
	z.tokens = max(z.tokens, -maxDebt*z.limit)
	z.tokensAt = s.now
	z.sentWork = 0
	z.answers, z.answersOnTime, z.slowdownSum, z.failures = 0, 0, 0, 0
	z.lastStepAt, z.nextStepAt = s.now, s.now+s.cfg.SettlingTime
}

// setFirstLimit opens another zone to spilled calls. Its limit is a guess until its first reports come, since a zone
// that gets no calls sends no reports.
func (s *State) setFirstLimit(zone int) {
	z := &s.zones[zone]
	z.tokens, z.reportsSinceSpill, z.busySinceSpill = 0, 0, 0
	busy := s.normalBusy
	switch {
	case z.busyKnown && s.now-z.busyAt < maxReportAge:
		busy = z.busy
	case busy == 0:
		busy = assumedBusy
	}
	s.setLimit(z, guessFraction*firstLimitGain*s.spareShare(zone, busy))
	z.limitGuessed = true
}

// applyFirstReports replaces the guessed limit by one from the first reports, which describe the time before the spill.
func (s *State) applyFirstReports(zone int) {
	z := &s.zones[zone]
	z.limitGuessed = false
	z.busy, z.busyKnown = z.busySinceSpill/float64(z.reportsSinceSpill), true
	s.setLimit(z, firstLimitGain*s.spareShare(zone, z.busy))
}

// spareShare returns this balancer's part of a zone's spare capacity, in cores. It is negative above the target.
func (s *State) spareShare(zone int, busy float64) float64 {
	return (s.targetBusy(zone) - busy) * s.zones[zone].capacity / float64(s.cfg.Balancers)
}

// adjustLimit sets a new limit once the effect of the last step shows in reports. It lifts the own zone's limit after
// liftLimitAfter without a refused call, and another zone's after that time without a refused or an accepted one.
func (s *State) adjustLimit(zone int) {
	z := &s.zones[zone]
	own := zone == s.cfg.OwnZone
	switch {
	case z.state == dark || !z.membersKnown || s.now < z.nextStepAt:
		return
	case !z.limited:
		if own && z.busyKnown && s.now-z.busyAt < time.Second && z.busy > s.cfg.SpillFrom {
			s.setLimit(z, s.sendRate*s.costScale+stepGain*s.spareShare(zone, z.busy))
			z.refusedAt = s.now
			s.addNote(zone, "busy %.0f%%: it cannot carry its load", 100*z.busy)
		}
		return
	case own && s.now-z.refusedAt > liftLimitAfter, s.now-z.acceptedAt > liftLimitAfter && s.now-z.refusedAt > liftLimitAfter:
		s.liftLimit(zone)
		return
	}
	sentRate := z.sentWork / (s.now - z.lastStepAt).Seconds()
	known := z.busyKnown && s.now-z.busyAt < s.cfg.SettlingTime
	if !known && z.state == returning {
		z.nextStepAt = s.now + s.cfg.SettlingTime/4
		return
	}
	if !known {
		s.setLimit(z, max(sentRate, z.limit/2))
		return
	}
	gain := stepGain
	if z.refusedAt < z.lastStepAt {
		gain = 1 // the limit refused nothing, so a full step cannot overshoot
	}
	limit := sentRate + gain*s.spareShare(zone, z.busy)
	if z.busy > s.cfg.MaxFill && !own {
		limit = min(limit, sentRate*s.targetBusy(zone)/z.busy)
	}
	if z.state == returning {
		if z.answers < minStepAnswers && z.failures == 0 {
			z.nextStepAt = s.now + s.cfg.SettlingTime/4 // too few to judge by
			return
		}
		if limit = s.growReturning(zone, sentRate, limit); z.state == dark {
			return
		}
	}
	s.setLimit(z, limit)
}

// growReturning returns the next limit of a returning zone: it grows only while answers are as good as before; otherwise
// it falls to half of the rate sent, but not below returnLimit.
func (s *State) growReturning(zone int, sentRate, limit float64) float64 {
	z := &s.zones[zone]
	switch {
	case z.failures > 0 && float64(z.failures) > 0.02*(z.answers+float64(z.failures)),
		z.answersOnTime < (z.onTimeRatio-maxOnTimeDrop)*z.answers,
		z.slowdownSum > maxSlowdown/z.warmth()*z.answers:
		if z.badSteps++; z.badSteps >= maxBadSteps {
			s.markDark(zone, "its answers are worse than before")
			return 0
		}
		return min(limit, max(sentRate/2, s.returnLimit(zone)))
	}
	z.badSteps = 0
	if z.warmth() > minReturnWarmth && (z.busy > s.targetBusy(zone)-fillMargin || s.now-z.refusedAt > liftLimitAfter) {
		s.finishReturn(zone) // it carries its target load or all that is offered
	}
	return min(limit, max(maxReturnGrowth*sentRate, z.limit))
}

// liftLimit removes a limit that no longer restricts calls.
func (s *State) liftLimit(zone int) {
	z := &s.zones[zone]
	z.limited, z.limitGuessed, z.sentWork, z.lastStepAt = false, false, 0, s.now
	z.nextStepAt = s.now + s.cfg.SettlingTime
	s.finishReturn(zone)
}

// finishReturn makes a returning zone well.
func (s *State) finishReturn(zone int) {
	if z := &s.zones[zone]; z.state == returning {
		z.state = well
		s.addNote(zone, "carries its load again")
	}
}

// beginReturn makes a dark zone returning. If no other zone is usable, it gets all calls at once.
func (s *State) beginReturn(zone int) {
	z := &s.zones[zone]
	z.state, z.returnedAt, z.badSteps, z.failureRatio, z.outcomesSeen = returning, s.now, 0, 0, 0
	z.decidedCount, z.sentCount, z.overdueCancelled, z.busyKnown, z.tokens = 0, 0, 0, false, 0
	z.refusedAt = s.now
	othersUsable := false
	for i := range s.zones {
		othersUsable = othersUsable || i != zone && s.zones[i].usable()
	}
	if !othersUsable {
		s.liftLimit(zone)
		return
	}
	s.setLimit(z, s.returnLimit(zone))
	s.addNote(zone, "answers again: a share goes back")
}

// returnLimit returns the limit that a return begins with.
func (s *State) returnLimit(zone int) float64 {
	return returnStart * s.targetBusy(zone) * s.zones[zone].capacity / float64(s.cfg.Balancers)
}

// handleCapacityLoss lowers the limit as soon as a zone loses capacity, since reports show it only a second later.
func (s *State) handleCapacityLoss(zone int, oldCapacity float64) {
	z := &s.zones[zone]
	remainingShare := z.capacity / oldCapacity
	busy := z.busy / remainingShare
	if !z.busyKnown || s.now-z.busyAt > maxReportAge || busy <= s.targetBusy(zone) {
		return
	}
	share := s.targetBusy(zone) / busy
	z.busy = min(busy, 1)
	switch {
	case z.limited:
		z.limit *= share // the current step continues, since losses may come one by one
	case zone == s.cfg.OwnZone:
		s.setLimit(z, s.sendRate*s.costScale*share)
		z.refusedAt = s.now
		s.addNote(zone, "%.0f%% of its capacity is left: it cannot carry its load", 100*remainingShare)
	}
}
