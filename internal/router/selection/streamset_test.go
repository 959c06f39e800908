package selection

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/balance"
	"pewterrudder/internal/router/prefixcache"
)

var testPerformance = balance.Performance{PrefillTokensPerMs: 300, ServiceMs: 100}

// backendWithLoads returns a backend whose instances, by rank, have the given numbers of requests in flight. A prompt
// is in flight for 50 ms and takes 10 ms to prefill.
func backendWithLoads(inFlight ...float64) *backend {
	b := &backend{config: BackendConfig{Slots: 12, HasEngine: true}, popularity: newPopularity()}
	for rank, requests := range inFlight {
		member := newTarget(fmt.Sprint("i-", rank))
		member.backend, member.instance = b, testInstance(fmt.Sprint("i-", rank))
		member.streamRank = rank
		member.load.update(testStart, 0, requests)
		member.load.slots = 12
		b.targets = append(b.targets, member)
	}
	b.nonStreamMs.addSample(50)
	b.uncachedTokens.addSample(3000)
	return b
}

// settleStreamSet updates the stream set until it no longer changes.
func (b *backend) settleStreamSet() {
	for i := range 50 {
		b.updateStreamSet(testStart.Add(time.Duration(i+1)*streamSetInterval), testPerformance)
	}
}

// fleetLoads returns the requests in flight by rank: promptsEach on every instance, and streamsEach more on the first
// ones.
func fleetLoads(instances, streaming int, promptsEach, streamsEach float64) []float64 {
	inFlight := make([]float64, instances)
	for i := range inFlight {
		inFlight[i] = promptsEach
		if i < streaming {
			inFlight[i] += streamsEach
		}
	}
	return inFlight
}

func TestStreamSetSizeMatchesStreamLoad(t *testing.T) {
	b := backendWithLoads(fleetLoads(48, 10, 1.2, 7.2)...)
	b.settleStreamSet()
	needed := 10 * 8.4 / (streamSlotShare * 12) // in the set nearly all requests in flight are streams
	assert.Assert(t, b.streamSet.size >= needed && b.streamSet.size <= needed*(1+streamSetHeadroom)+streamSetHysteresis, "%v", b.streamSet.size)
	assert.Assert(t, math.Abs(b.streamSet.prefillShare-0.24) < 0.05, "%v", b.streamSet.prefillShare)
}

// TestFewStreamsSpreadOverSeveralInstances has so few streams that one instance could run all.
func TestFewStreamsSpreadOverSeveralInstances(t *testing.T) {
	for _, c := range []struct {
		instances int
		wantRange float64
	}{{16, minStreamInstances}, {40, 0.125 * 40}, {6, 2}, {2, 0}} { // with few instances: half of them, less one
		b := backendWithLoads(fleetLoads(c.instances, 1, 1, 9)...)
		b.settleStreamSet()
		assert.Assert(t, b.streamSet.size < 2, "%v", b.streamSet.size)
		assert.Equal(t, b.streamRange(), c.wantRange, "%d instances", c.instances)
	}
}

func TestStreamSetIsEmptyWithoutStreams(t *testing.T) {
	b := backendWithLoads(fleetLoads(48, 0, 2, 0)...)
	b.settleStreamSet()
	assert.Equal(t, b.streamSet.size, 0.0)
	for _, member := range b.targets {
		assert.Equal(t, member.homeShare(), 1.0)
	}
}

func TestNoSeparationAtLowPrefillShare(t *testing.T) {
	b := backendWithLoads(fleetLoads(48, 10, 0.2, 7)...)
	b.settleStreamSet()
	assert.Equal(t, b.streamSet.separation, 0.0)
	assert.Equal(t, b.targets[0].homeShare(), 1.0)
}

// TestStreamSetSizeIsIndependentOfPrefillRate gives the same loads to routers that have learned different prefill
// rates, at a usual load and at one at which all instances would prefill all the time.
func TestStreamSetSizeIsIndependentOfPrefillRate(t *testing.T) {
	for _, prompts := range []float64{1.5, 5.5} {
		var sizes []float64
		for _, tokensPerMs := range []float64{77, 150, 280} {
			b := backendWithLoads(fleetLoads(48, 12, prompts, 6)...)
			for i := range 50 {
				now := testStart.Add(time.Duration(i+1) * streamSetInterval)
				b.updateStreamSet(now, balance.Performance{PrefillTokensPerMs: tokensPerMs, ServiceMs: 100})
			}
			assert.Assert(t, b.streamSet.separation > 0.9, "%v", b.streamSet.separation)
			sizes = append(sizes, b.streamSet.size)
		}
		assert.Assert(t, sizes[0] > 8 && sizes[0] == sizes[1] && sizes[1] == sizes[2], "%v", sizes)
	}
}

