package routes

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// trie holds the paths of all hosts in two slices, to have few cache misses: following an edge reads one slot of edges,
// one node and the node's name, however large the table is.
type trie struct {
	nodes []node
	edges []edge // hash table with linear probing; its size is a power of two, and it is at most half full
}

// node is a prefix within the paths of one host: the prefix of one or more entries, or one at which their prefixes
// branch.
type node struct {
	name string // the segment, host or domain on the edge from the parent
	tail string // further whole segments that must follow the name, with the leading slash
	group
	hasChildren bool
}

// group holds the entries of one host and one prefix, indexed by method and class.
type group struct {
	conditional   *conditionalEntries // the entries that name a method or a class; nil: none
	unconditional int32               // 1 + the entry for every method and class, or 0; most groups have no other entry
}

// edge leads from a node to a child. Only names from the operator's rules are stored, so clients cannot cause
// collisions.
type edge struct {
	hash uint64
	node int32 // 0: free slot
}

// The root nodes. The nodes of hosts and domains are their children, as those of segments are children of other nodes.
const (
	hostRoot int32 = iota
	domainRoot
	anyHostRoot
)

// hashMultiplier mixes the parent node into an edge's hash, so that the same name gets different slots under different
// nodes. It is 2^64 divided by the golden ratio (Knuth, volume 3, section 6.4).
const hashMultiplier = 0x9e3779b97f4a7c15

// followEdge returns the child of a node by name and the name's hash; 0: none.
func followEdge[S string | []byte](t *trie, from int32, hash uint64, name S) int32 {
	hash ^= uint64(from) * hashMultiplier
	for i := hash; ; i++ {
		s := &t.edges[i&uint64(len(t.edges)-1)]
		if s.node == 0 || s.hash == hash && t.nodes[s.node].name == string(name) {
			return s.node
		}
	}
}

// hostNode returns the node of a host or a domain; 0: none.
func (t *trie) hostNode(from int32, name []byte) int32 {
	if !t.nodes[from].hasChildren {
		return 0
	}
	return followEdge(t, from, xxhash.Sum64(name), name)
}

// lookup descends from a host's node along a path as far as there are prefixes for it, and returns the last entry
// found.
func (t *trie) lookup(at int32, path, method, class string) int {
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
		if e := n.matchEntry(method, class); e != None {
			best = e
		}
		if !n.hasChildren || path == "" || path[0] != '/' {
			return best
		}
		segment, rest := path[1:], ""
		if i := strings.IndexByte(segment, '/'); i >= 0 {
			segment, rest = segment[:i], segment[i:]
		}
		if at = followEdge(t, at, xxhash.Sum64String(segment), segment); at == 0 {
			return best
		}
		path = rest
	}
}

// branch is a node during the construction of a trie.
type branch struct {
	tail     string
	group    map[condition]int
	children map[string]*branch
}

// child returns the child of a name and creates it if necessary.
func (b *branch) child(name string) *branch {
	if b.children == nil {
		b.children = map[string]*branch{}
	}
	if b.children[name] == nil {
		b.children[name] = new(branch)
	}
	return b.children[name]
}

// insert stores the entries of one prefix, with a branch for each segment.
func (b *branch) insert(prefix string, group map[condition]int) {
	if prefix != "" {
		for segment := range strings.SplitSeq(prefix[1:], "/") {
			b = b.child(segment)
		}
	}
	b.group = group
}

// compress merges branches without entries that have a single child with that child. The branch of a host itself stays,
// because paths begin there.
func (b *branch) compress() {
	for segment, kid := range b.children {
		tail := ""
		for kid.group == nil && len(kid.children) == 1 {
			for next, only := range kid.children {
				tail += "/" + next
				kid = only
			}
		}
		kid.tail = tail
		kid.compress()
		b.children[segment] = kid
	}
}

// buildTrie lays out branches as a trie. first are the root nodes, in the order of their constants. The descendants of
// a node are adjacent.
func buildTrie(first ...*branch) *trie {
	t := &trie{nodes: make([]node, len(first))}
	parents := make([]int32, len(first))
	var layOut func(at int32, b *branch)
	layOut = func(at int32, b *branch) {
		n := &t.nodes[at]
		n.tail, n.hasChildren = b.tail, len(b.children) > 0
		n.group = newGroup(b.group)
		for _, name := range slices.Sorted(maps.Keys(b.children)) {
			to := int32(len(t.nodes))
			t.nodes, parents = append(t.nodes, node{name: name}), append(parents, at)
			layOut(to, b.children[name])
		}
	}
	for i, b := range first {
		layOut(int32(i), b)
	}
	size := 2
	for size < 2*len(t.nodes) {
		size *= 2
	}
	t.edges = make([]edge, size)
	for to := len(first); to < len(t.nodes); to++ {
		hash := xxhash.Sum64String(t.nodes[to].name) ^ uint64(parents[to])*hashMultiplier
		i := hash
		for t.edges[i&uint64(size-1)].node != 0 {
			i++
		}
		t.edges[i&uint64(size-1)] = edge{hash, int32(to)}
	}
	return t
}

// condition is a method and a class that an entry matches; an empty one matches all.
type condition struct{ method, class string }

// conditionalEntries holds the entries of one host and prefix that name a method or a class, by their conditions, each
// of which occurs once. Either list or byCondition is set.
type conditionalEntries struct {
	list        []conditionalEntry // by precedence; at most maxListedConditions
	byCondition map[condition]int
}

// conditionalEntry is an entry with one of its conditions.
type conditionalEntry struct {
	condition
	entry int
}

// maxListedConditions is the largest number of conditions compared one by one. Eight take 36 ns and the lookups in a
// map 84 ns; from sixteen on, the map is faster.
const maxListedConditions = 8

// matchEntry returns the matching entry of highest precedence in a group, or None.
func (g *group) matchEntry(method, class string) int {
	if g.conditional != nil {
		for i := range g.conditional.list {
			if x := &g.conditional.list[i]; (x.method == "" || x.method == method) && (x.class == "" || x.class == class) {
				return x.entry
			}
		}
		if g.conditional.byCondition != nil {
			for _, x := range [...]condition{{method, class}, {method, ""}, {"", class}} {
				if e, ok := g.conditional.byCondition[x]; ok {
					return e
				}
			}
		}
	}
	return int(g.unconditional) - 1
}

// newGroup indexes entries by their conditions. It removes the empty condition from the map.
func newGroup(byCondition map[condition]int) (g group) {
	if e, ok := byCondition[condition{}]; ok {
		g.unconditional = int32(e) + 1
		delete(byCondition, condition{})
	}
	switch {
	case len(byCondition) > maxListedConditions:
		g.conditional = &conditionalEntries{byCondition: byCondition}
		return g
	case len(byCondition) == 0:
		return g
	}
	g.conditional = new(conditionalEntries)
	for x, e := range byCondition {
		g.conditional.list = append(g.conditional.list, conditionalEntry{x, e})
	}
	slices.SortFunc(g.conditional.list, func(x, y conditionalEntry) int {
		return cmp.Or(compareNamed(x.method, y.method), compareNamed(x.class, y.class),
			cmp.Compare(x.method, y.method), cmp.Compare(x.class, y.class))
	})
	return g
}
