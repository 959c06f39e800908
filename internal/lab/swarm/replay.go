package swarm

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
)

// format of a replay file.
const format = 1

// Suffix of a replay file.
const Suffix = ".replay.json"

// Finding is a case that breaks a rule, and how. It is what a replay file holds.
type Finding struct {
	Format int     `json:"format"`
	Rule   string  `json:"rule"`
	Way    string  `json:"way"`
	Text   string  `json:"text"`
	At     float64 `json:"at_s"` // on the run's clock
	Broken uint64  `json:"broken"`
	Digest string  `json:"digest"`
	Case
	Last []string `json:"last"` // events up to the break

	Events []world.Event `json:"-"`
}

func newFinding(c *Case, rec *virtual.Record) *Finding {
	b := &rec.Breaks[0]
	f := &Finding{Format: format, Rule: b.Rule.String(), Way: Way(b), Text: b.Text, At: b.At.Seconds(), Broken: rec.Broken,
		Digest: fmt.Sprintf("%016x", rec.Digest), Case: *c, Events: b.Last}
	for _, e := range b.Last {
		f.Last = append(f.Last, e.String())
	}
	return f
}

// Write writes the file.
func (f *Finding) Write(path string) error {
	raw, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// Read reads a replay file; an error names file and key.
func Read(path string) (*Finding, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	// What a file leaves out of its scenario is as in any scenario.
	day := scenario.Default()
	f := &Finding{Case: Case{Scenario: &day}}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(f); err != nil {
		return nil, &scenario.Flaw{File: path, Text: err.Error()}
	}
	if f.Format != format {
		return nil, &scenario.Flaw{File: path, Key: "format", Text: fmt.Sprintf("%d is not %d", f.Format, format)}
	}
	if f.Scenario == nil {
		return nil, &scenario.Flaw{File: path, Key: "scenario", Text: "is missing"}
	}
	if flaw := f.Scenario.Check(); flaw != nil {
		flaw.File, flaw.Key = path, "scenario."+flaw.Key
		return nil, flaw
	}
	return f, nil
}

// Again plays a case; nil where it breaks no rule.
func (c *Case) Again() (*Finding, error) {
	rec, err := c.Play(nil)
	if err != nil || rec.OK() {
		return nil, err
	}
	return newFinding(c, rec), nil
}
