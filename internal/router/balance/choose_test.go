package balance

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestWidths(t *testing.T) {
	widths := Widths{Normal: 1, BurstShare: 0.5, PrefixBurst: 2}
	cases := []struct {
		candidates          int
		burst, sharesPrefix bool
		want                int
	}{
		{1, false, false, 1}, {12, false, false, 1}, {12, false, true, 1},
		{1, true, false, 1}, {3, true, false, 2}, {12, true, false, 6}, {13, true, false, 7},
		{1, true, true, 1}, {2, true, true, 2}, {12, true, true, 2},
	}
	for _, c := range cases {
		assert.Equal(t, widths.K(c.candidates, c.burst, c.sharesPrefix), c.want, "%+v", c)
	}
	assert.Equal(t, Widths{Normal: 3}.K(2, false, false), 2)
	assert.Equal(t, Widths{Normal: 3, BurstShare: 0.1}.K(12, true, false), 3, "a burst never reduces K")
}

func TestChooseWithoutCandidates(t *testing.T) { assert.Equal(t, Choose(nil, 1, 0), -1) }

// TestChooseIsUniformAmongTheLowest passes consecutive random numbers: each of the k lowest costs must be chosen for
// exactly one in k of them, and no other cost ever.
func TestChooseIsUniformAmongTheLowest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfNDistinct(rapid.Float64Range(0, 1e6), 1, 48, rapid.ID[float64]).Draw(t, "costs")
		k := rapid.IntRange(1, len(costs)).Draw(t, "k")
		first := rapid.Uint64Range(0, 1<<60).Draw(t, "random") / uint64(k) * uint64(k)
		counts := make([]int, len(costs))
		const rounds = 3
		for random := range uint64(rounds * k) {
			counts[Choose(costs, k, first+random)]++
		}
		sorted := slices.Sorted(slices.Values(costs))
		for i, cost := range costs {
			want := 0
			if cost <= sorted[k-1] {
				want = rounds
			}
			assert.Equal(t, counts[i], want, "cost %v among %v, k %d", cost, sorted, k)
		}
	})
}

func TestTiesAreBrokenAtRandom(t *testing.T) {
	costs := []float64{5, 1, 1, 7, 1, 1}
	counts := make([]int, len(costs))
	const rounds = 8000
	for random := range uint64(rounds) {
		counts[Choose(costs, 2, random)]++
	}
	for i, count := range counts {
		if costs[i] > 1 {
			assert.Equal(t, count, 0)
			continue
		}
		assert.Assert(t, count > rounds/4*9/10 && count < rounds/4*11/10, "%v", counts)
	}
}

func BenchmarkChoose(b *testing.B) {
	costs := make([]float64, 48)
	for i := range costs {
		costs[i] = float64(mix(uint64(i)) % 1000)
	}
	random := uint64(0)
	for b.Loop() {
		random++
		Choose(costs, 1, random)
	}
}
