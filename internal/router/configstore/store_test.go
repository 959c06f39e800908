package configstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/disk/simdisk"
)

// TestBootstrap starts four machines with a disk, three of them seeds, and two without, in random order.
func TestBootstrap(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			fleet := newFleet(t, "a", "b", "c")
			var routers []*router
			for _, address := range []string{"a", "b", "c", "d", "x", "y"} {
				routers = append(routers, fleet.add(address, address < "x"))
			}
			for _, index := range random.Perm(len(routers)) {
				routers[index].start(true)
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
			fleet.startMembership()
			for index, router := range routers[:3] {
				assert.Equal(t, router.store.Identity(), casregister.AcceptorID(fleet.initial[index]))
			}
			state, took, err := routers[random.IntN(len(routers))].put(0, 7)
			assert.NilError(t, err)
			assert.Equal(t, state.Revision, uint64(1))
			assert.Assert(t, took < time.Second, "%v", took)
			time.Sleep(settleTime)
			fleet.assertGeneration(7)
			fleet.assertVoters(routers[:4]...)
			for _, router := range routers {
				assert.Equal(t, router.store.Current().Set.Epoch, uint64(2), "one change of the set")
			}
		})
	}
}

// TestWipedDisk restarts a machine at its address with an empty disk.
func TestWipedDisk(t *testing.T) {
	for wiped := range 3 {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t, "a", "b", "c")
			routers := fleet.startAll(true, "a", "b", "c")
			_, _, err := routers[0].put(0, 1)
			assert.NilError(t, err)
			routers[wiped].stop()
			routers[wiped].replaceDisk()
			time.Sleep(500 * time.Millisecond)
			routers[wiped].start(false)
			time.Sleep(settleTime)
			fleet.assertVoters(routers...)
			fleet.assertGeneration(1)
			_, _, err = routers[wiped].put(1, 2)
			assert.NilError(t, err)
		})
	}
}

// TestConsecutiveReplacements replaces a machine by one at another address, twice, until only one seed is left.
func TestConsecutiveReplacements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		_, _, err := routers[0].put(0, 1)
		assert.NilError(t, err)
		for index, address := range []string{"d", "e"} {
			routers[index].stop()
			time.Sleep(1200 * time.Millisecond)
			replacement := fleet.add(address, true)
			replacement.start(false)
			time.Sleep(settleTime)
			routers[index] = replacement
			fleet.assertVoters(routers...)
			fleet.assertGeneration(1)
		}
		_, _, err = routers[0].put(1, 2)
		assert.NilError(t, err)
		time.Sleep(settleTime)
		fleet.assertGeneration(2)
	})
}

// TestSilentVoterIsRemovedAndReturns stops one of four voters and then another one. Only the first is removed, since
// three voters are needed to tolerate a failure; both are voters again once they are back.
func TestSilentVoterIsRemovedAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c", "d")
		routers := fleet.startAll(true, "a", "b", "c", "d")
		time.Sleep(settleTime)
		fleet.assertVoters(routers...)
		routers[1].stop()
		time.Sleep(removeAfter + settleTime)
		fleet.assertVoters(routers[0], routers[2], routers[3])
		routers[2].stop()
		time.Sleep(removeAfter + settleTime)
		fleet.assertVoterCount(3)
		routers[1].start(false)
		time.Sleep(settleTime)
		fleet.assertVoters(routers[0], routers[1], routers[3])
		routers[2].start(false)
		time.Sleep(settleTime)
		fleet.assertVoters(routers...)
	})
}

// assertVoterCount checks only how many voters there are.
func (fleet *fleet) assertVoterCount(count int) {
	fleet.t.Helper()
	for _, router := range fleet.running() {
		assert.Equal(fleet.t, len(router.store.Current().Set.Voters), count)
	}
}

func TestRejectedChangeIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		_, _, err := routers[0].put(0, 1)
		assert.NilError(t, err)
		state, _, err := routers[1].put(0, 5)
		assert.ErrorIs(t, err, errGenerationMismatch)
		assert.Equal(t, state.Generation, int64(1))
		time.Sleep(settleTime)
		fleet.assertGeneration(1)

		// Of concurrent changes on the same generation, only one is applied.
		var applied atomic.Int32
		var changes sync.WaitGroup
		for index := range 3 {
			changes.Go(func() {
				if _, _, err := routers[index].put(1, int64(10+index)); err == nil {
					applied.Add(1)
				} else {
					assert.ErrorIs(t, err, errGenerationMismatch)
				}
			})
		}
		changes.Wait()
		assert.Equal(t, applied.Load(), int32(1))
	})
}

func TestRepeatedChangeIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		for range 2 {
			state, _, err := routers[0].put(0, 1)
			assert.NilError(t, err)
			assert.Equal(t, state.Revision, uint64(1))
		}
		_, _, err := routers[1].put(1, 2)
		assert.NilError(t, err)
		state, _, err := routers[2].put(0, 1)
		assert.NilError(t, err)
		assert.Equal(t, state.Revision, uint64(2))
	})
}

