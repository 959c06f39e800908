package chance

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestStreamsStandAlone(t *testing.T) {
	a, b := New(1).Stream("nodes/1"), New(1).Stream("nodes/1")
	for range 100 {
		if x, y := a.Uint64(), b.Uint64(); x != y {
			t.Fatalf("%d and %d from one name", x, y)
		}
	}
	first := map[uint64]string{}
	for _, s := range []Source{New(1), New(2), New(1).Under("x"), New(1).Under("y")} {
		for _, name := range []string{"", "a", "b", "ab"} {
			v := s.Stream(name).Uint64()
			if other, ok := first[v]; ok {
				t.Errorf("%v %q begins as %s does", s, name, other)
			}
			first[v] = name
		}
	}
}

func TestDistributionsHaveTheirMoments(t *testing.T) {
	for name, d := range map[string]Dist{"constant": Constant(3), "exponential": Exponential(3), "uniform": Uniform{1, 5},
		"lognormal": NewLognormal(3, 1.5), "hyperexponential": NewHyperexponential(3, 2), "trace": Trace{1, 2, 6},
		"scaled": Scaled{Exponential(6), 0.5}} {
		r, sum, square := New(4).Stream(name), 0.0, 0.0
		const n = 400_000
		for range n {
			v := d.Draw(r)
			sum += v
			square += v * v
		}
		mean := sum / n
		scv := (square/n - mean*mean) / (mean * mean)
		if math.Abs(mean-3) > 0.03 || math.Abs(d.Mean()-3) > 1e-9 {
			t.Errorf("%s: mean %.3f, says %.3f, want 3", name, mean, d.Mean())
		}
		if math.Abs(scv-d.SCV()) > 0.04*max(1, d.SCV()) {
			t.Errorf("%s: squared coefficient of variation %.3f, says %.3f", name, scv, d.SCV())
		}
	}
}

// dispersion measures the index of dispersion for counts: the variance of the count in a long interval over its mean.
func dispersion(p Arrivals, r *rand.Rand, interval float64, intervals int) (rate, index float64) {
	at, end := 0.0, interval
	counts := make([]float64, 0, intervals)
	n := 0.0
	for len(counts) < intervals {
		at += p.Next(r)
		for at >= end {
			counts = append(counts, n)
			n, end = 0, end+interval
		}
		n++
	}
	mean, variance := 0.0, 0.0
	for _, c := range counts {
		mean += c / float64(len(counts))
	}
	for _, c := range counts {
		variance += (c - mean) * (c - mean) / float64(len(counts))
	}
	return mean / interval, variance / mean
}

func TestArrivalsHaveTheirRateAndDispersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		p        Arrivals
		interval float64
		want     float64
	}{
		{"poisson", Poisson{}, 100, 1},
		{"steady", Steady{}, 100, 0},
		{"mmpp 30", NewMMPP(30, 1.8, 0.4), 5000, 30},
		{"mmpp 300", NewMMPP(300, 1.8, 0.4), 50_000, 300},
		{"mmpp 20, rare and high", NewMMPP(20, 4, 0.1), 5000, 20},
		{"mmpp 1", NewMMPP(1, 4, 0.1), 100, 1},
	} {
		rate, index := dispersion(c.p, New(9).Stream("a"), c.interval, 800)
		if math.Abs(rate-1) > 0.02 || math.Abs(index-c.want) > 0.01+0.12*c.want {
			t.Errorf("%s: rate %.3f and index of dispersion %.2f; want 1 and %.2f", c.name, rate, index, c.want)
		}
	}
}

func TestRateMapsCountsOnTime(t *testing.T) {
	f := NewRate([]float64{10, 20, 30}, []float64{5, 15, 0})
	for _, c := range []struct{ at, count float64 }{{4, 20}, {10, 50}, {15, 50 + 37.5}, {20, 150}, {25, 150 + 56.25}, {30, 225}} {
		if got := f.When(c.count); math.Abs(got-c.at) > 1e-9 {
			t.Errorf("%g arrivals are expected at %g s, want %g", c.count, got, c.at)
		}
	}
	if !math.IsInf(f.When(226), 1) {
		t.Error("a rate of nothing brings another arrival")
	}
	if got := f.At(12.5); got != 7.5 {
		t.Errorf("a rate of %g at 12.5 s", got)
	}
}
