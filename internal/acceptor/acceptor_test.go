package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
)

// front is an acceptor on a loopback socket, with the test in the reducer's place.
type front struct {
	*Acceptor
	t      *testing.T
	addr   string
	events chan reducer.Event
}

func newFront(t *testing.T, budget int) *front { return newFrontTaking(t, budget, 0) }

func newFrontTaking(t *testing.T, budget int, upload int64) *front {
	f := &front{t: t, events: make(chan reducer.Event, 100)}
	f.Acceptor = New(func() time.Duration { return time.Hour }, func(e reducer.Event) { f.events <- e },
		map[string]int{"lookup": 0, "booking": 1}, map[string]int{"acme": 0},
		[]time.Duration{time.Second, time.Second}, budget, 6, Bounds{Upload: upload, ClientIdle: 2 * time.Second})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = l.Addr().String()
	go f.Serve(l)
	t.Cleanup(func() { f.server.Close() })
	return f
}

func sent(c *reducer.Call) *message.Call { return c.Message.(*message.Call) }

// served is an app node's answer, held whole.
func served(body string, header ...string) reducer.Reply {
	m := &message.Answer{Status: 200, Header: http.Header{}, Trailer: new(http.Header), Body: []byte(body)}
	if len(header) > 0 {
		m.Header.Set(header[0], header[1])
	}
	return reducer.Reply{Kind: reducer.Served, Message: m}
}

type caller struct {
	net.Conn
	*bufio.Reader
	t *testing.T
}

func (f *front) dial() *caller {
	f.t.Helper()
	nc, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second)) // a hang is a failure
	return &caller{nc, bufio.NewReader(nc), f.t}
}

func (c *caller) send(head, body string) *caller {
	io.WriteString(c, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n"+body)
	return c
}

func (c *caller) answer() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(body)
}

const lookup = "GET /lookup/a%2Fb//c?q=1;2&key=k%20v&x=%zz HTTP/1.1\nHost: origin.svc\nX-Request-Id: 9b1f\n" +
	"X-Class: lookup\nX-Tenant: acme\nX-Deadline: 480m\n"

