package acceptor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/reducer"
)

// disconnects are the ways in which a client closes its connection.
var disconnects = map[string]func(*testClient){
	"close":      func(c *testClient) { c.Conn.Close() },
	"reset":      func(c *testClient) { c.Conn.(*net.TCPConn).SetLinger(0); c.Conn.Close() },
	"half close": func(c *testClient) { c.Conn.(*net.TCPConn).CloseWrite() },
}

// nextEvent returns the next event for the reducer.
func (ta *testAcceptor) nextEvent() reducer.Event {
	ta.t.Helper()
	select {
	case e := <-ta.events:
		return e
	case <-time.After(20 * time.Second):
		ta.t.Fatal("no event for the reducer within 20 s")
		return nil
	}
}

func (ta *testAcceptor) expectClientGone(call *reducer.Call) {
	ta.t.Helper()
	if gone, ok := ta.nextEvent().(reducer.ClientGone); !ok || gone.Call != call.ID {
		ta.t.Fatalf("%+v", gone)
	}
}

// A client may have sent bytes behind its request before it disconnects: half of the next request, or several. The
// disconnect must be reported all the same, and none of the pipelined requests forwarded.
func TestDisconnectBehindPipelinedBytes(t *testing.T) {
	next := strings.ReplaceAll(lookupRequest, "\n", "\r\n") + "\r\n"
	for kind, end := range disconnects {
		// Bytes sent together with the request are read with it, as far as the server's buffer goes. The rest, and bytes
		// sent during the call, stay unread in the socket ahead of the disconnect.
		for name, behind := range map[string][2]string{"nothing": {}, "a byte": {"G"}, "a byte later": {"", "G"}, "half": {next[:40]},
			"half later": {"", next[:40]}, "two, one later": {next, next}, "much": {strings.Repeat(next, 60)}} {
			t.Run(kind+" behind "+name, func(t *testing.T) {
				t.Parallel()
				ta := startAcceptor(t, 10)
				c := ta.dial().send(lookupRequest, behind[0])
				call := ta.nextEvent().(reducer.Arrived).Call
				io.WriteString(c, behind[1])
				end(c)
				ta.expectClientGone(call)
				ta.dial().send(strings.Replace(lookupRequest, "9b1f", "fence", 1), "")
				if e := ta.nextEvent().(reducer.Arrived); e.Call.ClientID != "fence" {
					t.Errorf("%s was forwarded for a client that has disconnected", e.Call.ClientID)
				}
			})
		}
	}
}

// Guards against the loss of pipelined requests by the check for disconnects.
func TestPipelinedRequestsAreServed(t *testing.T) {
	ta := startAcceptor(t, 10)
	body := strings.Repeat("x", 5000)
	var all strings.Builder
	for i := range 5 {
		all.WriteString(strings.Replace(lookupRequest, "9b1f", fmt.Sprint(i), 1) + "\n")
		all.WriteString("POST" + lookupRequest[3:strings.Index(lookupRequest, "X-Request")] + fmt.Sprintf("X-Request-Id: b%d\n", i) +
			lookupRequest[strings.Index(lookupRequest, "X-Class"):] + fmt.Sprintf("Content-Length: %d\n\n%s", len(body), body))
	}
	wire := strings.ReplaceAll(all.String(), "\n", "\r\n")
	c := ta.dial()
	sentAll := make(chan struct{})
	first := make(chan struct{})
	go func() {
		defer close(sentAll)
		c.Write([]byte(wire[:len(wire)/3]))
		<-first // the rest arrives during the first call
		c.Write([]byte(wire[len(wire)/3:]))
	}()
	for i := range 10 {
		e, ok := ta.nextEvent().(reducer.Arrived)
		want := fmt.Sprint(i / 2)
		if i%2 == 1 {
			want = "b" + want
		}
		if !ok || e.Call.ClientID != want || i%2 == 1 && string(callMessage(e.Call).Body) != body {
			t.Fatalf("%d: %+v", i, e)
		}
		if i == 0 {
			close(first)
			<-sentAll
		}
		ta.Answer(e.Call.ID, servedReply(want))
		if _, got := c.readResponse(); got != want {
			t.Fatalf("%q for %q", got, want)
		}
	}
}

