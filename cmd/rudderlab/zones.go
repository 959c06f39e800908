package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"pewterrudder/internal/lab/zonelab"
)

type zonesCommand struct {
	JSON     bool     `name:"json" help:"Write one JSON array."`
	Seeds    int      `default:"20" help:"Seeds of each scenario."`
	On       string   `enum:"virtual,sockets" default:"virtual" help:"Virtual time, or one seed against real processes."`
	Balancer string   `placeholder:"PATH" help:"The balancer's program, for sockets; else the one beside this program."`
	Scenario []string `placeholder:"NAME" help:"These alone; else all that lose a zone or a pool."`
}

func (c *zonesCommand) Run() error {
	type part struct{ scenarios, policies []string }
	parts := []part{{zonelab.Scenarios, zonelab.Policies}, {zonelab.PoolScenarios, zonelab.PoolPolicies}}
	known, total := slices.Concat(zonelab.Scenarios, zonelab.PoolScenarios), 0
	for _, name := range c.Scenario {
		if !slices.Contains(known, name) {
			return misuseError{fmt.Errorf("%q is none of %v", name, known)}
		}
	}
	if c.Seeds < 1 {
		return misuseError{fmt.Errorf("--seeds: %d is no number of seeds", c.Seeds)}
	}
	for i := range parts {
		if len(c.Scenario) > 0 {
			parts[i].scenarios = slices.DeleteFunc(slices.Clone(parts[i].scenarios), func(name string) bool { return !slices.Contains(c.Scenario, name) })
		}
		total += len(parts[i].scenarios) * len(parts[i].policies)
	}
	if c.On == "sockets" {
		return c.sockets(parts[0].scenarios, parts[1].scenarios)
	}
	b := newBar()
	var rows []*zonelab.Row
	done := 0
	for _, p := range parts {
		if len(p.scenarios) == 0 {
			continue
		}
		more, err := zonelab.Table(p.scenarios, p.policies, c.Seeds, func(*zonelab.Row) {
			done++
			b.show(float64(done) / float64(total))
		})
		if err != nil {
			b.clear()
			return err
		}
		rows = append(rows, more...)
	}
	b.clear()
	if c.JSON {
		return writeJSON(rows)
	}
	return zonelab.Write(os.Stdout, rows)
}

// sockets plays each scenario once without zones or pools and once with them, one after the other: each needs the cores.
func (c *zonesCommand) sockets(zones, pools []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	path, err := besides(c.Balancer)
	if err != nil {
		return err
	}
	var rows []*zonelab.Row
	for _, name := range slices.Concat(zones, pools) {
		policies := []string{"no zones", "zones"}
		if slices.Contains(pools, name) {
			policies = zonelab.PoolPolicies
		}
		for _, policy := range policies {
			row, void, err := zonelab.OnSockets(ctx, name, policy, path, 1)
			if err != nil {
				return err
			}
			if void != "" {
				fmt.Fprintf(os.Stderr, "%s, %s: void: %s\n", name, policy, void)
				continue
			}
			rows = append(rows, row)
		}
	}
	if c.JSON {
		return writeJSON(rows)
	}
	return zonelab.Write(os.Stdout, rows)
}
