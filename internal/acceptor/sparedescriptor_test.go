package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scarceListener is the listener of a process with a limited number of available descriptors.
type scarceListener struct {
	net.Listener
	available atomic.Int64
}

func (s *scarceListener) Accept() (net.Conn, error) {
	if s.available.Add(-1) < 0 {
		s.available.Add(1)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	nc, err := s.Listener.Accept()
	if err != nil {
		s.available.Add(1)
	}
	return nc, err
}

// descriptor returns a descriptor that becomes available again when it is closed.
func (s *scarceListener) descriptor() io.Closer { return closerFunc(func() { s.available.Add(1) }) }

type closerFunc func()

func (c closerFunc) Close() error { c(); return nil }

// If the system grants fewer descriptors than the budget assumes, a new connection is answered with a 503 at once. Without
// the spare descriptor it waited in the kernel for net/http's next Accept, past the client's timeout.
func TestClientIsRejectedWithoutDescriptors(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scarceListener{Listener: lis}
	s.available.Store(3) // the spare one and two connections
	l := newConnTracker(10, 10).limitListener(s).(*limitedListener)
	l.spare.close()
	l.spare = &spareDescriptor{open: func() (io.Closer, error) {
		if s.available.Add(-1) < 0 {
			s.available.Add(1)
			return nil, syscall.EMFILE
		}
		return s.descriptor(), nil
	}}
	if !l.spare.acquire() {
		t.Fatal("no spare descriptor at the start")
	}
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- nc
		}
	}()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		return nc
	}
	dial()
	dial()
	<-accepted
	<-accepted
	for range 3 { // repeatedly: the spare descriptor is acquired again each time
		nc := dial()
		io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Fatalf("rejected with %+v: %v", resp, err)
		}
		s.available.Add(1) // its descriptor is free again
		if rest, err := io.ReadAll(nc); len(rest) > 0 || err != nil {
			t.Fatalf("after the answer: %q %v", rest, err)
		}
	}
	s.available.Add(2) // other parts have released descriptors
	dial()
	if nc := <-accepted; nc == nil {
		t.Fatal("no connection is accepted although descriptors are available again")
	}
	l.Close()
	if _, ok := <-accepted; ok {
		t.Error("the closed listener accepted a connection")
	}
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lis.Close()
	dialled, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	accepted, err := lis.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

// checkRejected checks that a client reads a 503 and then the end of the connection.
func checkRejected(t *testing.T, client net.Conn) {
	t.Helper()
	in := bufio.NewReader(client)
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close)
	rest, err := io.ReadAll(in)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
}

// A client whose request has not arrived within rejectTimeout is answered with a 503 too. Its connection used to close
// without an answer, because the deadline of the answer was that of the request.
func TestLateRequestIsRejectedWithAnAnswer(t *testing.T) {
	local, remote := tcpPair(t)
	rejectConn(local)
	checkRejected(t, remote)
}

// newSilentConn returns the client's end of a connection without a first request, and the result of the read of it that
// runs in place of net/http's.
func newSilentConn(t *testing.T, conns *connTracker) (remote net.Conn, read <-chan error) {
	local, remote := tcpPair(t)
	conn := &clientConn{TCPConn: local}
	conns.connStateChanged(conn, http.StateNew)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 4096))
		conn.Close()
		conns.connStateChanged(conn, http.StateClosed)
		done <- err
	}()
	return remote, done
}

// When descriptors run out, connections without a first request are closed. Each is answered with a 503, because its
// request may be on the way; they used to be closed without an answer.
func TestSilentConnectionIsRejectedForLackOfDescriptors(t *testing.T) {
	conns := newConnTracker(10, 10)
	first, firstRead := newSilentConn(t, conns)
	_, secondRead := newSilentConn(t, conns)
	conns.reduceBudget() // leaves one open
	assert.ErrorIs(t, <-firstRead, os.ErrDeadlineExceeded)
	checkRejected(t, first)
	conns.closeIdle(true)
	assert.ErrorIs(t, <-secondRead, os.ErrDeadlineExceeded)
}

// If the budget is used up but descriptors are not, a silent connection is closed without an answer.
func TestSilentConnectionIsClosedWithinBudget(t *testing.T) {
	conns := newConnTracker(1, 1)
	remote, read := newSilentConn(t, conns)
	conns.waitForSlot()
	assert.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
	response, err := io.ReadAll(remote)
	assert.NilError(t, err)
	assert.Equal(t, string(response), "")
}

// A request that has arrived when its connection is evicted for lack of descriptors is read, and the connection is not
// answered with a 503.
func TestPendingRequestIsReadDuringEviction(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	conns := newConnTracker(10, 10)
	local, remote := tcpPair(t)
	conn := &clientConn{TCPConn: local}
	conns.connStateChanged(conn, http.StateNew)
	newSilentConn(t, conns)
	_, err := io.WriteString(remote, request)
	assert.NilError(t, err)
	conns.reduceBudget()
	p := make([]byte, 4096)
	n, err := conn.Read(p)
	assert.NilError(t, err)
	assert.Equal(t, string(p[:n]), request)
	conns.connStateChanged(conn, http.StateActive)
	assert.Assert(t, !conn.rejectOnClose)
	conns.closeIdle(true)
}
