package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"pewterrudder/internal/lab/rebuilt"
	"pewterrudder/internal/lab/result"
	"pewterrudder/internal/lab/run"
	"pewterrudder/internal/lab/scenario"
)

// moduleFolders hold the sources of the decisions.
var moduleFolders = []string{"brain", "internal/burst"}

// moduleInterface is the source that the code around the module is written against.
const moduleInterface = "brain/api.go"

// earlierCommand plays the same days with the module as it is and as a revision had it. Everything else, the lab, its counts
// and the module's interface included, is of today on both sides.
type earlierCommand struct {
	Revision  string    `arg:"" help:"Of the repository; the module is taken from there."`
	Scenario  []string  `arg:"" optional:"" help:"Names of scenarios; else those of many balancers."`
	Balancers []int     `default:"1,8,80" help:"Numbers of balancers to play each with." placeholder:"N,N"`
	Seeds     seedRange `default:"1..20" help:"The seeds that all meet." placeholder:"A..B"`
	JSON      bool      `name:"json" help:"Write one JSON array."`
}

// fleetDays are the scenarios of many balancers.
var fleetDays = []string{"herd-restart", "zone-returns-to-many", "fleet-replaced"}

// setting is one scenario with one number of balancers.
type setting struct {
	scenario  string
	balancers int
}

func (s setting) set() string { return "balancers.count=" + strconv.Itoa(s.balancers) }

func (c *earlierCommand) Run() error {
	if len(c.Scenario) == 0 {
		c.Scenario = fleetDays
	}
	var settings []setting
	for _, name := range c.Scenario {
		for _, n := range c.Balancers {
			s := setting{name, n}
			if _, err := scenario.Load(name, s.set()); err != nil {
				return misuseError{err}
			}
			settings = append(settings, s)
		}
	}
	root, err := rebuilt.Root(".")
	if err != nil {
		return misuseError{err}
	}
	sources, err := earlierModule(root, c.Revision)
	if err != nil {
		return misuseError{err}
	}
	dir, err := os.MkdirTemp("", "rudderlab-earlier-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := rebuilt.Programs(root, dir, "earlier", "./cmd/rudderlab", sources)
	if err != nil {
		return fmt.Errorf("the module of %s does not fit what is around it now: %w", c.Revision, err)
	}
	var all []result.Comparison
	var held []*run.Done
	broken := 0 // runs of the earlier module
	for _, s := range settings {
		now, err := c.now(s)
		if err != nil {
			return err
		}
		before, bad, err := c.before(program, s)
		if err != nil {
			return err
		}
		table, err := result.Compare(runsOf(now), before)
		if err != nil {
			return err
		}
		for i := range table {
			table[i].Scenario = fmt.Sprintf("%s, %d balancers", s.scenario, s.balancers)
			table[i].Policy, table[i].Against = "now", c.Revision
		}
		if !c.JSON {
			printComparisons(os.Stdout, table)
		}
		all, held, broken = append(all, table...), append(held, now...), broken+bad
	}
	if broken > 0 {
		fmt.Fprintf(os.Stderr, "%d runs of the earlier module break a rule\n", broken)
	}
	if c.JSON {
		err = writeJSON(all)
	}
	return errors.Join(err, breaks(held))
}

// earlierModule gives the sources of the module as a revision had them, by their paths; nil for those it had not.
func earlierModule(root, revision string) (map[string][]byte, error) {
	sources := map[string][]byte{}
	for _, folder := range moduleFolders {
		texts, err := rebuilt.EarlierFolder(root, revision, folder)
		if err != nil {
			return nil, err
		}
		maps.Copy(sources, texts)
	}
	delete(sources, filepath.Join(root, moduleInterface))
	return sources, nil
}

func (c *earlierCommand) now(s setting) ([]*run.Done, error) {
	d := day{Scenario: s.scenario, Set: []string{s.set()}}
	sc, err := d.load()
	if err != nil {
		return nil, err
	}
	var jobs []run.Job
	for _, seed := range c.Seeds.list() {
		jobs = append(jobs, run.Job{Scenario: sc, Policy: "ours", Seed: seed})
	}
	return play(jobs)
}

// before plays the same with the other program, and says how many of its runs break a rule.
func (c *earlierCommand) before(program string, s setting) (runs []result.Run, broken int, err error) {
	cmd := exec.Command(program, "run", s.scenario, "--set="+s.set(), fmt.Sprintf("--seeds=%d..%d", c.Seeds.from, c.Seeds.to), "--json")
	var said bytes.Buffer
	cmd.Stderr = &said
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 1) { // 1: a rule is broken, which its lines tell
		return nil, 0, fmt.Errorf("the earlier module: %w: %s", err, said.String())
	}
	for lines := json.NewDecoder(bytes.NewReader(out)); lines.More(); {
		var p printed
		if err := lines.Decode(&p); err != nil {
			return nil, 0, fmt.Errorf("the earlier module: %w", err)
		}
		if p.Broken > 0 {
			broken++
		}
		runs = append(runs, p.Run)
	}
	return runs, broken, nil
}
