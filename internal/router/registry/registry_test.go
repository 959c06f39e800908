package registry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/softstate"
)

const (
	ready    = protocol.StateReady
	draining = protocol.StateDraining
)

// TestRoutersAgreeOnLossyNetwork registers, moves, drains and removes instances while records are lost, duplicated and
// delayed.
func TestRoutersAgreeOnLossyNetwork(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "r-1", "r-2", "r-3", "r-4")
				f.setNetwork(0.5, 2*time.Second)
				f.simulateInstances(seed, 30)
				f.setNetwork(0, 0)
				time.Sleep(20 * exchangeInterval)
				f.assertAgreement()
			})
		})
	}
}

// simulateInstances sends heartbeats of five instances, each to a router that changes from time to time.
func (f *fleet) simulateInstances(seed, steps int) {
	for step := range steps {
		for i := range 5 {
			router := f.routers[(seed+i+step/(2+i))%len(f.routers)]
			state := ready
			if step > 20 && i%2 == 0 {
				state = draining
			}
			id := fmt.Sprint("i-", i)
			switch {
			case i == 4 && step == 25:
				_ = router.registry.Deregister(f.t.Context(), id)
			case i == 3 && step > 10 && step < 18: // the instance is silent
			default:
				router.sendHeartbeat(id, state, int64(step))
			}
		}
		time.Sleep(testHeartbeat)
	}
}

func TestDrainingIsPublishedBeforeItIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2")
		first := f.routers[0]
		first.sendHeartbeat("i-1", ready, 1)
		first.sendHeartbeat("i-1", draining, 2)
		record, count := first.lastPublished("i-1")
		assert.Equal(t, count, 2)
		assert.Equal(t, record.Version, recordVersion(instances.AliveVersion(2)))
		assert.Equal(t, first.state("i-1"), draining)
		time.Sleep(time.Second)
		f.assertAll("i-1", draining)
	})
}

// TestNextHeartbeatRepairsDrainingLostWithItsRouter loses a router that has acknowledged a draining instance before it
// could publish that. The next heartbeat, at any router, must publish it.
func TestNextHeartbeatRepairsDrainingLostWithItsRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2", "r-3")
		first, second, third := f.routers[0], f.routers[1], f.routers[2]
		first.sendHeartbeat("i-1", ready, 1)
		time.Sleep(time.Second)
		first.setPartitioned(true)
		first.sendHeartbeat("i-1", draining, 2)
		time.Sleep(testHeartbeat)
		synctest.Wait()
		assert.Equal(t, third.state("i-1"), ready)
		second.sendHeartbeat("i-1", draining, 3)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, second.state("i-1"), draining)
		assert.Equal(t, third.state("i-1"), draining)
	})
}

func TestUnchangedHeartbeatsAreNotPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2")
		for seq := range 20 {
			f.routers[0].sendHeartbeat("i-1", ready, int64(seq))
			time.Sleep(testHeartbeat)
		}
		_, count := f.routers[0].lastPublished("i-1")
		assert.Equal(t, count, 1)
		f.assertAll("i-1", ready)
	})
}

func TestSilentInstanceIsRemovedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2")
		f.routers[1].sendHeartbeat("i-1", ready, 1)
		time.Sleep(testHeartbeat * 3)
		f.assertAll("i-1", ready)
		time.Sleep(testSilenceTimeout - testHeartbeat*3)
		f.assertAll("i-1", "")
	})
}

// skipTime advances the router's clock as if the process had been suspended.
func (r *router) skipTime(span time.Duration) {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	r.registry.startedAt = r.registry.startedAt.Add(-span)
}

func TestStalledRouterDoesNotRemoveItsInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2")
		first := f.routers[0]
		first.sendHeartbeat("i-1", ready, 1)
		time.Sleep(testHeartbeat)
		first.skipTime(time.Minute)
		time.Sleep(testHeartbeat)
		f.assertAll("i-1", ready)
		first.sendHeartbeat("i-1", ready, 2)
		time.Sleep(2 * testHeartbeat)
		f.assertAll("i-1", ready)
		time.Sleep(testSilenceTimeout)
		f.assertAll("i-1", "")
	})
}

func TestMovedInstanceIsHeldByItsNewRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2", "r-3")
		for seq := range int64(10) {
			holder := f.routers[0]
			if seq >= 3 {
				holder = f.routers[2]
			}
			holder.sendHeartbeat("i-1", ready, seq)
			time.Sleep(testHeartbeat)
			f.assertAll("i-1", ready)
		}
		for _, r := range f.routers {
			assert.Equal(t, r.holder("i-1"), "r-3")
		}
		time.Sleep(testSilenceTimeout)
		f.assertAll("i-1", "")
	})
}

// TestHolderRepublishesWronglyExpiredInstance has a router that wrongly considers the holder lost expire the instance.
// The holder, which still receives heartbeats, must publish it again.
func TestHolderRepublishesWronglyExpiredInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2", "r-3")
		deputy, holder := f.routers[0], f.routers[1]
		deputy.setLive("r-1", "r-3")
		removed := false
		for seq := range int64(10) {
			holder.sendHeartbeat("i-1", ready, seq)
			time.Sleep(testHeartbeat)
			record, count := deputy.lastPublished("i-1")
			removed = removed || count > 0 && record.Removed
		}
		assert.Assert(t, removed)
		f.assertAll("i-1", ready)
	})
}

// TestInstancesOutliveTheirRouter checks that the instances of a lost router have the full silence timeout to send a
// heartbeat to another router.
func TestInstancesOutliveTheirRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2", "r-3")
		lost := f.routers[2]
		for seq := range int64(20) {
			lost.sendHeartbeat("i-1", ready, seq)
			lost.sendHeartbeat("i-2", ready, seq)
			time.Sleep(testHeartbeat)
		}
		lost.setPartitioned(true)
		f.routers[0].setLive("r-1", "r-2")
		f.routers[1].setLive("r-1", "r-2")
		time.Sleep(2 * testHeartbeat)
		synctest.Wait()
		assert.Equal(t, f.routers[1].state("i-1"), ready)
		f.routers[1].sendHeartbeat("i-1", ready, 20)
		time.Sleep(2 * testHeartbeat)
		synctest.Wait()
		assert.Equal(t, f.routers[1].state("i-1"), ready)
		assert.Equal(t, f.routers[1].state("i-2"), "") // it has sent no heartbeat to another router
	})
}

// TestLateHeartbeatAtAnotherRouterDoesNotRemoveInstance checks that a delayed heartbeat does not make another router
// the holder of an instance that continues elsewhere: that router would remove it as silent.
func TestLateHeartbeatAtAnotherRouterDoesNotRemoveInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2", "r-3")
		for seq := range int64(20) {
			f.routers[0].sendHeartbeat("i-1", ready, seq)
			if seq == 10 {
				f.routers[1].sendHeartbeat("i-1", ready, 5)
			}
			time.Sleep(testHeartbeat)
			f.assertAll("i-1", ready)
		}
		assert.Equal(t, f.routers[2].holder("i-1"), "r-1")
		record, _ := f.routers[1].lastPublished("i-1")
		assert.Assert(t, !record.Removed)
	})
}

func TestLateHeartbeatDoesNotReviveDeregisteredInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2")
		f.routers[0].sendHeartbeat("i-1", ready, 1)
		time.Sleep(time.Second)
		assert.NilError(t, f.routers[1].registry.Deregister(t.Context(), "i-1"))
		assert.Equal(t, f.routers[1].state("i-1"), "")
		f.routers[0].sendHeartbeat("i-1", ready, 2) // delayed behind the deregistration
		time.Sleep(time.Second)
		f.assertAll("i-1", "")
	})
}

func TestUndecodableRecordIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1")
		f.routers[0].sendHeartbeat("i-1", ready, 1)
		record, _ := f.routers[0].lastPublished("i-1")
		record.Version.Epoch++
		record.Payload = []byte{0xc1}
		f.routers[0].registry.HandleRecord(record)
		assert.Equal(t, f.routers[0].state("i-1"), ready)
	})
}

