package front

import (
	"context"
	"math"
	"strconv"
	"time"

	"pewterrudder/internal/router/protocol"
)

const (
	// maxStartWaitShare is the maximum share of the client's deadline for which a request waits for a starting router, so
	// that a refused client still has time to retry.
	maxStartWaitShare = 0.4
	// maxStartWait bounds that wait regardless of the deadline.
	maxStartWait = time.Second
)

// awaitStart delays a request until the router knows its configuration and the instances, which takes some hundred
// milliseconds after the start of the process. Without the delay, requests in that time would be refused.
func (s *Server) awaitStart(ctx context.Context, deadlineMs string) {
	started := s.dependencies.BecameReady
	if started == nil {
		return
	}
	select {
	case <-started:
		return
	default:
	}
	timer := time.NewTimer(startWait(deadlineMs))
	defer timer.Stop()
	select {
	case <-started:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startWait returns how long a request may wait for the start, given the value of its deadline header in milliseconds.
func startWait(deadlineMs string) time.Duration {
	ms, err := strconv.ParseFloat(deadlineMs, 64)
	if err != nil || math.IsNaN(ms) || ms < 0 {
		return maxStartWait
	}
	share := min(maxStartWaitShare*ms*float64(time.Millisecond), float64(maxStartWait))
	return time.Duration(share)
}

// deadlineHeader returns the client's deadline header, in milliseconds from now; it may be empty or invalid.
func (c *call) deadlineHeader() string { return c.incoming.Header.Get(protocol.HeaderDeadlineMs) }
