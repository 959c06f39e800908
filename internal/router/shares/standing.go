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
	// SinceLastAnswer is the time since the coordinator's last answer. Heard is false if there was none.
	SinceLastAnswer time.Duration
	HasAnswer       bool
	// Tenants are the tenants with the most requests at this router.
	Tenants []quota.TenantStatus
}

// Status returns this router's view of the distribution, with at most the given number of tenants. It sends no messages.
func (s *Shares) Status(tenants int) Status {
	standing := Status{Coordinator: s.getKnownCoordinator(), IsCoordinator: s.IsCoordinator()}
	if standing.IsCoordinator {
		standing.Coordinator = s.options.Address
	}
	now := s.now()
	s.local.Lock()
	defer s.local.Unlock()
	standing.Term = s.local.admission.Term()
	standing.SinceLastAnswer, standing.HasAnswer = s.local.admission.SinceLastAnswer(now)
	standing.Tenants = s.local.admission.BusiestTenants(tenants)
	return standing
}