// TestPowerLossOfAllMachines cuts the power of all machines after an acknowledged change, at random times during a
// second one.
func TestPowerLossOfAllMachines(t *testing.T) {
	for seed := range 60 {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			fleet := newFleet(t, "a", "b", "c")
			fleet.broadcastsChosen = false
			routers := fleet.startAll(true, "a", "b", "c")
			_, _, err := routers[0].put(0, 1)
			assert.NilError(t, err)
			go func() { _, _, _ = routers[1].put(1, 2) }()
			time.Sleep(time.Duration(random.IntN(60_000)) * time.Microsecond)
			for _, router := range routers {
				router.losePower(random)
			}
			for _, router := range routers {
				router.start(false)
			}
			fleet.startMembership()
			first, err := routers[random.IntN(3)].read()
			assert.NilError(t, err)
			assert.Assert(t, first == 1 || first == 2, "%d", first)
			time.Sleep(settleTime)
			// The outcome of the second change is unknown, and a message of it may still have been in transit.
			settled := routers[0].store.Current().State.Generation
			assert.Assert(t, settled >= first && settled <= 2, "%d after %d", settled, first)
			fleet.assertGeneration(settled)
			_, _, err = routers[2].put(settled, 9)
			assert.NilError(t, err)
		})
	}
}

// TestLostDiskWhileOthersLosePower replaces one disk while all machines lose power, which is the most that a fleet
// with one tolerated failure must survive.
func TestLostDiskWhileOthersLosePower(t *testing.T) {
	for seed := range 30 {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			fleet := newFleet(t, "a", "b", "c")
			routers := fleet.startAll(true, "a", "b", "c")
			_, _, err := routers[random.IntN(3)].put(0, 1)
			assert.NilError(t, err)
			for _, router := range routers {
				router.losePower(random)
			}
			routers[random.IntN(3)].replaceDisk()
			for _, router := range routers {
				router.start(false)
			}
			fleet.startMembership()
			found, err := routers[random.IntN(3)].read()
			assert.NilError(t, err)
			assert.Equal(t, found, int64(1))
			time.Sleep(2 * settleTime)
			fleet.assertVoters(routers...)
			fleet.assertGeneration(1)
		})
	}
}

// TestConcurrentChanges makes changes at eight routers at the same time, and then one change every 80 ms. All must be
// applied.
func TestConcurrentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		for _, address := range []string{"s", "t", "u", "v", "w"} {
			router := fleet.add(address, false)
			router.start(true)
			routers = append(routers, router)
		}
		time.Sleep(time.Second)
		var slowest atomic.Int64
		var changes sync.WaitGroup
		submit := func(router *router, number int64) {
			changes.Go(func() {
				start := time.Now()
				assert.NilError(t, router.appendChange(number))
				for took := int64(time.Since(start)); ; {
					known := slowest.Load()
					if took <= known || slowest.CompareAndSwap(known, took) {
						return
					}
				}
			})
		}
		for index, router := range routers {
			submit(router, int64(index))
		}
		changes.Wait()
		t.Logf("eight concurrent changes: the slowest took %v", time.Duration(slowest.Swap(0)))
		for number := range int64(100) {
			submit(routers[number%int64(len(routers))], 100+number)
			time.Sleep(80 * time.Millisecond)
		}
		changes.Wait()
		t.Logf("one change every 80 ms: the slowest took %v", time.Duration(slowest.Load()))
		time.Sleep(settleTime)
		for _, router := range routers {
			assert.Equal(t, router.store.Current().State.Revision, uint64(108))
		}
	})
}

// TestStalledDisk stalls one machine's disk. No change or read may wait for it, not even at that machine.
func TestStalledDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		time.Sleep(time.Second)
		stalledUntil := time.Now().Add(6 * time.Second)
		routers[0].disk.SetHook(func(operation simdisk.Operation, _ string) error {
			time.Sleep(time.Until(stalledUntil))
			return nil
		})
		for index, router := range routers {
			_, took, err := router.put(int64(index), int64(index+1))
			assert.NilError(t, err)
			assert.Assert(t, took < 300*time.Millisecond, "%v", took)
			start := time.Now()
			found, err := router.read()
			assert.NilError(t, err)
			assert.Equal(t, found, int64(index+1))
			assert.Assert(t, time.Since(start) < 400*time.Millisecond, "%v", time.Since(start))
		}
		time.Sleep(8 * time.Second)
		fleet.assertGeneration(3)
	})
}

