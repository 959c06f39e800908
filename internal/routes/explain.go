package routes

import (
	"fmt"
	"slices"
	"strings"
)

// Skipped is an entry that was not chosen for a call.
type Skipped struct {
	Entry           int
	Why             string
	SameHostAndPath bool // host and path match the call
}

// Explanation tells why a table chose its entry for a call.
type Explanation struct {
	Entry   int       // the chosen one; None: no entry matches
	Skipped []Skipped // all other entries, by precedence

	table *Table
	call  string
}

// Explain checks the entries one by one in order of precedence, without the trie that Match uses, and gives a reason
// for each one not chosen. It is for diagnosis: its cost grows with the table.
func (t *Table) Explain(host, path, method, class string) Explanation {
	var buf [maxHostLength]byte
	name := string(normalizeHost(&buf, host))
	x := Explanation{Entry: None, table: t, call: fmt.Sprintf("%s %s%s, class %q", method, host, path, class)}
	for _, i := range t.order {
		e := &t.entries[i]
		p := Skipped{Entry: i}
		switch {
		case e.kind == exactHost && name != e.domain:
			p.Why = fmt.Sprintf("the host is not %s", e.domain)
		case e.kind == wildcardHost && string(parentDomain([]byte(name))) != e.domain:
			p.Why = fmt.Sprintf("the host is not one label before .%s", e.domain)
		case e.Prefix != "" && path != e.Prefix && !strings.HasPrefix(path, e.Prefix+"/"):
			p.Why = fmt.Sprintf("the path is not below %s", e.Prefix)
		default:
			p.SameHostAndPath = true
			switch {
			case e.Methods != nil && !slices.Contains(e.Methods, method):
				p.Why = fmt.Sprintf("the method is not %s", strings.Join(e.Methods, " or "))
			case e.Class != "" && e.Class != class:
				p.Why = fmt.Sprintf("the class is not %q", e.Class)
			case x.Entry == None:
				x.Entry = i
				continue
			default:
				p.Why = fmt.Sprintf("matches too, but %s", lossReason(&t.entries[x.Entry], e))
			}
		}
		x.Skipped = append(x.Skipped, p)
	}
	return x
}

// lossReason tells why an entry that matches comes after the chosen one.
func lossReason(chosen, other *entry) string {
	switch {
	case chosen.kind < other.kind:
		return "is less exact about the host"
	case len(chosen.Prefix) > len(other.Prefix):
		return "its path is shorter"
	case chosen.Methods != nil && other.Methods == nil:
		return "names no method"
	}
	return "names no class"
}

// String lists the chosen entry and the others with a matching host and path; the rest are counted.
func (x Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", x.call)
	if x.Entry == None {
		b.WriteString("  matches no entry\n")
	} else {
		fmt.Fprintf(&b, "  goes by %s\n", x.table.describeEntry(x.Entry))
	}
	others := 0
	for _, p := range x.Skipped {
		if !p.SameHostAndPath {
			others++
			continue
		}
		fmt.Fprintf(&b, "  not by %s: %s\n", x.table.label(p.Entry), p.Why)
	}
	if others > 0 {
		fmt.Fprintf(&b, "  %d of other hosts or paths\n", others)
	}
	return b.String()
}

// Describe lists the entries by precedence, one per line.
func (t *Table) Describe() string {
	var b strings.Builder
	for _, i := range t.order {
		b.WriteString(t.describeEntry(i) + "\n")
	}
	return b.String()
}

// String returns the number of entries.
func (t *Table) String() string { return fmt.Sprintf("%d routes", len(t.entries)) }

// describeEntry returns one line with the label, conditions and pools of an entry.
func (t *Table) describeEntry(i int) string {
	e := &t.entries[i]
	sum, to := 0.0, make([]string, len(e.Shares))
	for _, s := range e.Shares {
		sum += s.Weight
	}
	for k, s := range e.Shares {
		if to[k] = s.Pool; len(to) > 1 {
			to[k] += fmt.Sprintf(" %.4g %%", 100*s.Weight/sum)
		}
	}
	return fmt.Sprintf("%s: %s -> %s", t.label(i), e.describe(), strings.Join(to, ", "))
}

// describe returns what an entry matches, in words.
func (e *entry) describe() string {
	host, path, methods, class := "any host", "any path", "any method", "any class"
	switch e.kind {
	case exactHost:
		host = e.domain
	case wildcardHost:
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
