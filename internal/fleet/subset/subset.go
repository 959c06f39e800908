// Package subset owns the question which app nodes are a balancer's own, so that the choices of many balancers add up: each app
// node is in as many subsets as its size deserves, and a change of one balancer or one app node moves few pairs. It is asked
// with the balancers that share the app nodes and with the list, and knows nothing else. It must never do I/O, read a clock,
// start a goroutine, pick a server for a call, or look at how an app node does.
//
// Each app node ranks the balancers by a hash of the pair (rendezvous: Thaler and Ravishankar, IEEE/ACM Transactions on
// Networking 6(1), 1998) and belongs to the first m of them, m being its share of all places: subset's size times balancers,
// by its size. So the number of balancers at an app node is exact wherever their views agree, and where one balancer comes or goes
// only its own pairs move, one of another balancer for each. What varies is how many app nodes a balancer gets. One with too few
// takes those at which it stands next in line, so that the module never lacks a choice.
//
// Zones are counted apart: a subset has its part of each, and of a small one all or three.
//
// With the same balancers and the same list two processes come to the same answer, whatever came in which order. Balancers
// whose views differ by one differ by one place at each app node at the most.
package subset

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// zoneLeast is how many app nodes of a zone there are at the least in a subset: a choice, and another for a repeat that must
	// stay in the zone.
	zoneLeast = 3
	// fewest is the part of the size below which chance may not bring a subset.
	fewest = 2.0 / 3
	// grains to a unit of size.
	grains = 1 << 10
	// steps in which the share of places follows the list, to each doubling: between two of them a list that grows by one app
	// node moves no pair of the others. A step is 9 %.
	steps = 8
)

// Set is one balancer's subset of one list. Make it with New. Alone it holds all.
type Set struct {
	size   int
	own    uint64
	others map[string]uint64
	nodes  map[string]*node
	groups map[string]*group
	all    int
	turns  uint64
}

type node struct {
	hash  uint64
	size  int64 // in grains
	group *group
	rank  int // of the others that come before us
	m     int // places
}

// group is a zone.
type group struct {
	n     int
	size  int64   // of all, in grains: a sum that does not hang on the order
	q     float64 // places for each grain, in steps
	level int     // ranks past its places up to which we hold an app node
	by    map[int]int
	held  int
}

// New is the subset of a balancer, by its address, of size app nodes on average.
func New(own string, size int) *Set {
	return &Set{size: max(1, size), own: xxhash.Sum64String(own), others: map[string]uint64{}, nodes: map[string]*node{}, groups: map[string]*group{}}
}

// Turns rises whenever an app node may have come into the subset or left it that was not itself put or removed.
func (s *Set) Turns() uint64 { return s.turns }

// Count is how many app nodes are held, and how many there are.
func (s *Set) Count() (held, of int) {
	for _, g := range s.groups {
		held += g.held
	}
	return held, s.all
}

// Balancers is how many share the list, we among them.
func (s *Set) Balancers() int { return 1 + len(s.others) }

// Sharing is how many of so many balancers have an app node of mean size in their subsets.
func (s *Set) Sharing(balancers int) int {
	if s.all == 0 {
		return balancers
	}
	return min(balancers, max(1, int(math.Round(float64(s.size*balancers)/float64(s.all)))))
}

// Enter adds a balancer that shares the list. The work is a hash for each app node.
func (s *Set) Enter(balancer string) {
	h := xxhash.Sum64String(balancer)
	if _, there := s.others[balancer]; there || h == s.own {
		return
	}
	s.others[balancer] = h
	s.shift(h, 1)
}

// Leave takes one away.
func (s *Set) Leave(balancer string) {
	h, there := s.others[balancer]
	if !there {
		return
	}
	delete(s.others, balancer)
	s.shift(h, -1)
}

func (s *Set) shift(h uint64, by int) {
	for _, n := range s.nodes {
		if before(h, s.own, n.hash) {
			n.group.move(n, n.rank+by, n.m)
		}
	}
	s.settle()
	s.turns++
}

