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

func (r *coordinationState) setLimits(now time.Duration, limits map[string]quota.Limit) {
	r.Lock()
	defer r.Unlock()
	r.limits = maps.Clone(limits)
	if r.quota != nil {
		r.quota.SetLimits(now, r.limits)
	}
}

func (r *coordinationState) setRouters(now time.Duration, live, left int) {
	r.Lock()
	defer r.Unlock()
	r.liveRouters, r.departedRouters = live, left
	if r.quota != nil {
		r.quota.SetRouters(now, live, left)
	}
}

// handleLeaseRequest answers a candidate's request or probe with this router's grantor.
func (r *coordinationState) handleLeaseRequest(now time.Duration, request lease.Request) lease.Response {
	r.Lock()
	defer r.Unlock()
	if request.Probe {
		return r.grantor.HandleProbe(now, request, r.candidate.Idle(now, request))
	}
	response := r.grantor.Handle(now, request)
	if request.Release {
		r.candidate.RetrySoon(now, request)
	}
	return response
}

// coordinatorAddress returns the coordinator's address as far as this router's candidate or grantor knows it; empty if unknown.
func (r *coordinationState) coordinatorAddress(now time.Duration, own string) string {
	r.Lock()
	defer r.Unlock()
	if _, held := r.candidate.Held(now); held {
		return own
	}
	holder, _, _ := r.grantor.CurrentHolder(now)
	if holder == own {
		return ""
	}
	return holder
}

// handleReport answers a router's report. It returns false if this router does not hold the lease.
func (r *coordinationState) handleReport(now time.Duration, rules coordinatorRules, report exchangeReport) (exchangeAnswer, bool) {
	r.Lock()
	defer r.Unlock()
	r.candidate.ObserveTerm(now, lease.Term(max(report.Quota.Term, report.Retry.Term)))
	term, held := r.candidate.Held(now)
	if !held {
		r.quota, r.retries = nil, nil
		return exchangeAnswer{}, false
	}
	r.ensureCoordinators(now, rules, uint64(term))
	return exchangeAnswer{
		Quota: r.quota.Report(now, report.Node, report.Quota),
		Retry: r.retries.Report(now, report.Node, report.Retry),
	}, true
}

// ensureCoordinators replaces the coordinators of quotas and retries when the lease has a new term.
func (r *coordinationState) ensureCoordinators(now time.Duration, rules coordinatorRules, term uint64) {
	if r.quota != nil && r.quota.Term() == term {
		return
	}
	r.quota = quota.NewCoordinator(now, rules.quota, term)
	if !rules.coordinatorHeard {
		r.quota.AssumeIdle(now)
	}
	r.quota.SetLimits(now, r.limits)
	r.quota.SetKeepers(r.floorKeepers)
	r.quota.SetRouters(now, r.liveRouters, r.departedRouters)
	r.retries = retrybudget.NewCoordinator(now, rules.retry, term)
}

// coordinatorRules configures the coordinators that this router creates.
type coordinatorRules struct {
	// coordinatorHeard is true if a coordinator has answered this router since its start.
	coordinatorHeard bool
	quota            quota.Rule
	retry            retrybudget.Rule
}
