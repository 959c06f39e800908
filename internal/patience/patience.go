// Package patience estimates the read timeout for the rest of an answer once its head has arrived. It learns from the
// longest pause between reads inside answers that arrived complete. It never reads a clock: pauses are passed in, in
// the order of their answers.
//
// The estimate follows TCP's retransmission timeout (RFC 6298): a smoothed mean of the pauses plus four times their
// smoothed mean deviation. As there, a timeout that expired does not tell how long the pause would have been, so it
// doubles the next one (section 5.5) until an answer arrives complete again: otherwise a timeout that was once too
// short could never learn that it is.
package patience

import (
	"math"
	"time"
)

const (
	meanGain        = 0.125 // alpha of RFC 6298, section 2.3
	deviationGain   = 0.25  // beta of RFC 6298
	deviationFactor = 4     // K of RFC 6298
	maxDoublings    = 6     // doublings in a row; beyond 64 times the estimate only the upper limit matters
)

// Estimator learns one read timeout. The zero value is not usable; use New or Fixed.
type Estimator struct {
	minTimeout, maxTimeout time.Duration
	fixed                  time.Duration // configured timeout in place of the learned one; 0 means to learn
	mean, deviation        float64       // nanoseconds, as floats: integer rounding would never converge on pauses of a few
	hasSample              bool
	doublings              int
}

// New returns an estimator whose timeout is initial until it has learned, and always from minTimeout to maxTimeout.
func New(initial, minTimeout, maxTimeout time.Duration) *Estimator {
	return &Estimator{minTimeout: minTimeout, maxTimeout: maxTimeout, mean: float64(initial) / 3, deviation: float64(initial) / 6}
}

// Fixed returns an estimator whose timeout is constant.
func Fixed(wait time.Duration) *Estimator { return &Estimator{fixed: wait} }

// Timeout returns the timeout for the next bytes of an answer.
func (e *Estimator) Timeout() time.Duration {
	if e.fixed > 0 {
		return e.fixed
	}
	return min(max(time.Duration(math.Ceil(e.mean+deviationFactor*e.deviation)), e.minTimeout)<<e.doublings, e.maxTimeout)
}

// ObservePause records the longest pause of an answer that arrived complete and resets the doubling. Answers that
// needed no waiting are not recorded.
func (e *Estimator) ObservePause(pause time.Duration) {
	e.doublings = 0
	if !e.hasSample {
		e.hasSample, e.mean, e.deviation = true, float64(pause), float64(pause)/2 // RFC 6298, section 2.2
		return
	}
	difference := float64(pause) - e.mean
	e.deviation += deviationGain * (math.Abs(difference) - e.deviation)
	e.mean += meanGain * difference
}

// ObserveTimeout records that the timeout expired without a byte, and doubles the next one.
func (e *Estimator) ObserveTimeout() { e.doublings = min(e.doublings+1, maxDoublings) }
