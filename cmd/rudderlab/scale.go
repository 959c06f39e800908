package main

import "pewterrudder/internal/lab/scale"

type scaleCommand struct {
	JSON  bool  `name:"json" help:"Write one JSON object."`
	Sizes []int `default:"10,100,1000,10000" help:"Numbers of app nodes."`
}

func (s *scaleCommand) Run() error {
	b := scale.Full
	b.Sizes = s.Sizes
	r, err := scale.Run(b, nil)
	if err != nil {
		return err
	}
	return show(r, s.JSON)
}
