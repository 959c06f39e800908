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

// electionTime is the time by which a fleet that has just started has a coordinator.
const electionTime = 3 * leaseDuration

func TestFleetElectsCoordinator(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		assert.Assert(t, f.coordinator(t) != nil)
		for _, r := range f.all() {
			assert.Assert(t, r.term() > 0, "%s has no answer from the coordinator", r.address)
		}
	})
}

func TestOverloadedTenantGetsItsLimit(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		f.load(5*testLimit.PerSecond, 8*time.Second)
		const span = 8 * time.Second
		share := f.load(5*testLimit.PerSecond, span) / (testLimit.PerSecond * span.Seconds())
		t.Logf("admitted %.3f of the limit", share)
		assert.Assert(t, share >= 0.97 && share <= 1.03, "admitted %.3f of the limit", share)
	})
}

func TestTenantBelowLimitIsNotRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		const span = 8 * time.Second
		asked := 0.5 * testLimit.PerSecond
		share := f.load(asked, span) / (asked * span.Seconds())
		assert.Assert(t, share >= 0.99, "admitted %.3f", share)
	})
}

// TestStoppedCoordinatorHandsOver checks that a coordinator that stops is replaced within one lease duration.
func TestStoppedCoordinatorHandsOver(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		first := f.coordinator(t)
		first.stop()
		<-first.stopped
		time.Sleep(leaseDuration)
		second := f.coordinator(t)
		assert.Assert(t, second != nil && second != first)
		time.Sleep(2 * idleExchangeInterval)
		for _, r := range f.all() {
			if r != first {
				assert.Equal(t, r.term(), second.term(), "%s doesn't follow the new coordinator", r.address)
			}
		}
	})
}

// TestLimitHoldsWhileCoordinatorIsIsolated isolates the coordinator. Another router must take over, and the tenant's limit must
// hold meanwhile and after the coordinator is connected again.
func TestLimitHoldsWhileCoordinatorIsIsolated(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		first := f.coordinator(t)
		f.load(5*testLimit.PerSecond, 8*time.Second)
		f.setIsolated(first.address, true)
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
		f.setIsolated(first.address, false)
		f.load(5*testLimit.PerSecond, 2*time.Second)
		share = f.load(5*testLimit.PerSecond, span) / (testLimit.PerSecond * span.Seconds())
		assert.Assert(t, share >= 0.97 && share <= 1.03, "admitted %.3f of the limit after the cut", share)
	})
}

// TestSuspendedCoordinatorLosesLease suspends the coordinator's machine for one lease duration. Its monotonic clock stands still
// meanwhile, and yet it must not consider itself the coordinator after the suspension.
func TestSuspendedCoordinatorLosesLease(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		first := f.coordinator(t)
		first.suspend(leaseDuration)
		time.Sleep(steadyclock.SampleEvery)
		assert.Assert(t, !first.holds())
	})
}

// TestFleetRecoversFromSuspension suspends each machine in turn. Each time the fleet must have a coordinator again within two lease
// durations, and afterwards a tenant below its limit must not be refused.
func TestFleetRecoversFromSuspension(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		for _, r := range f.all() {
			r.suspend(time.Minute)
			time.Sleep(2 * leaseDuration)
			assert.Assert(t, f.coordinator(t) != nil, "after the suspension of %s", r.address)
		}
		const span = 8 * time.Second
		asked := 0.5 * testLimit.PerSecond
		share := f.load(asked, span) / (asked * span.Seconds())
		assert.Assert(t, share >= 0.99, "admitted %.3f", share)
	})
}

