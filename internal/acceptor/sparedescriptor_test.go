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

// scarce is a listener of a process that has so many descriptors left, as the system would count them.
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

// given is a descriptor that counts as given back when it is closed.
func (s *scarceListener) descriptor() io.Closer { return closerFunc(func() { s.available.Add(1) }) }

type closerFunc func()

func (c closerFunc) Close() error { c(); return nil }

// Where the system gives fewer descriptors than the balancer was told, a client that comes on a new connection is told to go
// elsewhere at once. It used to wait in the kernel for net/http's next look, and beyond its time.
func TestClientIsRejectedWithoutDescriptors(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scarceListener{Listener: lis}
	s.available.Store(3) // the spare one, and two connections
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
	for range 3 { // and again: the spare one is taken back each time
		nc := dial()
		io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Fatalf("turned away with %+v: %v", resp, err)
		}
		s.available.Add(1) // its descriptor is free again
		if rest, err := io.ReadAll(nc); len(rest) > 0 || err != nil {
			t.Fatalf("then %q %v", rest, err)
		}
	}
	s.available.Add(2) // others have given descriptors back
	dial()
	if nc := <-accepted; nc == nil {
		t.Fatal("with descriptors again nobody is taken")
	}
	l.Close()
	if _, ok := <-accepted; ok {
		t.Error("a closed listener accepts")
	}
}

// tcpPair is a connection by its two ends.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
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

// isTurnedAway checks what a client reads: the answer that sends it elsewhere, and the end.
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

// A client whose request is still on its way when its time to speak is over is told to go elsewhere too. Its connection
// used to end without an answer, as the time for the answer was over with that for the request.
func TestLateRequestIsRejectedWithAnAnswer(t *testing.T) {
	near, far := tcpPair(t)
	rejectConn(near)
	checkRejected(t, far)
}

// newcomer is a connection that has said nothing yet, with net/http's first read of it under way.
func newSilentConn(t *testing.T, conns *connTracker) (far net.Conn, read <-chan error) {
	near, far := tcpPair(t)
	conn := &clientConn{TCPConn: near}
	conns.connStateChanged(conn, http.StateNew)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 4096))
		conn.Close()
		conns.connStateChanged(conn, http.StateClosed)
		done <- err
	}()
	return far, done
}

// Where descriptors turn out to be short, connections that have just come make room. Each is told to go elsewhere: its
// request may be on the way. They used to be closed without a word.
func TestSilentConnectionIsRejectedForLackOfDescriptors(t *testing.T) {
	conns := newConnTracker(10, 10)
	first, firstRead := newSilentConn(t, conns)
	_, secondRead := newSilentConn(t, conns)
	conns.reduceBudget() // leaves one
	assert.ErrorIs(t, <-firstRead, os.ErrDeadlineExceeded)
	checkRejected(t, first)
	conns.closeIdle(true)
	assert.ErrorIs(t, <-secondRead, os.ErrDeadlineExceeded)
}

// Within the budget, those that say nothing make room without a word, as before.
func TestSilentConnectionIsClosedWithinBudget(t *testing.T) {
	conns := newConnTracker(1, 1)
	far, read := newSilentConn(t, conns)
	conns.waitForSlot()
	assert.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
	said, err := io.ReadAll(far)
	assert.NilError(t, err)
	assert.Equal(t, string(said), "")
}

// A request that has come by the time its connection is to make room is read, and nothing is said of room.
func TestPendingRequestIsReadDuringEviction(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	conns := newConnTracker(10, 10)
	near, far := tcpPair(t)
	conn := &clientConn{TCPConn: near}
	conns.connStateChanged(conn, http.StateNew)
	newSilentConn(t, conns)
	_, err := io.WriteString(far, request)
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
