package burst

// total returns the sum of the intervals.
func total(intervals []float64) float64 {
	sum := 0.0
	for _, interval := range intervals {
		sum += interval
	}
	return sum
}

// dispersion returns the index of dispersion I = SCV * (1 + 2 * sum of rho_k), where SCV is the squared coefficient of
// variation of the intervals and rho_k their autocorrelation at lag k, for k from 1 to lags. A Poisson stream has an
// index of 1. Without variation the index is 0, and negative estimates are returned as 0.
func dispersion(intervals []float64, lags int) float64 {
	mean := total(intervals) / float64(len(intervals))
	squares := sumOfSquares(intervals, mean)
	if mean <= 0 || squares <= 0 {
		return 0
	}
	correlations := 0.0
	for lag := 1; lag <= lags && lag < len(intervals); lag++ {
		correlations += sumOfProducts(intervals, mean, lag) / squares
	}
	scv := squares / float64(len(intervals)) / (mean * mean)
	return max(0, scv*(1+2*correlations))
}

// sumOfSquares returns the sum of the squared deviations from the mean.
func sumOfSquares(intervals []float64, mean float64) float64 {
	sum := 0.0
	for _, interval := range intervals {
		sum += (interval - mean) * (interval - mean)
	}
	return sum
}

// sumOfProducts returns the sum of the products of each deviation with the one lag intervals earlier.
func sumOfProducts(intervals []float64, mean float64, lag int) float64 {
	sum := 0.0
	for i := lag; i < len(intervals); i++ {
		sum += (intervals[i] - mean) * (intervals[i-lag] - mean)
	}
	return sum
}
