package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"

	"pewterrudder/internal/lab/fleet"
	"pewterrudder/internal/lab/fleet/shaky"
	"pewterrudder/internal/lab/scenario"
)

type fleetCommand struct {
	Cases    []string  `arg:"" optional:"" help:"Names of cases, of scenarios that come with the lab, or files; 'all' is every case, none lists them."`
	Set      []string  `help:"Set a key of the day otherwise; may be repeated." placeholder:"KEY=VALUE" sep:"none"`
	Seeds    seedRange `default:"1" help:"Seeds, a run each." placeholder:"A..B"`
	Beside   int       `default:"1" help:"Runs at a time; what that makes late is void." placeholder:"N"`
	JSON     bool      `name:"json" help:"Write one JSON object for each run, its history with it."`
	Out      string    `help:"Write a page and the history of each run into this folder." placeholder:"DIR" type:"path"`
	Shrink   string    `help:"Make the one day smaller while it breaks a rule in the same way, and write it into this file." placeholder:"FILE" type:"path"`
	Balancer string    `help:"The balancer's program; else pewterrudder beside this one." placeholder:"PATH"`
}

// shrinkTries is how often a smaller day is played before it counts as one that does not break.
const shrinkTries = 3

// shrink plays the one day until it breaks, and then smaller ones.
func (c *fleetCommand) shrink(ctx context.Context, sc *scenario.Scenario, opt fleet.Options) error {
	opt.Seed = c.Seeds.from
	play := func(day *scenario.Scenario) (*fleet.Done, error) { return fleet.Play(ctx, day, opt) }
	for range shrinkTries {
		d, err := play(sc)
		if err != nil {
			return err
		}
		if d.Void != "" || d.Way == "" {
			continue
		}
		small, runs, err := fleet.Shrink(d.Drawn, d.Way, shrinkTries, play)
		if err != nil {
			return err
		}
		fmt.Printf("%s\nfrom %d faults, %d balancers, %v to %d faults, %d balancers, %v in %d runs\n", d.Way, len(d.Drawn.Faults),
			d.Drawn.Balancers.Count, d.Drawn.Length.D(), len(small.Faults), small.Balancers.Count, small.Length.D(), runs)
		return fleet.Write(small, c.Shrink)
	}
	return fmt.Errorf("%s breaks no rule in %d runs with seed %d", sc.Name, shrinkTries, opt.Seed)
}

func (c *fleetCommand) Run() error {
	if len(c.Cases) == 0 {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		for _, k := range fleet.Cases {
			fmt.Fprintf(t, "%s\t%s\n", k.Name, k.About)
		}
		return t.Flush()
	}
	days, err := c.days()
	if err != nil {
		return misuseError{err}
	}
	path, err := besides(c.Balancer)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	b := newBar()
	defer b.clear()
	opt := fleet.Options{Balancer: path}
	if slices.ContainsFunc(days, (*scenario.Scenario).InHand) {
		program, remove, err := built(func(root, dir string) (string, error) { return shaky.Build(root, dir, "pewterrudder", nil) })
		if err != nil {
			return fmt.Errorf("faults of disks and clocks need a test build: %w", err)
		}
		defer remove()
		opt.InHand = program
	}
	if c.Shrink != "" {
		b.clear()
		if len(days) > 1 {
			return misuseError{fmt.Errorf("--shrink: one day at a time")}
		}
		return c.shrink(ctx, days[0], opt)
	}
	all, err := fleet.Series(ctx, days, c.Seeds.list(), c.Beside, opt, b.show)
	b.clear()
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o777); err != nil {
			return err
		}
	}
	broken := 0
	for _, runs := range all {
		for _, d := range runs {
			if d.Void == "" && d.Broken > 0 {
				broken++
			}
			if c.JSON {
				if err := writeJSON(d); err != nil {
					return err
				}
			}
			if c.Out != "" {
				if err := d.Save(filepath.Join(c.Out, fmt.Sprintf("%s.%d", d.Scenario, d.Seed))); err != nil {
					return err
				}
			}
		}
	}
	if !c.JSON {
		c.print(all)
	}
	if broken > 0 {
		return brokenError(fmt.Sprintf("%d runs break a rule", broken))
	}
	return nil
}

// days are what is to be played.
func (c *fleetCommand) days() (days []*scenario.Scenario, err error) {
	names := c.Cases
	if len(names) == 1 && names[0] == "all" {
		names = nil
		for _, k := range fleet.Cases {
			names = append(names, k.Name)
		}
	}
	for _, name := range names {
		var sc *scenario.Scenario
		if k := fleet.CaseOf(name); k != nil {
			sc, err = k.Day(c.Set...)
		} else {
			sc, err = scenario.Load(name, c.Set...)
		}
		if err != nil {
			return nil, fmt.Errorf("%w; 'rudderlab fleet' lists the cases", err)
		}
		days = append(days, sc)
	}
	return days, nil
}

func (c *fleetCommand) print(all [][]*fleet.Done) {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "case\truns\tvoid\tgoodput\tbefore\twhile hit\tworst s\tfirst s\treturn s\tlatest\tcalls/s\tat once\tconns\tcold\tbroken\t")
	var notes []string
	for _, runs := range all {
		r := fleet.RowOf(runs[0].Scenario, runs)
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f\t%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%d\t\n", r.Name, r.Runs, r.Void, r.Goodput, r.Calm, r.Hit,
			r.Worst, seconds(r.First), seconds(r.Return), seconds(r.Latest), r.Calls, r.InStep, r.Conns, r.Cold, r.Broken)
		for _, d := range runs {
			if d.Void != "" {
				notes = append(notes, fmt.Sprintf("%s, seed %d is void: %s", d.Scenario, d.Seed, d.Void))
			}
			for _, text := range d.Breaks {
				notes = append(notes, fmt.Sprintf("%s, seed %d: %s", d.Scenario, d.Seed, text))
			}
		}
	}
	t.Flush()
	if len(notes) > 0 {
		fmt.Fprintln(os.Stderr, strings.Join(notes, "\n"))
	}
}

// seconds writes a time that may be never.
func seconds(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f", s)
}
