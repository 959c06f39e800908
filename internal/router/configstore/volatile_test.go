package configstore

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/casregister"
)

// volatileAdmissionTime is enough for a fleet without disks to add all its voters.
const volatileAdmissionTime = volatileAdmissionDelay + 10*settleTime

// startVolatile starts count machines with volatile acceptors, the first three of which are the seeds. The machines
// with an index in disks have a disk instead.
func startVolatile(t *testing.T, count int, disks ...int) (*fleet, []*router) {
	t.Helper()
	fleet := newFleet(t, "m0", "m1", "m2")
	fleet.volatile = true
	for i := range count {
		fleet.add(fmt.Sprintf("m%d", i), false)
	}
	for _, index := range disks {
		fleet.routers[index].replaceDisk()
	}
	for _, router := range fleet.routers {
		router.start(true)
	}
	fleet.startMembership()
	return fleet, fleet.routers
}

func (router *router) mustPut(t *testing.T, base, generation int64) {
	t.Helper()
	_, _, err := router.put(base, generation)
	assert.NilError(t, err, "generation %d on %d at %s", generation, base, router.address)
}

func (router *router) mustRead(t *testing.T, generation int64) {
	t.Helper()
	read, err := router.read()
	assert.NilError(t, err, router.address)
	assert.Equal(t, read, generation, router.address)
}

// TestFleetWithoutDisks checks that a fleet without disks keeps a configuration through a rolling restart, and
// accepts the next one.
func TestFleetWithoutDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, routers := startVolatile(t, 7)
		routers[5].mustPut(t, 0, 1)
		time.Sleep(volatileAdmissionTime)
		fleet.assertVoters(routers...)
		for _, router := range routers {
			router.stop()
			time.Sleep(500 * time.Millisecond)
			router.start(false)
			time.Sleep(settleTime)
		}
		fleet.assertVoters(routers...)
		for _, router := range routers {
			router.mustRead(t, 1)
		}
		routers[0].mustPut(t, 1, 2)
		time.Sleep(settleTime)
		fleet.assertGeneration(2)
	})
}

// TestFleetWithoutDisksLosesTwo loses two machines for good, the second after the first was removed from the set.
// Acknowledged changes must be kept.
func TestFleetWithoutDisksLosesTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, routers := startVolatile(t, 5)
		time.Sleep(volatileAdmissionTime)
		routers[4].mustPut(t, 0, 1)
		routers[0].stop()
		time.Sleep(removeAfter + settleTime)
		routers[1].stop()
		routers[3].mustPut(t, 1, 2)
		for _, router := range routers[2:] {
			router.mustRead(t, 2)
		}
	})
}

// TestVolatileAcceptorGetsNewIdentity restarts a machine with a volatile acceptor. The new process must be another
// acceptor, so that no vote of the earlier one counts as its own.
func TestVolatileAcceptorGetsNewIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, routers := startVolatile(t, 3)
		before := routers[0].store.Identity()
		assert.Equal(t, before, casregister.AcceptorID("m0"), "the first set names the seeds by their addresses")
		routers[0].mustPut(t, 0, 1)
		routers[0].stop()
		routers[0].start(false)
		after := routers[0].store.Identity()
		assert.Assert(t, after != before)
		time.Sleep(settleTime)
		voters := routers[1].store.Current().Set
		assert.Assert(t, voters.HasVoter(after) && !voters.HasVoter(before))
	})
}

// TestSingleDiskHoldsRegister has a single machine with a disk, a seed or not. It must become the only voter, so that a
// power loss of all machines loses nothing.
func TestSingleDiskHoldsRegister(t *testing.T) {
	for _, index := range []int{1, 4} {
		synctest.Test(t, func(t *testing.T) {
			fleet, routers := startVolatile(t, 6, index)
			routers[0].mustPut(t, 0, 1)
			time.Sleep(volatileAdmissionTime)
			fleet.assertVoters(routers[index])
			routers[3].mustPut(t, 1, 2)
			random := rand.New(rand.NewPCG(uint64(index), 1))
			for _, router := range routers {
				router.losePower(random)
			}
			for _, router := range routers {
				router.start(false)
			}
			time.Sleep(settleTime)
			routers[5].mustRead(t, 2)
			fleet.assertVoters(routers[index])
		})
	}
}

// TestAcceptorsWithDisksReplaceVolatileOnes checks that machines with a disk replace seeds without one as voters.
func TestAcceptorsWithDisksReplaceVolatileOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, routers := startVolatile(t, 8, 4, 5, 6)
		routers[7].mustPut(t, 0, 1)
		time.Sleep(volatileAdmissionTime)
		fleet.assertVoters(routers[4], routers[5], routers[6])
		routers[0].mustRead(t, 1)
	})
}
