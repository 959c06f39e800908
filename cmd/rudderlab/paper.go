package main

import (
	"strings"

	"pewterrudder/internal/lab/paper"
)

type paperCommand struct {
	JSON   bool   `name:"json" help:"Write one JSON object."`
	Out    string `help:"Write paper.txt and paper.json there besides." placeholder:"DIR"`
	Seeds  int    `default:"20" help:"Runs of each policy in each row."`
	Jobs   int    `default:"10000" help:"Jobs of a run."`
	Tables []int  `help:"1, 2, and 3 for the variations, in place of all." placeholder:"N"`
	Rows   string `help:"Only rows whose name has this." placeholder:"TEXT"`
}

func (c *paperCommand) Run() error {
	budget := paper.Budget{Seeds: c.Seeds, Jobs: c.Jobs, Tables: c.Tables, Rows: c.Rows, First: 1}
	if err := budget.Check(); err != nil {
		return misuseError{err}
	}
	b := newBar()
	r, err := paper.Run(budget, b.show)
	b.clear()
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := r.Save(c.Out); err != nil {
			return err
		}
	}
	if err := show(r, c.JSON); err != nil {
		return err
	}
	if lost := r.Lost(); len(lost) > 0 {
		return brokenError("paper: ours loses " + strings.Join(lost, ", "))
	}
	return nil
}
