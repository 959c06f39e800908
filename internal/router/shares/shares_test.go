package shares

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/lease"
	"pewterrudder/internal/router/quota"
	"pewterrudder/internal/router/steadyclock"
)

// settle is by when a fleet has a coordinator after its start.
const settle = 3 * leaseDuration

func TestFleetFindsACoordinator(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		assert.Assert(t, f.coordinator(t) != nil)
		for _, r := range f.all() {
			assert.Assert(t, r.term() > 0, "%s hasn't heard from the coordinator", r.address)
		}
	})
}

func TestHotTenantGetsItsLimit(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		f.load(5*testLimit.PerSecond, 8*time.Second)
		const span = 8 * time.Second
		share := f.load(5*testLimit.PerSecond, span) / (testLimit.PerSecond * span.Seconds())
		t.Logf("admitted %.3f of the limit", share)
		assert.Assert(t, share >= 0.97 && share <= 1.03, "admitted %.3f of the limit", share)
	})
}

func TestCalmTenantIsNeverRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		const span = 8 * time.Second
		asked := 0.5 * testLimit.PerSecond
		share := f.load(asked, span) / (asked * span.Seconds())
		assert.Assert(t, share >= 0.99, "admitted %.3f", share)
	})
}

// TestCoordinatorStops hands the role over at once.
func TestCoordinatorStops(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		first := f.coordinator(t)
		first.stop()
		<-first.stopped
		time.Sleep(leaseDuration)
		second := f.coordinator(t)
		assert.Assert(t, second != nil && second != first)
		time.Sleep(2 * idleEvery)
		for _, r := range f.all() {
			if r != first {
				assert.Equal(t, r.term(), second.term(), "%s doesn't follow the new coordinator", r.address)
			}
		}
	})
}

// TestCoordinatorCutOff loses the role to another router, and limits hold on both sides.
func TestCoordinatorCutOff(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		first := f.coordinator(t)
		f.load(5*testLimit.PerSecond, 8*time.Second)
		f.setCut(first.address, true)
		const span = 6 * time.Second
		share := f.load(5*testLimit.PerSecond, span) / (testLimit.PerSecond * span.Seconds())
		t.Logf("admitted %.3f of the limit", share)
		assert.Assert(t, share >= 0.95 && share <= 1.1, "admitted %.3f of the limit", share)
		second := f.coordinator(t)
		assert.Assert(t, second != nil && second != first)
		for _, r := range f.all() {
			if r != first {
				assert.Equal(t, r.term(), second.term(), "%s doesn't follow the new coordinator", r.address)
			}
		}
		f.setCut(first.address, false)
		f.load(5*testLimit.PerSecond, 2*time.Second)
		share = f.load(5*testLimit.PerSecond, span) / (testLimit.PerSecond * span.Seconds())
		assert.Assert(t, share >= 0.97 && share <= 1.03, "admitted %.3f of the limit after the cut", share)
	})
}

// TestCoordinatorThatSleptHoldsNothing suspends the coordinator's machine for a lease. Its monotonic clock has stood still meanwhile, and
// it is no coordinator any more when it wakes up.
func TestCoordinatorThatSleptHoldsNothing(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		first := f.coordinator(t)
		first.suspend(leaseDuration)
		time.Sleep(steadyclock.SampleEvery)
		assert.Assert(t, !first.holds())
	})
}

// TestSleepCostsNoMoreThanItsTime suspends each machine in turn. The fleet has a coordinator soon, and a calm tenant is served.
func TestSleepCostsNoMoreThanItsTime(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		for _, r := range f.all() {
			r.suspend(time.Minute)
			time.Sleep(2 * leaseDuration)
			assert.Assert(t, f.coordinator(t) != nil, "after the sleep of %s", r.address)
		}
		const span = 8 * time.Second
		asked := 0.5 * testLimit.PerSecond
		share := f.load(asked, span) / (asked * span.Seconds())
		assert.Assert(t, share >= 0.99, "admitted %.3f", share)
	})
}

// TestCoordinatorInHalves cuts six acceptors into two halves, each of the ten ways. The routers that reach both have a coordinator soon.
func TestCoordinatorInHalves(t *testing.T) {
	const acceptors = 6
	for first := 1; first < acceptors; first++ {
		for second := first + 1; second < acceptors; second++ {
			inFleetWith(t, acceptors, func(t *testing.T, f *fleet) {
				time.Sleep(settle)
				f.setHalves([]int{0, first, second})
				time.Sleep(2 * leaseDuration)
				f.load(testLimit.PerSecond, time.Second)
				holder := f.coordinator(t)
				assert.Assert(t, holder != nil, "no coordinator while 0, %d and %d are apart", first, second)
				for _, r := range f.all()[acceptors:] {
					assert.Equal(t, r.term(), holder.term(), "%s while 0, %d and %d are apart", r.address, first, second)
				}
			})
		}
	}
}

