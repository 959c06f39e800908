// Package selector owns the question which of many groups an entry of the list belongs to: what a group asks for, in plain
// values, and an index of thousands of such wishes, so that an entry is compared only with those that may take it. It must
// never do I/O, read a clock, start a goroutine, or know what a group is for.
package selector

import (
	"slices"
	"strings"

	"pewterrudder/brain"
)

// Selector picks entries by what the list says of them. Each key that is there must fit, by one of its values; with no key
// every entry is picked. Names may have one * that stands for any run of letters.
type Selector struct {
	Zones []string
	Kinds []string
	Cells []int
	IDs   []string
}

// Matches says whether an entry is picked.
func (s Selector) Matches(m *brain.Member) bool {
	return fits(s.Zones, m.Zone) && fits(s.Kinds, m.Kind) && fits(s.IDs, m.Server) && (s.Cells == nil || slices.Contains(s.Cells, m.Cell))
}

// Equal says whether two ask for the same in the same words.
func (s Selector) Equal(o Selector) bool {
	return alike(s.Zones, o.Zones) && alike(s.Kinds, o.Kinds) && alike(s.Cells, o.Cells) && alike(s.IDs, o.IDs)
}

// alike: a key without values fits nothing, and one that is not there everything.
func alike[T comparable](a, b []T) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }

func fits(patterns []string, name string) bool {
	for _, p := range patterns {
		head, tail, open := strings.Cut(p, "*")
		around := len(name) >= len(head)+len(tail) && strings.HasPrefix(name, head) && strings.HasSuffix(name, tail)
		if p == name || open && around {
			return true
		}
	}
	return patterns == nil
}
