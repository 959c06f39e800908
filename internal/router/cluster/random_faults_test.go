package cluster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRandomFaults injects random overlapping faults while records are published. All routers must agree within a
// second after the last fault has ended.
func TestRandomFaults(t *testing.T) {
	const plays = 8
	for seed := range uint64(plays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, 24, 3, seed)
				f.startAndSettle()
				for i := range 12 {
					f.injectRandomFault()
					f.publishAtRandomRouter(i)
					time.Sleep(time.Duration(f.rng.IntN(1200)) * time.Millisecond)
				}
				f.clearFaults()
				took := f.eventually(time.Second, "agreement", f.converged)
				t.Logf("agree after %v", took)
				for range 200 { // a monitor may still suspect a member that was partitioned off, but no member may be failed
					time.Sleep(10 * time.Millisecond)
					assert.NilError(t, allAlive(f.routers))
				}
				assert.NilError(t, f.converged())
			})
		})
	}
}

// injectRandomFault starts a random fault, restarts a router, or heals a random partition.
func (f *fleet) injectRandomFault() {
	r := f.routers[f.rng.IntN(len(f.routers))]
	switch f.rng.IntN(6) {
	case 0:
		if r.running {
			f.kill(r, f.rng.IntN(2) == 0)
		}
	case 1:
		if !r.running {
			f.start(r, false)
		}
	case 2:
		f.freeze(r, time.Duration(f.rng.IntN(3000))*time.Millisecond)
	case 3:
		f.setPartition(f.randomRouters(), f.randomRouters(), f.rng.IntN(3) > 0)
	case 4:
		f.setOneWayPartition(f.randomRouters(), f.randomRouters(), f.rng.IntN(3) > 0)
	case 5:
		f.network.setLoss(0.2 * f.rng.Float64())
	}
}

// randomRouters returns a random subset of the routers.
func (f *fleet) randomRouters() []*router {
	share := f.rng.Float64()
	var list []*router
	for _, r := range f.routers {
		if f.rng.Float64() < share {
			list = append(list, r)
		}
	}
	return list
}

func (f *fleet) publishAtRandomRouter(i int) {
	running := f.running()
	if len(running) > 0 {
		running[f.rng.IntN(len(running))].publish(fmt.Sprint(i%4), fmt.Sprint(i))
	}
}

// clearFaults ends all faults. Frozen routers resume during its pause, which is as long as the longest freeze.
func (f *fleet) clearFaults() {
	time.Sleep(3 * time.Second)
	f.network.setLoss(0)
	f.setPartition(f.routers, f.routers, false)
	for _, r := range f.routers {
		if !r.running {
			f.start(r, false)
		}
	}
}