// TestFirstRequestCallsForAShare reports a tenant's first request at once, not at the next turn.
func TestFirstRequestCallsForAShare(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		before := f.messages.Load()
		for _, r := range f.all() {
			r.shares.Admit(time.Now(), testTenant, testLimit, 1)
		}
		time.Sleep(urgentGap + 3*testDelay)
		assert.Assert(t, f.messages.Load()-before >= testRouters-1)
	})
}

// TestCheapAtRest counts messages without traffic.
func TestCheapAtRest(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		before := f.messages.Load()
		const span = 60 * time.Second
		time.Sleep(span)
		perRouter := float64(f.messages.Load()-before) / span.Seconds() / testRouters
		t.Logf("%.2f messages a second and router", perRouter)
		assert.Assert(t, perRouter <= 2.2, "%.2f messages", perRouter)
	})
}

// TestAdmitDoesNotWait answers at once while every call hangs.
func TestAdmitDoesNotWait(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for _, r := range f.all() {
			f.setCut(r.address, true)
		}
		time.Sleep(settle)
		r := f.all()[5]
		start := time.Now()
		for range 1000 {
			r.shares.Admit(start, testTenant, testLimit, 1000)
			r.shares.CountRequest(start, "service")
			r.shares.AllowRetry(start, "service")
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

func TestUnlimitedTenant(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		ok, _ := f.all()[0].shares.Admit(time.Now(), "other", quota.Limit{}, 1e12)
		assert.Assert(t, ok)
	})
}

// TestRetriesAreLent lets one router have more retries than its even part.
func TestRetriesAreLent(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(20 * time.Second)
		r := f.all()[6]
		allowed := 0
		for range 100 {
			if r.shares.AllowRetry(time.Now(), "service") {
				allowed++
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("%d retries", allowed)
		assert.Assert(t, allowed >= 15 && allowed <= 41, "%d retries", allowed)
	})
}

func TestMessagesOfOtherVersions(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		shares := f.all()[0].shares
		type later struct {
			request
			Unknown string `msgpack:"unknown"`
		}
		known := request{Version: protocolVersion, Lease: &lease.Request{Holder: "a", Term: 1}}
		data, err := msgpack.Marshal(&later{request: known, Unknown: "x"})
		assert.NilError(t, err)
		_, err = shares.HandleRequest(context.Background(), data)
		assert.NilError(t, err)
		data, err = msgpack.Marshal(&request{Version: protocolVersion + 1, Lookup: true})
		assert.NilError(t, err)
		_, err = shares.HandleRequest(context.Background(), data)
		assert.ErrorContains(t, err, fmt.Sprintf("version %d", protocolVersion+1))
		_, err = shares.HandleRequest(context.Background(), []byte("garbage"))
		assert.ErrorContains(t, err, "decode request")
		data, err = encodeRequest(request{})
		assert.NilError(t, err)
		_, err = shares.HandleRequest(context.Background(), data)
		assert.ErrorIs(t, err, errNoPart)
	})
}

// TestFirstRequestsAwaitAShare waits for the coordinator's answer once, and not beyond the first moments.
func TestFirstRequestsAwaitAShare(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		r := f.all()[0]
		assert.Assert(t, !r.shares.AwaitShare(t.Context(), testTenant), "no request has come yet")
		r.shares.Admit(time.Now(), testTenant, testLimit, 1)
		start := time.Now()
		assert.Assert(t, r.shares.AwaitShare(t.Context(), testTenant))
		assert.Assert(t, time.Since(start) < shareWaitMost, "%v", time.Since(start))
		assert.Assert(t, !r.shares.AwaitShare(t.Context(), testTenant), "the answer has come")
	})
}

// TestAShareThatDoesNotComeIsNotAwaitedForLong gives up on a coordinator out of reach.
func TestAShareThatDoesNotComeIsNotAwaitedForLong(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(settle)
		r := f.all()[0]
		f.setCut(r.address, true)
		r.shares.Admit(time.Now(), testTenant, testLimit, 1)
		start := time.Now()
		assert.Assert(t, r.shares.AwaitShare(t.Context(), testTenant))
		assert.Assert(t, time.Since(start) <= shareWaitMost+shareWaitStep, "%v", time.Since(start))
		assert.Assert(t, !r.shares.AwaitShare(t.Context(), testTenant))
	})
}
