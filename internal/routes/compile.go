package routes

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Compile validates rules and builds their table. pools are the pool names that shares may have; Pool returns indexes
// into it. classes are all those that calls can have; if it is empty, calls may have any class. An error names the
// invalid entry by its index, and the other one if two are in conflict.
func Compile(rules []Rule, pools, classes []string) (*Table, error) {
	t := &Table{entries: make([]entry, len(rules))}
	poolIndexes := map[string]int{}
	for i, p := range pools {
		poolIndexes[p] = i
	}
	names, groups := map[string]int{}, map[hostAndPrefix]map[condition]int{}
	for i, r := range rules {
		e := &t.entries[i]
		e.Rule = r
		if err := e.validate(poolIndexes, classes); err != nil {
			return nil, fmt.Errorf("%s: %w", t.label(i), err)
		}
		if other, ok := names[r.Name]; ok && r.Name != "" {
			return nil, fmt.Errorf("%s and %s have the same name", t.label(other), t.label(i))
		}
		names[r.Name] = i
		g := groups[e.hostAndPrefix()]
		if g == nil {
			g = map[condition]int{}
			groups[e.hostAndPrefix()] = g
		}
		for _, a := range e.conditions() {
			if other, ok := g[a]; ok {
				return nil, t.conflictError(other, i, a)
			}
			g[a] = i
		}
	}
	for i := range t.entries {
		if covering := t.entries[i].coveredBy(groups[t.entries[i].hostAndPrefix()], classes); covering != nil {
			return nil, fmt.Errorf("%s can never match: %s before it in each class", t.label(i), t.listEntriesThatGo(covering))
		}
	}
	var roots [anyHostRoot + 1]branch
	for s, g := range groups {
		b := &roots[anyHostRoot]
		if s.kind != anyHost {
			b = roots[s.kind].child(s.domain)
		}
		b.insert(s.prefix, g)
	}
	for _, kinds := range []map[string]*branch{roots[hostRoot].children, roots[domainRoot].children, {"": &roots[anyHostRoot]}} {
		for _, b := range kinds {
			b.compress()
		}
	}
	t.trie = buildTrie(&roots[hostRoot], &roots[domainRoot], &roots[anyHostRoot])
	t.order = make([]int, len(rules))
	for i := range t.order {
		t.order[i] = i
	}
	slices.SortFunc(t.order, t.comparePrecedence)
	return t, nil
}

// hostAndPrefix groups entries that differ in method and class only.
type hostAndPrefix struct {
	kind           hostKind
	domain, prefix string
}

// hostAndPrefix returns the group that an entry belongs to.
func (e *entry) hostAndPrefix() hostAndPrefix { return hostAndPrefix{e.kind, e.domain, e.Prefix} }

// conditions returns the pairs of method and class that an entry matches.
func (e *entry) conditions() []condition {
	if e.Methods == nil {
		return []condition{{"", e.Class}}
	}
	all := make([]condition, len(e.Methods))
	for i, m := range e.Methods {
		all[i] = condition{m, e.Class}
	}
	return all
}

// conflictError returns the error for two entries that match the same calls with equal precedence.
func (t *Table) conflictError(a, b int, common condition) error {
	x, y := &t.entries[a], &t.entries[b]
	if slices.Equal(x.Methods, y.Methods) { // both sorted
		return fmt.Errorf("%s can never match: %s matches just the same: %s", t.label(b), t.label(a), x.describe())
	}
	return fmt.Errorf("%s and %s both match %s, and neither goes first: take it out of one (%s; %s)",
		t.label(a), t.label(b), common.method, x.describe(), y.describe())
}

// coveredBy returns the entries that together take all calls of an entry; nil: some call is left to it.
//
// There is no end of possible hosts, paths and methods, so more specific entries can never cover all of them. The
// classes are finite: an entry for every class is unreachable if each class has an entry of its own for the same host,
// prefix and methods.
func (e *entry) coveredBy(group map[condition]int, classes []string) (covering []int) {
	if e.Class != "" || len(classes) == 0 {
		return nil
	}
	for _, a := range e.conditions() {
		for _, c := range classes {
			other, ok := group[condition{a.method, c}]
			if !ok {
				return nil
			}
			if !slices.Contains(covering, other) {
				covering = append(covering, other)
			}
		}
	}
	slices.Sort(covering)
	return covering
}

// listEntriesThatGo joins the labels of entries for an error message and adds "goes" or "go".
func (t *Table) listEntriesThatGo(indexes []int) string {
	all := make([]string, len(indexes))
	for i, e := range indexes {
		all[i] = t.label(e)
	}
	if len(all) == 1 {
		return all[0] + " goes"
	}
	return strings.Join(all[:len(all)-1], ", ") + " and " + all[len(all)-1] + " go"
}

// label returns the name of an entry in the settings: its index and its Name.
func (t *Table) label(i int) string {
	at := "routes[" + strconv.Itoa(i) + "]"
	if n := t.entries[i].Name; n != "" {
		at += fmt.Sprintf(" %q", n)
	}
	return at
}

// compareNamed orders a condition that is given before one that is left open.
func compareNamed(a, b string) int {
	switch {
	case a != "" && b == "":
		return -1
	case a == "" && b != "":
		return 1
	}
	return 0
}

