package brain

import "time"

// Burst returns the number of candidates that a pick is drawn from, and whether the detector reports a burst. It has no
// side effects.
func (n *Node) Burst() (k int, on bool) { return n.candidateCount(), n.inBurst }

// ServerSight is a snapshot of a node's state of one server, for monitoring.
type ServerSight struct {
	Known    bool
	Load     float64       // requests held per size, from the last report
	Reported time.Duration // when that report arrived; 0: never
	InFlight int           // this node's attempts
	Ejected  time.Duration // latest end of an ejection of any class; in the past: not ejected
	Paused   time.Duration // likewise for pauses after refusals and timeouts
}

// Sight returns the node's state of a server; Known is false if it is not listed. It has no side effects.
func (n *Node) Sight(server string) ServerSight {
	s := n.byID[server]
	if s == nil {
		return ServerSight{}
	}
	v := ServerSight{Known: true, InFlight: s.inFlight}
	if s.hasReport {
		v.Load, v.Reported = s.reportedHeld/s.size, s.reportAt
	}
	for i := range s.health {
		v.Ejected, v.Paused = max(v.Ejected, s.health[i].ejectedUntil), max(v.Paused, s.health[i].pausedUntil)
	}
	return v
}

// Avoids reports whether the node currently sends a server no requests of any class: it is unknown or not ready, its
// probes fail, or it is ejected or paused. It has no side effects.
func (n *Node) Avoids(server string) bool {
	s := n.byID[server]
	if s == nil || s.State != Ready || s.failedProbes >= maxFailedProbes {
		return true
	}
	for i := range s.health {
		if h := &s.health[i]; !n.classes[i].Gone && h.ejectedUntil <= n.now && h.pausedUntil <= n.now {
			return false
		}
	}
	return true
}
