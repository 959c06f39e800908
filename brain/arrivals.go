package brain

import (
	"math"
	"time"
)

// tenantRetention is the minimum time that a tenant's count is kept after its last arrival. By then it has decayed by a
// factor of e to the 20th and affects no decision.
const tenantRetention = 60 * time.Second

// arrivalCounts holds exponentially decaying counts of the arrivals of recently active tenants. Counts decay with the
// time of the last ranking, like the other smoothed values of a node, and only when they are read or increased.
// quotaWeight (shedding.go) uses them. The zero value is empty.
type arrivalCounts struct {
	current, previous map[int]arrivalCount // an arrival moves a count to current; previous is dropped as a whole
	currentSince      time.Duration        // when current was created
}

// arrivalCount is the decaying arrival count of one tenant.
type arrivalCount struct {
	count float64
	at    time.Duration // time of the ranking as of which count is valid
}

// countAt returns a tenant's count as of a ranking.
func (c *arrivalCounts) countAt(tenant int, ranked time.Duration) float64 {
	a, ok := c.current[tenant]
	if !ok {
		a = c.previous[tenant]
	}
	return a.count * math.Exp(-(ranked-a.at).Seconds()/tenantDecay)
}

// add counts an arrival as of a ranking.
func (c *arrivalCounts) add(tenant int, ranked time.Duration) {
	if c.current == nil || ranked-c.currentSince >= tenantRetention {
		c.current, c.previous, c.currentSince = map[int]arrivalCount{}, c.current, ranked
	}
	c.current[tenant] = arrivalCount{c.countAt(tenant, ranked) + 1, ranked}
}
