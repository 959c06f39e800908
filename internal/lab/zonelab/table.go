package zonelab

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Table runs every policy in every scenario, and hands on each row as it is there.
func Table(scenarios, policies []string, seeds int, each func(*Row)) ([]*Row, error) {
	var rows []*Row
	for _, name := range scenarios {
		for _, policy := range policies {
			r, err := Run(name, policy, seeds)
			if err != nil {
				return rows, err
			}
			rows = append(rows, r)
			if each != nil {
				each(r)
			}
		}
	}
	return rows, nil
}

// Write prints the rows for a reader.
func Write(w io.Writer, rows []*Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\tgoodput\tcalm\tdark\tof best\tafter 3 s\tworst seed\tback s\tmean\tlate back\tpeak\tmean\tcold\tother\tattempts\tother pool\tlost pool\tbroken\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%d\t\n", r.Scenario, r.Policy,
			r.Goodput, r.Calm, r.Dark, r.Of, r.OfLate, r.Least, r.Back, r.BackMean, r.NotBack, r.Peak, r.PeakMean, r.Cold, r.Other, r.Attempts, r.Rest, r.Part, r.Broken)
	}
	return t.Flush()
}
