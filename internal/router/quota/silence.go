package quota

import "time"

const (
	// silenceTimeout is how long after the last answer a router begins to supply itself.
	silenceTimeout = 500 * time.Millisecond
	// reserveAfter is how long after the last answer a router that runs short draws its reserve. A router that runs
	// short reports at once, so this is a few times the duration of a round trip.
	reserveAfter = 150 * time.Millisecond
	// wholeReportAfter is how long after the last answer a report names all tenants: the coordinator may have withheld
	// something for a silent router.
	wholeReportAfter = 400 * time.Millisecond
	// grantCoverage is how long a grant is meant to last, about the time between two reports.
	grantCoverage = 250 * time.Millisecond
	// equalRateAfter is how long after the last answer a router is limited to an equal part. Routers that have
	// meanwhile started without a coordinator use equal parts too, so the sum stays within the limit.
	equalRateAfter = 4 * time.Second
	// fullRateFor is how long a router that hears nothing uses its full standing rate.
	fullRateFor = 30 * time.Second
	// reducedRateFor is how long it uses the reduced rate after that.
	reducedRateFor = 5 * time.Minute
	// reducedFraction is the fraction of the standing rate in that time.
	reducedFraction = 0.25
	// finalFraction is the fraction of the standing rate that remains; it is so small that the coordinator does not
	// withhold it.
	finalFraction = 0.02
	// overdraftFor is how long after the last answer an overdraft is allowed.
	overdraftFor = 500 * time.Millisecond
)

// selfSupplyFraction returns the fraction of its standing rate that a router uses when it has heard nothing for the
// given time.
func selfSupplyFraction(silence time.Duration) float64 {
	switch {
	case silence < silenceTimeout:
		return 0
	case silence < fullRateFor:
		return 1
	case silence < fullRateFor+reducedRateFor:
		return reducedFraction
	default:
		return finalFraction
	}
}

// withheldFraction returns the fraction of a silent router's standing rate that the coordinator withholds.
func withheldFraction(silence time.Duration) float64 {
	if isNegligible(silence) {
		return 0
	}
	return selfSupplyFraction(silence)
}

// isNegligible reports whether a silent router uses so little that the coordinator need not count it.
func isNegligible(silence time.Duration) bool { return silence >= fullRateFor+reducedRateFor }
