package virtual

import (
	"testing"

	"pewterrudder/internal/lab/scenario"
)

func load(t testing.TB, name string, set ...string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Load(name, set...)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func TestCalm(t *testing.T) {
	rec, err := Run(load(t, "calm"), Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", rec.Counts)
	t.Logf("digest %x events %d handled %d logged %d took %v speedup %.0f goodput %.4f", rec.Digest, rec.Events, rec.Handled, rec.Logged, rec.Took, rec.Speedup, rec.Counts.Goodput())
	for _, b := range rec.Breaks {
		t.Error(b)
		for _, e := range b.Last[max(0, len(b.Last)-30):] {
			t.Log(e)
		}
	}
}
