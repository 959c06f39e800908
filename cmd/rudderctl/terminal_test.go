package main

import (
	"os/exec"
	"testing"
	"time"
)

// A program hears at once that its line has gone, whatever other programs were started while the line was there.
func TestALineHangsUpThoughOtherProgramsRun(t *testing.T) {
	t.Parallel()
	hungUp := newTerminal(t, exec.Command("cat"))
	other := newTerminal(t, exec.Command("cat"))
	defer other.kill()
	hungUp.hangUp()
	select {
	case <-hungUp.ended:
	case <-time.After(patience):
		t.Fatal("the program still runs")
	}
}

// The console ends with its terminal, also where SIGHUP is ignored, as it is in what nohup starts.
func TestTheConsoleEndsWithItsTerminal(t *testing.T) {
	t.Parallel()
	for _, seen := range []string{"", "> n1"} { // at its start, and at rest
		r := newRig(t)
		console := r.command("console")
		ignoring := exec.Command("sh", "-c", `trap "" HUP; exec "$0" "$@"`, console.Path, "console")
		ignoring.Env = console.Env
		s := newTerminal(t, ignoring)
		if seen != "" {
			s.must(seen)
		}
		s.hangUp()
		s.awaitEnd("its line has gone")
	}
}
