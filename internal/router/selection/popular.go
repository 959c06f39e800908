package selection

import (
	"math"
	"time"

	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/sightings"
)

// A prefix that gets much of the requests would drown its home. It gets as many homes as its share of this router's requests of late
// is of all instances, so that each home gets no more of them than another instance gets of the rest.

const (
	// popularPeriod is the time within which all requests count, and twice that is when none counts any more.
	popularPeriod = time.Second
	// popularAtOnce is how many requests for one prefix may fall together by chance without giving it another home.
	popularAtOnce = 1
	// maxPopularKeys bounds the prefixes that are counted.
	maxPopularKeys = 1 << 12
)

// popularity counts a router's requests by the prefix that their homes follow from.
type popularity struct {
	byKey *sightings.Recent[prefixcache.Key]
	all   *sightings.Recent[struct{}]
}

func newPopularity() popularity {
	return popularity{
		byKey: sightings.NewRecent[prefixcache.Key](popularPeriod, maxPopularKeys),
		all:   sightings.NewRecent[struct{}](popularPeriod, maxPopularKeys),
	}
}

// note counts a request that has shared blocks. A further attempt of it is no other request.
func (p *popularity) note(request *Request) {
	key, ok := prefixcache.HomeKey(prefixcache.HashModel(request.Model), request.Prefix)
	if !ok || len(request.Excluded) > 0 {
		return
	}
	p.byKey.Add(request.Now, key)
	p.all.Add(request.Now, struct{}{})
}

// homes is the number of homes that a prefix needs among so many instances.
func (p *popularity) homes(now time.Time, key prefixcache.Key, instances int) int {
	repeated := p.byKey.Count(now, key) - popularAtOnce
	if repeated <= 0 {
		return 1
	}
	share := float64(repeated) / float64(p.all.Count(now, struct{}{}))
	return max(1, int(math.Ceil(share*float64(instances))))
}
