// Package steadyclock measures the time since the start of a process, including time for which the machine was suspended.
//
// The monotonic clock of the Go runtime stops while the machine is suspended, so a lease timed by it alone would
// outlive its expiry. CLOCK_BOOTTIME, a second clock of the kernel, keeps running. A Clock compares the two: the amount
// by which the second clock has gained on the first is the time for which the machine was suspended. If the second
// clock cannot be read, suspensions are not detected and count as zero. The same holds when a host pauses a virtual
// machine, because both clocks stop then.
package steadyclock

import (
	"sync"
	"time"
)

// SampleEvery is the longest time for which a suspension may go undetected after its end, counted while the process runs.
// Users of the clock must allow for a larger error than this.
const SampleEvery = 20 * time.Millisecond

// Source reads a clock that advances while the machine is suspended, and reports whether it could be read.
type Source func() (time.Duration, bool)

// Clock measures the time since its creation. Its methods are safe for concurrent use.
type Clock struct {
	started time.Time
	source  Source

	mu         sync.Mutex
	sourceBase time.Duration // reading of source at the start
	lastSample time.Duration // monotonic time since the start at which source was last read
	suspended  time.Duration
}

// New returns a clock that detects suspensions with CLOCK_BOOTTIME.
func New() *Clock { return newClock(time.Now(), readBootTime) }

// NewWithSource returns a clock that detects suspensions with the given source.
func NewWithSource(source Source) *Clock { return newClock(time.Now(), source) }

// Monotonic returns a clock that does not detect suspensions.
func Monotonic() *Clock {
	return newClock(time.Now(), func() (time.Duration, bool) { return 0, false })
}

// newClock returns a clock that started at the given moment, which the caller has just read.
func newClock(started time.Time, source Source) *Clock {
	c := &Clock{started: started, source: source}
	base, ok := source()
	if !ok {
		c.source = nil
		return c
	}
	c.sourceBase = base
	return c
}

// Now returns the time since the start, including suspensions detected so far.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := time.Since(c.started)
	if c.source != nil && running-c.lastSample >= SampleEvery {
		running = c.sampleLocked()
	}
	return running + c.suspended
}

// At converts a recent reading of the runtime's clock to the time since the start.
func (c *Clock) At(moment time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return moment.Sub(c.started) + c.suspended
}

// Suspended returns the total time of the suspensions detected so far.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// sampleLocked compares the clocks and returns the reading of the monotonic one. The source is read first, so that a delay
// between the two readings is not mistaken for a suspension. The total of suspensions never decreases. The caller holds c.mu.
func (c *Clock) sampleLocked() time.Duration {
	reading, ok := c.source()
	running := time.Since(c.started)
	c.lastSample = running
	if ok {
		c.suspended = max(c.suspended, reading-c.sourceBase-running)
	}
	return running
}
