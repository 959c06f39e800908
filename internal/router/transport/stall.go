package transport

import (
	"time"

	"github.com/pkg/errors"
)

// stallWatch detects a peer that has stopped sending on one connection. It runs only while calls wait for responses.
type stallWatch struct {
	connection *connection
	started    int64 // start of the observation, in Transport.now time
	timerDue   int64 // when the timer should fire, in Transport.now time
}

// startStallWatchLocked starts a stall watch unless one is running. The caller holds c.mu.
func (c *connection) startStallWatchLocked() {
	if c.watchingForStall {
		return
	}
	c.watchingForStall = true
	now := c.transport.now()
	w := &stallWatch{connection: c, started: now}
	w.arm(now)
}

func (w *stallWatch) arm(now int64) {
	delay := w.connection.transport.stallTimeouts.probeAfter
	w.timerDue = now + int64(delay)
	time.AfterFunc(delay, w.check)
}

// check probes a silent peer, and closes the connection once the silence reaches stallAfter.
func (w *stallWatch) check() {
	c := w.connection
	now := c.transport.now()
	if c.stopStallWatchIfIdle() {
		return
	}
	if now-w.timerDue > int64(lateTimerThreshold) {
		w.started = now // this process was paused, so bytes from the peer may still be unread
	}
	silent := time.Duration(now - max(w.started, c.lastReceived.Load()))
	if silent >= c.transport.stallTimeouts.stallAfter {
		c.close(errors.Wrapf(ErrStalled, "%v", silent.Round(time.Millisecond)))
		return
	}
	if silent >= c.transport.stallTimeouts.probeAfter {
		_ = c.send(frame{frameKind: frameProbe})
	}
	w.arm(now)
}

// stopStallWatchIfIdle ends the watch if no call waits for a response, and reports whether it did.
func (c *connection) stopStallWatchIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && len(c.calls) > 0 {
		return false
	}
	c.watchingForStall = false
	return true
}
