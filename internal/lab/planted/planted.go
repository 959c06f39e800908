// Package planted owns the faults that are planted in the balancer to see that the oracles bite: small changes to the
// source of reducer and module, each built into a program of its own (internal/lab/rebuilt), which runs a swarm until a
// rule is broken. A swarm that finds nothing says something only where it finds these. It must never change a file of the
// repository, nor leave one of its own behind.
package planted

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"pewterrudder/internal/lab/rebuilt"
)

// Fault is a change to one file: Old stands there once, and New comes in its place.
type Fault struct {
	Name  string
	About string
	File  string // from the root of the module
	Old   string
	New   string
	Rules []string // those by which it may be caught
}

// Result of one fault.
type Result struct {
	Fault    string  `json:"fault"`
	About    string  `json:"about"`
	Expected string  `json:"expected"` // rules
	Rule     string  `json:"rule"`     // that caught it; empty: none did
	Way      string  `json:"way"`
	Seed     uint64  `json:"seed"`
	Runs     int     `json:"runs"`    // until then
	Seconds  float64 `json:"seconds"` // of the swarm
	Build    float64 `json:"build_s"`
	Caught   bool    `json:"caught"` // by a rule that was expected
	Error    string  `json:"error,omitempty"`
}

// Options of a proof.
type Options struct {
	Root   string // of the module's source
	Seed   uint64
	Runs   int // at the most, for each fault
	Length time.Duration
	Only   []string // names; empty: all
}

// runFor bounds what is waited for, so that a fault which hangs a run ends as not caught.
const runFor = 2 * time.Minute

// Apply gives the changed text of the fault's file.
func (f *Fault) Apply(root string) ([]byte, error) {
	src, err := os.ReadFile(filepath.Join(root, f.File))
	if err != nil {
		return nil, err
	}
	return f.ApplyTo(src)
}

// ApplyTo is Apply on a text of the file.
func (f *Fault) ApplyTo(src []byte) ([]byte, error) {
	if n := bytes.Count(src, []byte(f.Old)); n != 1 {
		return nil, fmt.Errorf("planted: %s: its place stands %d times in %s, and must stand there once", f.Name, n, f.File)
	}
	return bytes.Replace(src, []byte(f.Old), []byte(f.New), 1), nil
}

// Prove builds and runs each fault in turn; each is told as it is done.
func Prove(opt Options, told func(*Result)) error {
	for _, name := range opt.Only {
		if !slices.ContainsFunc(Faults, func(f Fault) bool { return f.Name == name }) {
			return fmt.Errorf("planted: no fault is called %q", name)
		}
	}
	dir, err := os.MkdirTemp("", "rudderlab-planted-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for i := range Faults {
		f := &Faults[i]
		if len(opt.Only) > 0 && !slices.Contains(opt.Only, f.Name) {
			continue
		}
		r := &Result{Fault: f.Name, About: f.About, Expected: strings.Join(f.Rules, " ")}
		if err := f.prove(opt, dir, r); err != nil {
			r.Error = err.Error()
		}
		told(r)
	}
	return nil
}

func (f *Fault) prove(opt Options, dir string, r *Result) error {
	program, err := f.build(opt.Root, dir, &r.Build)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), runFor)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, "swarm", "--json", "--stop", "--files=0", fmt.Sprintf("--seed=%d", opt.Seed),
		fmt.Sprintf("--runs=%d", opt.Runs), "--length="+opt.Length.String())
	out, err := cmd.Output()
	var exit *exec.ExitError
	if ctx.Err() != nil {
		return fmt.Errorf("its swarm has not ended after %v", runFor)
	}
	if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 1) {
		return err
	}
	var hunt struct {
		Runs int     `json:"runs"`
		Took float64 `json:"took_s"`
		Ways []struct {
			Way   string `json:"way"`
			First uint64 `json:"first_seed"`
		} `json:"ways"`
	}
	if err := json.Unmarshal(out, &hunt); err != nil {
		return fmt.Errorf("its swarm said %.200q: %w", out, err)
	}
	r.Runs, r.Seconds = hunt.Runs, hunt.Took
	if len(hunt.Ways) > 0 {
		r.Way, r.Seed = hunt.Ways[0].Way, hunt.Ways[0].First
		r.Rule, _, _ = strings.Cut(r.Way, ":")
		r.Caught = slices.Contains(f.Rules, r.Rule)
	}
	return nil
}

// build makes the program with the fault in it.
func (f *Fault) build(root, dir string, took *float64) (string, error) {
	text, err := f.Apply(root)
	if err != nil {
		return "", err
	}
	began := time.Now()
	program, err := rebuilt.Lab(root, dir, f.Name, f.File, text)
	*took = time.Since(began).Seconds()
	return program, err
}
