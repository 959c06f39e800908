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

// The app nodes write the settings' words, the protocol's example the short ones. Reports in the first form
// were passed over once, which left the decisions without any load figure and showed in no error.
func TestReportsAreReadInEitherWording(t *testing.T) {
	c := New(nil, []string{"utilization", "backlog"}, Bounds{})
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
		if got := c.report(text); !slices.Equal(got, want) {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// link is one connection to an app node that the test plays.
type link struct {
	t      *testing.T
	set    *Connections
	events chan reducer.Event
	room   *flow.Room // for one flow
	node   net.Conn
	read   *bufio.Reader

	stall, flowStall time.Duration
}

func newLink(t *testing.T) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	k := &link{t: t, stall: time.Hour, flowStall: time.Hour, events: make(chan reducer.Event, 10)}
	k.room = flow.NewRoom(1)
	k.set = New(func(e reducer.Event) { k.events <- e }, []string{"utilization", "backlog"},
		Bounds{Largest: 1 << 20, Room: k.room, Wait: 20 * time.Second})
	k.set.Dial(reducer.Dial{Conn: 1, Address: l.Addr().String(), Timeout: 10 * time.Second})
	if k.node, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	k.node.SetDeadline(time.Now().Add(20 * time.Second)) // a hang is a failure
	k.read = bufio.NewReader(k.node)
	if d := (<-k.events).(reducer.Dialed); d.Err != nil {
		t.Fatal(d.Err)
	}
	t.Cleanup(func() { k.set.Close(reducer.Close{Conn: 1}); k.node.Close() })
	return k
}

func (k *link) send(body []byte) {
	k.sendAs(&message.Call{Body: body})
}

func (k *link) sendAs(call *message.Call) {
	call.Request = &http.Request{Method: "POST", Host: "origin.svc", RequestURI: "/booking//a%2Fb?q=1;2&x=%zz",
		Header: http.Header{"X-Request-Id": {"9b1f"}, "Idempotency-Key": {"5c"}, "Expect": {"100-continue"}}}
	k.set.Exchange(reducer.Exchange{Conn: 1, Wait: 300 * time.Millisecond, Stall: k.stall, FlowStall: k.flowStall,
		Call: &reducer.Call{Message: call}})
}

func (k *link) ended() reducer.Exchanged {
	k.t.Helper()
	select {
	case ev := <-k.events:
		return ev.(reducer.Exchanged)
	case <-time.After(20 * time.Second):
		k.t.Fatal("the exchange has no end")
	}
	return reducer.Exchanged{}
}

// exchange sends a call, lets the app node say something, and returns how it ended.
func (k *link) exchange(says string) reducer.Exchanged {
	k.t.Helper()
	k.send([]byte("skip"))
	if _, err := http.ReadRequest(k.read); err != nil {
		k.t.Fatal(err)
	}
	io.CopyN(io.Discard, k.read, 4)
	io.WriteString(k.node, says)
	if !strings.Contains(says, "Content-Length") {
		k.node.Close()
	}
	return k.ended()
}

func TestACallIsWrittenAsItCame(t *testing.T) {
	k := newLink(t)
	k.send([]byte("skip"))
	var got []string
	for {
		line, err := k.read.ReadString('\n')
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
		t.Errorf("%q", got)
	}
}

// Each way in which an answer can come or fail to. What is garbled is an outcome, never a panic or a hang.
func TestHowAnExchangeEnds(t *testing.T) {
	for _, c := range []struct {
		says        string
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
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", 0, false, false, nil}, // it keeps coming
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
		k := newLink(t)
		e := k.exchange(c.says)
		k.lentNothing()
		status, want := 0, reducer.Broke
		if e.Err == nil {
			switch c.status {
			case 200, 204:
				want = reducer.Good
			case 503, 500:
				want = reducer.Errored
			}
			if c.shed {
				want = reducer.Shed
			}
			status = c.status
		}
		if a, ok := e.Message.(*message.Answer); ok {
			if status = a.Status; a.Header.Get("X-Load") != "" {
				t.Errorf("%.60q: the load report goes on to the client", c.says)
			}
		}
		if status != c.status || e.Result != want || e.Reuse != c.reuse || !slices.Equal(e.Report, c.report) ||
			e.Written != reducer.Whole {
			t.Errorf("%.60q: %d %+v", c.says, status, e)
		}
	}
}

// A connection that breaks before the last byte is written proves that the request never ran.
func TestABreakWhileWritingIsToldApart(t *testing.T) {
	k := newLink(t)
	k.send(make([]byte, 64<<20)) // more than the buffers between hold
	if _, err := k.read.ReadByte(); err != nil {
		t.Fatal(err)
	}
	k.node.Close()
	if e := k.ended(); e.Written != reducer.Partly || e.Result != reducer.Broke {
		t.Errorf("%+v", e)
	}
}

// An app node that answers before it has read everything must neither hang the exchange nor leave a connection
// with half a request on it in the pool.
func TestAnAnswerBeforeTheLastByte(t *testing.T) {
	k := newLink(t)
	k.send(make([]byte, 64<<20))
	if _, err := k.read.ReadByte(); err != nil {
		t.Fatal(err)
	}
	io.WriteString(k.node, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n\r\n")
	if e := k.ended(); e.Result != reducer.Shed || e.Reuse || e.Written != reducer.Partly {
		t.Errorf("%+v", e)
	}
}

// An idle connection that the app node closes, or speaks on out of turn, is told of; and if a call was on its way to it
// at that moment, then that call was not written at all.
func TestALostIdleConnection(t *testing.T) {
	for _, says := range []string{"", "HTTP/1.1 408 Slow\r\n\r\n"} {
		k := newLink(t)
		io.WriteString(k.node, says)
		if says == "" {
			k.node.Close()
		}
		if lost, ok := (<-k.events).(reducer.Lost); !ok || lost.Conn != 1 {
			t.Fatalf("%+v", lost)
		}
		k.send(nil)
		if e := k.ended(); e.Written != reducer.Nothing {
			t.Errorf("%+v", e)
		}
	}
}

// An answer does not name its call. What an app node sends behind a good one, a copy of it or noise, may come when
// the next call is already on its way to that connection, and must not become its answer: that call was not written.
func TestWhatComesBetweenCallsIsNoAnswer(t *testing.T) {
	const last = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast"
	k := newLink(t)
	c := k.set.conns[1]
	job := &exchange{call: &message.Call{}, written: make(chan struct{})}
	c.mu.Lock()
	c.job = job // the reducer has picked the connection, the writer has yet to start
	c.mu.Unlock()
	io.WriteString(k.node, last)
	close(job.written)
	if e := k.ended(); e.Err == nil || e.Written != reducer.Nothing {
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
	unread := &conn{nc: near}
	if !unread.quiet() {
		t.Error("nothing has come yet")
	}
	io.WriteString(far, last)
	far.Close()
	for until := time.Now().Add(20 * time.Second); unread.quiet(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("what has come is not seen")
		}
	}
}

func TestARefusedDialIsTold(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	events := make(chan reducer.Event, 1)
	c := New(func(e reducer.Event) { events <- e }, nil, Bounds{})
	c.Dial(reducer.Dial{Conn: 1, Address: l.Addr().String(), Timeout: 10 * time.Second})
	if d, ok := (<-events).(reducer.Dialed); !ok || d.Err == nil {
		t.Errorf("%+v", d)
	}
}

// Before the first byte of a call goes out, its client is looked for once more. For one that has left nothing is written, and
// the connection ends.
func TestNothingIsWrittenForAClientThatHasLeft(t *testing.T) {
	for _, upload := range []bool{false, true} {
		k := newLink(t)
		call := &message.Call{Left: func() bool { return true }}
		if upload {
			call.Upload = flow.NewUpload(strings.NewReader("skip"), 4, 10, time.Hour, time.Now, func(time.Time) {}, func(time.Time) {})
		}
		k.sendAs(call)
		if e := k.ended(); e.Written != reducer.Nothing || e.Result != reducer.Left || e.Reuse || e.Spent {
			t.Errorf("%+v", e)
		}
		k.set.Close(reducer.Close{Conn: 1})
		if all, _ := io.ReadAll(k.read); len(all) > 0 { // the end may be a reset
			t.Errorf("the app node got %q", all)
		}
	}
	k := newLink(t)
	k.sendAs(&message.Call{Left: func() bool { return false }})
	if _, err := http.ReadRequest(k.read); err != nil {
		t.Error(err)
	}
}
