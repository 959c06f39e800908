package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/transport"
)

// A router that is cut off from the others of the core alone still reaches the rest of the fleet. What it has to say to those others goes
// by way of a third router, as an indirect probe of SWIM does: a coordinator renews its lease like that and stays the coordinator, so that
// no quota waits for the next one. Messages may arrive twice, directly and relayed; both ends take that as they take a repeated call.

const (
	// relayAfter is the silence after which a message is sent by way of another router as well.
	relayAfter = 120 * time.Millisecond
	// relayAttempts bounds the routers that are asked to relay one message.
	relayAttempts = 2
	// relayTimeout bounds the wait of the router that relays.
	relayTimeout = 250 * time.Millisecond
)

// relayed is a message that its receiver passes on; the response is that of the router it goes to.
type relayed struct {
	To   string `msgpack:"to"`
	Body []byte `msgpack:"body"`
}

var (
	// errRelayTwice refuses a message that would be relayed by a second router.
	errRelayTwice = errors.New("message to be relayed twice")
	// errNoResponse says that nobody has answered in time.
	errNoResponse = errors.New("no response")
)

// deliver sends an encoded message to a router, directly and, while that brings no response, by way of others.
func (s *Shares) deliver(ctx context.Context, address string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := delivery{shares: s, address: address, body: body, outcomes: make(chan outcome, 1+relayAttempts)}
	d.send(ctx, address, body)
	if s.detours.needs(address) {
		d.relay(ctx)
	}
	return d.await(ctx)
}

// delivery is one message under way. All its fields belong to the goroutine that awaits it.
type delivery struct {
	shares   *Shares
	address  string
	body     []byte
	relays   []string
	begun    bool // relays were chosen
	pending  int
	outcomes chan outcome
}

// outcome is what came of one copy of the message.
type outcome struct {
	isDirect bool
	reply    []byte
	err      error
}

// detours remembers the routers that have answered by way of others alone: what is sent to them next is relayed at once, until one
// answers directly again.
type detours struct {
	mutex sync.Mutex
	known map[string]bool
}

func (d *detours) needs(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known[address]
}

func (d *detours) note(address string, isDirect bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if isDirect {
		delete(d.known, address)
		return
	}
	if d.known == nil {
		d.known = map[string]bool{}
	}
	d.known[address] = true
}

func (d *delivery) send(ctx context.Context, address string, body []byte) {
	d.pending++
	go func() {
		reply, err := d.shares.options.Caller.Call(ctx, address, body)
		d.outcomes <- outcome{address == d.address, reply, err}
	}()
}

// await returns the first response. A copy that has failed calls for the next one at once.
func (d *delivery) await(ctx context.Context) ([]byte, error) {
	timer := time.NewTimer(relayAfter)
	defer timer.Stop()
	failure := errNoResponse
	for d.pending > 0 {
		select {
		case result := <-d.outcomes:
			d.pending--
			if result.err == nil || isAnswered(result.err) && result.isDirect {
				d.shares.detours.note(d.address, result.isDirect)
				return result.reply, result.err
			}
			failure = result.err
			d.relay(ctx)
		case <-timer.C:
			d.relay(ctx)
			if len(d.relays) > 0 {
				timer.Reset(relayAfter)
			}
		}
	}
	return nil, errors.Wrapf(failure, "call of %s", d.address)
}

// isAnswered tells whether a direct call has reached the machine: another way to it would bring nothing else.
func isAnswered(err error) bool {
	var remote *transport.RemoteError
	return errors.As(err, &remote) || errors.Is(err, transport.ErrRefused)
}

// relay sends a copy by way of the next router, if there is one left.
func (d *delivery) relay(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if !d.begun {
		d.begun = true
		d.relays = d.shares.chooseRelays(d.address)
	}
	if len(d.relays) == 0 {
		return
	}
	next := d.relays[0]
	d.relays = d.relays[1:]
	wrapped, err := encodeRequest(request{Relay: &relayed{To: d.address, Body: d.body}})
	if err != nil {
		return
	}
	d.send(ctx, next, wrapped)
}

// chooseRelays draws the routers that are asked to relay to an address.
func (s *Shares) chooseRelays(to string) []string {
	if s.options.Relays == nil {
		return nil
	}
	var drawn []string
	others := s.options.Relays()
	for _, index := range rand.Perm(len(others)) {
		if other := others[index]; other != to && other != s.options.Address {
			drawn = append(drawn, other)
		}
		if len(drawn) == relayAttempts {
			break
		}
	}
	return drawn
}

// passOn relays a message of another router.
func (s *Shares) passOn(ctx context.Context, message relayed) ([]byte, error) {
	inner, err := decodeRequest(message.Body)
	if err != nil {
		return nil, err
	}
	if inner.Relay != nil {
		return nil, errRelayTwice
	}
	if message.To == s.options.Address {
		return s.respond(inner)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := s.options.Caller.Call(ctx, message.To, message.Body)
	return reply, errors.Wrapf(err, "relayed call of %s", message.To)
}
