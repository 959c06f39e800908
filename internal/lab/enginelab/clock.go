package enginelab

import (
	"time"

	"pewterrudder/internal/lab/timeline"
)

// clock is the virtual time of a run.
type clock struct{ *timeline.Virtual }

// newClock makes a clock at 0 that runs what is due at the same moment in the order in which it was put in.
func newClock() clock { return clock{timeline.NewVirtual(0)} }

// after runs a function once the given time has passed.
func (c clock) after(wait time.Duration, run func()) { c.After(wait, timeline.Func(run)) }

// every runs a function now and after each further period.
func (c clock) every(period time.Duration, run func()) {
	run()
	c.after(period, func() { c.every(period, run) })
}
