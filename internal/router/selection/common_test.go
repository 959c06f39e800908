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

// commonSet holds one prefix with the given share of the backend "b", and a place for each instance.
func commonSet(chain uint64, share int, ids ...string) *commonprefix.Set {
	request := engineRequest(chain, 0, testStart)
	shared := prefixcache.Shared(request.Prefix)
	home, _ := prefixcache.HomeKey(prefixcache.HashModel(request.Model), request.Prefix)
	set := &commonprefix.Set{Version: 2, Seed: commonSeed, Prefixes: []commonprefix.Common{{
		Key:     commonprefix.Hash(commonSeed, "b", request.Model, shared),
		Home:    home,
		Backend: "b",
		Tokens:  prefixcache.Tokens(shared),
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

// homeOf is where a router that has sent nothing yet sends a prefix.
func homeOf(t *testing.T, set *commonprefix.Set, chain uint64, ids ...string) string {
	t.Helper()
	s := newTestSelector(commonConfig, ids...)
	if set != nil {
		s.SetCommonPrefixes(set)
	}
	return mustSelect(t, s, engineRequest(chain, 1, testStart)).Instance().ID
}

func TestAReplacementTakesOverThePrefixesOfItsPlaceAndNoOthers(t *testing.T) {
	ids := instanceIDs(12)
	set := commonSet(0, 1, ids...)
	replaced := append([]string{"new"}, ids[1:]...)
	moved := 0
	for chain := range uint64(300) {
		before, after := homeOf(t, set, chain, ids...), homeOf(t, set, chain, replaced...)
		if before == ids[0] {
			moved++
			assert.Equal(t, after, "new")
			continue
		}
		assert.Equal(t, after, before)
	}
	assert.Assert(t, moved > 0)
}

func TestAnInstanceWithoutAPlaceIsNoHome(t *testing.T) {
	ids := instanceIDs(4)
	set := commonSet(0, 1, ids...)
	for chain := range uint64(100) {
		assert.Equal(t, homeOf(t, set, chain, append(ids, "new")...), homeOf(t, set, chain, ids...))
	}
}

func TestAgreedReplicasArePresumedToKeepThePrefix(t *testing.T) {
	ids := instanceIDs(8)
	s := newTestSelector(commonConfig, ids...)
	set := commonSet(1, commonprefix.ShareUnits/4, ids...)
	s.SetCommonPrefixes(set)
	request := engineRequest(1, 1, testStart)
	from := s.backends["b"]
	c := s.newChoice(from, &request)
	found := s.homesOf(&c, from.targets)
	kept := map[bool]int{}
	for _, known := range from.targets {
		kept[found.keeps(known)]++
	}
	assert.DeepEqual(t, kept, map[bool]int{true: 2, false: 6})
	assert.Equal(t, len(s.CommonHomes(set.Prefixes[0])), 2)
	for _, id := range s.CommonHomes(set.Prefixes[0]) {
		assert.Assert(t, found.keeps(s.byID[id]))
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
	uses := s.CommonUses()
	assert.Equal(t, len(uses), 1)
	assert.Equal(t, uses["a"].Requests, uint64(2))
	assert.Equal(t, uses["a"].Hits, uint64(1))
	assert.Assert(t, uses["a"].TokensReadAgain > 0)
}

func TestAnEmptySetChangesNoPick(t *testing.T) {
	ids := instanceIDs(5)
	for chain := range uint64(50) {
		empty := &commonprefix.Set{Version: 1, Seed: commonSeed}
		assert.Equal(t, homeOf(t, empty, chain, ids...), homeOf(t, nil, chain, ids...))
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

func TestABurstIsWidenedToTheInstancesThatKeepThePrefix(t *testing.T) {
	ids := instanceIDs(8)
	s := New(Options{Detector: constantDetector{burst: true}})
	s.SetBackends(map[string]BackendConfig{"b": commonConfig})
	s.SetInstances(testSnapshot(ids...))
	from := s.backends["b"]
	widthOf := func(request Request) int {
		s.noteArrival(&request)
		s.isBurst = true
		c := s.newChoice(from, &request)
		s.rate(&c, from.targets)
		return s.width(&c, len(from.targets))
	}
	assert.Equal(t, widthOf(engineRequest(1, 1, testStart)), 1, "without an agreement")
	s.SetCommonPrefixes(commonSet(1, commonprefix.ShareUnits/2, ids...))
	assert.Equal(t, widthOf(engineRequest(1, 1, testStart)), 2)
	assert.Equal(t, widthOf(engineRequest(2, 1, testStart)), 1, "a prefix that is not common")
	assert.Equal(t, widthOf(Request{Backend: "b", Now: testStart}), 4)
}
