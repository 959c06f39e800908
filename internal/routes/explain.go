package routes

import (
	"fmt"
	"slices"
	"strings"
)

// Passed is an entry that a call did not go by.
type Passed struct {
	Entry int
	Why   string
	Near  bool // host and path do match
}

// Explanation is how a table comes to its entry for a call.
type Explanation struct {
	Entry  int      // None: no entry matches
	Passed []Passed // all others, by precedence

	table *Table
	call  string
}

// Explain asks each entry in turn, by precedence and not by Match's ways, and says what speaks against those passed
// over. It is for people: its cost grows with the table.
func (t *Table) Explain(host, path, method, class string) Explanation {
	var buf [maxHost]byte
	name := string(fold(&buf, host))
	x := Explanation{Entry: None, table: t, call: fmt.Sprintf("%s %s%s, class %q", method, host, path, class)}
	for _, i := range t.order {
		e := &t.entries[i]
		p := Passed{Entry: i}
		switch {
		case e.kind == oneHost && name != e.domain:
			p.Why = fmt.Sprintf("the host is not %s", e.domain)
		case e.kind == oneLabel && string(parent([]byte(name))) != e.domain:
			p.Why = fmt.Sprintf("the host is not one label before .%s", e.domain)
		case e.Prefix != "" && path != e.Prefix && !strings.HasPrefix(path, e.Prefix+"/"):
			p.Why = fmt.Sprintf("the path is not below %s", e.Prefix)
		default:
			p.Near = true
			switch {
			case e.Methods != nil && !slices.Contains(e.Methods, method):
				p.Why = fmt.Sprintf("the method is not %s", strings.Join(e.Methods, " or "))
			case e.Class != "" && e.Class != class:
				p.Why = fmt.Sprintf("the class is not %q", e.Class)
			case x.Entry == None:
				x.Entry = i
				continue
			default:
				p.Why = fmt.Sprintf("matches too, but %s", before(&t.entries[x.Entry], e))
			}
		}
		x.Passed = append(x.Passed, p)
	}
	return x
}

// before says what puts the entry that won before another one that matches.
func before(won, lost *entry) string {
	switch {
	case won.kind < lost.kind:
		return "is less exact about the host"
	case len(won.Prefix) > len(lost.Prefix):
		return "its path is shorter"
	case won.Methods != nil && lost.Methods == nil:
		return "names no method"
	}
	return "names no class"
}

// String tells the entry that matched and those that came near; the others are counted.
func (x Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", x.call)
	if x.Entry == None {
		b.WriteString("  matches no entry\n")
	} else {
		fmt.Fprintf(&b, "  goes by %s\n", x.table.line(x.Entry))
	}
	far := 0
	for _, p := range x.Passed {
		if !p.Near {
			far++
			continue
		}
		fmt.Fprintf(&b, "  not by %s: %s\n", x.table.label(p.Entry), p.Why)
	}
	if far > 0 {
		fmt.Fprintf(&b, "  %d of other hosts or paths\n", far)
	}
	return b.String()
}

// Describe lists the entries by precedence, one a line.
func (t *Table) Describe() string {
	var b strings.Builder
	for _, i := range t.order {
		b.WriteString(t.line(i) + "\n")
	}
	return b.String()
}

// String counts the entries.
func (t *Table) String() string { return fmt.Sprintf("%d routes", len(t.entries)) }

func (t *Table) line(i int) string {
	e := &t.entries[i]
	sum, to := 0.0, make([]string, len(e.To))
	for _, s := range e.To {
		sum += s.Weight
	}
	for k, s := range e.To {
		if to[k] = s.Pool; len(to) > 1 {
			to[k] += fmt.Sprintf(" %.4g %%", 100*s.Weight/sum)
		}
	}
	return fmt.Sprintf("%s: %s -> %s", t.label(i), e.wants(), strings.Join(to, ", "))
}

// wants is what an entry matches, in words.
func (e *entry) wants() string {
	host, path, methods, class := "any host", "any path", "any method", "any class"
	switch e.kind {
	case oneHost:
		host = e.domain
	case oneLabel:
		host = "*." + e.domain
	}
	if e.Prefix != "" {
		path = e.Prefix
	}
	if e.Methods != nil {
		methods = strings.Join(e.Methods, "|")
	}
	if e.Class != "" {
		class = "class " + e.Class
	}
	return strings.Join([]string{host, path, methods, class}, ", ")
}
