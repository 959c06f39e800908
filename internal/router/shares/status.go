package shares

import (
	"time"

	"pewterrudder/internal/router/quota"
)

// Status describes how a router sees the distribution of quotas.
type Status struct {
	// Coordinator is the coordinator's address; empty if none is known.
	Coordinator string
	// IsCoordinator is true if this router is the coordinator.
	IsCoordinator bool
	// Term is that of the coordinator that answered last.
	Term uint64
	// SinceLastAnswer is the time since the coordinator's last answer. HasAnswer is false if there was none.
	SinceLastAnswer time.Duration
	HasAnswer       bool
	// Tenants are the tenants with the most requests at this router.
	Tenants []quota.TenantStatus
}

// Status returns this router's view of the distribution, with at most the given number of tenants. It sends no
// messages.
func (s *Shares) Status(tenants int) Status {
	current := Status{Coordinator: s.getKnownCoordinator(), IsCoordinator: s.IsCoordinator()}
	if current.IsCoordinator {
		current.Coordinator = s.options.Address
	}
	now := s.now()
	s.local.Lock()
	defer s.local.Unlock()
	current.Term = s.local.admission.Term()
	current.SinceLastAnswer, current.HasAnswer = s.local.admission.SinceLastAnswer(now)
	current.Tenants = s.local.admission.BusiestTenants(tenants)
	return current
}
