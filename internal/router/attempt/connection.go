package attempt

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/socket"
)

// connection is a connection to an instance. At any time it is either idle in its pool or used by one attempt.
type connection struct {
	pool     *Pool
	host     *host
	target   Target
	socket   net.Conn
	probe    *socket.Probe
	reader   *bufio.Reader
	wasReset atomic.Bool

	// Set when the connection becomes idle.
	idleSince            time.Time
	reusableUntil        time.Time // no reuse from this time on
	idleTimeoutAnnounced bool      // the instance sent its idle timeout

	// State of the attempt that uses the connection.
	stopContextWatch func() bool
	bodyWriteDone    chan struct{} // closed when a large request body has been written; nil: none is being written
	bodyWriteError   error         // valid once bodyWriteDone is closed
	tainted          bool          // received a response to another request; must not be reused
	finished         bool          // released or discarded
}

// reset closes the connection immediately with a TCP reset, dropping undelivered data. It is safe for concurrent use.
func (c *connection) reset() {
	if c.wasReset.CompareAndSwap(false, true) {
		socket.Reset(c.socket)
	}
}

// discard ends the attempt and resets the connection.
func (c *connection) discard() {
	if c.finished {
		return
	}
	c.finished = true
	c.stopWatching()
	c.reset()
	c.stopBodyWrite()
	c.pool.remove(c)
}

// release ends the attempt and returns the connection to the pool, or discards it if the caller's context has ended.
func (c *connection) release() {
	if c.finished {
		return
	}
	if !c.stopWatching() {
		c.discard()
		return
	}
	c.finished = true
	c.pool.putIdle(c)
}

// stopWatching stops watching the caller's context and reports whether the context had not ended yet.
func (c *connection) stopWatching() bool {
	if c.stopContextWatch == nil {
		return true
	}
	running := c.stopContextWatch()
	c.stopContextWatch = nil
	return running
}

// translateError replaces a socket error by ErrAbandoned or ErrDeadline if one of them caused it.
func (c *connection) translateError(ctx context.Context, err error) error {
	if errors.Is(err, ErrRejected) {
		return err
	}
	if ctx.Err() != nil {
		return ErrAbandoned
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrDeadline
	}
	return err
}

// watchForEarlyClose waits for as long as opening the connection took plus earlyCloseWatch, at most maxEarlyCloseWatch, or
// until the instance closes the connection or sends something.
func (c *connection) watchForEarlyClose(opening time.Duration) {
	c.socket.SetReadDeadline(time.Now().Add(min(opening+earlyCloseWatch, maxEarlyCloseWatch)))
	c.reader.Peek(1)
}

// isReusable reports whether an idle connection can be used for the request. If the connection was closed early without
// an announced idle timeout, it marks the host as closing idle connections early.
func (c *connection) isReusable(now time.Time, request *Request) bool {
	if !now.Before(c.reusableUntil) || c.reader.Buffered() > 0 {
		return false
	}
	age := now.Sub(c.idleSince)
	if request.NonRepeatable && !c.idleTimeoutAnnounced && age > safeIdleAge && c.host.closesIdleEarly.Load() {
		return false
	}
	if c.probe.Quiet() {
		return true
	}
	if !c.idleTimeoutAnnounced && age < earlyCloseAge {
		c.host.closesIdleEarly.Store(true)
	}
	return false
}
