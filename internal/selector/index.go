package selector

import (
	"math"
	"slices"
	"strings"

	"pewterrudder/brain"
)

// Index finds the selectors that match a server. Each selector is indexed by the values of one of its keys, the one
// whose slots hold the fewest selectors at that time, so that a server is compared with few selectors. The zero value
// is empty.
type Index struct {
	entries  map[uint16]entry
	patterns [3]patternIndex // indexed by keyID, keyKind and keyZone
	byCell   map[int][]uint16
	unkeyed  []uint16 // selectors without a key
}

// entry is an indexed selector and the key that it is indexed by.
type entry struct {
	Selector
	key keyField
}

// keyField is a key of a selector. More selective keys come first, since a tie goes to the first.
type keyField uint8

const (
	keyID keyField = iota
	keyKind
	keyZone
	keyCell
	keyNone
)

// patternIndex holds the ids of selectors by name pattern.
type patternIndex struct {
	exact, prefixes map[string][]uint16 // by whole name; by the part before the *
	prefixCounts    []int               // number of ids in prefixes, by prefix length
}

// patternsOf returns the patterns of keyID, keyKind or keyZone.
func (s *Selector) patternsOf(k keyField) []string {
	switch k {
	case keyID:
		return s.IDs
	case keyKind:
		return s.Kinds
	}
	return s.Zones
}

// Put stores a selector under an id and replaces a previous one.
func (x *Index) Put(id uint16, s Selector) {
	x.Delete(id)
	if x.entries == nil {
		x.entries, x.byCell = map[uint16]entry{}, map[int][]uint16{}
		for k := range x.patterns {
			x.patterns[k] = patternIndex{exact: map[string][]uint16{}, prefixes: map[string][]uint16{}}
		}
	}
	e := entry{s, x.bestKey(&s)}
	x.entries[id] = e
	switch e.key {
	case keyNone:
		x.unkeyed = append(x.unkeyed, id)
	case keyCell:
		for _, c := range s.Cells {
			if ids := x.byCell[c]; !slices.Contains(ids, id) {
				x.byCell[c] = append(ids, id)
			}
		}
	default:
		for _, p := range s.patternsOf(e.key) {
			x.patterns[e.key].add(p, id)
		}
	}
}

// bestKey returns the key of the selector whose largest slot is smallest. A pattern that begins with a * counts as a
// slot of all selectors, since it would be compared with every server.
func (x *Index) bestKey(s *Selector) keyField {
	best, fewest := keyNone, math.MaxInt
	for _, k := range []keyField{keyID, keyKind, keyZone} {
		n := 0
		for _, p := range s.patternsOf(k) {
			n = max(n, x.patterns[k].candidates(p, len(x.entries)))
		}
		if s.patternsOf(k) != nil && n < fewest {
			best, fewest = k, n
		}
	}
	n := 0
	for _, c := range s.Cells {
		n = max(n, len(x.byCell[c]))
	}
	if s.Cells != nil && n < fewest {
		best = keyCell
	}
	return best
}

// Delete removes the selector of an id, if there is one.
func (x *Index) Delete(id uint16) {
	e, ok := x.entries[id]
	if !ok {
		return
	}
	delete(x.entries, id)
	switch e.key {
	case keyNone:
		x.unkeyed = without(x.unkeyed, id)
	case keyCell:
		for _, c := range e.Cells {
			removeID(x.byCell, c, id)
		}
	default:
		for _, p := range e.patternsOf(e.key) {
			x.patterns[e.key].remove(p, id)
		}
	}
}

// Match appends the ids of the selectors that match a server to a slice, in increasing order and without duplicates.
func (x *Index) Match(m *brain.Member, into []uint16) []uint16 {
	from := len(into)
	into = x.appendMatches(x.unkeyed, m, into)
	into = x.appendMatches(x.byCell[m.Cell], m, into)
	for k, name := range [...]string{keyID: m.Server, keyKind: m.Kind, keyZone: m.Zone} {
		n := &x.patterns[k]
		into = x.appendMatches(n.exact[name], m, into)
		for l := 0; l < len(n.prefixCounts) && l <= len(name); l++ {
			if n.prefixCounts[l] > 0 {
				into = x.appendMatches(n.prefixes[name[:l]], m, into)
			}
		}
	}
	slices.Sort(into[from:])
	return into[:from+len(slices.Compact(into[from:]))]
}

// appendMatches appends those of the ids whose selectors match a server.
func (x *Index) appendMatches(ids []uint16, m *brain.Member, into []uint16) []uint16 {
	for _, id := range ids {
		if e := x.entries[id]; e.Matches(m) {
			into = append(into, id)
		}
	}
	return into
}

// candidates returns the size of a pattern's slot; all is the number of selectors in the index.
func (n *patternIndex) candidates(pattern string, all int) int {
	prefix, _, wildcard := strings.Cut(pattern, "*")
	switch {
	case !wildcard:
		return len(n.exact[pattern])
	case prefix == "":
		return all
	}
	return len(n.prefixes[prefix])
}

// add adds an id to the slot of a pattern, unless it is already there.
func (n *patternIndex) add(pattern string, id uint16) {
	prefix, _, wildcard := strings.Cut(pattern, "*")
	if !wildcard {
		if ids := n.exact[pattern]; !slices.Contains(ids, id) {
			n.exact[pattern] = append(ids, id)
		}
		return
	}
	if ids := n.prefixes[prefix]; !slices.Contains(ids, id) {
		n.prefixes[prefix] = append(ids, id)
		for len(n.prefixCounts) <= len(prefix) {
			n.prefixCounts = append(n.prefixCounts, 0)
		}
		n.prefixCounts[len(prefix)]++
	}
}

// remove removes an id from the slot of a pattern, if it is there.
func (n *patternIndex) remove(pattern string, id uint16) {
	prefix, _, wildcard := strings.Cut(pattern, "*")
	if !wildcard {
		removeID(n.exact, pattern, id)
	} else if removeID(n.prefixes, prefix, id) {
		n.prefixCounts[len(prefix)]--
	}
}

// removeID removes an id from a slot, and an empty slot from the map. It reports whether the id was there.
func removeID[K comparable](slots map[K][]uint16, key K, id uint16) bool {
	ids := without(slots[key], id)
	if len(ids) == len(slots[key]) {
		return false
	}
	if slots[key] = ids; len(ids) == 0 {
		delete(slots, key)
	}
	return true
}

// without returns ids without id. It reuses the array of ids.
func without(ids []uint16, id uint16) []uint16 {
	if i := slices.Index(ids, id); i >= 0 {
		return slices.Delete(ids, i, i+1)
	}
	return ids
}
