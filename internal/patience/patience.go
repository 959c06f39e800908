// Package patience decides how long the rest of an answer is waited for once its head is there. It learns from the
// longest pause inside answers that came whole. It must never read a clock: pauses are handed in, in the order of
// their answers.
//
// The estimate is that of TCP for its resends (RFC 6298): a smoothed pause and its smoothed deviation, the wait being
// the one and four times the other. As there, a wait that ran out says nothing on how long it would have taken, so it
// doubles the next (section 5.5), until an answer comes whole again: otherwise a wait that was once too short could
// never learn that it is.
package patience

import (
	"math"
	"time"
)

const (
	gainMean = 0.125 // RFC 6298, 2.3: alpha
	gainDev  = 0.25  // and beta
	devs     = 4     // and K
	doublest = 6     // doublings in a row at the most, as a wait of 64 times is the ceiling's business
)

// Estimator learns one wait. The zero value is of no use; make it with New.
type Estimator struct {
	floor, ceiling time.Duration
	fixed          time.Duration // a wait that was set, in place of the learned one
	mean, dev      float64       // in nanoseconds: as whole ones a pause of a few could never be reached
	seen           bool
	doublings      int
}

// New makes an estimator that waits first until it has learned, and never less than floor or more than ceiling.
func New(first, floor, ceiling time.Duration) *Estimator {
	return &Estimator{floor: floor, ceiling: ceiling, mean: float64(first) / 3, dev: float64(first) / 6}
}

// Fixed makes one that learns nothing.
func Fixed(wait time.Duration) *Estimator { return &Estimator{fixed: wait} }

// Wait is how long the next bytes of an answer are waited for.
func (e *Estimator) Wait() time.Duration {
	if e.fixed > 0 {
		return e.fixed
	}
	return min(max(time.Duration(math.Ceil(e.mean+devs*e.dev)), e.floor)<<e.doublings, e.ceiling)
}

// Whole enters the longest pause of an answer that came whole after it had to be waited for.
func (e *Estimator) Whole(pause time.Duration) {
	e.doublings = 0
	if !e.seen {
		e.seen, e.mean, e.dev = true, float64(pause), float64(pause)/2 // RFC 6298, 2.2
		return
	}
	off := float64(pause) - e.mean
	e.dev += gainDev * (math.Abs(off) - e.dev)
	e.mean += gainMean * off
}

// RanOut enters a wait that ended without a byte.
func (e *Estimator) RanOut() { e.doublings = min(e.doublings+1, doublest) }
