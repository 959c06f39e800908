package control

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Timed edits and trials must end at their deadline by a clock that never jumps, or as soon as the box is up again. This
// holds for jumps of the wall clock by hours, for restarts of the process, and for reboots, provided that the wall clock
// is right about the time that the machine was off.
func TestClockJumpsDoNotMoveDeadlines(t *testing.T) {
	covered := map[string]int{}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == "2000" { // every restart replays a long history
		flag.Set("rapid.checks", "400")
		defer flag.Set("rapid.checks", "2000")
	}
	rapid.Check(t, func(t *rapid.T) {
		b := newBox()
		var elapsed time.Duration // by a clock that never jumps
		ends := map[uint64]time.Duration{}
		checkDue := func(t *rapid.T) time.Duration {
			all, _, next, err := b.commitDue()
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range all {
				covered[string(r.Kind)]++
				if end, ok := ends[r.Of]; r.Kind == Ended && (!ok || elapsed < end) {
					t.Fatalf("%v ended %v before its deadline", &r, end-elapsed)
				}
				delete(ends, r.Of)
			}
			for rev, end := range ends {
				if elapsed >= end {
					t.Fatalf("edit %d is in force %v after its deadline", rev, elapsed-end)
				}
			}
			return next
		}
		advance := func(d time.Duration) { b.advance(d); elapsed += d }
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				rev := b.Revision() + 1
				e := Edit{ID: fmt.Sprint("e", rev), By: "ann", What: Drain{fmt.Sprint("n", rev)}, For: time.Duration(rapid.IntRange(1, 7200).Draw(t, "for")) * time.Second}
				if rapid.Bool().Draw(t, "trial") {
					e.Trial, e.For = e.For, 0
				}
				r, err := b.Propose(b.now, e)
				if err == nil {
					_, err = b.writeAndCommit(r)
				}
				if err != nil {
					t.Fatal(err)
				}
				ends[r.Revision] = elapsed + e.Trial + e.For
			},
			"up": func(t *rapid.T) {
				remaining := time.Duration(rapid.IntRange(1, 3600).Draw(t, "seconds")) * time.Second
				for next := checkDue(t); remaining > 0; next = checkDue(t) {
					step := remaining
					if next > 0 {
						step = min(next, remaining)
					}
					advance(step)
					remaining -= step
				}
			},
			"jump": func(t *rapid.T) {
				b.now.Wall = b.now.Wall.Add(time.Duration(rapid.SampledFrom([]int{-1, 1}).Draw(t, "hours")) * time.Hour)
				covered["jump"]++
			},
			"down": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "reboot") {
					checkDue(t) // detects a jump just before the reboot: see maxTickInterval
					b.now.Boot, b.now.Mono = b.now.Boot+"'", time.Second
					covered["reboot"]++
				}
				advance(time.Duration(rapid.IntRange(0, 3600).Draw(t, "seconds")) * time.Second)
				if err := b.restart(); err != nil {
					t.Fatal(err)
				}
				checkDue(t)
			},
		})
	})
	t.Log(covered)
	for _, what := range []string{"end", "clock", "jump", "reboot"} {
		if covered[what] == 0 {
			t.Errorf("no run covered: %s", what)
		}
	}
}
