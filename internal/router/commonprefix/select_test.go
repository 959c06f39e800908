package commonprefix

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// countsOf returns the counts for prefixes 1, 2, ... of one tenant with the given shares of a backend's traffic.
func countsOf(tenant string, shares ...float64) FleetCounts {
	counts := FleetCounts{Totals: map[string]float64{"service": 1000}, Prefixes: map[TenantKey]FleetPrefix{}}
	for i, share := range shares {
		counts.Prefixes[TenantKey{tenant, Key(i + 1)}] = FleetPrefix{
			Backend: "service", Tokens: 100, Count: enterRequests, Weight: 1000 * share,
		}
	}
	return counts
}

func nextSet(current *Set, counts FleetCounts, quotas Quotas) *Set {
	return current.Successor(SelectPrefixes(current, counts, quotas), current.Places)
}

func TestPrefixesEnterAndLeaveWithHysteresis(t *testing.T) {
	quotas := Quotas{"a": 1}
	between := (enterShare + leaveShare) / 2
	empty := &Set{Version: 1, Seed: testSeed}
	assert.Equal(t, nextSet(empty, countsOf("a", between), quotas), empty)
	entered := nextSet(empty, countsOf("a", 2*enterShare), quotas)
	assert.Equal(t, len(entered.Prefixes), 1)
	assert.Equal(t, entered.Version, uint64(2))
	kept := nextSet(entered, countsOf("a", between), quotas)
	assert.Equal(t, len(kept.Prefixes), 1)
	assert.Equal(t, len(nextSet(kept, countsOf("a", leaveShare/2), quotas).Prefixes), 0)
}

func TestSmallShareChangesKeepTheSet(t *testing.T) {
	quotas := Quotas{"a": 1}
	set := nextSet(&Set{Seed: testSeed}, countsOf("a", 0.3, 0.1), quotas)
	assert.Equal(t, nextSet(set, countsOf("a", 0.25, 0.13), quotas), set)
	assert.Assert(t, nextSet(set, countsOf("a", 0.1, 0.1), quotas) != set)
}

func TestEachTenantHasItsPortionOfTheSet(t *testing.T) {
	quotas := Quotas{"flood": 99, "small": 1}
	counts := countsOf("flood")
	for key := range Key(2000) {
		counts.Prefixes[TenantKey{"flood", 100 + key}] = FleetPrefix{Backend: "service", Count: enterRequests, Weight: 25}
	}
	counts.Prefixes[TenantKey{"small", 1}] = FleetPrefix{Backend: "service", Count: enterRequests, Weight: 21}
	set := nextSet(&Set{}, counts, quotas)
	_, found := set.Find(1)
	assert.Assert(t, found)
	assert.Assert(t, len(set.Prefixes) <= maxSetPrefixes)
}

func TestSharesOfTenantsWithTheSamePrefixAddUp(t *testing.T) {
	counts := countsOf("a", 0.1)
	counts.Prefixes[TenantKey{"b", 1}] = FleetPrefix{Backend: "service", Tokens: 100, Count: enterRequests, Weight: 200}
	set := nextSet(&Set{}, counts, Quotas{"a": 1, "b": 1})
	found, ok := set.Find(1)
	assert.Assert(t, ok)
	assert.Equal(t, found.Tenant, "b")
	assert.Equal(t, found.Share, 102+205)
}

func TestAPrefixThatIsNoLongerUsedIsReplaced(t *testing.T) {
	quotas := Quotas{"a": 1}
	set := nextSet(&Set{}, countsOf("a", 0.5), quotas)
	set = nextSet(set, countsOf("a", 0.005, 0.5), quotas)
	assert.Equal(t, len(set.Prefixes), 1)
	assert.Equal(t, set.Prefixes[0].Key, Key(2))
}

func TestSelectionIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quotas := Quotas{"a": rapid.Float64Range(0, 10).Draw(t, "a"), "b": rapid.Float64Range(0, 10).Draw(t, "b")}
		shares := rapid.SliceOfN(rapid.Float64Range(0, 0.2), 0, 100).Draw(t, "shares")
		counts := countsOf(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"), shares...)
		first := nextSet(&Set{Seed: testSeed}, counts, quotas)
		assert.Equal(t, nextSet(first, counts, quotas), first, "the same counts change nothing")
		assert.Assert(t, len(first.Prefixes) <= maxSetPrefixes+1)
		encoded, err := first.Encode()
		assert.NilError(t, err)
		decoded, err := Decode(encoded)
		assert.NilError(t, err)
		assert.Assert(t, slices.Equal(decoded.Prefixes, first.Prefixes))
		assert.Equal(t, decoded.Version, first.Version)
	})
}

func TestReplicasFollowTheShare(t *testing.T) {
	set := &Set{Prefixes: []Common{
		{Key: 1, Backend: "service", Tokens: 100, Share: ShareUnits / 2},
		{Key: 2, Backend: "service", Tokens: 100, Share: 1},
		{Key: 3, Backend: "other", Tokens: 100, Share: ShareUnits},
	}}
	replicas := set.Replicas(Backend{Name: "service", Instances: 12, Capacity: 1_000_000})
	assert.DeepEqual(t, replicas, map[Key]int{1: 6, 2: 1})
}

func TestReplicasFitTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := &Set{}
		for key := range rapid.IntRange(0, 20).Draw(t, "prefixes") {
			set.Prefixes = append(set.Prefixes, Common{
				Key:     Key(key),
				Backend: "service",
				Tokens:  rapid.IntRange(0, 5000).Draw(t, "tokens"),
				Share:   rapid.IntRange(1, ShareUnits).Draw(t, "share"),
			})
		}
		backend := Backend{Name: "service", Instances: rapid.IntRange(1, 48).Draw(t, "instances")}
		backend.Capacity = rapid.Int64Range(1, 50_000).Draw(t, "capacity")
		extra := int64(0)
		for key, count := range set.Replicas(backend) {
			assert.Assert(t, count >= 1 && count <= backend.Instances)
			extra += int64(count-1) * int64(set.Prefixes[key].Tokens)
		}
		assert.Assert(t, float64(extra) <= extraReplicaShare*float64(backend.Capacity)*float64(backend.Instances))
	})
}

func TestPrefixWithFewRequestsIsNotCommon(t *testing.T) {
	counts := countsOf("a")
	for key, count := range map[Key]float64{1: enterRequests - 1, 2: enterRequests} {
		counts.Prefixes[TenantKey{"a", key}] = FleetPrefix{Backend: "service", Tokens: 100, Count: count, Weight: 300}
	}
	set := nextSet(&Set{}, counts, Quotas{"a": 1})
	assert.Equal(t, len(set.Prefixes), 1)
	assert.Equal(t, set.Prefixes[0].Key, Key(2))
}
