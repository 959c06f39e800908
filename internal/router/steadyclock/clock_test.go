package steadyclock

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fakeMachine provides a second clock that is ahead of the monotonic one by the time of the simulated suspensions.
type fakeMachine struct {
	booted    time.Time
	suspended time.Duration
	readDelay time.Duration // between reading the second clock and returning
	broken    bool
	reads     int
}

func (m *fakeMachine) read() (time.Duration, bool) {
	m.reads++
	reading := time.Since(m.booted) + m.suspended
	time.Sleep(m.readDelay)
	return reading, !m.broken
}

func newFakeMachine() (*fakeMachine, *Clock) {
	m := &fakeMachine{booted: time.Now().Add(-time.Hour)}
	return m, NewWithSource(m.read)
}

func TestClockCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, clock := newFakeMachine()
		time.Sleep(time.Second)
		assert.Equal(t, clock.Now(), time.Second)
		m.suspended += 10 * time.Second
		time.Sleep(SampleEvery)
		assert.Equal(t, clock.Now(), 11*time.Second+SampleEvery)
		m.suspended += time.Minute
		time.Sleep(time.Second)
		assert.Equal(t, clock.Now(), 72*time.Second+SampleEvery)
		assert.Equal(t, clock.Suspended(), 70*time.Second)
		assert.Equal(t, clock.At(time.Now().Add(-time.Second)), 71*time.Second+SampleEvery)
	})
}

func TestDelayBetweenReadingsIsNotSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, clock := newFakeMachine()
		m.readDelay = 3 * time.Second
		time.Sleep(time.Second)
		assert.Equal(t, clock.Now(), 4*time.Second)
		assert.Equal(t, clock.Suspended(), time.Duration(0))
	})
}

func TestClockNeverGoesBackwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, clock := newFakeMachine()
		m.suspended = time.Minute
		time.Sleep(time.Second)
		before := clock.Now()
		m.suspended = 0
		time.Sleep(time.Second)
		assert.Equal(t, clock.Now(), before+time.Second)
	})
}

func TestClockWithoutSecondClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMachine{booted: time.Now(), suspended: time.Minute, broken: true}
		clock := NewWithSource(m.read)
		time.Sleep(time.Second)
		assert.Equal(t, clock.Now(), time.Second)
		assert.Equal(t, m.reads, 1)
		assert.Equal(t, Monotonic().Now(), time.Duration(0))
	})
}

func TestSecondClockIsSampled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, clock := newFakeMachine()
		for range 1000 {
			time.Sleep(time.Millisecond)
			clock.Now()
		}
		assert.Equal(t, m.reads, 1+int(time.Second/SampleEvery))
	})
}

func TestKernelClocksAgreeWhileRunning(t *testing.T) {
	clock := New()
	assert.Assert(t, clock.source != nil, "CLOCK_BOOTTIME is not available")
	for clock.Now() < 2*SampleEvery {
	}
	assert.Assert(t, clock.Suspended() < time.Millisecond, "%v", clock.Suspended())
}
