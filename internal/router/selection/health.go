package selection

import "time"

const (
	initialBackoff       = 300 * time.Millisecond // after a first failure to connect; doubles with each further one
	maxBackoff           = 3 * time.Second
	fullBackoff          = 150 * time.Millisecond // after a rejection
	errorSampleWeight    = 0.15                   // weight of one outcome in an instance's error rate
	minEjectionErrorRate = 0.5                    // error rate below which no instance is ejected
	ejectionErrorRatio   = 2.5                    // an ejected instance's error rate is at least this multiple of the others' mean
	initialEjection      = time.Second            // doubles with each further ejection
	maxEjection          = 8 * time.Second
	minStallTime         = 250 * time.Millisecond // least stall time
	stallTimeRatio       = 6                      // stall time as a multiple of the mean time to first byte
	defaultStallTime     = time.Second            // stall time before that mean is known
	maxDoublings         = 5                      // of a backoff or an ejection
)

// health is this router's own evidence of an instance's failures. It is not shared with other routers.
type health struct {
	wrongInstance    bool // another incarnation answered at its address
	unreachableUntil time.Time
	ejectedUntil     time.Time
	fullUntil        time.Time
	backoffs         int
	ejections        int
	errorRate        float64
	isHalfOpen       bool      // unproven since its last backoff: it is sent one request at a time
	lastAliveAt      time.Time // time of its last answer, or of the request that ended an idle period
}

// healthStatus ranks instances by their health. An instance of a higher status is sent requests only if there is none
// of a lower status.
type healthStatus int

const (
	statusUsable        healthStatus = iota
	statusSuspect                    // ejected or stalled
	statusFull                       // rejected a request recently
	statusUnreachable                // backing off, or half-open with a request waiting
	statusWrongInstance              // never picked
)

func (t *target) healthStatus(now time.Time) healthStatus {
	h := &t.health
	switch {
	case h.wrongInstance:
		return statusWrongInstance
	case now.Before(h.unreachableUntil):
		return statusUnreachable
	case h.isHalfOpen && t.own.waiting > 0:
		return statusUnreachable
	case now.Before(h.fullUntil):
		return statusFull
	case now.Before(h.ejectedUntil), t.isStalled(now):
		return statusSuspect
	}
	return statusUsable
}

// isStalled reports whether requests are waiting at the instance and it has shown no sign of life for the stall time.
func (t *target) isStalled(now time.Time) bool {
	return t.own.waiting > 0 && now.Sub(t.health.lastAliveAt) > t.backend.stallTime()
}

// stallTime returns the silence after which an instance with waiting requests is suspect.
func (b *backend) stallTime() time.Duration {
	if b.firstByteMs.count < 1/minSampleWeight {
		return defaultStallTime
	}
	return max(minStallTime, fromMilliseconds(stallTimeRatio*b.firstByteMs.value))
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// noteAlive records a sign of life, which ends a backoff and resets its length.
func (h *health) noteAlive(now time.Time) {
	h.lastAliveAt = now
	h.unreachableUntil = time.Time{}
	h.backoffs = 0
	h.isHalfOpen = false
}

// backOff marks the instance as unreachable for a time that doubles with each failure, up to maxBackoff. Failures
// during a backoff do not count, so that requests that fail together count once.
func (h *health) backOff(now time.Time) {
	if now.Before(h.unreachableUntil) {
		return
	}
	h.unreachableUntil = now.Add(min(initialBackoff<<min(h.backoffs, maxDoublings), maxBackoff))
	h.backoffs++
	h.isHalfOpen = true
}

// updateErrorRate adds an outcome to the error rate. A failure ejects the instance for a while if its error rate stands
// out from the other instances'.
func (t *target) updateErrorRate(now time.Time, failed bool) {
	h := &t.health
	sample := 0.0
	if failed {
		sample = 1
	}
	h.errorRate += errorSampleWeight * (sample - h.errorRate)
	if !failed {
		if h.errorRate < minEjectionErrorRate/4 {
			h.ejections = 0
		}
		return
	}
	if h.errorRate < minEjectionErrorRate || h.errorRate < ejectionErrorRatio*t.backend.meanErrorRateExcept(t) {
		return
	}
	h.ejectedUntil = now.Add(min(initialEjection<<min(h.ejections, maxDoublings), maxEjection))
	h.ejections++
	h.errorRate = 0
}

// meanErrorRateExcept returns the mean error rate of the backend's other instances, 0 if there are none.
func (b *backend) meanErrorRateExcept(excluded *target) float64 {
	sum, count := 0.0, 0
	for _, other := range b.targets {
		if other != excluded {
			sum += other.health.errorRate
			count++
		}
	}
	return sum / float64(max(1, count))
}