// TestSplitAcceptorsElectCoordinator partitions six acceptors into two halves in each of the ten ways, without relays. After
// two lease durations and a second of traffic, the routers that reach both halves must follow one coordinator.
func TestSplitAcceptorsElectCoordinator(t *testing.T) {
	const acceptors = 6
	for first := 1; first < acceptors; first++ {
		for second := first + 1; second < acceptors; second++ {
			inFleetWith(t, acceptors, func(t *testing.T, f *fleet) {
				time.Sleep(electionTime)
				f.partition([]int{0, first, second})
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

// TestFirstRequestTriggersExchange checks that a tenant's first request is reported at once, not with the next regular report.
func TestFirstRequestTriggersExchange(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		before := f.messages.Load()
		for _, r := range f.all() {
			r.shares.Admit(time.Now(), testTenant, testLimit, 1)
		}
		time.Sleep(minExchangeInterval + 3*testDelay)
		assert.Assert(t, f.messages.Load()-before >= testRouters-1)
	})
}

// TestMessageRateWithoutTraffic bounds the number of messages that routers send while there is no traffic.
func TestMessageRateWithoutTraffic(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		before := f.messages.Load()
		const span = 60 * time.Second
		time.Sleep(span)
		perRouter := float64(f.messages.Load()-before) / span.Seconds() / testRouters
		t.Logf("%.2f messages per second and router", perRouter)
		assert.Assert(t, perRouter <= 2.2, "%.2f messages per second and router", perRouter)
	})
}

// TestAdmitDoesNotBlock checks that Admit, CountRequest and AllowRetry return at once while every call between routers hangs.
func TestAdmitDoesNotBlock(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for _, r := range f.all() {
			f.setIsolated(r.address, true)
		}
		time.Sleep(electionTime)
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

func TestUnlimitedTenantIsAdmitted(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		ok, _ := f.all()[0].shares.Admit(time.Now(), "other", quota.Limit{}, 1e12)
		assert.Assert(t, ok)
	})
}

// TestRouterBorrowsRetries checks that one router gets more retries than its even share while the others need none.
func TestRouterBorrowsRetries(t *testing.T) {
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

func TestMessageVersionCompatibility(t *testing.T) {
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
		data, err = msgpack.Marshal(&request{Version: protocolVersion + 1, FindCoordinator: true})
		assert.NilError(t, err)
		_, err = shares.HandleRequest(context.Background(), data)
		assert.ErrorContains(t, err, fmt.Sprintf("version %d", protocolVersion+1))
		_, err = shares.HandleRequest(context.Background(), []byte("garbage"))
		assert.ErrorContains(t, err, "decode request")
		data, err = encodeRequest(request{})
		assert.NilError(t, err)
		_, err = shares.HandleRequest(context.Background(), data)
		assert.ErrorIs(t, err, errUnknownRequest)
	})
}

// TestAwaitShareWaitsForFirstAnswer checks that AwaitShare waits for the first answer about a tenant, and not again after it.
func TestAwaitShareWaitsForFirstAnswer(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		r := f.all()[0]
		assert.Assert(t, !r.shares.AwaitShare(t.Context(), testTenant), "waits before the first request")
		r.shares.Admit(time.Now(), testTenant, testLimit, 1)
		start := time.Now()
		assert.Assert(t, r.shares.AwaitShare(t.Context(), testTenant))
		assert.Assert(t, time.Since(start) < maxShareWait, "%v", time.Since(start))
		assert.Assert(t, !r.shares.AwaitShare(t.Context(), testTenant), "waits after the answer")
	})
}

// TestAwaitShareTimesOut checks that AwaitShare gives up when the coordinator is unreachable.
func TestAwaitShareTimesOut(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(electionTime)
		r := f.all()[0]
		f.setIsolated(r.address, true)
		r.shares.Admit(time.Now(), testTenant, testLimit, 1)
		start := time.Now()
		assert.Assert(t, r.shares.AwaitShare(t.Context(), testTenant))
		assert.Assert(t, time.Since(start) <= maxShareWait+shareWaitInterval, "%v", time.Since(start))
		assert.Assert(t, !r.shares.AwaitShare(t.Context(), testTenant))
	})
}
