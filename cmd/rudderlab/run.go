package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/report"
	"pewterrudder/internal/lab/result"
	"pewterrudder/internal/lab/run"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/world"
)

// seedRange is "A..B" or one seed.
type seedRange struct{ from, to uint64 }

// seedsMost bounds a range, so that a slip of the finger does not take all memory.
const seedsMost = 1_000_000

func (s *seedRange) UnmarshalText(text []byte) error {
	a, b, ok := strings.Cut(string(text), "..")
	if !ok {
		b = a
	}
	var err, err2 error
	s.from, err = strconv.ParseUint(a, 10, 64)
	s.to, err2 = strconv.ParseUint(b, 10, 64)
	if err != nil || err2 != nil || s.to < s.from || s.to-s.from >= seedsMost {
		return fmt.Errorf("%q is no range of seeds such as 1..20", text)
	}
	return nil
}

func (s seedRange) list() (all []uint64) {
	for seed := s.from; ; seed++ {
		all = append(all, seed)
		if seed == s.to {
			return all
		}
	}
}

// day is a scenario with some of its keys set otherwise.
type day struct {
	Scenario string   `arg:"" help:"The name of a scenario that comes with the lab, or a file."`
	Set      []string `help:"Set a key otherwise, as in traffic.load=0.8; may be repeated." placeholder:"KEY=VALUE" sep:"none"`
}

func (d *day) load() (*scenario.Scenario, error) {
	sc, err := scenario.Load(d.Scenario, d.Set...)
	if err != nil {
		return nil, misuseError{err}
	}
	return sc, nil
}

// checkPolicy finds a wrong name before anything runs.
func checkPolicy(names ...string) error {
	for _, name := range names {
		cfg := brain.Settings{Nodes: 1, MaxAttempts: 1, Classes: []brain.Class{{Name: "any", Aim: 1, Deadline: 1}}}
		if _, err := policy.New(name, cfg, 0); err != nil {
			return misuseError{err}
		}
	}
	return nil
}

type runCommand struct {
	day
	Seed   *uint64    `help:"The seed of all chance; 1 where none is given." xor:"seeds" placeholder:"N"`
	Seeds  *seedRange `help:"Several seeds, a run each." xor:"seeds" placeholder:"A..B"`
	Policy string     `default:"ours" help:"Who decides; 'list policies' names them." placeholder:"P"`
	On     string     `default:"virtual" enum:"virtual,sockets" help:"In virtual time, or real processes on loopback: ${enum}."`
	JSON   bool       `name:"json" help:"Write one JSON object for each run."`
	Out    string     `help:"Write records, tables and a page into this folder." placeholder:"DIR" type:"path"`
	Log    string     `help:"Write every event of the one run into a file." placeholder:"FILE" type:"path"`

	Balancer string `help:"The balancer's program, on sockets; else pewterrudder beside this one." placeholder:"PATH"`
}

func (c *runCommand) Run() error {
	sc, err := c.load()
	if err != nil {
		return err
	}
	if err := checkPolicy(c.Policy); err != nil {
		return err
	}
	seeds := []uint64{1}
	switch {
	case c.Seeds != nil:
		seeds = c.Seeds.list()
	case c.Seed != nil:
		seeds[0] = *c.Seed
	}
	var jobs []run.Job
	for _, s := range seeds {
		jobs = append(jobs, run.Job{Scenario: sc, Policy: c.Policy, Seed: s})
	}
	if c.Log != "" {
		if len(jobs) > 1 {
			return misuseError{errors.New("--log: one run at a time")}
		}
		file, err := os.Create(c.Log)
		if err != nil {
			return misuseError{err}
		}
		defer file.Close()
		jobs[0].Log = file
	}
	var done []*run.Done
	if c.On == "sockets" {
		done, err = c.onSockets(jobs)
	} else {
		done, err = play(jobs)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(os.Stdout, done)
	} else {
		printRuns(os.Stdout, done)
	}
	if err == nil && c.Out != "" {
		err = save(c.Out, done)
	}
	return errors.Join(err, breaks(done))
}

// onSockets makes runs in real time, one after the other.
func (c *runCommand) onSockets(jobs []run.Job) (done []*run.Done, err error) {
	if c.Policy != policy.Ours {
		return nil, misuseError{fmt.Errorf("--policy %s: on sockets the balancer's program decides, which is %s", c.Policy, policy.Ours)}
	}
	path, err := besides(c.Balancer)
	if err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	b := newBar()
	defer b.clear()
	for i, job := range jobs {
		d, err := run.OnSockets(ctx, job, path, func(share float64) { b.show((float64(i) + share) / float64(len(jobs))) })
		if err != nil {
			return nil, err
		}
		if d.Void {
			fmt.Fprintf(os.Stderr, "%s, seed %d is void: %s\n", d.Scenario, d.Seed, d.Why)
		}
		done = append(done, d)
	}
	return done, nil
}

