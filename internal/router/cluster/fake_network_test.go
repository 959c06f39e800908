package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/transport"
)

// Timeouts of a sender whose peer is silent, and the overhead of a message.
const (
	dialTimeout        = 400 * time.Millisecond
	stallTimeout       = 700 * time.Millisecond
	frameOverheadBytes = 11 + 52 // frame header and packet headers
)

// fakeNetwork delivers messages between endpoints in virtual time.
type fakeNetwork struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	blocked   map[link]bool // directions in which no message passes
	loss      float64       // probability that a message's connection breaks
	delay     func(from, to *endpoint) time.Duration
	rng       *rand.Rand
}

type link struct{ from, to string }

// endpoint is one router's Messenger.
type endpoint struct {
	network        *fakeNetwork
	address        string
	zone           string
	handlers       map[transport.Kind]transport.Handler
	down           bool // the process has ended: its port refuses connections
	poweredOff     bool // the machine has no power: connections time out
	frozenUntil    time.Time
	messages       int
	bytes          int
	crossZoneBytes int // bytes sent to other zones
}

func newFakeNetwork(seed uint64) *fakeNetwork {
	return &fakeNetwork{
		endpoints: make(map[string]*endpoint),
		blocked:   make(map[link]bool),
		delay:     zoneDelay,
		rng:       rand.New(rand.NewPCG(seed, 1)),
	}
}

func zoneDelay(from, to *endpoint) time.Duration {
	if from.zone == to.zone {
		return 500 * time.Microsecond
	}
	return 8 * time.Millisecond
}

// endpoint returns a new endpoint at the address. It replaces an earlier one.
func (n *fakeNetwork) endpoint(address, zone string) *endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &endpoint{network: n, address: address, zone: zone, handlers: make(map[transport.Kind]transport.Handler)}
	n.endpoints[address] = e
	return e
}

// setBlocked blocks or restores the direction from one address to another.
func (n *fakeNetwork) setBlocked(from, to string, broken bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = broken
}

func (n *fakeNetwork) setLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

func (e *endpoint) update(change func(e *endpoint)) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	change(e)
}

func (e *endpoint) Handle(kind transport.Kind, handler transport.Handler) { e.handlers[kind] = handler }

func (e *endpoint) HandleInline(kind transport.Kind, handler transport.Handler) {
	e.handlers[kind] = handler
}

// transmit returns the receiver of a message and its delay, or an error and how long the sender waits for it. It counts
// the message if it is sent.
func (n *fakeNetwork) transmit(from *endpoint, address string, size int) (to *endpoint, wait time.Duration, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to = n.endpoints[address]
	if from.down || from.poweredOff {
		return nil, 0, transport.ErrClosed
	}
	if to == nil || to.poweredOff || n.blocked[link{from.address, address}] || n.blocked[link{address, from.address}] && to.down {
		return nil, dialTimeout, transport.ErrUnreachable
	}
	wait = n.delay(from, to)
	if to.down {
		return nil, 2 * wait, transport.ErrUnreachable
	}
	from.countMessage(to, size)
	if n.loss > 0 && n.rng.Float64() < n.loss {
		return nil, 2 * wait, transport.ErrBroken
	}
	now := time.Now()
	wait = max(wait, from.frozenUntil.Sub(now), to.frozenUntil.Sub(now))
	return to, wait, nil
}

func (e *endpoint) countMessage(to *endpoint, size int) {
	e.messages++
	e.bytes += size + frameOverheadBytes
	if e.zone != to.zone {
		e.crossZoneBytes += size + frameOverheadBytes
	}
}

func (e *endpoint) Send(address string, kind transport.Kind, body []byte) {
	to, wait, err := e.network.transmit(e, address, len(body))
	if err != nil {
		return
	}
	go func() {
		time.Sleep(wait)
		if to.alive() {
			_, _ = to.handlers[kind](context.Background(), body)
		}
	}()
}

// sent returns the number of messages sent so far.
func (e *endpoint) sent() int {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	return e.messages
}

func (e *endpoint) alive() bool {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	return !e.down && !e.poweredOff
}

type reply struct {
	body []byte
	err  error
}

func (e *endpoint) Call(ctx context.Context, address string, kind transport.Kind, body []byte) ([]byte, error) {
	replies := make(chan reply, 1)
	go func() { replies <- e.roundTrip(ctx, address, kind, body) }()
	select {
	case r := <-replies:
		return r.body, r.err
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

// roundTrip delivers the request and the answer.
func (e *endpoint) roundTrip(ctx context.Context, address string, kind transport.Kind, body []byte) reply {
	to, wait, err := e.network.transmit(e, address, len(body))
	time.Sleep(wait)
	if err != nil {
		return reply{err: err}
	}
	if !to.alive() {
		time.Sleep(stallTimeout)
		return reply{err: transport.ErrStalled}
	}
	answer, err := to.handlers[kind](ctx, body)
	if err != nil {
		return reply{err: &transport.RemoteError{Message: err.Error()}}
	}
	_, wait, err = e.network.transmit(to, e.address, len(answer))
	if err != nil {
		time.Sleep(stallTimeout)
		return reply{err: transport.ErrStalled}
	}
	time.Sleep(wait)
	return reply{body: answer}
}
