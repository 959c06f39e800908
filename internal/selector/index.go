package selector

import (
	"math"
	"slices"
	"strings"

	"pewterrudder/brain"
)

// Index finds the selectors that pick an entry. Each is entered under the values of one of its keys, the one whose places
// are emptiest then, so that an entry is compared with few. The zero value is empty.
type Index struct {
	held  map[uint16]entered
	keys  [3]names // by key
	cells map[int][]uint16
	rest  []uint16 // without a key
}

type entered struct {
	Selector
	by key
}

// key is what a selector is found by. Those that tell more come first: of two that are as good the first is taken.
type key uint8

const (
	ids key = iota
	kinds
	zones
	cells
	none
)

// names are places by name, and by what stands before a *.
type names struct {
	exact, heads map[string][]uint16
	lengths      []int // of heads: how many there are of each
}

func (s *Selector) named(k key) []string {
	switch k {
	case ids:
		return s.IDs
	case kinds:
		return s.Kinds
	}
	return s.Zones
}

// Put enters a selector, in place of the one that the id had.
func (x *Index) Put(id uint16, s Selector) {
	x.Delete(id)
	if x.held == nil {
		x.held, x.cells = map[uint16]entered{}, map[int][]uint16{}
		for k := range x.keys {
			x.keys[k] = names{exact: map[string][]uint16{}, heads: map[string][]uint16{}}
		}
	}
	e := entered{s, x.emptiest(&s)}
	x.held[id] = e
	switch e.by {
	case none:
		x.rest = append(x.rest, id)
	case cells:
		for _, c := range s.Cells {
			if at := x.cells[c]; !slices.Contains(at, id) {
				x.cells[c] = append(at, id)
			}
		}
	default:
		for _, p := range s.named(e.by) {
			x.keys[e.by].put(p, id)
		}
	}
}

// emptiest is the key whose fullest place is emptiest. What begins with a * would be compared with every entry.
func (x *Index) emptiest(s *Selector) key {
	best, least := none, math.MaxInt
	for _, k := range []key{ids, kinds, zones} {
		n := 0
		for _, p := range s.named(k) {
			n = max(n, x.keys[k].size(p, len(x.held)))
		}
		if s.named(k) != nil && n < least {
			best, least = k, n
		}
	}
	n := 0
	for _, c := range s.Cells {
		n = max(n, len(x.cells[c]))
	}
	if s.Cells != nil && n < least {
		best = cells
	}
	return best
}

// Delete takes the selector of an id out.
func (x *Index) Delete(id uint16) {
	e, ok := x.held[id]
	if !ok {
		return
	}
	delete(x.held, id)
	switch e.by {
	case none:
		x.rest = without(x.rest, id)
	case cells:
		for _, c := range e.Cells {
			leave(x.cells, c, id)
		}
	default:
		for _, p := range e.named(e.by) {
			x.keys[e.by].drop(p, id)
		}
	}
}

// Of appends the ids of the selectors that pick an entry, in rising order, each once.
func (x *Index) Of(m *brain.Member, into []uint16) []uint16 {
	from := len(into)
	into = x.among(x.rest, m, into)
	into = x.among(x.cells[m.Cell], m, into)
	for k, name := range [...]string{ids: m.Server, kinds: m.Kind, zones: m.Zone} {
		n := &x.keys[k]
		into = x.among(n.exact[name], m, into)
		for l := 0; l < len(n.lengths) && l <= len(name); l++ {
			if n.lengths[l] > 0 {
				into = x.among(n.heads[name[:l]], m, into)
			}
		}
	}
	slices.Sort(into[from:])
	return into[:from+len(slices.Compact(into[from:]))]
}

func (x *Index) among(some []uint16, m *brain.Member, into []uint16) []uint16 {
	for _, id := range some {
		if e := x.held[id]; e.Matches(m) {
			into = append(into, id)
		}
	}
	return into
}

func (n *names) size(pattern string, all int) int {
	head, _, open := strings.Cut(pattern, "*")
	switch {
	case !open:
		return len(n.exact[pattern])
	case head == "":
		return all
	}
	return len(n.heads[head])
}

func (n *names) put(pattern string, id uint16) {
	head, _, open := strings.Cut(pattern, "*")
	if !open {
		if at := n.exact[pattern]; !slices.Contains(at, id) {
			n.exact[pattern] = append(at, id)
		}
		return
	}
	if at := n.heads[head]; !slices.Contains(at, id) {
		n.heads[head] = append(at, id)
		for len(n.lengths) <= len(head) {
			n.lengths = append(n.lengths, 0)
		}
		n.lengths[len(head)]++
	}
}

func (n *names) drop(pattern string, id uint16) {
	head, _, open := strings.Cut(pattern, "*")
	if !open {
		leave(n.exact, pattern, id)
	} else if leave(n.heads, head, id) {
		n.lengths[len(head)]--
	}
}

// leave takes an id out of a place, if it is there.
func leave[K comparable](places map[K][]uint16, at K, id uint16) bool {
	some := without(places[at], id)
	if len(some) == len(places[at]) {
		return false
	}
	if places[at] = some; len(some) == 0 {
		delete(places, at)
	}
	return true
}

func without(some []uint16, id uint16) []uint16 {
	if i := slices.Index(some, id); i >= 0 {
		return slices.Delete(some, i, i+1)
	}
	return some
}
