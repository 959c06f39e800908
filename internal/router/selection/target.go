package selection

import (
	"time"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
)

// target is one incarnation of an instance with this router's knowledge of it.
type target struct {
	instance  *instances.Instance
	backend   *backend
	hash      uint64             // of the instance's id
	homeHash  uint64             // by which it ranks as a home of prefixes
	canBeHome bool               // it takes part in the ranking of homes
	cache     *prefixcache.Cache // nil: the backend caches no prefixes
	load      loadEstimate
	health    health
	own       ownRequests
	slowness  float64 // time to first byte relative to the backend's mean
	polling   pollState
	// streamRank is the position in the order in which streams prefer the backend's instances, from 0.
	streamRank int
}

// streamSetShare returns the degree to which the instance belongs to a stream set of the given size, from 0 to 1.
func (t *target) streamSetShare(size float64) float64 {
	return min(1, max(0, size-float64(t.streamRank)))
}

// homeShare returns the instance's expected number of homes, relative to an instance outside of the stream set.
func (t *target) homeShare() float64 {
	set := &t.backend.streamSet
	return 1 - (1-streamSetHomeShare)*set.separation*t.streamSetShare(set.size)
}

func newTarget(id string) *target {
	hash := prefixcache.HashName(id)
	return &target{hash: hash, homeHash: hash, canBeHome: true, slowness: 1}
}

const (
	slownessSampleWeight = 0.05
	minSlowness          = 0.5
	maxSlowness          = 4
)

// updateSlowness adds a request's time, relative to the backend's mean, to the slowness.
func (t *target) updateSlowness(timeMs, meanMs float64) {
	if meanMs <= 0 {
		return
	}
	ratio := min(max(timeMs/meanMs, minSlowness/2), 2*maxSlowness)
	t.slowness += slownessSampleWeight * (ratio - t.slowness)
	t.slowness = min(max(t.slowness, minSlowness), maxSlowness)
}

// ownRequests counts the requests that this router has in flight at an instance.
type ownRequests struct {
	waiting       int // before their first byte
	running       int // after their first byte
	pendingTokens int // uncached prompt tokens of the waiting requests
	// The same counts, low-pass filtered by reportLag, as a delayed report sees them.
	laggedWaiting  float64
	laggedInFlight float64
	laggedAt       time.Time
}

// reportLag is the age that a polled report may have when it arrives. The status pages of instances give a delay of
// some hundred milliseconds.
const reportLag = 300 * time.Millisecond

// advanceLagged moves the lagged counts towards the current ones. It must be called before each change of the counts.
func (o *ownRequests) advanceLagged(now time.Time) {
	share := 1 - decay(now.Sub(o.laggedAt), reportLag)
	o.laggedWaiting += share * (float64(o.waiting) - o.laggedWaiting)
	o.laggedInFlight += share * (float64(o.waiting+o.running) - o.laggedInFlight)
	o.laggedAt = now
}
