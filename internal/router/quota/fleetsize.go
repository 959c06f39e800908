package quota

import "time"

// fleetSize is the greatest number of routers seen in the current period of fullRateFor and the one before. In a
// network partition the number of live routers falls while those cut off still admit requests. Routers that have left
// admit none, so the number falls by those at once.
type fleetSize struct {
	// known is true once the number of routers has been set. A router that has just started may not have met the
	// others, and would take the part of the whole fleet for its own.
	known        bool
	currentMax   int
	previousMax  int
	nextPeriodAt time.Duration
	left         int
}

// observe records the number of live routers, and of those known to have left and not returned.
func (f *fleetSize) observe(now time.Duration, live, left int) {
	f.known = true
	f.startPeriodIfDue(now)
	if left > f.left {
		f.currentMax = max(0, f.currentMax-(left-f.left))
		f.previousMax = max(0, f.previousMax-(left-f.left))
	}
	f.left = left
	f.currentMax = max(f.currentMax, live)
}

func (f *fleetSize) startPeriodIfDue(now time.Duration) {
	if now < f.nextPeriodAt {
		return
	}
	f.previousMax = f.currentMax
	f.currentMax = 0
	f.nextPeriodAt = now + fullRateFor
}

// routers returns the number of routers, and one while it is unknown.
func (f *fleetSize) routers() int { return max(1, f.currentMax, f.previousMax) }
