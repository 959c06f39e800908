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
)

// scarce is a listener of a process that has so many descriptors left, as the system would count them.
type scarce struct {
	net.Listener
	left atomic.Int64
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.left.Add(-1) < 0 {
		s.left.Add(1)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	nc, err := s.Listener.Accept()
	if err != nil {
		s.left.Add(1)
	}
	return nc, err
}

// given is a descriptor that counts as given back when it is closed.
func (s *scarce) given() io.Closer { return closer(func() { s.left.Add(1) }) }

type closer func()

func (c closer) Close() error { c(); return nil }

// Where the system gives fewer descriptors than the balancer was told, a client that comes on a new connection is told to go
// elsewhere at once. It used to wait in the kernel for net/http's next look, and beyond its time.
func TestAClientIsTurnedAwayWithoutDescriptors(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scarce{Listener: lis}
	s.left.Store(3) // the spare one, and two connections
	l := newClients(10, 10).limit(s).(*limited)
	l.spare.close()
	l.spare = &spare{open: func() (io.Closer, error) {
		if s.left.Add(-1) < 0 {
			s.left.Add(1)
			return nil, syscall.EMFILE
		}
		return s.given(), nil
	}}
	if !l.spare.keep() {
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
		s.left.Add(1) // its descriptor is free again
		if rest, err := io.ReadAll(nc); len(rest) > 0 || err != nil {
			t.Fatalf("then %q %v", rest, err)
		}
	}
	s.left.Add(2) // others have given descriptors back
	dial()
	if nc := <-accepted; nc == nil {
		t.Fatal("with descriptors again nobody is taken")
	}
	l.Close()
	if _, ok := <-accepted; ok {
		t.Error("a closed listener accepts")
	}
}
