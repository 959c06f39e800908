// Package swarm owns the search for broken rules: days drawn at random (draw.go), played by the thousand (hunt.go), each
// break kept in a file that plays again (replay.go) and is made smaller (shrink.go). One number gives a day and all its
// chance, so that a break needs no more than its number to be found again by the same program. It must never judge, which
// is the oracles' part, nor pass over what they found.
package swarm

import (
	"fmt"
	"io"
	"regexp"
	"strings"

	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
)

// Case is a day with all that its run hangs on, but for the program.
type Case struct {
	Seed     uint64             `json:"seed"`     // of all chance in the run
	InOrder  bool               `json:"in_order"` // what is due at one instant runs as it was set, not in an order drawn
	Scenario *scenario.Scenario `json:"scenario"`

	Policy virtual.Policy `json:"-"` // nil: the module; tests put a worse one here
}

// Play makes the run. log, where not nil, gets every event.
func (c *Case) Play(log io.Writer) (*virtual.Record, error) {
	return virtual.Run(c.Scenario, virtual.Options{Seed: c.Seed, InOrder: c.InOrder, Log: log, Policy: c.Policy})
}

var (
	figures = regexp.MustCompile(`-?[0-9][0-9a-zµ.]*`) // with the unit, as times have it
	frame   = regexp.MustCompile(`(?m)^pewterrudder/(?:internal/reducer|brain)\.[^\n]*?([A-Za-z]+)\(`)
)

// Way says how a rule was broken, without the figures of the one run: two breaks of one way are of one kind. Of a panic it
// is the message and the function of the balancer that it came from.
func Way(b *oracle.Break) string {
	text, stack, _ := strings.Cut(b.Text, "\n")
	way := fmt.Sprintf("%s: %s", b.Rule, figures.ReplaceAllString(text, "#"))
	if m := frame.FindStringSubmatch(stack); m != nil {
		way += " in " + m[1]
	}
	return way
}

// Size is what Shrink makes smaller.
type Size struct {
	Faults    int     `json:"faults"`
	Seconds   float64 `json:"seconds"`
	Balancers int     `json:"balancers"`
	Nodes     int     `json:"nodes"`
	Classes   int     `json:"classes"`
	Rate      float64 `json:"rate"`
}

func (s Size) String() string {
	return fmt.Sprintf("%d faults, %.4g s, %d balancers, %d app nodes, %d classes, %.4g requests/s", s.Faults, s.Seconds,
		s.Balancers, s.Nodes, s.Classes, s.Rate)
}

// Size of the case.
func (c *Case) Size() Size {
	sc := c.Scenario
	s := Size{Faults: len(sc.Faults), Seconds: sc.Length.D().Seconds(), Balancers: sc.Balancers.Count, Classes: len(sc.Classes),
		Rate: sc.Traffic.Rate[1]}
	for i := range sc.Nodes {
		s.Nodes += sc.Nodes[i].Count
	}
	return s
}
