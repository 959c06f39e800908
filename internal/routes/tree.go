package routes

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Tree is a persistent set of claims, which matches calls as a Table of the same rules does. With and Without return a
// new tree and leave the old one unchanged; the two share all nodes but those on the path to the change. The structure
// of a tree depends on its claims only, not on the order in which they were added. The zero value is an empty tree.
//
// It is the same trie as that of a Table, but the children of each node are in a hash trie with 64 entries per level
// (Bagwell, Ideal hash trees, 2001), so that a change copies a few arrays of that size and no siblings. The package
// comment compares it with a radix tree of bytes, github.com/hashicorp/go-immutable-radix/v2 2.1.0.
type Tree struct {
	roots [anyHostRoot + 1]*treeNode
	size  int
}

// treeNode is a node of a Tree. It is immutable.
type treeNode struct {
	name     string // the segment, host or domain on the edge from the parent
	tail     string // further whole segments that must follow the name, with the leading slash
	claims   []*Claim
	group           // entries are indexes into claims
	catchAll *Claim // the claim for every method and class; nil: none
	children childMap
}

// childMap holds the children of a node: as a list, or, above maxListedChildren, as a table of maps indexed by the next
// bits of the hash.
type childMap struct {
	list  []childEntry
	table *[1 << hashBits]childMap
}

// childEntry is a child and the hash of its name.
type childEntry struct {
	hash uint64
	node *treeNode
}

const (
	hashBits          = 6  // a change copies 2 KiB per level; 10,000 names take two levels
	maxListedChildren = 16 // compared one by one: 128 bytes, two cache lines
	maxHashShift      = 60 // from this shift on, too few bits of the hash are left for a table
)

// Len returns the number of claims.
func (t *Tree) Len() int { return t.size }

// Match returns the claim for a call, or nil. It matches as Table.Match does.
func (t *Tree) Match(host, path, method, class string) *Claim {
	if a, b := t.roots[hostRoot], t.roots[domainRoot]; a != nil || b != nil {
		var buf [maxHostLength]byte
		name := normalizeHost(&buf, host)
		if at := hostChild(a, name); at != nil {
			if c := at.lookup(path, method, class); c != nil {
				return c
			}
		}
		if at := hostChild(b, parentDomain(name)); at != nil {
			if c := at.lookup(path, method, class); c != nil {
				return c
			}
		}
	}
	if t.roots[anyHostRoot] == nil {
		return nil
	}
	return t.roots[anyHostRoot].lookup(path, method, class)
}

// hostChild returns the child of a root for a host or a domain; nil: none.
func hostChild(at *treeNode, name []byte) *treeNode {
	if at == nil {
		return nil
	}
	return findChild(&at.children, xxhash.Sum64(name), name)
}

// findChild returns the child of a name, by the name's hash; nil: none.
func findChild[S string | []byte](f *childMap, hash uint64, name S) *treeNode {
	for bits := hash; f.table != nil; bits >>= hashBits {
		f = &f.table[bits&(1<<hashBits-1)]
	}
	for i := range f.list {
		if w := &f.list[i]; w.hash == hash && w.node.name == string(name) {
			return w.node
		}
	}
	return nil
}

// lookup descends from a host's node along a path as far as there are prefixes for it, and returns the last claim
// found.
func (p *treeNode) lookup(path, method, class string) (best *Claim) {
	for p != nil {
		if p.tail != "" {
			if !strings.HasPrefix(path, p.tail) {
				return best
			}
			if path = path[len(p.tail):]; path != "" && path[0] != '/' {
				return best
			}
		}
		if p.catchAll != nil {
			best = p.catchAll
		}
		if p.conditional != nil {
			if e := p.matchEntry(method, class); e != None {
				best = p.claims[e]
			}
		}
		if path == "" || path[0] != '/' || p.children.list == nil && p.children.table == nil {
			return best
		}
		segment, rest := path[1:], ""
		if i := strings.IndexByte(segment, '/'); i >= 0 {
			segment, rest = segment[:i], segment[i:]
		}
		p, path = findChild(&p.children, xxhash.Sum64String(segment), segment), rest
	}
	return best
}

// With returns the tree with one more claim, which must not be in it yet, and all ties at that claim's host and prefix.
func (t Tree) With(c *Claim) (Tree, []Conflict) { return t.update(c, true) }

// Without returns the tree without one of its claims, and the ties that remain at that claim's host and prefix.
func (t Tree) Without(c *Claim) (Tree, []Conflict) { return t.update(c, false) }

func (t Tree) update(c *Claim, in bool) (Tree, []Conflict) {
	e := edit{claim: c, adding: in}
	root := t.roots[c.kind]
	if root == nil {
		root = new(treeNode)
	}
	if c.kind == anyHost {
		root = e.updateHost(root, "")
	} else {
		root = e.updateChild(root, c.domain, func(at *treeNode) *treeNode { return e.updateHost(at, c.domain) })
	}
	if t.roots[c.kind] = root; root.empty() {
		t.roots[c.kind] = nil
	}
	t.size += e.sizeChange
	return t, e.ties
}

// edit is one change of a tree, with its results.
type edit struct {
	claim      *Claim
	adding     bool
	sizeChange int
	ties       []Conflict
}

// updateHost changes the node of a host itself, which paths begin at. The node is never merged with a child, and it is
// removed when it is empty.
func (e *edit) updateHost(p *treeNode, name string) *treeNode {
	if p == nil {
		p = &treeNode{name: name}
	}
	next := e.updateNode(p, e.claim.Prefix)
	if next.empty() && e.claim.kind != anyHost {
		return nil
	}
	return next
}

