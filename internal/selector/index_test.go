package selector

import (
	"fmt"
	"slices"
	"testing"

	"pewterrudder/brain"

	"pgregory.net/rapid"
)

// randomSelector draws a selector from few distinct names, so that many selectors match the same server.
func randomSelector(t *rapid.T) Selector {
	name := rapid.SampledFrom([]string{"", "a", "b", "ab", "abc", "a*", "*b", "*", "ab*c", "a*b", "ba*"})
	names := func(key string) []string {
		if rapid.Bool().Draw(t, "no "+key) {
			return nil
		}
		return rapid.SliceOfN(name, 0, 3).Draw(t, key)
	}
	s := Selector{Zones: names("zones"), Kinds: names("kinds"), IDs: names("ids")}
	if rapid.Bool().Draw(t, "by cell") {
		s.Cells = rapid.SliceOfN(rapid.IntRange(0, 3), 0, 3).Draw(t, "cells")
	}
	return s
}

// Under any sequence of Put and Delete, the index finds the same selectors as a linear scan, and an emptied index has
// no slots left.
func TestIndexMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index
		selectors := map[uint16]Selector{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				id, s := uint16(rapid.IntRange(0, 12).Draw(t, "id")), randomSelector(t)
				x.Put(id, s)
				selectors[id] = s
			},
			"delete": func(t *rapid.T) {
				id := uint16(rapid.IntRange(0, 12).Draw(t, "id"))
				x.Delete(id)
				delete(selectors, id)
			},
			"": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"", "a", "b", "ab", "abc", "abac", "ba", "c"})
				m := brain.Member{Server: name.Draw(t, "server"), Kind: name.Draw(t, "kind"), Zone: name.Draw(t, "zone"), Cell: rapid.IntRange(0, 4).Draw(t, "cell")}
				var want []uint16
				for id, s := range selectors {
					if s.Matches(&m) {
						want = append(want, id)
					}
				}
				slices.Sort(want)
				if got := x.Match(&m, []uint16{7})[1:]; !slices.Equal(got, want) {
					t.Fatalf("%+v is matched by %v, want %v", m, got, want)
				}
			},
		})
		for id := range selectors {
			x.Delete(id)
		}
		slots := len(x.entries) + len(x.byCell) + len(x.unkeyed)
		for k := range x.patterns {
			slots += len(x.patterns[k].exact) + len(x.patterns[k].prefixes)
			for _, n := range x.patterns[k].prefixCounts {
				slots += n
			}
		}
		if slots > 0 {
			t.Fatalf("%d slots are left in an empty index", slots)
		}
	})
}

// A server is compared with few of thousands of selectors, whether they select by kind, by a part of a name, by a cell
// that all have in common and a kind of their own, or by id.
func TestIndexKeepsSlotsSmall(t *testing.T) {
	for name, selectorFor := range map[string]func(i int) Selector{
		"kind":          func(i int) Selector { return Selector{Kinds: []string{fmt.Sprint("k", i)}} },
		"kind and zone": func(i int) Selector { return Selector{Zones: []string{"a"}, Kinds: []string{fmt.Sprint("k", i)}} },
		"kind and cell": func(i int) Selector { return Selector{Cells: []int{1, 2}, Kinds: []string{fmt.Sprint("k", i)}} },
		"head":          func(i int) Selector { return Selector{Kinds: []string{fmt.Sprintf("k%04d-*", i)}} },
		"tail and zone": func(i int) Selector { return Selector{Kinds: []string{"*s"}, Zones: []string{fmt.Sprint("z", i)}} },
		"id":            func(i int) Selector { return Selector{IDs: []string{fmt.Sprint("s", i), fmt.Sprint("t", i)}} },
	} {
		var x Index
		for i := range 4096 {
			x.Put(uint16(i), selectorFor(i))
		}
		largest := len(x.unkeyed)
		for _, ids := range x.byCell {
			largest = max(largest, len(ids))
		}
		for k := range x.patterns {
			for _, ids := range x.patterns[k].exact {
				largest = max(largest, len(ids))
			}
			for _, ids := range x.patterns[k].prefixes {
				largest = max(largest, len(ids))
			}
		}
		if largest > 2 {
			t.Errorf("by %s: %d selectors in one slot, want at most 2", name, largest)
		}
	}
}

func TestEqual(t *testing.T) {
	selectors := []Selector{{}, {Zones: []string{}}, {Zones: []string{"a"}}, {Kinds: []string{"a"}}, {IDs: []string{"a"}}, {Cells: []int{1}}, {Cells: []int{}}}
	for i, a := range selectors {
		for k, b := range selectors {
			if a.Equal(b) != (i == k) {
				t.Errorf("%+v and %+v", a, b)
			}
		}
	}
}
