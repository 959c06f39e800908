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
	// clientShare of the descriptors is for clients' connections.
	clientShare = 0.6
	// bodyShare of the memory may hold bodies of requests.
	bodyShare = 0.15
	// sweepEvery is the pause between two looks for connections to instances that are gone.
	sweepEvery = 3 * time.Second
)

// startFront serves clients.
func (n *Node) startFront(ctx context.Context, s *settings.Settings) error {
	n.front = front.New(front.Dependencies{
		Table:        n.table.Load,
		Started:      n.readiness.started,
		Select:       n.pick,
		Pool:         n.attempts,
		Connections:  n.connections,
		Quota:        n.admit,
		KeysHold:     n.keysHold(),
		Retry:        n.mayRetry,
		CountRequest: n.shares.CountRequest,
		Log:          n.log,
	}, front.Options{
		MaxConnections: int(clientShare * float64(s.Limits.MaxFDs)),
		BodyMemory:     int64(bodyShare * float64(s.Limits.MemoryMB) * (1 << 20)),
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
			n.log.WithError(err).Error("the front ended")
		}
	}()
	return nil
}

// pick adapts the selector to the front.
func (n *Node) pick(request selection.Request) (front.Pick, error) {
	n.countPrefix(&request)
	pick, err := n.selector.Select(request)
	if err != nil {
		return nil, err
	}
	return pick, nil
}

// connections is this router's part of the connections that an instance takes from all routers together.
func (n *Node) connections(backend *routing.Backend) int {
	if backend.MaxConnections <= 0 {
		return 0
	}
	return max(1, backend.MaxConnections/n.routers())
}

// sweepConnections ends idle connections to instances that are gone.
func (n *Node) sweepConnections(ctx context.Context) {
	periodic.Run(ctx, sweepEvery, func() {
		snapshot := n.registry.Snapshot()
		n.attempts.Sweep(time.Now(), func(id string) bool { return snapshot.Get(id) != nil })
	})
}
