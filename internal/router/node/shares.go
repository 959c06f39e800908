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

// startShares joins the division of quotas and of the retry budget among the routers.
func (n *Node) startShares(ctx context.Context, s *settings.Settings) error {
	settled := &settledSet{epoch: n.store.MovedAt}
	if s.ServesTo(settings.ServesControl) {
		go settled.run(ctx, s.DataDir, n.log) // not waited for at the stop, since the disk may hang
	}
	options := shares.Options{
		Node:            s.Node,
		Address:         n.transport.Address(),
		Bounds:          s.Bounds,
		Caller:          caller{n.transport, messageShares},
		Log:             n.log,
		Clock:           n.clock,
		Grantors:        n.grantors,
		GrantorsKnown:   settled.isKnown,
		GrantorsSettled: settled.isSettled,
		Relays:          n.relays,
		Routers:         n.fleetSize,
		MayCoordinate:   s.ServesTo(settings.ServesControl),
	}
	if n.keys != nil {
		options.Confirmations = n.keys
	}
	if s.Acceptor() {
		options.Floors = &floorStore{directory: s.DataDir}
	}
	n.shares = shares.New(options)
	n.transport.Handle(messageShares, n.shares.HandleRequest)
	n.background.Go(func() { n.shares.Run(ctx) })
	if n.keys != nil {
		n.background.Go(func() { n.keys.run(ctx) })
	}
	n.startFleetMemory(ctx, s)
	return nil
}

// relays are the live routers that are not acceptors: these may be cut off from each other where the rest of the fleet reaches all of
// them. A fleet of acceptors alone has no other relays than these.
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

// fleetSize counts the other routers. Before all can have been met, it is what a router remembers from before its start.
func (n *Node) fleetSize() shares.FleetSize {
	view := n.view()
	size := shares.FleetSize{Live: max(1, len(view.Live())), Settled: n.fleet.settled.Load()}
	if recalled := recalledSize(view); !size.Settled && n.fleet.met.Load() && recalled > 0 {
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

// startFleetMemory keeps the number of routers, and tells when it can be relied on.
func (n *Node) startFleetMemory(ctx context.Context, s *settings.Settings) {
	n.background.Go(func() { n.fleet.await(ctx, n.cluster.Synchronized(), n.shares.RefreshRouters) })
	if s.DataDir == "" {
		return
	}
	memory := &fleetMemory{
		size: func() (int, bool) { return len(n.view().Live()), n.fleet.settled.Load() },
		recalled: func(size int) {
			n.cluster.UpdateSelf(func(self *membership.Member) { self.FleetSize = size })
		},
	}
	go memory.run(ctx, s.DataDir, n.log) // not waited for at the stop, since the disk may hang
}

// admit tells whether a tenant's request is inside its quota. The first requests of a tenant at this router wait for the
// coordinator's answer for a moment where what the router has by itself does not cover them.
func (n *Node) admit(now time.Time, tenant *routing.Tenant, amount int) (bool, time.Duration) {
	limit := quota.Limit{PerSecond: tenant.RatePerSecond, Burst: tenant.Burst}
	ok, retryAfter := n.shares.Admit(now, tenant.Name, limit, float64(amount))
	if ok || !n.shares.AwaitShare(context.Background(), tenant.Name) {
		return ok, retryAfter
	}
	return n.shares.Admit(time.Now(), tenant.Name, limit, float64(amount))
}

// mayRetry takes one retry from the fleet's budget. Without a bound in the settings there is none.
func (n *Node) mayRetry(now time.Time, backend string) bool {
	bounds := n.Settings().Bounds
	if bounds.RetryRatio <= 0 && bounds.RetrySlack <= 0 {
		return true
	}
	return n.shares.AllowRetry(now, backend)
}

// tenantLimits lists the quotas.
func tenantLimits(parsed *document.Configuration) map[string]quota.Limit {
	limits := make(map[string]quota.Limit, len(parsed.Tenants))
	for i := range parsed.Tenants {
		tenant := &parsed.Tenants[i]
		limits[tenant.Name] = quota.Limit{PerSecond: tenant.PerS, Burst: tenant.Burst}
	}
	return limits
}
