package node

import (
	"context"
	"sync/atomic"
	"time"

	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/steadyclock"
)

const (
	// isolationChecksPerLimit is the number of register reads within the time limit after which a router counts as
	// isolated.
	isolationChecksPerLimit = 5
	// maxIsolationCheckInterval bounds the interval between two reads.
	maxIsolationCheckInterval = 5 * time.Second
)

// isolationGuard makes a router report not ready when no quorum of the acceptors has answered it for the time set by
// isolation.not_ready_after_s. The router finishes the requests it has received, and becomes ready again with the first
// answer.
type isolationGuard struct {
	limit        time.Duration
	clock        *steadyclock.Clock
	readRegister func(ctx context.Context) (revision uint64, err error)
	onChange     func(isolated bool)
	isolated     atomic.Bool
}

// startIsolationGuard starts the guard if the settings set a limit; zero disables it.
func (n *Node) startIsolationGuard(ctx context.Context, s *settings.Settings) error {
	limit := settings.Seconds(s.Isolation.NotReadyAfterS)
	if limit <= 0 {
		return nil
	}
	guard := &isolationGuard{limit: limit, clock: n.clock, readRegister: n.store.ReadRevision, onChange: n.logIsolation}
	n.readiness.isolated = guard.isolated.Load
	n.background.Go(func() { guard.run(ctx) })
	return nil
}

func (n *Node) logIsolation(isolated bool) {
	if isolated {
		n.log.Warn("not ready: no quorum of the acceptors has answered within isolation.not_ready_after_s")
		return
	}
	n.log.Info("a quorum of the acceptors answers again")
}

// run reads the register until the context ends. The time is measured from the start of the last read that succeeded.
func (g *isolationGuard) run(ctx context.Context) {
	interval := min(g.limit/isolationChecksPerLimit, maxIsolationCheckInterval)
	answeredAt := g.clock.Now()
	for ctx.Err() == nil {
		askedAt := g.clock.Now()
		if g.checkQuorum(ctx, interval) {
			answeredAt = askedAt
		}
		g.setIsolated(g.clock.Now()-answeredAt >= g.limit)
		periodic.Sleep(ctx, interval-(g.clock.Now()-askedAt))
	}
}

// checkQuorum reads the register once and reports whether a quorum answered within the timeout.
func (g *isolationGuard) checkQuorum(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := g.readRegister(ctx)
	return err == nil
}

func (g *isolationGuard) setIsolated(isolated bool) {
	if g.isolated.Swap(isolated) != isolated {
		g.onChange(isolated)
	}
}
