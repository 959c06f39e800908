package brain

import (
	"slices"
	"time"
)

// The server list: full lists, changes, and when discovery is asked.

// onFleetUpdate applies a full list or a list of changes.
func (n *Node) onFleetUpdate(u *FleetUpdate) {
	if n.cfg.AskDiscovery {
		n.scheduleAsk(u.Kind)
	}
	if u.Kind == UpdateAskFailed {
		return
	}
	full := u.Kind != UpdateChanges
	if full {
		n.listEpoch++
	}
	for i := range u.Members {
		n.applyMember(&u.Members[i])
	}
	if full {
		for _, s := range n.fleet {
			if s.listedEpoch != n.listEpoch {
				s.State, n.goneServers = Gone, append(n.goneServers, s)
			}
		}
	}
	order := func(a, b *server) int { return a.serial - b.serial }
	slices.SortFunc(n.goneServers, order)
	dst, src := 0, 0 // compacts in place, a run of remaining servers at a time
	for _, s := range n.goneServers {
		if at, ok := slices.BinarySearchFunc(n.fleet[src:], s, order); ok && s.State == Gone {
			dst, src = dst+copy(n.fleet[dst:], n.fleet[src:src+at]), src+at+1
			delete(n.byID, s.Server) // over time most servers ever listed are gone
		}
	}
	n.fleet, n.goneServers, n.ring = slices.Delete(n.fleet, dst, src), nil, nil
	n.rerank()
	n.retryQueued()
}

// applyMember applies one entry of a list.
func (n *Node) applyMember(m *Member) {
	s := n.byID[m.Server]
	if s == nil && m.State == Gone {
		return
	}
	if s == nil {
		n.serversMet++
		s = &server{Member: *m, serial: n.serversMet, tieBreak: n.rng.Uint32(), slowness: 1}
		n.byID[m.Server], n.fleet, n.newServers = s, append(n.fleet, s), append(n.newServers, s)
		n.resetServer(s)
	} else if m.State == Gone {
		n.goneServers = append(n.goneServers, s)
	}
	if m.Started != s.Started { // restarted under the same id: the state of the old process is void
		n.resetServer(s)
	}
	s.Member = *m
	s.listedEpoch = n.listEpoch
	s.size = n.sizeOf(m)
	if n.cfg.Weights == WeightLive {
		n.recordReport(s, max(0, s.size/max(m.Weight, 1e-6)-1)*s.size)
	}
}

// resetServer discards all learned state of a server but keeps its counts of requests in flight.
func (n *Node) resetServer(s *server) {
	fresh := make([]health, len(n.classes))
	for i := range s.health {
		fresh[i].inFlight = s.health[i].inFlight
	}
	s.slowness, s.health, s.failedProbes = 1, fresh, 0
	s.hasReport, s.reportedHeld, s.answers, s.coldTokens, s.coldAt = false, 0, 0, n.rng.Float64(), n.now
}

// sizeOf returns the relative capacity of a server. Live weights fall with load, so with them the size is the
// largest weight seen of any server of the same kind.
func (n *Node) sizeOf(m *Member) float64 {
	if n.cfg.Weights == WeightOff || m.Weight <= 0 {
		return 1
	} else if n.cfg.Weights != WeightLive {
		return m.Weight
	}
	n.maxWeightByKind[m.Kind] = max(n.maxWeightByKind[m.Kind], m.Weight)
	return n.maxWeightByKind[m.Kind]
}

// scheduleAsk schedules the call that subscribes at discovery. The first call is delayed at random, so that
// the nodes do not all call at once. After a failure the delay is 0.5 to 1.5 s, since a change that the node
// missed counts as known to it after 6 s.
func (n *Node) scheduleAsk(k UpdateKind) {
	switch {
	case k == UpdateRestored:
		maxDelay := min(n.cfg.Rules.AskEvery/8, time.Second)
		n.arm(&n.askArmed, time.Duration(n.rng.Float64()*float64(maxDelay)), cookieAsk)
	case k == UpdateAskFailed:
		n.arm(&n.askArmed, time.Second/2+time.Duration(n.rng.Float64()*float64(time.Second)), cookieAsk)
	}
}
