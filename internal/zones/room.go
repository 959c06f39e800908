package zones

import (
	"math"
	"time"
)

// Rooms follow load reports by steps, each of which waits until the last one's effect can be seen: sampled integral
// control with a period longer than the delay, which cannot swing however late reports are, as long as the gain is
// below 1 (Astrom and Wittenmark, Computer-Controlled Systems, on dead-beat control). Of what a zone has to spare each
// of n balancers takes 1/n, so that all together take no more than what there is, if every one of them does. A part is
// given up at once where a zone is past its bound (additive increase, multiplicative decrease: Chiu and Jain 1989).

const (
	busyOver  = 0.5             // seconds over which reports are averaged
	rateOver  = 2.0             // seconds over which own sends are averaged
	priceOver = 5.0             // seconds behind the price of work: far more than reports are late
	busyStale = 4 * time.Second // an older average is worth nothing: the next report replaces it
	freshFrom = 6               // reports that a first room rests on: a few app nodes, a few times each
	freshMost = 400 * time.Millisecond

	// fillMargin is kept below the bound: it takes up the noise of reports (3 to 10% each, and what a second's load
	// differs from its mean) and the steps of balancers that are out of step with each other.
	fillMargin = 0.08
	firstGain  = 0.7  // of the spare seen that a first room takes: answers come rather from the less busy app nodes
	stepGain   = 0.5  // of the spare that a later step takes
	blindBusy  = 0.6  // a zone of which nothing is known counts as this busy, where the own zone tells nothing
	blindShare = 0.5  // of the room that this would give
	trickle    = 0.01 // of its capacity: a zone always gets so much, or no report would ever come

	backFirst = 0.1 // of its share of the capacity: the first room of a zone that returns
	backGrow  = 2.0 // times what it was sent: the most that a room grows in a step of a return
	backWarm  = 0.95
	easeAfter = 5 * time.Second // without a call turned away, or one taken: the bound binds no longer

	// The bucket: a second's room in parts. Classes worth least find room while it is above 0, the dearest until it is
	// debt seconds of room below. So dear calls have first claim without anybody's knowing how many will come.
	credit = 0.2
	// heldFor: a call that was bound for a zone that warms and is not sent at once is held by who picks app nodes, for
	// none of the cold ones may have it now. Nothing worth as little follows it until it is sent, or this long after
	// the last: what cannot be carried there may still have room elsewhere.
	heldFor = 150 * time.Millisecond
	debt    = 0.5
)

// report enters a load report.
func (s *State) report(z *zone, util, queue float64) {
	if queue > 0 && util > 0.9 { // past its capacity: what waits is work that the busy share cannot show
		util += min(queue, 10) * 0.02
	}
	dt := (s.now - z.busyAt).Seconds() + 0.005 // some may come at one instant
	if !z.busyKnown || s.now-z.busyAt > busyStale {
		z.busy, z.busyKnown = util, true
	} else {
		z.busy += (util - z.busy) * (1 - math.Exp(-dt/busyOver))
	}
	z.busyAt = s.now
	z.fresh++
	z.freshSum += util
}

// full: no further attempts of other zones' calls.
func (s *State) full(z *zone) bool {
	return z.busyKnown && s.now-z.busyAt < busyStale && z.busy > s.cfg.Fill
}

// cost is what a call takes of a zone, in core-seconds.
func (s *State) cost(class int) float64 { return s.classes[class].cost * s.price }

// learnPrice finds how work as it is counted here shows in the own zone's reports. Each of n balancers takes a 1/n of
// that load for its own doing; where it sends more or less than that, or the number is wrong, its price is wrong by the
// same factor the other way, and what all of them take of a spare together stays right.
func (s *State) learnPrice() {
	z := &s.zones[s.cfg.Own]
	dt := (s.now - z.stepFrom).Seconds()
	if z.state != well || z.limited || dt < lookEvery.Seconds() {
		return
	}
	rate := z.used / dt
	z.used, z.stepFrom = 0, s.now
	if dt > 1 { // hardly a call came: there is nothing to learn, and dt may be the time since the clock's zero
		s.rate = rate
		return
	}
	s.rate += (rate - s.rate) * (1 - math.Exp(-dt/rateOver))
	if s.now < z.stepAt || !z.busyKnown || s.now-z.busyAt > time.Second || z.busy < 0.05 || z.busy > 0.98 {
		return // reports tell of something else, or cannot tell
	}
	k := 1 - math.Exp(-dt/priceOver)
	s.work += k * (rate - s.work)
	s.load += k * (z.busy*z.capacity/float64(s.cfg.Balancers) - s.load)
	s.calm += k * (z.busy - s.calm)
	if s.priced += dt; s.priced > priceOver && s.work > 1e-6 {
		seen := min(max(s.load/s.work, 0.1), 10) // a class's stated work is hardly wrong by more
		s.price += (seen - s.price) * (1 - math.Exp(-dt/min(s.priced-priceOver+dt, 4*priceOver)))
	}
}

