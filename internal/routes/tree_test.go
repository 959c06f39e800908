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

func claimOf(t interface{ Fatal(...any) }, r Rule, key string, revision int64) *Claim {
	c, err := NewClaim(r, key, revision, nil)
	if err != nil {
		t.Fatal(err)
	}
	led, missing := c.Lead(func(pool string) (int, bool) { return int(pool[0] - 'a'), true })
	if led == nil {
		t.Fatal(missing)
	}
	return led
}

// scanClaims is the twin of a tree: the documented order, and among those that are equal in it the lower revision, then
// the lower key.
func scanClaims(claims []*Claim, c call) (best *Claim) {
	for _, x := range claims {
		if !c.matches(x.Rule) {
			continue
		}
		if best == nil {
			best = x
			continue
		}
		a, b := rank(x.Rule), rank(best.Rule)
		if cmp.Or(slices.Compare(b[:], a[:]), cmp.Compare(x.Revision, best.Revision), cmp.Compare(x.Key, best.Key)) < 0 {
			best = x
		}
	}
	return best
}

// lost are the keys of those that have lost calls to another claim, by asking each pair.
func lost(claims []*Claim) (keys []string) {
	for _, x := range claims {
		if slices.ContainsFunc(claims, func(y *Claim) bool {
			if x == y || y.rank(x) > 0 || x.spot() != y.spot() || x.Class != y.Class || (x.Methods == nil) != (y.Methods == nil) {
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

// dump is the shape of a tree in words, without the order of ways, which has no meaning.
func (t *Tree) dump() string {
	var b strings.Builder
	var put func(p *place, depth int)
	var ways func(f *fork, depth int) []way
	ways = func(f *fork, depth int) (all []way) {
		if f.wide == nil {
			return f.few
		}
		fmt.Fprintf(&b, "%*swide\n", depth, "")
		for i := range f.wide {
			all = append(all, ways(&f.wide[i], depth+1)...)
		}
		return all
	}
	put = func(p *place, depth int) {
		fmt.Fprintf(&b, "%*s%s%s", depth, "", p.name, p.tail)
		for _, c := range p.claims {
			fmt.Fprintf(&b, " %s@%d", c.Key, c.Revision)
		}
		b.WriteByte('\n')
		all := slices.Clone(ways(&p.kids, depth))
		slices.SortFunc(all, func(x, y way) int { return strings.Compare(x.to.name, y.to.name) })
		for _, w := range all {
			put(w.to, depth+1)
		}
	}
	for i, p := range t.first {
		fmt.Fprintln(&b, "of", i)
		if p != nil {
			put(p, 1)
		}
	}
	return b.String()
}

// Claims come and go; the tree answers as the twin at each step, its ties are those of all pairs, and its shape is that
// of its claims. Versions kept on the way still answer as they did.
func TestATreeIsItsClaimsWhateverTheHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type version struct {
			tree   Tree
			claims []*Claim
		}
		var tree Tree
		var claims []*Claim
		var kept []version
		ties := map[spot][]Tie{}
		agrees := func(v version, tries int) {
			for range tries {
				c := call{rapid.SampledFrom(askHosts).Draw(t, "host"), rapid.SampledFrom(askPaths).Draw(t, "path"),
					rapid.SampledFrom(askMethods).Draw(t, "method"), rapid.SampledFrom([]string{"read", "book", "bulk", ""}).Draw(t, "class")}
				if got, want := v.tree.Match(c.host, c.path, c.method, c.class), scanClaims(v.claims, c); got != want {
					t.Fatalf("%+v: %v, the twin has %v in\n%s", c, got, want, v.tree.dump())
				}
			}
		}
		narrow := rapid.Bool().Draw(t, "one place") // so that ties are many, and one place has more than a few
		for n := range rapid.IntRange(1, 60).Draw(t, "changes") {
			var of *Claim
			var now []Tie
			if len(claims) > 0 && rapid.IntRange(0, 2).Draw(t, "out") == 0 {
				i := rapid.IntRange(0, len(claims)-1).Draw(t, "which")
				of = claims[i]
				claims = slices.Delete(slices.Clone(claims), i, i+1)
				tree, now = tree.Without(of)
			} else {
				r := drawRule(t)
				switch {
				case narrow:
					r.Host, r.Prefix = "a.x", "/a"
				case rapid.IntRange(0, 2).Draw(t, "longer") == 0: // so that ways part within a tail, and not at its letters
					r.Prefix = rapid.SampledFrom([]string{"/a/bc", "/a/b/ab", "/a/b/a/bb", "/a/b/a/b/c"}).Draw(t, "tail")
				}
				of = claimOf(t, r, fmt.Sprint("k", n), int64(rapid.IntRange(0, 5).Draw(t, "revision")))
				claims = append(slices.Clip(claims), of)
				tree, now = tree.With(of)
			}
			ties[of.spot()] = now
			kept = append(kept, version{tree, claims})
			agrees(kept[len(kept)-1], 3)
		}
		var named []string
		for _, at := range ties {
			for _, x := range at {
				named = append(named, x.Lost.Key)
			}
		}
		slices.Sort(named)
		if want := lost(claims); !slices.Equal(named, want) {
			t.Fatalf("ties named %q, there are %q in\n%s", named, want, tree.dump())
		}
		for _, v := range kept {
			agrees(v, 1)
		}
		var anew Tree
		for _, i := range rapid.Permutation(claims).Draw(t, "another order") {
			anew, _ = anew.With(i)
		}
		if a, b := tree.dump(), anew.dump(); a != b || tree.Len() != len(claims) {
			t.Fatalf("%d claims, as\n%s\nin another order\n%s", tree.Len(), a, b)
		}
		for _, c := range claims {
			anew, _ = anew.Without(c)
		}
		if got := anew.dump(); got != new(Tree).dump() || anew.Len() != 0 {
			t.Fatalf("when all are gone there is\n%s", got)
		}
	})
}

func treeOf(t interface{ Fatal(...any) }, rules []Rule) (tree Tree, claims []*Claim) {
	for i, r := range rules {
		c := claimOf(t, r, fmt.Sprintf("k%06d", i), int64(i+1))
		claims = append(claims, c)
		tree, _ = tree.With(c)
	}
	return tree, claims
}

// Ten thousand routes, as a table of the same rules has them; and after half of them have gone, as a table of the rest.
func TestALargeTreeMatchesAsATable(t *testing.T) {
	rules, calls := mixed(10_000)
	for i := range rules {
		if rules[i].To = []Share{{"a", 1}}; i%5 == 0 {
			rules[i].To = []Share{{"a", 95}, {"b", 5}, {"c", 0}}
		}
	}
	tree, claims := treeOf(t, rules)
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
				t.Fatalf("%+v: key %x goes to %d, by the table to %d", c, key, got.Pool(key), table.Pool(want, key))
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
	var anew Tree
	for _, c := range left {
		anew, _ = anew.With(c)
	}
	if tree.dump() != anew.dump() {
		t.Error("after all that, the shape is not that of the claims alone")
	}
}

func TestAMatchInATreeAllocatesNothing(t *testing.T) {
	rules, calls := mixed(1000)
	for i := range rules {
		rules[i].To = []Share{{"a", 95}, {"b", 5}}
	}
	tree, _ := treeOf(t, rules)
	i := 0
	if n := testing.AllocsPerRun(2000, func() {
		c := &calls[i%len(calls)]
		i++
		tree.Match(c.host, c.path, c.method, c.class).Pool(Key("", c.path, ""))
	}); n != 0 {
		t.Errorf("%v allocations for a call", n)
	}
}

// What a change allocates is what it costs: a few slices of ways, and nothing that grows with the routes beside it.
func TestAChangeOfATreeCostsItself(t *testing.T) {
	for _, n := range []int{1000, 10_000} {
		rules, _ := mixed(n)
		for i := range rules {
			rules[i].To = []Share{{"a", 1}}
		}
		tree, claims := treeOf(t, rules)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		const changes = 500
		for i := range changes {
			c := claims[i*7%n]
			less, _ := tree.Without(c)
			tree, _ = less.With(c)
		}
		runtime.ReadMemStats(&after)
		if each := (after.TotalAlloc - before.TotalAlloc) / (2 * changes); each > 10_000 { // the widest way is 2 KiB a step
			t.Errorf("among %d routes a change takes %d bytes", n, each)
		}
	}
}

func TestALeadNeedsEveryPool(t *testing.T) {
	c, err := NewClaim(Rule{To: []Share{{"a", 1}, {"b", 0}, {"c", 2}}}, "k", 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	there := map[string]int{"a": 7, "c": 9}
	find := func(pool string) (int, bool) { at, ok := there[pool]; return at, ok }
	if led, missing := c.Lead(find); led != nil || missing != "b" { // with a weight of 0 too: it stands by
		t.Errorf("led %v, missing %q", led, missing)
	}
	there["b"] = 8
	led, _ := c.Lead(find)
	met := map[int]bool{}
	for key := range uint64(100) {
		met[led.Pool(key)] = true
	}
	if len(met) != 2 || !met[7] || !met[9] {
		t.Errorf("led to %v", met)
	}
}
