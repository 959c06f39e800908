package quota

import (
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal carries.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// account is the state of one tenant at one router. Amounts are in the tenant's unit: requests or tokens.
type account struct {
	// balance is the amount that may still be admitted; negative after an overdraft.
	balance float64
	// asked and requests are the total amount and number of requests received by this process, admitted or not.
	asked    float64
	requests float64
	// granted is the amount that the coordinator of the current term has added to the balance, and supplied the amount
	// that the router has added by itself.
	granted  float64
	supplied float64
	// standing is the standing rate: the amount per second that the router adds to its own balance while it has no
	// contact with the coordinator.
	standing float64
	// equalRate is the amount per second of each router if the limit is divided equally.
	equalRate float64
	// initialFraction is the fraction of an equal part that the router may use of the tenant before the coordinator's
	// first answer.
	initialFraction float64
	// ceiling is the balance up to which the router supplies itself, and overdraft how far below zero one request may
	// take the balance.
	ceiling   float64
	overdraft float64
	// wanted is the amount of refused requests that the next grant should cover.
	wanted float64
	// store is the content of the coordinator's store as of its last answer, and number the number of that answer.
	// reserve is the part of the store that the router may draw when its reports go unanswered, and drawn the amount
	// that it has drawn since that answer.
	store   float64
	number  uint64
	reserve float64
	drawn   float64
	// The times of the last request, the last contact with the coordinator, the last supply, and the account's
	// creation.
	lastRequestAt time.Duration
	lastContactAt time.Duration
	suppliedAt    time.Duration
	openedAt      time.Duration
	// answered is true once the coordinator has answered with a share of the tenant.
	answered bool
	// sentTotals are the totals in the latest report that named the tenant, and sentSequence is that report's sequence
	// number. answeredTotals are the totals that the coordinator last answered, at the time answeredAt.
	sentTotals     reportedTotals
	sentSequence   uint64
	answeredTotals reportedTotals
	answeredAt     time.Duration
}

// reportedTotals are the totals of an account whose change makes the tenant due for the next report.
type reportedTotals struct {
	asked    float64
	supplied float64
	granted  float64
}

// applyInitialShare gives an account that the coordinator has not answered yet this router's part of the limit, unless
// the number of routers is unknown. The router's own supply is counted from now on.
func (a *account) applyInitialShare(now time.Duration, rule Rule, limit Limit, size fleetSize) {
	if !size.known || a.answered {
		return
	}
	routers := size.routers()
	a.balance += rule.startBalance(limit, routers)
	a.equalRate = limit.PerSecond / float64(routers)
	a.standing = a.initialFraction * a.equalRate
	a.ceiling = a.initialFraction * rule.capacity(limit) / float64(routers)
	a.suppliedAt = now
}

func (a *account) totals() reportedTotals {
	return reportedTotals{asked: a.asked, supplied: a.supplied, granted: a.granted}
}

const (
	// refreshInterval is how often a router reports a tenant whose totals have not changed.
	refreshInterval = time.Second
	// maxRefreshes bounds the number of tenants in a report whose totals have not changed: a router may know hundreds.
	maxRefreshes = 4
)

// noteRefused records the amount of a refused request. Before the first answer the amounts add up, since all waiting
// requests are retried once it has arrived. Later refusals have been answered, so the largest amount is what a balance
// must hold to be useful.
func (a *account) noteRefused(amount float64) {
	if a.answered {
		a.wanted = max(a.wanted, amount)
		return
	}
	a.wanted += amount
}

// needsReport reports whether the next report must name the tenant.
func (a *account) needsReport() bool {
	return !a.answered || a.wanted > 0 || a.totals() != a.answeredTotals
}

// firstOverdraftFraction is the fraction of the fleet's bucket that the first request of a tenant at a router may
// overdraw, provided that the coordinator is in contact and the tenant is not at its limit.
const firstOverdraftFraction = 0.3

// supply adds what the router may supply itself with once it has heard nothing for silenceTimeout: its reserve of the
// coordinator's store at once, and the standing rate from the end of the time that the last answer covers.
func (a *account) supply(now time.Duration) {
	if now-a.lastContactAt < silenceTimeout || now <= a.suppliedAt {
		return
	}
	from := max(a.suppliedAt, a.lastContactAt+grantCoverage)
	a.suppliedAt = now
	a.drawReserve(now)
	rate := a.standing
	if now-a.lastContactAt >= equalRateAfter {
		rate = min(rate, a.equalRate)
	}
	rate *= selfSupplyFraction(now - a.lastContactAt)
	a.addSupply(rate * max(0, now-from).Seconds())
}

// drawReserve draws this router's reserve from the coordinator's store if reports have gone unanswered for
// reserveAfter, and reports whether anything was drawn. The next report tells the coordinator the amount.
func (a *account) drawReserve(now time.Duration) bool {
	if now-a.lastContactAt < reserveAfter || a.reserve <= 0 {
		return false
	}
	drawn := a.addSupply(a.reserve)
	a.drawn += drawn
	a.reserve = 0
	return drawn > 0
}

// addSupply raises the balance by the amount, at most up to the ceiling, and returns the increase.
func (a *account) addSupply(amount float64) float64 {
	amount = max(0, min(amount, a.ceiling-a.balance))
	a.balance += amount
	a.supplied += amount
	return amount
}

// spend takes the amount from the balance or, for one request per answer, from the overdraft. It reports whether the
// amount was covered.
func (a *account) spend(now time.Duration, amount float64) bool {
	if a.balance >= amount {
		a.balance -= amount
		return true
	}
	if now-a.lastContactAt >= overdraftFor || a.balance+a.overdraft < amount {
		return false
	}
	a.balance -= amount
	a.overdraft = 0
	return true
}

func (a *account) applyShare(now time.Duration, share TenantShare) {
	a.supply(now)
	a.answered = true
	a.balance += share.Granted - a.granted
	a.granted = share.Granted
	a.standing = share.Standing
	a.ceiling = share.Ceiling
	a.overdraft = share.Overdraft
	a.store = share.Store
	a.number = share.Number
	a.reserve = share.Reserve
	a.drawn = 0
	a.lastContactAt = now
	a.suppliedAt = now
	a.answeredTotals, a.answeredAt = a.sentTotals, now
}

// noteContact records an answer of the coordinator that has no new share of the tenant. If the tenant is scarce, its
// store may be empty, so the reserve is dropped.
func (a *account) noteContact(now time.Duration, isScarce bool) {
	a.supply(now)
	if isScarce {
		a.reserve = 0
	}
	a.lastContactAt = now
	a.suppliedAt = now
}

func (a *account) demand(tenant string) TenantDemand {
	return TenantDemand{
		Tenant:   tenant,
		Asked:    a.asked,
		Requests: a.requests,
		Balance:  a.balance,
		Granted:  a.granted,
		Supplied: a.supplied,
		Standing: a.standing,
		Wanted:   a.wanted,
		Store:    a.store,
		Number:   a.number,
		Drawn:    a.drawn,
	}
}

// rescale adapts the account to a changed limit. A higher limit adds no tokens by itself.
func (a *account) rescale(rule Rule, before, after Limit) {
	if before == after {
		return
	}
	capacity := ratio(rule.capacity(after), rule.capacity(before))
	a.ceiling *= capacity
	a.overdraft *= min(1, capacity)
	a.balance *= min(1, capacity)
	rate := ratio(after.PerSecond, before.PerSecond)
	a.standing *= rate
	a.equalRate *= rate
}

func (a *account) retryAfter(amount float64) time.Duration {
	rate := max(a.standing, math.SmallestNonzeroFloat64)
	seconds := (amount - a.balance) / rate
	wait := maxRetryAfter
	if seconds < maxRetryAfter.Seconds() {
		wait = time.Duration(seconds * float64(time.Second))
	}
	return max(wait, minRetryAfter)
}

func ratio(after, before float64) float64 {
	if before <= 0 {
		return 1
	}
	return after / before
}