// TestDrainingIsAcknowledgedOnlyWhenConfirmed checks that confirmation is requested until it succeeds, and not again
// for later heartbeats and the deregistration.
func TestDrainingIsAcknowledgedOnlyWhenConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2")
		registry := f.routers[0].registry
		confirmCalls, confirmErr := 0, errPartitioned
		registry.options.Confirm = func(_ context.Context, id softstate.ID) error {
			assert.Equal(t, id, softstate.ID{Kind: testKind, Key: "i-1"})
			confirmCalls++
			return confirmErr
		}
		send := func(state string, seq int64) error {
			heartbeat := protocol.Heartbeat{Backend: "b", Address: "10.0.0.1:80", State: state, Seq: seq}
			return registry.Heartbeat(t.Context(), "i-1", &heartbeat)
		}
		assert.NilError(t, send(ready, 1))
		assert.Equal(t, confirmCalls, 0, "a ready instance needs no confirmation")
		assert.ErrorIs(t, send(draining, 2), errPartitioned)
		assert.ErrorIs(t, send(draining, 3), errPartitioned)
		assert.Equal(t, confirmCalls, 2)
		confirmErr = nil
		assert.NilError(t, send(draining, 4))
		assert.NilError(t, send(draining, 5))
		assert.NilError(t, registry.Deregister(t.Context(), "i-1"))
		assert.Equal(t, confirmCalls, 3, "the draining was already confirmed")
		assert.NilError(t, registry.Deregister(t.Context(), "i-1"))
	})
}

// TestDeregistrationWithoutDrainingIsConfirmed checks that an instance that deregisters without draining first needs a
// confirmation too.
func TestDeregistrationWithoutDrainingIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1")
		registry := f.routers[0].registry
		registry.options.Confirm = func(context.Context, softstate.ID) error { return errPartitioned }
		f.routers[0].sendHeartbeat("i-1", ready, 1)
		assert.ErrorIs(t, registry.Deregister(t.Context(), "i-1"), errPartitioned)
	})
}

// TestSecondDrainingIsConfirmedAgain checks that an instance that becomes ready again needs a new confirmation when it
// drains for the second time.
func TestSecondDrainingIsConfirmedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1")
		confirmCalls := 0
		f.routers[0].registry.options.Confirm = func(context.Context, softstate.ID) error {
			confirmCalls++
			return nil
		}
		for seq, state := range []string{ready, draining, ready, draining} {
			f.routers[0].sendHeartbeat("i-1", state, int64(seq))
		}
		assert.Equal(t, confirmCalls, 2)
	})
}

// TestDepartureAfterReturnAtAnotherRouterIsConfirmed guards against an acknowledgement that rests on an earlier
// departure: the instance has become ready again at another router since.
func TestDepartureAfterReturnAtAnotherRouterIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1", "r-2")
		first, second := f.routers[0], f.routers[1]
		confirmCalls := 0
		first.registry.options.Confirm = func(context.Context, softstate.ID) error {
			confirmCalls++
			return nil
		}
		first.sendHeartbeat("i-1", draining, 1)
		assert.Equal(t, confirmCalls, 1)
		second.sendHeartbeat("i-1", ready, 2)
		time.Sleep(time.Second)
		f.assertAll("i-1", ready)
		assert.NilError(t, first.registry.Deregister(t.Context(), "i-1"))
		assert.Equal(t, confirmCalls, 2)
	})
}

var errPartitioned = errors.New("partitioned")

// TestIsDeparture checks which records an acknowledgement to a leaving instance rests on.
func TestIsDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "r-1")
		first := f.routers[0]
		isDeparture := func() bool {
			record, _ := first.lastPublished("i-1")
			return IsDeparture(record)
		}
		first.sendHeartbeat("i-1", ready, 1)
		assert.Assert(t, !isDeparture(), "ready")
		time.Sleep(testSilenceTimeout)
		assert.Assert(t, !isDeparture(), "expired")
		first.sendHeartbeat("i-1", draining, 2)
		assert.Assert(t, isDeparture(), "draining")
		first.sendHeartbeat("i-1", ready, 3)
		assert.Assert(t, !isDeparture(), "ready again")
		assert.NilError(t, first.registry.Deregister(t.Context(), "i-1"))
		assert.Assert(t, isDeparture(), "deregistered")
		assert.Assert(t, !IsDeparture(softstate.Record{Payload: []byte("\xff")}), "unreadable")
	})
}
