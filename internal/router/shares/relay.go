package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/transport"
)

// A router that is cut off only from the other acceptors still reaches the rest of the fleet. Its messages to the acceptors are
// relayed by a third router, like the indirect probes of SWIM. That lets a coordinator renew its lease and remain the
// coordinator, so that no quota has to wait for the next one. A message may arrive twice, directly and relayed, which both ends
// handle like a repeated call.

const (
	// relayAfter is how long a response may be missing before the message is also sent through another router.
	relayAfter = 120 * time.Millisecond
	// relayAttempts is the maximum number of routers that are asked to relay one message.
	relayAttempts = 2
	// relayTimeout bounds the call that a relaying router makes to the target.
	relayTimeout = 250 * time.Millisecond
)

// relayRequest asks its receiver to forward the encoded request Body to the router at address To, and to return the response of
// that router.
type relayRequest struct {
	To   string `msgpack:"to"`
	Body []byte `msgpack:"body"`
}

var (
	// errNestedRelay refuses a relay request that contains another one.
	errNestedRelay = errors.New("relayed request is itself a relay request")
	// errNoResponse is returned when no copy of a message was answered in time.
	errNoResponse = errors.New("no response")
)

// deliver sends an encoded request to a router and returns the first response. It calls the router directly and, while that
// brings no response, through relays.
func (s *Shares) deliver(ctx context.Context, address string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := delivery{shares: s, address: address, body: body, results: make(chan callResult, 1+relayAttempts)}
	d.sendCopy(ctx, address, body)
	if s.indirectPeers.contains(address) {
		d.relayNext(ctx)
	}
	return d.await(ctx)
}

// delivery is one message in flight. Its fields are used only by the goroutine that awaits the response.
type delivery struct {
	shares       *Shares
	address      string
	body         []byte
	relays       []string // the chosen relays that are not in use yet
	relaysChosen bool
	pending      int // copies that have no result yet
	results      chan callResult
}

// callResult is the result of sending one copy of the message.
type callResult struct {
	isDirect bool
	reply    []byte
	err      error
}

// indirectPeers is the set of routers whose last response came through a relay. Messages to them are relayed at once, until
// they answer directly again.
type indirectPeers struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

func (p *indirectPeers) contains(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.addresses[address]
}

func (p *indirectPeers) record(address string, isDirect bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if isDirect {
		delete(p.addresses, address)
		return
	}
	if p.addresses == nil {
		p.addresses = map[string]bool{}
	}
	p.addresses[address] = true
}

// sendCopy calls the router at the address, which is the target or a relay, in the background.
func (d *delivery) sendCopy(ctx context.Context, address string, body []byte) {
	d.pending++
	go func() {
		reply, err := d.shares.options.Caller.Call(ctx, address, body)
		d.results <- callResult{address == d.address, reply, err}
	}()
}

// await returns the first response. When a copy fails, the next one is sent at once.
func (d *delivery) await(ctx context.Context) ([]byte, error) {
	timer := time.NewTimer(relayAfter)
	defer timer.Stop()
	failure := errNoResponse
	for d.pending > 0 {
		select {
		case result := <-d.results:
			d.pending--
			if result.err == nil || reachedTarget(result.err) && result.isDirect {
				d.shares.indirectPeers.record(d.address, result.isDirect)
				return result.reply, result.err
			}
			failure = result.err
			d.relayNext(ctx)
		case <-timer.C:
			d.relayNext(ctx)
			if len(d.relays) > 0 {
				timer.Reset(relayAfter)
			}
		}
	}
	return nil, errors.Wrapf(failure, "call of %s", d.address)
}

// reachedTarget reports whether the error of a direct call shows that the call reached the target's machine. A relayed copy
// would bring the same result then.
func reachedTarget(err error) bool {
	var remote *transport.RemoteError
	return errors.As(err, &remote) || errors.Is(err, transport.ErrRefused)
}

// relayNext sends a copy through the next relay, if there is one left.
func (d *delivery) relayNext(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if !d.relaysChosen {
		d.relaysChosen = true
		d.relays = d.shares.chooseRelays(d.address)
	}
	if len(d.relays) == 0 {
		return
	}
	next := d.relays[0]
	d.relays = d.relays[1:]
	wrapped, err := encodeRequest(request{Relay: &relayRequest{To: d.address, Body: d.body}})
	if err != nil {
		return
	}
	d.sendCopy(ctx, next, wrapped)
}

// chooseRelays picks at random up to relayAttempts routers that are asked to relay to an address.
func (s *Shares) chooseRelays(to string) []string {
	if s.options.Relays == nil {
		return nil
	}
	var chosen []string
	others := s.options.Relays()
	for _, index := range rand.Perm(len(others)) {
		if other := others[index]; other != to && other != s.options.Address {
			chosen = append(chosen, other)
		}
		if len(chosen) == relayAttempts {
			break
		}
	}
	return chosen
}

// handleRelay forwards a message of another router to its target and returns the target's response.
func (s *Shares) handleRelay(ctx context.Context, message relayRequest) ([]byte, error) {
	inner, err := decodeRequest(message.Body)
	if err != nil {
		return nil, err
	}
	if inner.Relay != nil {
		return nil, errNestedRelay
	}
	if message.To == s.options.Address {
		return s.respond(inner)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := s.options.Caller.Call(ctx, message.To, message.Body)
	return reply, errors.Wrapf(err, "relayed call of %s", message.To)
}
