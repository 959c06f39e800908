package routes

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// spread gives the pool of each of the keys 0 to n-1.
func spread(t interface{ Fatalf(string, ...any) }, n int, to ...Share) (pools []int) {
	table, err := Compile([]Rule{{To: to}}, []string{"a", "b", "c", "d"}, nil)
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

// near allows five standard deviations of a count of manyKeys draws.
func near(count int, p float64) bool {
	return math.Abs(float64(count)/manyKeys-p) <= 5*math.Sqrt(p*(1-p)/manyKeys)+1e-9
}

func TestSharesFollowTheirWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		to, sum, counts := drawShares(t, 1), 0.0, map[int]int{}
		for _, p := range spread(t, manyKeys, to...) {
			counts[p]++
		}
		for _, s := range to {
			sum += s.Weight
		}
		for _, s := range to {
			if p := s.Weight / sum; !near(counts[int(s.Pool[0]-'a')], p) {
				t.Fatalf("%s has %d of %d keys, due are %v", s.Pool, counts[int(s.Pool[0]-'a')], manyKeys, p)
			}
		}
	})
}

// From 5 % to 10 % a canary gains keys and loses none, and nothing else changes hands.
func TestAWeightThatGrowsMovesTheDifferenceAlone(t *testing.T) {
	before, moved := spread(t, manyKeys, Share{"a", 95}, Share{"b", 5}), 0
	after := spread(t, manyKeys, Share{"a", 90}, Share{"b", 10})
	for i := range before {
		if before[i] != after[i] {
			if moved++; after[i] != 1 {
				t.Fatalf("key %d went from the canary back to the rest", i)
			}
		}
	}
	if !near(moved, 0.05) {
		t.Errorf("%d of %d keys moved, due are 5 %%", moved, manyKeys)
	}
	rapid.Check(t, func(t *rapid.T) { // and one weight of several, up from anything, 0 included
		to := drawShares(t, 2)
		i := rapid.IntRange(0, len(to)-1).Draw(t, "which")
		less := slices.Clone(to)
		less[i].Weight = float64(rapid.IntRange(0, int(to[i].Weight)).Draw(t, "before"))
		before, after := spread(t, manyKeys, less...), spread(t, manyKeys, to...)
		for k := range before {
			if before[k] != after[k] && after[k] != int(to[i].Pool[0]-'a') {
				t.Fatalf("key %d went from %d to %d, and only %s grew", k, before[k], after[k], to[i].Pool)
			}
		}
	})
}

// With any other change, what moves is what the paper says: 1 - sum of 1/sum of max(x_j/x_i, y_j/y_i). The order of the
// shares is nothing to it.
func TestAnyChangeMovesNoMoreThanTheory(t *testing.T) {
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
		before := spread(t, manyKeys, x...)
		slices.Reverse(y)
		for k, p := range spread(t, manyKeys, y...) {
			if p != before[k] {
				moved++
			}
		}
		if !near(moved, 1-stay) {
			t.Fatalf("%v to %v: %d of %d moved, due are %v", x, y, moved, manyKeys, 1-stay)
		}
	})
}

func TestAClientsRetriesStayInAPool(t *testing.T) {
	if Key("i", "r", "c") != Key("i", "other", "fresh") || Key("", "r", "c") != Key("", "r", "fresh") ||
		Key("", "", "c") == Key("", "", "fresh") || Key("i", "r", "c") == Key("j", "r", "c") {
		t.Error("a key does not follow the first of the three that is there")
	}
	// Balancers and starts agree: the hash is a fixed one, so these change only with the algorithm.
	got, want := spread(t, 12, Share{"a", 1}, Share{"b", 1}, Share{"c", 1}), []int{2, 2, 1, 1, 1, 0, 2, 2, 2, 2, 0, 1}
	if !slices.Equal(got, want) || Key("", "order-17", "") != 0x93623b80df3c7a2d {
		t.Errorf("%v %#x", got, Key("", "order-17", ""))
	}
}
