package front

import (
	"context"
	"time"

	"pewterrudder/internal/router/periodic"
)

// drainPollInterval is how often Drain closes idle connections and checks whether any connection is left.
const drainPollInterval = 25 * time.Millisecond

// Drain shuts the server down gracefully. For Options.DrainAcceptTime it still accepts and serves requests, since the
// platform needs a while to notice that the router is not ready; each response closes its connection. Then it stops
// listening, closes idle connections and waits until no connection is left or the context ends, which closes the rest.
func (s *Server) Drain(ctx context.Context) {
	s.drainingSince.Store(time.Now().UnixNano())
	s.draining.Store(true)
	periodic.Sleep(ctx, s.options.DrainAcceptTime)
	s.connections.stopListening()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.connections.expireIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.http.Close()
			return
		}
	}
	s.http.Close()
}

// rejectsLateRequests reports whether draining has progressed so far that a request arriving now might not finish in
// time. Such a request arrives on a connection that was busy with a slow response for long; the client can send it to
// another router.
func (s *Server) rejectsLateRequests() bool {
	since := time.Unix(0, s.drainingSince.Load())
	return time.Since(since) >= s.options.DrainAcceptTime+minIdleBeforeClose
}
