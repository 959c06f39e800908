package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pewterrudder/internal/lab/routerdemo"
)

type routerDemoCommand struct {
	For time.Duration `help:"End after a while; without it, CTRL-C ends the demo." placeholder:"TIME"`
}

func (c *routerDemoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	_, err := routerdemo.Run(ctx, routerdemo.Options{For: c.For, Out: os.Stdout})
	return err
}
