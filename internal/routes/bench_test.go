package routes

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// matcher is implemented by the structures compared in BenchmarkMatch.
type matcher interface {
	Match(host, path, method, class string) int
}

// treeMatcher adapts a Tree to matcher.
type treeMatcher struct{ *Tree }

func (t treeMatcher) Match(host, path, method, class string) int {
	if c := t.Tree.Match(host, path, method, class); c != nil {
		return 0
	}
	return None
}

// The case hot uses the same 64 routes again and again, as typical traffic does; scattered uses all of them, so that
// cache misses of large tables are included; deep uses 64 routes with 24 more segments each, on hosts with equally long
// routes.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		rules, calls := generateRules(n)
		tail := strings.Repeat("/x", 24)
		for i := range min(n, 64) {
			rules = append(rules, Rule{Host: rules[i].Host, Prefix: fmt.Sprint("/deep-", i, tail), Shares: rules[i].Shares})
		}
		table, err := Compile(rules, []string{"p"}, nil)
		if err != nil {
			b.Fatal(err)
		}
		tree, _ := newTestTree(b, rules)
		rnd := rand.New(rand.NewPCG(3, 4))
		asked := make([]call, 1<<14)
		for i := range asked {
			asked[i] = calls[rnd.IntN(n)]
		}
		deep := make([]call, 64)
		for i := range deep {
			deep[i] = calls[i%min(n, 64)]
			deep[i].path += tail
		}
		for _, implementation := range []struct {
			name string
			m    matcher
		}{{"trie", table}, {"tree", treeMatcher{&tree}}, {"lengths", newLengthTable(table)}} {
			for _, workload := range []struct {
				name  string
				calls []call
			}{{"hot", asked[:64]}, {"scattered", asked}, {"deep", deep}} {
				b.Run(fmt.Sprintf("%s/%s/%d", implementation.name, workload.name, n), func(b *testing.B) {
					b.ReportAllocs()
					i := 0
					for b.Loop() {
						c := &workload.calls[i&(len(workload.calls)-1)]
						i++
						if implementation.m.Match(c.host, c.path, c.method, c.class) == None {
							b.Fatal(c)
						}
					}
				})
			}
		}
	}
}

func BenchmarkPool(b *testing.B) {
	for _, n := range []int{1, 2, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var names []string
			var to []Share
			for i := range n {
				names = append(names, fmt.Sprint("p", i))
				to = append(to, Share{names[i], 1})
			}
			table, err := Compile([]Rule{{Shares: to}}, names, nil)
			if err != nil {
				b.Fatal(err)
			}
			key := uint64(0)
			for b.Loop() {
				key++
				table.Pool(0, key)
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	rules, _ := generateRules(10_000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(rules, []string{"p"}, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// A change removes one route and adds it again.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rules, _ := generateRules(n)
			tree, claims := newTestTree(b, rules)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c := claims[i*7%n]
				i++
				less, _ := tree.Without(c)
				tree, _ = less.With(c)
			}
		})
	}
}
