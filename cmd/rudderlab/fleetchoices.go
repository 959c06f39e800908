package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"pewterrudder/internal/lab/fleet"
	"pewterrudder/internal/lab/result"
	"pewterrudder/internal/lab/scenario"
)

type fleetChoicesCommand struct {
	Cases  []string  `arg:"" optional:"" help:"Names of cases; none: all."`
	Seeds  seedRange `default:"1..3" help:"Seeds, a pair of runs each." placeholder:"A..B"`
	Beside int       `default:"1" help:"Runs at a time; what that makes late is void." placeholder:"N"`
	JSON   bool      `name:"json" help:"Write one JSON object for each run."`
	Set    []string  `help:"Set a key of the days otherwise; may be repeated." placeholder:"KEY=VALUE" sep:"none"`
}

// Run plays each day twice with each seed: with subsets, and with each balancer's own sample.
func (c *fleetChoicesCommand) Run() error {
	var days []*scenario.Scenario
	for i := range fleet.ChoiceCases {
		k := &fleet.ChoiceCases[i]
		if len(c.Cases) > 0 && !slices.Contains(c.Cases, k.Name) {
			continue
		}
		for _, own := range []string{"", "balancers.subset=0"} {
			set := slices.Clone(c.Set)
			if own != "" {
				set = append(set, own)
			}
			sc, err := k.ChoiceDay(set...)
			if err != nil {
				return err
			}
			days = append(days, sc)
		}
	}
	if len(days) == 0 {
		return misuseError{fmt.Errorf("no case of choices is called %s", strings.Join(c.Cases, " or "))}
	}
	all, err := playPeers(days, c.Seeds, c.Beside)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "case\tchosen by\tpairs of runs\tpairs\tspread\tconnections\tspread\tsent: spread\tJain: sent\tserved\tgoodput\twhile hit\tcold\tbroken\tgoodput, in pairs\t")
	broken := 0
	for i := 0; i < len(all); i += 2 {
		rows := [2]fleet.ChoiceRow{}
		var differ []float64
		for n := range all[i] {
			x, y := all[i][n], all[i+1][n]
			for k, d := range []*fleet.Done{x, y} {
				if c.JSON {
					if err := writeJSON(d); err != nil {
						return err
					}
				}
				if d.Void != "" || d.Broken > 0 {
					fmt.Fprintln(os.Stderr, d.Scenario, d.Seed, [2]string{"subsets", "samples"}[k], d.Void, strings.Join(d.Breaks, "; "))
				}
				if d.Void == "" && d.Broken > 0 {
					broken++
				}
			}
			if x.Void == "" && y.Void == "" {
				rows[0].Add(x)
				rows[1].Add(y)
				differ = append(differ, x.Goodput-y.Goodput)
			}
		}
		for k, name := range []string{"subset", "own sample"} {
			r := rows[k].Mean()
			pairs := ""
			if mean, half := result.Interval(differ, result.Confidence); k == 0 {
				pairs = fmt.Sprintf("%+.4f ± %.4f", mean, half)
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%.0f\t%.2f\t%.0f\t%.2f\t%.2f\t%.3f\t%.3f\t%.4f\t%.4f\t%.2f\t%d\t%s\t\n", days[i].Name, name, r.Runs, r.Pairs, r.PairSpread,
				r.Conns, r.ConnSpread, r.SentSpread, r.JainNodes, r.JainServed, r.Goodput, r.Hit, r.Cold, r.Broken, pairs)
		}
	}
	if !c.JSON {
		t.Flush()
	}
	if broken > 0 {
		return brokenError(fmt.Sprintf("%d runs break a rule", broken))
	}
	return nil
}
