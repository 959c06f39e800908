package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"pewterrudder/internal/lab/fleet"
)

type peersCostCommand struct {
	Peers  []int         `default:"-1,0,10,100" help:"How many others; -1 is a process without an address for them."`
	During time.Duration `default:"10s" help:"Measured for so long, or two pauses between whole views."`
	JSON   bool          `name:"json" help:"Write one JSON object for each."`
}

func (c *peersCostCommand) Run() error {
	program, remove, err := built(fleet.BuildPeers)
	if err != nil {
		return err
	}
	defer remove()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "peers\tCPU ms/s\tpeak kB\tanonymous kB\tthreads\tdescriptors\tpackets/s\tbytes/s\tviews, bytes/s\t")
	for _, n := range c.Peers {
		m, err := fleet.MeasurePeers(ctx, program, n, c.During)
		if err != nil {
			return err
		}
		if c.JSON {
			if err := writeJSON(m); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(t, "%d\t%.2f\t%d\t%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t\n", n, m.CPU, m.Peak, m.Own, m.Threads, m.Files, m.Packets, m.Bytes, m.Views)
	}
	if c.JSON {
		return nil
	}
	return t.Flush()
}