// aim is the busy share that a zone's room is steered to.
func (s *State) aim(zone int) float64 {
	if zone == s.cfg.Own && s.zones[zone].state == well {
		return s.cfg.SpillFrom
	}
	return s.cfg.Fill - fillMargin
}

// ---- the bucket ----

// fillUp brings a bucket up to now.
func (s *State) fillUp(z *zone) {
	if dt := (s.now - z.levelAt).Seconds(); dt > 0 {
		z.level = min(z.level+z.room*dt, max(credit*z.room, s.cost(s.least)))
		z.levelAt = s.now
	}
}

// left is what a zone has left for a call of a class; below 0: nothing. A zone's first room is set here, when the
// first call wants to go there.
func (s *State) left(zone, class int) float64 {
	z := &s.zones[zone]
	if !z.limited {
		if zone == s.cfg.Own {
			return math.Inf(1)
		}
		s.firstRoom(zone)
	}
	if z.blind && (z.fresh >= freshFrom || z.fresh > 0 && s.now-z.stepFrom > freshMost) {
		s.see(zone)
	}
	if z.owed > 0 && s.now-z.owedAt > heldFor {
		z.owed, z.owedRank = 0, len(s.classes) // refused long since
	}
	if z.limited && (z.cold > 0 || z.state == returning) && z.owed > 0 && s.classes[class].rank >= z.owedRank {
		return -1
	}
	s.fillUp(z)
	floor := 0.0
	if n := len(s.classes) - 1; n > 0 {
		floor = -debt * z.room * float64(n-s.classes[class].rank) / float64(n)
	}
	return z.level - floor
}

// decided books a call that is bound for a zone.
func (s *State) decided(zone, class int) {
	z := &s.zones[zone]
	s.waiting(z)
	z.decidedN++
	z.owed++
	z.owedRank, z.owedAt = min(z.owedRank, s.classes[class].rank), s.now
	z.takenAt = s.now
	if z.limited {
		z.level -= s.cost(class)
	}
}

// Sent tells that an attempt goes to a zone. One that was not foreseen, a repeat, takes its part of the room too.
func (s *State) Sent(now time.Duration, zone, class int) {
	if zone < 0 || zone >= len(s.zones) || class < 0 || class >= len(s.classes) {
		return
	}
	s.at(now)
	z := &s.zones[zone]
	if z.sentN == 0 && z.decidedN == 0 {
		z.waitFrom = s.now
	}
	z.sentN++
	if z.limited {
		z.used += s.cost(class)
	} else {
		z.used += s.classes[class].cost // for learnPrice
	}
	switch {
	case z.owed > 0:
		if z.owed--; z.owed == 0 {
			z.owedRank = len(s.classes)
		}
	case z.limited:
		s.fillUp(z)
		z.level -= s.cost(class)
	}
}

// ---- steps ----

func (s *State) setRoom(z *zone, room float64) {
	s.fillUp(z)
	z.limited, z.room = true, max(room, trickle*z.capacity/float64(s.cfg.Balancers))
	z.level = max(z.level, -debt*z.room)
	z.levelAt = s.now
	z.used = 0
	z.answers, z.timed, z.worse, z.failures = 0, 0, 0, 0
	z.stepFrom, z.stepAt = s.now, s.now+s.cfg.Settle
}

// firstRoom opens another zone to spill, by a guess until its first reports come: a zone that gets nothing tells nothing.
func (s *State) firstRoom(zone int) {
	z := &s.zones[zone]
	z.level, z.fresh, z.freshSum = 0, 0, 0
	busy := s.calm
	switch {
	case z.busyKnown && s.now-z.busyAt < busyStale:
		busy = z.busy
	case busy == 0:
		busy = blindBusy
	}
	s.setRoom(z, blindShare*firstGain*s.spare(zone, busy))
	z.blind = true
}

// see replaces a guess by what the first reports say. They tell of the time before the spill.
func (s *State) see(zone int) {
	z := &s.zones[zone]
	z.blind = false
	z.busy, z.busyKnown = z.freshSum/float64(z.fresh), true
	s.setRoom(z, firstGain*s.spare(zone, z.busy))
}

// spare is this balancer's part of what a zone can take besides what it has, in cores; negative past the aim.
func (s *State) spare(zone int, busy float64) float64 {
	return (s.aim(zone) - busy) * s.zones[zone].capacity / float64(s.cfg.Balancers)
}

