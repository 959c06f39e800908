package attempt

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/socket"
)

const (
	defaultDialTimeout = 250 * time.Millisecond
	// dialTimeDivisor bounds the time for opening a connection to 1/dialTimeDivisor of the time until the deadline.
	dialTimeDivisor = 3
	tcpUserTimeout  = 1500 * time.Millisecond
	keepAliveIdle   = 2 * time.Second
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	// defaultIdleTime is how long a connection may be idle if its instance announced no idle timeout.
	defaultIdleTime = 20 * time.Second
	// earlyCloseAge and safeIdleAge handle instances that close idle connections early without announcing it, which is
	// detected when a connection that was idle for less than earlyCloseAge has been closed. A non-repeatable request then
	// reuses no connection idle for longer than safeIdleAge, since it could be in flight when the instance closes it.
	earlyCloseAge = 1200 * time.Millisecond
	safeIdleAge   = 350 * time.Millisecond
	// minIdleMargin and idleMarginDivisor determine how long before the announced idle timeout a connection is no longer
	// reused: the larger of 1/idleMarginDivisor of the timeout and minIdleMargin, the latter limited to half of the timeout.
	minIdleMargin     = 500 * time.Millisecond
	idleMarginDivisor = 4
	sweepPeriod       = time.Second
	// earlyCloseWatch and maxEarlyCloseWatch determine how long a new connection is watched before a non-repeatable request
	// is sent: as long as opening it took, which is one round trip, plus earlyCloseWatch, but at most maxEarlyCloseWatch.
	earlyCloseWatch    = 2 * time.Millisecond
	maxEarlyCloseWatch = 20 * time.Millisecond
)

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleTime    time.Duration // of connections whose instance announced no idle timeout
	// Dial opens a connection; it exists for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool holds the connections to all instances. It is safe for concurrent use.
type Pool struct {
	options Options

	mu        sync.Mutex
	hosts     map[hostKey]*host
	nextSweep time.Time

	counters counters
}

// hostKey identifies an instance at an address, so that a connection is never reused after either has changed.
type hostKey struct{ id, address string }

// host holds the connections to one instance. The pool's mutex guards all fields but closesIdleEarly.
type host struct {
	// closesIdleEarly is set if the instance closes idle connections within earlyCloseAge without announcing the timeout,
	// which the Keep-Alive header can express in whole seconds only.
	closesIdleEarly atomic.Bool
	key             hostKey
	idle            []*connection // the most recently used one last
	open            int           // number of connections idle, in use or being opened
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout <= 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.IdleTime <= 0 {
		options.IdleTime = defaultIdleTime
	}
	if options.Dial == nil {
		options.Dial = dial
	}
	return &Pool{options: options, hosts: map[hostKey]*host{}}
}

// dial opens a TCP connection with keep-alive and a TCP user timeout.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveCount}}
	connected, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(connected.(*net.TCPConn))
	return connected, nil
}

// setUserTimeout bounds the time for which sent data may stay unacknowledged. Errors are ignored.
func setUserTimeout(connected *net.TCPConn) {
	raw, err := connected.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// acquire returns a reusable idle connection, or opens a new one. Idle connections unfit for the request are reset.
func (p *Pool) acquire(ctx context.Context, target Target, request *Request) (*connection, error) {
	now := time.Now()
	if !now.Before(request.Deadline) {
		return nil, &Error{Outcome: NeverSent, Cause: ErrDeadline}
	}
	for {
		c, err := p.acquireIdleOrReserve(target, now)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.open(ctx, target, request)
		}
		if c.isReusable(now, request) {
			c.finished = false
			return c, nil
		}
		p.counters.stale.Add(1)
		c.reset()
		p.remove(c)
	}
}

