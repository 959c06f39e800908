package main

import "pewterrudder/internal/lab/scale"

type scaleCommand struct {
	JSON  bool  `name:"json" help:"Write one JSON object."`
	Pools int   `help:"Pools that the fleet is divided into; 0: one of all app nodes."`
	Sizes []int `default:"10,100,1000,10000" help:"Numbers of app nodes."`
}

func (c *scaleCommand) Run() error {
	budget := scale.Full
	budget.Sizes, budget.Pools = c.Sizes, c.Pools
	if err := budget.Check(); err != nil {
		return misuseError{err}
	}
	b := newBar()
	r, err := scale.Run(budget, b.show)
	b.clear()
	if err != nil {
		return err
	}
	return show(r, c.JSON)
}
