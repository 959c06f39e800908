package shares

import (
	"maps"
	"sync"
	"time"

	"pewterrudder/internal/router/lease"
	"pewterrudder/internal/router/quota"
	"pewterrudder/internal/router/retrybudget"
)

// coordinationState holds the router's grantor and candidate for the coordinator lease, and what it needs while it is the
// coordinator.
type coordinationState struct {
	sync.Mutex
	grantor         *lease.Grantor
	candidate       *lease.Candidate
	limits          map[string]quota.Limit
	liveRouters     int
	departedRouters int
	// floorKeepers are the addresses of the routers that store quota floors if they have a disk: the acceptors.
	floorKeepers []string
	// quota and retries are nil until a report arrives while this router holds the lease.
	quota   *quota.Coordinator
	retries *retrybudget.Coordinator
}

func (c *coordinationState) setLimits(now time.Duration, limits map[string]quota.Limit) {
	c.Lock()
	defer c.Unlock()
	c.limits = maps.Clone(limits)
	if c.quota != nil {
		c.quota.SetLimits(now, c.limits)
	}
}

func (c *coordinationState) setRouters(now time.Duration, live, left int) {
	c.Lock()
	defer c.Unlock()
	c.liveRouters, c.departedRouters = live, left
	if c.quota != nil {
		c.quota.SetRouters(now, live, left)
	}
}

// handleLeaseRequest answers a candidate's request or probe with this router's grantor.
func (c *coordinationState) handleLeaseRequest(now time.Duration, request lease.Request) lease.Response {
	c.Lock()
	defer c.Unlock()
	if request.Probe {
		return c.grantor.HandleProbe(now, request, c.candidate.Idle(now, request))
	}
	response := c.grantor.Handle(now, request)
	if request.Release {
		c.candidate.RetrySoon(now, request)
	}
	return response
}

// coordinatorAddress returns the coordinator's address as far as this router's candidate or grantor knows it; empty if unknown.
func (c *coordinationState) coordinatorAddress(now time.Duration, own string) string {
	c.Lock()
	defer c.Unlock()
	if _, held := c.candidate.Held(now); held {
		return own
	}
	holder, _, _ := c.grantor.CurrentHolder(now)
	if holder == own {
		return ""
	}
	return holder
}

// handleReport answers a router's report. It returns false if this router does not hold the lease.
func (c *coordinationState) handleReport(now time.Duration, rules coordinatorRules, report exchangeReport) (exchangeAnswer, bool) {
	c.Lock()
	defer c.Unlock()
	c.candidate.ObserveTerm(now, lease.Term(max(report.Quota.Term, report.Retry.Term)))
	term, held := c.candidate.Held(now)
	if !held {
		c.quota, c.retries = nil, nil
		return exchangeAnswer{}, false
	}
	c.ensureCoordinators(now, rules, uint64(term))
	return exchangeAnswer{
		Quota: c.quota.HandleReport(now, report.Node, report.Quota),
		Retry: c.retries.HandleReport(now, report.Node, report.Retry),
	}, true
}

// ensureCoordinators replaces the coordinators of quotas and retries when the lease has a new term.
func (c *coordinationState) ensureCoordinators(now time.Duration, rules coordinatorRules, term uint64) {
	if c.quota != nil && c.quota.Term() == term {
		return
	}
	c.quota = quota.NewCoordinator(now, rules.quota, term)
	if !rules.coordinatorHeard {
		c.quota.AssumeIdle(now)
	}
	c.quota.SetLimits(now, c.limits)
	c.quota.SetFloorKeepers(c.floorKeepers)
	c.quota.SetRouters(now, c.liveRouters, c.departedRouters)
	c.retries = retrybudget.NewCoordinator(now, rules.retry, term)
}

// coordinatorRules configures the coordinators that this router creates.
type coordinatorRules struct {
	// coordinatorHeard is true if a coordinator has answered this router since its start.
	coordinatorHeard bool
	quota            quota.Rule
	retry            retrybudget.Rule
}
