package transport

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// dialAttempt is a connection attempt that several callers may wait for. Its results are set before done is closed.
type dialAttempt struct {
	done       chan struct{}
	connection *connection
	err        error
}

// peer manages the outgoing connection to one address.
type peer struct {
	transport *Transport
	address   string

	mu           sync.Mutex
	connection   *connection
	pendingDial  *dialAttempt
	backlog      []frame // one-way messages to send once the pending dial succeeds
	backlogBytes int
	backoffUntil int64 // Transport.now time until which one-way messages are dropped after a failed dial
}

// connect returns the current connection, or dials one. dialed reports that the connection comes from a dial that this
// call waited for.
func (p *peer) connect(ctx context.Context) (connection *connection, dialed bool, err error) {
	p.mu.Lock()
	if p.connection != nil && p.connection.isOpen() {
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

// dialLocked returns the pending dial, starting one if there is none. The caller holds p.mu.
func (p *peer) dialLocked() *dialAttempt {
	if p.pendingDial == nil {
		p.pendingDial = &dialAttempt{done: make(chan struct{})}
		go p.completeDial(p.pendingDial)
	}
	return p.pendingDial
}

// completeDial dials the peer, stores the connection and sends the backlog of one-way messages.
func (p *peer) completeDial(attempt *dialAttempt) {
	defer close(attempt.done)
	socket, err := p.transport.dial(p.transport.ctx, "tcp", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	backlog := p.backlog
	p.pendingDial, p.backlog, p.backlogBytes = nil, nil, 0
	if err != nil {
		attempt.err = classifyDialError(err)
		p.backoffUntil = p.transport.now() + int64(dialBackoff)
		return
	}
	connection, err := p.transport.startConnection(socket)
	if err != nil {
		attempt.err = err
		return
	}
	attempt.connection, p.connection = connection, connection
	for _, f := range backlog {
		_ = connection.send(f)
	}
}

// send queues a one-way message. The message is dropped if the peer is unreachable or its queue is full.
func (p *peer) send(f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connection != nil && p.connection.send(f) == nil {
		return
	}
	if p.connection != nil && p.connection.isOpen() {
		return // the send queue is full
	}
	if p.pendingDial == nil && p.transport.now() < p.backoffUntil {
		return
	}
	p.dialLocked()
	if p.backlogBytes+len(f.body) > maxQueue || len(p.backlog) >= maxDialBacklog {
		return
	}
	p.backlog = append(p.backlog, f)
	p.backlogBytes += len(f.body)
}

// closeIfIdle closes the connection if it has been idle for limit, and reports whether the peer can be removed.
func (p *peer) closeIfIdle(now int64, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingDial != nil {
		return false
	}
	if p.connection == nil || !p.connection.isOpen() {
		return true
	}
	if now-p.connection.lastActivity() < int64(limit) {
		return false
	}
	p.connection.close(errors.Wrap(ErrBroken, "idle"))
	return true
}

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
}

// classifyDialError distinguishes an unreachable host from one that answers but has nothing listening on the port.
func classifyDialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithStack(ErrRefused)
	}
	return errors.Wrap(ErrUnreachable, err.Error())
}
