package delegation

import (
	"slices"
	"testing"
)

// The app nodes write the settings' words, the protocol's example the short ones. Reports in the first form
// were passed over once, which left the decisions without any load figure and showed in no error.
func TestReportsAreReadInEitherWording(t *testing.T) {
	c := New(nil, []string{"utilization", "backlog"})
	for text, want := range map[string][]float64{
		"utilization=0.878,backlog=5.063": {0.878, 5.063},
		"inflight=7,queue=2,util=0.61":    {0.61, 2},
		"backlog=1, utilization=0.5":      {0.5, 1},
		"utilization=0.878":               nil,
		"utilization=NaN,backlog=1":       nil,
		"utilization=-1,backlog=1":        nil,
		"utilization=,backlog":            nil,
		"":                                nil,
	} {
		if got := c.report(text); !slices.Equal(got, want) {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
