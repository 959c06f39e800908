package commonprefix

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/prefixcache"
)

const (
	testSeed         = 7
	testPromptTokens = 1000
)

// requestOf returns a request with two shared blocks and a unique one.
func requestOf(tenant string, shared, unique uint64) *Request {
	return &Request{
		Tenant:       tenant,
		Backend:      "service",
		Model:        "m",
		PromptTokens: testPromptTokens,
		Prefix:       []prefixcache.Block{{ID: 1, Tokens: 300}, {ID: shared, Tokens: 400}, {ID: unique, Tokens: 300}},
	}
}

func keyOf(shared uint64) Key {
	return Hash(testSeed, "service", "m", []prefixcache.Block{{ID: 1}, {ID: shared}})
}

// reportedWeight returns the reported weight of a tenant's prefix.
func reportedWeight(report Report, tenant string, key Key) float64 {
	at := slices.IndexFunc(report.Prefixes, func(c Counted) bool { return c.Tenant == tenant && c.Key == key })
	if at < 0 {
		return 0
	}
	return float64(report.Prefixes[at].Weight)
}

func TestUniqueBlocksAreNotCounted(t *testing.T) {
	counter := NewCounter(testSeed, Quotas{"a": 1})
	for unique := range uint64(50_000) {
		counter.Count(requestOf("a", 2, 1000+unique))
	}
	report := counter.Report(0)
	assert.Equal(t, len(report.Prefixes), 1)
	assert.Equal(t, reportedWeight(report, "a", keyOf(2)), 50_000.0*testPromptTokens)
	assert.Equal(t, report.Prefixes[0].Tokens, 700)
}

func TestManyPrefixesOfOneTenantDoNotDisplaceThoseOfAnother(t *testing.T) {
	counter := NewCounter(testSeed, Quotas{"small": 1, "flood": 9})
	for i := range uint64(20_000) {
		counter.Count(requestOf("flood", 1000+i%5000, i))
		if i%200 == 0 {
			counter.Count(requestOf("small", 2, i))
		}
	}
	report := counter.Report(0)
	assert.Assert(t, len(report.Prefixes) <= maxReportedPrefixes)
	assert.Equal(t, reportedWeight(report, "small", keyOf(2)), 100.0*testPromptTokens)
}

func TestManyPrefixesOfATenantDoNotHideItsCommonOne(t *testing.T) {
	counter := NewCounter(testSeed, Quotas{"a": 1})
	for i := range uint64(40_000) {
		shared := 1000 + i
		if i%20 == 0 {
			shared = 2
		}
		counter.Count(requestOf("a", shared, i))
	}
	assert.Equal(t, reportedWeight(counter.Report(0), "a", keyOf(2)), 2000.0*testPromptTokens)
}

func TestCountsDecay(t *testing.T) {
	counter := NewCounter(testSeed, Quotas{"a": 1})
	counter.Count(requestOf("a", 2, 3))
	counter.Report(0)
	decayed := counter.Report(decayTime)
	assert.Assert(t, reportedWeight(decayed, "a", keyOf(2)) < testPromptTokens*0.4)
	gone := counter.Report(100 * decayTime)
	assert.Equal(t, len(gone.Prefixes)+len(gone.Totals), 0)
}

func TestMemoryIsBounded(t *testing.T) {
	counter := NewCounter(testSeed, Quotas{"a": 1})
	random := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		counter.Count(requestOf(string(rune(random.IntN(4000))), random.Uint64(), 0))
	}
	held := 0
	for _, summary := range counter.tenants {
		held += len(summary.heap)
	}
	assert.Assert(t, len(counter.tenants) <= maxTenants)
	assert.Assert(t, held <= maxCountedPrefixes+maxTenants, "%d prefixes", held)
}

func TestSeedsGiveDifferentKeys(t *testing.T) {
	blocks := []prefixcache.Block{{ID: 1}, {ID: 2}}
	assert.Assert(t, Hash(1, "s", "m", blocks) != Hash(2, "s", "m", blocks))
	assert.Assert(t, Hash(1, "s", "m", blocks) != Hash(1, "sm", "", blocks))
	assert.Assert(t, Hash(1, "s", "m", blocks) != Hash(1, "s", "m", blocks[:1]))
}

func TestMergeIgnoresOrderAndRepetitionOfReports(t *testing.T) {
	var reports []Report
	counters := []*Counter{NewCounter(testSeed, Quotas{"a": 1}), NewCounter(testSeed, Quotas{"a": 1})}
	for round := range 3 {
		for i, counter := range counters {
			for range round + i + 1 {
				counter.Count(requestOf("a", uint64(2+i), 9))
			}
			reports = append(reports, counter.Report(0))
		}
	}
	random := rand.New(rand.NewPCG(3, 4))
	for range 100 {
		merger := NewMerger()
		for _, at := range append(random.Perm(len(reports)), random.Perm(len(reports))...) {
			merger.Update(0, string(rune('a'+at%2)), ReportVersion{1, uint64(at / 2)}, reports[at])
		}
		counts := merger.Merge(0, testSeed)
		assert.Equal(t, counts.Prefixes[TenantKey{"a", keyOf(2)}].Weight, 6.0*testPromptTokens)
		assert.Equal(t, counts.Prefixes[TenantKey{"a", keyOf(3)}].Weight, 9.0*testPromptTokens)
		assert.Equal(t, counts.Totals["service"], 15.0*testPromptTokens)
	}
}

func TestExpiredReportsAndThoseOfOtherSeedsDoNotCount(t *testing.T) {
	counter := NewCounter(testSeed, Quotas{"a": 1})
	counter.Count(requestOf("a", 2, 9))
	merger := NewMerger()
	merger.Update(0, "r", ReportVersion{1, 1}, counter.Report(0))
	assert.Equal(t, len(merger.Merge(0, testSeed+1).Prefixes), 0)
	assert.Equal(t, len(merger.Merge(reportLifetime, testSeed).Prefixes), 1)
	assert.Equal(t, len(merger.Merge(reportLifetime+time.Millisecond, testSeed).Prefixes), 0)
}

func TestReportedWeightsAreNeverTooLarge(t *testing.T) {
	counter := NewCounter(testSeed, Quotas{"a": 1})
	random := rand.New(rand.NewPCG(5, 6))
	exact := map[Key]float64{}
	for unique := range uint64(30_000) {
		shared := 2 + random.Uint64N(uint64(1+random.IntN(3000)))
		counter.Count(requestOf("a", shared, unique))
		exact[keyOf(shared)] += testPromptTokens
	}
	for _, prefix := range counter.Report(0).Prefixes {
		assert.Assert(t, float64(prefix.Weight) <= exact[prefix.Key])
	}
}

func TestTenantWithoutHeavyPrefixesHasItsPortionOfTheReport(t *testing.T) {
	counter := NewCounter(testSeed, Quotas{"small": 1, "large": 9})
	for i := range uint64(20_000) {
		counter.Count(requestOf("large", 1000+i%100, i))
		if i < 10 {
			counter.Count(requestOf("small", 2, i))
		}
	}
	assert.Equal(t, reportedWeight(counter.Report(0), "small", keyOf(2)), 10.0*testPromptTokens)
}
