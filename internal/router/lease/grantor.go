package lease

import (
	"slices"
	"time"
)

// Grantor grants the lease to one holder at a time.
type Grantor struct {
	config         Config
	incarnation    uint64
	graceUntil     time.Duration
	holder         string
	highestTerm    Term
	grantExpiresAt time.Duration
	sets           [][]string
}

// NewGrantor returns a grantor that has just started. It may have forgotten grants that it made before its start, so it
// makes none until those have expired, or until a candidate proves that they are void. The incarnation must not be zero,
// and must differ from that of all earlier processes of the grantor.
func NewGrantor(now time.Duration, config Config, incarnation uint64) *Grantor {
	return &Grantor{config: config, incarnation: incarnation, graceUntil: now + config.Duration}
}

// SetGrantors replaces the grantor sets in force. During a joint change there are two, otherwise previous is empty.
func (g *Grantor) SetGrantors(voters, previous []string) {
	g.sets = nil
	for _, members := range [][]string{sortedUnique(voters), sortedUnique(previous)} {
		if len(members) > 0 {
			g.sets = append(g.sets, members)
		}
	}
}

// HandleProbe answers a probe. Idle is the result of Candidate.Idle for the candidate in the same process.
func (g *Grantor) HandleProbe(now time.Duration, request Request, idle bool) Response {
	response := g.respond(now, request, false)
	response.Probe = true
	response.Idle = idle
	response.Incarnation = g.incarnation
	return response
}

// Handle answers a candidate's request for a grant, or for its release.
func (g *Grantor) Handle(now time.Duration, request Request) Response {
	if request.Proof == g.incarnation {
		g.graceUntil = min(g.graceUntil, now)
	}
	if request.Release {
		g.release(now, request)
		return g.respond(now, request, false)
	}
	granted := g.mayGrant(now, request)
	if granted {
		g.holder = request.Holder
		g.highestTerm = request.Term
		g.grantExpiresAt = now + g.config.Duration
	}
	return g.respond(now, request, granted)
}

// CurrentHolder returns the holder of this grantor's current grant and its term; held is false if there is none.
func (g *Grantor) CurrentHolder(now time.Duration) (holder string, term Term, held bool) {
	if !g.hasActiveGrant(now) {
		return "", 0, false
	}
	return g.holder, g.highestTerm, true
}

func (g *Grantor) hasActiveGrant(now time.Duration) bool {
	return g.holder != "" && now < g.grantExpiresAt
}

func (g *Grantor) mayGrant(now time.Duration, request Request) bool {
	if now < g.graceUntil || request.Holder == "" || !g.coversSets(request) {
		return false
	}
	if request.Holder == g.holder && request.Term == g.highestTerm {
		return true
	}
	if g.hasActiveGrant(now) && request.Holder != g.holder {
		return false
	}
	return request.Term > g.highestTerm
}

// coversSets reports whether the candidate needs majorities of all sets that the grantor knows to be in force.
func (g *Grantor) coversSets(request Request) bool {
	for _, members := range g.sets {
		if !slices.ContainsFunc(request.Sets, func(set []string) bool { return slices.Equal(set, members) }) {
			return false
		}
	}
	return true
}

func (g *Grantor) release(now time.Duration, request Request) {
	if g.hasActiveGrant(now) && g.holder == request.Holder && g.highestTerm == request.Term {
		g.grantExpiresAt = now
	}
}

func (g *Grantor) respond(now time.Duration, request Request, granted bool) Response {
	response := Response{Granted: granted, Round: request.Round, HighestTerm: g.highestTerm}
	switch {
	case now < g.graceUntil:
		response.InGracePeriod = true
		response.Remaining = g.graceUntil - now
	case g.hasActiveGrant(now):
		response.Holder = g.holder
		response.Remaining = g.grantExpiresAt - now
	}
	return response
}