// Put enters an app node, or says that its zone or size is another. The work is a hash for each balancer.
func (s *Set) Put(id, zone string, size float64) {
	if !(size > 0) || size > 1e6 {
		size = 1
	}
	weight := max(1, int64(math.Round(size*grains)))
	n := s.nodes[id]
	if n != nil && n.size == weight && n.group == s.groups[zone] {
		return
	}
	if n != nil {
		s.take(id, n)
	}
	n = &node{hash: xxhash.Sum64String(id), size: weight, group: s.groups[zone]}
	if n.group == nil {
		n.group = &group{by: map[int]int{}}
		s.groups[zone] = n.group
	}
	for _, h := range s.others {
		if before(h, s.own, n.hash) {
			n.rank++
		}
	}
	s.nodes[id] = n
	g := n.group
	g.n, g.size = g.n+1, g.size+weight
	s.all++
	n.m = g.places(n)
	g.by[n.rank-n.m]++
	if n.rank-n.m < g.level {
		g.held++
	}
	s.settle()
}

// Remove takes an app node off the list.
func (s *Set) Remove(id string) {
	if n := s.nodes[id]; n != nil {
		s.take(id, n)
		s.settle()
	}
}

func (s *Set) take(id string, n *node) {
	g := n.group
	delete(s.nodes, id)
	g.drop(n.rank - n.m)
	g.n, g.size = g.n-1, g.size-n.size
	s.all--
	if n.rank-n.m < g.level {
		g.held--
	}
}

// Holds says whether an app node is of the subset; one that is not on the list is not.
func (s *Set) Holds(id string) bool {
	n := s.nodes[id]
	return n != nil && n.rank-n.m < n.group.level
}

// settle brings places and levels in line with the numbers there are. Mostly nothing changes, and the work is that of the zones.
func (s *Set) settle() {
	for zone, g := range s.groups {
		if g.n == 0 {
			delete(s.groups, zone)
			continue
		}
		part := float64(g.n) / float64(s.all)
		if q := step(float64(s.size*s.Balancers()) * part / float64(g.size)); q != g.q {
			g.q = q
			s.turns++
			for _, n := range s.nodes {
				if n.group == g {
					g.move(n, n.rank, g.places(n))
				}
			}
		}
		least := min(g.n, max(zoneLeast, int(math.Ceil(fewest*float64(s.size)*part))))
		level, held := 0, 0
		for d, n := range g.by {
			if d < 0 {
				held += n
			}
		}
		for ; held < least; level++ {
			held += g.by[level]
		}
		if level != g.level {
			s.turns++
		}
		g.level, g.held = level, held
	}
}

// move has an app node stand elsewhere. What is held is counted again by settle.
func (g *group) move(n *node, rank, m int) {
	g.drop(n.rank - n.m)
	n.rank, n.m = rank, m
	g.by[rank-m]++
}

func (g *group) drop(d int) {
	if g.by[d]--; g.by[d] == 0 {
		delete(g.by, d)
	}
}

// places is how many balancers an app node is due.
func (g *group) places(n *node) int { return max(1, int(math.Round(g.q*float64(n.size)))) }

// step rounds to the nearest of the steps, with those at whole numbers that small fleets need among them.
func step(q float64) float64 {
	if q <= 0 || math.IsInf(q, 1) || math.IsNaN(q) {
		return 1
	}
	return math.Exp2(math.Round(math.Log2(q)*steps) / steps)
}

// before says whether one balancer comes before another at an app node.
func before(a, b, node uint64) bool {
	x, y := weight(a, node), weight(b, node)
	return x > y || x == y && a > b
}

// weight mixes two hashes into one (the finalizer of SplitMix64: Steele, Lea and Flood, OOPSLA 2014).
func weight(balancer, node uint64) uint64 {
	z := balancer ^ node*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
