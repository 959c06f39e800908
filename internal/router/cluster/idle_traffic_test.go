package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIdleTraffic checks that the traffic that each router sends in an idle fleet doesn't grow with the size of the
// fleet.
func TestIdleTraffic(t *testing.T) {
	const (
		records            = 100
		span               = 4 * time.Second
		messagesPerSecond  = 16.0
		kilobytesPerSecond = 2.5
	)
	for _, size := range idleFleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, size, 4, 3)
				f.startAll()
				t.Logf("all agree after %v", f.eventually(time.Second, "start", f.converged))
				for i := range records {
					f.routers[1].publish(fmt.Sprintf("record-%04d", i), "value")
				}
				time.Sleep(unstableDuration + time.Second)
				assert.NilError(t, f.converged())
				f.resetCounts()
				time.Sleep(span)
				messages, bytes, outside := f.counts()
				perRouter := float64(size) * span.Seconds()
				t.Logf("each second and router: %.1f messages, %.0f bytes, %.0f of them to other zones",
					float64(messages)/perRouter, float64(bytes)/perRouter, float64(outside)/perRouter)
				assert.Assert(t, float64(messages)/perRouter < messagesPerSecond)
				assert.Assert(t, float64(bytes)/perRouter < kilobytesPerSecond*1000)
			})
		})
	}
}

// TestRecordCrossesZonesOnce bounds the bytes that publishing a large record costs between zones and in total.
func TestRecordCrossesZonesOnce(t *testing.T) {
	const size = 200_000
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 92, 4, 3)
		f.startAndSettle()
		time.Sleep(unstableDuration)
		const count = 10
		f.resetCounts()
		for i := range count {
			f.routers[5].publish("large", fmt.Sprint(i)+string(make([]byte, size)))
			time.Sleep(200 * time.Millisecond)
		}
		_, bytes, outside := f.counts()
		assert.Assert(t, outside < count*size*3*11/10, "%d bytes between zones", outside)
		assert.Assert(t, bytes < count*size*91*11/10, "%d bytes in all", bytes)
	})
}

func (f *fleet) resetCounts() {
	for _, r := range f.routers {
		r.endpoint.update(func(e *endpoint) { e.messages, e.bytes, e.crossZoneBytes = 0, 0, 0 })
	}
}

func (f *fleet) counts() (messages, bytes, outside int) {
	for _, r := range f.routers {
		r.endpoint.update(func(e *endpoint) {
			messages += e.messages
			bytes += e.bytes
			outside += e.crossZoneBytes
		})
	}
	return messages, bytes, outside
}
