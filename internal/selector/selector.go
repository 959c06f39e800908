// Package selector decides which groups a server of the list belongs to. It has the selector of a group and an index of
// thousands of selectors, so that a server is compared only with the few that may match. It does no I/O, reads no
// clock, starts no goroutine, and does not depend on the purpose of the groups.
package selector

import (
	"slices"
	"strings"

	"pewterrudder/brain"
)

// Selector matches servers by their attributes. Each key that is not nil must match by at least one of its values.
// Without keys a selector matches every server. A name may contain one *, which matches any sequence of characters.
type Selector struct {
	Zones []string
	Kinds []string
	Cells []int
	IDs   []string
}

// Matches reports whether the selector matches a server.
func (s Selector) Matches(m *brain.Member) bool {
	return matchesAny(s.Zones, m.Zone) && matchesAny(s.Kinds, m.Kind) && matchesAny(s.IDs, m.Server) && (s.Cells == nil || slices.Contains(s.Cells, m.Cell))
}

// Equal reports whether two selectors have the same values in the same order.
func (s Selector) Equal(o Selector) bool {
	return equalLists(s.Zones, o.Zones) && equalLists(s.Kinds, o.Kinds) && equalLists(s.Cells, o.Cells) && equalLists(s.IDs, o.IDs)
}

// equalLists compares two keys. Nil and empty differ: a nil key matches everything, an empty one nothing.
func equalLists[T comparable](a, b []T) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }

// matchesAny reports whether a name matches one of the patterns, or patterns is nil.
func matchesAny(patterns []string, name string) bool {
	for _, p := range patterns {
		prefix, suffix, wildcard := strings.Cut(p, "*")
		matches := len(name) >= len(prefix)+len(suffix) && strings.HasPrefix(name, prefix) && strings.HasSuffix(name, suffix)
		if p == name || wildcard && matches {
			return true
		}
	}
	return patterns == nil
}
