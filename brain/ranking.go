package brain

import (
	"cmp"
	"math"
	"slices"
)

// Ranking: the sample ordered by load score, recomputed once in each window D (rankInterval).

// recordReport stores a load report, given as the number of requests held.
func (n *Node) recordReport(s *server, held float64) {
	n.updateLaggedLoad(s)
	s.reportedHeld, s.hasReport, s.reportAt, s.ownLoadAtReport = held, true, n.now, s.laggedLoad
}

// updateLaggedLoad estimates which part of ownLoad a report that arrives now would include: reports are
// refreshed at intervals and delayed, so they miss the latest sends. Must be called before ownLoad changes.
func (n *Node) updateLaggedLoad(s *server) {
	s.laggedLoad += (s.ownLoad - s.laggedLoad) * (1 - math.Exp(-(n.now-s.ownLoadAt).Seconds()/reportLag))
	s.ownLoadAt = n.now
}

// heldFromReport derives the number of requests held from a load report: the reported count if there is one,
// else the queue length plus the utilization times the size. The result is false if no column is usable.
func (n *Node) parseReport(s *server, report []float64) (float64, bool) {
	var queue, busy, held float64
	known, counted := false, false
	for i, c := range n.cfg.Columns {
		if i >= len(report) {
			break
		}
		switch c {
		case ColInFlight:
			held, counted, known = report[i], true, true
		case ColQueue:
			queue, known = report[i], true
		case ColUtilization:
			busy, known = report[i]*s.size, true
		}
	}
	if !counted {
		held = queue + busy
	}
	return held, known
}

// setLoadScore sets the load score: requests held per unit of size, times slowness. It takes the last report
// plus this node's own sends since, multiplied by sharers, as the other nodes likely sent as much. Without a
// report the mean of the other servers replaces it; without any reports the mean is 0 and only own requests
// count. With many sharers own requests say little, so a report decays more slowly, and towards the mean.
func (n *Node) setLoadScore(s *server, mean, sharers float64) {
	held, newOwn := mean*s.size, s.ownLoad
	if age := (n.now - s.reportAt).Seconds(); s.hasReport && age < reportMaxAge {
		excess := max(1, sharers/ownCountSharers)
		weight := math.Exp(-age / reportDecay / excess)
		held, newOwn = weight*s.reportedHeld+(1-weight)*(1-1/excess)*held, s.ownLoad-weight*s.ownLoadAtReport
	}
	held = max(held+newOwn*sharers, s.ownLoad)
	s.loadScore = (held + 1) / s.size * s.slowness
}

// meanHeld returns the mean of requests held per size, from fresh reports, and the number of sharers.
func (n *Node) meanHeld() (mean, sharers float64) {
	sum, count := 0.0, 0.0
	for _, s := range n.ranked {
		if a := (n.now - s.reportAt).Seconds(); s.hasReport && a < reportMeanMaxAge {
			sum += s.reportedHeld / s.size
			count++
		}
	}
	return sum / max(1, count), n.sharers()
}

// rerank recomputes the ranking. It runs at most once in each window D, plus at list and settings changes.
func (n *Node) rerank() {
	dt := (n.now - n.rankedAt).Seconds()
	n.rankedAt = n.now
	if dt > 0 {
		k := 1 - math.Exp(-dt/3)
		if len(n.ranked) > 0 {
			n.learnAnswerRate(dt)
		}
		n.meanInFlight += k * (float64(n.inFlight) - n.meanInFlight)
		n.arrivalsAtRank, n.inBurst = n.detector.Arrivals(), n.detector.Evaluate(n.now)
		n.setLimits()
	}
	n.refillSample()
	mean, sharers := n.meanHeld()
	for _, s := range n.ranked {
		s.slowness += (1 - s.slowness) * (1 - math.Exp(-dt/5)) // old observations decay
		n.setLoadScore(s, mean, sharers)
	}
	slices.SortFunc(n.ranked, byLoadScore)
}

func byLoadScore(a, b *server) int {
	return cmp.Or(cmp.Compare(a.loadScore, b.loadScore), cmp.Compare(a.tieBreak, b.tieBreak))
}

// reposition updates the rank of one server after a send or an outcome of this node changed its load score.
func (n *Node) reposition(s *server) {
	if !s.inSample {
		return
	}
	i := slices.Index(n.ranked, s)
	mean, sharers := n.meanHeld()
	n.setLoadScore(s, mean, sharers)
	for ; i > 0 && byLoadScore(s, n.ranked[i-1]) < 0; i-- {
		n.ranked[i] = n.ranked[i-1]
	}
	for ; i+1 < len(n.ranked) && byLoadScore(n.ranked[i+1], s) < 0; i++ {
		n.ranked[i] = n.ranked[i+1]
	}
	n.ranked[i] = s
}
