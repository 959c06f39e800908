package histories

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

func (r *Report) sort() {
	slices.SortFunc(r.First, func(a, b Break) int { return cmp.Compare(a.Seed, b.Seed) })
	r.First = r.First[:min(len(r.First), breaksMost)]
}

// Table writes a report for people.
func (r *Report) Table(w io.Writer) {
	t := &r.Tally
	fmt.Fprintf(w, "%d histories from seed %d in %.1f s, digest %s\n", r.Runs, r.From, r.Took, r.Digest)
	fmt.Fprintf(w, "the store: %d changes, %d restarts, %d compactions\n", t.Changes, t.Restarts, t.Compactions)
	fmt.Fprintf(w, "the clients: %d breaks, %d stalls, %d lies; %d entries told\n", t.Breaks, t.Stalls, t.Lies, t.Words)
	fmt.Fprintf(w, "the roster: %d changes told, %d suspicions, in doubt for %d steps; %d outages of our own network\n", t.Told,
		t.Suspects, t.Doubts, t.Outages)
	fmt.Fprintf(w, "%d entries not yet equal after 2 s, %d of them since their end was told of late\n", t.Late, t.Holds)
	for _, b := range r.First {
		fmt.Fprintf(w, "seed %d: %s\n", b.Seed, b.Text)
	}
	if r.Broken > 0 {
		fmt.Fprintf(w, "%d histories break a rule\n", r.Broken)
	} else {
		fmt.Fprintln(w, "none breaks a rule")
	}
}
