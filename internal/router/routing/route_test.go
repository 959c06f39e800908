package routing

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/document"
)

func TestRepeatable(t *testing.T) {
	for _, test := range []struct {
		kind   string
		resume bool
		want   bool
	}{
		{document.KindIdempotent, false, true},
		{document.KindIdempotent, true, true},
		{document.KindNonIdempotent, false, false},
		{document.KindNonIdempotent, true, false},
		{document.KindStreaming, false, false},
		{document.KindStreaming, true, true},
		{"", true, false},
	} {
		route := newRoute(&document.Route{Kind: test.kind, Resume: test.resume})
		assert.Equal(t, route.Repeatable(), test.want, "%+v", test)
	}
}

func TestKindNames(t *testing.T) {
	for _, name := range []string{document.KindIdempotent, document.KindNonIdempotent, document.KindStreaming} {
		assert.Equal(t, parseKind(name).String(), name)
	}
}

func TestChooseBackendMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 6).Draw(t, "weights")
		split, sum := newSplit(weights)
		if sum == 0 {
			t.Skip("no weight")
		}
		route := newRoute(&document.Route{Split: split})
		random := rapid.Float64Range(0, 0.9999999999999999).Draw(t, "random")
		got, want := route.ChooseBackend(random), referenceChoice(weights, random*float64(sum))
		if got != want {
			t.Fatalf("weights %v, random %v: got %s, want %s", weights, random, got, want)
		}
	})
}

func newSplit(weights []int) ([]document.Share, int) {
	split, sum := []document.Share{}, 0
	for index, weight := range weights {
		split = append(split, document.Share{Backend: backendName(index), Weight: float64(weight)})
		sum += weight
	}
	return split, sum
}

// referenceChoice returns the backend that covers target when the backends are laid out side by side by their weights.
// It adds up the weights one unit at a time.
func referenceChoice(weights []int, target float64) string {
	upper := 0
	for index, weight := range weights {
		for range weight {
			upper++
			if target < float64(upper) {
				return backendName(index)
			}
		}
	}
	return "none"
}

func backendName(index int) string { return string(rune('a' + index)) }

func TestChooseBackendFollowsWeights(t *testing.T) {
	route := newRoute(&document.Route{Split: []document.Share{{Backend: "a", Weight: 90}, {Backend: "none"}, {Backend: "b", Weight: 10}, {Backend: "last"}}})
	counts := map[string]int{}
	const steps = 1000
	for step := range steps {
		counts[route.ChooseBackend(float64(step)/steps)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, route.ChooseBackend(1), "b")
}

func TestChooseBackendWithoutSplit(t *testing.T) {
	route := newRoute(&document.Route{Backend: "only"})
	assert.Equal(t, route.ChooseBackend(0), "only")
	assert.Equal(t, route.ChooseBackend(0.99), "only")
}
