package retrybudget

import (
	"slices"
	"strings"
	"time"
)

// Budget decides which retries a router may send. It is not safe for concurrent use.
type Budget struct {
	rule         Rule
	incarnation  uint64
	services     map[string]*serviceState
	routers      int
	sequence     uint64
	term         uint64
	lastAnswerAt time.Duration
	urgent       bool
}

// serviceState is the state of a service at this router.
type serviceState struct {
	requests   slidingCount
	retries    slidingCount
	lent       float64
	wanted     float64
	lastUsedAt time.Duration
}

// NewBudget returns the budget of a router that has just started. The incarnation identifies its process.
func NewBudget(rule Rule, incarnation uint64) *Budget {
	return &Budget{rule: rule, incarnation: incarnation, services: map[string]*serviceState{}}
}

// SetRouters sets the number of live routers. Before the first call, the router has no even share of the slack, because
// it doesn't know among how many routers the slack is split.
func (b *Budget) SetRouters(routers int) { b.routers = max(1, routers) }

// Term returns the term of the last answer applied.
func (b *Budget) Term() uint64 { return b.term }

// Busy reports whether any service had retries within the last window, or any were rejected since the last report.
func (b *Budget) Busy(now time.Duration) bool {
	for _, s := range b.services {
		if s.retries.upperBound(now) > 0 || s.wanted > 0 {
			return true
		}
	}
	return false
}

// TakeUrgent reports whether a report should be sent early, because a retry was rejected since the last call.
func (b *Budget) TakeUrgent() bool {
	urgent := b.urgent
	b.urgent = false
	return urgent
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Duration, name string) {
	s := b.service(name)
	s.requests.add(now)
	s.lastUsedAt = now
}

// Allow reports whether a retry may be sent, and counts it if so.
func (b *Budget) Allow(now time.Duration, name string) bool {
	s := b.service(name)
	s.lastUsedAt = now
	allowed := b.ratioAllowance(now, s) + b.evenAllowance() + b.lentAllowance(now, s)
	if s.retries.upperBound(now)+1 > allowed {
		s.wanted++
		b.urgent = true
		return false
	}
	s.retries.add(now)
	return true
}

// NextReport returns the next report for the coordinator.
func (b *Budget) NextReport(now time.Duration) Report {
	b.sequence++
	report := Report{Incarnation: b.incarnation, Sequence: b.sequence, Term: b.term}
	for name, s := range b.services {
		if now-s.lastUsedAt > 2*b.rule.Window {
			delete(b.services, name)
			continue
		}
		usage := ServiceUse{Service: name, Used: b.usedLent(now, s), Lent: b.lentAllowance(now, s), Wanted: s.wanted}
		s.wanted = 0
		if usage.Used > 0 || usage.Lent > 0 || usage.Wanted > 0 {
			report.Services = append(report.Services, usage)
		}
	}
	slices.SortFunc(report.Services, func(x, y ServiceUse) int { return strings.Compare(x.Service, y.Service) })
	return report
}

// ApplyAnswer applies the answer to the latest report. It ignores answers to earlier reports and of earlier terms.
func (b *Budget) ApplyAnswer(now time.Duration, answer Answer) {
	if answer.Sequence != b.sequence || answer.Term < b.term {
		return
	}
	b.term = answer.Term
	b.lastAnswerAt = now
	for _, s := range b.services {
		s.lent = 0
	}
	for _, share := range answer.Services {
		if s := b.services[share.Service]; s != nil {
			s.lent = share.Lent
		}
	}
}

func (b *Budget) service(name string) *serviceState {
	if s := b.services[name]; s != nil {
		return s
	}
	s := &serviceState{requests: newSlidingCount(b.rule.Window), retries: newSlidingCount(b.rule.Window)}
	b.services[name] = s
	return s
}

func (b *Budget) ratioAllowance(now time.Duration, s *serviceState) float64 {
	return ratioShare * b.rule.Ratio * s.requests.lowerBound(now)
}

func (b *Budget) evenAllowance() float64 {
	if b.routers == 0 {
		return 0
	}
	return evenShare * b.rule.Slack / float64(b.routers)
}

func (b *Budget) lentAllowance(now time.Duration, s *serviceState) float64 {
	if now-b.lastAnswerAt >= loanTimeout {
		return 0
	}
	return s.lent
}

// usedLent returns the number of retries in the last window that only the loan could have allowed.
func (b *Budget) usedLent(now time.Duration, s *serviceState) float64 {
	return max(0, s.retries.upperBound(now)-b.ratioAllowance(now, s)-b.evenAllowance())
}