// empty reports whether a node has neither claims nor children.
func (p *treeNode) empty() bool {
	return len(p.claims) == 0 && p.children.list == nil && p.children.table == nil
}

// updateChild replaces the child of a name by the result of change; if that is nil, the child is removed.
func (e *edit) updateChild(p *treeNode, name string, change func(*treeNode) *treeNode) *treeNode {
	hash := xxhash.Sum64String(name)
	to := change(findChild(&p.children, hash, name))
	next := *p
	if to == nil {
		next.children = next.children.without(hash, name, 0)
	} else {
		next.children = next.children.with(childEntry{hash, to}, 0)
	}
	return &next
}

// updateNode changes a node at which the given rest of the claim's prefix begins.
func (e *edit) updateNode(p *treeNode, prefix string) *treeNode {
	if prefix == "" {
		return e.updateClaims(p)
	}
	segment, _, _ := strings.Cut(prefix[1:], "/")
	rest := prefix[1+len(segment):]
	return e.updateChild(p, segment, func(k *treeNode) *treeNode { return e.updateSegment(k, segment, rest) })
}

// updateSegment changes the child of a segment, nil if there is none; prefix is the rest of the claim's prefix after
// that segment.
func (e *edit) updateSegment(p *treeNode, segment, prefix string) *treeNode {
	if p == nil {
		return e.updateClaims(&treeNode{name: segment, tail: prefix})
	}
	n := commonSegments(p.tail, prefix)
	if n < len(p.tail) { // the prefixes branch within the tail: split the node
		lower := *p
		lower.name, _, _ = strings.Cut(p.tail[n+1:], "/")
		lower.tail = p.tail[n+1+len(lower.name):]
		p = &treeNode{name: p.name, tail: p.tail[:n], children: childMap{list: []childEntry{{xxhash.Sum64String(lower.name), &lower}}}}
	}
	next := e.updateNode(p, prefix[n:])
	switch {
	case next.empty():
		return nil
	case len(next.claims) > 0 || next.children.table != nil || len(next.children.list) > 1:
		return next
	}
	only := *next.children.list[0].node // no claims and a single child: merge the two nodes
	only.name, only.tail = next.name, next.tail+"/"+only.name+only.tail
	return &only
}

// commonSegments returns the length of the longest common prefix of two tails in whole segments.
func commonSegments(a, b string) int {
	n := 0
	for i := 0; ; i++ {
		if (i == len(a) || a[i] == '/') && (i == len(b) || b[i] == '/') {
			n = i
		}
		if i == len(a) || i == len(b) || a[i] != b[i] {
			return n
		}
	}
}

// updateClaims adds or removes the claim at its node, and finds the ties among the claims there.
func (e *edit) updateClaims(p *treeNode) *treeNode {
	next := *p
	i, ok := slices.BinarySearchFunc(p.claims, e.claim, (*Claim).compareRank)
	switch {
	case e.adding && !ok:
		next.claims = slices.Insert(slices.Clone(p.claims), i, e.claim)
		e.sizeChange = 1
	case !e.adding && ok:
		next.claims = slices.Delete(slices.Clone(p.claims), i, i+1)
		e.sizeChange = -1
	default:
		panic("routes: claim added twice, or removed but not in the tree: " + e.claim.Key)
	}
	byCondition := map[condition]int{}
	for i, c := range next.claims {
		var tie Conflict
		for _, a := range c.conditions() {
			first, held := byCondition[a]
			if !held {
				byCondition[a] = i
				continue
			}
			if tie.Loser == nil {
				tie = Conflict{Loser: c, Winner: next.claims[first]}
			}
			if a.method != "" {
				tie.Methods = append(tie.Methods, a.method)
			}
		}
		if tie.Loser != nil {
			e.ties = append(e.ties, tie)
		}
	}
	next.group, next.catchAll = newGroup(byCondition), nil
	if next.unconditional > 0 {
		next.catchAll = next.claims[next.unconditional-1]
	}
	return &next
}

// with returns the map with an entry added, or replaced if its name is in the map.
func (f childMap) with(w childEntry, shift int) childMap {
	if f.table != nil {
		next := *f.table
		s := &next[w.hash>>shift&(1<<hashBits-1)]
		*s = s.with(w, shift+hashBits)
		return childMap{table: &next}
	}
	entries := make([]childEntry, 0, len(f.list)+1)
	for _, x := range f.list {
		if x.hash != w.hash || x.node.name != w.node.name {
			entries = append(entries, x)
		}
	}
	entries = append(entries, w)
	if len(entries) <= maxListedChildren || shift >= maxHashShift {
		return childMap{list: entries}
	}
	table := new([1 << hashBits]childMap)
	for _, x := range entries {
		s := &table[x.hash>>shift&(1<<hashBits-1)]
		*s = s.with(x, shift+hashBits)
	}
	return childMap{table: table}
}

// without returns the map without the entry of a name. A table with few enough entries becomes a list again.
func (f childMap) without(hash uint64, name string, shift int) childMap {
	if f.table == nil {
		entries := slices.DeleteFunc(slices.Clone(f.list), func(x childEntry) bool { return x.hash == hash && x.node.name == name })
		if len(entries) == 0 {
			entries = nil
		}
		return childMap{list: entries}
	}
	next := *f.table
	s := &next[hash>>shift&(1<<hashBits-1)]
	*s = s.without(hash, name, shift+hashBits)
	var entries []childEntry
	for i := range next {
		if entries = append(entries, next[i].list...); next[i].table != nil || len(entries) > maxListedChildren {
			return childMap{table: &next}
		}
	}
	return childMap{list: entries}
}
