package virtual

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/oracle"
)

// throngs are how many balancers share the app nodes on the day on which cold ones meet a burst, and throngSeeds how often each is
// played.
var throngs = []int{20, 25, 30}

const throngSeeds = 4

func throng(t *testing.T, balancers int, seed uint64, p Policy) *Record {
	t.Helper()
	return play(t, load(t, "throng", fmt.Sprint("balancers.count=", balancers)), Options{Seed: seed, Policy: p})
}

// Whatever all balancers send to a cold app node together stays within what it bears: N + 2 x root of N + 2 requests of mean work
// in the time of a fall. Six app nodes join and twelve restart, into a burst; one that is pushed over stays down.
func TestAThrongKeepsColdAppNodesUp(t *testing.T) {
	for _, balancers := range throngs {
		for seed := uint64(1); seed <= throngSeeds; seed++ {
			t.Run(fmt.Sprintf("%d balancers, seed %d", balancers, seed), func(t *testing.T) {
				t.Parallel()
				rec := throng(t, balancers, seed, nil)
				mustHold(t, rec)
				if c := &rec.Counts; c.Wishes < 5000 || c.Goodput() < 0.4 || c.ColdShare < 0.15 {
					t.Errorf("this was no day to judge by: %d wishes, goodput %.3f, and cold app nodes were sent %.2f of what they bear at the most",
						c.Wishes, c.Goodput(), c.ColdShare)
				}
			})
		}
	}
}

// unshared has the module give a cold app node what it could bear if this balancer were alone with it: by the app node's age as it
// is told it, no share is kept back for others.
type unshared struct{ brain.Decider }

func (u unshared) Handle(now time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	if e, ok := ev.(*brain.FleetUpdate); ok {
		told := *e
		told.Members = slices.Clone(e.Members)
		for i := range told.Members {
			told.Members[i].Started = 0
		}
		ev = &told
	}
	return u.Decider.Handle(now, ev, acts)
}

// The rule bites: the same days with balancers that keep nothing back have cold app nodes fall, at each size.
func TestAThrongThatSharesNothingPushesColdAppNodesOver(t *testing.T) {
	for _, balancers := range throngs {
		fell := 0
		for seed := uint64(1); seed <= throngSeeds; seed++ {
			rec := throng(t, balancers, seed, func(cfg brain.Settings, seed uint64) (brain.Decider, error) {
				cfg.Nodes = 1
				d, err := brain.New(cfg, seed)
				return unshared{d}, err
			})
			if rec.Counts.ColdBreaks > 0 {
				fell++
			}
			for _, b := range rec.Breaks {
				if b.Rule != oracle.Cold {
					t.Errorf("%s: %s", rec.Name(), b)
				}
			}
		}
		t.Logf("%d balancers: cold app nodes fell on %d of %d days", balancers, fell, throngSeeds)
		if fell < throngSeeds/2 {
			t.Errorf("%d balancers: cold app nodes fell on %d of %d days alone", balancers, fell, throngSeeds)
		}
	}
}
