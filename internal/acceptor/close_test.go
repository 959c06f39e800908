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

// stateGate stops the server at the first connection that reaches a state, until released is closed.
type stateGate struct {
	state    http.ConnState
	reached  chan net.Conn // receives that connection
	released chan struct{}
	once     sync.Once
}

func newStateGate(at http.ConnState) *stateGate {
	return &stateGate{state: at, reached: make(chan net.Conn, 1), released: make(chan struct{})}
}

func (g *stateGate) install(a *Acceptor) {
	next := a.server.ConnState
	a.server.ConnState = func(nc net.Conn, s http.ConnState) {
		next(nc, s)
		if s == g.state {
			g.once.Do(func() {
				g.reached <- nc
				<-g.released
			})
		}
	}
}

// waitBuffered waits until the kernel has received n bytes for a connection.
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
			t.Fatalf("received %d bytes of %d", buffered, n)
		}
	}
}

// Guards against the loss of a request that arrives while its connection is being closed because it carries no call: by a
// timeout, by eviction, by an operator (CloseClientConns) or by Drain. The request must still be read and answered.
func TestRequestArrivingDuringCloseIsServed(t *testing.T) {
	request := strings.ReplaceAll(lookupRequest, "\n", "\r\n") + "\r\n"
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		for name, end := range map[string]func(*testAcceptor){
			"timeout":        func(ta *testAcceptor) {}, // set by the timeouts below
			"closed by Part": func(ta *testAcceptor) { ta.CloseClientConns(true) },
			"eviction": func(ta *testAcceptor) {
				ta.conns.mu.Lock()
				defer ta.conns.mu.Unlock()
				ta.conns.closeOldest(ta.conns.newConns)
				ta.conns.closeOldest(ta.conns.idle)
			},
			"drain": func(ta *testAcceptor) {
				go ta.Drain()
				for closing := false; !closing; time.Sleep(time.Millisecond) {
					ta.conns.mu.Lock()
					closing = ta.conns.closingCount > 0
					ta.conns.mu.Unlock()
				}
			},
		} {
			t.Run(fmt.Sprintf("%s, %v", name, state), func(t *testing.T) {
				t.Parallel()
				g := newStateGate(state)
				ta := startAcceptorWith(t, 10, 0, func(a *Acceptor) {
					g.install(a)
					if name != "timeout" {
						return
					}
					if a.server.IdleTimeout = 1; state == http.StateNew {
						a.server.ReadHeaderTimeout = 1 // expires before anything is read
					}
				})
				c := ta.dial()
				if state == http.StateIdle {
					c.send(lookupRequest, "")
					ta.Answer(ta.nextEvent().(reducer.Arrived).Call.ID, servedReply("first"))
					c.readResponse()
				}
				nc := <-g.reached
				io.WriteString(c, request)
				waitBuffered(t, nc, len(request))
				end(ta)
				close(g.released)
				e, ok := ta.nextEvent().(reducer.Arrived)
				if !ok {
					t.Fatalf("%+v", e)
				}
				ta.Answer(e.Call.ID, servedReply("crossed"))
				if resp, body := c.readResponse(); resp.StatusCode != 200 || body != "crossed" {
					t.Errorf("%d %q", resp.StatusCode, body)
				}
			})
		}
	}
}

// A connection that is being closed does close if it has received half a request header, or nothing.
func TestIncompleteHeaderDuringCloseIsDropped(t *testing.T) {
	for _, input := range []string{"", "GET /lookup HT"} {
		g := newStateGate(http.StateNew)
		ta := startAcceptorWith(t, 10, 0, g.install)
		c := ta.dial()
		io.WriteString(c, input)
		waitBuffered(t, <-g.reached, len(input))
		ta.CloseClientConns(true)
		close(g.released)
		if all, err := io.ReadAll(c.Reader); len(all) > 0 { // unread input may turn the close into a reset
			t.Errorf("%q was answered with %q, %v", input, all, err)
		}
	}
}

// Guards against a truncated answer: on a close with unread input the kernel sends a reset and drops what the client has
// not yet received. So the input must be read first.
func TestUnreadInputDoesNotResetAnswer(t *testing.T) {
	ta := startAcceptor(t, 10)
	nc, err := (&net.Dialer{}).Dial("tcp", ta.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	nc.(*net.TCPConn).SetReadBuffer(4 << 10) // a small buffer, so that most of the answer waits on the server side
	next := strings.ReplaceAll(lookupRequest, "\n", "\r\n") + "\r\n"
	io.WriteString(nc, next)
	e := ta.nextEvent().(reducer.Arrived)
	io.WriteString(nc, strings.Repeat(next, 300))
	ta.draining.Store(true) // so that the connection closes after the answer
	body := strings.Repeat("0123456789", 6_000)
	ta.Answer(e.Call.ID, servedReply(body))
	got, err := io.ReadAll(nc)
	if err != nil && !strings.HasSuffix(string(got), body) {
		t.Errorf("%d bytes of %d, %v", len(got), len(body), err)
	}
}

// The write deadline follows each write, not the settings at the start: a client that waits for its 100 Continue longer
// than the server's write timeout still gets it.
func TestLateContinueIsSent(t *testing.T) {
	ta := startAcceptorWith(t, 10, 1<<20, func(a *Acceptor) { a.server.WriteTimeout = 20 * time.Millisecond }) // a limit from earlier settings
	c := ta.dial().send("POST"+lookupRequest[3:]+"Content-Length: 100000\nExpect: 100-continue\n", "")
	call := ta.nextEvent().(reducer.Arrived).Call
	time.Sleep(100 * time.Millisecond) // past the write timeout of 20 ms; the length is not checked
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
	ta.Answer(call.ID, servedReply("kept"))
	if _, text := c.readResponse(); text != "kept" {
		t.Error(text)
	}
}

// Connections without a call are closed when Drain stops accepting, the newest included: a request that came on one later
// might not finish before the process is killed. Calls in progress continue.
func TestDrainClosesSilentConnections(t *testing.T) {
	ta := startAcceptorWith(t, 10, 0, func(a *Acceptor) { a.server.ReadHeaderTimeout, a.server.IdleTimeout = time.Hour, time.Hour })
	busy := ta.dial().send(lookupRequest, "")
	call := ta.nextEvent().(reducer.Arrived).Call
	kept := ta.dial().send(lookupRequest, "")
	ta.Answer(ta.nextEvent().(reducer.Arrived).Call.ID, servedReply("kept"))
	kept.readResponse()
	silent := ta.dial()
	ended := make(chan error, 1)
	go func() { ended <- ta.Drain() }()
	reference := referenceServer(t)
	for _, c := range []*testClient{kept, silent} {
		if _, err := c.ReadByte(); err != io.EOF {
			t.Error(err)
		}
	}
	select {
	case <-reference:
		t.Error("the connections closed no sooner than by headerTimeout")
	default:
	}
	select {
	case err := <-ended:
		t.Fatal("Drain returned with a call in progress:", err)
	default:
	}
	ta.Answer(call.ID, servedReply("busy"))
	if _, body := busy.readResponse(); body != "busy" {
		t.Error(body)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// referenceServer returns a channel that is closed when an unmodified http.Server has closed a silent connection by
// headerTimeout.
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
