package routes

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Compile checks rules and builds their table. pools are the names that shares may have, and their places are what Pool
// answers with. classes are all those that calls can have; none given, nothing is taken for granted of them. An error
// names the entry at fault by its place, and the other one where two are.
func Compile(rules []Rule, pools, classes []string) (*Table, error) {
	t := &Table{entries: make([]entry, len(rules))}
	places := map[string]int{}
	for i, p := range pools {
		places[p] = i
	}
	names, groups := map[string]int{}, map[spot]map[arm]int{}
	for i, r := range rules {
		e := &t.entries[i]
		e.Rule = r
		if err := e.check(places, classes); err != nil {
			return nil, fmt.Errorf("%s: %w", t.label(i), err)
		}
		if other, ok := names[r.Name]; ok && r.Name != "" {
			return nil, fmt.Errorf("%s and %s have one name", t.label(other), t.label(i))
		}
		names[r.Name] = i
		g := groups[e.spot()]
		if g == nil {
			g = map[arm]int{}
			groups[e.spot()] = g
		}
		for _, a := range e.arms() {
			if other, ok := g[a]; ok {
				return nil, t.tie(other, i, a)
			}
			g[a] = i
		}
	}
	for i := range t.entries {
		if by := t.entries[i].covered(groups[t.entries[i].spot()], classes); by != nil {
			return nil, fmt.Errorf("%s can never match: %s before it in each class", t.label(i), t.goFirst(by))
		}
	}
	var first [everyHost + 1]branch
	for s, g := range groups {
		b := &first[everyHost]
		if s.kind != anyHost {
			b = first[s.kind].kid(s.domain)
		}
		b.add(s.prefix, g)
	}
	for _, kinds := range []map[string]*branch{first[hosts].kids, first[domains].kids, {"": &first[everyHost]}} {
		for _, b := range kinds {
			b.compress()
		}
	}
	t.trie = lay(&first[hosts], &first[domains], &first[everyHost])
	t.order = make([]int, len(rules))
	for i := range t.order {
		t.order[i] = i
	}
	slices.SortFunc(t.order, t.compare)
	return t, nil
}

// spot is where the entries lie that method and class alone tell apart.
type spot struct {
	kind           kind
	domain, prefix string
}

func (e *entry) spot() spot { return spot{e.kind, e.domain, e.Prefix} }

func (e *entry) arms() []arm {
	if e.Methods == nil {
		return []arm{{"", e.Class}}
	}
	all := make([]arm, len(e.Methods))
	for i, m := range e.Methods {
		all[i] = arm{m, e.Class}
	}
	return all
}

// tie names two entries that match the same calls with equal rank.
func (t *Table) tie(a, b int, on arm) error {
	x, y := &t.entries[a], &t.entries[b]
	if slices.Equal(x.Methods, y.Methods) { // both sorted
		return fmt.Errorf("%s can never match: %s matches just the same: %s", t.label(b), t.label(a), x.wants())
	}
	return fmt.Errorf("%s and %s both match %s, and neither goes first: take it out of one (%s; %s)",
		t.label(a), t.label(b), on.method, x.wants(), y.wants())
}

// covered lists the entries that together leave nothing to an entry; nil: it has calls of its own.
//
// Names of hosts, paths and methods are without number, so no set of longer or narrower entries can use them up.
// Classes can be counted: an entry for every class is lost where each class has one of its own at the same host and
// prefix, for the same methods.
func (e *entry) covered(group map[arm]int, classes []string) (by []int) {
	if e.Class != "" || len(classes) == 0 {
		return nil
	}
	for _, a := range e.arms() {
		for _, c := range classes {
			other, ok := group[arm{a.method, c}]
			if !ok {
				return nil
			}
			if !slices.Contains(by, other) {
				by = append(by, other)
			}
		}
	}
	slices.Sort(by)
	return by
}

func (t *Table) goFirst(by []int) string {
	all := make([]string, len(by))
	for i, e := range by {
		all[i] = t.label(e)
	}
	if len(all) == 1 {
		return all[0] + " goes"
	}
	return strings.Join(all[:len(all)-1], ", ") + " and " + all[len(all)-1] + " go"
}

// label names an entry as the settings do.
func (t *Table) label(i int) string {
	at := "routes[" + strconv.Itoa(i) + "]"
	if n := t.entries[i].Name; n != "" {
		at += fmt.Sprintf(" %q", n)
	}
	return at
}

