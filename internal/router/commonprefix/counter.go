package commonprefix

import (
	"maps"
	"math"
	"slices"
	"time"

	"pewterrudder/internal/router/prefixcache"
)

const (
	// maxCountedPrefixes is the number of prefixes that a router counts, divided among the tenants by quota.
	maxCountedPrefixes = 512
	// maxReportedPrefixes is the maximum number of prefixes in a report.
	maxReportedPrefixes = 64
	// maxTenants is the maximum number of tenants whose prefixes a router counts.
	maxTenants = 512
	// decayTime is the time in which counts and weights decay to 1/e of their value.
	decayTime = 8 * time.Second
	// minWeight is the weight in tokens below which a total is deleted and a prefix is not reported.
	minWeight = 1.0
)

// Request holds the properties of a request that are counted.
type Request struct {
	Tenant       string
	Backend      string
	Model        string
	PromptTokens int
	Prefix       []prefixcache.Block
}

// Counter counts the prefixes of the requests that one router sends.
type Counter struct {
	seed      uint64
	quotas    Quotas
	decayedAt time.Duration
	tenants   map[string]*summary
	totals    map[string]float64 // decayed prompt tokens by backend
}

// NewCounter returns a counter that computes keys with the fleet's seed.
func NewCounter(seed uint64, quotas Quotas) *Counter {
	return &Counter{
		seed:    seed,
		quotas:  quotas,
		tenants: map[string]*summary{},
		totals:  map[string]float64{},
	}
}

// SetQuotas sets the quotas and resizes the tenants' summaries accordingly.
func (c *Counter) SetQuotas(quotas Quotas) {
	c.quotas = quotas
	for tenant, summary := range c.tenants {
		summary.resize(quotas.Portion(tenant, maxCountedPrefixes))
	}
}

// Count counts a request by its shared blocks. The last block, which is unique to the request or its session, is not
// part of the prefix.
func (c *Counter) Count(request *Request) {
	shared := prefixcache.SharedBlocks(request.Prefix)
	weight := float64(max(request.PromptTokens, prefixcache.TotalTokens(request.Prefix)))
	if weight <= 0 {
		return
	}
	c.totals[request.Backend] += weight
	if len(shared) == 0 {
		return
	}
	summary := c.summaryOf(request.Tenant)
	if summary == nil {
		return
	}
	home, _ := prefixcache.HomeKey(prefixcache.HashName(request.Model), request.Prefix)
	summary.add(entry{
		key:     Hash(c.seed, request.Backend, request.Model, shared),
		backend: request.Backend,
		home:    home,
		tokens:  prefixcache.TotalTokens(shared),
		count:   1,
		weight:  weight,
	})
}

func (c *Counter) summaryOf(tenant string) *summary {
	known := c.tenants[tenant]
	if known == nil && len(c.tenants) < maxTenants {
		known = newSummary(c.quotas.Portion(tenant, maxCountedPrefixes))
		c.tenants[tenant] = known
	}
	return known
}

// decay reduces all counts and weights according to the time since the last call.
func (c *Counter) decay(now time.Duration) {
	elapsed := now - c.decayedAt
	if elapsed <= 0 {
		return
	}
	c.decayedAt = now
	factor := math.Exp(-float64(elapsed) / float64(decayTime))
	for _, summary := range c.tenants {
		summary.decay(factor)
	}
	for backend := range c.totals {
		c.totals[backend] *= factor
	}
	maps.DeleteFunc(c.totals, func(_ string, total float64) bool { return total < minWeight })
}

// Report returns the heaviest prefixes. The number of prefixes of a tenant is limited by its quota.
func (c *Counter) Report(now time.Duration) Report {
	c.decay(now)
	report := Report{Seed: c.seed}
	for _, backend := range slices.Sorted(maps.Keys(c.totals)) {
		report.Totals = append(report.Totals, Total{Backend: backend, Weight: float32(c.totals[backend])})
	}
	for _, tenant := range slices.Sorted(maps.Keys(c.tenants)) {
		report.Prefixes = append(report.Prefixes, c.heaviest(tenant)...)
	}
	sortByWeight(report.Prefixes)
	report.Prefixes = report.Prefixes[:min(len(report.Prefixes), maxReportedPrefixes)]
	return report
}

// heaviest lists a tenant's heaviest prefixes by the lower bound of their weight: weight that may be inherited from an
// evicted prefix doesn't count.
func (c *Counter) heaviest(tenant string) []Counted {
	var list []Counted
	for _, counted := range c.tenants[tenant].heap {
		if weight := counted.weight - counted.overestimate; weight >= minWeight {
			list = append(list, Counted{
				Tenant:  tenant,
				Backend: counted.backend,
				Key:     counted.key,
				Home:    counted.home,
				Tokens:  counted.tokens,
				Count:   float32(counted.count),
				Weight:  float32(weight),
			})
		}
	}
	sortByWeight(list)
	return list[:min(len(list), c.quotas.Portion(tenant, maxReportedPrefixes))]
}
