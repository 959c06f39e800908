package selection

import (
	"slices"

	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/prefixcache"
)

// SetCommonPrefixes replaces the set of common prefixes that the routers agreed on.
func (s *Selector) SetCommonPrefixes(set *commonprefix.Set) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commonPrefixes = set
	s.applyCommonPrefixes()
}

// applyCommonPrefixes derives how many instances should cache each common prefix, and which instances hold the agreed
// places.
func (s *Selector) applyCommonPrefixes() {
	if s.commonPrefixes == nil {
		return
	}
	for name, b := range s.backends {
		if b.config.HasEngine {
			b.replicas = s.commonPrefixes.Replicas(b.replicationInput(name))
			b.assignPlaces(name, s.commonPrefixes)
		}
	}
}

// assignPlaces makes each instance rank as a home by the hash of its place; an instance without a place is no home.
// Without agreed places each instance ranks by the hash of its id.
func (b *backend) assignPlaces(name string, set *commonprefix.Set) {
	b.places = set.Assign(name, b.readyIDs(), b.places)
	hasPlaces := len(b.places) > 0
	for _, t := range b.targets {
		t.homeHash, t.canBeHome = t.hash, !hasPlaces
	}
	for _, place := range b.places {
		if t := b.targetByID(place.Instance); t != nil {
			t.homeHash, t.canBeHome = place.Hash(), true
		}
	}
}

func (b *backend) targetByID(id string) *target {
	for _, t := range b.targets {
		if t.instance.ID == id {
			return t
		}
	}
	return nil
}

func (b *backend) readyIDs() []string {
	var ids []string
	for _, t := range b.targets {
		if t.instance.Ready() {
			ids = append(ids, t.instance.ID)
		}
	}
	return ids
}

// Assignments lists, for each backend with an engine, the ready instances and the places that they hold.
func (s *Selector) Assignments() []commonprefix.Assignment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []commonprefix.Assignment
	for name, b := range s.backends {
		if b.config.HasEngine {
			places := slices.Clone(b.places)
			list = append(list, commonprefix.Assignment{Backend: name, Ready: b.readyIDs(), Places: places})
		}
	}
	return list
}

// replicationInput returns what the number of replicas depends on. Only ready instances count, since draining ones soon
// lose their caches.
func (b *backend) replicationInput(name string) commonprefix.Backend {
	return commonprefix.Backend{Name: name, Instances: len(b.readyIDs()), Capacity: b.config.KVCapacity}
}

// replicas returns the number of instances that should cache the request's shared blocks, at least 1.
func (s *Selector) replicas(b *backend, request *Request) int {
	if len(b.replicas) == 0 {
		return 1
	}
	shared := prefixcache.SharedBlocks(request.Prefix)
	key := commonprefix.Hash(s.commonPrefixes.Seed, request.Backend, request.Model, shared)
	return max(1, b.replicas[key])
}