// lateListener accepts a connection only after its client has disconnected, as a busy process may.
type lateListener struct {
	net.Listener
	t *testing.T
}

func (l lateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		l.t.Error(err)
	}
	raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for n := 0; n == 0; {
			if n, err = unix.Poll(p, 20000); err != nil && err != unix.EINTR || n == 0 && err == nil {
				l.t.Error("the client has not disconnected", err)
				return
			}
		}
	})
	return nc, nil
}

// The request of a client that disconnected before it was read must not be forwarded.
func TestDisconnectBeforeRequestIsRead(t *testing.T) {
	post := func(length int) string {
		return "POST" + lookupRequest[3:] + fmt.Sprintf("Content-Length: %d\n", length)
	}
	for kind, end := range disconnects {
		for name, request := range map[string][2]string{"no body": {lookupRequest, ""}, "a body": {post(4), "skip"},
			"bytes behind": {lookupRequest, "GET"}, "an upload": {post(100000), strings.Repeat("x", 100000)}} {
			if kind == "reset" { // the request is lost with the connection
				continue
			}
			t.Run(kind+" behind "+name, func(t *testing.T) {
				t.Parallel()
				ta := startAcceptorWithUploads(t, 10, 1<<20)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				go ta.Serve(lateListener{l, t})
				direct := ta.addr
				ta.addr = l.Addr().String()
				c := ta.dial().send(request[0], request[1])
				end(c)
				if kind == "half close" { // it may get an answer, and the connection closes
					if resp, err := http.ReadResponse(c.Reader, nil); err == nil && resp.StatusCode != http.StatusBadGateway {
						t.Error(resp.Status)
					}
				}
				ta.addr = direct
				ta.dial().send(strings.Replace(lookupRequest, "9b1f", "fence", 1), "")
				if e := ta.nextEvent().(reducer.Arrived); e.Call.ClientID != "fence" {
					t.Errorf("%s was forwarded for a client that has disconnected", e.Call.ClientID)
				}
			})
		}
	}
}

// A disconnect is reported while the upload waits to be read, however much of it has been sent.
func TestDisconnectWhileUploadWaits(t *testing.T) {
	const length = 300_000
	for kind, end := range disconnects {
		for _, received := range []int{0, 1, 100_000, length} {
			t.Run(fmt.Sprintf("%s after %d bytes", kind, received), func(t *testing.T) {
				t.Parallel()
				ta := startAcceptorWithUploads(t, 10, 1<<20)
				c := ta.dial().send("POST"+lookupRequest[3:]+fmt.Sprintf("Content-Length: %d\n", length), strings.Repeat("x", received))
				call := ta.nextEvent().(reducer.Arrived).Call
				if callMessage(call).Upload == nil {
					t.Fatal("no upload")
				}
				end(c)
				if received == length && kind != "reset" {
					// The disconnect may be hidden behind a full receive buffer: it is seen once that is read, and before the
					// last byte is forwarded to an app node.
					all, err := io.ReadAll(callMessage(call).Upload)
					if err == nil || len(all) >= length {
						t.Errorf("%d bytes were read, %v", len(all), err)
					}
				}
				ta.expectClientGone(call)
			})
		}
	}
}

// ClientDisconnected must report a disconnect also after the server has closed the connection, because the ClientGone
// event may still wait in the reducer's queue.
func TestLeftAfterConnectionIsClosed(t *testing.T) {
	for kind, end := range disconnects {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{}, 1)
			ta := startAcceptorWith(t, 10, 0, func(a *Acceptor) {
				next := a.server.ConnState
				a.server.ConnState = func(nc net.Conn, s http.ConnState) {
					next(nc, s)
					if s == http.StateClosed {
						ended <- struct{}{}
					}
				}
			})
			c := ta.dial().send(lookupRequest, "")
			call := ta.nextEvent().(reducer.Arrived).Call
			end(c)
			ta.expectClientGone(call)
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				t.Fatal("the connection is still open")
			}
			if !callMessage(call).ClientDisconnected() {
				t.Error("the client counts as connected")
			}
		})
	}
}