// TestFullDisk fills two of three disks. Changes must fail with ErrOutcomeUnknown, and succeed once there is space
// again.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		_, _, err := routers[0].put(0, 1)
		assert.NilError(t, err)
		for _, router := range routers[:2] {
			router.disk.SetCapacity(1)
		}
		_, _, err = routers[0].put(1, 2)
		assert.ErrorIs(t, err, ErrOutcomeUnknown)
		for _, router := range routers[:2] {
			router.disk.SetCapacity(0)
		}
		_, _, err = routers[0].put(1, 2)
		assert.NilError(t, err)
		time.Sleep(settleTime)
		fleet.assertGeneration(2)
	})
}

// TestUnwritableDiskAtStart starts a machine whose disk cannot be written for a while. It must become a voter
// afterwards.
func TestUnwritableDiskAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		late := fleet.add("c", true)
		late.disk.SetCapacity(1)
		late.start(true)
		assert.Equal(t, late.store.Identity(), casregister.AcceptorID(""))
		routers := fleet.startAll(true, "a", "b")
		_, _, err := late.put(0, 1)
		assert.NilError(t, err)
		late.disk.SetCapacity(0)
		time.Sleep(settleTime)
		fleet.assertVoters(append(routers, late)...)
	})
}

// TestProposerFailsDuringAccept stops a router without a disk while its first accept request is in transit. The other
// routers must determine the outcome within a second without a further change, and agree.
func TestProposerFailsDuringAccept(t *testing.T) {
	for seed := range 30 {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			fleet := newFleet(t, "a", "b", "c")
			fleet.startAll(true, "a", "b", "c")
			failing := fleet.add("x", false)
			failing.start(true)
			time.Sleep(time.Second)
			var accepts atomic.Int32
			fleet.setCallHook(func(from *router, _ string, message envelope) {
				if from == failing && message.Register != nil && message.Register.Kind == casregister.Accept && accepts.Add(1) == 1 {
					time.AfterFunc(time.Duration(random.IntN(25))*time.Millisecond, func() {
						failing.setIsolated(true)
						failing.stop()
					})
				}
			})
			_, _, err := failing.put(0, 1)
			wasAcknowledged := err == nil
			time.Sleep(time.Second)
			running := fleet.running()
			generation := running[0].store.Current().State.Generation
			assert.Assert(t, !wasAcknowledged || generation == 1)
			for _, router := range running {
				assert.Equal(t, router.store.Current().State.Generation, generation)
				assert.Assert(t, !router.store.isUnresolved())
			}
		})
	}
}

// TestRouterWithoutQuorum isolates a router from the others. Its changes and reads must fail with ErrOutcomeUnknown.
func TestRouterWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		_, _, err := routers[0].put(0, 1)
		assert.NilError(t, err)
		time.Sleep(settleTime)
		routers[0].setIsolated(true)
		_, took, err := routers[0].put(1, 2)
		assert.ErrorIs(t, err, ErrOutcomeUnknown)
		assert.Equal(t, took, requestTimeout)
		_, err = routers[0].read()
		assert.ErrorIs(t, err, ErrOutcomeUnknown)
		_, _, err = routers[1].put(1, 3)
		assert.NilError(t, err)
		routers[0].setIsolated(false)
		time.Sleep(settleTime)
		fleet.assertGeneration(3)
	})
}

// TestIdleFleetSendsNoRequests checks that routers that all know the newest state send each other no requests.
func TestIdleFleetSendsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		_, _, err := routers[0].put(0, 1)
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		var calls atomic.Int32
		fleet.setCallHook(func(*router, string, envelope) { calls.Add(1) })
		time.Sleep(10 * time.Second)
		assert.Equal(t, calls.Load(), int32(0))
	})
}

// TestListenersReceiveEachStateOnce checks the order of announcements, and that an older or undecodable state
// received from another router does not replace the current one.
func TestListenersReceiveEachStateOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		var received []uint64
		routers[2].store.OnChosen(func(chosen *Chosen) { received = append(received, chosen.State.Revision) })
		var old []byte
		for generation := range int64(5) {
			_, _, err := routers[generation%3].put(generation, generation+1)
			assert.NilError(t, err)
			if generation == 0 {
				old = routers[0].store.Current().Encode()
			}
			time.Sleep(500 * time.Millisecond)
		}
		routers[2].store.Learn(old)
		routers[2].store.Learn([]byte("rubbish"))
		synctest.Wait()
		fleet.assertGeneration(5)
		for index := 1; index < len(received); index++ {
			assert.Assert(t, received[index] > received[index-1], "%v", received)
		}
		assert.Equal(t, received[len(received)-1], uint64(5))
	})
}

func TestCallsAfterCloseFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a")
		routers := fleet.startAll(true, "a")
		store := routers[0].store
		fleet.stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := store.Propose(ctx, putChange(0, 1))
		assert.ErrorIs(t, err, ErrClosed)
		_, err = store.Read(ctx)
		assert.ErrorIs(t, err, ErrClosed)
		_, err = store.HandleRequest(ctx, nil)
		assert.ErrorIs(t, err, ErrClosed)
	})
}
