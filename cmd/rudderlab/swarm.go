package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pewterrudder/internal/lab/swarm"
)

type swarmCommand struct {
	Runs   int           `required:"" help:"Days to play." placeholder:"N"`
	Seed   uint64        `default:"1" help:"Number of the first day; each of the others is one more." placeholder:"N"`
	Length time.Duration `default:"20s" help:"Of each day."`
	Stop   bool          `help:"Stop at the first day that breaks a rule."`
	JSON   bool          `name:"json" help:"Write one JSON object."`
	Out    string        `default:"swarm-breaks" help:"Write replay files into this folder." placeholder:"DIR" type:"path"`
	Files  int           `default:"20" help:"Replay files at the most, one for each way first." placeholder:"N"`
}

// swarmResult is what is printed.
type swarmResult struct{ *swarm.Hunt }

func (r swarmResult) Table(w io.Writer) {
	fmt.Fprintf(w, "%d days of %g s from %d: %d requests, %d attempts, %d events, %d faults, digest %s\n", r.Runs, r.Length, r.From,
		r.Requests, r.Attempts, r.Events, r.Faults, r.Digest)
	fmt.Fprintf(w, "served %.3f, mean goodput %.3f; %.1f s, %.0f requests/s\n", float64(r.Served)/float64(max(1, r.Requests)), r.Goodput,
		r.Took, float64(r.Requests)/r.Took)
	for _, way := range r.Ways {
		fmt.Fprintf(w, "%6d  %s (first %d)\n", way.Runs, way.Way, way.First)
	}
}

func (c *swarmCommand) Run() error {
	if c.Runs < 1 || c.Length < 100*time.Millisecond {
		return misuseError{fmt.Errorf("%d runs of %v: at least one is wanted, of at least 100ms", c.Runs, c.Length)}
	}
	b := newBar()
	h, err := swarm.Go(swarm.Options{From: c.Seed, Runs: c.Runs, Length: c.Length, Stop: c.Stop, Progress: b.show})
	b.clear()
	if err != nil {
		return err
	}
	if err := c.save(h); err != nil {
		return err
	}
	if err := show(swarmResult{h}, c.JSON); err != nil {
		return err
	}
	if h.Broken > 0 {
		return brokenError(fmt.Sprintf("%d of %d days break a rule", h.Broken, h.Runs))
	}
	return nil
}

// save writes the replay files and shows the break of each.
func (c *swarmCommand) save(h *swarm.Hunt) error {
	left := c.Files
	keep := func(f *swarm.Finding) error {
		left--
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
		path := filepath.Join(c.Out, fmt.Sprint(f.Seed)+swarm.Suffix)
		for i := range h.Ways {
			if w := &h.Ways[i]; w.First == f.Seed {
				w.File = path
			}
		}
		printFinding(os.Stderr, f)
		fmt.Fprintln(os.Stderr, "  wrote", path)
		return f.Write(path)
	}
	kept := map[uint64]bool{}
	for _, first := range []bool{true, false} {
		for _, f := range h.Found {
			is := false
			for _, w := range h.Ways {
				is = is || w.First == f.Seed
			}
			if left <= 0 || kept[f.Seed] || is != first {
				continue
			}
			kept[f.Seed] = true
			if err := keep(f); err != nil {
				return err
			}
		}
	}
	return nil
}

func printFinding(w io.Writer, f *swarm.Finding) {
	fmt.Fprintf(w, "\nseed %d: %s broken at %.6f s: %s\n  %s\n  the last events:\n", f.Seed, f.Rule, f.At, f.Text, f.Size())
	printEvents(w, f.Events)
}

type replayCommand struct {
	File string `arg:"" help:"A replay file." type:"path"`
	Log  string `help:"Write every event into a file." placeholder:"FILE" type:"path"`
}

func (c *replayCommand) Run() error {
	f, err := swarm.Read(c.File)
	if err != nil {
		return err
	}
	if c.Log != "" {
		log, err := os.Create(c.Log)
		if err != nil {
			return misuseError{err}
		}
		defer log.Close()
		if _, err := f.Play(log); err != nil {
			return err
		}
	}
	again, err := f.Again()
	switch {
	case err != nil:
		return err
	case again == nil:
		fmt.Println("no rule is broken any more; it was:", f.Way)
		return nil
	}
	printFinding(os.Stdout, again)
	switch {
	case again.Digest == f.Digest && again.Way == f.Way && again.Text == f.Text:
		fmt.Printf("the same break and the same digest, %s\n", f.Digest)
	case again.Way == f.Way:
		fmt.Printf("the same way to break, in another run: digest %s, was %s\n", again.Digest, f.Digest)
	default:
		fmt.Printf("another break: %s, was: %s\n", again.Way, f.Way)
	}
	return brokenError(again.Way)
}

type shrinkCommand struct {
	File string `arg:"" help:"A replay file." type:"path"`
	Runs int    `default:"4000" help:"Runs to try at the most." placeholder:"N"`
	Out  string `help:"The file to write; else one beside the other." placeholder:"FILE" type:"path"`
}

func (c *shrinkCommand) Run() error {
	f, err := swarm.Read(c.File)
	if err != nil {
		return err
	}
	b := newBar()
	s, err := swarm.Shrink(f, c.Runs, b.show)
	b.clear()
	if err != nil {
		return misuseError{err}
	}
	out := c.Out
	if out == "" {
		out = strings.TrimSuffix(c.File, swarm.Suffix) + ".small" + swarm.Suffix
	}
	if err := s.Write(out); err != nil {
		return err
	}
	printFinding(os.Stdout, s.Finding)
	fmt.Printf("from %s\nto   %s\nin %d runs; wrote %s\n", s.From, s.To, s.Tried, out)
	return nil
}
