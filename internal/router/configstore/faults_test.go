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

// isolationTime is how long a machine stays isolated in these tests.
const isolationTime = 20 * time.Second

// assertNoQuorum checks that a change and a read at a router fail with ErrOutcomeUnknown: the change is neither
// confirmed nor rejected.
func (router *router) assertNoQuorum(base, generation int64) {
	t := router.fleet.t
	t.Helper()
	_, _, err := router.put(base, generation)
	assert.ErrorIs(t, err, ErrOutcomeUnknown, "generation %d on %d at %s", generation, base, router.address)
	_, err = router.read()
	assert.ErrorIs(t, err, ErrOutcomeUnknown, "read at %s", router.address)
}

// TestIsolatedRouter isolates an acceptor, and in a second case a router without a disk, for twenty seconds, while
// the others change the configuration and replace silent voters. The isolated router must not answer reads or reject
// changes from its old state, and must not confirm changes.
func TestIsolatedRouter(t *testing.T) {
	for _, index := range []int{0, 4} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleet(t, "a", "b", "c")
			routers := fleet.startAll(true, "a", "b", "c", "d")
			diskless := fleet.add("x", false)
			diskless.start(true)
			routers = append(routers, diskless)
			routers[1].mustPut(t, 0, 1)
			time.Sleep(settleTime)
			routers[index].setIsolated(true)
			start := time.Now()
			routers[2].mustPut(t, 1, 2)
			for time.Since(start) < isolationTime {
				routers[index].assertNoQuorum(0, 7) // its state has generation 1, on which a change with base 0 would be rejected
				routers[index].assertNoQuorum(1, 8) // its state has generation 1, on which a change with base 1 would be applied
			}
			routers[3].mustPut(t, 2, 3)
			routers[index].setIsolated(false)
			routers[index].mustRead(t, 3)
			_, _, err := routers[index].put(1, 8)
			assert.ErrorIs(t, err, errGenerationMismatch)
			time.Sleep(settleTime)
			fleet.assertGeneration(3)
		})
	}
}

// TestEvenPartition splits four acceptors into two halves, twice. Neither half may confirm a change or answer a read.
// Afterwards, the fleet must continue from the last acknowledged state.
func TestEvenPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c", "d")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		for _, side := range [][]int{{0, 1}, {0, 3}} {
			state, err := routers[2].read()
			assert.NilError(t, err)
			fleet.setPartition(routers, side)
			for _, router := range routers {
				router.assertNoQuorum(state, state+10)
			}
			fleet.setPartition(routers, nil)
			routers[2].mustPut(t, state, state+1)
			time.Sleep(settleTime)
			for _, router := range routers {
				router.mustRead(t, state+1)
			}
		}
		fleet.assertVoters(routers...)
	})
}

// setPartition separates the routers with the given indexes from the others. Without indexes, it removes the partition.
func (fleet *fleet) setPartition(routers []*router, side []int) {
	partition := map[string]bool{}
	for _, index := range side {
		partition[routers[index].address] = true
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.partition = partition
}

// TestMinorityMissesChange isolates two of five acceptors during a change. Then one of the others loses its disk and
// the remaining two lose power, so that for a while only the two outdated acceptors and the empty one run. None of
// them may answer from its state.
func TestMinorityMissesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		fleet.toleratedFailures = 2
		routers := fleet.startAll(true, "a", "b", "c", "d", "e")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(4 * settleTime)
		routers[3].setIsolated(true)
		routers[4].setIsolated(true)
		routers[0].mustPut(t, 1, 2)
		random := rand.New(rand.NewPCG(1, 1))
		routers[0].losePower(random)
		routers[0].replaceDisk()
		routers[1].losePower(random)
		routers[2].losePower(random)
		routers[3].setIsolated(false)
		routers[4].setIsolated(false)
		routers[0].start(false)
		for _, index := range []int{0, 3, 4} {
			routers[index].assertNoQuorum(1, 9)
		}
		routers[1].start(false)
		routers[2].start(false)
		time.Sleep(2 * settleTime)
		for _, router := range routers {
			router.mustRead(t, 2)
		}
	})
}

// TestLossAfterEachReplacement loses machines one after the other, each as soon as the previous one has been
// replaced. Every acknowledged change must be kept, since a majority is always available.
func TestLossAfterEachReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		for round := range 6 {
			generation := int64(round + 1)
			routers[0].stop()
			routers = routers[1:]
			replacement := fleet.add(fmt.Sprintf("n%d", round), true)
			replacement.start(false)
			store := replacement.store
			deadline := time.Now().Add(replacementTime)
			for current := store.Current(); current == nil || current.Set.IsJoint() || !current.Set.HasVoter(store.Identity()); current = store.Current() {
				assert.Assert(t, time.Now().Before(deadline), "round %d: not replaced", round)
				time.Sleep(10 * time.Millisecond)
			}
			routers = append(routers, replacement)
			routers[1].mustPut(t, generation, generation+1)
			replacement.mustRead(t, generation+1)
		}
		fleet.assertVoters(routers...)
	})
}

// replacementTime is how soon a lost acceptor must have been replaced.
const replacementTime = 4 * time.Second

