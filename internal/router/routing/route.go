package routing

import (
	"math"
	"time"

	"pewterrudder/internal/router/document"
)

// Kind tells how the requests of a route may be handled, in particular whether they may be repeated.
type Kind int

// Kinds of routes. The zero value is the most restrictive one.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String returns the kind's name in the configuration.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return document.KindIdempotent
	case Streaming:
		return document.KindStreaming
	default:
		return document.KindNonIdempotent
	}
}

func parseKind(name string) Kind {
	switch name {
	case document.KindIdempotent:
		return Idempotent
	case document.KindStreaming:
		return Streaming
	default:
		return NonIdempotent
	}
}

// Route is a route of the configuration. It is immutable.
type Route struct {
	Name       string
	Hostname   string // in lower case
	PathPrefix string
	Kind       Kind
	Timeout    time.Duration
	Target     time.Duration // as configured in target_ms; 0: not set
	GapAim     time.Duration // as configured in gap_aim_ms; 0: not set
	Priority   int           // 0 is the most urgent
	Retries    int           // most instances that a client's request may be sent to; at least 1
	Public     bool
	Sticky     bool
	Resume     bool

	shares []share
}

// share is a backend of a split, with the sum of the weights up to and including its own.
type share struct {
	backend    string
	cumulative float64
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resume
}

// ChooseBackend picks a backend with a probability proportional to its weight. random must be uniform in [0, 1). A
// backend of weight 0 is never picked.
func (r *Route) ChooseBackend(random float64) string {
	last := len(r.shares) - 1
	target := random * r.shares[last].cumulative
	for _, candidate := range r.shares[:last] {
		if target < candidate.cumulative {
			return candidate.backend
		}
	}
	return r.shares[last].backend
}

// newShares returns the shares of a route's split, or of its only backend if there is none with a weight.
func newShares(route *document.Route) []share {
	var shares []share
	var sum float64
	for _, split := range route.Split {
		if split.Weight > 0 {
			sum += split.Weight
			shares = append(shares, share{split.Backend, sum})
		}
	}
	if shares == nil {
		shares = []share{{route.Backend, 1}}
	}
	return shares
}

// fromMilliseconds converts a configured number to a Duration. Numbers that are too large become the longest Duration.
func fromMilliseconds(ms float64) time.Duration {
	nanoseconds := ms * float64(time.Millisecond)
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds)
}
