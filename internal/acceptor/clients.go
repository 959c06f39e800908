package acceptor

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/flow"
)

// connTracker counts client connections against the descriptor budget. When the budget is used up, it closes one
// connection without a call: the oldest without a first request, if these hold more than a quarter of the budget or none
// is idle, else the one that has been idle longest. Silent connections arrive by the hundred and must not keep out
// clients that send requests.
//
// Clients may also keep connections open indefinitely after one use, while the front-end load balancer opens a limited
// number. The longest idle connections are therefore closed while more than maxKept are open that have sent a request.
//
// A connection is closed by a read deadline in the past, because a direct close would lose a request that arrives at
// that moment. A request that has arrived by then is still read, as it is when the timeout of a connection without a
// call expires. Once net/http has its header, the connection is active and stays open.
type connTracker struct {
	budget, maxKept int // under mu
	configured      [2]int
	mu              sync.Mutex
	slotFreed       *sync.Cond
	open            int
	sequence        uint64
	reducedBudget   int // lower budget in force until reducedUntil, since descriptors ran out below budget; 0: none
	reducedUntil    time.Time
	closingCount    int                    // open connections that have been asked to close
	newConns        map[*clientConn]uint64 // no first request yet, by order of arrival
	idle            map[*clientConn]uint64 // between calls, by order of last answer
}

// clientConn is a client's connection. net/http sets its read deadlines, except while it is closing. It sets its own
// write deadline for each write: no limit known at the start fits every timeout that later settings may allow.
type clientConn struct {
	*net.TCPConn
	headers         headerScanner
	lingerOnClose   atomic.Bool
	serving         atomic.Bool // a request has been read and is being served
	mu              sync.Mutex
	closing         bool
	rejectOnClose   bool // to be answered with a 503 if it closes without a request, for lack of descriptors
	streaming       bool
	stallTimeout    time.Duration // for a client that reads nothing of the current answer; 0: writeTimeout
	written         int64         // bytes written; used by the writing goroutine alone
	acked           int64         // bytes acknowledged by the client at the last check
	ackedAt         time.Time     // time of the last increase of acked
	bufferFullSince time.Time     // since when the receive buffer has been full behind the request; zero: it is not
}

const (
	// progressChecks is the number of checks of a client's progress within its stallTimeout.
	progressChecks = 8
	// maxUnsentBytes bounds the unsent data in the kernel for a client that reads slowly (TCP_NOTSENT_LOWAT). Without it
	// the send buffer grows to megabytes of memory, and a client's progress shows late. A quarter of this value slows the
	// transfer of a megabyte over loopback by a tenth.
	maxUnsentBytes = 512 << 10
	// maxLingerBytes bounds what Close reads and discards of an unwanted body: the size of the platform's largest bodies.
	maxLingerBytes = 40 << 20
	// minReleased is the least number of descriptors that the clients release when the process has run out: for the
	// registry watch, one other connection and app nodes. The reduced budget lasts for reducedBudgetPeriod, as the missing
	// descriptors may become available again.
	minReleased, reducedBudgetPeriod = 6, time.Minute
)

// setStreaming marks the start or the end of a streamed answer. A write of a streamed answer fails once the client has
// acknowledged nothing for stallTimeout.
func (c *clientConn) setStreaming(streaming bool, stallTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming, c.stallTimeout = streaming, stallTimeout
	if streaming {
		c.ackedAt = time.Now()
		c.withDescriptor(func(fd int) { unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes) })
	}
}

// withDescriptor calls do with the file descriptor of the connection, unless that is closed.
func (c *clientConn) withDescriptor(do func(fd int)) {
	if raw, err := c.TCPConn.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}

// Read reads from the connection for net/http. A read of a single byte during a call is net/http's background read,
// which waits for the client to disconnect.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.serving.Load() {
		return c.waitForHangUp()
	}
	n, err := c.TCPConn.Read(p)
	if err != nil && !c.serving.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readPendingHeader(p, err) // its timeout has expired, or it is closing
		if n == 0 {
			c.sendRejection()
		}
	}
	if n > 0 {
		c.headers.scan(p[:n])
		c.mu.Lock()
		c.bufferFullSince = time.Time{} // reading has made room in the buffer
		c.mu.Unlock()
	}
	return n, err
}

// readPendingHeader reads what has already arrived, without waiting, if that completes a request header. Otherwise it
// leaves the bytes unread and returns timeoutErr.
func (c *clientConn) readPendingHeader(p []byte, timeoutErr error) (int, error) {
	n := 0
	c.withDescriptor(func(fd int) {
		if n, _, _ = unix.Recvfrom(fd, p, unix.MSG_PEEK|unix.MSG_DONTWAIT); n > 0 && c.headers.completesHeader(p[:n]) {
			n, _, _ = unix.Recvfrom(fd, p[:n], unix.MSG_DONTWAIT)
		} else {
			n = 0
		}
	})
	if n > 0 {
		return n, nil
	}
	return 0, timeoutErr
}

