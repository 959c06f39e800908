package flowrig

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Spread is the middle of some rounds and their ends.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func spread(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return Spread{Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Min: sorted[0], Max: sorted[n-1]}
}

// Interval is a ratio with the bounds of its 95 % interval.
type Interval struct {
	Ratio float64 `json:"ratio"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// pairedRatio is the geometric mean of a/b over paired rounds, with Student's interval on the logarithms: what slows
// the machine for a while meets both sides of a pair and leaves their ratio.
func pairedRatio(a, b []float64) Interval {
	logs := make([]float64, len(a))
	for i := range a {
		logs[i] = math.Log(a[i] / b[i])
	}
	mean, dev := stat.MeanStdDev(logs, nil)
	n := float64(len(logs))
	half := math.Inf(1)
	if n > 1 {
		half = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * dev / math.Sqrt(n)
	}
	return Interval{Ratio: math.Exp(mean), Low: math.Exp(mean - half), High: math.Exp(mean + half)}
}
