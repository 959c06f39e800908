// Package steadyclock measures the time since a process's start, the time for which its machine was suspended included.
//
// The monotonic clock of the runtime stands still while a machine sleeps, so that a lease which is counted by it alone outlives its
// end. The kernel has a second clock that goes on (CLOCK_BOOTTIME). A Clock compares the two: what the second one has gained on the
// first is the time for which the machine was suspended. Where the second clock can't be read, that time is not known and counts as
// zero; nor is it known of a virtual machine whose host has paused it, since both clocks stand still then.
package steadyclock

import (
	"sync"
	"time"
)

// SampleEvery bounds how long a suspension may stay unnoticed after its end, in time for which the process runs. Whoever relies on the
// clock leaves a margin of more than that.
const SampleEvery = 20 * time.Millisecond

// Source reads a clock that goes on while the machine is suspended; false: it can't be read.
type Source func() (time.Duration, bool)

// Clock measures the time since it was made. Its methods may be called from any goroutine.
type Clock struct {
	started time.Time
	source  Source

	mu        sync.Mutex
	base      time.Duration // reading of the source at the start
	sampledAt time.Duration // by the monotonic clock, since the start
	suspended time.Duration
}

// New returns a clock that reads the kernel's clocks.
func New() *Clock { return newClock(time.Now(), readBootTime) }

// NewWithSource returns a clock that compares the monotonic clock with another one than the kernel's.
func NewWithSource(source Source) *Clock { return newClock(time.Now(), source) }

// Monotonic returns a clock that knows of no suspension.
func Monotonic() *Clock {
	return newClock(time.Now(), func() (time.Duration, bool) { return 0, false })
}

// newClock starts a clock at a moment that was read just before.
func newClock(started time.Time, source Source) *Clock {
	c := &Clock{started: started, source: source}
	base, ok := source()
	if !ok {
		c.source = nil
		return c
	}
	c.base = base
	return c
}

// Now returns the time since the start.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := time.Since(c.started)
	if c.source != nil && running-c.sampledAt >= SampleEvery {
		running = c.sample()
	}
	return running + c.suspended
}

// At returns the time at a moment that was read lately from the runtime's clock.
func (c *Clock) At(moment time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return moment.Sub(c.started) + c.suspended
}

// Suspended returns the time for which the machine was suspended, as far as it is known.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// sample compares the clocks and returns the reading of the monotonic one. The source is read first, so that a pause between the two
// readings is not taken for a suspension; the sum of suspensions never falls.
func (c *Clock) sample() time.Duration {
	reading, ok := c.source()
	running := time.Since(c.started)
	c.sampledAt = running
	if ok {
		c.suspended = max(c.suspended, reading-c.base-running)
	}
	return running
}
