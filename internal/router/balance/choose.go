// Package balance picks an instance uniformly among the K least loaded candidates, and computes the cost by which they
// are ranked. It has no state of its own, no clock and no I/O.
package balance

import "math"

// Widths set K, the number of candidates among which the pick is uniform, outside of bursts and during one.
type Widths struct {
	Normal      int     // K outside of bursts; the design's ths
	BurstShare  float64 // K in a burst (the design's thl) as a share of the candidates, rounded up
	PrefixBurst int     // K in a burst for requests that share a prefix, which each further instance would prefill again
}

// DefaultWidths are the widths used in production. They are the design's, except for shared prefixes: there K of half
// the instances costs more in duplicate prefill than it gains.
var DefaultWidths = Widths{Normal: 1, BurstShare: 0.5, PrefixBurst: 2}

// K returns the number of least loaded candidates among which the pick is uniform, from 1 to candidates.
func (w Widths) K(candidates int, burst, sharesPrefix bool) int {
	width := w.Normal
	if burst {
		width = max(width, w.burstWidth(candidates, sharesPrefix))
	}
	return max(1, min(width, candidates))
}

func (w Widths) burstWidth(candidates int, sharesPrefix bool) int {
	if sharesPrefix {
		return w.PrefixBurst
	}
	return int(math.Ceil(w.BurstShare * float64(candidates)))
}

// Choose returns the index of one of the k lowest costs, each with the same probability, or -1 if there are no costs.
// Ties are broken at random. The result is a function of the arguments.
func Choose(costs []float64, k int, random uint64) int {
	if len(costs) == 0 {
		return -1
	}
	k = max(1, min(k, len(costs)))
	var buffer [stackBufferWidth]ranked
	lowest := buffer[:0]
	tieSeed := mix(random)
	for i, cost := range costs {
		lowest = insert(lowest, k, ranked{cost: cost, tie: mix(tieSeed + uint64(i)), index: i})
	}
	return lowest[random%uint64(k)].index
}

// stackBufferWidth is the largest k for which Choose does not allocate.
const stackBufferWidth = 32

type ranked struct {
	cost  float64
	tie   uint64
	index int
}

func (r ranked) before(other ranked) bool {
	if r.cost != other.cost {
		return r.cost < other.cost
	}
	return r.tie < other.tie
}

// insert inserts a candidate into the sorted list of the k lowest ones, which it keeps at most k long.
func insert(lowest []ranked, k int, candidate ranked) []ranked {
	if len(lowest) == k {
		if !candidate.before(lowest[k-1]) {
			return lowest
		}
		lowest = lowest[:k-1]
	}
	position := len(lowest)
	lowest = append(lowest, candidate)
	for position > 0 && candidate.before(lowest[position-1]) {
		lowest[position] = lowest[position-1]
		position--
	}
	lowest[position] = candidate
	return lowest
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
