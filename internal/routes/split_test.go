package routes

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// poolsOfKeys returns the pools of the keys 0 to n-1.
func poolsOfKeys(t interface{ Fatalf(string, ...any) }, n int, to ...Share) (pools []int) {
	table, err := Compile([]Rule{{Shares: to}}, []string{"a", "b", "c", "d"}, nil)
	if err != nil {
		t.Fatalf("%v", err)
	}
	for i := range n {
		pools = append(pools, table.Pool(table.Match("", "/", "GET", ""), uint64(i)))
	}
	return pools
}

func drawShares(t *rapid.T, atLeast int) (to []Share) {
	pools := rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, "pools")
	for _, p := range pools[:rapid.IntRange(atLeast, 4).Draw(t, "number")] {
		to = append(to, Share{p, float64(rapid.IntRange(1, 100).Draw(t, "weight of "+p))})
	}
	return to
}

const manyKeys = 5_000

// withinTolerance reports whether a count of manyKeys draws of probability p is within five standard deviations.
func withinTolerance(count int, p float64) bool {
	return math.Abs(float64(count)/manyKeys-p) <= 5*math.Sqrt(p*(1-p)/manyKeys)+1e-9
}

func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		to, sum, counts := drawShares(t, 1), 0.0, map[int]int{}
		for _, p := range poolsOfKeys(t, manyKeys, to...) {
			counts[p]++
		}
		for _, s := range to {
			sum += s.Weight
		}
		for _, s := range to {
			if p := s.Weight / sum; !withinTolerance(counts[int(s.Pool[0]-'a')], p) {
				t.Fatalf("%s has %d of %d keys, want a share of %v", s.Pool, counts[int(s.Pool[0]-'a')], manyKeys, p)
			}
		}
	})
}

// When a canary grows from 5 % to 10 %, it must gain keys and lose none, and no other key may move.
func TestGrowingWeightOnlyGainsKeys(t *testing.T) {
	before, moved := poolsOfKeys(t, manyKeys, Share{"a", 95}, Share{"b", 5}), 0
	after := poolsOfKeys(t, manyKeys, Share{"a", 90}, Share{"b", 10})
	for i := range before {
		if before[i] != after[i] {
			if moved++; after[i] != 1 {
				t.Fatalf("key %d went from the canary back to the rest", i)
			}
		}
	}
	if !withinTolerance(moved, 0.05) {
		t.Errorf("%d of %d keys moved, want 5 %%", moved, manyKeys)
	}
	rapid.Check(t, func(t *rapid.T) { // the same for one of several weights, growing from any value including 0
		to := drawShares(t, 2)
		i := rapid.IntRange(0, len(to)-1).Draw(t, "which")
		less := slices.Clone(to)
		less[i].Weight = float64(rapid.IntRange(0, int(to[i].Weight)).Draw(t, "before"))
		before, after := poolsOfKeys(t, manyKeys, less...), poolsOfKeys(t, manyKeys, to...)
		for k := range before {
			if before[k] != after[k] && after[k] != int(to[i].Pool[0]-'a') {
				t.Fatalf("key %d moved from %d to %d, but only %s grew", k, before[k], after[k], to[i].Pool)
			}
		}
	})
}

// For any change of weights from x to y, the share of keys that move must be as in Moulton and Jiang (see the package
// comment): 1 - sum over i of 1/(sum over j of max(x_j/x_i, y_j/y_i)), independently of the order of the shares.
func TestWeightChangeMovesTheOptimalShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := drawShares(t, 2)
		y := slices.Clone(x)
		for i := range y {
			y[i].Weight = float64(rapid.IntRange(1, 100).Draw(t, "new weight"))
		}
		stay, moved := 0.0, 0
		for i := range x {
			sum := 0.0
			for j := range x {
				sum += max(x[j].Weight/x[i].Weight, y[j].Weight/y[i].Weight)
			}
			stay += 1 / sum
		}
		before := poolsOfKeys(t, manyKeys, x...)
		slices.Reverse(y)
		for k, p := range poolsOfKeys(t, manyKeys, y...) {
			if p != before[k] {
				moved++
			}
		}
		if !withinTolerance(moved, 1-stay) {
			t.Fatalf("%v to %v: %d of %d keys moved, want a share of %v", x, y, moved, manyKeys, 1-stay)
		}
	})
}

func TestKeyKeepsRetriesInOnePool(t *testing.T) {
	if Key("i", "r", "c") != Key("i", "other", "fresh") || Key("", "r", "c") != Key("", "r", "fresh") ||
		Key("", "", "c") == Key("", "", "fresh") || Key("i", "r", "c") == Key("j", "r", "c") {
		t.Error("Key does not depend on the first non-empty argument alone")
	}
	// All balancers and restarts must agree, so these values may change only with the algorithm.
	got, want := poolsOfKeys(t, 12, Share{"a", 1}, Share{"b", 1}, Share{"c", 1}), []int{2, 2, 1, 1, 1, 0, 2, 2, 2, 2, 0, 1}
	if !slices.Equal(got, want) || Key("", "order-17", "") != 0x93623b80df3c7a2d {
		t.Errorf("%v %#x", got, Key("", "order-17", ""))
	}
}