// sendRejection writes unavailableResponse, once, to a client marked by markRejected: its request may be on the way.
func (c *clientConn) sendRejection() {
	c.mu.Lock()
	rejected := c.rejectOnClose
	c.rejectOnClose = false
	c.mu.Unlock()
	if rejected {
		c.TCPConn.SetWriteDeadline(time.Now().Add(rejectTimeout))
		io.WriteString(c.TCPConn, unavailableResponse)
	}
}

// closeWouldReset reports whether a close would lose data that the client has not acknowledged: if there is unread
// input, the kernel closes the connection with a reset and drops its send buffer.
func (c *clientConn) closeWouldReset() bool {
	pending, unread := 0, 0
	c.withDescriptor(func(fd int) {
		if pending, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ); pending > 0 {
			unread, _, _ = unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		}
	})
	return unread > 0
}

// Close closes the connection. If the client is still sending an unwanted body, or unread input would cause a reset,
// it first reads and discards input until the client has seen its answer and closes, or falls behind the minimum rate
// of an upload: an immediate close would reset the connection and lose the answer.
func (c *clientConn) Close() error {
	if !c.lingerOnClose.Swap(false) && !c.closeWouldReset() {
		return c.TCPConn.Close()
	}
	defer c.TCPConn.Close()
	discard := make([]byte, 16<<10)
	start := time.Now()
	for received := int64(0); received < maxLingerBytes; {
		c.TCPConn.SetReadDeadline(start.Add(maxUploadLag + time.Duration(received*int64(time.Second)/flow.MinUploadRate)))
		n, err := c.TCPConn.Read(discard)
		if received += int64(n); err != nil {
			break
		}
	}
	return nil
}

// Write waits for a client as long as that keeps reading. Whether a write proceeds is no evidence either way, because
// space in the local send buffer comes and goes in large steps. What counts is the data that the client's machine has
// acknowledged: the bytes written less those that the kernel still holds (SIOCOUTQ, tcp(7)).
func (c *clientConn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	streaming, stallTimeout := c.streaming, c.stallTimeout
	c.mu.Unlock()
	if !streaming {
		c.TCPConn.SetWriteDeadline(time.Now().Add(max(stallTimeout, writeTimeout)))
		n, err = c.TCPConn.Write(p)
		c.written += int64(n)
		return n, err
	}
	defer func() { c.written += int64(n) }()
	c.ackedAt = time.Now()
	for {
		c.TCPConn.SetWriteDeadline(time.Now().Add(stallTimeout / progressChecks))
		count, err := c.TCPConn.Write(p[n:])
		n += count
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.isProgressing(n) {
			return n, err
		}
	}
}

// isProgressing reports whether the client has acknowledged data within stallTimeout. n is the number of bytes written
// since the previous Write returned.
func (c *clientConn) isProgressing(n int) bool {
	buffered := 0
	c.withDescriptor(func(fd int) { buffered, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	now := time.Now()
	if acked := c.written + int64(n) - int64(buffered); acked > c.acked {
		c.acked, c.ackedAt = acked, now
	}
	return now.Sub(c.ackedAt) < c.stallTimeout
}

// SetReadDeadline sets net/http's read deadline, but keeps the one in the past while the connection is closing.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// markRejected has the client answered with a 503 if the connection closes without a request.
func (c *clientConn) markRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejectOnClose = true
}

// setClosing starts or cancels the closing of the connection by a read deadline in the past. It reports whether the
// state has changed.
func (c *clientConn) setClosing(closing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closing == c.closing {
		return false
	}
	c.closing = closing
	if !closing {
		c.rejectOnClose = false
	}
	deadline := time.Time{}
	if closing {
		deadline = time.Unix(1, 0)
	}
	c.TCPConn.SetReadDeadline(deadline)
	return true
}

func newConnTracker(budget, maxKept int) *connTracker {
	c := &connTracker{budget: budget, maxKept: maxKept, configured: [2]int{budget, maxKept}, newConns: map[*clientConn]uint64{}, idle: map[*clientConn]uint64{}}
	c.slotFreed = sync.NewCond(&c.mu)
	return c
}

// setShare limits the budget to one of parts equal shares. Idle connections beyond it are closed at once, the others as
// they become idle.
func (c *connTracker) setShare(parts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget, c.maxKept = max(1, c.configured[0]/parts), max(1, c.configured[1]/parts)
	for over := c.open - c.closingCount - c.budget; over > 0 && len(c.idle) > 0; over-- {
		c.closeOldest(c.idle)
	}
	c.slotFreed.Broadcast()
}

// connStateChanged is the http.Server.ConnState hook.
func (c *connTracker) connStateChanged(nc net.Conn, s http.ConnState) {
	conn := nc.(*clientConn)
	conn.serving.Store(s == http.StateActive)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.newConns, conn)
	delete(c.idle, conn)
	c.sequence++
	switch s {
	case http.StateNew:
		c.open++
		c.newConns[conn] = c.sequence
	case http.StateIdle:
		c.idle[conn] = c.sequence
		if c.open-len(c.newConns)-c.closingCount > c.maxKept {
			c.closeOldest(c.idle)
		}
	case http.StateActive:
		conn.setStreaming(false, 0)
		if conn.setClosing(false) {
			c.closingCount--
		}
	case http.StateClosed, http.StateHijacked:
		if c.open--; conn.setClosing(false) {
			c.closingCount--
		}
	}
	c.slotFreed.Signal()
}