// TestStreamSetStaysWithinBounds draws random loads, checks the bounds, and compares the estimated number of streams
// with a simpler computation.
func TestStreamSetStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inFlight := rapid.SliceOfN(rapid.Float64Range(0, 40), 1, 60).Draw(t, "held")
		b := backendWithLoads(inFlight...)
		b.settleStreamSet()
		count := float64(len(inFlight))
		assert.Assert(t, b.streamSet.size >= 0 && b.streamSet.size <= max(0, maxStreamSetShare*count-streamSetReserve))
		assert.Assert(t, b.streamSet.separation >= 0 && b.streamSet.separation <= 1)
		assert.Assert(t, b.streamSet.prefillShare >= 0 && b.streamSet.prefillShare <= 1)
		for _, member := range b.targets {
			share := member.homeShare()
			assert.Assert(t, share >= streamSetHomeShare && share <= 1)
		}
		sums := b.sumInFlight()
		assert.Assert(t, math.Abs(sums.streamCount()-referenceStreamCount(inFlight, b.streamSet.size)) < 1e-6)
	})
}

// referenceStreamCount returns the requests in flight in the lower half, less the mean of the upper half for each
// instance of the lower half that is outside of the set.
func referenceStreamCount(inFlight []float64, setSize float64) float64 {
	half := len(inFlight) / 2
	lower, upper := 0.0, 0.0
	for rank, requests := range inFlight {
		if rank < half {
			lower += min(12, requests)
		} else {
			upper += min(12, requests)
		}
	}
	if half == 0 {
		return 0
	}
	return max(0, lower-upper/float64(len(inFlight)-half)*max(0, float64(half)-setSize))
}

func TestIsStream(t *testing.T) {
	b := backendWithLoads(fleetLoads(12, 0, 1, 0)...)
	for _, c := range []struct {
		prompt, output int
		want           bool
	}{{200, 6000, true}, {9000, 100, false}, {9000, 700, true}, {300, 10, false}, {0, 1, true}, {0, 0, false}} {
		request := Request{PromptTokens: c.prompt, OutputTokens: c.output}
		assert.Equal(t, b.isStream(&request, testPerformance), c.want, "%+v", c)
	}
	plain := &backend{config: BackendConfig{Slots: 12}}
	assert.Assert(t, !plain.isStream(&Request{OutputTokens: 6000}, testPerformance))
}

// TestHomesAreProportionalToShares ranks the homes of many prefixes: each instance gets its share of them, and a change
// of one instance's share moves no home between others.
func TestHomesAreProportionalToShares(t *testing.T) {
	b := backendWithLoads(fleetLoads(8, 0, 1, 0)...)
	b.streamSet = streamSet{size: 2, separation: 1}
	const prefixes = 20_000
	count := map[int]int{}
	before := map[prefixcache.Key]int{}
	for key := range prefixcache.Key(prefixes) {
		before[key] = b.homeRank(key)
		count[before[key]]++
	}
	fair := prefixes / (6 + 2*streamSetHomeShare)
	for rank := range b.targets {
		want := fair
		if rank < 2 {
			want = streamSetHomeShare * fair
		}
		assert.Assert(t, math.Abs(float64(count[rank])-want) < 5*math.Sqrt(want), "rank %d: %d, %v", rank, count[rank], want)
	}
	b.streamSet.size = 3 // the third instance joins
	for key, was := range before {
		if now := b.homeRank(key); now != was {
			assert.Equal(t, was, 2)
		}
	}
}

// homeRank returns the stream rank of a prefix's home.
func (b *backend) homeRank(key prefixcache.Key) int {
	best := 0
	for rank, member := range b.targets {
		if member.homeScore(key) > b.targets[best].homeScore(key) {
			best = rank
		}
	}
	return best
}

func TestPopularPrefixGetsMoreHomes(t *testing.T) {
	p := newPopularity()
	hot := Request{Prefix: []prefixcache.Block{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 5}}, Now: testStart}
	key, _ := prefixcache.HomeKey(prefixcache.HashName(""), hot.Prefix)
	assert.Equal(t, p.homeCount(testStart, key, 48), 1, "no request yet")
	p.record(&hot)
	assert.Equal(t, p.homeCount(testStart, key, 48), 1, "a single request")
	retry := hot
	retry.Excluded = []string{"i-1"}
	p.record(&retry)
	assert.Equal(t, p.homeCount(testStart, key, 48), 1, "a retry does not count")
	for id := range uint64(14) {
		p.record(&Request{Prefix: []prefixcache.Block{{ID: 100 + id, Tokens: 100}, {ID: 3, Tokens: 5}}, Now: testStart})
	}
	for range 5 {
		p.record(&hot)
	}
	assert.Equal(t, p.homeCount(testStart, key, 48), 12, "five of twenty requests beyond the first")
	assert.Equal(t, p.homeCount(testStart.Add(3*popularityPeriod), key, 48), 1, "forgotten")
}
