package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// shiftSteps are what a shift does on one terminal, some of it by commands and some on the full screen. Each step knows
// by a look at the box whether it is done, as a person would who comes back after the line broke.
type step struct {
	name string
	done func(t *testing.T, r *rig) bool
	do   func(t *testing.T, r *rig, at *cut)
}

// cut breaks a session off: at the moment with number at, counted over the whole session, in one of several ways.
type cut struct {
	at   int // <0: never
	way  string
	now  int
	rig  *rig
	over chan struct{} // the box that died is back
}

var ways = []string{"killed", "hung up", "box dies"}

// moment is a place where the session may break off; it gives whether it has.
func (c *cut) moment(t *testing.T, s *terminal) bool {
	c.now++
	if c.now != c.at+1 {
		return false
	}
	switch c.way {
	case "killed":
		s.kill()
	case "hung up":
		s.hangUp()
		s.awaitEnd("its line has gone")
	case "box dies": // at its next edit, between the disk's word and the answer; the session itself goes on
		c.over = make(chan struct{})
		c.rig.mu.Lock()
		c.rig.afterNextKeep = func() { c.rig.dies(t, c.over) }
		c.rig.mu.Unlock()
		return false
	}
	return true
}

// on plays a line of "what must be seen", "what is typed then" on a terminal, until it breaks off; whole says that it did not.
func (c *cut) on(t *testing.T, r *rig, args []string, script ...string) (whole bool) {
	t.Helper()
	s := r.terminal(t, args...)
	defer s.kill()
	for i := 0; i < len(script); i += 2 {
		if c.moment(t, s) {
			return false
		}
		if !s.sees(script[i]) {
			if c.at < 0 {
				t.Fatalf("%q: %q never came; the screen:\n%s", args, script[i], s.screen())
			}
			return false // taken up again by a look at the box
		}
		if c.moment(t, s) {
			return false
		}
		s.types(script[i+1])
	}
	if c.moment(t, s) {
		return false
	}
	status := s.status()
	if status != 0 && c.at < 0 {
		t.Fatalf("%q: status %d; the screen:\n%s", args, status, s.screen())
	}
	return status == 0
}

func drainedFirst(t *testing.T, r *rig) (revision string) {
	out, errs, status := r.ctl(t, "history", "--json")
	if status != 0 {
		t.Fatal(errs)
	}
	m := regexp.MustCompile(`"revision": (\d+),\s+"kind": "edit",\s+"id": "[^"]*",\s+"by": "[^"]*",\s+"edit": \{[^{]*\{\s+"kind": "drain",\s+"node": "n1"`).FindStringSubmatch(out)
	if m == nil {
		t.Fatalf("no drain of n1 in %s", out)
	}
	return m[1]
}

var down = "j"