// comparePrecedence orders entries by precedence. Those that can never match the same call are ordered by name and
// index.
func (t *Table) comparePrecedence(a, b int) int {
	x, y := &t.entries[a], &t.entries[b]
	var m, n string
	if x.Methods != nil {
		m = x.Methods[0]
	}
	if y.Methods != nil {
		n = y.Methods[0]
	}
	return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(x.domain, y.domain),
		cmp.Compare(len(y.Prefix), len(x.Prefix)), cmp.Compare(x.Prefix, y.Prefix),
		compareNamed(m, n), compareNamed(x.Class, y.Class), cmp.Compare(a, b))
}

// validate normalizes an entry and checks its fields. poolIndexes maps the names of the known pools to their
// indexes; nil: pools are not checked.
func (e *entry) validate(poolIndexes map[string]int, classes []string) error {
	if err := e.checkHost(); err != nil {
		return fmt.Errorf("host: %q %w", e.Host, err)
	}
	if e.Prefix == "/" {
		e.Prefix = "" // matches every path, and request targets without one
	}
	if err := checkPrefix(e.Prefix); err != nil {
		return fmt.Errorf("path: %q %w", e.Prefix, err)
	}
	if e.Methods != nil && len(e.Methods) == 0 {
		return errors.New("methods: an empty list matches nothing; leave out the key to match every method")
	}
	e.Methods = slices.Clone(e.Methods)
	slices.Sort(e.Methods)
	for i, m := range e.Methods {
		if m == "" || strings.ContainsFunc(m, func(c rune) bool { return (c < 'A' || c > 'Z') && c != '-' && c != '_' }) {
			return fmt.Errorf("methods: %q is not a method name, which is in upper case (RFC 9110, section 9.1)", m)
		}
		if i > 0 && m == e.Methods[i-1] {
			return fmt.Errorf("methods: %s is listed twice", m)
		}
	}
	if e.Class != "" && len(classes) > 0 && !slices.Contains(classes, e.Class) {
		return fmt.Errorf("class: %q can never match: the classes are %s", e.Class, strings.Join(classes, ", "))
	}
	return e.checkShares(poolIndexes)
}

func (e *entry) checkHost() error {
	domain := lowerASCII(e.Host)
	e.kind = exactHost
	switch rest, wild := strings.CutPrefix(domain, "*."); {
	case domain == "":
		e.kind = anyHost
		return nil
	case domain == "*":
		return errors.New("matches every host; leave out the key instead")
	case wild:
		e.kind, domain = wildcardHost, rest
	case domain[0] == '[' && domain[len(domain)-1] == ']':
		if strings.Trim(domain[1:len(domain)-1], "0123456789abcdef:.") != "" || len(domain) > maxHostLength {
			return errors.New("is not an IP address")
		}
		e.domain = domain
		return nil
	}
	if len(domain) > maxHostLength || e.kind == wildcardHost && len(domain) > maxHostLength-2 {
		return fmt.Errorf("can never match: a host name has at most %d characters", maxHostLength)
	}
	for label := range strings.SplitSeq(domain, ".") {
		switch {
		case label == "":
			return errors.New("has an empty label; leave out a dot at the end")
		case label == "*":
			return errors.New("has a misplaced *: only the first label may be one")
		case len(label) > 63:
			return errors.New("can never match: a label has at most 63 characters")
		case strings.Contains(label, ":"):
			return errors.New("has a port, but ports are not matched")
		}
		for _, c := range label {
			if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
				return fmt.Errorf("has %q in it: host names consist of letters, digits, - and _ (others in their xn-- form)", c)
			}
		}
	}
	e.domain = domain
	return nil
}

// checkPrefix rejects prefixes that no path can match, since clients never send such a path or segments never equal it.
func checkPrefix(p string) error {
	if p == "" {
		return nil
	}
	if p[0] != '/' {
		return errors.New("does not begin with a slash")
	}
	for segment := range strings.SplitSeq(p[1:], "/") {
		switch segment {
		case "":
			return errors.New("has an empty segment; leave out a slash at the end")
		case ".", "..":
			return fmt.Errorf("has a segment %s, which clients resolve before they send a request (RFC 3986, section 5.2.4)", segment)
		}
		for i := 0; i < len(segment); i++ {
			c := segment[i]
			switch {
			case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
			case strings.IndexByte("-._~!$&'()*+,;=:@", c) >= 0:
			case c == '%':
				if i+2 >= len(segment) || !isHexDigit(segment[i+1]) || !isHexDigit(segment[i+2]) {
					return errors.New("has a % without two hexadecimal digits")
				}
			default:
				return fmt.Errorf("has %q in it, which is not allowed in a path (RFC 3986, section 3.3); clients send %%%02X", c, c)
			}
		}
	}
	return nil
}

// lowerASCII lowers ASCII letters only. Some other characters have an ASCII lower case (the Kelvin sign has k), but are
// not valid in host names.
func lowerASCII(s string) string {
	return strings.Map(func(c rune) rune {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		return c
	}, s)
}

func isHexDigit(c byte) bool { return strings.IndexByte("0123456789abcdefABCDEF", c) >= 0 }
