package shares

import (
	"time"

	"pewterrudder/internal/router/quota"
)

// Standing is what a router knows of the division.
type Standing struct {
	// Coordinator is the address of the router that divides, empty if none is known.
	Coordinator string
	// Leads says that this router does.
	Leads bool
	Term  uint64
	// Silence is the time since the coordinator's last answer; Heard says that there was one.
	Silence time.Duration
	Heard   bool
	// Tenants are those with the most requests here.
	Tenants []quota.Standing
}

// Standing describes the division, with some tenants at most. It asks nobody.
func (s *Shares) Standing(tenants int) Standing {
	standing := Standing{Coordinator: s.getKnown(), Leads: s.Holds()}
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
