package selection

import (
	"time"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
)

// target is one incarnation of an instance, as this router sees it.
type target struct {
	instance *instances.Instance
	backend  *backend
	hash     uint64
	homeHash uint64             // by which prefixes are ranked
	isHome   bool               // it has a rank for prefixes
	cache    *prefixcache.Cache // nil: the backend keeps no prefixes
	load     loadEstimate
	health   health
	own      ownRequests
	slowness float64 // its time for a request against the backend's mean
	polling  pollState
	// streamRank is its place in the rank by which streams prefer the backend's instances.
	streamRank int
}

// streamShare is how far the instance belongs to a stream set of the given size: 1 wholly, 0 not at all.
func (t *target) streamShare(size float64) float64 {
	return min(1, max(0, size-float64(t.streamRank)))
}

// homeShare is its share of the homes of prefixes against that of an instance outside of the stream set.
func (t *target) homeShare() float64 {
	streams := &t.backend.streams
	return 1 - (1-streamSetHomes)*streams.worth*t.streamShare(streams.size)
}

func newTarget(id string) *target {
	hash := prefixcache.HashModel(id)
	return &target{hash: hash, homeHash: hash, isHome: true, slowness: 1}
}

const (
	slownessStep = 0.05
	minSlowness  = 0.5
	maxSlowness  = 4
)

// noteTime compares the time of a request with the backend's mean.
func (t *target) noteTime(timeMs, meanMs float64) {
	if meanMs <= 0 {
		return
	}
	ratio := min(max(timeMs/meanMs, minSlowness/2), 2*maxSlowness)
	t.slowness += slownessStep * (ratio - t.slowness)
	t.slowness = min(max(t.slowness, minSlowness), maxSlowness)
}

// ownRequests counts the requests that this router has under way at an instance.
type ownRequests struct {
	waiting       int // without a first byte yet
	running       int
	pendingTokens int // prompt tokens of the waiting ones that had to be read
	// The same counts as a report sees them that lags behind.
	seenWaiting float64
	seenHeld    float64
	seenAt      time.Time
}

// reportLag is the time by which a polled report may be older than its arrival; pages of instances speak of some
// hundred milliseconds.
const reportLag = 300 * time.Millisecond

// advance moves the lagging counts towards the present ones. It comes before each change of the counts.
func (o *ownRequests) advance(now time.Time) {
	share := 1 - decay(now.Sub(o.seenAt), reportLag)
	o.seenWaiting += share * (float64(o.waiting) - o.seenWaiting)
	o.seenHeld += share * (float64(o.waiting+o.running) - o.seenHeld)
	o.seenAt = now
}
