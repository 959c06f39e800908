// Package lease implements a lease that at most one process holds at a time, by majority vote.
//
// A Grantor grants the lease to one holder for a fixed duration. A Candidate sends requests to all grantors, and holds the
// lease while majorities of the grantor sets in force have granted it. The candidate counts the duration from before it
// sent its requests and subtracts a margin for clock drift, so that its lease ends before any of the grants does.
// Grantors keep their grants in memory only. A grantor that has just started therefore grants nothing during a grace
// period of one duration, or until a candidate has proven that no lease depends on grants which the grantor may have
// forgotten (see prober).
//
// When the grantor sets change, a candidate needs majorities of the old sets for another duration, and a grantor
// refuses candidates that do not know the sets that it knows to be in force.
//
// The package reads no clock: every call receives the time as a reading of the process's monotonic clock.
package lease

import "time"

// Term is a fencing token. A later lease has a higher term than all earlier ones.
type Term uint64

// Config holds the parameters that the grantors and candidates of one lease have in common.
type Config struct {
	// Duration is how long a grant lasts, by the clock of the grantor.
	Duration time.Duration
	// Drift is the fraction of the duration by which two clocks may drift apart over one duration.
	Drift float64
}

// holdDuration is how long a candidate may rely on grants, counted from before it sent the requests for them.
func (c Config) holdDuration() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - c.Drift))
}

// Request asks a grantor for a grant, releases a grant, or probes the grantor.
type Request struct {
	// Holder is the name of the candidate that sends the request.
	Holder string `msgpack:"holder"`
	Term   Term   `msgpack:"term"`
	// Round is the number of the round or probe; zero in a release.
	Round uint64 `msgpack:"round"`
	// Release gives back the grant of the term to the grantor.
	Release bool `msgpack:"release,omitempty"`
	// Probe asks for the incarnation of the grantor, and whether the candidate of its process is idle.
	Probe bool `msgpack:"probe,omitempty"`
	// Proof is the incarnation of the grantor whose forgotten grants are proven to be void; zero without a proof.
	Proof uint64 `msgpack:"proof,omitempty"`
	// Sets are the grantor sets of which the candidate needs majorities.
	Sets [][]string `msgpack:"sets,omitempty"`
}

// Response is the answer to a request.
type Response struct {
	Granted bool `msgpack:"granted"`
	// Round is that of the request.
	Round uint64 `msgpack:"round"`
	// HighestTerm is the highest term that the grantor has granted.
	HighestTerm Term `msgpack:"highest"`
	// Holder has the grantor's current grant; empty if nobody has it.
	Holder string `msgpack:"holder,omitempty"`
	// Remaining is how long the grant or the grantor's grace period still lasts.
	Remaining time.Duration `msgpack:"remaining,omitempty"`
	// InGracePeriod is true while the grantor grants nothing after its start.
	InGracePeriod bool `msgpack:"embargo,omitempty"`
	// Probe marks the response to a probe. Only such a response sets Incarnation, that of the grantor, and Idle, that of the
	// candidate in the same process.
	Probe       bool   `msgpack:"probe,omitempty"`
	Incarnation uint64 `msgpack:"incarnation,omitempty"`
	Idle        bool   `msgpack:"idle,omitempty"`
}
