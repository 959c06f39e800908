// Package quota enforces the limits of tenants on the sum of their requests over all routers.
//
// A tenant's limit is one token bucket for the whole fleet. Its tokens are in two places: in a store at the
// coordinator, and in balances at the routers, which admit requests from their balance without asking anybody. Each
// router reports what was requested and what is left, and the coordinator moves tokens to where they are needed. Store
// and balances together never exceed the bucket's capacity, and together they gain no more than the tenant's rate. So
// within any window the whole fleet admits at most rate times window plus capacity, and the capacity is chosen so that
// this stays within the rule.
//
// A router that hears nothing from a coordinator supplies itself at the standing rate that the coordinator has told it
// before, and draws once on its reserve, a part of the store. The coordinator withholds the standing rate of a silent
// router for as long as the router may use it.
//
// So that a restart of the whole fleet does not lose the stores, keepers (routers with a disk) save a floor for each
// tenant: an amount that the coordinator promises to leave in the store, and from which the next coordinator starts.
//
// The package reads no clock: every call receives the time as a reading of the process's monotonic clock.
package quota

import "time"

const (
	// capacityFraction is the fraction of the rule's tolerance that enlarges the fleet's token bucket. The rest covers
	// what the loss of a coordinator, restarts and overdrafts may add to it.
	capacityFraction = 0.7
	// startFraction is the fraction of the tolerance that all routers together may have at their start, when nobody
	// knows what was admitted just before.
	startFraction = 0.15
	// restartFraction is the fraction of the tolerance that the coordinator has in addition when the whole fleet has
	// started.
	restartFraction = 0.2
)

// Limit is the rate per second and the burst that a tenant is allowed over the whole fleet. A rate of zero means no
// limit.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Unlimited reports whether the tenant has no limit.
func (l Limit) Unlimited() bool { return l.PerSecond <= 0 }

// Rule says by how much the requests within a window may exceed the limit. They may reach
// (rate * Window + burst) * (1 + Over) + Slack.
type Rule struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// bound returns the highest amount that may be admitted within any window.
func (r Rule) bound(limit Limit) float64 {
	return r.limitInWindow(limit) + r.tolerance(limit)
}

func (r Rule) limitInWindow(limit Limit) float64 {
	return limit.PerSecond*r.Window.Seconds() + limit.Burst
}

// tolerance returns the amount by which the bound exceeds the limit.
func (r Rule) tolerance(limit Limit) float64 {
	return r.limitInWindow(limit)*r.Over + r.Slack
}

// capacity returns the size of the fleet's token bucket.
func (r Rule) capacity(limit Limit) float64 {
	return limit.Burst + capacityFraction*r.tolerance(limit)
}

// startBalance returns the balance of one of the given number of routers at its start.
func (r Rule) startBalance(limit Limit, routers int) float64 {
	return startFraction * r.tolerance(limit) / float64(routers)
}