// step sets a room anew when the last step shows in reports.
func (s *State) step(zone int) {
	z := &s.zones[zone]
	own := zone == s.cfg.Own
	switch {
	case z.state == dark || !z.listed || s.now < z.stepAt:
		return
	case !z.limited:
		if own && z.busyKnown && s.now-z.busyAt < time.Second && z.busy > s.cfg.SpillFrom {
			s.setRoom(z, s.rate*s.price+stepGain*s.spare(zone, z.busy))
			z.turnedAt = s.now
			s.note(zone, "busy %.0f%%: it cannot carry what comes", 100*z.busy)
		}
		return
	case own && s.now-z.turnedAt > easeAfter, s.now-z.takenAt > easeAfter && s.now-z.turnedAt > easeAfter:
		s.atEase(zone)
		return
	}
	used := z.used / (s.now - z.stepFrom).Seconds()
	known := z.busyKnown && s.now-z.busyAt < s.cfg.Settle
	if !known && z.state == returning {
		z.stepAt = s.now + s.cfg.Settle/4
		return
	}
	if !known {
		s.setRoom(z, max(used, z.room/2))
		return
	}
	gain := stepGain
	if z.turnedAt < z.stepFrom {
		gain = 1 // the bound did not bind, so that nothing has been learned of it that could be overdone
	}
	room := used + gain*s.spare(zone, z.busy)
	if z.busy > s.cfg.Fill && !own {
		room = min(room, used*s.aim(zone)/z.busy)
	}
	if z.state == returning {
		if z.answers < judgeFrom && z.failures == 0 {
			z.stepAt = s.now + s.cfg.Settle/4 // too few to judge by: they are waited for
			return
		}
		if room = s.grow(zone, used, room); z.state == dark {
			return
		}
	}
	s.setRoom(z, room)
}

// grow is a step of a return: the room grows only while answers are as good as before, and is halved else.
func (s *State) grow(zone int, used, room float64) float64 {
	z := &s.zones[zone]
	switch {
	case z.failures > 0 && float64(z.failures) > 0.02*(z.answers+float64(z.failures)),
		z.timed < (z.intime-lateMore)*z.answers,
		z.worse > worseMost/z.warmth()*z.answers:
		if z.bad++; z.bad >= badMost {
			s.darken(zone, "its answers are worse than before")
			return 0
		}
		return min(room, max(used/2, s.backRoom(zone)))
	}
	z.bad = 0
	if z.warmth() > backWarm && (z.busy > s.aim(zone)-fillMargin || s.now-z.turnedAt > easeAfter) {
		s.well(zone) // as much as it is given on probation; from here on it is as any other
	}
	return min(room, max(backGrow*used, z.room))
}

// atEase ends a bound that no longer binds.
func (s *State) atEase(zone int) {
	z := &s.zones[zone]
	z.limited, z.blind, z.used, z.stepFrom = false, false, 0, s.now
	z.stepAt = s.now + s.cfg.Settle
	s.well(zone)
}

func (s *State) well(zone int) {
	if z := &s.zones[zone]; z.state == returning {
		z.state = well
		s.note(zone, "carries its calls again")
	}
}

// comeBack begins a return. Where no other zone stands, there is nothing to go easy by.
func (s *State) comeBack(zone int) {
	z := &s.zones[zone]
	z.state, z.backAt, z.bad, z.failing, z.failSeen = returning, s.now, 0, 0, 0
	z.decidedN, z.sentN, z.calledOff, z.busyKnown, z.level = 0, 0, 0, false, 0
	z.turnedAt = s.now
	stands := false
	for i := range s.zones {
		stands = stands || i != zone && s.zones[i].open()
	}
	if !stands {
		s.atEase(zone)
		return
	}
	s.setRoom(z, s.backRoom(zone))
	s.note(zone, "answers again: a share goes back")
}

// backRoom is the room that a return begins with.
func (s *State) backRoom(zone int) float64 {
	return backFirst * s.aim(zone) * s.zones[zone].capacity / float64(s.cfg.Balancers)
}

// shrink follows a loss of capacity at once, since reports would show it a second later.
func (s *State) shrink(zone int, was float64) {
	z := &s.zones[zone]
	left := z.capacity / was
	busy := z.busy / left
	if !z.busyKnown || s.now-z.busyAt > busyStale || busy <= s.aim(zone) {
		return
	}
	share := s.aim(zone) / busy
	z.busy = min(busy, 1)
	switch {
	case z.limited:
		z.room *= share // the step that is under way stays so: losses may come one by one
	case zone == s.cfg.Own:
		s.setRoom(z, s.rate*s.price*share)
		z.turnedAt = s.now
		s.note(zone, "%.0f%% of its capacity is left: it cannot carry what comes", 100*left)
	}
}
