package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// eventList is a simple, slow implementation of slidingCount: the times of all events.
type eventList []time.Duration

// within returns the number of events within a span that ends at now.
func (p eventList) within(now, span time.Duration) float64 {
	count := 0.0
	for _, at := range p {
		if at <= now && at > now-span {
			count++
		}
	}
	return count
}

// TestSlidingCount compares the bounds with a list of all events.
func TestSlidingCount(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(draw *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(draw, "seed"), 0))
		count := newSlidingCount(window)
		var events eventList
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(random.Int64N(int64(300 * time.Millisecond)))
			if random.IntN(100) == 0 {
				now += 2 * window
			}
			if random.IntN(2) == 0 {
				count.add(now)
				events = append(events, now)
			}
			upper, lower := count.upperBound(now), count.lowerBound(now)
			assert.Assert(draw, upper >= events.within(now, window))
			assert.Assert(draw, upper <= events.within(now, window+window/slotCount))
			assert.Assert(draw, lower <= events.within(now, window))
			assert.Assert(draw, lower >= events.within(now, window-window/slotCount))
		}
	})
}