// play makes runs under a bar.
func play(jobs []run.Job) ([]*run.Done, error) {
	b := newBar()
	defer b.clear()
	return run.All(jobs, b.show)
}

// printed is a run as --json writes it.
type printed struct {
	result.Run
	Broken uint64   `json:"broken"` // rules, of whatever kind
	Breaks []string `json:"breaks,omitempty"`
}

func printJSON(w io.Writer, done []*run.Done) error {
	out := json.NewEncoder(w)
	for _, d := range done {
		p := printed{Run: d.Run, Broken: d.Broken}
		for _, b := range d.Breaks {
			p.Breaks = append(p.Breaks, b.String())
		}
		if err := out.Encode(&p); err != nil {
			return err
		}
	}
	return nil
}

func printRuns(w io.Writer, done []*run.Done) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tseed\tpolicy\toffered\tserved\trefused\tfailed\tlost\tdup.\tdrain\tcold\tleaked\tgoodput\t"+
		"p50 ms\tp90\tp99\tp999\tpressure\ttimes real\t")
	for _, d := range done {
		l := &d.Latency
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t\n", d.Scenario, d.Seed,
			d.Policy, d.Offered, d.Served, d.Refused, d.Failed, d.Lost, d.Duplicated, d.DrainBreaks, d.ColdBreaks, d.Leaked, d.Goodput,
			l.P50, l.P90, l.P99, l.P999, d.PeakPressure, d.Speedup)
	}
	t.Flush()
}

// eventsShown of those before a break; a replay file has more.
const eventsShown = 20

// breaks shows what was broken, on standard error.
func breaks(done []*run.Done) error {
	runs, void := 0, 0
	for _, d := range done {
		if d.Void { // it proves nothing, either way
			void++
			continue
		}
		if d.Broken == 0 {
			continue
		}
		runs++
		fmt.Fprintf(os.Stderr, "\n%s, seed %d, policy %s: %d times a rule is broken\n", d.Scenario, d.Seed, d.Policy, d.Broken)
		for _, b := range d.Breaks {
			fmt.Fprintln(os.Stderr, " ", b)
		}
		fmt.Fprintln(os.Stderr, "  the last events before the first:")
		printEvents(os.Stderr, d.Breaks[0].Last)
	}
	switch {
	case runs > 0:
		return brokenError(fmt.Sprintf("%d of %d runs break a rule", runs, len(done)))
	case void > 0:
		return brokenError(fmt.Sprintf("%d of %d runs are void", void, len(done)))
	}
	return nil
}

func printEvents(w io.Writer, last []world.Event) {
	for _, e := range last[max(0, len(last)-eventsShown):] {
		fmt.Fprintln(w, "  ", e)
	}
}

// Names of what is written beside the records.
const (
	pageFile    = "report.html"
	runsFile    = "runs.csv"
	jsonFile    = "runs.jsonl"
	windowsFile = ".windows.csv"
)

// save writes runs and all that is made of them into a folder.
func save(dir string, done []*run.Done) error {
	records := make([]result.Record, len(done))
	for i, d := range done {
		records[i] = d.Record
		path, err := report.Save(dir, &d.Record)
		if err != nil {
			return err
		}
		if err := write(strings.TrimSuffix(path, ".run.json")+windowsFile, func(w io.Writer) error {
			return report.WindowsCSV(w, &d.Record)
		}); err != nil {
			return err
		}
	}
	return writeReport(dir, records)
}

// writeReport makes page and tables from records.
func writeReport(dir string, records []result.Record) error {
	runs := make([]result.Run, len(records))
	for i := range records {
		runs[i] = records[i].Run
	}
	page := filepath.Join(dir, pageFile)
	err := errors.Join(
		write(filepath.Join(dir, runsFile), func(w io.Writer) error { return report.CSV(w, runs) }),
		write(filepath.Join(dir, jsonFile), func(w io.Writer) error { return report.JSON(w, runs) }),
		write(page, func(w io.Writer) error { return report.HTML(w, "What the lab saw", records) }))
	if err == nil {
		fmt.Fprintln(os.Stderr, "wrote", page)
	}
	return err
}

func write(path string, fill func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(fill(file), file.Close())
}

type compareCommand struct {
	day
	Policy []string  `required:"" help:"Policies; the first is set against each of the others." placeholder:"P"`
	Seeds  seedRange `required:"" help:"The seeds that all meet." placeholder:"A..B"`
	JSON   bool      `name:"json" help:"Write one JSON array."`
	Out    string    `help:"Write records, tables and a page into this folder." placeholder:"DIR" type:"path"`
}

