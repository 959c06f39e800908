package brain

import (
	"cmp"
	"slices"
)

// Picking: uniform among the K lowest load scores of the servers that a request may be sent to.

// pick returns a uniformly random server among the K eligible ones with the lowest load scores, or nil.
func (n *Node) pick(r *request) *server {
	if n.now-n.rankedAt >= rankInterval {
		n.rerank()
	}
	if s := n.homeServer(r); s != nil {
		return s
	}
	candidates := n.scratch[:0]
	n.overloaded = false
	for _, s := range n.ranked {
		if n.allowed(s, r) && n.expectedInTime(s, r) {
			candidates = append(candidates, s)
			if len(candidates) == n.candidateCount() {
				break
			}
		}
	}
	n.scratch = candidates[:0]
	if len(candidates) == 0 {
		return n.pickOutsideSample(r)
	}
	return candidates[n.rng.IntN(len(candidates))]
}

// candidateCount returns K: half of the sample in a burst (thl), else 1 (ths). With K = 1 nodes with the same
// stale ranking still do not all pick the same server, since each scales its own sends by the number of nodes
// that share the server (see setLoadScore).
func (n *Node) candidateCount() int {
	if n.inBurst {
		return max(1, (len(n.ranked)+1)/2)
	}
	return 1
}

// homeServer returns the server for the request's key by consistent hashing, for services whose servers need
// less work for a recently used key (WarmKeys). The ring is the same on every node. If the first home is not
// eligible or overloaded, the next server on the ring is tried; nil means an ordinary pick.
func (n *Node) homeServer(r *request) *server {
	if !n.cfg.WarmKeys || r.Key == "" || len(n.fleet) == 0 {
		return nil
	}
	if n.ring == nil {
		n.buildRing()
	}
	mean, _ := n.meanHeld()
	key := hash(r.Key, 0)
	byHash := func(p ringPoint, h uint64) int { return cmp.Compare(p.position, h) }
	at, _ := slices.BinarySearchFunc(n.ring, key, byHash)
	var previous *server
	for i, tried := 0, 0; i < len(n.ring) && tried < homesPerKey; i++ {
		s := n.ring[(at+i)%len(n.ring)].server
		if s == previous {
			continue
		}
		previous = s
		tried++
		held := s.ownLoad
		if s.hasReport {
			held = s.reportedHeld + max(0, held-s.ownLoadAtReport)
		}
		savedScore := s.loadScore
		n.setLoadScore(s, mean, 1) // other nodes send this key here too, but not in step with own sends
		if n.allowed(s, r) && n.expectedInTime(s, r) && held/s.size <= homeOverloadRatio*(mean+1) {
			return s
		}
		s.loadScore = savedScore
	}
	return nil
}

// allowed reports whether the request may be sent to the server now: rules 2 to 4, ejections and pauses.
func (n *Node) allowed(s *server, r *request) bool {
	h := &s.health[r.Class]
	if s.State != Ready || h.ejectedUntil > n.now || h.pausedUntil > n.now || !n.mayAttemptAt(r, s) {
		return false
	}
	if s.failedProbes >= maxFailedProbes || n.stalled(h) || h.onTrial && h.inFlight > 0 {
		return false
	}
	onTrial := func(h health) bool { return h.onTrial }
	if n.hasSafeClass && n.classes[r.Class].Repeat == Unsafe && slices.ContainsFunc(s.health, onTrial) {
		return false // a trial is left to requests that are safe to repeat
	}
	return n.hasColdToken(s)
}

// mayAttemptAt enforces rule 2 and the request's group restriction. After an attempt that may have run, an
// Unsafe request is not sent again, and a Keyed one only within its scope and window. No server gets the same
// request twice.
func (n *Node) mayAttemptAt(r *request, s *server) bool {
	c := &n.classes[r.Class]
	if r.First != 0 && r.First&s.Bit == 0 {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s {
			return false
		}
		if a.ended && !a.mayHaveRun || c.Repeat == Safe {
			continue
		}
		if c.Repeat == Unsafe || n.now-a.sent > c.Window-answerMargin {
			return false
		}
		if c.Scope == ScopeZone && s.Zone != a.server.Zone {
			return false
		}
		if c.Scope == ScopeCell && s.Cell != a.server.Cell {
			return false
		}
	}
	return true
}

// hasEligibleServer reports whether some server may be sent this request now or later, load aside.
func (n *Node) hasEligibleServer(r *request) bool {
	return slices.ContainsFunc(n.fleet, func(s *server) bool {
		return s.State == Ready && n.mayAttemptAt(r, s)
	})
}

// mayHaveRun reports whether any attempt was possibly executed or still can be.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended || a.mayHaveRun })
}

// mayRefuse reports whether the request may be refused, which tells the client that a further try is safe.
func (n *Node) mayRefuse(r *request) bool {
	c := &n.classes[r.Class]
	return c.Repeat == Safe || c.Repeat == Keyed && c.Scope == ScopeAll || !r.mayHaveRun()
}

// pickOutsideSample searches the fleet when the sample has no server for the request, as for a retry
// restricted to a group, or a sample of cold or unresponsive servers. Random draws come first, then a linear
// scan of at most maxServersSearched.
func (n *Node) pickOutsideSample(r *request) *server {
	if len(n.fleet) == 0 || n.overloaded {
		return nil
	}
	for range minSampleSize {
		s := n.fleet[n.rng.IntN(len(n.fleet))]
		if n.warmth(s) >= 1 && n.allowed(s, r) && n.expectedInTime(s, r) {
			return s
		}
	}
	from := n.rng.IntN(len(n.fleet))
	for i := range min(len(n.fleet), maxServersSearched) {
		if s := n.fleet[(from+i)%len(n.fleet)]; (n.warmth(s) >= 1 || len(n.ranked) == 0) && n.allowed(s, r) &&
			n.expectedInTime(s, r) {
			return s
		}
	}
	return nil
}
