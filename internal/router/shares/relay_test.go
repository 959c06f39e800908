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

// partitionCoordinator separates the coordinator from the other acceptors only, and returns it.
func partitionCoordinator(t *testing.T, f *fleet) *router {
	first := f.coordinator(t)
	for i := range f.voters {
		if address(i) == first.address {
			f.partition([]int{i})
		}
	}
	return first
}

// TestPartitionedCoordinatorKeepsLeaseThroughRelays separates the coordinator from the other acceptors. It must remain the
// coordinator in the same term, and a tenant that uses its whole limit must not be refused.
func TestPartitionedCoordinatorKeepsLeaseThroughRelays(t *testing.T) {
	for _, acceptors := range []int{3, 5} {
		inFleetWith(t, acceptors, func(t *testing.T, f *fleet) {
			f.enableRelays()
			time.Sleep(electionTime)
			f.load(testLimit.PerSecond, 4*time.Second)
			first := partitionCoordinator(t, f)
			term := first.term()
			const span = 6 * time.Second
			share := f.load(testLimit.PerSecond, span) / (testLimit.PerSecond * span.Seconds())
			t.Logf("admitted %.4f of the limit, %d acceptors", share, acceptors)
			assert.Assert(t, share >= 0.999, "admitted %.4f", share)
			assert.Assert(t, f.coordinator(t) == first)
			for _, r := range f.all() {
				assert.Equal(t, r.term(), term, "%s", r.address)
			}
		})
	}
}

// TestIsolatedCoordinatorIsReplaced cuts the coordinator off from all routers, so that no relay reaches it either. Another router
// must take over.
func TestIsolatedCoordinatorIsReplaced(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.enableRelays()
		time.Sleep(electionTime)
		first := f.coordinator(t)
		f.setIsolated(first.address, true)
		time.Sleep(2 * leaseDuration)
		second := f.coordinator(t)
		assert.Assert(t, second != nil && second != first)
	})
}

// TestSplitAcceptorsKeepCoordinatorThroughRelays partitions six acceptors into two halves in each of the ten ways, while the other
// routers reach both halves. The fleet must keep its coordinator.
func TestSplitAcceptorsKeepCoordinatorThroughRelays(t *testing.T) {
	const acceptors = 6
	for first := 1; first < acceptors; first++ {
		for second := first + 1; second < acceptors; second++ {
			inFleetWith(t, acceptors, func(t *testing.T, f *fleet) {
				f.enableRelays()
				time.Sleep(electionTime)
				before := f.coordinator(t)
				f.partition([]int{0, first, second})
				for range 40 {
					time.Sleep(leaseDuration / 10)
					assert.Assert(t, f.coordinator(t) == before, "while 0, %d and %d are apart", first, second)
				}
			})
		}
	}
}

// networkFunc is a Caller that is implemented by a function.
type networkFunc func(ctx context.Context, to string, data []byte) ([]byte, error)

func (w networkFunc) Call(ctx context.Context, to string, data []byte) ([]byte, error) {
	return w(ctx, to, data)
}

const (
	testTarget = "target:1"
	testRelay  = "relay:1"
)

// newSharesWithNetwork returns the Shares of a router that makes its calls with the given function. Its candidates for relays
// are testRelay, testTarget and itself.
func newSharesWithNetwork(network networkFunc) *Shares {
	return New(Options{Address: address(0), Caller: network, Relays: func() []string { return []string{testRelay, testTarget, address(0)} },
		Grantors: func() (voters, previous []string) { return nil, nil }, Routers: func() FleetSize { return FleetSize{} }})
}

// TestRelayOnlyWithoutDirectResponse checks for each outcome of a direct call whether a relay is asked, and when.
func TestRelayOnlyWithoutDirectResponse(t *testing.T) {
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
		"unreachable": {
			direct:  func(context.Context) ([]byte, error) { return nil, errors.WithStack(transport.ErrUnreachable) },
			relayed: true,
		},
		"silent": {direct: silence, relayed: true, after: relayAfter},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked []string
				s := newSharesWithNetwork(func(ctx context.Context, to string, data []byte) ([]byte, error) {
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

// TestRelayAtOnceUntilDirectCallSucceeds sends to a router that first answers only through a relay. Later messages must be
// relayed without delay, until a direct call succeeds again.
func TestRelayAtOnceUntilDirectCallSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isCut, relayed := true, 0
		s := newSharesWithNetwork(func(ctx context.Context, to string, _ []byte) ([]byte, error) {
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
		assert.Equal(t, relayed, before, "relayed after a direct call has succeeded")
	})
}

// TestDeliveryEndsWithItsContext checks that deliver returns when its context ends if nobody answers.
func TestDeliveryEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		s := newSharesWithNetwork(func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
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
		assert.Equal(t, calls, 2, "the direct call and one relayed copy")
	})
}

// TestMessageIsRelayedOnce checks that a relay request inside another one is refused.
func TestMessageIsRelayedOnce(t *testing.T) {
	s := newSharesWithNetwork(func(context.Context, string, []byte) ([]byte, error) {
		t.Error("the message is forwarded")
		return nil, nil
	})
	inner, err := encodeRequest(request{Relay: &relayRequest{To: testTarget}})
	assert.NilError(t, err)
	outer, err := encodeRequest(request{Relay: &relayRequest{To: testTarget, Body: inner}})
	assert.NilError(t, err)
	_, err = s.HandleRequest(t.Context(), outer)
	assert.ErrorIs(t, err, errNestedRelay)
}
