package node

import (
	"context"
	"slices"
	"time"

	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/quota"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/shares"
)

// startShares joins the division of tenant quotas and of the retry budget among the routers.
func (n *Node) startShares(ctx context.Context, s *settings.Settings) error {
	settled := &settledTracker{currentEpoch: n.store.AddressEpoch}
	if s.ServesTo(settings.ServesControl) {
		go settled.run(ctx, s.DataDir, n.log) // Stop does not wait for it, since the disk may hang
	}
	options := shares.Options{
		Node:                     s.Node,
		Address:                  n.transport.Address(),
		Bounds:                   s.Bounds,
		Caller:                   messageCaller{n.transport, messageShares},
		Log:                      n.log,
		Clock:                    n.clock,
		Grantors:                 n.grantors,
		OnlyCurrentGrantorsKnown: settled.isKnown,
		GrantorsSettled:          settled.isSettled,
		Relays:                   n.relays,
		Routers:                  n.fleetSize,
		MayCoordinate:            s.ServesTo(settings.ServesControl),
	}
	if n.keyLease != nil {
		options.Confirmations = n.keyLease
	}
	if s.IsAcceptor() {
		options.Floors = &floorStore{dataDir: s.DataDir}
	}
	n.shares = shares.New(options)
	n.transport.Handle(messageShares, n.shares.HandleRequest)
	n.background.Go(func() { n.shares.Run(ctx) })
	if n.keyLease != nil {
		n.background.Go(func() { n.keyLease.run(ctx) })
	}
	n.startFleetSize(ctx, s)
	return nil
}

// relays returns the transport addresses of the routers that may forward messages: the live routers that are not
// acceptors. Acceptors may be partitioned from each other while the rest of the fleet reaches all of them. If all live
// routers are acceptors, all of them are relays.
func (n *Node) relays() []string {
	voters, _ := n.grantors()
	var others, all []string
	for _, member := range n.view().Live() {
		all = append(all, member.Address)
		if !slices.Contains(voters, member.Address) {
			others = append(others, member.Address)
		}
	}
	if len(others) == 0 {
		return all
	}
	return others
}

// fleetSize returns the number of routers in the fleet. Until discovery has settled, it relies on the size that routers
// stored before their restart, if any did.
func (n *Node) fleetSize() shares.FleetSize {
	view := n.view()
	size := shares.FleetSize{Live: max(1, len(view.Live())), Settled: n.discovery.settled.Load()}
	if recalled := announcedFleetSize(view); !size.Settled && n.discovery.synchronized.Load() && recalled > 0 {
		size.Live = max(size.Live, recalled)
		size.Settled = true
	}
	for _, member := range view.Failed() {
		if member.Status == membership.Left {
			size.Left++
		}
	}
	return size
}

// startFleetSize tracks when the number of routers is reliable, and stores it if there is a data directory.
func (n *Node) startFleetSize(ctx context.Context, s *settings.Settings) {
	n.background.Go(func() { n.discovery.run(ctx, n.cluster.Synchronized(), n.shares.RefreshRouters) })
	if s.DataDir == "" {
		return
	}
	store := &fleetSizeStore{
		currentSize: func() (int, bool) { return len(n.view().Live()), n.discovery.settled.Load() },
		onLoaded: func(size int) {
			n.cluster.UpdateSelf(func(self *membership.Member) { self.FleetSize = size })
		},
	}
	go store.run(ctx, s.DataDir, n.log) // Stop does not wait for it, since the disk may hang
}

// admit reports whether a tenant's request is within its quota and, if not, after what time to retry. A tenant's first
// requests at this router wait briefly for a share from the coordinator if the router's own allowance does not cover
// them.
func (n *Node) admit(now time.Time, tenant *routing.Tenant, amount int) (bool, time.Duration) {
	limit := quota.Limit{PerSecond: tenant.RatePerSecond, Burst: tenant.Burst}
	ok, retryAfter := n.shares.Admit(now, tenant.Name, limit, float64(amount))
	if ok || !n.shares.AwaitShare(context.Background(), tenant.Name) {
		return ok, retryAfter
	}
	return n.shares.Admit(time.Now(), tenant.Name, limit, float64(amount))
}

// allowRetry takes one retry from the fleet's retry budget. It always returns true if the settings set no retry bounds.
func (n *Node) allowRetry(now time.Time, backend string) bool {
	bounds := n.Settings().Bounds
	if bounds.RetryRatio <= 0 && bounds.RetrySlack <= 0 {
		return true
	}
	return n.shares.AllowRetry(now, backend)
}

// tenantLimits returns the configured quotas by tenant name.
func tenantLimits(parsed *document.Configuration) map[string]quota.Limit {
	limits := make(map[string]quota.Limit, len(parsed.Tenants))
	for i := range parsed.Tenants {
		tenant := &parsed.Tenants[i]
		limits[tenant.Name] = quota.Limit{PerSecond: tenant.PerS, Burst: tenant.Burst}
	}
	return limits
}
