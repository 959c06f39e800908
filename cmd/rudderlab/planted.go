package main

import (
	"fmt"
	"os"
	"time"

	"pewterrudder/internal/lab/planted"
	"pewterrudder/internal/lab/rebuilt"
)

type plantedCommand struct {
	Runs   int           `default:"2000" help:"Days to play for each fault, at the most." placeholder:"N"`
	Seed   uint64        `default:"1" help:"Number of the first day."`
	Length time.Duration `default:"20s" help:"Of each day."`
	Only   []string      `help:"Names of faults; else all." placeholder:"NAME"`
	JSON   bool          `name:"json" help:"Write one JSON array."`
}

func (c *plantedCommand) Run() error {
	root, err := rebuilt.Root(".")
	if err != nil {
		return misuseError{err}
	}
	if !c.JSON {
		fmt.Printf("%-28s %-8s %-16s %6s %8s %7s  %s\n", "fault", "caught", "by (expected)", "runs", "swarm s", "build s", "what was seen")
	}
	var all []*planted.Result
	missed := 0
	err = planted.Prove(planted.Options{Root: root, Seed: c.Seed, Runs: c.Runs, Length: c.Length, Only: c.Only},
		func(r *planted.Result) {
			all = append(all, r)
			if !r.Caught {
				missed++
			}
			if c.JSON {
				return
			}
			word, by := "yes", r.Rule
			if !r.Caught {
				word, by = "NO", r.Rule+" ("+r.Expected+")"
			}
			fmt.Printf("%-28s %-8s %-16s %6d %8.2f %7.1f  %s%s\n", r.Fault, word, by, r.Runs, r.Seconds, r.Build, r.Way, r.Error)
		})
	if err != nil {
		return misuseError{err}
	}
	if c.JSON {
		if err := writeJSON(all); err != nil {
			return err
		}
	}
	if missed > 0 {
		return brokenError(fmt.Sprintf("%d of %d faults are not caught by the rule that should", missed, len(all)))
	}
	fmt.Fprintf(os.Stderr, "all %d are caught\n", len(all))
	return nil
}
