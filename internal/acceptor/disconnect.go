package acceptor

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

// The call of a client that has closed its connection must not be forwarded any more. net/http detects a disconnect
// during a call by a background read of one byte. But that read ends with the first byte behind the request, does not
// run while a body is still to be read, and may come after the call has been forwarded if the client disconnected before
// its request was read. The code here therefore checks the socket for the disconnect, even behind unread bytes.

const (
	// disconnectCheckInterval is the interval of checks during a call with an unread upload, as nobody reads its
	// connection while it waits. No attempt may begin 0.1 s after the client has disconnected. A check costs two system
	// calls.
	disconnectCheckInterval = 20 * time.Millisecond
	// bufferFullTimeout is how long the receive buffer may be full, which hides a disconnect, before the client counts as
	// disconnected. It leaves a margin below those 0.1 s.
	bufferFullTimeout = 60 * time.Millisecond
	// The receive buffer counts as full once fullNumerator/fullDenominator of its memory is in use. The kernel accepts no
	// more when less than a sixteenth is free, or less than a segment.
	fullNumerator, fullDenominator = 7, 8
)

// isDisconnected reports whether the client has closed its connection, or the connection is broken or already closed
// locally.
func (c *clientConn) isDisconnected() bool {
	disconnected := true
	c.withDescriptor(func(fd int) { disconnected = hungUp(fd) })
	return disconnected
}

// isPresumedGone is isDisconnected for a client whose request has been read completely. Bytes that it has sent behind the
// request stay unread, and once they fill the receive buffer a disconnect cannot be seen: the client then counts as gone
// after bufferFullTimeout.
func (c *clientConn) isPresumedGone() bool {
	gone := true
	c.withDescriptor(func(fd int) { gone = hungUp(fd) || c.isBufferFullTooLong(fd) })
	return gone
}

// isBufferFullTooLong reports whether the receive buffer has been full for bufferFullTimeout, so that it may hide a
// disconnect. It records when the buffer was first seen full.
func (c *clientConn) isBufferFullTooLong(fd int) bool {
	isFull := isBufferFull(fd)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !isFull:
		c.bufferFullSince = time.Time{}
	case c.bufferFullSince.IsZero():
		c.bufferFullSince = time.Now()
	default:
		return time.Since(c.bufferFullSince) >= bufferFullTimeout
	}
	return false
}

// isBufferFull reports whether the kernel may accept no more input from the client until some is read. Small segments use
// several times their size in memory, so that the buffer may be full with far less than half its capacity in bytes. A
// large segment uses little more than its size, and no second one may fit beside it. If the kernel does not report its
// memory use, only the bytes count.
func isBufferFull(fd int) bool {
	unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return false
	}
	capacity, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err != nil {
		return false
	}
	// The first number of SO_MEMINFO is the memory in use for input (SK_MEMINFO_RMEM_ALLOC, sock_diag.h).
	used, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_MEMINFO)
	if err != nil {
		used = 0
	}
	return unread >= capacity/2 || used >= capacity/fullDenominator*fullNumerator
}

// waitForHangUp stands in for net/http's background read, but consumes no byte: pipelined input stays in the socket until
// its request is read. It returns when the client disconnects, or when the read deadline expires.
func (c *clientConn) waitForHangUp() (int, error) {
	raw, err := c.TCPConn.SyscallConn()
	if err == nil {
		err = raw.Read(func(fd uintptr) bool {
			c.isBufferFullTooLong(int(fd)) // records since when the buffer is full
			return hungUp(int(fd))
		})
	}
	if err == nil {
		err = io.EOF
	}
	return 0, err
}

// hungUp reports whether the peer of a socket has shut down its side, or the connection is broken. While earlier input is
// still unread, poll(2) tells (POLLRDHUP).
func hungUp(fd int) bool {
	n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil || n == 0:
		return true
	}
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(p, 0)
	return err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// connectedReader reads an upload, of known length or chunked, and fails if the client has disconnected when the first or
// the last piece is read: the first begins an attempt, and the last would complete the request at the app node. Before,
// the disconnect may have been hidden behind more data than the receive buffer holds.
type connectedReader struct {
	io.Reader
	conn      *clientConn
	remaining int64 // bytes still to be read; negative: unknown
	started   bool
}

var errUploadAborted = errors.New("the client has disconnected while its upload was read")

func (s *connectedReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.remaining -= int64(n)
	if (!s.started || s.remaining == 0 || err == io.EOF) && s.conn.isDisconnected() {
		return 0, errUploadAborted
	}
	s.started = true
	return n, err
}
