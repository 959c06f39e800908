package shares

import (
	"time"

	"pewterrudder/internal/router/quota"
)

// Standing describes how a router sees the distribution of quotas.
type Standing struct {
	// Coordinator is the coordinator's address; empty if none is known.
	Coordinator string
	// Leads is true if this router is the coordinator.
	Leads bool
	// Term is that of the coordinator that answered last.
	Term uint64
	// Silence is the time since the coordinator's last answer. Heard is false if there was none.
	Silence time.Duration
	Heard   bool
	// Tenants are the tenants with the most requests at this router.
	Tenants []quota.Standing
}

// Standing returns this router's view of the distribution, with at most the given number of tenants. It sends no messages.
func (s *Shares) Standing(tenants int) Standing {
	standing := Standing{Coordinator: s.getKnownCoordinator(), Leads: s.Holds()}
	if standing.Leads {
		standing.Coordinator = s.options.Address
	}
	now := s.now()
	s.local.Lock()
	defer s.local.Unlock()
	standing.Term = s.local.admission.Term()
	standing.Silence, standing.Heard = s.local.admission.Silence(now)
	standing.Tenants = s.local.admission.Standings(tenants)
	return standing
}
