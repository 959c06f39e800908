package roster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// SourceView is a source as operators see it.
type SourceView struct {
	Name     string
	Role     Role
	Health   Health
	Standing Standing
	Age      time.Duration // since the latest sign of life; 0 where it was never heard
	Revision int64
	Entries  int
	Doubted  int    // of these, what its latest list lacks
	Wants    bool   // a whole list is wanted
	Why      string // it broke, if it has not been heard since
}

// Sources gives each source, in order of trust.
func (r *Roster) Sources() []SourceView {
	out := make([]SourceView, len(r.sources))
	for i, s := range r.sources {
		out[i] = SourceView{Name: s.Name, Role: s.Role, Health: s.health, Standing: s.standing, Revision: s.rev, Entries: s.live,
			Doubted: s.doubt, Wants: s.wants, Why: s.why}
		if s.heard {
			out[i].Age = r.age(s)
		}
	}
	return out
}

// EntryView is an entry as it counts, with who says so.
type EntryView struct {
	Change
	By   []string // the sources that list it
	From string   // the source whose word decides
}

// Entries gives what is listed, by id. Its work grows with the list: it is for people.
func (r *Roster) Entries() []EntryView {
	var out []EntryView
	for _, n := range r.nodes {
		if n.told.State == Gone {
			continue
		}
		v := EntryView{Change: n.told}
		for _, s := range r.sources {
			if n.knows(s) {
				v.By = append(v.By, s.Name)
			}
		}
		if n.base != nil {
			v.From = n.base.source.Name
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b EntryView) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Why says in a line what each source says of an id, and what came of that.
func (r *Roster) Why(id string) string {
	n := r.nodes[id]
	if n == nil {
		return id + ": no source lists it"
	}
	parts := []string{}
	for _, s := range r.sources {
		w := s.byID[id]
		if w == nil {
			continue
		}
		part := fmt.Sprintf("%s (%s, %s) says %s", s.Name, s.health, s.standing, w.entry.State)
		switch {
		case w.held:
			part += fmt.Sprintf(", at a lower revision than that of its end, which holds for %v", w.until-r.now)
		case w.doubt:
			part += ", and its latest list, which is too short, lacks it"
		}
		parts = append(parts, part)
	}
	for o := r.places[n.place]; n.place != "" && o != nil; o = o.next {
		if o != n && n.behind(o) {
			parts = append(parts, "it is "+o.id+", at the same address")
		}
	}
	switch {
	case n.failing > 0 && r.ours:
		parts = append(parts, "connects to it fail, as those to most; nobody is a suspect")
	case n.failing > 0 && n.onTrial:
		parts = append(parts, fmt.Sprintf("a suspect on trial: no connect has succeeded for %v", r.now-n.failFrom))
	case n.failing > 0:
		parts = append(parts, fmt.Sprintf("a suspect: no connect has succeeded for %v; the next trial is in %v",
			r.now-n.failFrom, n.trialAt-r.now))
	}
	return fmt.Sprintf("%s: %s. %s", id, n.told.State, strings.Join(parts, "; "))
}
