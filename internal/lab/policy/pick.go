package policy

import (
	"math"
	"math/rand/v2"
)

// rule is one policy: how it picks from the servers that may be sent a request (never none, in the order of the list),
// and of how many it draws one.
type rule struct {
	pick    func(n *node, from []*server) *server
	choices func(servers int) int
	reports bool // it works on load reports, and so asks for them where they come on probes alone
}

func everyone(servers int) int { return servers }

func one(servers int) int { return min(1, servers) }

func random(n *node, from []*server) *server { return from[n.rng.IntN(len(from))] }

// roundRobin takes the servers in turn, from a place drawn from the seed on: many balancers that started at the head of
// one list would go through it in step.
func roundRobin(n *node, from []*server) *server {
	s := from[n.turn%uint64(len(from))]
	n.turn++
	return s
}

// leastOutstanding takes the server with the fewest of this balancer's own attempts out, ties at random.
func leastOutstanding(n *node, from []*server) *server {
	return lowest(n.rng, from, func(s *server) float64 { return float64(s.out) })
}

// leastForWarmth takes the server with the fewest of this balancer's own attempts out, this one with them, for what it can do
// at its age by the rule on cold ones. It is what room at cold servers is held against: it sees how warm each is, and keeps
// nothing back.
func leastForWarmth(n *node, from []*server) *server {
	rules := &n.cfg.Rules
	return lowest(n.rng, from, func(s *server) float64 {
		warm, age := 1.0, n.now-s.Started
		if s.Started != 0 && age < rules.ColdFor {
			warm = rules.ColdFrom + (1-rules.ColdFrom)*max(0, age.Seconds())/rules.ColdFor.Seconds()
		}
		return float64(s.out+1) / warm
	})
}

// powerOfTwo draws two different servers and takes the one with fewer of this balancer's own attempts out. The order
// of the draw is the tie's (Mitzenmacher, The power of two choices in randomized load balancing, IEEE TPDS 12(10),
// 2001, with own counts in the place of queues).
func powerOfTwo(n *node, from []*server) *server {
	i := n.rng.IntN(len(from))
	if len(from) == 1 {
		return from[i]
	}
	j := n.rng.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if from[j].out < from[i].out {
		return from[j]
	}
	return from[i]
}

// lowestReports is the static rule of "Burstiness-aware load balancing": uniform among the K servers with the lowest
// reports; K = 1 is its greedy rule, Qlen. A server that has reported nothing yet counts as idle, as all
// do there at the start. Ties are in random order, since in the order of the list they would herd even between
// reports.
func lowestReports(k int) func(*node, []*server) *server {
	report := func(s *server) float64 { return s.report }
	if k == 1 {
		return func(n *node, from []*server) *server { return lowest(n.rng, from, report) }
	}
	return func(n *node, from []*server) *server {
		// One uniform rank among the K, then the server that holds it: with ties in random order it is any of those
		// with the same report.
		n.figures = n.figures[:0]
		for _, s := range from {
			n.figures = append(n.figures, s.report)
		}
		at := ranked(n.rng, n.figures, n.rng.IntN(min(k, len(from))))
		return lowest(n.rng, from, func(s *server) float64 { return math.Abs(s.report - at) })
	}
}

// lowest gives a server with the lowest figure, each of a tie with the same chance. It looks twice and draws once, for
// a fleet of thousands is gone through at each request.
func lowest(rng *rand.Rand, from []*server, figure func(*server) float64) *server {
	least, ties := math.Inf(1), 0
	for _, s := range from {
		switch f := figure(s); {
		case f < least:
			least, ties = f, 1
		case f == least:
			ties++
		}
	}
	left := rng.IntN(max(1, ties))
	for _, s := range from {
		if figure(s) == least {
			if left == 0 {
				return s
			}
			left--
		}
	}
	return from[left]
}

// ranked gives the value at a rank, 0 being the lowest, and leaves x in another order: quickselect (Hoare, Algorithm
// 65, CACM 1961), linear where a sort of the whole fleet at each request would not be.
func ranked(rng *rand.Rand, x []float64, rank int) float64 {
	for len(x) > 1 {
		pivot := x[rng.IntN(len(x))]
		below, same := 0, 0 // x is kept as: below the pivot, the pivot, not yet seen, above
		for above := len(x); below+same < above; {
			switch i := below + same; {
			case x[i] < pivot:
				x[i], x[below] = x[below], x[i]
				below++
			case x[i] > pivot:
				above--
				x[i], x[above] = x[above], x[i]
			default:
				same++
			}
		}
		switch {
		case rank < below:
			x = x[:below]
		case rank < below+same:
			return pivot
		default:
			rank -= below + same
			x = x[below+same:]
		}
	}
	return x[0]
}
