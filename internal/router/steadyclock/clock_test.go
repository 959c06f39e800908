package steadyclock

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// machine has a second clock, which is ahead of the monotonic one by the time for which the machine was suspended.
type machine struct {
	booted    time.Time
	suspended time.Duration
	pause     time.Duration // between the second clock's reading and its end
	broken    bool
	reads     int
}

func (m *machine) read() (time.Duration, bool) {
	m.reads++
	reading := time.Since(m.booted) + m.suspended
	time.Sleep(m.pause)
	return reading, !m.broken
}

func newMachine() (*machine, *Clock) {
	m := &machine{booted: time.Now().Add(-time.Hour)}
	return m, NewWithSource(m.read)
}

func TestClockCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, clock := newMachine()
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

func TestPauseBetweenReadingsIsNoSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, clock := newMachine()
		m.pause = 3 * time.Second
		time.Sleep(time.Second)
		assert.Equal(t, clock.Now(), 4*time.Second)
		assert.Equal(t, clock.Suspended(), time.Duration(0))
	})
}

func TestClockNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, clock := newMachine()
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
		m := &machine{booted: time.Now(), suspended: time.Minute, broken: true}
		clock := NewWithSource(m.read)
		time.Sleep(time.Second)
		assert.Equal(t, clock.Now(), time.Second)
		assert.Equal(t, m.reads, 1)
		assert.Equal(t, Monotonic().Now(), time.Duration(0))
	})
}

func TestSecondClockIsReadNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, clock := newMachine()
		for range 1000 {
			time.Sleep(time.Millisecond)
			clock.Now()
		}
		assert.Equal(t, m.reads, 1+int(time.Second/SampleEvery))
	})
}

func TestKernelClocksAgreeWhileTheMachineRuns(t *testing.T) {
	clock := New()
	assert.Assert(t, clock.source != nil, "no CLOCK_BOOTTIME here")
	for clock.Now() < 2*SampleEvery {
	}
	assert.Assert(t, clock.Suspended() < time.Millisecond, "%v", clock.Suspended())
}