// The proxy would drop what it cannot parse of a query and clean paths; an app node must get what the client sent.
func TestACallIsPassedOnAsItCame(t *testing.T) {
	f := newFront(t, 10)
	c := f.dial()
	c.send(lookup, "")
	call := (<-f.events).(reducer.Arrived).Call
	if sent(call).Request.RequestURI != "/lookup/a%2Fb//c?q=1;2&key=k%20v&x=%zz" || call.Key != "k v" ||
		call.Deadline != time.Hour+480*time.Millisecond || call.Class != 0 || call.Tenant != 0 {
		t.Errorf("%+v %s", call, sent(call).Request.RequestURI)
	}
	f.Answer(call.ID, served("price\n", "X-Cache", "hit"))
	f.Answer(call.ID, reducer.Reply{Kind: reducer.Failed}) // the first wins
	if resp, body := c.answer(); resp.StatusCode != 200 || body != "price\n" || resp.Header.Get("X-Cache") != "hit" {
		t.Errorf("%+v %q", resp, body)
	}
	c.send("POST /booking HTTP/1.1\nHost: x\nX-Request-Id: 2\nX-Class: booking\nX-Deadline: 900000u\n"+
		"Idempotency-Key: 5c\nContent-Length: 4\n", "skip")
	call = (<-f.events).(reducer.Arrived).Call
	if string(sent(call).Body) != "skip" || call.Tenant != -1 || sent(call).Request.Header.Get("Idempotency-Key") != "5c" {
		t.Errorf("%+v", call)
	}
	f.Answer(call.ID, reducer.Reply{Kind: reducer.Refused, After: 250 * time.Millisecond})
	if resp, _ := c.answer(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "0.250" {
		t.Errorf("%+v", resp)
	}
}

// What is not a call never reaches the reducer, and so no app node.
func TestWhatIsNoCallIsTurnedAway(t *testing.T) {
	f := newFront(t, 50)
	for _, cut := range []struct{ from, to string }{
		{"X-Request-Id: 9b1f\n", ""}, {"X-Class: lookup\n", ""}, {"X-Class: lookup", "X-Class: other"},
		{"X-Deadline: 480m\n", ""}, {"480m", "480"}, {"480m", "NaNm"}, {"480m", "-1m"}, {"480m", "soon"},
	} {
		if resp, _ := f.dial().send(strings.Replace(lookup, cut.from, cut.to, 1), "").answer(); resp.StatusCode != 400 {
			t.Errorf("%q for %q: %d", cut.to, cut.from, resp.StatusCode)
		}
	}
	c := f.dial()
	c.send(strings.Replace(lookup, "GET", "POST", 1)+"Content-Length: 65537\n", strings.Repeat("x", 65537))
	if resp, _ := c.answer(); resp.StatusCode != 413 {
		t.Errorf("%d for a body over the limit", resp.StatusCode)
	}
	if len(f.events) != 0 {
		t.Errorf("the reducer heard %T", <-f.events)
	}
}

// A body framed both ways may hide a request behind the end that one of the two gives. Neither the call nor what
// stands behind it may pass on, and the connection ends.
func TestABodyFramedBothWaysEndsTheConnection(t *testing.T) {
	f := newFront(t, 10)
	for _, head := range []string{
		"POST /booking HTTP/1.1\nContent-Length: %d\nTransfer-Encoding: chunked\n",
		"POST /booking HTTP/1.0\nContent-Length: %d\nTransfer-Encoding: chunked\n",
		"POST /booking HTTP/1.1\nX-Length: %d\nTransfer-Encoding: chunked\n",
	} {
		hidden := "0\r\n\r\n" + strings.ReplaceAll(lookup, "\n", "\r\n") + "\r\n"
		c := f.dial().send(fmt.Sprintf(head, len(hidden))+strings.SplitAfterN(lookup, "\n", 2)[1], hidden)
		if resp, _ := c.answer(); resp.StatusCode != 411 || !resp.Close {
			t.Errorf("%s: %+v", head, resp)
		}
		if _, err := c.ReadByte(); err == nil {
			t.Error("the connection goes on")
		}
	}
	if len(f.events) != 0 {
		t.Errorf("the reducer heard %T", <-f.events)
	}
}

func TestAClientThatLeavesIsTold(t *testing.T) {
	f := newFront(t, 10)
	c := f.dial().send(strings.Replace(lookup, "GET", "POST", 1)+"Content-Length: 2\n", "ab")
	call := (<-f.events).(reducer.Arrived).Call
	c.Close()
	if gone, ok := (<-f.events).(reducer.ClientGone); !ok || gone.Call != call.ID {
		t.Fatalf("%+v", gone)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiting) != 0 {
		t.Error("the call is still waited for")
	}
}

// Over the budget the longest idle client makes room; one that waits for an answer is left alone.
func TestTheOldestIdleClientMakesRoom(t *testing.T) {
	f := newFront(t, 2)
	one := f.dial().send(lookup, "")
	call := (<-f.events).(reducer.Arrived).Call
	two := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	if resp, _ := two.answer(); resp.StatusCode != 503 {
		t.Fatalf("ready before it was said: %d", resp.StatusCode)
	}
	f.Ready()
	three := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	if resp, _ := three.answer(); resp.StatusCode != 200 {
		t.Fatalf("%d", resp.StatusCode)
	}
	if _, err := two.ReadByte(); err != io.EOF {
		t.Errorf("the idle client: %v", err)
	}
	f.Answer(call.ID, served(""))
	one.answer()
}

// Clients that ask once and keep their connections for good must not use up what the front may open.
func TestConnectionsKeptWithoutUseEnd(t *testing.T) {
	f := newFront(t, 100)
	began := time.Now()
	var all []*caller
	for range 9 {
		c := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
		c.answer()
		all = append(all, c)
	}
	for _, c := range all[:3] {
		if _, err := c.ReadByte(); err != io.EOF {
			t.Errorf("one of the oldest: %v", err)
		}
	}
	if d := time.Since(began); d > idlePatience/2 {
		t.Errorf("the oldest ended after %v", d)
	}
	for _, c := range all[3:] {
		c.send("GET /health/ready HTTP/1.1\nHost: x\n", "").answer()
	}
}

// Connections that say nothing come by hundreds. They must neither fill the budget for those that ask, nor stay.
func TestSilentClientsKeepNobodyOutAndEnd(t *testing.T) {
	f := newFront(t, 8)
	f.Ready()
	usual := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	usual.answer()
	began := time.Now()
	var silent []*caller
	for range 40 {
		silent = append(silent, f.dial())
	}
	for range 3 {
		f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "").answer()
		usual.send("GET /health/ready HTTP/1.1\nHost: x\n", "").answer()
	}
	if d := time.Since(began); d > headerPatience {
		t.Errorf("those that asked waited %v", d)
	}
	for _, c := range silent {
		if _, err := c.ReadByte(); err != io.EOF {
			t.Errorf("a silent client: %v", err)
		}
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Errorf("the silent ones stayed %v", d)
	}
}

