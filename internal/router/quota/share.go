package quota

const (
	// balancesFraction is the fraction of the fleet's tokens that is kept at the routers when demand is low. The rest
	// stays in the store for requests that are larger than a router's balance.
	balancesFraction = 0.5
	// minUsefulBalance is the smallest useful balance at a router, in mean requests.
	minUsefulBalance = 1.0
	// recallAbove is the multiple of its target above which a balance is recalled.
	recallAbove = 1.2
	// evenWeight is the weight that is divided equally among the routers, whatever their demand, as a fraction of the
	// tenant's rate.
	evenWeight = 0.1
	// overdraftHeadroom is the fraction of the capacity that the store does not lend as overdrafts.
	overdraftHeadroom = 0.1
	// reservableFraction is the minimum fraction of the store that routers may draw as reserves when they hear nothing.
	reservableFraction = 0.8
	// A tenant counts as being at its limit when its tokens are below scarceBelow of the capacity, and already below
	// scarceBelowOverloaded when its demand is above overloadedAbove of its rate.
	scarceBelow           = 0.2
	scarceBelowOverloaded = 0.6
	overloadedAbove       = 1.25
)

// allocate decides what a router gets, and returns its share.
func (l *ledger) allocate(router string, demand TenantDemand, fleet fleetView) TenantShare {
	l.limitToCapacity(fleet)
	l.number++
	e := l.entries[router]
	l.adjustBalance(e, max(l.targetBalance(e, fleet.routers), demand.Wanted))
	l.updateEntry(e, func() {
		e.standing = l.standingRate(e, fleet)
		e.reservedRate = max(e.reservedRate, e.standing)
	})
	return TenantShare{
		Tenant:    demand.Tenant,
		Granted:   e.granted,
		Standing:  e.standing,
		Ceiling:   l.ceiling(e.standing),
		Overdraft: l.maxOverdraft(),
		Reserve:   l.reservable() * e.standing / l.limit.PerSecond,
		Store:     l.store,
		Number:    l.number,
	}
}

// targetBalance returns the balance that a router should have. One that is too small for a request would be of no use
// at the router; it stays in the store, from where an overdraft can use it.
func (l *ledger) targetBalance(e *routerEntry, routers int) float64 {
	target := balancesFraction * max(0, l.totalTokens()) * l.demandWeight(e.demandRate, l.demandRate, routers)
	if !l.isScarce() && target < minUsefulBalance*l.meanRequestSize() {
		return 0
	}
	return target
}

// meanRequestSize returns the mean amount of a request, zero if there were none.
func (l *ledger) meanRequestSize() float64 {
	if l.requestRate <= 0 {
		return 0
	}
	return l.demandRate / l.requestRate
}

// ceiling returns the part of the capacity that corresponds to a standing rate.
func (l *ledger) ceiling(standing float64) float64 {
	return l.capacity() * standing / l.limit.PerSecond
}

// adjustBalance grants what a router lacks, or recalls what it has in excess. A recalled amount counts as the router's
// until its next report.
func (l *ledger) adjustBalance(e *routerEntry, target float64) {
	switch {
	case e.outstanding < target:
		amount := min(target-e.outstanding, l.grantable())
		l.store -= amount
		l.updateEntry(e, func() {
			e.granted += amount
			e.outstanding += amount
		})
	case e.outstanding > recallAbove*target:
		e.recalled = e.outstanding - target
		e.granted -= e.recalled
	}
}

func (l *ledger) demandWeight(demand, total float64, routers int) float64 {
	even := evenWeight * l.limit.PerSecond
	count := float64(max(routers, len(l.entries)))
	return (demand + even/count) / (total + even)
}

// standingRate returns the router's part of the tenant's rate, as far as it is not reserved for others. A coordinator
// that has not observed the demand for long enough leaves a router at least the rate that it came with: a reduction
// would be withheld for the missing routers and not be restored.
func (l *ledger) standingRate(e *routerEntry, fleet fleetView) float64 {
	rate := l.limit.PerSecond * l.demandWeight(e.demandRate, l.demandRate, fleet.routers)
	if fleet.isLearning {
		rate = max(rate, e.inheritedStanding)
	}
	free := l.limit.PerSecond - (l.reservedRate - e.reservedRate) - l.missingRate(fleet)
	return max(0, min(rate, free))
}

// reservable returns the part of the store that routers may draw as reserves when they hear nothing. It overlaps the
// floor a little. Both are used up only where the coordinator is lost while the tenant is at its limit and the whole
// fleet restarts right after, and then the time in which the fleet was down produces more than the overlap.
func (l *ledger) reservable() float64 { return max(l.grantable(), reservableFraction*l.store) }

func (l *ledger) maxOverdraft() float64 {
	if l.isScarce() {
		return 0
	}
	return max(0, l.grantable()-overdraftHeadroom*l.capacity())
}