// acquireIdleOrReserve returns the most recently used idle connection. If none is idle, it returns nil and reserves a slot
// for a new connection, or an error if the target's connection limit is reached.
func (p *Pool) acquireIdleOrReserve(target Target, now time.Time) (*connection, error) {
	key := hostKey{target.ID, target.Address}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[key]
	if h == nil {
		h = &host{key: key}
		p.hosts[key] = h
	}
	if last := len(h.idle) - 1; last >= 0 {
		c := h.idle[last]
		h.idle[last] = nil
		h.idle = h.idle[:last]
		return c, nil
	}
	if target.MaxConnections > 0 && h.open >= target.MaxConnections {
		return nil, &Error{Outcome: NeverSent, Cause: ErrConnectionLimit}
	}
	h.open++
	return nil, nil
}

// open opens a connection for which a slot has been reserved. If it fails, it frees the slot.
func (p *Pool) open(ctx context.Context, target Target, request *Request) (*connection, error) {
	key := hostKey{target.ID, target.Address}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(p.options.DialTimeout, request.Deadline.Sub(began)/dialTimeDivisor))
	defer cancel()
	p.counters.dials.Add(1)
	connected, err := p.options.Dial(ctx, target.Address)
	if err != nil {
		p.unreserve(key)
		return nil, &Error{Outcome: NeverSent, DialFailed: true, Cause: err}
	}
	probe, err := socket.NewProbe(connected)
	if err != nil {
		connected.Close()
		p.unreserve(key)
		return nil, &Error{Outcome: NeverSent, Cause: err}
	}
	p.mu.Lock()
	h := p.hosts[key]
	p.mu.Unlock()
	c := &connection{pool: p, host: h, target: target, socket: connected, probe: probe,
		reader: bufio.NewReaderSize(connected, maxHeadSize)}
	if request.NonRepeatable {
		c.watchForEarlyClose(time.Since(began))
	}
	if c.reader.Buffered() > 0 || !probe.Quiet() {
		c.reset()
		p.remove(c)
		return nil, &Error{Outcome: NeverSent, DialFailed: true, Cause: errClosedOnOpen}
	}
	return c, nil
}

// unreserve frees the slot of a connection that could not be opened.
func (p *Pool) unreserve(key hostKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementOpen(p.hosts[key])
}

// remove frees the slot of a connection that has been closed.
func (p *Pool) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementOpen(c.host)
}

// decrementOpen decrements the number of open connections. It deletes a host without any, unless it is known to close idle
// connections early. The pool's mutex must be held.
func (p *Pool) decrementOpen(h *host) {
	h.open--
	if h.open == 0 && !h.closesIdleEarly.Load() {
		delete(p.hosts, h.key)
	}
}

// putIdle adds a connection, whose reusableUntil is set, to the idle ones of its host, and sweeps if that is due.
func (p *Pool) putIdle(c *connection) {
	now := time.Now()
	p.mu.Lock()
	c.host.idle = append(c.host.idle, c)
	due := now.After(p.nextSweep)
	p.mu.Unlock()
	if due {
		p.Sweep(now, nil)
	}
}

// Sweep closes idle connections whose reuse time is over and, if alive is not nil, those to instances that are not alive.
func (p *Pool) Sweep(now time.Time, alive func(id string) bool) {
	var expired []*connection
	p.mu.Lock()
	p.nextSweep = now.Add(sweepPeriod)
	for _, h := range p.hosts {
		gone := alive != nil && !alive(h.key.id)
		kept := h.idle[:0]
		for _, c := range h.idle {
			if gone || now.After(c.reusableUntil) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	for _, c := range expired {
		p.decrementOpen(c.host)
	}
	for key, h := range p.hosts {
		if h.open == 0 && alive != nil && !alive(key.id) {
			delete(p.hosts, key)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.socket.Close()
	}
}

// reuseTime returns how long a connection may be reused after it became idle, given the idle timeout that its instance
// announced, or 0 if it announced none.
func (p *Pool) reuseTime(announced time.Duration) time.Duration {
	if announced <= 0 {
		return p.options.IdleTime
	}
	margin := max(announced/idleMarginDivisor, min(minIdleMargin, announced/2))
	return announced - margin
}
