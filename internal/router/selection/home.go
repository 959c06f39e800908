package selection

import (
	"math"
	"slices"

	"pewterrudder/internal/router/prefixcache"
)

// home is an instance that all routers presume to cache a prompt's shared blocks, and its rank among the candidates.
type home struct {
	target *target
	score  float64 // higher ranks first
}

// homes are the instances that all routers presume to cache a prompt's shared blocks, because all routers send such
// prompts to them. The presumption holds even if this router has sent them none.
type homes struct {
	ranked       []home
	byPopularity int // number of homes that the popularity of the prefix asks for, at least 1
}

func (h *homes) contains(t *target) bool {
	return slices.ContainsFunc(h.ranked, func(home home) bool { return home.target == t })
}

// rankHomes ranks the candidates as homes of the request's last shared block and returns the best. A prefix has one
// home, unless it is popular or the routers agreed on more replicas.
func (s *Selector) rankHomes(c *pickContext, candidates []*target) homes {
	key, ok := prefixcache.HomeKey(c.modelHash, c.request.Prefix)
	if !ok || s.options.NoHomes {
		return homes{}
	}
	byPopularity := c.backend.popularity.homeCount(c.request.Now, key, len(candidates))
	replicas := max(byPopularity, s.replicas(c.backend, c.request))
	ranked := s.scratch.homes[:0]
	for _, t := range candidates {
		if t.canBeHome {
			ranked = insertHome(ranked, replicas, home{target: t, score: t.homeScore(key)})
		}
	}
	s.scratch.homes = ranked
	return homes{ranked: ranked, byPopularity: byPopularity}
}

// homeScore ranks the instance as a home of a key by weighted rendezvous hashing: its chance to rank first is
// proportional to its homeShare, and few homes move when one instance's share changes.
func (t *target) homeScore(key prefixcache.Key) float64 {
	uniform := (float64(prefixcache.RendezvousWeight(t.homeHash, key)>>uniformShift) + 0.5) / (1 << uniformBits)
	return t.homeShare() / -math.Log(uniform)
}

const (
	uniformBits  = 53 // bits of a hash that a float64 can hold
	uniformShift = 64 - uniformBits
)

// insertHome inserts a home into a list that is sorted by descending score and keeps the best ones, at most limit.
func insertHome(ranked []home, limit int, added home) []home {
	position := len(ranked)
	if position == limit {
		position--
		if added.score <= ranked[position].score {
			return ranked
		}
	} else {
		ranked = append(ranked, added)
	}
	for position > 0 && added.score > ranked[position-1].score {
		ranked[position] = ranked[position-1]
		position--
	}
	ranked[position] = added
	return ranked
}
