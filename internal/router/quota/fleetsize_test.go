package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFleetSizeFallsByThoseThatLeft(t *testing.T) {
	var size fleetSize
	size.observe(0, 11, 0)
	size.observe(time.Second, 9, 2)
	assert.Equal(t, size.routers(), 9)
	size.observe(2*time.Second, 10, 1) // one of the two returns
	assert.Equal(t, size.routers(), 10)
	size.observe(3*time.Second, 10, 0) // the other is no longer counted as having left
	assert.Equal(t, size.routers(), 10)
}

func TestFleetSizeHoldsWhileRoutersAreCutOff(t *testing.T) {
	var size fleetSize
	size.observe(0, 11, 0)
	size.observe(fullRateFor, 4, 0)
	assert.Equal(t, size.routers(), 11)
	size.observe(fullRateFor+time.Second, 3, 1)
	assert.Equal(t, size.routers(), 10)
	size.observe(2*fullRateFor, 3, 1)
	size.observe(3*fullRateFor, 3, 1)
	assert.Equal(t, size.routers(), 3)
}

func TestFleetSizeIsNeverBelowTheLiveRouters(t *testing.T) {
	var size fleetSize
	size.observe(0, 1, 0)
	size.observe(time.Second, 7, 4) // a restarted router learns late of those that left
	assert.Equal(t, size.routers(), 7)
}
