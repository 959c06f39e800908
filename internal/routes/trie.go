package routes

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// trie holds the paths of all hosts in two slices, for the sake of the processor's caches: a step down reads a place of
// steps, a node and the name that it is reached by, however large the table is.
type trie struct {
	nodes []node
	steps []step // by hash, with the next free place for those that meet; a power of two, at most half full
}

// node is a place in the paths of one host: that of one or more entries, or where their prefixes part.
type node struct {
	name string // the segment, host or domain that leads here from above
	tail string // what has to follow it, slash first; whole segments
	group
	kids bool
}

// group is the entries of one host and one prefix, in the form that is searched.
type group struct {
	more *arms // the entries that name a method or a class
	rest int32 // 1 more than the entry for every method and class; most nodes have no other
}

// step leads from a node to the next. The names are the operator's alone, so that no client can have them meet.
type step struct {
	hash uint64
	to   int32 // 0: free
}

// The first nodes. The hosts' own ones are reached from these as segments are from theirs.
const (
	hosts int32 = iota
	domains
	everyHost
)

// apart has the same name lead elsewhere from each node: 2^64 over the golden ratio (Knuth, volume 3, section 6.4).
const apart = 0x9e3779b97f4a7c15

// down finds the node that a name leads to; 0: none.
func down[S string | []byte](t *trie, from int32, hash uint64, name S) int32 {
	hash ^= uint64(from) * apart
	for i := hash; ; i++ {
		s := &t.steps[i&uint64(len(t.steps)-1)]
		if s.to == 0 || s.hash == hash && t.nodes[s.to].name == string(name) {
			return s.to
		}
	}
}

// host finds the node of a host or a domain.
func (t *trie) host(from int32, name []byte) int32 {
	if !t.nodes[from].kids {
		return 0
	}
	return down(t, from, xxhash.Sum64(name), name)
}

// find walks down a path from a host's node as far as there are prefixes for it, and keeps the last entry met.
func (t *trie) find(at int32, path, method, class string) int {
	best := None
	for {
		n := &t.nodes[at]
		if n.tail != "" {
			if !strings.HasPrefix(path, n.tail) {
				return best
			}
			if path = path[len(n.tail):]; path != "" && path[0] != '/' {
				return best
			}
		}
		if e := n.entry(method, class); e != None {
			best = e
		}
		if !n.kids || path == "" || path[0] != '/' {
			return best
		}
		segment, rest := path[1:], ""
		if i := strings.IndexByte(segment, '/'); i >= 0 {
			segment, rest = segment[:i], segment[i:]
		}
		if at = down(t, at, xxhash.Sum64String(segment), segment); at == 0 {
			return best
		}
		path = rest
	}
}

// branch is a node while the trie grows.
type branch struct {
	tail  string
	group map[arm]int
	kids  map[string]*branch
}

func (b *branch) kid(name string) *branch {
	if b.kids == nil {
		b.kids = map[string]*branch{}
	}
	if b.kids[name] == nil {
		b.kids[name] = new(branch)
	}
	return b.kids[name]
}

// add hangs the entries of one prefix in, a branch for each segment.
func (b *branch) add(prefix string, group map[arm]int) {
	if prefix != "" {
		for segment := range strings.SplitSeq(prefix[1:], "/") {
			b = b.kid(segment)
		}
	}
	b.group = group
}

// compress joins branches that have one way on and no entries with the next. A host's own stays: paths begin there.
func (b *branch) compress() {
	for segment, kid := range b.kids {
		tail := ""
		for kid.group == nil && len(kid.kids) == 1 {
			for next, only := range kid.kids {
				tail += "/" + next
				kid = only
			}
		}
		kid.tail = tail
		kid.compress()
		b.kids[segment] = kid
	}
}

// lay puts branches into a trie; the first are those of the constants above. Below one node all lie together.
func lay(first ...*branch) *trie {
	t := &trie{nodes: make([]node, len(first))}
	from := make([]int32, len(first))
	var put func(at int32, b *branch)
	put = func(at int32, b *branch) {
		n := &t.nodes[at]
		n.tail, n.kids = b.tail, len(b.kids) > 0
		n.group = shape(b.group)
		for _, name := range slices.Sorted(maps.Keys(b.kids)) {
			to := int32(len(t.nodes))
			t.nodes, from = append(t.nodes, node{name: name}), append(from, at)
			put(to, b.kids[name])
		}
	}
	for i, b := range first {
		put(int32(i), b)
	}
	size := 2
	for size < 2*len(t.nodes) {
		size *= 2
	}
	t.steps = make([]step, size)
	for to := len(first); to < len(t.nodes); to++ {
		hash := xxhash.Sum64String(t.nodes[to].name) ^ uint64(from[to])*apart
		i := hash
		for t.steps[i&uint64(size-1)].to != 0 {
			i++
		}
		t.steps[i&uint64(size-1)] = step{hash, int32(to)}
	}
	return t
}

// arm is a method and a class of an entry; empty ones match all.
type arm struct{ method, class string }

// arms are what the entries of one host and one prefix match that name a method or a class, each but once.
type arms struct {
	few  []armed // by precedence
	many map[arm]int
}

type armed struct {
	arm
	entry int
}

// fewArms is how many are compared one by one. Eight take 36 ns, the looks into a map 84; from sixteen on the map wins.
const fewArms = 8

// entry is the first of a group's that matches.
func (g *group) entry(method, class string) int {
	if g.more != nil {
		for i := range g.more.few {
			if x := &g.more.few[i]; (x.method == "" || x.method == method) && (x.class == "" || x.class == class) {
				return x.entry
			}
		}
		if g.more.many != nil {
			for _, x := range [...]arm{{method, class}, {method, ""}, {"", class}} {
				if e, ok := g.more.many[x]; ok {
					return e
				}
			}
		}
	}
	return int(g.rest) - 1
}

// shape gives entries by their arms the form that is searched.
func shape(by map[arm]int) (g group) {
	if e, ok := by[arm{}]; ok {
		g.rest = int32(e) + 1
		delete(by, arm{})
	}
	switch {
	case len(by) > fewArms:
		g.more = &arms{many: by}
		return g
	case len(by) == 0:
		return g
	}
	g.more = new(arms)
	for x, e := range by {
		g.more.few = append(g.more.few, armed{x, e})
	}
	slices.SortFunc(g.more.few, func(x, y armed) int {
		return cmp.Or(named(x.method, y.method), named(x.class, y.class),
			cmp.Compare(x.method, y.method), cmp.Compare(x.class, y.class))
	})
	return g
}
