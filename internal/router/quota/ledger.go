package quota

import "time"

// ledger is one tenant's account of the tokens in the store and at all routers.
type ledger struct {
	rule      Rule
	limit     Limit
	store     float64
	accruedAt time.Duration
	entries   map[string]*routerEntry
	// heldFloor is the part of the store that may not be granted yet, since the next coordinator would recover it from
	// the keepers after a restart, and so grant it twice.
	heldFloor float64
	// number counts the shares answered. inheritedStore is the amount that the store took over from an earlier
	// coordinator, and inheritedVersion says from which of its answers.
	number           uint64
	inheritedStore   float64
	inheritedVersion version
	// The sums over the entries.
	outstanding  float64
	reservedRate float64
	withheldRate float64
	// returnable is the part of the amount withheld for silent routers that may come back to the store once they report
	// that they have not used it. Together with the store and the balances it stays within the capacity, as if it had
	// never left the store.
	returnable float64
	// demandRate and requestRate are the mean amount and number of requests per second, over all routers. They decay by
	// themselves, since a router does not report a tenant that it has no requests of.
	demandRate      float64
	requestRate     float64
	demandUpdatedAt time.Duration
}

// version orders the answers and the floor tables of successive coordinators: by term, then by number.
type version struct {
	term   uint64
	number uint64
}

func (v version) after(other version) bool {
	if v.term != other.term {
		return v.term > other.term
	}
	return v.number > other.number
}

func newLedger(now time.Duration, rule Rule, limit Limit) *ledger {
	return &ledger{rule: rule, limit: limit, accruedAt: now, demandUpdatedAt: now, entries: map[string]*routerEntry{}}
}

func (l *ledger) capacity() float64 { return l.rule.capacity(l.limit) }

// totalTokens returns the amount of tokens in the store and at the routers.
func (l *ledger) totalTokens() float64 { return l.store + l.outstanding }

// isScarce reports whether the tenant is at its limit.
func (l *ledger) isScarce() bool {
	level := l.totalTokens() / l.capacity()
	if l.demandRate > overloadedAbove*l.limit.PerSecond {
		return level < scarceBelowOverloaded
	}
	return level < scarceBelow
}

func (l *ledger) setLimit(limit Limit) {
	if limit == l.limit {
		return
	}
	capacity := ratio(l.rule.capacity(limit), l.capacity())
	rate := ratio(limit.PerSecond, l.limit.PerSecond)
	l.store *= min(1, capacity)
	l.limit = limit
	for _, e := range l.entries {
		l.updateEntry(e, func() {
			e.standing *= rate
			e.reservedRate *= rate
			e.withheldRate *= rate
		})
	}
}

// accrue adds what the tenant's rate has produced since the last call, less what is withheld for routers that do not
// report.
func (l *ledger) accrue(now time.Duration, fleet fleetView) {
	seconds := (now - l.accruedAt).Seconds()
	l.accruedAt = now
	if seconds <= 0 {
		return
	}
	rate := max(0, l.limit.PerSecond-l.withheldRate-l.missingRate(fleet))
	l.store += rate * seconds
	l.limitToCapacity(fleet)
}

// maxAssumedIdle bounds the idle time that a store is credited with at its start. Routers supply themselves after a
// while without a coordinator, so a longer time was not idle.
const maxAssumedIdle = 250 * time.Millisecond

// assumeIdle credits the store with what the limit produced in a time in which nothing was granted.
func (l *ledger) assumeIdle(idle time.Duration) {
	if idle <= 0 {
		return
	}
	l.inheritedStore = l.limit.PerSecond*min(idle, maxAssumedIdle).Seconds() + restartFraction*l.rule.tolerance(l.limit)
	l.store += l.inheritedStore
}

// addRecoveredFloor credits the store with the floor that an earlier coordinator left, unless routers have reported
// that coordinator's store.
func (l *ledger) addRecoveredFloor(floor float64) {
	if l.inheritedVersion.term > 0 {
		return
	}
	l.inheritedStore += floor
	l.store += floor
}

// grantable returns the part of the store that may be granted.
func (l *ledger) grantable() float64 { return max(0, l.store-l.heldFloor) }

// floorBase returns the content of the store that the floor is computed from, zero if it is too small for a floor.
func (l *ledger) floorBase() float64 {
	if l.store < minFloorFraction*l.capacity() {
		return 0
	}
	return l.store
}

// inherit takes over the store of an earlier coordinator, according to the latest of its answers that routers report.
func (l *ledger) inherit(from version, store float64) {
	if !from.after(l.inheritedVersion) {
		return
	}
	l.store += store - l.inheritedStore
	l.inheritedStore = store
	l.inheritedVersion = from
}

// chargeDrawn deducts what a router that followed an earlier coordinator has drawn from that coordinator's store.
func (l *ledger) chargeDrawn(router string, demand TenantDemand) {
	if l.entries[router] == nil {
		l.store -= demand.Drawn
	}
}

