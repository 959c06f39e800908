package acceptor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/reducer"
)

// gate stops the server at a state of a connection, until it is opened.
type stateGate struct {
	state    http.ConnState
	reached  chan net.Conn // at the gate
	released chan struct{}
	once     sync.Once
}

func newStateGate(at http.ConnState) *stateGate {
	return &stateGate{state: at, reached: make(chan net.Conn, 1), released: make(chan struct{})}
}

func (g *stateGate) install(a *Acceptor) {
	changed := a.server.ConnState
	a.server.ConnState = func(nc net.Conn, s http.ConnState) {
		changed(nc, s)
		if s == g.state {
			g.once.Do(func() {
				g.reached <- nc
				<-g.released
			})
		}
	}
}

// holds waits until the kernel holds so many bytes for a connection, or its end.
func waitBuffered(t *testing.T, nc net.Conn, n int) {
	t.Helper()
	raw, err := nc.(*clientConn).TCPConn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		buffered := 0
		raw.Control(func(fd uintptr) { buffered, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
		if buffered >= n {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d bytes of %d came", buffered, n)
		}
	}
}

// A request may have come on a connection at the moment at which that ends, since it carried none: because its time is over,
// to make room, for operators, or at the end. It is read and answered all the same, on the last leg of its connection or not.
func TestRequestArrivingDuringCloseIsServed(t *testing.T) {
	request := strings.ReplaceAll(lookupRequest, "\n", "\r\n") + "\r\n"
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		for name, end := range map[string]func(*testAcceptor){
			"time":   func(f *testAcceptor) {}, // see below
			"parted": func(f *testAcceptor) { f.Part(true) },
			"room": func(f *testAcceptor) {
				f.conns.mu.Lock()
				defer f.conns.mu.Unlock()
				f.conns.closeOldest(f.conns.newConns)
				f.conns.closeOldest(f.conns.idle)
			},
			"the end": func(f *testAcceptor) {
				go f.Drain()
				for told := false; !told; time.Sleep(time.Millisecond) {
					f.conns.mu.Lock()
					told = f.conns.closing > 0
					f.conns.mu.Unlock()
				}
			},
		} {
			t.Run(fmt.Sprintf("%s, %v", name, state), func(t *testing.T) {
				t.Parallel()
				g := newStateGate(state)
				f := startAcceptorWith(t, 10, 0, func(a *Acceptor) {
					g.install(a)
					if name != "time" {
						return
					}
					if a.server.IdleTimeout = 1; state == http.StateNew {
						a.server.ReadHeaderTimeout = 1 // over before anything is read
					}
				})
				c := f.dial()
				if state == http.StateIdle {
					c.send(lookupRequest, "")
					f.Answer(f.nextEvent().(reducer.Arrived).Call.ID, servedReply("first"))
					c.readResponse()
				}
				nc := <-g.reached
				io.WriteString(c, request)
				waitBuffered(t, nc, len(request))
				end(f)
				close(g.released)
				e, ok := f.nextEvent().(reducer.Arrived)
				if !ok {
					t.Fatalf("%+v", e)
				}
				f.Answer(e.Call.ID, servedReply("crossed"))
				if resp, body := c.readResponse(); resp.StatusCode != 200 || body != "crossed" {
					t.Errorf("%d %q", resp.StatusCode, body)
				}
			})
		}
	}
}

// What has come is half a request, or nothing: then the connection does end.
func TestIncompleteHeaderDuringCloseIsDropped(t *testing.T) {
	for _, said := range []string{"", "GET /lookup HT"} {
		g := newStateGate(http.StateNew)
		f := startAcceptorWith(t, 10, 0, g.install)
		c := f.dial()
		io.WriteString(c, said)
		waitBuffered(t, <-g.reached, len(said))
		f.Part(true)
		close(g.released)
		if all, err := io.ReadAll(c.Reader); len(all) > 0 { // the end may come as a reset, over what nobody has read
			t.Errorf("%q: it is answered with %q, %v", said, all, err)
		}
	}
}

