package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"pewterrudder/internal/lab/capacity"
	"pewterrudder/internal/lab/rebuilt"
)

type capacityCommand struct {
	Only     string `help:"A role, one of balancer, app-node, discovery, source, peers, events; the measures of others are left out." placeholder:"ROLE"`
	Out      string `help:"Write the page here in place of standard output." type:"path" placeholder:"FILE"`
	JSON     bool   `name:"json" help:"Write what was measured as one JSON object."`
	Balancer string `help:"The balancer's program; none: it is built." type:"existingfile" placeholder:"FILE"`
}

func (c *capacityCommand) Run() error {
	if c.Only != "" && !slices.Contains(capacity.Roles, c.Only) {
		return misuseError{fmt.Errorf("%q is none of %s", c.Only, strings.Join(capacity.Roles, ", "))}
	}
	if c.Only != "" && c.Out != "" {
		return misuseError{fmt.Errorf("a page of %s alone would lack the rest: --only goes without --out", c.Only)}
	}
	program := c.Balancer
	if program == "" {
		made, remove, err := built(func(root, dir string) (string, error) {
			return rebuilt.Programs(root, dir, "pewterrudder", "./cmd/pewterrudder", nil, "-ldflags=-linkmode=external")
		})
		if err != nil {
			return err
		}
		defer remove()
		program = made
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := capacity.Measure(ctx, capacity.Options{Balancer: program, Only: c.Only, Site: capacity.Coming,
		Say: func(text string) { fmt.Fprintln(os.Stderr, text) }})
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(r)
	}
	if c.Out == "" {
		return r.Page(os.Stdout, capacity.Coming)
	}
	var page bytes.Buffer
	if err := r.Page(&page, capacity.Coming); err != nil {
		return err
	}
	return os.WriteFile(c.Out, page.Bytes(), 0o644)
}