// limitToCapacity keeps the store, the balances and the returnable amount together within the capacity.
func (l *ledger) limitToCapacity(fleet fleetView) {
	room := l.capacity() - l.outstanding
	if !fleet.justStarted {
		room -= l.capacity() * l.missingRate(fleet) / l.limit.PerSecond
	}
	l.store = min(l.store, max(0, room))
	l.returnable = min(l.returnable, max(0, room-l.store))
}

// applyDemand records what a router reports. A new entry is made when the router has not reported the tenant before:
// its balance and standing rate are then those that an earlier coordinator gave it, or those of its start.
func (l *ledger) applyDemand(now time.Duration, router string, sameTerm bool, demand TenantDemand) {
	if !sameTerm {
		demand.Granted = 0
	}
	e := l.entries[router]
	if e == nil {
		e = newRouterEntry(now, demand)
		e.inheritedStanding = demand.Standing
		l.entries[router] = e
	}
	l.updateDemand(now, demand.Asked-e.asked, demand.Requests-e.requests)
	l.updateEntry(e, func() {
		l.settleWithheld(now, e, demand)
		l.settleRecall(e, demand)
		e.updateDemand(now, demand)
		e.outstanding = demand.Balance + max(0, e.granted-demand.Granted)
		e.reservedRate = max(demand.Standing, e.standing)
	})
}

// updateDemand updates the mean demand of all routers with the requests that one of them received since its last
// report.
func (l *ledger) updateDemand(now time.Duration, asked, requests float64) {
	seconds := (now - l.demandUpdatedAt).Seconds()
	l.demandUpdatedAt = now
	l.demandRate = addToMeanRate(l.demandRate, asked, seconds)
	l.requestRate = addToMeanRate(l.requestRate, requests, seconds)
}

// settleWithheld compares what was withheld for a silent router with what it has used. An unused amount goes back to
// the store as far as it is returnable; an amount used in excess is deducted from the store.
func (l *ledger) settleWithheld(now time.Duration, e *routerEntry, demand TenantDemand) {
	l.setWithheldRate(now, e, 0)
	unused := e.withheld - (demand.Supplied - e.supplied)
	if unused > 0 {
		unused = min(unused, l.returnable)
		l.returnable -= unused
	}
	l.store += unused
	e.withheld = 0
	e.supplied = demand.Supplied
}

// setWithheldRate changes the rate that is withheld for a router.
func (l *ledger) setWithheldRate(now time.Duration, e *routerEntry, rate float64) {
	before := e.withheld
	e.setWithheldRate(now, rate)
	l.returnable += e.withheld - before
}

// settleRecall returns recalled tokens to the store once the router has given them up. A router ignores answers to
// reports before its latest, so a recall that it has not followed by now is void.
func (l *ledger) settleRecall(e *routerEntry, demand TenantDemand) {
	if demand.Granted == e.granted {
		l.store += e.recalled
	} else if demand.Granted > e.granted {
		e.granted = demand.Granted
	}
	e.recalled = 0
}

// withholdForSilent withholds what a router that does not report may use: its standing rate, and capacity for the
// balance that it may accumulate. The router may also have received its first requests of the tenant in the meantime,
// or have restarted.
func (l *ledger) withholdForSilent(now time.Duration, router string, silence time.Duration, fractions silentFractions) {
	if silence < silenceTimeout {
		return
	}
	e := l.entries[router]
	if e == nil {
		e = newRouterEntry(now, TenantDemand{})
		l.entries[router] = e
		l.updateEntry(e, func() { e.reservedRate = fractions.unreported * l.limit.PerSecond })
	}
	l.updateEntry(e, func() {
		if silence >= restartPossibleAfter {
			e.reservedRate = max(e.reservedRate, fractions.equal*l.limit.PerSecond)
		}
		if e.withheldRate == 0 && e.withheld == 0 {
			e.withheld = e.reservedRate * silence.Seconds()
			l.store -= e.withheld
			l.returnable += e.withheld
		}
		l.setWithheldRate(now, e, e.reservedRate*withheldFraction(silence))
		e.outstanding = max(e.outstanding, l.ceiling(e.reservedRate))
	})
}

// unreportedTimeout is the time after which a tenant that a reporting router no longer names counts as removed there.
// It is longer than the router keeps a tenant without requests.
const unreportedTimeout = idleTimeout + 10*time.Second

// isUnreported reports whether a router that goes on reporting has not named the tenant for unreportedTimeout.
func (l *ledger) isUnreported(now time.Duration, router string) bool {
	e := l.entries[router]
	return e != nil && now-e.reportedAt >= unreportedTimeout
}

// removeRouter removes a router's entry. A negative balance that it leaves is deducted from the store.
func (l *ledger) removeRouter(router string) {
	e := l.entries[router]
	if e == nil {
		return
	}
	l.store += min(0, e.outstanding)
	l.updateEntry(e, func() { *e = routerEntry{} })
	delete(l.entries, router)
}

// updateEntry modifies an entry and adjusts the sums over the entries.
func (l *ledger) updateEntry(e *routerEntry, modify func()) {
	before := *e
	modify()
	l.outstanding += e.outstanding - before.outstanding
	l.reservedRate += e.reservedRate - before.reservedRate
	l.withheldRate += e.withheldRate - before.withheldRate
}