// oldestConn returns the connection with the lowest sequence number, or nil if there is none.
func oldestConn(conns map[*clientConn]uint64) *clientConn {
	var oldest *clientConn
	for conn, sequence := range conns {
		if oldest == nil || sequence < conns[oldest] {
			oldest = conn
		}
	}
	return oldest
}

// closeOldest starts to close the oldest connection of a set; its server goroutine reports the close by
// connStateChanged.
func (c *connTracker) closeOldest(conns map[*clientConn]uint64) {
	if oldest := oldestConn(conns); oldest != nil {
		delete(conns, oldest)
		if oldest.setClosing(true) {
			c.closingCount++
		}
	}
}

// closeIdle starts to close all idle connections and, if includeNew, those without a first request.
func (c *connTracker) closeIdle(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := []map[*clientConn]uint64{c.idle, c.newConns}
	if !includeNew {
		groups = groups[:1]
	}
	for _, m := range groups {
		for conn := range m {
			if conn.setClosing(true) {
				c.closingCount++
			}
		}
		clear(m)
	}
}

// waitClosed waits until all closing connections are closed, or until the timeout.
func (c *connTracker) waitClosed(timeout time.Duration) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		closing := c.closingCount
		c.mu.Unlock()
		if closing == 0 {
			return
		}
	}
}

// closeIdlePeriodically closes the connections without a call every idleCloseInterval, until stop is closed.
func (c *connTracker) closeIdlePeriodically(stop <-chan struct{}) {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.closeIdle(true)
		}
	}
}

// waitForSlot waits until one more connection may be open, and closes connections without a call meanwhile.
func (c *connTracker) waitForSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open >= c.maxOpen() {
		c.evictOne()
		c.slotFreed.Wait()
	}
}

// evictOne starts to close one connection without a call. While the budget is reduced, a connection without a first
// request is answered with a 503: few may be open then, and it may have been opened a moment ago.
func (c *connTracker) evictOne() {
	if len(c.newConns) <= c.maxOpen()/4 && len(c.idle) > 0 {
		c.closeOldest(c.idle)
		return
	}
	if conn := oldestConn(c.newConns); conn != nil && c.isReduced() {
		conn.markRejected()
	}
	c.closeOldest(c.newConns)
}

// maxOpen returns the number of connections that may be open now.
func (c *connTracker) maxOpen() int {
	if c.isReduced() {
		return min(c.budget, c.reducedBudget)
	}
	return c.budget
}

// isReduced reports whether the reduced budget is in force, because the process has recently run out of descriptors.
func (c *connTracker) isReduced() bool {
	return c.reducedBudget > 0 && time.Now().Before(c.reducedUntil)
}

// reduceBudget is called when the process has no descriptor left although the budget is not used up. For
// reducedBudgetPeriod the clients leave a part of their descriptors to the registry watch and the connections to app
// nodes. Otherwise reconnecting clients would take each released descriptor before these could.
func (c *connTracker) reduceBudget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reducedBudget, c.reducedUntil = max(1, min(c.maxOpen(), c.open-max(minReleased, c.open/3))), time.Now().Add(reducedBudgetPeriod)
	for over := c.open - c.closingCount - c.reducedBudget; over > 0 && len(c.newConns)+len(c.idle) > 0; over-- {
		c.evictOne()
	}
}

// limitedListener accepts connections within the budget of its connTracker, and rejects clients at once when the process
// has no descriptor left.
type limitedListener struct {
	net.Listener
	conns *connTracker
	spare *spareDescriptor
}

func (c *connTracker) limitListener(l net.Listener) net.Listener {
	return &limitedListener{l, c, newSpareDescriptor()}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case err == nil && l.spare.acquire():
			l.conns.waitForSlot() // after Accept, so that no connection is closed before another one needs its slot
			return &clientConn{TCPConn: nc.(*net.TCPConn)}, nil
		case err == nil:
			l.conns.reduceBudget()
			rejectConn(nc)
			l.spare.acquire()
		case !isOutOfDescriptors(err):
			return nil, err
		default:
			l.conns.reduceBudget()
			l.conns.closeIdle(false)
			if !l.spare.release() {
				time.Sleep(spareRetryDelay)
			}
		}
	}
}

func (l *limitedListener) Close() error {
	l.spare.close()
	return l.Listener.Close()
}
