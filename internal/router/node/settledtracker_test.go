package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// runSettledTracker runs a new settledTracker with the given epoch for a while, like one process, and returns it.
func runSettledTracker(t *testing.T, directory string, epoch *uint64, span time.Duration) *settledTracker {
	t.Helper()
	s := &settledTracker{currentEpoch: func() (uint64, bool) { return *epoch, true }}
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	s.run(ctx, directory, logrus.New())
	return s
}

func TestSettledEpochSurvivesRestart(t *testing.T) {
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		epoch := uint64(2)
		assert.Assert(t, !runSettledTracker(t, directory, &epoch, acceptorSettleTime/2).isSettled())
		assert.Assert(t, !runSettledTracker(t, directory, &epoch, acceptorSettleTime/2).isSettled(), "two short runs must not add up to the settle time")
		assert.Assert(t, runSettledTracker(t, directory, &epoch, 2*acceptorSettleTime).isSettled())
		again := runSettledTracker(t, directory, &epoch, settledPollInterval/2)
		assert.Assert(t, again.isSettled())
		epoch = 4
		assert.Assert(t, !again.isSettled(), "a new set must not count as settled")
		epoch = 0
		assert.Assert(t, again.isSettled(), "the first set has no predecessor")
	})
}

func TestSettledTrackerWithoutDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := uint64(2)
		assert.Assert(t, runSettledTracker(t, "/dev/null/none", &epoch, 2*acceptorSettleTime).isSettled())
		assert.Assert(t, !runSettledTracker(t, "/dev/null/none", &epoch, settledPollInterval/2).isSettled())
	})
}

func TestStabilityTimerRestartsAfterUnknownSet(t *testing.T) {
	var watch stabilityTimer
	start := time.Now()
	assert.Assert(t, !watch.observe(start, 2, true))
	assert.Assert(t, !watch.observe(start.Add(acceptorSettleTime-1), 2, true))
	assert.Assert(t, watch.observe(start.Add(acceptorSettleTime), 2, true))
	assert.Assert(t, !watch.observe(start.Add(2*acceptorSettleTime), 2, false))
	assert.Assert(t, !watch.observe(start.Add(3*acceptorSettleTime-1), 2, true))
	assert.Assert(t, !watch.observe(start.Add(3*acceptorSettleTime), 2, true))
}