// named puts what is named before what is left open.
func named(a, b string) int {
	switch {
	case a != "" && b == "":
		return -1
	case a == "" && b != "":
		return 1
	}
	return 0
}

// compare is the order of precedence, with names and places to settle what can never meet.
func (t *Table) compare(a, b int) int {
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
		named(m, n), named(x.Class, y.Class), cmp.Compare(a, b))
}

// check brings an entry in its form and finds what no table can hold.
func (e *entry) check(places map[string]int, classes []string) error {
	if err := e.checkHost(); err != nil {
		return fmt.Errorf("host: %q %w", e.Host, err)
	}
	if e.Prefix == "/" {
		e.Prefix = "" // every path, and the targets without one
	}
	if err := checkPrefix(e.Prefix); err != nil {
		return fmt.Errorf("path: %q %w", e.Prefix, err)
	}
	if e.Methods != nil && len(e.Methods) == 0 {
		return errors.New("methods: an empty list matches nothing; without the key every method matches")
	}
	e.Methods = slices.Clone(e.Methods)
	slices.Sort(e.Methods)
	for i, m := range e.Methods {
		if m == "" || strings.ContainsFunc(m, func(c rune) bool { return (c < 'A' || c > 'Z') && c != '-' && c != '_' }) {
			return fmt.Errorf("methods: %q is no method's name, which is in capitals (RFC 9110, section 9.1)", m)
		}
		if i > 0 && m == e.Methods[i-1] {
			return fmt.Errorf("methods: %s is there twice", m)
		}
	}
	if e.Class != "" && len(classes) > 0 && !slices.Contains(classes, e.Class) {
		return fmt.Errorf("class: %q can never match: the classes are %s", e.Class, strings.Join(classes, ", "))
	}
	return e.checkShares(places)
}

func (e *entry) checkHost() error {
	domain := lower(e.Host)
	e.kind = oneHost
	switch rest, wild := strings.CutPrefix(domain, "*."); {
	case domain == "":
		e.kind = anyHost
		return nil
	case domain == "*":
		return errors.New("is every host, which is said by leaving the key out")
	case wild:
		e.kind, domain = oneLabel, rest
	case domain[0] == '[' && domain[len(domain)-1] == ']':
		if strings.Trim(domain[1:len(domain)-1], "0123456789abcdef:.") != "" || len(domain) > maxHost {
			return errors.New("is no address")
		}
		e.domain = domain
		return nil
	}
	if len(domain) > maxHost || e.kind == oneLabel && len(domain) > maxHost-2 {
		return fmt.Errorf("can never match: no name is longer than %d", maxHost)
	}
	for label := range strings.SplitSeq(domain, ".") {
		switch {
		case label == "":
			return errors.New("has an empty label; the root's dot at the end is left out")
		case label == "*":
			return errors.New("has a * where none may be: one alone, as the first label")
		case len(label) > 63:
			return errors.New("can never match: no label is longer than 63")
		case strings.Contains(label, ":"):
			return errors.New("has a port, and ports are not looked at")
		}
		for _, c := range label {
			if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
				return fmt.Errorf("has %q in it: names are of letters, digits, - and _ (others in their xn-- form)", c)
			}
		}
	}
	e.domain = domain
	return nil
}

// checkPrefix refuses what clients do not send as it stands, or what the segments of a path never equal.
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
			return errors.New("has an empty segment; a slash at the end is left out")
		case ".", "..":
			return fmt.Errorf("has a segment %s, which clients resolve before they ask (RFC 3986, section 5.2.4)", segment)
		}
		for i := 0; i < len(segment); i++ {
			c := segment[i]
			switch {
			case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
			case strings.IndexByte("-._~!$&'()*+,;=:@", c) >= 0:
			case c == '%':
				if i+2 >= len(segment) || !hex(segment[i+1]) || !hex(segment[i+2]) {
					return errors.New("has a % without two hexadecimal digits")
				}
			default:
				return fmt.Errorf("has %q in it, which no path may (RFC 3986, section 3.3); clients send %%%02X", c, c)
			}
		}
	}
	return nil
}

// lower is for ASCII alone: other letters that have an ASCII one for their lower case are no names' letters.
func lower(s string) string {
	return strings.Map(func(c rune) rune {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		return c
	}, s)
}

func hex(c byte) bool { return strings.IndexByte("0123456789abcdefABCDEF", c) >= 0 }
