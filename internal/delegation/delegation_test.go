package delegation

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/flow"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
)

// App nodes send the settings' column names, the protocol's example has short ones. Reports in the first form were once
// ignored, which left decisions without load figures and caused no error.
func TestParseReportAcceptsAliases(t *testing.T) {
	connections := New(nil, []string{"utilization", "backlog"}, Limits{})
	for text, want := range map[string][]float64{
		"utilization=0.878,backlog=5.063": {0.878, 5.063},
		"inflight=7,queue=2,util=0.61":    {0.61, 2},
		"backlog=1, utilization=0.5":      {0.5, 1},
		"utilization=0.878":               nil,
		"utilization=NaN,backlog=1":       nil,
		"utilization=-1,backlog=1":        nil,
		"utilization=,backlog":            nil,
		"":                                nil,
	} {
		if got := connections.parseReport(text); !slices.Equal(got, want) {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// testConn is one connection to an app node whose side the test plays.
type testConn struct {
	t           *testing.T
	connections *Connections
	events      chan reducer.Event
	room        *flow.MemoryLimit // for one body
	nodeConn    net.Conn
	nodeReader  *bufio.Reader

	readTimeout, flowReadTimeout time.Duration
}

func newTestConn(t *testing.T) *testConn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	k := &testConn{t: t, readTimeout: time.Hour, flowReadTimeout: time.Hour, events: make(chan reducer.Event, 10)}
	k.room = flow.NewMemoryLimit(1)
	k.connections = New(func(e reducer.Event) { k.events <- e }, []string{"utilization", "backlog"},
		Limits{MaxAnswerBytes: 1 << 20, Memory: k.room, MemoryWait: 20 * time.Second})
	k.connections.Dial(reducer.Dial{Conn: 1, Address: l.Addr().String(), Timeout: 10 * time.Second})
	if k.nodeConn, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	k.nodeConn.SetDeadline(time.Now().Add(20 * time.Second)) // a hang is a failure
	k.nodeReader = bufio.NewReader(k.nodeConn)
	if d := (<-k.events).(reducer.Dialed); d.Err != nil {
		t.Fatal(d.Err)
	}
	t.Cleanup(func() { k.connections.Close(reducer.Close{Conn: 1}); k.nodeConn.Close() })
	return k
}

func (k *testConn) send(body []byte) {
	k.sendCall(&message.Call{Body: body})
}

func (k *testConn) sendCall(call *message.Call) {
	call.Request = &http.Request{Method: "POST", Host: "origin.svc", RequestURI: "/booking//a%2Fb?q=1;2&x=%zz",
		Header: http.Header{"X-Request-Id": {"9b1f"}, "Idempotency-Key": {"5c"}, "Expect": {"100-continue"}}}
	k.connections.Exchange(reducer.Exchange{Conn: 1, TimeLeft: 300 * time.Millisecond, ReadTimeout: k.readTimeout, FlowReadTimeout: k.flowReadTimeout,
		Call: &reducer.Call{Message: call}})
}

// waitExchanged returns the result of the exchange, and fails the test if there is none within 20 s.
func (k *testConn) waitExchanged() reducer.Exchanged {
	k.t.Helper()
	select {
	case ev := <-k.events:
		return ev.(reducer.Exchanged)
	case <-time.After(20 * time.Second):
		k.t.Fatal("no Exchanged event within 20 s")
	}
	return reducer.Exchanged{}
}

// exchange sends a call, writes the app node's response, and returns the result. Without a Content-Length in the
// response the app node closes the connection behind it.
func (k *testConn) exchange(response string) reducer.Exchanged {
	k.t.Helper()
	k.send([]byte("skip"))
	if _, err := http.ReadRequest(k.nodeReader); err != nil {
		k.t.Fatal(err)
	}
	io.CopyN(io.Discard, k.nodeReader, 4)
	io.WriteString(k.nodeConn, response)
	if !strings.Contains(response, "Content-Length") {
		k.nodeConn.Close()
	}
	return k.waitExchanged()
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	k := newTestConn(t)
	k.send([]byte("skip"))
	var got []string
	for {
		line, err := k.nodeReader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line = strings.TrimSpace(line); line == "" {
			break
		}
		got = append(got, line)
	}
	want := []string{"POST /booking//a%2Fb?q=1;2&x=%zz HTTP/1.1", "Host: origin.svc", "Content-Length: 4",
		"Idempotency-Key: 5c", "X-Deadline: 300000u", "X-Request-Id: 9b1f"}
	if !slices.Equal(got, want) {
		t.Errorf("request %q", got)
	}
}

// The result of every kind of answer, complete or not. A malformed answer has a result and neither panics nor hangs.
func TestExchangeResults(t *testing.T) {
	for _, c := range []struct {
		response    string
		status      int // 0: no answer
		shed, reuse bool
		report      []float64
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: utilization=0.5,backlog=1\r\n\r\nok", 200, false, true,
			[]float64{0.5, 1}},
		{"HTTP/1.1 200 OK\r\nX-Load: {\"\r\nContent-Length: 2\r\nX-Load: utilization=0.5,backlog=1\r\n\r\nok", 200, false, true,
			[]float64{0.5, 1}},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", 200, false, false, nil},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, false, true, nil},
		{"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nX-Load: what\r\n\r\n", 500, false, true, nil},
		{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n\r\n", 503, true, true, nil},
		{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", 503, false, true, nil},
		{"HTTP/1.1 204 Nothing\r\nContent-Length: 0\r\n\r\n", 204, false, true, nil},
		{"HTTP/1.1 500 Oops\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), 500, false, false, nil},
		{"HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\nX-No: Content-Length\r\n\r\n2\r\nno\r\n0\r\n\r\n", 500, false, true, nil},
		{"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\nx", 0, false, false, nil},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", 0, false, false, nil}, // a body over the limit is not read
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nskipskips", 0, false, false, nil},
		{"HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\nskipskips", 0, false, false, nil},
		{"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nskip", 0, false, false, nil},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nskipHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nskip", 200, false, false, nil},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", 0, false, false, nil},
		{"HTTP/1.1 200 OK\r\nX-Length: 10\r\nContent-length: 10\r\n\r\nskip", 0, false, false, nil},
		{"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 90000) + "\r\n\r\n", 0, false, false, nil},
		{"FTP says hello\r\n\r\n", 0, false, false, nil},
		{strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9), 0, false, false, nil},
		{"", 0, false, false, nil},
	} {
		k := newTestConn(t)
		e := k.exchange(c.response)
		k.checkNothingLent()
		status, want := 0, reducer.ResultBroken
		if e.Err == nil {
			switch c.status {
			case 200, 204:
				want = reducer.ResultGood
			case 503, 500:
				want = reducer.ResultAppError
			}
			if c.shed {
				want = reducer.ResultShed
			}
			status = c.status
		}
		if a, ok := e.Message.(*message.Answer); ok {
			if status = a.Status; a.Header.Get("X-Load") != "" {
				t.Errorf("%.60q: the load report was forwarded to the client", c.response)
			}
		}
		if status != c.status || e.Result != want || e.Reusable != c.reuse || !slices.Equal(e.Report, c.report) ||
			e.Written != reducer.WroteAll {
			t.Errorf("%.60q: status %d, result %+v", c.response, status, e)
		}
	}
}

// A connection that breaks before the last byte is written proves that the request cannot have run.
func TestConnectionBreaksWhileWriting(t *testing.T) {
	k := newTestConn(t)
	k.send(make([]byte, 64<<20)) // more than the socket buffers hold
	if _, err := k.nodeReader.ReadByte(); err != nil {
		t.Fatal(err)
	}
	k.nodeConn.Close()
	if e := k.waitExchanged(); e.Written != reducer.WrotePart || e.Result != reducer.ResultBroken {
		t.Errorf("%+v", e)
	}
}

// An app node that answers before it has read the whole request must neither hang the exchange nor leave the connection,
// with half a request on it, in the pool.
func TestEarlyAnswer(t *testing.T) {
	k := newTestConn(t)
	k.send(make([]byte, 64<<20))
	if _, err := k.nodeReader.ReadByte(); err != nil {
		t.Fatal(err)
	}
	io.WriteString(k.nodeConn, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n\r\n")
	if e := k.waitExchanged(); e.Result != reducer.ResultShed || e.Reusable || e.Written != reducer.WrotePart {
		t.Errorf("%+v", e)
	}
}

// An idle connection that the app node closes or sends unsolicited bytes on is reported as lost. A call sent to it
// afterwards is reported as not written.
func TestIdleConnectionLost(t *testing.T) {
	for _, bytes := range []string{"", "HTTP/1.1 408 Slow\r\n\r\n"} {
		k := newTestConn(t)
		io.WriteString(k.nodeConn, bytes)
		if bytes == "" {
			k.nodeConn.Close()
		}
		if lost, ok := (<-k.events).(reducer.Lost); !ok || lost.Conn != 1 {
			t.Fatalf("no Lost event for connection 1: %+v", lost)
		}
		k.send(nil)
		if e := k.waitExchanged(); e.Written != reducer.WroteNothing {
			t.Errorf("%+v", e)
		}
	}
}

// An HTTP/1.1 answer does not identify its request. What an app node sends after a complete answer, a duplicate or
// garbage, may arrive when the next call is already assigned to the connection. It must not become the answer to that
// call, which is reported as not written.
func TestUnsolicitedBytesAreNotAnAnswer(t *testing.T) {
	const previous = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast"
	k := newTestConn(t)
	c := k.connections.byID[1]
	ex := &exchange{call: &message.Call{}, writerDone: make(chan struct{})}
	c.mu.Lock()
	c.current = ex // the reducer has picked the connection, the writer has not started
	c.mu.Unlock()
	io.WriteString(k.nodeConn, previous)
	close(ex.writerDone)
	if e := k.waitExchanged(); e.Err == nil || e.Written != reducer.WroteNothing {
		t.Errorf("%+v", e)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	idle := &conn{nc: near}
	if !idle.quiet() {
		t.Error("connection not quiet before anything was sent")
	}
	io.WriteString(far, previous)
	far.Close()
	for until := time.Now().Add(20 * time.Second); idle.quiet(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("connection still quiet 20 s after an answer was sent")
		}
	}
}

func TestRefusedDialIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	events := make(chan reducer.Event, 1)
	c := New(func(e reducer.Event) { events <- e }, nil, Limits{})
	c.Dial(reducer.Dial{Conn: 1, Address: l.Addr().String(), Timeout: 10 * time.Second})
	if d, ok := (<-events).(reducer.Dialed); !ok || d.Err == nil {
		t.Errorf("%+v", d)
	}
}

// Before the first byte of a call is written, its client is checked once more. If it has disconnected, nothing is
// written and the connection is closed.
func TestNothingIsWrittenAfterClientLeft(t *testing.T) {
	for _, upload := range []bool{false, true} {
		k := newTestConn(t)
		call := &message.Call{ClientDisconnected: func() bool { return true }}
		if upload {
			call.Upload = flow.NewUpload(strings.NewReader("skip"), 4, 10, time.Hour, time.Now, func(time.Time) {}, func(time.Time) {})
		}
		k.sendCall(call)
		if e := k.waitExchanged(); e.Written != reducer.WroteNothing || e.Result != reducer.ResultClientLeft || e.Reusable || e.BodyUsed {
			t.Errorf("%+v", e)
		}
		k.connections.Close(reducer.Close{Conn: 1})
		if received, _ := io.ReadAll(k.nodeReader); len(received) > 0 { // the error may be a reset
			t.Errorf("the app node received %q", received)
		}
	}
	k := newTestConn(t)
	k.sendCall(&message.Call{ClientDisconnected: func() bool { return false }})
	if _, err := http.ReadRequest(k.nodeReader); err != nil {
		t.Error(err)
	}
}
