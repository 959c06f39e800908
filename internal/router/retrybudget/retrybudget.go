// Package retrybudget limits the retries, which are all attempts of a request after the first, to a fraction of the
// requests in the whole fleet of routers.
//
// Within any window, the number of retries to a service may be at most a ratio of its requests plus a slack. Each
// router counts its own requests and retries. The ratio needs no coordination: if it holds at each router, it holds for
// the sum. The slack is divided: one part is split evenly among all routers, another is lent by the coordinator to the
// routers that need it, and the rest is a safety margin.
//
// The package reads no clock: the time is passed to every call as a reading of the process's monotonic clock.
package retrybudget

import "time"

const (
	// evenShare is the fraction of the slack that is split evenly among all routers.
	evenShare = 0.35
	// lentShare is the fraction of the slack that the coordinator lends.
	lentShare = 0.35
	// ratioShare is the fraction of the ratio that a router uses.
	ratioShare = 0.9
	// loanTimeout is how long a router may use its loan without an answer from the coordinator.
	loanTimeout = 5 * time.Second
)

// Rule limits the number of retries that arrive at a service within any window to Ratio * requests + Slack.
type Rule struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Report tells the coordinator which services a router retries requests to, and how much of the slack it uses and
// wants.
type Report struct {
	Incarnation uint64       `msgpack:"incarnation"`
	Sequence    uint64       `msgpack:"sequence"`
	Term        uint64       `msgpack:"term"`
	Services    []ServiceUse `msgpack:"services,omitempty"`
}

// ServiceUse is the part of a report about one service.
type ServiceUse struct {
	Service string `msgpack:"service"`
	// Used is the number of retries in the last window beyond the router's ratio and even share of the slack.
	Used float64 `msgpack:"used"`
	// Lent is the number of retries that the router has on loan.
	Lent float64 `msgpack:"lent"`
	// Wanted is the number of retries that the router rejected since its last report.
	Wanted float64 `msgpack:"wanted,omitempty"`
}

// Answer is the coordinator's response to a report. Sequence is that of the report, or 0 if the report was rejected.
type Answer struct {
	Term     uint64         `msgpack:"term"`
	Sequence uint64         `msgpack:"sequence"`
	Services []ServiceShare `msgpack:"services,omitempty"`
}

// ServiceShare is the part of an answer about one service: the number of retries that the router has on loan from now
// on.
type ServiceShare struct {
	Service string  `msgpack:"service"`
	Lent    float64 `msgpack:"lent"`
}
