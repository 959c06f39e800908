package chance

import (
	"math"
	"math/rand/v2"
)

// Dist is a distribution of positive numbers with a known mean and squared coefficient of variation.
type Dist interface {
	Draw(r *rand.Rand) float64
	Mean() float64
	SCV() float64
}

// Constant always gives itself.
type Constant float64

func (c Constant) Draw(*rand.Rand) float64 { return float64(c) }
func (c Constant) Mean() float64           { return float64(c) }
func (c Constant) SCV() float64            { return 0 }

// Exponential has the given mean.
type Exponential float64

func (e Exponential) Draw(r *rand.Rand) float64 { return float64(e) * r.ExpFloat64() }
func (e Exponential) Mean() float64             { return float64(e) }
func (e Exponential) SCV() float64              { return 1 }

// Uniform lies between two figures.
type Uniform struct{ From, To float64 }

func (u Uniform) Draw(r *rand.Rand) float64 { return u.From + (u.To-u.From)*r.Float64() }
func (u Uniform) Mean() float64             { return (u.From + u.To) / 2 }
func (u Uniform) SCV() float64 {
	d := u.To - u.From
	return d * d / 12 / (u.Mean() * u.Mean())
}

// Lognormal is given by the mean and standard deviation of its logarithm; see NewLognormal.
type Lognormal struct{ mu, sigma float64 }

// NewLognormal has the given mean and coefficient of variation.
func NewLognormal(mean, cv float64) Lognormal {
	s2 := math.Log(1 + cv*cv)
	return Lognormal{math.Log(mean) - s2/2, math.Sqrt(s2)}
}

func (l Lognormal) Draw(r *rand.Rand) float64 { return math.Exp(l.mu + l.sigma*r.NormFloat64()) }
func (l Lognormal) Mean() float64             { return math.Exp(l.mu + l.sigma*l.sigma/2) }
func (l Lognormal) SCV() float64              { return math.Exp(l.sigma*l.sigma) - 1 }

// Hyperexponential is one of two exponentials, chosen by chance.
type Hyperexponential struct{ share, first, second float64 }

// NewHyperexponential has the given mean and a coefficient of variation of 1 or more. Of the many pairs of
// exponentials with these two moments it is the one with balanced means: both carry half of the work.
func NewHyperexponential(mean, cv float64) Hyperexponential {
	c2 := max(1, cv*cv)
	p := (1 + math.Sqrt((c2-1)/(c2+1))) / 2
	return Hyperexponential{p, mean / (2 * p), mean / (2 * (1 - p))}
}

func (h Hyperexponential) Draw(r *rand.Rand) float64 {
	if r.Float64() < h.share {
		return h.first * r.ExpFloat64()
	}
	return h.second * r.ExpFloat64()
}

func (h Hyperexponential) Mean() float64 { return h.share*h.first + (1-h.share)*h.second }

func (h Hyperexponential) SCV() float64 {
	second := 2 * (h.share*h.first*h.first + (1-h.share)*h.second*h.second)
	return second/(h.Mean()*h.Mean()) - 1
}

// Trace draws from a recorded list, each figure with the same chance.
type Trace []float64

func (t Trace) Draw(r *rand.Rand) float64 { return t[r.IntN(len(t))] }

func (t Trace) Mean() (mean float64) {
	for _, v := range t {
		mean += v / float64(len(t))
	}
	return mean
}

func (t Trace) SCV() float64 {
	mean, square := t.Mean(), 0.0
	for _, v := range t {
		square += (v - mean) * (v - mean) / float64(len(t))
	}
	return square / (mean * mean)
}

// Scaled is a distribution times a factor.
type Scaled struct {
	Dist
	By float64
}

func (s Scaled) Draw(r *rand.Rand) float64 { return s.By * s.Dist.Draw(r) }
func (s Scaled) Mean() float64             { return s.By * s.Dist.Mean() }
