package roster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// SourceView is the state of a source as shown to operators.
type SourceView struct {
	Name     string
	Role     Role
	Health   Health
	Standing Standing
	Age      time.Duration // since the latest contact; 0 if there was none
	Revision int64
	Entries  int
	Doubted  int    // of these, entries absent from its latest list
	Wants    bool   // its full list must be requested
	Why      string // error since the latest contact, or empty
}

// Sources returns all sources, the most trusted first.
func (r *Roster) Sources() []SourceView {
	out := make([]SourceView, len(r.sources))
	for i, s := range r.sources {
		out[i] = SourceView{Name: s.Name, Role: s.Role, Health: s.health, Standing: s.standing, Revision: s.rev, Entries: s.live,
			Doubted: s.doubtedCount, Wants: s.needsFullList, Why: s.lastError}
		if s.heard {
			out[i].Age = r.age(s)
		}
	}
	return out
}

// EntryView is a merged entry with the sources that it comes from.
type EntryView struct {
	Change
	By   []string // the sources that list it
	From string   // the source whose report takes precedence
}

// Entries returns all listed entries, sorted by id. Its cost grows with the list: it is meant for operators' queries.
func (r *Roster) Entries() []EntryView {
	var out []EntryView
	for _, n := range r.nodes {
		if n.published.State == Gone {
			continue
		}
		v := EntryView{Change: n.published}
		for _, s := range r.sources {
			if n.listedBy(s) {
				v.By = append(v.By, s.Name)
			}
		}
		if n.deciding != nil {
			v.From = n.deciding.source.Name
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b EntryView) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Explain explains in one line what each source reports about an id, and the resulting state.
func (r *Roster) Explain(id string) string {
	n := r.nodes[id]
	if n == nil {
		return id + ": no source lists it"
	}
	parts := []string{}
	for _, s := range r.sources {
		rep := s.byID[id]
		if rep == nil {
			continue
		}
		part := fmt.Sprintf("%s (%s, %s) says %s", s.Name, s.health, s.standing, rep.entry.State)
		switch {
		case rep.overruled:
			part += fmt.Sprintf(", at a lower revision than that of its end, which holds for %v", rep.holdUntil-r.now)
		case rep.doubted:
			part += ", and its latest list, which is too short, lacks it"
		}
		parts = append(parts, part)
	}
	for o := r.byAddress[n.indexedAddress]; n.indexedAddress != "" && o != nil; o = o.nextAtAddress {
		if o != n && n.aliasOf(o) {
			parts = append(parts, "it is "+o.id+", at the same address")
		}
	}
	switch {
	case n.failingPos > 0 && r.localFault:
		parts = append(parts, "connects to it fail, as those to most; nobody is a suspect")
	case n.failingPos > 0 && n.onTrial:
		parts = append(parts, fmt.Sprintf("a suspect on trial: no connect has succeeded for %v", r.now-n.failingSince))
	case n.failingPos > 0:
		parts = append(parts, fmt.Sprintf("a suspect: no connect has succeeded for %v; the next trial is in %v",
			r.now-n.failingSince, n.trialAt-r.now))
	}
	return fmt.Sprintf("%s: %s. %s", id, n.published.State, strings.Join(parts, "; "))
}
