package result

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence of the intervals that are printed.
const Confidence = 0.95

// Interval gives the mean of independent figures and the half-width of Student's interval about it. Of fewer than two
// figures nothing can be told: the half-width is infinite.
func Interval(figures []float64, confidence float64) (mean, half float64) {
	n := float64(len(figures))
	if n < 2 {
		return stat.Mean(figures, nil), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(figures, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile((1 + confidence) / 2)
	return mean, t * dev / math.Sqrt(n)
}