// TestReplacedVoterHeldNewestState replaces a voter that, with only one other, held the newest change; the third had
// missed it. The change must survive the loss of the other one too.
func TestReplacedVoterHeldNewestState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		routers[2].setIsolated(true)
		routers[0].mustPut(t, 1, 2)
		routers[0].stop()
		routers[2].setIsolated(false)
		replacement := fleet.add("d", true)
		replacement.start(false)
		time.Sleep(2 * settleTime)
		routers[1].stop()
		routers[2].mustRead(t, 2)
		replacement.mustRead(t, 2)
		replacement.mustPut(t, 2, 3)
	})
}

// TestCatchUpAfterManyChanges stops one acceptor during hundreds of changes. After its restart it must catch up in
// one exchange with few calls, however many changes there were, and must not propose on top of its old state.
func TestCatchUpAfterManyChanges(t *testing.T) {
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
		start := time.Now()
		routers[2].mustRead(t, changes)
		assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
		assert.Assert(t, fleet.callsOf(routers[2])-before < 30, "%d calls", fleet.callsOf(routers[2])-before)
		_, _, err := routers[2].put(1, 2) // applied long ago, and no longer listed
		assert.Assert(t, errors.Is(err, errGenerationMismatch), "the change must be rejected from the newest state: %v", err)
		state, err := routers[2].store.Read(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, state.ChangeStatus(1, changeIDOf(1, 2)), ChangeForgotten)
		assert.Equal(t, state.ChangeStatus(changes-1, changeIDOf(changes-1, changes)), ChangeApplied)
		routers[2].mustPut(t, changes, changes+1)
		time.Sleep(settleTime)
		fleet.assertGeneration(changes + 1)
	})
}

const (
	// missedChanges are made while a machine is down, every largeDocumentInterval-th of them with a document of more
	// than largeDocumentSize bytes that cannot be compressed.
	missedChanges         = 1000
	largeDocumentInterval = 10
	largeDocumentSize     = 200 << 10
)

// TestCatchUpTransfersFewBytes stops a machine during a thousand changes, some of them with large documents. After
// its restart it must read the newest state and no older one, within a second, and receive no more bytes than a few
// states take.
func TestCatchUpTransfersFewBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := make([]byte, largeDocumentSize)
		rand.NewChaCha8([32]byte{1}).Read(large)
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		routers[2].stop()
		for generation := int64(1); generation < missedChanges; generation++ {
			document := documentOf(generation + 1)
			if (generation+1)%largeDocumentInterval == 0 {
				document = append(document, large...)
			}
			_, err := routers[generation%2].store.Propose(context.Background(), putDocument(generation, generation+1, document))
			assert.NilError(t, err)
		}
		routers[2].start(false)
		start := time.Now()
		for time.Since(start) < settleTime {
			if generation, err := routers[2].read(); err == nil {
				assert.Equal(t, generation, int64(missedChanges))
				break
			}
		}
		assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
		received := fleet.receivedBy(routers[2])
		t.Logf("%d bytes received for %d missed changes", received, missedChanges-1)
		assert.Assert(t, received < 8*largeDocumentSize, "%d bytes", received)
		routers[2].mustPut(t, missedChanges, missedChanges+1)
		time.Sleep(settleTime)
		fleet.assertGeneration(missedChanges + 1)
	})
}

// TestDiskHealthIsReported makes a disk hang in a write, and then fail one. PendingWriteDuration and LastWriteFailed
// must report this.
func TestDiskHealthIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		observed := routers[2]
		time.Sleep(settleTime) // a change is acknowledged by a majority, and the third disk may still write
		assert.Equal(t, observed.store.PendingWriteDuration(), time.Duration(0))
		assert.Assert(t, !observed.store.LastWriteFailed())
		resume := make(chan struct{})
		observed.disk.SetHook(func(simdisk.Operation, string) error {
			<-resume
			return nil
		})
		routers[0].mustPut(t, 1, 2)
		time.Sleep(5 * time.Second)
		assert.Assert(t, observed.store.PendingWriteDuration() > 4*time.Second, "%v", observed.store.PendingWriteDuration())
		close(resume)
		time.Sleep(time.Second)
		assert.Equal(t, observed.store.PendingWriteDuration(), time.Duration(0))
		observed.disk.SetHook(nil)
		observed.disk.SetCapacity(1)
		routers[0].mustPut(t, 2, 3)
		time.Sleep(time.Second)
		assert.Assert(t, observed.store.LastWriteFailed())
		observed.disk.SetCapacity(0)
		routers[0].mustPut(t, 3, 4)
		time.Sleep(time.Second)
		assert.Assert(t, !observed.store.LastWriteFailed())
	})
}

// TestBallotsDifferAcrossRestarts checks that a machine does not reuse a ballot after a restart. Otherwise a reply to
// the earlier process would count for the later one.
func TestBallotsDifferAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		router := fleet.startAll(true, "a")[0]
		first := router.store.nextBallot(false)
		router.stop()
		router.start(false)
		assert.Assert(t, router.store.nextBallot(false) != first)
	})
}
