package main

import (
	"fmt"

	"pewterrudder/internal/lab/histories"
)

type rosterHistoriesCommand struct {
	Runs int    `required:"" help:"Histories to play." placeholder:"N"`
	Seed uint64 `default:"1" help:"Number of the first; each of the others is one more." placeholder:"S"`
	JSON bool   `name:"json" help:"Write one JSON object."`
}

func (c *rosterHistoriesCommand) Run() error {
	if c.Runs < 1 {
		return misuseError{fmt.Errorf("%d histories: at least one is wanted", c.Runs)}
	}
	b := newBar()
	r := histories.Go(c.Seed, c.Runs, b.show)
	b.clear()
	if err := show(r, c.JSON); err != nil {
		return err
	}
	if r.Broken > 0 {
		return brokenError(fmt.Sprintf("%d of %d histories break a rule", r.Broken, r.Runs))
	}
	return nil
}
