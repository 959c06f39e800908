package main

import (
	"fmt"
	"os"

	"pewterrudder/internal/lab/theory"
)

type theoryCommand struct {
	JSON  bool   `name:"json" help:"Write one JSON array."`
	Short bool   `help:"Run less, and hold each mean to a bound that is wider by as much."`
	Seed  uint64 `default:"1" help:"The seed of all chance."`
}

func (c *theoryCommand) Run() error {
	budget := theory.Full
	if c.Short {
		budget = theory.Short
	}
	budget.Seed = c.Seed
	b := newBar()
	rows, err := theory.Run(budget, b.show)
	b.clear()
	if err != nil {
		return err
	}
	if c.JSON {
		err = writeJSON(rows)
	} else {
		err = theory.Write(os.Stdout, rows)
	}
	if err != nil {
		return err
	}
	outside := 0
	for _, r := range rows {
		if !r.Within {
			outside++
		}
	}
	if outside > 0 {
		return brokenError(fmt.Sprintf("%d of %d means lie outside their bounds", outside, len(rows)))
	}
	return nil
}
