package chance

import (
	"math"
	"math/rand/v2"
)

// Arrivals is a point process of mean rate 1. Its time is a count of expected arrivals: a rate that changes over
// the day maps it on the clock (see Rate), so that a process keeps its burstiness whatever the rate.
type Arrivals interface {
	// Next gives the time from one arrival to the next.
	Next(r *rand.Rand) float64
}

// Steady arrives at equal distances.
type Steady struct{}

func (Steady) Next(*rand.Rand) float64 { return 1 }

// Poisson arrives with no memory.
type Poisson struct{}

func (Poisson) Next(r *rand.Rand) float64 { return r.ExpFloat64() }

// MMPP is a Poisson process whose rate jumps between two states at random times.
type MMPP struct {
	rate  [2]float64 // arrivals in each state
	leave [2]float64 // jumps out of it
	state int
	begun bool
}

// NewMMPP gives the process of mean rate 1 with an asymptotic index of dispersion I of 1 or more, which spends the
// given share of its time in a state of high times the mean rate. For rates a and b, jump rates u (out of a) and v,
// and p = v/(u+v), the index of dispersion for counts is 1 + 2 (a-b)^2 p (1-p) / ((u+v) m) with the mean rate m
// (Heffes and Lucantoni 1986), which gives u+v.
func NewMMPP(dispersion, high, share float64) *MMPP {
	low := (1 - share*high) / (1 - share)
	m := &MMPP{rate: [2]float64{high, low}}
	if dispersion <= 1 || high == low {
		m.rate = [2]float64{1, 1}
		m.leave = [2]float64{1, 1}
		return m
	}
	sum := 2 * (high - low) * (high - low) * share * (1 - share) / (dispersion - 1)
	m.leave = [2]float64{(1 - share) * sum, share * sum}
	return m
}

func (m *MMPP) Next(r *rand.Rand) float64 {
	if !m.begun { // in the state that a look at a random moment would find
		m.begun = true
		if r.Float64() >= m.leave[1]/(m.leave[0]+m.leave[1]) {
			m.state = 1
		}
	}
	gap := 0.0
	for {
		total := m.rate[m.state] + m.leave[m.state]
		gap += r.ExpFloat64() / total
		if r.Float64()*total < m.rate[m.state] {
			return gap
		}
		m.state = 1 - m.state
	}
}

// Recorded gives the distances of a list of times, in seconds, and after its end nothing more.
type Recorded struct {
	Times []float64
	next  int
}

func (l *Recorded) Next(*rand.Rand) float64 {
	if l.next == len(l.Times) {
		return math.Inf(1)
	}
	gap := l.Times[l.next]
	if l.next > 0 {
		gap -= l.Times[l.next-1]
	}
	l.next++
	return gap
}

// Rate is a rate of arrivals over time, in pieces that are each a straight line.
type Rate struct{ at, rate, sum []float64 }

// NewRate takes moments in seconds, rising, and the rate at each; it is constant before the first and after the last.
func NewRate(at, rate []float64) *Rate {
	f := &Rate{at: at, rate: rate, sum: make([]float64, len(at))}
	for i := range at {
		if i == 0 {
			f.sum[0] = at[0] * rate[0]
		} else {
			f.sum[i] = f.sum[i-1] + (at[i]-at[i-1])*(rate[i]+rate[i-1])/2
		}
	}
	return f
}

// At gives the rate at a moment.
func (f *Rate) At(t float64) float64 {
	n := len(f.at)
	if t <= f.at[0] {
		return f.rate[0]
	}
	for i := 1; i < n; i++ {
		if t <= f.at[i] && f.at[i] > f.at[i-1] {
			return f.rate[i-1] + (f.rate[i]-f.rate[i-1])*(t-f.at[i-1])/(f.at[i]-f.at[i-1])
		}
	}
	return f.rate[n-1]
}

// When gives the moment at which so many arrivals are expected to have come; infinite where that never happens.
func (f *Rate) When(count float64) float64 {
	n := len(f.at)
	i := 0
	for i < n && f.sum[i] < count {
		i++
	}
	switch {
	case i == 0:
		return count / f.rate[0]
	case i == n:
		if f.rate[n-1] <= 0 {
			return math.Inf(1)
		}
		return f.at[n-1] + (count-f.sum[n-1])/f.rate[n-1]
	}
	left, a := count-f.sum[i-1], f.rate[i-1]
	slope := (f.rate[i] - a) / (f.at[i] - f.at[i-1])
	// a x + slope x^2/2 = left, in the form that stays exact where the slope is small.
	return f.at[i-1] + 2*left/(a+math.Sqrt(max(0, a*a+2*slope*left)))
}
