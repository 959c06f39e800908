package control

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Timed edits and trials end at their moment by a clock that never jumps, or as soon as the box is up again: whatever the
// wall clock does by hours, over restarts of the process, and over those of the machine if what the wall clock says
// passed while it was off is true.
func TestNoJumpMovesAnEnd(t *testing.T) {
	met := map[string]int{}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == "2000" { // each starts anew from a long history
		flag.Set("rapid.checks", "400")
		defer flag.Set("rapid.checks", "2000")
	}
	rapid.Check(t, func(t *rapid.T) {
		b := newBox()
		var real time.Duration // time by a clock that never jumps
		ends := map[uint64]time.Duration{}
		settle := func(t *rapid.T) time.Duration {
			all, _, next, err := b.settle()
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range all {
				met[string(r.Kind)]++
				if end, ok := ends[r.Of]; r.Kind == Ended && (!ok || real < end) {
					t.Fatalf("%v ended %v early", &r, end-real)
				}
				delete(ends, r.Of)
			}
			for rev, end := range ends {
				if real >= end {
					t.Fatalf("%d is in force %v after its end", rev, real-end)
				}
			}
			return next
		}
		pass := func(d time.Duration) { b.pass(d); real += d }
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				rev := b.Revision() + 1
				e := Edit{ID: fmt.Sprint("e", rev), By: "ann", What: Drain{fmt.Sprint("n", rev)}, For: time.Duration(rapid.IntRange(1, 7200).Draw(t, "for")) * time.Second}
				if rapid.Bool().Draw(t, "trial") {
					e.Trial, e.For = e.For, 0
				}
				r, err := b.Propose(b.now, e)
				if err == nil {
					_, err = b.keep(r)
				}
				if err != nil {
					t.Fatal(err)
				}
				ends[r.Revision] = real + e.Trial + e.For
			},
			"up": func(t *rapid.T) {
				left := time.Duration(rapid.IntRange(1, 3600).Draw(t, "seconds")) * time.Second
				for next := settle(t); left > 0; next = settle(t) {
					step := left
					if next > 0 {
						step = min(next, left)
					}
					pass(step)
					left -= step
				}
			},
			"jump": func(t *rapid.T) {
				b.now.Wall = b.now.Wall.Add(time.Duration(rapid.SampledFrom([]int{-1, 1}).Draw(t, "hours")) * time.Hour)
				met["jump"]++
			},
			"down": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "reboot") {
					settle(t) // it looks once a minute: see lookMost
					b.now.Boot, b.now.Mono = b.now.Boot+"'", time.Second
					met["reboot"]++
				}
				pass(time.Duration(rapid.IntRange(0, 3600).Draw(t, "seconds")) * time.Second)
				if err := b.start(); err != nil {
					t.Fatal(err)
				}
				settle(t)
			},
		})
	})
	t.Log(met)
	for _, what := range []string{"end", "clock", "jump", "reboot"} {
		if met[what] == 0 {
			t.Errorf("no run met: %s", what)
		}
	}
}
