package transport

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// dial is an attempt to connect that several callers may wait for.
type dial struct {
	done       chan struct{}
	connection *connection
	err        error
}

// peer holds the connection that this router dialed to one address.
type peer struct {
	transport *Transport
	address   string

	mu          sync.Mutex
	connection  *connection
	dial        *dial
	waiting     []frame // one-way messages for the connection that is being dialed
	waitingSize int
	quietUntil  int64 // one-way messages are dropped until then, after a failed dial
}

// open returns the connection in use, dialing one if needed. fresh tells that it was dialed for this call.
func (p *peer) open(ctx context.Context) (connection *connection, fresh bool, err error) {
	p.mu.Lock()
	if p.connection != nil && p.connection.open() {
		defer p.mu.Unlock()
		return p.connection, false, nil
	}
	attempt := p.dialLocked()
	p.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.connection, true, attempt.err
	case <-ctx.Done():
		return nil, false, errors.WithStack(ctx.Err())
	}
}

// dialLocked starts a dial or joins the one under way.
func (p *peer) dialLocked() *dial {
	if p.dial == nil {
		p.dial = &dial{done: make(chan struct{})}
		go p.run(p.dial)
	}
	return p.dial
}

// run dials, keeps the connection and sends the messages that waited for it.
func (p *peer) run(attempt *dial) {
	defer close(attempt.done)
	socket, err := p.transport.dial(p.transport.ctx, "tcp", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := p.waiting
	p.dial, p.waiting, p.waitingSize = nil, nil, 0
	if err != nil {
		attempt.err = dialError(err)
		p.quietUntil = p.transport.now() + int64(redialAfter)
		return
	}
	connection, err := p.transport.adopt(socket)
	if err != nil {
		attempt.err = err
		return
	}
	attempt.connection, p.connection = connection, connection
	for _, f := range waiting {
		_ = connection.send(f)
	}
}

// send queues a one-way message; it is dropped if the peer can't be reached or does not keep up.
func (p *peer) send(f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connection != nil && p.connection.send(f) == nil {
		return
	}
	if p.connection != nil && p.connection.open() {
		return // its queue is full
	}
	if p.dial == nil && p.transport.now() < p.quietUntil {
		return
	}
	p.dialLocked()
	if p.waitingSize+len(f.body) > maxQueue || len(p.waiting) >= maxWaiting {
		return
	}
	p.waiting = append(p.waiting, f)
	p.waitingSize += len(f.body)
}

// idle tells whether the peer has had nothing to carry for the given time, and closes its connection then.
func (p *peer) idle(now int64, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dial != nil {
		return false
	}
	if p.connection == nil || !p.connection.open() {
		return true
	}
	if now-p.connection.idleSince() < int64(limit) {
		return false
	}
	p.connection.close(errors.Wrap(ErrBroken, "idle"))
	return true
}

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
}

// dialError tells a machine that is out of reach from one where nobody listens.
func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithStack(ErrRefused)
	}
	return errors.Wrap(ErrUnreachable, err.Error())
}
