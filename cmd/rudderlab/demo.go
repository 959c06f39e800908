package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"pewterrudder/internal/lab/demo"
)

type demoCommand struct {
	Balancer string `help:"The balancer's program; else pewterrudder beside this one." placeholder:"PATH"`
	Plain    bool   `help:"A line a second, also on a terminal."`
	Seed     uint64 `default:"1" help:"Of all that is drawn."`
}

func (d *demoCommand) Run() error {
	path, err := besides(d.Balancer)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		stop()
		<-signals
		os.Exit(1) // the balancer is told by the system that its parent has gone
	}()
	term := os.Getenv("TERM")
	plain := d.Plain || term == "dumb" || term == ""
	return demo.Run(ctx, demo.Options{Balancer: path, In: os.Stdin, Out: os.Stdout, Plain: plain, Seed: d.Seed,
		Colour: os.Getenv("NO_COLOR") == ""})
}

// besides finds the balancer's program: where it is said to be, or beside this one.
func besides(path string) (string, error) {
	if path != "" {
		return path, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path = filepath.Join(filepath.Dir(self), "pewterrudder")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no balancer beside this program: %w; `make build` makes it, or --balancer names one", err)
	}
	return path, nil
}
