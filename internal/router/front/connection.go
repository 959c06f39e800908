package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"pewterrudder/internal/router/document"
)

const (
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 10 * time.Second
)

// connectionKey is the context key under which a request finds its clientConnection.
type connectionKey struct{}

// clientConnection is a connection of a client. Between requests it applies the idle and header timeouts of the current
// configuration; net/http's own timeouts are fixed when the server is created.
type clientConnection struct {
	net.Conn
	set *connectionSet

	mutex           sync.Mutex
	framing         framingTracker
	waiting         bool // for a request or the rest of its head
	waitingSince    time.Time
	idleDeadlineSet bool // the idle timeout is running
	closed          bool
}

func connectionOf(ctx context.Context) *clientConnection {
	connection, _ := ctx.Value(connectionKey{}).(*clientConnection)
	return connection
}

// Read implements net.Conn. It tracks the framing of the bytes read.
func (c *clientConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.observe(p[:n])
	}
	return n, err
}

// observe passes bytes to the framing tracker. When the first bytes of a head arrive, it starts the header timeout.
func (c *clientConnection) observe(p []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	hadPartialHead := c.framing.partialHead()
	c.framing.observe(p)
	if c.waiting && !hadPartialHead && c.framing.partialHead() {
		c.Conn.SetReadDeadline(time.Now().Add(c.set.headerTimeout()))
	}
}

// popHead returns the framing of the request whose service begins.
func (c *clientConnection) popHead() headFraming {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.framing.popHead()
}

// SetReadDeadline implements net.Conn. When net/http clears the deadline to wait for a request, the idle timeout is set
// instead.
func (c *clientConnection) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.waiting || !t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	if c.idleDeadlineSet || c.framing.partialHead() {
		return nil
	}
	c.idleDeadlineSet = true
	return c.Conn.SetReadDeadline(time.Now().Add(c.set.idleTimeout()))
}

// Close implements net.Conn.
func (c *clientConnection) Close() error {
	c.mutex.Lock()
	first := !c.closed
	c.closed = true
	c.mutex.Unlock()
	if first {
		c.set.remove(c)
	}
	return c.Conn.Close()
}

// onStateChange tracks the connection state reported by net/http.
func (c *clientConnection) onStateChange(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.waiting, c.idleDeadlineSet, c.waitingSince = true, false, time.Now()
	case http.StateActive:
		c.waiting = false
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// minIdleBeforeClose is how long a connection must have been idle before draining closes it.
const minIdleBeforeClose = 300 * time.Millisecond

// expireIfIdle makes net/http close the connection if it has been idle for minIdleBeforeClose and nothing of a further
// request has been read. The expired read deadline ends the pending read without consuming any bytes, so no request
// that was read is lost.
func (c *clientConnection) expireIfIdle(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	idle := c.waiting && !c.framing.partialHead() && c.framing.pendingHeads() == 0
	if idle && now.Sub(c.waitingSince) >= minIdleBeforeClose {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// connectionSet holds all client connections.
type connectionSet struct {
	limits func() document.Limits

	mutex    sync.Mutex
	open     map[*clientConnection]struct{}
	listener net.Listener
	slots    chan struct{} // semaphore that limits the connections; each holds a slot
}

func newConnectionSet(limits func() document.Limits) *connectionSet {
	return &connectionSet{limits: limits, open: map[*clientConnection]struct{}{}}
}

// listen wraps a listener so that its connections belong to the set and at most limit of them are open at once.
func (s *connectionSet) listen(listener net.Listener, limit int) net.Listener {
	s.slots = make(chan struct{}, limit)
	limited := &limitListener{Listener: listener, set: s, done: make(chan struct{})}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener = limited
	return limited
}

// stopListening closes the listener, if there is one.
func (s *connectionSet) stopListening() {
	s.mutex.Lock()
	listener := s.listener
	s.mutex.Unlock()
	if listener != nil {
		listener.Close()
	}
}

// expireIdle closes the idle connections and returns how many connections were open, including those.
func (s *connectionSet) expireIdle() int {
	all, now := s.list(), time.Now()
	for _, c := range all {
		c.expireIfIdle(now)
	}
	return len(all)
}

// count returns the number of open connections.
func (s *connectionSet) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// onStateChange is the http.Server.ConnState callback.
func (s *connectionSet) onStateChange(connection net.Conn, state http.ConnState) {
	if c, ok := connection.(*clientConnection); ok {
		c.onStateChange(state)
	}
}

func (s *connectionSet) add(c *clientConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open[c] = struct{}{}
}

func (s *connectionSet) remove(c *clientConnection) {
	s.mutex.Lock()
	delete(s.open, c)
	s.mutex.Unlock()
	<-s.slots
}

// list returns the open connections.
func (s *connectionSet) list() []*clientConnection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]*clientConnection, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	return all
}

func (s *connectionSet) idleTimeout() time.Duration {
	return durationOrDefault(s.limits().IdleTimeoutMs, defaultIdleTimeout)
}

func (s *connectionSet) headerTimeout() time.Duration {
	return durationOrDefault(s.limits().HeaderTimeoutMs, defaultHeaderTimeout)
}

// durationOrDefault converts milliseconds, or returns the fallback if ms is not positive.
func durationOrDefault(ms float64, fallback time.Duration) time.Duration {
	if ms <= 0 {
		return fallback
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// limitListener accepts a connection only when the set has a free slot.
type limitListener struct {
	net.Listener
	set  *connectionSet
	done chan struct{}
	once sync.Once
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.set.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		<-l.set.slots
		return nil, err
	}
	c := &clientConnection{Conn: accepted, set: l.set, waiting: true, waitingSince: time.Now()}
	l.set.add(c)
	return c, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
