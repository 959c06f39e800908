package selection

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/protocol"
)

const commonSeed = 5

// commonSet returns a set with one prefix, which has the given share of the traffic of backend "b", and a place for
// each instance.
func commonSet(chain uint64, share int, ids ...string) *commonprefix.Set {
	request := engineRequest(chain, 0, testStart)
	shared := prefixcache.SharedBlocks(request.Prefix)
	home, _ := prefixcache.HomeKey(prefixcache.HashName(request.Model), request.Prefix)
	set := &commonprefix.Set{Version: 2, Seed: commonSeed, Prefixes: []commonprefix.Common{{
		Key:     commonprefix.Hash(commonSeed, "b", request.Model, shared),
		Home:    home,
		Backend: "b",
		Tokens:  prefixcache.TotalTokens(shared),
		Share:   share,
	}}}
	for number, id := range ids {
		set.Places = append(set.Places, commonprefix.Place{Backend: "b", Number: number, Instance: id})
	}
	return set
}

func instanceIDs(count int) []string {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("i%d", i)
	}
	return ids
}

var commonConfig = BackendConfig{HasEngine: true, KVCapacity: 1_000_000, Slots: testSlots}

// selectedHome returns the id of the instance to which a router that has sent no requests yet sends a prefix.
func selectedHome(t *testing.T, set *commonprefix.Set, chain uint64, ids ...string) string {
	t.Helper()
	s := newTestSelector(commonConfig, ids...)
	if set != nil {
		s.SetCommonPrefixes(set)
	}
	return mustSelect(t, s, engineRequest(chain, 1, testStart)).Instance().ID
}

func TestReplacementInheritsOnlyThePrefixesOfItsPlace(t *testing.T) {
	ids := instanceIDs(12)
	set := commonSet(0, 1, ids...)
	replaced := append([]string{"new"}, ids[1:]...)
	moved := 0
	for chain := range uint64(300) {
		before, after := selectedHome(t, set, chain, ids...), selectedHome(t, set, chain, replaced...)
		if before == ids[0] {
			moved++
			assert.Equal(t, after, "new")
			continue
		}
		assert.Equal(t, after, before)
	}
	assert.Assert(t, moved > 0)
}

func TestInstanceWithoutPlaceIsNotAHome(t *testing.T) {
	ids := instanceIDs(4)
	set := commonSet(0, 1, ids...)
	for chain := range uint64(100) {
		assert.Equal(t, selectedHome(t, set, chain, append(ids, "new")...), selectedHome(t, set, chain, ids...))
	}
}

func TestAgreedReplicasArePresumedToCacheThePrefix(t *testing.T) {
	ids := instanceIDs(8)
	s := newTestSelector(commonConfig, ids...)
	set := commonSet(1, commonprefix.ShareUnits/4, ids...)
	s.SetCommonPrefixes(set)
	request := engineRequest(1, 1, testStart)
	b := s.backends["b"]
	c := s.newPickContext(b, &request)
	homes := s.rankHomes(&c, b.targets)
	cached := map[bool]int{}
	for _, candidate := range b.targets {
		cached[homes.contains(candidate)]++
	}
	assert.DeepEqual(t, cached, map[bool]int{true: 2, false: 6})
	assert.Equal(t, len(s.CommonPrefixHomes(set.Prefixes[0])), 2)
	for _, id := range s.CommonPrefixHomes(set.Prefixes[0]) {
		assert.Assert(t, homes.contains(s.byID[id]))
	}
}

func TestUseOfCommonPrefixesIsCountedByTenant(t *testing.T) {
	ids := instanceIDs(2)
	s := newTestSelector(commonConfig, ids...)
	s.SetCommonPrefixes(commonSet(1, 1, ids...))
	request := engineRequest(1, 1, testStart)
	request.Tenant = "a"
	mustSelect(t, s, request)
	mustSelect(t, s, request)
	request = engineRequest(2, 2, testStart)
	request.Tenant = "b"
	mustSelect(t, s, request)
	uses := s.CommonPrefixUses()
	assert.Equal(t, len(uses), 1)
	assert.Equal(t, uses["a"].Requests, uint64(2))
	assert.Equal(t, uses["a"].Hits, uint64(1))
	assert.Assert(t, uses["a"].RecomputedTokens > 0)
}

func TestEmptySetChangesNoPick(t *testing.T) {
	ids := instanceIDs(5)
	for chain := range uint64(50) {
		empty := &commonprefix.Set{Version: 1, Seed: commonSeed}
		assert.Equal(t, selectedHome(t, empty, chain, ids...), selectedHome(t, nil, chain, ids...))
	}
}

func BenchmarkSelectWithCommonPrefixes(b *testing.B) {
	ids := instanceIDs(48)
	var all []*instances.Instance
	for _, id := range ids {
		all = append(all, &instances.Instance{ID: id, Backend: "b", Slots: testSlots, State: protocol.StateReady})
	}
	s := newTestSelector(commonConfig)
	s.SetInstances(instances.NewSnapshot(all))
	s.SetCommonPrefixes(commonSet(1, commonprefix.ShareUnits/8, ids...))
	own := uint64(1 << 32)
	for b.Loop() {
		own++
		pick, err := s.Select(engineRequest(1, own, testStart))
		if err != nil {
			b.Fatal(err)
		}
		pick.Done(testStart, Outcome{Result: Abandoned})
	}
}

func TestBurstWidthIsLimitedToInstancesThatCacheThePrefix(t *testing.T) {
	ids := instanceIDs(8)
	s := New(Options{Detector: constantDetector{burst: true}})
	s.SetBackends(map[string]BackendConfig{"b": commonConfig})
	s.SetInstances(testSnapshot(ids...))
	b := s.backends["b"]
	widthOf := func(request Request) int {
		s.noteArrival(&request)
		s.isBurst = true
		c := s.newPickContext(b, &request)
		s.computeCosts(&c, b.targets)
		return s.pickWidth(&c, len(b.targets))
	}
	assert.Equal(t, widthOf(engineRequest(1, 1, testStart)), 1, "without an agreed set")
	s.SetCommonPrefixes(commonSet(1, commonprefix.ShareUnits/2, ids...))
	assert.Equal(t, widthOf(engineRequest(1, 1, testStart)), 2)
	assert.Equal(t, widthOf(engineRequest(2, 1, testStart)), 1, "a prefix that is not common")
	assert.Equal(t, widthOf(Request{Backend: "b", Now: testStart}), 4)
}
