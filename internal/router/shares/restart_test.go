package shares

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxElectionAfterRestart is the time within which a coordinator must be elected after all routers have restarted.
const maxElectionAfterRestart = 300 * time.Millisecond

// maxElectionAfterRemoval is the time within which a coordinator that is no longer a grantor must be replaced. It is less than
// the duration of a grant.
const maxElectionAfterRemoval = maxLeasePause + 300*time.Millisecond

// TestCoordinatorSoonAfterFullRestart checks that after a restart of all routers a coordinator is elected before the grants that
// the grantors have forgotten would have expired.
func TestCoordinatorSoonAfterFullRestart(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		f.stopAll()
		for i := range testRouters {
			f.start(address(i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(maxElectionAfterRestart)
		first := f.coordinator(t)
		assert.Assert(t, first != nil)
		time.Sleep(2 * leaseDuration)
		assert.Equal(t, f.coordinator(t), first)
	})
}

// TestRemovedCoordinatorReleasesLease checks that a coordinator that is no longer a grantor releases its lease, so that another
// router takes over before the grants expire.
func TestRemovedCoordinatorReleasesLease(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		first := f.coordinator(t)
		f.replaceGrantor(first.address, address(testGrantors))
		time.Sleep(maxElectionAfterRemoval)
		second := f.coordinator(t)
		assert.Assert(t, second != nil && second != first)
	})
}

// TestCoordinatorSurvivesGrantorReplacement checks that the coordinator keeps its lease when another grantor restarts and is
// replaced.
func TestCoordinatorSurvivesGrantorReplacement(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		first := f.coordinator(t)
		term := first.term()
		for _, r := range f.all()[:testGrantors] {
			if r == first {
				continue
			}
			r.stop()
			<-r.stopped
			f.start(r.address)
			f.replaceGrantor(r.address, address(testGrantors))
			break
		}
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, f.coordinator(t), first)
		}
		assert.Equal(t, first.term(), term)
	})
}

// TestRestartedRoutersDoNotUseWholeFleetQuota restarts three routers while a tenant is at its limit. For 700 ms they know of no other
// router and do not reach the coordinator. A router that counted only itself would use the quota of the whole fleet.
func TestRestartedRoutersDoNotUseWholeFleetQuota(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		f.load(5*testLimit.PerSecond, 8*time.Second)
		for _, r := range f.all()[5:8] {
			r.stop()
			<-r.stopped
			f.setNewcomer(r.address, true)
			f.setIsolated(r.address, true)
			f.start(r.address)
		}
		admitted := f.load(5*testLimit.PerSecond, 700*time.Millisecond)
		for _, r := range f.all() {
			f.setIsolated(r.address, false)
			f.setNewcomer(r.address, false)
		}
		const span = 8 * time.Second
		admitted += f.load(5*testLimit.PerSecond, span-700*time.Millisecond)
		share := admitted / (testLimit.PerSecond * span.Seconds())
		t.Logf("admitted %.3f of the limit", share)
		assert.Assert(t, share <= 1.05, "admitted %.3f of the limit", share)
	})
}
