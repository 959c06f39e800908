package brain

import "math"

// Slow start: limits on what recently started servers are sent.

// warmth returns the share of its capacity that a server is assumed to have: 1 when warm, less while cold.
func (n *Node) warmth(s *server) float64 {
	r := &n.cfg.Rules
	age := n.now - s.Started
	if s.Started == 0 || r.ColdFor <= 0 || age >= r.ColdFor {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*max(0, age.Seconds())/r.ColdFor.Seconds()
}

// hasColdToken enforces rule 4 with a token bucket; a warm server needs no token. Each node sends a cold
// server the learned answer rate of a warm one times its warmth, so all nodes together stay below
// OverloadFactor. The nodes that have the server in their sample also use the part of those that have not.
// The bucket starts with a random level, or all nodes would send their first request at once.
func (n *Node) hasColdToken(s *server) bool {
	warmth := n.warmth(s)
	if warmth >= 1 {
		return true
	}
	rate := n.answerRate * s.size * warmth
	tokens := max(0, s.coldTokens) // negative after sends while the server was warm
	s.coldTokens = min(1, tokens+rate*(n.now-s.coldAt).Seconds())
	s.coldAt = n.now
	return s.coldTokens >= 1
}

// learnAnswerRate estimates the answers per second that this node gets from a warm server of size 1. It
// counts answers, since sends increase with failures. While cold servers hold few requests, the estimate may
// rise to a multiple of what they answer, and, if no server is warm, at least to the arrival rate.
func (n *Node) learnAnswerRate(dt float64) {
	var warmSize, warmAnswers, capacity, coldSize, coldAnswers, held, floor float64
	for _, s := range n.ranked {
		if w := n.warmth(s); w >= 1 {
			warmSize, warmAnswers = warmSize+s.size, warmAnswers+s.answers
		} else {
			capacity, coldSize, coldAnswers = capacity+s.size*w, coldSize+s.size, coldAnswers+s.answers
			held += s.reportedHeld * math.Exp(-(n.now-s.reportAt).Seconds()/reportMeanMaxAge)
		}
		s.answers = 0
	}
	allowed, timeConstant := warmAnswers/warmSize, 3.0
	if warmSize == 0 {
		allowed, floor, timeConstant = coldAnswers/capacity,
			float64(n.detector.Arrivals()-n.arrivalsAtRank)/coldSize, 1
	}
	if idleShare := 1 - held/coldSize/coldMaxHeld; idleShare > 0 {
		allowed = max(allowed, floor, (1+(coldIdleGain-1)*idleShare)*coldAnswers/capacity)
	}
	n.answerRate += (1 - math.Exp(-dt/timeConstant)) * (allowed/dt - n.answerRate)
}
