package node

import (
	"context"
	"sync/atomic"
	"time"

	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/steadyclock"
)

const (
	// isolationChecks is how often the register is read within the time after which a router counts as isolated.
	isolationChecks = 5
	// isolationCheckMost bounds the pause between two reads.
	isolationCheckMost = 5 * time.Second
)

// isolationGuard takes a router out of service that no quorum of the acceptors has answered for a time, where the site asks for that. It
// goes on with what clients have sent, and comes back with the first answer.
type isolationGuard struct {
	limit    time.Duration
	clock    *steadyclock.Clock
	read     func(ctx context.Context) (revision uint64, err error)
	changed  func(isolated bool)
	isolated atomic.Bool
}

// startIsolationGuard watches where the settings set a limit.
func (n *Node) startIsolationGuard(ctx context.Context, s *settings.Settings) error {
	limit := settings.Seconds(s.Isolation.NotReadyAfterS)
	if limit <= 0 {
		return nil
	}
	guard := &isolationGuard{limit: limit, clock: n.clock, read: n.store.Confirm, changed: n.logIsolation}
	n.readiness.isolated = guard.isolated.Load
	n.background.Go(func() { guard.run(ctx) })
	return nil
}

func (n *Node) logIsolation(isolated bool) {
	if isolated {
		n.log.Warn("not ready: no quorum of the acceptors has answered for too long")
		return
	}
	n.log.Info("a quorum of the acceptors answers again")
}

// run reads the register until the context ends. The time counts from the begin of the last read that was answered.
func (g *isolationGuard) run(ctx context.Context) {
	every := min(g.limit/isolationChecks, isolationCheckMost)
	answeredAt := g.clock.Now()
	for ctx.Err() == nil {
		askedAt := g.clock.Now()
		if g.confirm(ctx, every) {
			answeredAt = askedAt
		}
		g.set(g.clock.Now()-answeredAt >= g.limit)
		pause(ctx, every-(g.clock.Now()-askedAt))
	}
}

// confirm makes one read.
func (g *isolationGuard) confirm(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, err := g.read(ctx)
	return err == nil
}

func (g *isolationGuard) set(isolated bool) {
	if g.isolated.Swap(isolated) != isolated {
		g.changed(isolated)
	}
}
