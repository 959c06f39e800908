package shares

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/transport"
)

// cutFromCore cuts the coordinator off from the other acceptors alone, and returns it.
func cutFromCore(t *testing.T, f *fleet) *router {
	first := f.coordinator(t)
	for i := range f.voters {
		if address(i) == first.address {
			f.setHalves([]int{i})
		}
	}
	return first
}

// TestCoordinatorCutOffFromTheCoreGoesOn cuts the coordinator off from the other acceptors for a while. It stays the coordinator, and all
// that a tenant is owed is admitted, though it asks for its whole limit.
func TestCoordinatorCutOffFromTheCoreGoesOn(t *testing.T) {
	for _, acceptors := range []int{3, 5} {
		inFleetWith(t, acceptors, func(t *testing.T, f *fleet) {
			f.relayBy()
			time.Sleep(settle)
			f.load(testLimit.PerSecond, 4*time.Second)
			first := cutFromCore(t, f)
			term := first.term()
			const span = 6 * time.Second
			share := f.load(testLimit.PerSecond, span) / (testLimit.PerSecond * span.Seconds())
			t.Logf("admitted %.4f of what is owed, %d acceptors", share, acceptors)
			assert.Assert(t, share >= 0.999, "admitted %.4f", share)
			assert.Assert(t, f.coordinator(t) == first)
			for _, r := range f.all() {
				assert.Equal(t, r.term(), term, "%s", r.address)
			}
		})
	}
}

// TestNoRelaysReachACoordinatorThatIsCutOffFromAll has another router take over from a coordinator that nobody reaches.
func TestNoRelaysReachACoordinatorThatIsCutOffFromAll(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.relayBy()
		time.Sleep(settle)
		first := f.coordinator(t)
		f.setCut(first.address, true)
		time.Sleep(2 * leaseDuration)
		second := f.coordinator(t)
		assert.Assert(t, second != nil && second != first)
	})
}

// TestHalvesOfTheCoreHaveOneCoordinator cuts the acceptors into two halves in each way, while the other routers reach both: the fleet
// keeps its coordinator.
func TestHalvesOfTheCoreHaveOneCoordinator(t *testing.T) {
	const acceptors = 6
	for first := 1; first < acceptors; first++ {
		for second := first + 1; second < acceptors; second++ {
			inFleetWith(t, acceptors, func(t *testing.T, f *fleet) {
				f.relayBy()
				time.Sleep(settle)
				before := f.coordinator(t)
				f.setHalves([]int{0, first, second})
				for range 40 {
					time.Sleep(leaseDuration / 10)
					assert.Assert(t, f.coordinator(t) == before, "while 0, %d and %d are apart", first, second)
				}
			})
		}
	}
}

// way is a network of one router whose calls go as a test says.
type way func(ctx context.Context, to string, data []byte) ([]byte, error)

func (w way) Call(ctx context.Context, to string, data []byte) ([]byte, error) {
	return w(ctx, to, data)
}

const (
	testTarget = "target:1"
	testRelay  = "relay:1"
)

// alone returns the shares of a router whose network is given, with two routers to relay by.
func alone(network way) *Shares {
	return New(Options{Address: address(0), Caller: network, Relays: func() []string { return []string{testRelay, testTarget, address(0)} },
		Grantors: func() (voters, previous []string) { return nil, nil }, Routers: func() FleetSize { return FleetSize{} }})
}

// TestRelayIsAskedOnlyInSilence plays the ends of a direct call.
func TestRelayIsAskedOnlyInSilence(t *testing.T) {
	silence := func(ctx context.Context) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for name, c := range map[string]struct {
		direct  func(ctx context.Context) ([]byte, error)
		relayed bool
		after   time.Duration
	}{
		"answered": {direct: func(context.Context) ([]byte, error) { return []byte("direct"), nil }},
		"refused":  {direct: func(context.Context) ([]byte, error) { return nil, errors.WithStack(transport.ErrRefused) }},
		"failed":   {direct: func(context.Context) ([]byte, error) { return nil, &transport.RemoteError{Message: "no"} }},
		"out of reach": {
			direct:  func(context.Context) ([]byte, error) { return nil, errors.WithStack(transport.ErrUnreachable) },
			relayed: true,
		},
		"silent": {direct: silence, relayed: true, after: relayAfter},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked []string
				s := alone(func(ctx context.Context, to string, data []byte) ([]byte, error) {
					if to == testTarget {
						return c.direct(ctx)
					}
					asked = append(asked, to)
					message, err := decodeRequest(data)
					assert.NilError(t, err)
					assert.Equal(t, message.Relay.To, testTarget)
					assert.Equal(t, string(message.Relay.Body), "message")
					return []byte("relayed"), nil
				})
				begin := time.Now()
				reply, err := s.deliver(t.Context(), testTarget, []byte("message"))
				assert.Equal(t, time.Since(begin), c.after)
				if !c.relayed {
					assert.Equal(t, len(asked), 0)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, string(reply), "relayed")
				assert.DeepEqual(t, asked, []string{testRelay})
			})
		})
	}
}

// TestDetourIsTakenAtOnceUntilTheDirectWayIsBack sends to a router that answers by way of another alone, and directly again later.
func TestDetourIsTakenAtOnceUntilTheDirectWayIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isCut, relayed := true, 0
		s := alone(func(ctx context.Context, to string, _ []byte) ([]byte, error) {
			if to == testTarget && isCut {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if to == testTarget {
				return []byte("direct"), nil
			}
			relayed++
			return []byte("relayed"), wait(ctx, testDelay)
		})
		send := func() (reply string, took time.Duration) {
			begin := time.Now()
			data, err := s.deliver(t.Context(), testTarget, nil)
			assert.NilError(t, err)
			synctest.Wait()
			return string(data), time.Since(begin)
		}
		_, took := send()
		assert.Equal(t, took, relayAfter+testDelay)
		reply, took := send()
		assert.Equal(t, reply, "relayed")
		assert.Equal(t, took, testDelay)
		isCut = false
		reply, _ = send()
		assert.Equal(t, reply, "direct")
		before := relayed
		reply, _ = send()
		assert.Equal(t, reply, "direct")
		assert.Equal(t, relayed, before, "the detour is not needed any more")
	})
}

// TestDeliveryEndsWithItsContext waits no longer than it is told where nobody answers.
func TestDeliveryEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		s := alone(func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
			calls++
			<-ctx.Done()
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
		defer cancel()
		begin := time.Now()
		_, err := s.deliver(ctx, testTarget, nil)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(begin), exchangeTimeout)
		assert.Equal(t, calls, 2, "the message, and its copy by way of the one relay")
	})
}

// TestMessageIsRelayedOnce refuses a message whose receiver would have to relay it again.
func TestMessageIsRelayedOnce(t *testing.T) {
	s := alone(func(context.Context, string, []byte) ([]byte, error) {
		t.Error("it goes on")
		return nil, nil
	})
	inner, err := encodeRequest(request{Relay: &relayed{To: testTarget}})
	assert.NilError(t, err)
	outer, err := encodeRequest(request{Relay: &relayed{To: testTarget, Body: inner}})
	assert.NilError(t, err)
	_, err = s.HandleRequest(t.Context(), outer)
	assert.ErrorIs(t, err, errRelayTwice)
}
