package brain

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The consistent-hash ring for key affinity, identical on every node. homeServer (picking.go) uses it.

// ringPoint is one of the points of a server on the ring.
type ringPoint struct {
	position uint64
	server   *server
}

// buildRing puts each server on the ring with a number of points proportional to its size.
func (n *Node) buildRing() {
	size := 0.0
	for _, s := range n.fleet {
		size += s.size / float64(len(n.fleet))
	}
	for _, s := range n.fleet {
		for i := range max(1, int(ringPointsPerServer*s.size/size+0.5)) {
			n.ring = append(n.ring, ringPoint{hash(s.Server, uint64(i)+1), s})
		}
	}
	slices.SortFunc(n.ring, func(a, b ringPoint) int { return cmp.Compare(a.position, b.position) })
}

// hash must give the same result on all nodes.
func hash(text string, salt uint64) uint64 {
	d := xxhash.NewWithSeed(salt)
	d.WriteString(text)
	return d.Sum64()
}
