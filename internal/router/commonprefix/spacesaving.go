package commonprefix

import "pewterrudder/internal/router/prefixcache"

// entry is a prefix in a summary.
type entry struct {
	key          Key
	backend      string
	home         prefixcache.Key
	tokens       int     // length of the prefix
	count        float64 // decayed number of its requests since it was inserted
	weight       float64 // upper bound of the decayed prompt tokens of its requests
	overestimate float64 // by which the weight may exceed the true one
}

// summary keeps the heaviest prefixes of one tenant by the Space-Saving algorithm (Metwally, Agrawal, El Abbadi 2005).
// When it is full, a new prefix replaces the lightest one and inherits its weight. A prefix whose true weight exceeds
// the total weight divided by the capacity is always in the summary.
type summary struct {
	capacity int
	index    map[Key]int // position in heap by key
	heap     []entry     // min-heap by weight
}

func newSummary(capacity int) *summary {
	return &summary{capacity: capacity, index: map[Key]int{}}
}

// add adds the count and weight of a request to those of its prefix.
func (s *summary) add(added entry) {
	at, known := s.index[added.key]
	if !known && len(s.heap) < s.capacity {
		s.insert(added)
		return
	}
	if !known {
		delete(s.index, s.heap[0].key)
		added.overestimate = s.heap[0].weight
	} else {
		added.overestimate = s.heap[at].overestimate
		added.count += s.heap[at].count
	}
	added.weight += s.heap[at].weight
	s.heap[at] = added
	s.index[added.key] = at
	s.siftDown(at)
}

func (s *summary) insert(added entry) {
	at := len(s.heap)
	s.heap = append(s.heap, added)
	s.index[added.key] = at
	s.siftUp(at)
}

// decay multiplies all counts and weights by the same factor, which preserves the heap order.
func (s *summary) decay(factor float64) {
	for i := range s.heap {
		s.heap[i].count *= factor
		s.heap[i].weight *= factor
		s.heap[i].overestimate *= factor
	}
}

// resize changes the capacity. If it shrinks, the lightest prefixes are removed.
func (s *summary) resize(capacity int) {
	s.capacity = capacity
	for len(s.heap) > capacity {
		s.removeLightest()
	}
}

func (s *summary) removeLightest() {
	delete(s.index, s.heap[0].key)
	last := len(s.heap) - 1
	if last > 0 {
		s.heap[0] = s.heap[last]
		s.index[s.heap[0].key] = 0
	}
	s.heap = s.heap[:last]
	s.siftDown(0)
}

func (s *summary) siftUp(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if s.heap[parent].weight <= s.heap[at].weight {
			return
		}
		s.swap(at, parent)
		at = parent
	}
}

func (s *summary) siftDown(at int) {
	for {
		least := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(s.heap); child++ {
			if s.heap[child].weight < s.heap[least].weight {
				least = child
			}
		}
		if least == at {
			return
		}
		s.swap(at, least)
		at = least
	}
}

func (s *summary) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.index[s.heap[i].key], s.index[s.heap[j].key] = i, j
}
