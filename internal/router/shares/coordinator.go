package shares

import "context"

// Coordinator returns the address of the router that holds the coordinator lease, which may be this one.
func (s *Shares) Coordinator(ctx context.Context) (string, error) { return s.coordinator(ctx) }

// IsCoordinator reports whether this router holds the coordinator lease now.
func (s *Shares) IsCoordinator() bool {
	s.coordination.Lock()
	defer s.coordination.Unlock()
	_, held := s.coordination.candidate.Held(s.now())
	return held
}
