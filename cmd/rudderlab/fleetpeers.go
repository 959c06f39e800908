package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"

	"pewterrudder/internal/lab/fleet"
	"pewterrudder/internal/lab/scenario"
)

type fleetPeersCommand struct {
	Cases  []string  `arg:"" optional:"" help:"Names of cases; none: all."`
	Seeds  seedRange `default:"1..3" help:"Seeds, a run each." placeholder:"A..B"`
	Beside int       `default:"1" help:"Runs at a time; what that makes late is void." placeholder:"N"`
	JSON   bool      `name:"json" help:"Write one JSON object for each case."`
	Set    []string  `help:"Set a key of the days otherwise; may be repeated." placeholder:"KEY=VALUE" sep:"none"`
	Fixed  bool      `help:"The same days where nobody hears of anybody, and the settings' number holds."`
	Second bool      `name:"by-second" help:"Write the crowd's distance from the truth, second by second."`
	Words  bool      `help:"Write all that balancers said of each other."`
}

// playPeers plays days with the program that has peers, also those on which nobody hears of anybody.
func playPeers(days []*scenario.Scenario, seeds seedRange, beside int) ([][]*fleet.Done, error) {
	program, remove, err := built(fleet.BuildPeers)
	if err != nil {
		return nil, err
	}
	defer remove()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	b := newBar()
	defer b.clear()
	return fleet.Series(ctx, days, seeds.list(), beside, fleet.Options{Peers: program, Balancer: program}, b.show)
}

func (c *fleetPeersCommand) Run() error {
	var days []*scenario.Scenario
	for i := range fleet.PeerCases {
		k := &fleet.PeerCases[i]
		if len(c.Cases) > 0 && !slices.Contains(c.Cases, k.Name) {
			continue
		}
		sc, err := k.PeerDay(append([]string{fmt.Sprintf("balancers.peers=%v", !c.Fixed)}, c.Set...)...)
		if err != nil {
			return err
		}
		days = append(days, sc)
	}
	if len(days) == 0 {
		return misuseError{fmt.Errorf("no case of peers is called %s", strings.Join(c.Cases, " or "))}
	}
	all, err := playPeers(days, c.Seeds, c.Beside)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "case\truns\tvoid\tdeaths\thalf s\t99 %\tmost\tstalls\thalf s\t99 %\tmissed\twrong\tacted\thours\tagree s\tcrowd off\ttold off\tgoodput\twhile hit\tcold\tbroken\t")
	broken := 0
	for i, runs := range all {
		r := fleet.TrustOf(days[i].Name, runs)
		if c.JSON {
			r.Deaths, r.Stalls = fleet.Finite(r.Deaths), fleet.Finite(r.Stalls)
			if err := writeJSON(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%d\t%d\t%d\t%.2f\t%s\t%.2f\t%.2f\t%.4f\t%.4f\t%.2f\t%d\t\n", r.Name, r.Runs, r.Void, len(r.Deaths),
			fleet.Share(r.Deaths, 0.5), fleet.Share(r.Deaths, 0.99), fleet.Share(r.Deaths, 1), len(r.Stalls), fleet.Share(r.Stalls, 0.5),
			fleet.Share(r.Stalls, 0.99), r.Missed, r.Wrong, r.Acted, r.Hours, seconds(r.Agree), r.CrowdOff, r.ToldOff, r.Goodput, r.Hit, r.Cold, r.Broken)
		if c.Second {
			fmt.Fprintf(os.Stderr, "%s: crowd off by second: %.1f\n", r.Name, r.BySecond)
		}
		for _, d := range runs {
			if d.Void == "" && d.Broken > 0 {
				broken++
			}
			if d.Void != "" || d.Broken > 0 {
				fmt.Fprintln(os.Stderr, d.Scenario, d.Seed, d.Void, strings.Join(d.Breaks, "; "))
			}
			if c.Words {
				for _, w := range d.Beliefs {
					fmt.Fprintf(os.Stderr, "%s %d: %+v\n", d.Scenario, d.Seed, w)
				}
				fmt.Fprintln(os.Stderr, strings.Join(d.Words, "\n"))
			}
		}
	}
	t.Flush()
	if broken > 0 {
		return brokenError(fmt.Sprintf("%d runs break a rule", broken))
	}
	return nil
}
