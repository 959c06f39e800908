package selector

import (
	"fmt"
	"slices"
	"testing"

	"pewterrudder/brain"

	"pgregory.net/rapid"
)

// drawn is a selector of few letters, so that many meet.
func drawn(t *rapid.T) Selector {
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

// Whatever comes, changes and goes, the index names just those that pick an entry, as a look at each of them says.
func TestTheIndexNamesThoseThatPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index
		truth := map[uint16]Selector{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				id, s := uint16(rapid.IntRange(0, 12).Draw(t, "id")), drawn(t)
				x.Put(id, s)
				truth[id] = s
			},
			"delete": func(t *rapid.T) {
				id := uint16(rapid.IntRange(0, 12).Draw(t, "id"))
				x.Delete(id)
				delete(truth, id)
			},
			"": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"", "a", "b", "ab", "abc", "abac", "ba", "c"})
				m := brain.Member{Server: name.Draw(t, "server"), Kind: name.Draw(t, "kind"), Zone: name.Draw(t, "zone"), Cell: rapid.IntRange(0, 4).Draw(t, "cell")}
				var want []uint16
				for id, s := range truth {
					if s.Matches(&m) {
						want = append(want, id)
					}
				}
				slices.Sort(want)
				if got := x.Of(&m, []uint16{7})[1:]; !slices.Equal(got, want) {
					t.Fatalf("%+v is of %v, want %v", m, got, want)
				}
			},
		})
		for id := range truth {
			x.Delete(id)
		}
		places := len(x.held) + len(x.cells) + len(x.rest)
		for k := range x.keys {
			places += len(x.keys[k].exact) + len(x.keys[k].heads)
			for _, n := range x.keys[k].lengths {
				places += n
			}
		}
		if places > 0 {
			t.Fatalf("%d places are left of an empty index", places)
		}
	})
}

// An entry is compared with few of thousands, whether they ask by kind, by a part of a name, by a cell that all share with a
// kind of their own, or by id.
func TestFewAreCompared(t *testing.T) {
	for name, of := range map[string]func(i int) Selector{
		"kind":          func(i int) Selector { return Selector{Kinds: []string{fmt.Sprint("k", i)}} },
		"kind and zone": func(i int) Selector { return Selector{Zones: []string{"a"}, Kinds: []string{fmt.Sprint("k", i)}} },
		"kind and cell": func(i int) Selector { return Selector{Cells: []int{1, 2}, Kinds: []string{fmt.Sprint("k", i)}} },
		"head":          func(i int) Selector { return Selector{Kinds: []string{fmt.Sprintf("k%04d-*", i)}} },
		"tail and zone": func(i int) Selector { return Selector{Kinds: []string{"*s"}, Zones: []string{fmt.Sprint("z", i)}} },
		"id":            func(i int) Selector { return Selector{IDs: []string{fmt.Sprint("s", i), fmt.Sprint("t", i)}} },
	} {
		var x Index
		for i := range 4096 {
			x.Put(uint16(i), of(i))
		}
		most := len(x.rest)
		for _, at := range x.cells {
			most = max(most, len(at))
		}
		for k := range x.keys {
			for _, at := range x.keys[k].exact {
				most = max(most, len(at))
			}
			for _, at := range x.keys[k].heads {
				most = max(most, len(at))
			}
		}
		if most > 2 {
			t.Errorf("by %s: %d stand in one place", name, most)
		}
	}
}

func TestEqual(t *testing.T) {
	some := []Selector{{}, {Zones: []string{}}, {Zones: []string{"a"}}, {Kinds: []string{"a"}}, {IDs: []string{"a"}}, {Cells: []int{1}}, {Cells: []int{}}}
	for i, a := range some {
		for k, b := range some {
			if a.Equal(b) != (i == k) {
				t.Errorf("%+v and %+v", a, b)
			}
		}
	}
}