// A close under bytes that nobody has read is answered by the kernel with a reset, and what the client has not yet been sent
// of its answer is lost. So the rest is taken first.
func TestUnreadInputDoesNotResetAnswer(t *testing.T) {
	f := startAcceptor(t, 10)
	nc, err := (&net.Dialer{}).Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	nc.(*net.TCPConn).SetReadBuffer(4 << 10) // it takes little at a time, so that most of the answer stays with us
	next := strings.ReplaceAll(lookupRequest, "\n", "\r\n") + "\r\n"
	io.WriteString(nc, next)
	e := f.nextEvent().(reducer.Arrived)
	io.WriteString(nc, strings.Repeat(next, 300))
	f.draining.Store(true) // so that the connection ends behind the answer
	body := strings.Repeat("0123456789", 6_000)
	f.Answer(e.Call.ID, servedReply(body))
	got, err := io.ReadAll(nc)
	if err != nil && !strings.HasSuffix(string(got), body) {
		t.Errorf("%d bytes of %d, %v", len(got), len(body), err)
	}
}

// The deadline for writing follows the answer, not the settings of the start: a client that waits for its 100 Continue longer
// than any call lasted then still gets it.
func TestLateContinueIsSent(t *testing.T) {
	f := startAcceptorWith(t, 10, 1<<20, func(a *Acceptor) { a.server.WriteTimeout = 20 * time.Millisecond }) // as if it had been right once
	c := f.dial().send("POST"+lookupRequest[3:]+"Content-Length: 100000\nExpect: 100-continue\n", "")
	call := f.nextEvent().(reducer.Arrived).Call
	time.Sleep(100 * time.Millisecond) // no verdict hangs on it: it has to be past the 20 ms
	got := make(chan int)
	go func() {
		all, _ := io.ReadAll(callMessage(call).Upload)
		got <- len(all)
	}()
	if resp, err := http.ReadResponse(c.Reader, nil); err != nil || resp.StatusCode != 100 {
		t.Fatalf("%+v %v", resp, err)
	}
	io.WriteString(c, strings.Repeat("x", 100000))
	if n := <-got; n != 100000 {
		t.Errorf("%d bytes", n)
	}
	f.Answer(call.ID, servedReply("kept"))
	if _, text := c.readResponse(); text != "kept" {
		t.Error(text)
	}
}

// A connection that has said nothing when the program stops taking connections ends then, also one that came last: what is
// said on it later might not be finished before the kill. What was taken goes on meanwhile.
func TestDrainClosesSilentConnections(t *testing.T) {
	f := startAcceptorWith(t, 10, 0, func(a *Acceptor) { a.server.ReadHeaderTimeout, a.server.IdleTimeout = time.Hour, time.Hour })
	busy := f.dial().send(lookupRequest, "")
	call := f.nextEvent().(reducer.Arrived).Call
	kept := f.dial().send(lookupRequest, "")
	f.Answer(f.nextEvent().(reducer.Arrived).Call.ID, servedReply("kept"))
	kept.readResponse()
	silent := f.dial()
	ended := make(chan error, 1)
	go func() { ended <- f.Drain() }()
	plain := referenceServer(t)
	for _, c := range []*testClient{kept, silent} {
		if _, err := c.ReadByte(); err != io.EOF {
			t.Error(err)
		}
	}
	select {
	case <-plain:
		t.Error("it has ended no sooner than it would have by itself")
	default:
	}
	select {
	case err := <-ended:
		t.Fatal("it has ended, with a call open:", err)
	default:
	}
	f.Answer(call.ID, servedReply("busy"))
	if _, body := busy.readResponse(); body != "busy" {
		t.Error(body)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// plainServer says when a server has ended a silent connection for the time that it took over its first head.
func referenceServer(t *testing.T) <-chan struct{} {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: headerTimeout}
	t.Cleanup(func() { server.Close() })
	go server.Serve(l)
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		nc.Read(make([]byte, 1))
	}()
	return ended
}
