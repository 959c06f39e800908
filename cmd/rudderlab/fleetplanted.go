package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"pewterrudder/internal/lab/fleet"
	"pewterrudder/internal/lab/rebuilt"
)

type fleetPlantedCommand struct {
	Only     []string  `help:"Names of defects; else all." placeholder:"NAME"`
	Seeds    seedRange `default:"1..3" help:"Seeds, a run each." placeholder:"A..B"`
	Beside   int       `default:"1" help:"Runs at a time; what that makes late is void." placeholder:"N"`
	JSON     bool      `name:"json" help:"Write one JSON array."`
	Balancer string    `help:"The sound program; else pewterrudder beside this one." placeholder:"PATH"`
}

func (c *fleetPlantedCommand) Run() error {
	root, err := rebuilt.Root(".")
	if err != nil {
		return misuseError{err}
	}
	path, err := besides(c.Balancer)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var all []*fleet.Found
	missed := 0
	err = fleet.Plant(ctx, root, path, c.Only, c.Seeds.list(), c.Beside, func(f *fleet.Found) {
		all = append(all, f)
		word := "found"
		if len(f.By) == 0 {
			missed++
			word = "NOT FOUND"
		}
		if !c.JSON {
			fmt.Printf("%-28s %-10s %d runs, %d void  %s%s\n", f.Defect, word, f.Runs, f.Void, strings.Join(f.By, "; "), f.Error)
		}
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := writeJSON(all); err != nil {
			return err
		}
	}
	if missed > 0 {
		return brokenError(fmt.Sprintf("%d of %d defects are not found", missed, len(all)))
	}
	return nil
}