func (c *compareCommand) Run() error {
	if len(c.Policy) < 2 {
		return misuseError{errors.New("--policy: at least two are wanted")}
	}
	sc, err := c.load()
	if err != nil {
		return err
	}
	if err := checkPolicy(c.Policy...); err != nil {
		return err
	}
	seeds := c.Seeds.list()
	var jobs []run.Job
	for _, p := range c.Policy {
		for _, s := range seeds {
			jobs = append(jobs, run.Job{Scenario: sc, Policy: p, Seed: s})
		}
	}
	done, err := play(jobs)
	if err != nil {
		return err
	}
	var all []result.Comparison
	for i := 1; i < len(c.Policy); i++ {
		table, err := result.Compare(runsOf(done[:len(seeds)]), runsOf(done[i*len(seeds):(i+1)*len(seeds)]))
		if err != nil {
			return err
		}
		all = append(all, table...)
	}
	if c.JSON {
		err = writeJSON(all)
	} else {
		printComparisons(os.Stdout, all)
	}
	if err == nil && c.Out != "" {
		err = save(c.Out, done)
	}
	// A policy out of a textbook keeps no cold app node from being pushed over: only ours is held to the rules.
	var held []*run.Done
	for _, d := range done {
		if d.Policy == policy.Ours {
			held = append(held, d)
		}
	}
	return errors.Join(err, breaks(held))
}

func runsOf(done []*run.Done) (all []result.Run) {
	for _, d := range done {
		all = append(all, d.Run)
	}
	return all
}

func printComparisons(w io.Writer, all []result.Comparison) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	against := ""
	for _, c := range all {
		if c.Against != against {
			against = c.Against
			fmt.Fprintf(t, "%s: %s against %s over %d seeds\n", c.Scenario, c.Policy, c.Against, c.Pairs)
		}
		fmt.Fprintf(t, "  %s\t%.4g\t%.4g\t%s\n", c.Measure, c.Mean, c.Other, c.Verdict)
	}
	t.Flush()
}

type sweepCommand struct {
	Scenario string    `arg:"" help:"The name of a scenario that comes with the lab, or a file."`
	Set      []string  `required:"" help:"A key and its values; with several keys, each of one with each of the other." placeholder:"KEY=V1,V2" sep:"none"`
	Seeds    seedRange `required:"" help:"The seeds that each value meets." placeholder:"A..B"`
	Out      string    `required:"" help:"The folder for records, tables and page." placeholder:"DIR" type:"path"`
	Policy   []string  `default:"ours" help:"Who decides." placeholder:"P"`
}

func (c *sweepCommand) Run() error {
	if err := checkPolicy(c.Policy...); err != nil {
		return err
	}
	points := [][]string{nil}
	for _, s := range c.Set {
		key, values, ok := strings.Cut(s, "=")
		if !ok || values == "" {
			return misuseError{fmt.Errorf("--set %s: KEY=V1,V2 is wanted", s)}
		}
		var next [][]string
		for _, p := range points {
			for _, v := range splitValues(values) {
				next = append(next, append(p[:len(p):len(p)], key+"="+v))
			}
		}
		points = next
	}
	seeds := c.Seeds.list()
	var jobs []run.Job
	for _, p := range points {
		d := day{c.Scenario, p}
		sc, err := d.load()
		if err != nil {
			return err
		}
		sc.Name += " " + strings.Join(p, " ")
		for _, name := range c.Policy {
			for _, s := range seeds {
				jobs = append(jobs, run.Job{Scenario: sc, Policy: name, Seed: s})
			}
		}
	}
	done, err := play(jobs)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for i := 0; i < len(done); i += len(seeds) {
		means := result.Means(runsOf(done[i : i+len(seeds)]))
		if i == 0 {
			fmt.Fprint(t, "scenario\tpolicy")
			for _, m := range means {
				fmt.Fprint(t, "\t", m.Measure)
			}
			fmt.Fprintln(t)
		}
		fmt.Fprintf(t, "%s\t%s", done[i].Scenario, done[i].Policy)
		for _, m := range means {
			fmt.Fprint(t, "\t", m)
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	return errors.Join(save(c.Out, done), breaks(done))
}

// splitValues splits at the commas outside brackets, since a range is written in them.
func splitValues(text string) (all []string) {
	depth, from := 0, 0
	for i, c := range text {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 {
				all = append(all, text[from:i])
				from = i + 1
			}
		}
	}
	return append(all, text[from:])
}

type reportCommand struct {
	Dir string `arg:"" help:"A folder that 'run --out', 'compare --out' or 'sweep' has written." type:"path"`
}

func (c *reportCommand) Run() error {
	records, err := report.Load(c.Dir)
	if err != nil {
		return misuseError{err}
	}
	return writeReport(c.Dir, records)
}
