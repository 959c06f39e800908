package routes

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func newTestClaim(t interface{ Fatal(...any) }, r Rule, key string, revision int64) *Claim {
	c, err := NewClaim(r, key, revision, nil)
	if err != nil {
		t.Fatal(err)
	}
	claim, missing := c.ResolvePools(func(pool string) (int, bool) { return int(pool[0] - 'a'), true })
	if claim == nil {
		t.Fatal(missing)
	}
	return claim
}

// referenceMatchClaims is the reference for Tree.Match: the documented order, and among equals the lower revision, then
// the lower key.
func referenceMatchClaims(claims []*Claim, c call) (best *Claim) {
	for _, x := range claims {
		if !c.matches(x.Rule) {
			continue
		}
		if best == nil {
			best = x
			continue
		}
		a, b := specificity(x.Rule), specificity(best.Rule)
		if cmp.Or(slices.Compare(b[:], a[:]), cmp.Compare(x.Revision, best.Revision), cmp.Compare(x.Key, best.Key)) < 0 {
			best = x
		}
	}
	return best
}

// losingClaims returns the keys of the claims that lose calls to another one, by comparing each pair.
func losingClaims(claims []*Claim) (keys []string) {
	for _, x := range claims {
		if slices.ContainsFunc(claims, func(y *Claim) bool {
			if x == y || y.compareRank(x) > 0 || x.hostAndPrefix() != y.hostAndPrefix() || x.Class != y.Class || (x.Methods == nil) != (y.Methods == nil) {
				return false
			}
			return x.Methods == nil || slices.ContainsFunc(x.Methods, func(m string) bool { return slices.Contains(y.Methods, m) })
		}) {
			keys = append(keys, x.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// dump returns the structure of a tree as text, with children in the order of their names.
func (t *Tree) dump() string {
	var b strings.Builder
	var dumpNode func(p *treeNode, depth int)
	var collect func(f *childMap, depth int) []childEntry
	collect = func(f *childMap, depth int) (all []childEntry) {
		if f.table == nil {
			return f.list
		}
		fmt.Fprintf(&b, "%*swide\n", depth, "")
		for i := range f.table {
			all = append(all, collect(&f.table[i], depth+1)...)
		}
		return all
	}
	dumpNode = func(p *treeNode, depth int) {
		fmt.Fprintf(&b, "%*s%s%s", depth, "", p.name, p.tail)
		for _, c := range p.claims {
			fmt.Fprintf(&b, " %s@%d", c.Key, c.Revision)
		}
		b.WriteByte('\n')
		all := slices.Clone(collect(&p.children, depth))
		slices.SortFunc(all, func(x, y childEntry) int { return strings.Compare(x.node.name, y.node.name) })
		for _, w := range all {
			dumpNode(w.node, depth+1)
		}
	}
	for i, p := range t.roots {
		fmt.Fprintln(&b, "of", i)
		if p != nil {
			dumpNode(p, 1)
		}
	}
	return b.String()
}

// Random claims are added and removed. The tree must match as the reference after each change, report the ties found by
// comparing all pairs, and have a structure that does not depend on its history. Old versions must match as before.
func TestTreeDependsOnItsClaimsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type version struct {
			tree   Tree
			claims []*Claim
		}
		var tree Tree
		var claims []*Claim
		var kept []version
		ties := map[hostAndPrefix][]Conflict{}
		agrees := func(v version, tries int) {
			for range tries {
				c := call{rapid.SampledFrom(callHosts).Draw(t, "host"), rapid.SampledFrom(callPaths).Draw(t, "path"),
					rapid.SampledFrom(callMethods).Draw(t, "method"), rapid.SampledFrom([]string{"read", "book", "bulk", ""}).Draw(t, "class")}
				if got, want := v.tree.Match(c.host, c.path, c.method, c.class), referenceMatchClaims(v.claims, c); got != want {
					t.Fatalf("%+v: %v, the reference has %v in\n%s", c, got, want, v.tree.dump())
				}
			}
		}
		narrow := rapid.Bool().Draw(t, "one place") // many ties, and many claims at one node
		for n := range rapid.IntRange(1, 60).Draw(t, "changes") {
			var changed *Claim
			var newTies []Conflict
			if len(claims) > 0 && rapid.IntRange(0, 2).Draw(t, "out") == 0 {
				i := rapid.IntRange(0, len(claims)-1).Draw(t, "which")
				changed = claims[i]
				claims = slices.Delete(slices.Clone(claims), i, i+1)
				tree, newTies = tree.Without(changed)
			} else {
				r := drawRule(t)
				switch {
				case narrow:
					r.Host, r.Prefix = "a.x", "/a"
				case rapid.IntRange(0, 2).Draw(t, "longer") == 0: // so that prefixes branch within a tail, at a segment boundary
					r.Prefix = rapid.SampledFrom([]string{"/a/bc", "/a/b/ab", "/a/b/a/bb", "/a/b/a/b/c"}).Draw(t, "tail")
				}
				changed = newTestClaim(t, r, fmt.Sprint("k", n), int64(rapid.IntRange(0, 5).Draw(t, "revision")))
				claims = append(slices.Clip(claims), changed)
				tree, newTies = tree.With(changed)
			}
			ties[changed.hostAndPrefix()] = newTies
			kept = append(kept, version{tree, claims})
			agrees(kept[len(kept)-1], 3)
		}
		var named []string
		for _, at := range ties {
			for _, x := range at {
				named = append(named, x.Loser.Key)
			}
		}
		slices.Sort(named)
		if want := losingClaims(claims); !slices.Equal(named, want) {
			t.Fatalf("reported ties %q, want %q in\n%s", named, want, tree.dump())
		}
		for _, v := range kept {
			agrees(v, 1)
		}
		var rebuilt Tree
		for _, i := range rapid.Permutation(claims).Draw(t, "another order") {
			rebuilt, _ = rebuilt.With(i)
		}
		if a, b := tree.dump(), rebuilt.dump(); a != b || tree.Len() != len(claims) {
			t.Fatalf("%d claims, structure\n%s\nwhen added in another order\n%s", tree.Len(), a, b)
		}
		for _, c := range claims {
			rebuilt, _ = rebuilt.Without(c)
		}
		if got := rebuilt.dump(); got != new(Tree).dump() || rebuilt.Len() != 0 {
			t.Fatalf("after removing all claims the tree is\n%s", got)
		}
	})
}

func newTestTree(t interface{ Fatal(...any) }, rules []Rule) (tree Tree, claims []*Claim) {
	for i, r := range rules {
		c := newTestClaim(t, r, fmt.Sprintf("k%06d", i), int64(i+1))
		claims = append(claims, c)
		tree, _ = tree.With(c)
	}
	return tree, claims
}

// A tree of 10,000 routes must match as a table of the same rules, also after half of them were removed.
func TestLargeTreeMatchesTable(t *testing.T) {
	rules, calls := generateRules(10_000)
	for i := range rules {
		if rules[i].Shares = []Share{{"a", 1}}; i%5 == 0 {
			rules[i].Shares = []Share{{"a", 95}, {"b", 5}, {"c", 0}}
		}
	}
	tree, claims := newTestTree(t, rules)
	same := func(rules []Rule, claims []*Claim) {
		t.Helper()
		table, err := Compile(rules, []string{"a", "b", "c"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		rnd := rand.New(rand.NewPCG(1, 2))
		for i, c := range calls {
			if i%3 == 0 {
				c.path = c.path[:1+rnd.IntN(len(c.path))]
			}
			got, want := tree.Match(c.host, c.path, c.method, c.class), table.Match(c.host, c.path, c.method, c.class)
			if (got == nil) != (want == None) || got != nil && got != claims[want] {
				t.Fatalf("%+v: %v, the table has %d", c, got, want)
			}
			if key := rnd.Uint64(); got != nil && got.Pool(key) != table.Pool(want, key) {
				t.Fatalf("%+v: key %x gets pool %d, from the table %d", c, key, got.Pool(key), table.Pool(want, key))
			}
		}
	}
	same(rules, claims)
	var fewer []Rule
	var left []*Claim
	for _, i := range rand.New(rand.NewPCG(3, 4)).Perm(len(rules)) {
		if i%2 == 0 {
			tree, _ = tree.Without(claims[i])
		}
	}
	for i := range rules {
		if i%2 != 0 {
			fewer, left = append(fewer, rules[i]), append(left, claims[i])
		}
	}
	same(fewer, left)
	var rebuilt Tree
	for _, c := range left {
		rebuilt, _ = rebuilt.With(c)
	}
	if tree.dump() != rebuilt.dump() {
		t.Error("the structure differs from that of a new tree with the same claims")
	}
}

func TestTreeMatchDoesNotAllocate(t *testing.T) {
	rules, calls := generateRules(1000)
	for i := range rules {
		rules[i].Shares = []Share{{"a", 95}, {"b", 5}}
	}
	tree, _ := newTestTree(t, rules)
	i := 0
	if n := testing.AllocsPerRun(2000, func() {
		c := &calls[i%len(calls)]
		i++
		tree.Match(c.host, c.path, c.method, c.class).Pool(Key("", c.path, ""))
	}); n != 0 {
		t.Errorf("%v allocations for a call", n)
	}
}

// A change must allocate a few arrays of children at most, independently of the number of routes.
func TestTreeChangeCostIsBounded(t *testing.T) {
	for _, n := range []int{1000, 10_000} {
		rules, _ := generateRules(n)
		for i := range rules {
			rules[i].Shares = []Share{{"a", 1}}
		}
		tree, claims := newTestTree(t, rules)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		const changes = 500
		for i := range changes {
			c := claims[i*7%n]
			less, _ := tree.Without(c)
			tree, _ = less.With(c)
		}
		runtime.ReadMemStats(&after)
		if each := (after.TotalAlloc - before.TotalAlloc) / (2 * changes); each > 10_000 { // a table of children takes 2 KiB per level
			t.Errorf("a change among %d routes allocates %d bytes", n, each)
		}
	}
}

func TestLeadNeedsEveryPool(t *testing.T) {
	c, err := NewClaim(Rule{Shares: []Share{{"a", 1}, {"b", 0}, {"c", 2}}}, "k", 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	there := map[string]int{"a": 7, "c": 9}
	find := func(pool string) (int, bool) { at, ok := there[pool]; return at, ok }
	if led, missing := c.ResolvePools(find); led != nil || missing != "b" { // a pool with a weight of 0 must exist as well
		t.Errorf("claim %v, missing pool %q", led, missing)
	}
	there["b"] = 8
	led, _ := c.ResolvePools(find)
	met := map[int]bool{}
	for key := range uint64(100) {
		met[led.Pool(key)] = true
	}
	if len(met) != 2 || !met[7] || !met[9] {
		t.Errorf("pools %v, want 7 and 9", met)
	}
}
