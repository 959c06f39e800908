package commonprefix

import (
	"cmp"
	"slices"
	"time"

	"pewterrudder/internal/router/prefixcache"
)

// Report holds the counts of one router.
type Report struct {
	Seed     uint64    `msgpack:"s"`
	Totals   []Total   `msgpack:"t"`
	Prefixes []Counted `msgpack:"p"`
}

// Total is the weight of all requests to a backend: their prompt tokens, with exponential decay.
type Total struct {
	_msgpack struct{} `msgpack:",as_array"`
	Backend  string
	Weight   float32
}

// Counted is the decayed count and weight of a tenant's requests with a prefix.
type Counted struct {
	_msgpack struct{} `msgpack:",as_array"`
	Tenant   string
	Backend  string
	Key      Key
	Home     prefixcache.Key
	Tokens   int
	Count    float32 // number of requests
	Weight   float32
}

func sortByWeight(list []Counted) {
	slices.SortFunc(list, func(a, b Counted) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Tenant, b.Tenant))
	})
}

// ReportVersion orders the reports of one router: by the router's incarnation, then by sequence number.
type ReportVersion struct {
	Incarnation uint64 `msgpack:"i"`
	Sequence    uint64 `msgpack:"n"`
}

// IsAfter reports whether v is later than other.
func (v ReportVersion) IsAfter(other ReportVersion) bool {
	return cmp.Or(cmp.Compare(v.Incarnation, other.Incarnation), cmp.Compare(v.Sequence, other.Sequence)) > 0
}

// reportLifetime is how long a router's latest report counts if no newer one arrives.
const reportLifetime = 3 * decayTime

// Merger holds the latest report of each router.
type Merger struct {
	reports map[string]receivedReport
}

type receivedReport struct {
	version    ReportVersion
	receivedAt time.Duration
	report     Report
}

// NewMerger returns a merger without reports.
func NewMerger() *Merger { return &Merger{reports: map[string]receivedReport{}} }

// Update replaces a router's report with a newer one. Reports that arrive late or twice are ignored.
func (m *Merger) Update(now time.Duration, router string, version ReportVersion, report Report) {
	if known, ok := m.reports[router]; ok && !version.IsAfter(known.version) {
		return
	}
	m.reports[router] = receivedReport{version: version, receivedAt: now, report: report}
}

// Merge returns the sum of the reports whose keys were computed with the given seed. It deletes expired reports.
func (m *Merger) Merge(now time.Duration, seed uint64) FleetCounts {
	counts := FleetCounts{Totals: map[string]float64{}, Prefixes: map[TenantKey]FleetPrefix{}}
	for router, received := range m.reports {
		if now-received.receivedAt > reportLifetime {
			delete(m.reports, router)
			continue
		}
		if received.report.Seed == seed {
			counts.add(&received.report)
		}
	}
	return counts
}

// TenantKey identifies a prefix of a tenant.
type TenantKey struct {
	Tenant string
	Key    Key
}

// FleetPrefix is a prefix with the decayed count and weight of a tenant's requests at all routers.
type FleetPrefix struct {
	Backend string
	Home    prefixcache.Key
	Tokens  int
	Count   float64
	Weight  float64
}

// FleetCounts is the sum of the reports of all routers. Totals is the weight of all requests by backend.
type FleetCounts struct {
	Totals   map[string]float64
	Prefixes map[TenantKey]FleetPrefix
}

func (c *FleetCounts) add(report *Report) {
	for _, total := range report.Totals {
		c.Totals[total.Backend] += float64(total.Weight)
	}
	for _, counted := range report.Prefixes {
		tenantKey := TenantKey{Tenant: counted.Tenant, Key: counted.Key}
		sum := c.Prefixes[tenantKey]
		sum.Backend, sum.Home = counted.Backend, counted.Home
		sum.Tokens = max(sum.Tokens, counted.Tokens)
		sum.Count += float64(counted.Count)
		sum.Weight += float64(counted.Weight)
		c.Prefixes[tenantKey] = sum
	}
}