// Whatever a client leaves half done, it is told or closed within 3 s, and a length that is too long at once.
func TestAHalfDoneRequestEnds(t *testing.T) {
	for name, says := range map[string]string{
		"half a head":  "GET /lookup HTTP/1.1\r\nHost:",
		"endless head": "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Pad: " + strings.Repeat("p", 1<<20),
		"half a body":  strings.ReplaceAll("POST"+lookup[3:]+"Content-Length: 1000\n\n", "\n", "\r\n") + "ab",
		"no body":      "GET /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n",
		"60 MB":        strings.ReplaceAll("POST"+lookup[3:]+"Content-Length: 60000000\n\n", "\n", "\r\n") + "ab",
		"no length":    strings.ReplaceAll("POST"+lookup[3:]+"Content-Length: -4\n\n", "\n", "\r\n") + "abcd",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFront(t, 10)
			began, c := time.Now(), f.dial()
			go io.WriteString(c, says)
			said, err := io.ReadAll(c.Reader)
			if d := time.Since(began); d > 3*time.Second || strings.HasPrefix(string(said), "HTTP/1.1 200") ||
				len(said) == 0 && err == nil && name == "60 MB" {
				t.Errorf("after %v: %.40q %v", d, said, err)
			}
			if len(f.events) != 0 {
				t.Errorf("the reducer heard %T", <-f.events)
			}
		})
	}
}

// The patience with a body is over once it is there: left in force it would end the call as if its client had left.
func TestASlowAnswerToABodyIsWaitedFor(t *testing.T) {
	f := newFront(t, 10)
	c := f.dial().send("POST"+lookup[3:]+"Content-Length: 2\n", "ab")
	call := (<-f.events).(reducer.Arrived).Call
	select {
	case ev := <-f.events:
		t.Fatalf("%T", ev)
	case <-time.After(bodyPatience + 200*time.Millisecond):
	}
	f.Answer(call.ID, served("late"))
	if _, body := c.answer(); body != "late" {
		t.Error(body)
	}
}

// After the signal to end, what was taken is answered, each answer ends its connection, new connections are
// taken for a while yet, and then none.
func TestDrainFinishesWhatWasTaken(t *testing.T) {
	f := newFront(t, 10)
	f.Ready()
	before := f.dial().send(lookup, "")
	first := (<-f.events).(reducer.Arrived).Call
	began, ended := time.Now(), make(chan struct{})
	go func() { f.Drain(10 * time.Second); close(ended) }()
	for !f.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	after := f.dial().send(lookup, "")
	second := (<-f.events).(reducer.Arrived).Call
	f.Answer(second.ID, served(""))
	if resp, _ := after.answer(); !resp.Close {
		t.Error("the connection was kept")
	}
	for { // until the listener is closed
		nc, err := net.Dial("tcp", f.addr)
		if err != nil {
			break
		}
		nc.Close()
		time.Sleep(5 * time.Millisecond)
	}
	if d := time.Since(began); d < 700*time.Millisecond {
		t.Errorf("accepted for %v only", d)
	}
	f.Answer(first.ID, served("done"))
	if _, body := before.answer(); body != "done" {
		t.Error(body)
	}
	<-ended
}
