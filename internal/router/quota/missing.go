package quota

import "time"

// maxAnswerDelay bounds how long an answer of an earlier coordinator may be in transit.
const maxAnswerDelay = time.Second

// fleetView is the coordinator's view of the fleet: the number of routers that there may be, and of the missing ones
// among them, which have not reported under this term. The missing ones may still use what an earlier coordinator
// granted them, until that is negligible.
type fleetView struct {
	routers int
	missing int
	// isLearning is true while the coordinator has not observed the demand for long enough to rely on it.
	isLearning bool
	// usesEqualRate is true once the missing routers have heard nothing for so long that none uses more than an equal
	// part.
	usesEqualRate bool
	// justStarted is true if the whole fleet seems to have started recently, so that the missing routers hold nothing
	// of an earlier coordinator.
	justStarted bool
}

func (c *Coordinator) fleetView(now time.Duration) fleetView {
	routers := c.routers(now)
	if isNegligible(now - c.startedAt) {
		return fleetView{routers: routers}
	}
	age := now - c.startedAt
	return fleetView{
		routers:       routers,
		missing:       max(0, routers-len(c.members)),
		isLearning:    age < demandTimeConstant,
		usesEqualRate: age >= equalRateAfter+maxAnswerDelay,
		justStarted:   c.assumedIdle > 0,
	}
}

// missingRate returns the rate that the missing routers may supply themselves with: what is left of the tenant's rate,
// but no less than their equal part, which they use if they have restarted, and at most twice that. Those that have
// heard nothing for long use no more than the equal part.
func (l *ledger) missingRate(fleet fleetView) float64 {
	if fleet.missing == 0 {
		return 0
	}
	equal := l.limit.PerSecond * float64(fleet.missing) / float64(fleet.routers)
	if fleet.usesEqualRate {
		return equal
	}
	left := l.limit.PerSecond - l.reservedRate
	return min(max(left, equal), 2*equal)
}

// restartPossibleAfter is the silence after which a router may have restarted and supply itself. Before, it can have
// used only little.
const restartPossibleAfter = 2 * time.Second

// silentFractions are the fractions of a tenant's rate that a silent router must be expected to use.
type silentFractions struct {
	// unreported applies if the router had not reported the tenant.
	unreported float64
	// equal applies if the router may have restarted.
	equal float64
}
