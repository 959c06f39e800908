package enginelab

import (
	"math"
	"slices"
)

// Result is what a run showed.
type Result struct {
	Kinds map[string]*KindResult
	// ReadAgain are shared tokens that were read although some instance had read them before.
	ReadAgain float64
	// Busiest is what the busiest instance has read against the mean.
	Busiest float64
}

// KindResult counts the requests of one kind. A late one counts once.
type KindResult struct {
	Requests  int
	Ended     int
	LateFirst int
	LatePause int
	Refused   int
	FirstMs   []float64 // times to the first event
}

// MedianFirstMs is the median time to the first event.
func (k *KindResult) MedianFirstMs() float64 {
	if len(k.FirstMs) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(k.FirstMs))
	return sorted[len(sorted)/2]
}

// Late is the share of the requests that were late.
func (k *KindResult) Late() float64 {
	return float64(k.LateFirst+k.LatePause) / float64(max(1, k.Requests))
}

func (r *Result) finish(machines []*machine) {
	sum, most := 0.0, 0.0
	for _, one := range machines {
		sum += one.engine.read
		most = max(most, one.engine.read)
	}
	if sum > 0 {
		r.Busiest = most * float64(len(machines)) / sum
	}
}
