package routes

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// call holds the arguments of a match.
type call struct{ host, path, method, class string }

// The reference for Match checks the rules one by one in the documented order and shares no code with the package.

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

// specificity returns the precedence of a rule; the greater comes first.
func specificity(r Rule) (k [4]int) {
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

// referenceMatch returns the entry for a call, and whether another one matches it with the same specificity.
func referenceMatch(rules []Rule, c call) (best int, tie bool) {
	best = None
	for i, r := range rules {
		if !c.matches(r) {
			continue
		}
		if best == None {
			best = i
			continue
		}
		a, b := specificity(r), specificity(rules[best])
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
	ruleHosts    = []string{"", "a.x", "B.x", "*.x", "*.a.x"}
	rulePrefixes = []string{"", "/", "/a", "/a/b", "/a/b/a/b", "/ab", "/a%2Fb", "/b"}
	ruleMethods  = []string{"GET", "POST", "PUT"}
	ruleClasses  = []string{"read", "book"}

	callHosts = []string{"", "a.x", "A.X", "b.x", "c.x", ".x", "x", "a.a.x", "q.a.x", "a.b.x"}
	callPaths = []string{"", "*", "*a", "/", "/a", "/a/", "/ab", "/a/b", "/a/bc", "/a//b", "/a/./b",
		"/a/b/a", "/a/b/a/b", "/a/b/a/bb", "/a/b/a/b/c", "/a%2Fb", "/a%2fb", "/%61", "/a/../b", "/b/c"}
	callMethods = []string{"GET", "POST", "PUT", "get", ""}
)

func drawRule(t *rapid.T) Rule {
	r := Rule{Host: rapid.SampledFrom(ruleHosts).Draw(t, "host"),
		Prefix: rapid.SampledFrom(rulePrefixes).Draw(t, "prefix"),
		Class:  rapid.SampledFrom(append([]string{""}, ruleClasses...)).Draw(t, "class"), Shares: []Share{{"p", 1}}}
	for _, m := range ruleMethods {
		if rapid.IntRange(0, 3).Draw(t, m) == 0 {
			r.Methods = append(r.Methods, m)
		}
	}
	return r
}

// forEachCall enumerates calls that distinguish all rules of drawRule, with the given classes.
func forEachCall(classes []string, do func(call)) {
	for _, h := range callHosts {
		for _, p := range callPaths {
			for _, m := range callMethods {
				for _, c := range classes {
					do(call{h, p, m, c})
				}
			}
		}
	}
}

// lengthTable is the alternative to the trie described in the package comment: a map of whole prefixes for each host,
// with lookups from the longest prefix length of the host down. It serves as a second reference and for benchmarks.
type lengthTable struct {
	exact, wild map[string]*prefixesByLength
	every       *prefixesByLength
}

// prefixesByLength holds the prefixes of one host.
type prefixesByLength struct {
	present []bool // whether there are prefixes of that many segments
	nodes   map[string]*node
}

func newLengthTable(t *Table) *lengthTable {
	l := &lengthTable{exact: map[string]*prefixesByLength{}, wild: map[string]*prefixesByLength{}, every: &prefixesByLength{nodes: map[string]*node{}}}
	for _, e := range t.entries {
		to := l.every
		if at := map[hostKind]map[string]*prefixesByLength{exactHost: l.exact, wildcardHost: l.wild}[e.kind]; at != nil {
			if at[e.domain] == nil {
				at[e.domain] = &prefixesByLength{nodes: map[string]*node{}}
			}
			to = at[e.domain]
		}
		k := strings.Count(e.Prefix, "/")
		for len(to.present) <= k {
			to.present = append(to.present, false)
		}
		to.present[k], to.nodes[e.Prefix] = true, t.nodeAt(e.hostAndPrefix())
	}
	return l
}

// nodeAt returns the node of a host and prefix, by walking the trie.
func (t *Table) nodeAt(s hostAndPrefix) *node {
	at := anyHostRoot
	if s.kind != anyHost {
		at = t.trie.hostNode(int32(s.kind), []byte(s.domain))
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
		at = followEdge(t.trie, at, xxhash.Sum64String(segment), segment)
	}
}

func (l *lengthTable) Match(host, path, method, class string) int {
	var buf [maxHostLength]byte
	name := normalizeHost(&buf, host)
	for _, at := range [...]*prefixesByLength{l.exact[string(name)], l.wild[string(parentDomain(name))], l.every} {
		if at != nil {
			if e := at.find(path, method, class); e != None {
				return e
			}
		}
	}
	return None
}

func (l *prefixesByLength) find(path, method, class string) int {
	var ends [64]int
	n := 0
	if path != "" && path[0] == '/' {
		for i := 1; i <= len(path) && n+1 < len(l.present); i++ {
			if i == len(path) || path[i] == '/' {
				n++
				ends[n] = i
			}
		}
	}
	for ; n >= 0; n-- {
		if n < len(l.present) && l.present[n] {
			if a, ok := l.nodes[path[:ends[n]]]; ok {
				if e := a.matchEntry(method, class); e != None {
					return e
				}
			}
		}
	}
	return None
}

// generateRules returns n rules and a matching call for each. Calls have the same numbers of segments and the same mix
// of hosts at every size: of ten rules, six share a host, two share a wildcard domain, and two have no host.
func generateRules(n int) (rules []Rule, calls []call) {
	for i := range n {
		r := Rule{Name: fmt.Sprint("r", i), Shares: []Share{{"p", 1}}}
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
