package acceptor

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The system may grant a process fewer descriptors than its budget assumes. A connection that it cannot accept would then
// wait in the kernel until its client times out, as net/http pauses for up to a second after such a failure. So one
// descriptor is held in reserve: once released, it allows the waiting connection to be accepted and answered at once with
// a 503, so that the client retries elsewhere.

const (
	// spareRetryDelay is the pause before the next Accept when another part of the process has taken the spare descriptor.
	spareRetryDelay = 5 * time.Millisecond
	// rejectTimeout bounds each read and write of rejectConn, during which no other connection is accepted.
	rejectTimeout = 20 * time.Millisecond
)

// unavailableResponse is the answer to a rejected client: nothing has been done, and a retry is harmless.
const unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// spareDescriptor holds one open file descriptor in reserve, until close.
type spareDescriptor struct {
	mu     sync.Mutex
	open   func() (io.Closer, error)
	file   io.Closer
	closed bool
}

func newSpareDescriptor() *spareDescriptor {
	s := &spareDescriptor{open: func() (io.Closer, error) { return os.Open(os.DevNull) }}
	s.acquire()
	return s
}

// acquire opens the descriptor again if it is not held, and reports whether it is held.
func (s *spareDescriptor) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil && !s.closed {
		if file, err := s.open(); err == nil {
			s.file = file
		}
	}
	return s.file != nil
}

// release closes the descriptor, so that a connection can be accepted. It returns false if the descriptor is not held.
func (s *spareDescriptor) release() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return false
	}
	s.file.Close()
	s.file = nil
	return true
}

func (s *spareDescriptor) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.release()
}

// isOutOfDescriptors reports whether err says that the process or the system has no descriptor left.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// rejectConn answers a connection that cannot be kept with a 503 and closes it. It reads the client's input first,
// because closing with unread input makes the kernel reset the connection, and the client might not see the answer. A
// client that has sent nothing within rejectTimeout is answered all the same: its request may be on the way.
func rejectConn(nc net.Conn) {
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(rejectTimeout))
	nc.Read(make([]byte, 16<<10))
	nc.SetWriteDeadline(time.Now().Add(rejectTimeout))
	io.WriteString(nc, unavailableResponse)
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	nc.SetReadDeadline(time.Now().Add(rejectTimeout))
	io.Copy(io.Discard, io.LimitReader(nc, 1<<20))
}
