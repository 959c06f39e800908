package quota

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the mean demand.
	demandTimeConstant = 4 * time.Second
	// minSpan is the span, in time constants, below which an amount is treated as having arrived at once.
	minSpan = 1e-6
)

// routerEntry is the ledger's state of one router.
type routerEntry struct {
	reportedAt time.Duration
	asked      float64
	requests   float64
	supplied   float64
	granted    float64
	// recalled is the amount by which the last answer lowered granted.
	recalled float64
	// outstanding is the highest balance that the router may have, standing the standing rate that it was told last,
	// and reservedRate the highest standing rate that it may use.
	outstanding  float64
	standing     float64
	reservedRate float64
	// inheritedStanding is the standing rate that the router had when its entry was made.
	inheritedStanding float64
	withheldRate      float64
	withheldAt        time.Duration
	withheld          float64
	demandRate        float64
	requestRate       float64
}

func newRouterEntry(now time.Duration, demand TenantDemand) *routerEntry {
	return &routerEntry{
		reportedAt: now,
		withheldAt: now,
		asked:      demand.Asked,
		requests:   demand.Requests,
		supplied:   demand.Supplied,
		granted:    demand.Granted,
		standing:   demand.Standing,
	}
}

// setWithheldRate changes the rate that is withheld for the router.
func (e *routerEntry) setWithheldRate(now time.Duration, rate float64) {
	e.withheld += e.withheldRate * (now - e.withheldAt).Seconds()
	e.withheldAt = now
	e.withheldRate = rate
}

// updateDemand updates the router's mean demand from its report.
func (e *routerEntry) updateDemand(now time.Duration, demand TenantDemand) {
	seconds := (now - e.reportedAt).Seconds()
	asked := demand.Asked - e.asked
	requests := demand.Requests - e.requests
	e.reportedAt = now
	e.asked = demand.Asked
	e.requests = demand.Requests
	e.demandRate = addToMeanRate(e.demandRate, asked, seconds)
	e.requestRate = addToMeanRate(e.requestRate, requests, seconds)
}

// addToMeanRate returns the exponentially weighted mean rate after an amount arrived over the given seconds.
func addToMeanRate(rate, amount, seconds float64) float64 {
	span := seconds / demandTimeConstant.Seconds()
	return rate*math.Exp(-span) + amount/demandTimeConstant.Seconds()*meanWeight(span)
}

// meanWeight returns the mean remaining weight of an amount that arrived evenly over a span given in time constants.
func meanWeight(span float64) float64 {
	if span < minSpan {
		return 1
	}
	return (1 - math.Exp(-span)) / span
}
