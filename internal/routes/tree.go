package routes

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Tree is a set of claims that changes one by one, with the answers that a Table of the same rules has. With and Without
// give a new tree and leave the old one as it is, for whoever still holds it: the two share all but the way to what has
// changed. The shape of a tree is that of its claims alone, whatever order they came in. The zero tree has none.
//
// It is the trie of a Table, with the ways on of each node in a hash trie of their own, 64 ways wide (Bagwell, Ideal hash
// trees, 2001), so that a change copies a few slices of that width and not what lies beside it. A radix tree of bytes,
// github.com/hashicorp/go-immutable-radix/v2 2.1.0, was weighed for it: see the package's comment.
type Tree struct {
	first [everyHost + 1]*place
	size  int
}

// place is a node of a tree; it never changes.
type place struct {
	name   string // the segment, host or domain that leads here from above
	tail   string // what has to follow it, slash first; whole segments
	claims []*Claim
	group         // of the claims, by their places among them
	all    *Claim // the one for every method and class
	kids   fork
}

// fork is the ways on from a place: few, or the slices of them by the next bits of the hash. It is wide where more than
// fewWays are in it.
type fork struct {
	few  []way
	wide *[1 << wayBits]fork
}

type way struct {
	hash uint64
	to   *place
}

const (
	wayBits = 6  // 2 KiB to copy for each step of a change, and two steps for 10,000 names
	fewWays = 16 // read one by one: 128 bytes, two of the processor's lines
	hashEnd = 60
)

// Len is how many claims there are.
func (t *Tree) Len() int { return t.size }

// Match gives the claim that a call goes by, or nil, as Table.Match does.
func (t *Tree) Match(host, path, method, class string) *Claim {
	if a, b := t.first[hosts], t.first[domains]; a != nil || b != nil {
		var buf [maxHost]byte
		name := fold(&buf, host)
		if at := kid(a, name); at != nil {
			if c := at.find(path, method, class); c != nil {
				return c
			}
		}
		if at := kid(b, parent(name)); at != nil {
			if c := at.find(path, method, class); c != nil {
				return c
			}
		}
	}
	if t.first[everyHost] == nil {
		return nil
	}
	return t.first[everyHost].find(path, method, class)
}

// kid finds the place that a host or a domain leads to; nil: none.
func kid(at *place, name []byte) *place {
	if at == nil {
		return nil
	}
	return onward(&at.kids, xxhash.Sum64(name), name)
}

// onward finds the place that a name leads to; nil: none.
func onward[S string | []byte](f *fork, hash uint64, name S) *place {
	for bits := hash; f.wide != nil; bits >>= wayBits {
		f = &f.wide[bits&(1<<wayBits-1)]
	}
	for i := range f.few {
		if w := &f.few[i]; w.hash == hash && w.to.name == string(name) {
			return w.to
		}
	}
	return nil
}

// find walks down a path from a host's place as far as there are prefixes for it, and keeps the last claim met.
func (p *place) find(path, method, class string) (best *Claim) {
	for p != nil {
		if p.tail != "" {
			if !strings.HasPrefix(path, p.tail) {
				return best
			}
			if path = path[len(p.tail):]; path != "" && path[0] != '/' {
				return best
			}
		}
		if p.all != nil {
			best = p.all
		}
		if p.more != nil {
			if e := p.entry(method, class); e != None {
				best = p.claims[e]
			}
		}
		if path == "" || path[0] != '/' || p.kids.few == nil && p.kids.wide == nil {
			return best
		}
		segment, rest := path[1:], ""
		if i := strings.IndexByte(segment, '/'); i >= 0 {
			segment, rest = segment[:i], segment[i:]
		}
		p, path = onward(&p.kids, xxhash.Sum64String(segment), segment), rest
	}
	return best
}

// With is the tree with one more claim, which is none of it, and the ties of those that lie where it does.
func (t Tree) With(c *Claim) (Tree, []Tie) { return t.change(c, true) }

// Without is the tree less one of its claims, and the ties that are left where it lay.
func (t Tree) Without(c *Claim) (Tree, []Tie) { return t.change(c, false) }

func (t Tree) change(c *Claim, in bool) (Tree, []Tie) {
	e := edit{claim: c, in: in}
	root := t.first[c.kind]
	if root == nil {
		root = new(place)
	}
	if c.kind == anyHost {
		root = e.host(root, "")
	} else {
		root = e.below(root, c.domain, func(at *place) *place { return e.host(at, c.domain) })
	}
	if t.first[c.kind] = root; root.bare() {
		t.first[c.kind] = nil
	}
	t.size += e.added
	return t, e.ties
}

// edit is one change on its way down.
type edit struct {
	claim *Claim
	in    bool
	added int
	ties  []Tie
}

// host changes a host's own place, which stays as long as there is anything in it: paths begin there.
func (e *edit) host(p *place, name string) *place {
	if p == nil {
		p = &place{name: name}
	}
	next := e.at(p, e.claim.Prefix)
	if next.bare() && e.claim.kind != anyHost {
		return nil
	}
	return next
}

