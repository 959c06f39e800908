package main

import (
	"fmt"
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

func (p *paperCommand) Run() error {
	r, err := paper.Run(paper.Budget{Seeds: p.Seeds, Jobs: p.Jobs, Tables: p.Tables, Rows: p.Rows, First: 1}, nil)
	if err != nil {
		return err
	}
	if p.Out != "" {
		if err := r.Save(p.Out); err != nil {
			return err
		}
	}
	if err := show(r, p.JSON); err != nil {
		return err
	}
	if lost := r.Lost(); len(lost) > 0 {
		return fmt.Errorf("paper: ours loses %s", strings.Join(lost, ", "))
	}
	return nil
}
