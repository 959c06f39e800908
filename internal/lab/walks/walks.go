// Package walks has the random steps of tests be the same at every run, so that one tree has one verdict. It is for
// TestMain alone, and must never be linked into a program.
package walks

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // whose flags these are
)

// Main runs the tests of a package with the steps of seed 1, which -rapid.seed=N has look elsewhere. checks is how many
// walks each property is held against, and steps how many steps a walk has; 0 leaves rapid's own figure. Figures of the
// command line count before these.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, n := range map[string]int{"rapid.seed": 1, "rapid.checks": checks, "rapid.steps": steps} {
		if n == 0 || given[name] || given["rapid.seed"] {
			continue
		}
		if err := flag.Set(name, strconv.Itoa(n)); err != nil {
			panic("walks: " + err.Error()) // rapid has no such flag any more
		}
	}
	os.Exit(m.Run())
}
