package commonprefix

import (
	"cmp"
	"math"
	"slices"
)

// extraReplicaShare is the maximum fraction of a backend's cache capacity that replicas beyond the first may occupy.
const extraReplicaShare = 0.25

// Backend holds the properties of a backend that determine the number of replicas.
type Backend struct {
	Name      string
	Instances int
	// Capacity is the number of tokens that an instance can cache in addition to its running requests; 0 means unknown.
	Capacity int64
}

// Replicas returns how many instances of a backend should cache each of its common prefixes: the same fraction of the
// instances as the prefix has of the traffic, rounded up. Replicas beyond the first are limited to extraReplicaShare of
// the capacity, and prefixes with a larger share get theirs first.
func (s *Set) Replicas(backend Backend) map[Key]int {
	replicas := map[Key]int{}
	memory := int64(extraReplicaShare * float64(backend.Capacity) * float64(backend.Instances))
	for _, common := range s.prefixesOf(backend.Name) {
		wanted := int(math.Ceil(float64(common.Share) * float64(backend.Instances) / ShareUnits))
		extra := int64(min(max(1, wanted), backend.Instances) - 1)
		if tokens := int64(max(1, common.Tokens)); backend.Capacity > 0 {
			extra = min(extra, memory/tokens)
			memory -= extra * tokens
		}
		if extra >= 0 {
			replicas[common.Key] = 1 + int(extra)
		}
	}
	return replicas
}

// prefixesOf lists the prefixes of a backend, those with the largest share first.
func (s *Set) prefixesOf(backend string) []Common {
	var list []Common
	for _, common := range s.Prefixes {
		if common.Backend == backend {
			list = append(list, common)
		}
	}
	slices.SortFunc(list, func(a, b Common) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Key, b.Key))
	})
	return list
}
