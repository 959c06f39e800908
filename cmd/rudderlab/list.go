package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/scenario"
)

type listCommand struct {
	What string `arg:"" optional:"" default:"scenarios" enum:"scenarios,policies,faults" help:"One of ${enum}."`
}

func (c *listCommand) Run() error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	switch c.What {
	case "scenarios":
		for _, name := range scenario.List() {
			sc, err := scenario.Load(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(t, "%s\t%s\n", name, sc.About)
		}
	case "policies":
		for _, name := range policy.Names() {
			fmt.Fprintln(t, name)
		}
	default:
		for _, k := range scenario.Kinds {
			size := ""
			if k.Size != "" {
				size = "size: " + k.Size
			}
			fmt.Fprintf(t, "%s\t%s\t%s\n", k.Name, k.About, size)
		}
	}
	return t.Flush()
}

type checkCommand struct {
	Files []string `arg:"" help:"Scenario files, or names of those that come with the lab."`
}

func (c *checkCommand) Run() error {
	flawed := 0
	for _, f := range c.Files {
		sc, err := scenario.Load(f)
		if err != nil {
			flawed++
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fmt.Printf("%s: %s, %v, nothing wrong\n", f, sc.Name, sc.Length.D())
	}
	if flawed > 0 {
		return misuseError{fmt.Errorf("%d of %d are flawed", flawed, len(c.Files))}
	}
	return nil
}
