package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/warmth"
)

type warmthCommand struct {
	Days  []string  `arg:"" optional:"" help:"Names of scenarios; none: herd-restart, zone-returns-to-many and fleet-replaced."`
	Seeds seedRange `default:"1..5" help:"Seeds, a run each." placeholder:"A..B"`
	Set   []string  `help:"Set a key of the days otherwise; may be repeated." placeholder:"KEY=VALUE" sep:"none"`
}

// Run counts what cold app nodes do.
func (c *warmthCommand) Run() error {
	if len(c.Days) == 0 {
		c.Days = []string{"herd-restart", "zone-returns-to-many", "fleet-replaced"}
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\truns\tseconds of each\tcold: app nodes\tof what they can\twaiting at each\twarm: app nodes\tof what they can\twaiting at each\tgoodput meanwhile\t")
	for _, name := range c.Days {
		var all warmth.Count
		for _, seed := range c.Seeds.list() {
			sc, err := scenario.Load(name, c.Set...)
			if err != nil {
				return misuseError{err}
			}
			if err := all.Run(sc, seed); err != nil {
				return err
			}
		}
		n := float64(max(1, all.Moments))
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f\t%.1f\t%.3f\t\n", name, len(c.Seeds.list()), n/10/float64(len(c.Seeds.list())), all.Cold.Nodes/n, all.Cold.Share(),
			all.Cold.Waiting/max(1, all.Cold.Nodes), all.Warm.Nodes/n, all.Warm.Share(), all.Warm.Waiting/max(1, all.Warm.Nodes), all.Goodput)
	}
	return t.Flush()
}
