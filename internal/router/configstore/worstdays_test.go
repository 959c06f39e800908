package configstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/disk/simdisk"
)

// cutTime is how long a machine stays cut off in these tests.
const cutTime = 20 * time.Second

// assertUnclear checks that a router neither confirms nor refuses an order, and answers no read.
func (router *router) assertUnclear(base, generation int64) {
	t := router.fleet.t
	t.Helper()
	_, _, err := router.put(base, generation)
	assert.ErrorIs(t, err, ErrUnclear, "%d on %d at %s", generation, base, router.address)
	_, err = router.read()
	assert.ErrorIs(t, err, ErrUnclear, "read at %s", router.address)
}

// TestCutOffForTwentySeconds has one acceptor, and then a router without a disk, lose the others while these change the configuration and
// replace what is silent. It answers no read from what it knows, refuses nothing by it, and confirms nothing.
func TestCutOffForTwentySeconds(t *testing.T) {
	for _, cut := range []int{0, 4} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t, "a", "b", "c")
			routers := fleet.startAll(true, "a", "b", "c", "d")
			bystander := fleet.add("x", false)
			bystander.start(true)
			routers = append(routers, bystander)
			routers[1].mustPut(t, 0, 1)
			time.Sleep(settleTime)
			routers[cut].setCut(true)
			begin := time.Now()
			routers[2].mustPut(t, 1, 2)
			for time.Since(begin) < cutTime {
				routers[cut].assertUnclear(0, 7) // it knows generation 1, where base 0 was refused
				routers[cut].assertUnclear(1, 8) // it knows generation 1, where base 1 was taken
			}
			routers[3].mustPut(t, 2, 3)
			routers[cut].setCut(false)
			routers[cut].mustRead(t, 3)
			_, _, err := routers[cut].put(1, 8)
			assert.ErrorIs(t, err, errOtherVersion)
			time.Sleep(settleTime)
			fleet.assertForce(3)
		})
	}
}

// TestHalves cuts four acceptors into two halves, twice: neither takes an order or answers a read, and afterwards all goes on from what was
// acknowledged before.
func TestHalves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c", "d")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		for _, half := range [][]int{{0, 1}, {0, 3}} {
			state, err := routers[2].read()
			assert.NilError(t, err)
			fleet.splitAt(routers, half)
			for _, router := range routers {
				router.assertUnclear(state, state+10)
			}
			fleet.splitAt(routers, nil)
			routers[2].mustPut(t, state, state+1)
			time.Sleep(settleTime)
			for _, router := range routers {
				router.mustRead(t, state+1)
			}
		}
		fleet.assertVoters(routers...)
	})
}

// splitAt lets the routers of a half reach only each other, and the others only each other. Without a half all reach all.
func (fleet *fleet) splitAt(routers []*router, half []int) {
	inHalf := map[string]bool{}
	for _, index := range half {
		inHalf[routers[index].address] = true
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.half = inHalf
}

// TestBehind has two of five acceptors miss a change. Then one of the others loses its disk and two lose power, so that for a while only
// the two that missed it and the empty one run: nobody answers with what they know.
func TestBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		fleet.tolerate = 2
		routers := fleet.startAll(true, "a", "b", "c", "d", "e")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(4 * settleTime)
		routers[3].setCut(true)
		routers[4].setCut(true)
		routers[0].mustPut(t, 1, 2)
		random := rand.New(rand.NewPCG(1, 1))
		routers[0].losePower(random)
		routers[0].replaceDisk()
		routers[1].losePower(random)
		routers[2].losePower(random)
		routers[3].setCut(false)
		routers[4].setCut(false)
		routers[0].start(false)
		for _, index := range []int{0, 3, 4} {
			routers[index].assertUnclear(1, 9)
		}
		routers[1].start(false)
		routers[2].start(false)
		time.Sleep(2 * settleTime)
		for _, router := range routers {
			router.mustRead(t, 2)
		}
	})
}

// TestLossRightAfterARepair loses machines one after the other, each as soon as the one before it has been replaced: there is always a
// majority, and it has everything.
func TestLossRightAfterARepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		for round := range 6 {
			generation := int64(round + 1)
			routers[0].stop()
			routers = routers[1:]
			newcomer := fleet.add(fmt.Sprintf("n%d", round), true)
			newcomer.start(false)
			store := newcomer.store
			deadline := time.Now().Add(repairTime)
			for current := store.Current(); current == nil || current.Set.IsJoint() || !current.Set.HasVoter(store.Identity()); current = store.Current() {
				assert.Assert(t, time.Now().Before(deadline), "round %d: not replaced", round)
				time.Sleep(10 * time.Millisecond)
			}
			routers = append(routers, newcomer)
			routers[1].mustPut(t, generation, generation+1)
			newcomer.mustRead(t, generation+1)
		}
		fleet.assertVoters(routers...)
	})
}

// repairTime is by when a lost acceptor must have been replaced.
const repairTime = 4 * time.Second

