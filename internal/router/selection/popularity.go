package selection

import (
	"math"
	"time"

	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/sightings"
)

// A prefix with a large share of the requests would overload a single home. So its share of the instances as homes
// equals its share of this router's recent requests; then a home gets no more of these requests than another instance
// gets of the rest.

const (
	// popularityPeriod is the age up to which a request always counts; from twice that age on it never does.
	popularityPeriod = time.Second
	// maxChanceRepeats is the number of requests for one prefix that may coincide by chance and do not count.
	maxChanceRepeats = 1
	// maxPopularityKeys limits the prefixes that are counted.
	maxPopularityKeys = 1 << 12
)

// popularity counts this router's recent requests by the key that determines a prompt's homes.
type popularity struct {
	byKey *sightings.WindowCounter[prefixcache.Key]
	all   *sightings.WindowCounter[struct{}]
}

func newPopularity() popularity {
	return popularity{
		byKey: sightings.NewWindowCounter[prefixcache.Key](popularityPeriod, maxPopularityKeys),
		all:   sightings.NewWindowCounter[struct{}](popularityPeriod, maxPopularityKeys),
	}
}

// record counts a request if it has shared blocks. Retries do not count.
func (p *popularity) record(request *Request) {
	key, ok := prefixcache.HomeKey(prefixcache.HashName(request.Model), request.Prefix)
	if !ok || len(request.Excluded) > 0 {
		return
	}
	p.byKey.Add(request.Now, key)
	p.all.Add(request.Now, struct{}{})
}

// homeCount returns the number of homes that a prefix needs among the given number of instances, at least 1.
func (p *popularity) homeCount(now time.Time, key prefixcache.Key, instances int) int {
	repeated := p.byKey.Count(now, key) - maxChanceRepeats
	if repeated <= 0 {
		return 1
	}
	share := float64(repeated) / float64(p.all.Count(now, struct{}{}))
	return max(1, int(math.Ceil(share*float64(instances))))
}
