package retrybudget

import "time"

// slotCount is the number of slots into which a window is divided.
const slotCount = 20

// slidingCount counts the events within the last window, by slots of equal duration. The oldest slot is only partly
// within the window: upperBound includes it as a whole, and lowerBound leaves it out.
type slidingCount struct {
	slotDuration time.Duration
	counts       [slotCount + 1]float64
	currentSlot  int64
	total        float64
}

func newSlidingCount(window time.Duration) slidingCount {
	return slidingCount{slotDuration: max(1, window/slotCount)}
}

func (s *slidingCount) add(now time.Duration) {
	s.advance(now)
	s.counts[s.index(s.currentSlot)]++
	s.total++
}

// upperBound returns an upper bound of the number of events within the last window.
func (s *slidingCount) upperBound(now time.Duration) float64 {
	s.advance(now)
	return s.total
}

// lowerBound returns a lower bound of the number of events within the last window.
func (s *slidingCount) lowerBound(now time.Duration) float64 {
	s.advance(now)
	return s.total - s.counts[s.index(s.currentSlot+1)]
}

func (s *slidingCount) advance(now time.Duration) {
	target := int64(now / s.slotDuration)
	if target-s.currentSlot > slotCount {
		s.counts = [slotCount + 1]float64{}
		s.total = 0
		s.currentSlot = target
		return
	}
	for s.currentSlot < target {
		s.currentSlot++
		index := s.index(s.currentSlot)
		s.total -= s.counts[index]
		s.counts[index] = 0
	}
}

func (s *slidingCount) index(slot int64) int { return int(slot % (slotCount + 1)) }