// TestLeavingMemberHeldTheOnlyCopy lets a newcomer take the place of an acceptor that, with one other, held the newest change, while the
// third had missed it.
func TestLeavingMemberHeldTheOnlyCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		routers[2].setCut(true)
		routers[0].mustPut(t, 1, 2)
		routers[0].stop()
		routers[2].setCut(false)
		newcomer := fleet.add("d", true)
		newcomer.start(false)
		time.Sleep(2 * settleTime)
		routers[1].stop()
		routers[2].mustRead(t, 2)
		newcomer.mustRead(t, 2)
		newcomer.mustPut(t, 2, 3)
	})
}

// TestHundredsOfChangesThenARestart has one acceptor down during all of them. It catches up in one exchange, however many there were, and
// proposes nothing on what it had.
func TestHundredsOfChangesThenARestart(t *testing.T) {
	const changes = 500
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		routers[2].stop()
		for generation := int64(1); generation < changes; generation++ {
			routers[generation%2].mustPut(t, generation, generation+1)
		}
		routers[2].start(false)
		before := fleet.callsOf(routers[2])
		begin := time.Now()
		routers[2].mustRead(t, changes)
		assert.Assert(t, time.Since(begin) < time.Second, "%v", time.Since(begin))
		assert.Assert(t, fleet.callsOf(routers[2])-before < 30, "%d calls", fleet.callsOf(routers[2])-before)
		_, _, err := routers[2].put(1, 2) // taken long ago, and forgotten
		assert.Assert(t, errors.Is(err, errOtherVersion), "the model refuses by the newest state: %v", err)
		state, err := routers[2].store.Read(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, state.Find(1, changeIDOf(1, 2)), OrderForgotten)
		assert.Equal(t, state.Find(changes-1, changeIDOf(changes-1, changes)), OrderTaken)
		routers[2].mustPut(t, changes, changes+1)
		time.Sleep(settleTime)
		fleet.assertForce(changes + 1)
	})
}

const (
	// manyChanges are missed by a machine, every largeEvery-th of them with a document of largeDocument bytes that can't be packed.
	manyChanges   = 1000
	largeEvery    = 10
	largeDocument = 200 << 10
)

// TestAMachineMissesAThousandChanges, some of them large, and comes back: it reads the newest state and nothing older, within a second, and
// for the bytes of a few states.
func TestAMachineMissesAThousandChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := make([]byte, largeDocument)
		rand.NewChaCha8([32]byte{1}).Read(large)
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		routers[2].stop()
		for generation := int64(1); generation < manyChanges; generation++ {
			document := documentOf(generation + 1)
			if (generation+1)%largeEvery == 0 {
				document = append(document, large...)
			}
			_, err := routers[generation%2].store.Propose(context.Background(), putDocument(generation, generation+1, document))
			assert.NilError(t, err)
		}
		routers[2].start(false)
		begin := time.Now()
		for time.Since(begin) < settleTime {
			if generation, err := routers[2].read(); err == nil {
				assert.Equal(t, generation, int64(manyChanges))
				break
			}
		}
		assert.Assert(t, time.Since(begin) < time.Second, "%v", time.Since(begin))
		received := fleet.receivedBy(routers[2])
		t.Logf("%d bytes received for %d missed changes", received, manyChanges-1)
		assert.Assert(t, received < 8*largeDocument, "%d bytes", received)
		routers[2].mustPut(t, manyChanges, manyChanges+1)
		time.Sleep(settleTime)
		fleet.assertForce(manyChanges + 1)
	})
}

// TestStalledAndRefusingDisksAreSeen has a disk hang in a write, and then refuse one.
func TestStalledAndRefusingDisksAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		watched := routers[2]
		assert.Equal(t, watched.store.WriteUnderWay(), time.Duration(0))
		assert.Assert(t, !watched.store.RefusesWrites())
		goesOn := make(chan struct{})
		watched.disk.Before(func(simdisk.Operation, string) error {
			<-goesOn
			return nil
		})
		routers[0].mustPut(t, 1, 2)
		time.Sleep(5 * time.Second)
		assert.Assert(t, watched.store.WriteUnderWay() > 4*time.Second, "%v", watched.store.WriteUnderWay())
		close(goesOn)
		time.Sleep(time.Second)
		assert.Equal(t, watched.store.WriteUnderWay(), time.Duration(0))
		watched.disk.Before(nil)
		watched.disk.SetCapacity(1)
		routers[0].mustPut(t, 2, 3)
		time.Sleep(time.Second)
		assert.Assert(t, watched.store.RefusesWrites())
		watched.disk.SetCapacity(0)
		routers[0].mustPut(t, 3, 4)
		time.Sleep(time.Second)
		assert.Assert(t, !watched.store.RefusesWrites())
	})
}

// TestBallotsAreNotSharedByProcesses of one machine: an answer to the one before a restart must not count for the one after it.
func TestBallotsAreNotSharedByProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		router := fleet.startAll(true, "a")[0]
		first := router.store.nextBallot(false)
		router.stop()
		router.start(false)
		assert.Assert(t, router.store.nextBallot(false) != first)
	})
}
