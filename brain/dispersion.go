package brain

// The paper's index of dispersion. What follows from it is decided in detect (brain.go).

func total(x []float64) (sum float64) {
	for _, v := range x {
		sum += v
	}
	return sum
}

// dispersion is the paper's index I = SCV * (1 + 2 * sum of autocorrelations).
func dispersion(x []float64) float64 {
	mean := total(x) / float64(len(x))
	var square float64
	for _, v := range x {
		square += (v - mean) * (v - mean)
	}
	if mean <= 0 || square <= 0 {
		return 0
	}
	rho := 0.0
	for lag := 1; lag <= detectLags && lag < len(x); lag++ {
		c := 0.0
		for i := lag; i < len(x); i++ {
			c += (x[i] - mean) * (x[i-lag] - mean)
		}
		rho += c / square
	}
	return max(0, square/float64(len(x))/(mean*mean)*(1+2*rho))
}
