package selection

import (
	"math"
	"slices"

	"pewterrudder/internal/router/prefixcache"
)

// home is an instance that all routers presume to keep a prompt's shared blocks.
type home struct {
	target *target
	weight float64
}

// homes are the instances that all routers presume to keep a prompt's shared blocks, without any request from here, because all
// routers send such prompts to them.
type homes struct {
	ranked  []home
	popular int // homes that the prefix has because many ask for it; at least 1
}

func (h *homes) keeps(known *target) bool {
	return slices.ContainsFunc(h.ranked, func(home home) bool { return home.target == known })
}

// homesOf ranks the candidates for the request's last shared block. A prefix has one home, unless many ask for it or the routers
// agreed on more.
func (s *Selector) homesOf(c *choice, candidates []*target) homes {
	key, ok := prefixcache.HomeKey(c.modelHash, c.request.Prefix)
	if !ok || s.options.NoHomes {
		return homes{}
	}
	popular := c.from.popular.homes(c.request.Now, key, len(candidates))
	replicas := max(popular, s.replicas(c.from, c.request))
	ranked := s.scratch.homes[:0]
	for _, known := range candidates {
		if known.isHome {
			ranked = insertHome(ranked, replicas, home{target: known, weight: known.homeWeight(key)})
		}
	}
	s.scratch.homes = ranked
	return homes{ranked: ranked, popular: popular}
}

// homeWeight ranks the instance as a home by weighted rendezvous hashing: its chance to be the first is in proportion to its share
// of homes, and few homes move when the share of one instance changes.
func (t *target) homeWeight(key prefixcache.Key) float64 {
	uniform := (float64(prefixcache.HomeWeight(t.homeHash, key)>>uniformShift) + 0.5) / (1 << uniformBits)
	return t.homeShare() / -math.Log(uniform)
}

const (
	uniformBits  = 53 // what a float64 holds of a hash
	uniformShift = 64 - uniformBits
)

// insertHome puts an instance in its place among at most so many.
func insertHome(ranked []home, places int, found home) []home {
	at := len(ranked)
	if at == places {
		at--
		if found.weight <= ranked[at].weight {
			return ranked
		}
	} else {
		ranked = append(ranked, found)
	}
	for at > 0 && found.weight > ranked[at-1].weight {
		ranked[at] = ranked[at-1]
		at--
	}
	ranked[at] = found
	return ranked
}
