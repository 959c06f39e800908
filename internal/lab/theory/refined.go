package theory

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// levels is how many of the shares of servers with i requests or more are kept: at load 0.9 the twelfth is 0.9^4095.
const levels = 12

// ChoicesOf is the mean response of two choices among so many servers: the fixed point with its first correction, of
// the order 1/servers. In the wait the limit itself is some 2 % short at 100 servers and load 0.9, so that a node which
// is right would miss it by as much. After N. Gast and B. Van Houdt, A refined mean field approximation, Proc. ACM on
// Measurement and Analysis of Computing Systems 1(2), 2017: with the drift f, its Jacobian A and second derivative B at
// the fixed point, and the noise Q of the jumps there, W solves A W + W A' + Q = 0, and the correction V solves
// A V + (B W)/2 + C = 0. C is what two different servers, rather than any two draws, add to the drift.
func ChoicesOf(servers int, load float64) (response float64) {
	// Of the servers with i requests or more; share(0) is 1.
	share := func(i int) float64 { return math.Pow(load, math.Exp2(float64(i))-1) }
	a := mat.NewDense(levels, levels, nil)
	for i := 1; i <= levels; i++ { // f_i = load (x_{i-1}^2 - x_i^2) - (x_i - x_{i+1})
		a.Set(i-1, i-1, -2*load*share(i)-1)
		if i > 1 {
			a.Set(i-1, i-2, 2*load*share(i-1))
		}
		if i < levels {
			a.Set(i-1, i, 1)
		}
	}
	// The equation for W as one of its elements: those of row i and column k stand at i*levels + k.
	whole := mat.NewDense(levels*levels, levels*levels, nil)
	noise := mat.NewVecDense(levels*levels, nil)
	for i := range levels {
		for k := range levels {
			at := i*levels + k
			for m := range levels {
				whole.Set(at, m*levels+k, whole.At(at, m*levels+k)+a.At(i, m))
				whole.Set(at, i*levels+m, whole.At(at, i*levels+m)+a.At(k, m))
			}
		}
		// At the fixed point a level rises as often as it falls.
		noise.SetVec(i*levels+i, -2*(share(i+1)-share(i+2)))
	}
	var w, v mat.VecDense
	if err := w.SolveVec(whole, noise); err != nil {
		return math.NaN()
	}
	right := mat.NewVecDense(levels, nil)
	spread := func(i int) float64 { // of a level: its variance, times the servers
		if i == 0 {
			return 0
		}
		return w.AtVec((i-1)*levels + i - 1)
	}
	apart := func(i int) float64 { return share(i) * (1 - share(i)) }
	for i := 1; i <= levels; i++ {
		right.SetVec(i-1, -load*(spread(i-1)-spread(i)-apart(i-1)+apart(i)))
	}
	if err := v.SolveVec(a, right); err != nil {
		return math.NaN()
	}
	held := 0.0
	for i := 1; i <= levels; i++ {
		held += share(i) + v.AtVec(i-1)/float64(servers)
	}
	return held / load // Little's law
}
