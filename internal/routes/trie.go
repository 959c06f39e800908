package routes

import "strings"

// node is a place in the paths of one host: that of one or more entries, or where their prefixes part.
type node struct {
	tail string // what has to follow the segment that led here, slash first; whole segments
	arms arms
	kids map[string]*node // by the next segment
}

// find walks down a path as far as there are prefixes for it, and keeps the last entry met.
func (n *node) find(path, method, class string) int {
	best := None
	for {
		if n.tail != "" {
			if !strings.HasPrefix(path, n.tail) {
				return best
			}
			if path = path[len(n.tail):]; path != "" && path[0] != '/' {
				return best
			}
		}
		if e := n.arms.find(method, class); e != None {
			best = e
		}
		if n.kids == nil || path == "" || path[0] != '/' {
			return best
		}
		segment, rest := path[1:], ""
		if i := strings.IndexByte(segment, '/'); i >= 0 {
			segment, rest = segment[:i], segment[i:]
		}
		if n = n.kids[segment]; n == nil {
			return best
		}
		path = rest
	}
}

// add hangs the entries of one prefix in, a node for each segment.
func (n *node) add(prefix string, a arms) {
	for prefix != "" {
		segment, rest := prefix[1:], ""
		if i := strings.IndexByte(segment, '/'); i >= 0 {
			segment, rest = segment[:i], segment[i:]
		}
		kid := n.kids[segment]
		if kid == nil {
			kid = new(node)
			if n.kids == nil {
				n.kids = map[string]*node{}
			}
			n.kids[segment] = kid
		}
		n, prefix = kid, rest
	}
	n.arms = a
}

// compress joins nodes that have one way on and no entries with the next. The first one of a host stays: it has no
// segment that leads to it.
func (n *node) compress() {
	for segment, kid := range n.kids {
		tail := ""
		for kid.arms.none() && len(kid.kids) == 1 {
			for next, only := range kid.kids {
				tail += "/" + next
				kid = only
			}
		}
		kid.tail = tail
		kid.compress()
		n.kids[segment] = kid
	}
}

// arm is a method and a class of an entry; empty ones match all.
type arm struct{ method, class string }

// arms are what the entries of one host and one prefix match, each but once.
type arms struct {
	few  []armed // by precedence
	many map[arm]int
	rest int // 1 more than the entry for every method and class, in a node's own cache line: most have no other
}

type armed struct {
	arm
	entry int
}

// fewArms is how many are compared one by one. Eight take 36 ns, the looks into a map 84; from sixteen on the map wins.
const fewArms = 8

func (a *arms) none() bool { return a.few == nil && a.many == nil && a.rest == 0 }

func (a *arms) find(method, class string) int {
	for i := range a.few {
		if x := &a.few[i]; (x.method == "" || x.method == method) && (x.class == "" || x.class == class) {
			return x.entry
		}
	}
	if a.many != nil {
		for _, x := range [...]arm{{method, class}, {method, ""}, {"", class}} {
			if e, ok := a.many[x]; ok {
				return e
			}
		}
	}
	return a.rest - 1
}