// A client that has filled the receive buffer behind its request may have disconnected unseen. After bufferFullTimeout it
// counts as disconnected and its call ends. A client that has sent less stays connected, however long it waits.
func TestDisconnectBehindFullReceiveBuffer(t *testing.T) {
	for _, size := range []int{150, 1 << 20} {
		t.Run(fmt.Sprintf("in pieces of %d", size), func(t *testing.T) {
			t.Parallel()
			ta := startAcceptor(t, 10)
			c := ta.dial().send(lookupRequest, "")
			call := ta.nextEvent().(reducer.Arrived).Call
			go func() {
				for range 4 << 20 / size {
					if _, err := c.Write(make([]byte, size)); err != nil {
						return
					}
				}
				c.Conn.Close()
			}()
			for until := time.Now().Add(5 * time.Second); !callMessage(call).ClientDisconnected(); time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatal("the client counts as connected")
				}
			}
			ta.expectClientGone(call)
		})
	}
	for name, sizes := range map[string][]int{"less": {40_000}, "less, in small pieces": slices.Repeat([]int{150}, 130)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ta := startAcceptor(t, 10)
			c := ta.dial().send(lookupRequest, "")
			call := ta.nextEvent().(reducer.Arrived).Call
			for _, size := range sizes {
				if _, err := c.Write(make([]byte, size)); err != nil {
					t.Fatal(err)
				}
			}
			for until := time.Now().Add(4 * bufferFullTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
				if callMessage(call).ClientDisconnected() {
					t.Fatal("the client counts as disconnected")
				}
			}
			ta.Answer(call.ID, servedReply("there"))
			if _, body := c.readResponse(); body != "there" {
				t.Errorf("%q", body)
			}
		})
	}
}

// Nobody reads the connection of an upload that waits, so the disconnect is found by polling, well within the 0.1 s after
// which no attempt may begin or continue. The client disconnects right after a check, the worst moment. The shortest of a
// few tries counts, since the machine may be busy.
func TestUploadDisconnectIsDetectedPromptly(t *testing.T) {
	const bound, tries = 60 * time.Millisecond, 5
	for kind, end := range disconnects {
		shortest := time.Hour
		for range tries {
			ta := startAcceptorWithUploads(t, 10, 1<<20)
			c := ta.dial().send("POST"+lookupRequest[3:]+"Content-Length: 300000\n", "x")
			call := ta.nextEvent().(reducer.Arrived).Call
			end(c)
			left := time.Now()
			ta.expectClientGone(call)
			shortest = min(shortest, time.Since(left))
		}
		if shortest > bound {
			t.Errorf("%s: disconnect reported after %v at best", kind, shortest)
		}
	}
}

// lateReader is a request body that is read only once the client has disconnected, as by a process that waits for the
// CPU.
type lateReader struct {
	t *testing.T
	*clientConn
}

func (l lateReader) Read(p []byte) (int, error) {
	for until := time.Now().Add(20 * time.Second); !l.isDisconnected(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			l.t.Error("the client has not disconnected")
			break
		}
	}
	return l.TCPConn.Read(p)
}

// An upload of which nothing has arrived when its attempt is to begin waits for the client inside the attempt. Bytes that
// then come from a client that has disconnected must not be forwarded, because the attempt would begin with them.
func TestUploadDoesNotStartAfterDisconnect(t *testing.T) {
	for kind, end := range disconnects {
		t.Run(kind, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			io.WriteString(nc, strings.Repeat("x", 5000))
			end(&testClient{Conn: nc})
			c := &clientConn{TCPConn: accepted.(*net.TCPConn)}
			body := &connectedReader{Reader: lateReader{t, c}, conn: c, remaining: 300_000}
			if n, err := body.Read(make([]byte, 10_000)); n > 0 || err == nil {
				t.Errorf("%d bytes were read, %v", n, err)
			}
		})
	}
}