func shiftSteps(file string) []step {
	undone := func(t *testing.T, r *rig) bool { return r.wanted(t, "note shift", `note shift "n1 is back"`) }
	return []step{
		{"a drain by command", func(t *testing.T, r *rig) bool { return r.wanted(t, "drain n1", "drain n1") || undone(t, r) },
			func(t *testing.T, r *rig, c *cut) { c.on(t, r, []string{"drain", "n1"}) }},
		{"a drain on the screen", func(t *testing.T, r *rig) bool { return r.wanted(t, "drain n2", "drain n2") },
			func(t *testing.T, r *rig, c *cut) {
				c.on(t, r, []string{"console"}, "> n1", down, "> n2", "d", "drain n2: no new calls", "y", "done: drain n2", "q")
			}},
		{"a weight", func(t *testing.T, r *rig) bool { return r.wanted(t, "weight n3", "weight n3 0.5") },
			func(t *testing.T, r *rig, c *cut) { c.on(t, r, []string{"set", "weight", "n3", "0.5"}) }},
		{"a trial that is kept", func(t *testing.T, r *rig) bool { return r.wanted(t, "drain n4", "drain n4") },
			func(t *testing.T, r *rig, c *cut) {
				if r.wanted(t, "drain n4", "") && !c.on(t, r, []string{"console"},
					"> n1", down+down+down, "> n4", "t", "drain n4 on trial", "y", "done: drain n4", "q") {
					return
				}
				c.on(t, r, []string{"console"}, "> n1", down+down+down, "> n4", "c", "confirm: drain n4", "y", "done: confirm drain n4", "q")
			}},
		{"a file", func(t *testing.T, r *rig) bool {
			return r.wanted(t, "cap main", "cap main 100") && r.wanted(t, "note n2", `note n2 "fan is loud"`)
		}, func(t *testing.T, r *rig, c *cut) {
			c.on(t, r, []string{"apply", file}, "as one? [y/N]", "y\r")
		}},
		{"a restore on the screen, after a look at why", func(t *testing.T, r *rig) bool { return r.wanted(t, "drain n2", "") },
			func(t *testing.T, r *rig, c *cut) {
				c.on(t, r, []string{"console"}, "> n1", down, "> n2", "w", "WHY n2: drained", "r", "restore n2", "y", "done: restore n2", "q")
			}},
		{"the last node of a pool", func(t *testing.T, r *rig) bool { return r.wanted(t, "drain n6", "drain n6") },
			func(t *testing.T, r *rig, c *cut) {
				c.on(t, r, []string{"drain", "n6"}, "pool small without a ready node", "y\r")
			}},
		{"an undo", func(t *testing.T, r *rig) bool { return r.wanted(t, "drain n1", "") },
			func(t *testing.T, r *rig, c *cut) { c.on(t, r, []string{"undo", drainedFirst(t, r)}) }},
		{"a note", undone, func(t *testing.T, r *rig, c *cut) {
			c.on(t, r, []string{"set", "note", "shift", "n1 is back"})
		}},
	}
}

const stateAfterTheShift = `cap main 100
drain n4
drain n6
note n2 "fan is loud"
note shift "n1 is back"
weight n3 0.5
in force: node n3 drained=false weight=0.5
in force: node n4 drained=true weight=0
in force: node n6 drained=true weight=0
in force: pool main cap=100 members=[] gone=false
`

// play has the session through, taken up again where it broke off, and gives how many moments it has.
func play(t *testing.T, c *cut) int {
	t.Helper()
	r := newRig(t)
	c.rig = r
	file := filepath.Join(t.TempDir(), "shift.json")
	text := "{\n  // for the night\n  \"caps\": {\"main\": 100}, \"weights\": {\"n3\": 0.5},\n  \"notes\": {\"n2\": \"fan is loud\"},\n}\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, s := range shiftSteps(file) {
		for tries := 0; !s.done(t, r); tries++ {
			if tries == 4 {
				t.Fatalf("%s: not done after %d tries; wanted:\n%s", s.name, tries, r.state(t))
			}
			s.do(t, r, c)
			if c.over != nil { // the box may still be on its way back
				r.mu.Lock()
				waits := r.afterNextKeep == nil
				r.mu.Unlock()
				if waits {
					<-c.over
				}
			}
		}
	}
	if got := r.state(t); got != stateAfterTheShift {
		t.Errorf("broken off at %d (%s), it ends with\n%swhere this is wanted\n%s", c.at, c.way, got, stateAfterTheShift)
	}
	return c.now
}

var cutRuns = flag.Int("cut-runs", 6, "how many sessions to break off at a random moment")
var cutSeed = flag.Uint64("cut-seed", 1, "of the moments")

// -cut-runs=200 has what the figures in docs are of.
func TestAShiftEndsTheSameHoweverItBreaksOff(t *testing.T) {
	moments := play(t, &cut{at: -1})
	if moments < 40 {
		t.Fatalf("%d moments", moments)
	}
	random := rand.New(rand.NewPCG(*cutSeed, 0))
	for i := range *cutRuns {
		c := &cut{at: random.IntN(moments), way: ways[i%len(ways)]}
		t.Run(fmt.Sprintf("%03d-%s-%d", i, strings.ReplaceAll(c.way, " ", "-"), c.at), func(t *testing.T) { t.Parallel(); play(t, c) })
	}
}