// bare: nothing ends here, and nothing goes on from here.
func (p *place) bare() bool { return len(p.claims) == 0 && p.kids.few == nil && p.kids.wide == nil }

// below changes what a name leads to from a place; nothing is left where the change says nil.
func (e *edit) below(p *place, name string, change func(*place) *place) *place {
	hash := xxhash.Sum64String(name)
	to := change(onward(&p.kids, hash, name))
	next := *p
	if to == nil {
		next.kids = next.kids.without(hash, name, 0)
	} else {
		next.kids = next.kids.with(way{hash, to}, 0)
	}
	return &next
}

// at changes a place whose tail has been gone through: what is left of the prefix leads on from here.
func (e *edit) at(p *place, prefix string) *place {
	if prefix == "" {
		return e.claims(p)
	}
	segment, _, _ := strings.Cut(prefix[1:], "/")
	rest := prefix[1+len(segment):]
	return e.below(p, segment, func(k *place) *place { return e.step(k, segment, rest) })
}

// step changes the place that a segment leads to, with what is left of the prefix behind it.
func (e *edit) step(p *place, segment, prefix string) *place {
	if p == nil {
		return e.claims(&place{name: segment, tail: prefix})
	}
	n := shared(p.tail, prefix)
	if n < len(p.tail) { // the ways part within the tail
		lower := *p
		lower.name, _, _ = strings.Cut(p.tail[n+1:], "/")
		lower.tail = p.tail[n+1+len(lower.name):]
		p = &place{name: p.name, tail: p.tail[:n], kids: fork{few: []way{{xxhash.Sum64String(lower.name), &lower}}}}
	}
	next := e.at(p, prefix[n:])
	switch {
	case next.bare():
		return nil
	case len(next.claims) > 0 || next.kids.wide != nil || len(next.kids.few) > 1:
		return next
	}
	only := *next.kids.few[0].to // nothing ends here and one way leads on: one place does for both
	only.name, only.tail = next.name, next.tail+"/"+only.name+only.tail
	return &only
}

// shared is how much two tails have in common, in whole segments.
func shared(a, b string) int {
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

// claims changes those that lie at one place, and finds which calls they match in common.
func (e *edit) claims(p *place) *place {
	next := *p
	i, ok := slices.BinarySearchFunc(p.claims, e.claim, (*Claim).rank)
	switch {
	case e.in && !ok:
		next.claims = slices.Insert(slices.Clone(p.claims), i, e.claim)
		e.added = 1
	case !e.in && ok:
		next.claims = slices.Delete(slices.Clone(p.claims), i, i+1)
		e.added = -1
	default:
		panic("routes: a claim is there twice, or not there: " + e.claim.Key)
	}
	by := map[arm]int{}
	for i, c := range next.claims {
		var tie Tie
		for _, a := range c.arms() {
			first, held := by[a]
			if !held {
				by[a] = i
				continue
			}
			if tie.Lost == nil {
				tie = Tie{Lost: c, To: next.claims[first]}
			}
			if a.method != "" {
				tie.Methods = append(tie.Methods, a.method)
			}
		}
		if tie.Lost != nil {
			e.ties = append(e.ties, tie)
		}
	}
	next.group, next.all = shape(by), nil
	if next.rest > 0 {
		next.all = next.claims[next.rest-1]
	}
	return &next
}

// with puts a way in the place of the one of its name, or beside the others.
func (f fork) with(w way, shift int) fork {
	if f.wide != nil {
		next := *f.wide
		s := &next[w.hash>>shift&(1<<wayBits-1)]
		*s = s.with(w, shift+wayBits)
		return fork{wide: &next}
	}
	few := make([]way, 0, len(f.few)+1)
	for _, x := range f.few {
		if x.hash != w.hash || x.to.name != w.to.name {
			few = append(few, x)
		}
	}
	few = append(few, w)
	if len(few) <= fewWays || shift >= hashEnd {
		return fork{few: few}
	}
	wide := new([1 << wayBits]fork)
	for _, x := range few {
		s := &wide[x.hash>>shift&(1<<wayBits-1)]
		*s = s.with(x, shift+wayBits)
	}
	return fork{wide: wide}
}

// without takes the way of a name out, and gathers the rest in one slice where that will do.
func (f fork) without(hash uint64, name string, shift int) fork {
	if f.wide == nil {
		few := slices.DeleteFunc(slices.Clone(f.few), func(x way) bool { return x.hash == hash && x.to.name == name })
		if len(few) == 0 {
			few = nil
		}
		return fork{few: few}
	}
	next := *f.wide
	s := &next[hash>>shift&(1<<wayBits-1)]
	*s = s.without(hash, name, shift+wayBits)
	var few []way
	for i := range next {
		if few = append(few, next[i].few...); next[i].wide != nil || len(few) > fewWays {
			return fork{wide: &next}
		}
	}
	return fork{few: few}
}
