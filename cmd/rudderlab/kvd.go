package main

import (
	"context"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"pewterrudder/internal/lab/kvrig"
)

type kvdCommand struct {
	Serve   kvdServe   `cmd:"" help:"Be a store that speaks etcd's v3 protocol, over gRPC and JSON on one port. Lines of standard input say what happens to it; an unknown one lists them."`
	Measure kvdMeasure `cmd:"" help:"Follow a large list that changes: time to the first list, memory, time from a change to its callback."`
}

type kvdServe struct {
	Listen string        `default:"127.0.0.1:2379" help:"Address and port."`
	Notes  time.Duration `default:"1s" help:"Between progress notes; below zero: none."`
	Nodes  int           `help:"Entries to begin with, under nodes/."`
	Share  float64       `help:"Of them to change each second."`
	Seed   uint64        `default:"1" help:"Of what faults draw."`
}

func (k *kvdServe) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return kvrig.Serve(ctx, k.Listen, k.Notes, k.Nodes, k.Share, k.Seed, os.Stdin, os.Stdout)
}

type kvdMeasure struct {
	JSON    bool          `name:"json" help:"Write one JSON object."`
	Entries int           `default:"10000" help:"In the list."`
	Share   float64       `default:"0.01" help:"Of them that changes each second."`
	For     time.Duration `default:"30s" help:"After the first list."`
}

func (k *kvdMeasure) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	f, err := kvrig.Measure([]string{self, "kvd", "serve", "--listen", "127.0.0.1:0", "--nodes", strconv.Itoa(k.Entries),
		"--share", strconv.FormatFloat(k.Share, 'g', -1, 64)}, k.Entries, k.Share, k.For)
	if err != nil {
		return err
	}
	return show(f, k.JSON)
}
