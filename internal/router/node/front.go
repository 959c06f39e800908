package node

import (
	"context"
	"time"

	"pewterrudder/internal/router/front"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
	"pewterrudder/internal/router/settings"
)

const (
	// clientConnectionShare is the share of the file descriptor limit that client connections may use.
	clientConnectionShare = 0.6
	// bodyMemoryShare is the share of the memory limit that request bodies may use.
	bodyMemoryShare = 0.4
	// connectionSweepInterval is the interval at which idle connections to removed instances are closed.
	connectionSweepInterval = 3 * time.Second
)

// startFront creates the client-facing server. It listens only if the settings name an address for it.
func (n *Node) startFront(ctx context.Context, s *settings.Settings) error {
	n.front = front.New(front.Dependencies{
		Table:           n.table.Load,
		BecameReady:     n.readiness.becameReady,
		Select:          n.selectInstance,
		Pool:            n.attempts,
		ConnectionLimit: n.connectionLimit,
		Quota:           n.admit,
		KeysValid:       n.keyLeaseCheck(),
		TakeRetry:       n.allowRetry,
		CountRequest:    n.shares.CountRequest,
		Log:             n.log,
	}, front.Options{
		MaxConnections: int(clientConnectionShare * float64(s.Limits.MaxFDs)),
		BodyMemory:     int64(bodyMemoryShare * float64(s.Limits.MemoryMB) * (1 << 20)),
	})
	if s.Listen.Front == "" {
		return nil
	}
	listener, err := front.Listen(ctx, s.Listen.Front)
	if err != nil {
		return err
	}
	go n.sweepConnections(ctx)
	go func() {
		if err := n.front.Serve(listener); err != nil {
			n.log.WithError(err).Error("client listener failed")
		}
	}()
	return nil
}

// selectInstance adapts the selector to the interface of the front, and counts the request's prompt prefix.
func (n *Node) selectInstance(request selection.Request) (front.Pick, error) {
	n.countPrefix(&request)
	pick, err := n.selector.Select(request)
	if err != nil {
		return nil, err
	}
	return pick, nil
}

// connectionLimit returns this router's share of the connections that an instance accepts from all routers together, at
// least 1. Zero means that the backend has no limit.
func (n *Node) connectionLimit(backend *routing.Backend) int {
	if backend.MaxConnections <= 0 {
		return 0
	}
	return max(1, backend.MaxConnections/n.routerCount())
}

// sweepConnections periodically closes idle connections to instances that are no longer registered.
func (n *Node) sweepConnections(ctx context.Context) {
	periodic.Run(ctx, connectionSweepInterval, func() {
		snapshot := n.registry.Snapshot()
		n.attempts.Sweep(time.Now(), func(id string) bool { return snapshot.Get(id) != nil })
	})
}
