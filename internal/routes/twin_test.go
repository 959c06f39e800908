package routes

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// call is what is asked of a table.
type call struct{ host, path, method, class string }

// The twin scans the rules one by one, in words of its own: the documented order and nothing else.

func (c call) matches(r Rule) bool {
	ascii := func(s string) string {
		b := []byte(s)
		for i := range b {
			if b[i] >= 'A' && b[i] <= 'Z' {
				b[i] |= 0x20
			}
		}
		return string(b)
	}
	host, domain := ascii(c.host), ascii(r.Host)
	if domain, wild := strings.CutPrefix(domain, "*."); wild {
		first, rest, _ := strings.Cut(host, ".")
		if first == "" || rest != domain {
			return false
		}
	} else if domain != "" && domain != host {
		return false
	}
	want, have := strings.Split(strings.TrimSuffix(r.Prefix, "/"), "/"), strings.Split(c.path, "/")
	if len(want) > 1 && (len(have) < len(want) || !slices.Equal(have[:len(want)], want)) {
		return false
	}
	return (r.Methods == nil || slices.Contains(r.Methods, c.method)) && (r.Class == "" || r.Class == c.class)
}

// rank is how specific a rule is; the greater goes first.
func rank(r Rule) (k [4]int) {
	switch {
	case strings.HasPrefix(r.Host, "*."):
		k[0] = 1
	case r.Host != "":
		k[0] = 2
	}
	k[1] = len(strings.TrimSuffix(r.Prefix, "/"))
	if r.Methods != nil {
		k[2] = 1
	}
	if r.Class != "" {
		k[3] = 1
	}
	return k
}

// scan gives the entry for a call, and whether another one matches it with the same rank.
func scan(rules []Rule, c call) (best int, tie bool) {
	best = None
	for i, r := range rules {
		if !c.matches(r) {
			continue
		}
		if best == None {
			best = i
			continue
		}
		a, b := rank(r), rank(rules[best])
		switch slices.Compare(a[:], b[:]) {
		case 1:
			best, tie = i, false
		case 0:
			tie = true
		}
	}
	return best, tie
}

var (
	someHosts    = []string{"", "a.x", "B.x", "*.x", "*.a.x"}
	somePrefixes = []string{"", "/", "/a", "/a/b", "/a/b/a/b", "/ab", "/a%2Fb", "/b"}
	someMethods  = []string{"GET", "POST", "PUT"}
	someClasses  = []string{"read", "book"}

	askHosts = []string{"", "a.x", "A.X", "b.x", "c.x", ".x", "x", "a.a.x", "q.a.x", "a.b.x"}
	askPaths = []string{"", "*", "*a", "/", "/a", "/a/", "/ab", "/a/b", "/a/bc", "/a//b", "/a/./b",
		"/a/b/a", "/a/b/a/b", "/a/b/a/bb", "/a/b/a/b/c", "/a%2Fb", "/a%2fb", "/%61", "/a/../b", "/b/c"}
	askMethods = []string{"GET", "POST", "PUT", "get", ""}
)

func drawRule(t *rapid.T) Rule {
	r := Rule{Host: rapid.SampledFrom(someHosts).Draw(t, "host"),
		Prefix: rapid.SampledFrom(somePrefixes).Draw(t, "prefix"),
		Class:  rapid.SampledFrom(append([]string{""}, someClasses...)).Draw(t, "class"), To: []Share{{"p", 1}}}
	for _, m := range someMethods {
		if rapid.IntRange(0, 3).Draw(t, m) == 0 {
			r.Methods = append(r.Methods, m)
		}
	}
	return r
}

// everyCall is all that tells such rules apart, and more; class is one of those named.
func everyCall(classes []string, do func(call)) {
	for _, h := range askHosts {
		for _, p := range askPaths {
			for _, m := range askMethods {
				for _, c := range classes {
					do(call{h, p, m, c})
				}
			}
		}
	}
}

// byLength is the other way to search that was weighed: a map of whole prefixes for each host, asked from the longest
// length that the host has down. It is here as a second twin and to be measured beside the trie.
type byLength struct {
	exact, wild map[string]*lengths
	every       *lengths
}

type lengths struct {
	has []bool // by number of segments
	at  map[string]*node
}

func newByLength(t *Table) *byLength {
	l := &byLength{exact: map[string]*lengths{}, wild: map[string]*lengths{}, every: &lengths{at: map[string]*node{}}}
	for _, e := range t.entries {
		to := l.every
		if at := map[kind]map[string]*lengths{oneHost: l.exact, oneLabel: l.wild}[e.kind]; at != nil {
			if at[e.domain] == nil {
				at[e.domain] = &lengths{at: map[string]*node{}}
			}
			to = at[e.domain]
		}
		k := strings.Count(e.Prefix, "/")
		for len(to.has) <= k {
			to.has = append(to.has, false)
		}
		to.has[k], to.at[e.Prefix] = true, t.node(e.spot())
	}
	return l
}

// node finds the node of entries, by the trie's own ways.
func (t *Table) node(s spot) *node {
	at := everyHost
	if s.kind != anyHost {
		at = t.trie.host(int32(s.kind), []byte(s.domain))
	}
	for path := s.prefix; ; {
		n := &t.trie.nodes[at]
		if path = strings.TrimPrefix(path, n.tail); path == "" {
			return n
		}
		segment, rest, _ := strings.Cut(path[1:], "/")
		if path = ""; rest != "" {
			path = "/" + rest
		}
		at = down(t.trie, at, xxhash.Sum64String(segment), segment)
	}
}

func (l *byLength) Match(host, path, method, class string) int {
	var buf [maxHost]byte
	name := fold(&buf, host)
	for _, at := range [...]*lengths{l.exact[string(name)], l.wild[string(parent(name))], l.every} {
		if at != nil {
			if e := at.find(path, method, class); e != None {
				return e
			}
		}
	}
	return None
}

func (l *lengths) find(path, method, class string) int {
	var ends [64]int
	n := 0
	if path != "" && path[0] == '/' {
		for i := 1; i <= len(path) && n+1 < len(l.has); i++ {
			if i == len(path) || path[i] == '/' {
				n++
				ends[n] = i
			}
		}
	}
	for ; n >= 0; n-- {
		if n < len(l.has) && l.has[n] {
			if a, ok := l.at[path[:ends[n]]]; ok {
				if e := a.entry(method, class); e != None {
					return e
				}
			}
		}
	}
	return None
}

// mixed is a table of a given size and the calls for it. Whatever the size, a call meets the same number of segments
// and the same mix of hosts: of ten routes six have a host that they share, two a domain, two no host.
func mixed(n int) (rules []Rule, calls []call) {
	for i := range n {
		r := Rule{Name: fmt.Sprint("r", i), To: []Share{{"p", 1}}}
		c := call{method: "GET", class: "read"}
		switch group := i / 10; {
		case i%10 < 6:
			r.Host = fmt.Sprintf("shop-%d.yard.example", group)
			c.host = r.Host
		case i%10 < 8:
			r.Host = fmt.Sprintf("*.region-%d.yard.example", group)
			c.host = fmt.Sprintf("b.region-%d.yard.example", group)
		default:
			c.host = "elsewhere.example"
		}
		r.Prefix = fmt.Sprintf("/team-%d", i)
		for _, s := range []string{"/v1", "/orders", "/open"}[:i%4] {
			r.Prefix += s
		}
		c.path = r.Prefix + "/9b1f03aa"
		rules, calls = append(rules, r), append(calls, c)
	}
	return rules, calls
}
