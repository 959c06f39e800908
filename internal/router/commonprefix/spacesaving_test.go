package commonprefix

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestSummaryBoundsTheTrueWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(1, 6).Draw(t, "places")
		tested, exact, total := newSummary(places), map[Key]float64{}, 0.0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				key := Key(rapid.Uint64Range(0, 12).Draw(t, "key"))
				weight := float64(rapid.IntRange(1, 1000).Draw(t, "weight"))
				tested.add(entry{key: key, weight: weight})
				exact[key] += weight
				total += weight
			},
			"decay": func(*rapid.T) {
				tested.decay(0.5)
				total /= 2
				for key := range exact {
					exact[key] /= 2
				}
			},
			"": func(t *rapid.T) { checkSummary(t, tested, exact, total) },
		})
	})
}

// checkSummary compares a summary with the true weights.
func checkSummary(t *rapid.T, tested *summary, exact map[Key]float64, total float64) {
	const rounding = 1e-6
	assert.Assert(t, len(tested.heap) <= tested.capacity)
	assert.Equal(t, len(tested.heap), len(tested.index))
	for at, found := range tested.heap {
		assert.Equal(t, tested.index[found.key], at)
		assert.Assert(t, at == 0 || tested.heap[(at-1)/2].weight <= found.weight)
		assert.Assert(t, found.weight >= exact[found.key]-rounding)
		assert.Assert(t, found.weight-found.overestimate <= exact[found.key]+rounding)
	}
	for key, weight := range exact {
		if weight > total/float64(tested.capacity)+rounding {
			_, ok := tested.index[key]
			assert.Assert(t, ok, "prefix %d of weight %v among %v", key, weight, total)
		}
	}
}

func TestSmallerSummaryKeepsTheHeaviest(t *testing.T) {
	tested := newSummary(8)
	for key := range Key(8) {
		tested.add(entry{key: key, weight: float64(100 + key)})
	}
	tested.resize(3)
	assert.Equal(t, len(tested.heap), 3)
	for _, key := range []Key{5, 6, 7} {
		_, ok := tested.index[key]
		assert.Assert(t, ok)
	}
	tested.add(entry{key: 1, weight: 1})
	assert.Equal(t, len(tested.heap), 3)
}
