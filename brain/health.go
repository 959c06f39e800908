package brain

import (
	"math"
	"slices"
)

// Health: ejection of servers by their outcomes, relative to the other servers, for each class.

// recordOutcome updates the error rate, latency statistics and pauses of a server with one outcome, and
// ejects the server if needed.
func (n *Node) recordOutcome(a *attempt, r *request, e *AttemptEnded) {
	s, h := a.server, &a.server.health[r.Class]
	c := &n.classes[r.Class]
	took := e.Took.Seconds()
	bad := 0.0
	switch e.Outcome {
	case OK:
		ratio := took / max(c.mean, 1e-4)
		s.slowness += 0.1 * (min(ratio, 5) - s.slowness)
		h.waitingSince, s.lastAnsweredSent = n.now, max(s.lastAnsweredSent, a.sent)
		h.pauses, s.failedProbes = 0, 0
		s.answers++
		step := 0.05
		if !c.measured {
			c.measured, step = true, 1
		}
		c.dev += step * (math.Abs(took-c.mean)*1.25 - c.dev)
		c.mean += step * (took - c.mean)
		n.timeByLoad.add(a.scoreAtSend, ratio)
	case NeverSent:
		return
	case Cancelled:
		if !a.overdue {
			return
		}
		if bad = 1; h.waitingSince <= a.sent {
			n.pause(h)
		}
	case Shed:
		n.pause(h)
		h.waitingSince = n.now
		return
	case TimedOut: // overloaded, or unresponsive if there was no response at all since the send
		if ratio := took / max(c.mean, 1e-4); ratio > n.timeByLoad.at(a.scoreAtSend) &&
			s.lastAnsweredSent <= a.sent {
			// A lower bound of its time, unless it was lost, as answers to later attempts would show.
			n.timeByLoad.add(a.scoreAtSend, ratio)
		}
		if h.waitingSince <= a.sent {
			n.pause(h)
		}
		bad = 1
	default:
		bad = 1
	}
	h.errorRate += errorWeight * (bad - h.errorRate)
	h.onTrial = h.onTrial && bad > 0
	if bad > 0 && h.errorRate > ejectMinErrorRate && h.errorRate > ejectErrorRatio*n.peerErrorRate(r.Class) {
		n.eject(h, r.Class)
	} else if bad == 0 && h.errorRate < 0.05 {
		h.ejections = 0
	}
}

// peerErrorRate returns the mean error rate of the better half of the sample. The mean of all would hide the
// failing servers when there are many.
func (n *Node) peerErrorRate(class int) float64 {
	rates := make([]float64, 0, len(n.ranked)+1)
	for _, s := range n.ranked {
		rates = append(rates, s.health[class].errorRate)
	}
	slices.Sort(rates)
	rates = rates[:(len(rates)+1)/2]
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	return sum / float64(max(1, len(rates)))
}

// pause excludes a server for D (rankInterval), doubled each time until it answers. It is called when the
// server refuses an attempt, or lets one time out without any response: a hung server accepts work until it
// is full, then refuses.
func (n *Node) pause(h *health) {
	if h.pausedUntil <= n.now { // attempts that were in flight together count once
		h.pausedUntil = n.now + min(rankInterval<<min(h.pauses, 6), pauseMax)
		h.pauses++
	}
}

// eject excludes a server from the candidates of a class for a while, unless maxEjectedShare of the fleet is
// already ejected. Afterwards it is on trial: one request at a time until the first success.
func (n *Node) eject(h *health, class int) {
	ejected := 0
	for _, o := range n.fleet {
		if o.health[class].ejectedUntil > n.now {
			ejected++
		}
	}
	if h.ejectedUntil > n.now || float64(ejected+1) > maxEjectedShare*float64(len(n.fleet)) {
		return
	}
	h.ejectedUntil = n.now + min(ejectBase<<min(h.ejections, 5), ejectMax)
	h.ejections++
	h.onTrial = true
	h.errorRate = 0
}

// stalled reports whether requests are in flight without any response for several (stallRatio) mean
// latencies.
func (n *Node) stalled(h *health) bool {
	if h.inFlight == 0 {
		return false
	}
	longest := 0.0
	for i := range n.classes {
		longest = max(longest, n.classes[i].mean+n.classes[i].dev)
	}
	return n.now-h.waitingSince > seconds(stallRatio*longest)
}
