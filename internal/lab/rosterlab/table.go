package rosterlab

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Table plays scenarios in all ways, and hands on each row as it is there.
func Table(scenarios []string, seeds int, each func(*Row)) ([]*Row, error) {
	var rows []*Row
	for _, name := range scenarios {
		var of []*Row
		for _, way := range Ways {
			r, err := Run(name, way, seeds)
			if err != nil {
				return rows, err
			}
			of = append(of, r)
			if each != nil {
				each(r)
			}
		}
		truth := of[len(of)-1]
		for _, r := range of {
			r.Worst = -1
			for i, f := range r.faults {
				behind := truth.faults[i] - f
				r.Behind += behind / float64(seeds)
				r.Worst = max(r.Worst, behind)
			}
		}
		rows = append(rows, of...)
	}
	return rows, nil
}

// Write prints the rows for a reader.
func Write(w io.Writer, rows []*Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tlist\tgoodput\tin fault\tbehind truth\tworst\tcalls to dead %\tworst\tattempts %\trefused %\tbroken\tblind 95% s\tmost\tof\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%d+%d\t\n", r.Scenario, r.Way, r.Goodput, r.Fault,
			r.Behind, r.Worst, 100*r.Calls, 100*r.CallsMost, 100*r.Attempts, 100*r.Refused, r.Broken, r.Blind, r.BlindMost, r.Blinds, r.Again)
	}
	return t.Flush()
}
