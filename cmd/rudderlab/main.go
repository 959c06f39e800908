// Command rudderlab is the laboratory: it measures the balancer's program and plays its worlds. This file is the table
// of its commands, one group to a file; what they do is owned by the packages under internal/lab. It ends with 0 where
// all is fine, with 1 where a rule or a bound is broken or a measurement failed, and with 2 for wrong use.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"

	"github.com/alecthomas/kong"

	"pewterrudder/internal/lab/scenario"
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Play a scenario."`
	Compare compareCommand `cmd:"" help:"Play a scenario under several policies, over the same seeds."`
	Earlier earlierCommand `cmd:"" help:"Play scenarios with the module as it is and as a revision had it, over the same seeds."`
	Sweep   sweepCommand   `cmd:"" help:"Play a scenario with some of its keys varied."`
	Report  reportCommand  `cmd:"" help:"Make page and tables anew from the records of a folder."`
	List    listCommand    `cmd:"" help:"List the scenarios, policies or kinds of faults."`
	Check   checkCommand   `cmd:"" help:"Check scenario files."`

	Swarm        swarmCommand        `cmd:"" help:"Play days that are drawn at random, and look for broken rules."`
	Replay       replayCommand       `cmd:"" help:"Play the run of a replay file again."`
	Shrink       shrinkCommand       `cmd:"" help:"Make the run of a replay file smaller while it breaks in the same way."`
	Fleet        fleetCommand        `cmd:"" help:"Play days on the rig: real processes, a relay on each line, and faults between them."`
	FleetPlanted fleetPlantedCommand `cmd:"" help:"Build the balancer with defects that need several processes to show, and see that the rig finds each."`
	FleetPeers   fleetPeersCommand   `cmd:"" help:"Play days of balancers that hear of each other, and see how right they were."`
	FleetChoices fleetChoicesCommand `cmd:"" name:"fleet-choices" help:"Play days with subsets and without, and see how the choices of many balancers add up."`
	Warmth       warmthCommand       `cmd:"" help:"Count what app nodes do while they are cold, beside those that are warm."`
	PeersCost    peersCostCommand    `cmd:"" help:"What a process takes that hears so many others."`
	Planted      plantedCommand      `cmd:"" help:"Build the balancer with faults planted, and see that the swarm catches each."`

	Theory          theoryCommand          `cmd:"" help:"Hold the model of app nodes against queueing theory."`
	Paper           paperCommand           `cmd:"" help:"Play the experiments of the paper on bursts, beside its figures."`
	Capacity        capacityCommand        `cmd:"" help:"Measure what each part bears at a size that is to come, and write the table."`
	Days            daysCommand            `cmd:"" help:"Play our own days of trouble on sites of the router fleet."`
	SiteVariant     variantCommand         `cmd:"" name:"site-variant" help:"Print the site file of a deployment that differs from a site, by a file of deploy/sites/fleet."`
	Zones           zonesCommand           `cmd:"" help:"Compare ways to lose a zone, or a pool."`
	Flow            flow                   `cmd:"" help:"Measure answers that flow, on real processes."`
	Demo            demoCommand            `cmd:"" help:"Show a site on this machine: app nodes, discovery, one real balancer and mild load."`
	RouterDemo      routerDemoCommand      `cmd:"" name:"router-demo" help:"Show a small router fleet on this machine: three routers, stand-ins for instances and operator, mild load."`
	Eurekad         eurekadCommand         `cmd:"" help:"Stand in for a Eureka registry, and measure the client of one."`
	RosterHistories rosterHistoriesCommand `cmd:"" help:"Play random histories of a registry against the roster, and hold its list against them."`

	Kvd     kvdCommand     `cmd:"" help:"Stand in for a key-value store, or measure the client of one."`
	Rosters rostersCommand `cmd:"" help:"Compare what is believed of discovery where it is wrong, late or missing."`

	Completion completionCommand `cmd:"" help:"Print what makes a shell complete these commands."`
	Complete   completeCommand   `cmd:"" hidden:"" passthrough:"" help:"Print what may come next on a line."`
}

const (
	broken = 1 // exit status: a rule or a bound is broken, or a measurement failed
	misuse = 2
)

// brokenError says what was broken; its text has been shown already where it is empty.
type brokenError string

func (b brokenError) Error() string { return string(b) }

// misuseError is wrong use that the parser cannot see.
type misuseError struct{ error }

// status of an error.
func status(err error) int {
	var flaw *scenario.Flaw
	var use misuseError
	var parse *kong.ParseError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flaw), errors.As(err, &use), errors.As(err, &parse), errors.Is(err, fs.ErrNotExist):
		return misuse
	}
	return broken
}

func newParser(c *commands) *kong.Kong {
	k, err := kong.New(c, kong.Name("rudderlab"), kong.Description("The laboratory of pewterrudder."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}))
	if err != nil {
		panic(err) // a tag above is wrong
	}
	return k
}

func main() {
	var c commands
	k := newParser(&c)
	ctx, err := k.Parse(os.Args[1:])
	if err == nil {
		err = ctx.Run()
	}
	if err != nil && err.Error() != "" {
		fmt.Fprintln(os.Stderr, "rudderlab:", err)
		var parse *kong.ParseError
		if errors.As(err, &parse) {
			fmt.Fprintln(os.Stderr, `Try "rudderlab --help", or a command with --help.`)
		}
	}
	os.Exit(status(err))
}

// shown is a result that people read as a table.
type shown interface{ Table(io.Writer) }

// show writes a result, as a table or as one JSON object.
func show(result shown, asJSON bool) error {
	if !asJSON {
		result.Table(os.Stdout)
		return nil
	}
	return writeJSON(result)
}

func writeJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
