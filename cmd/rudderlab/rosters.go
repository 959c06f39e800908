package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"pewterrudder/internal/lab/rosterlab"
)

type rostersCommand struct {
	JSON     bool     `name:"json" help:"Write one JSON array."`
	Seeds    int      `help:"Seeds of each scenario: 20, and 200 for blind."`
	Scenario []string `placeholder:"NAME" help:"These alone, or blind: how long a balancer hears nothing once discovery is back."`
}

// blind is the experiment on the pacing of asks, which is no scenario.
const blind = "blind"

func (c *rostersCommand) Run() error {
	seeds := c.Seeds
	switch {
	case seeds < 0:
		return misuseError{fmt.Errorf("--seeds: %d is no number of seeds", seeds)}
	case slices.Equal(c.Scenario, []string{blind}):
		return c.pace(cmp.Or(seeds, 200))
	}
	seeds = cmp.Or(seeds, 20)
	scenarios := rosterlab.Scenarios
	if len(c.Scenario) > 0 {
		scenarios = c.Scenario
	}
	for _, name := range scenarios {
		if !slices.Contains(rosterlab.Scenarios, name) {
			return misuseError{fmt.Errorf("%q is none of %v, and not %s alone", name, rosterlab.Scenarios, blind)}
		}
	}
	b, done := newBar(), 0
	rows, err := rosterlab.Table(scenarios, seeds, func(*rosterlab.Row) {
		done++
		b.show(float64(done) / float64(len(scenarios)*len(rosterlab.Ways)))
	})
	b.clear()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(rows)
	}
	return rosterlab.Write(os.Stdout, rows)
}

func (c *rostersCommand) pace(seeds int) error {
	b := newBar()
	p, err := rosterlab.Pace(seeds, b.show)
	b.clear()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(p)
	}
	return p.Write(os.Stdout)
}
