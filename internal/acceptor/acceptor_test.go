package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/flow"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/tenants"
)

// front is an acceptor on a loopback socket, with the test in the reducer's place.
type testAcceptor struct {
	*Acceptor
	t      *testing.T
	addr   string
	events chan reducer.Event
}

func startAcceptor(t *testing.T, budget int) *testAcceptor {
	return startAcceptorWithUploads(t, budget, 0)
}

func startAcceptorWithUploads(t *testing.T, budget int, upload int64) *testAcceptor {
	return startAcceptorWith(t, budget, upload, func(*Acceptor) {})
}

// newFrontWith has the acceptor changed before it serves.
func startAcceptorWith(t *testing.T, budget int, upload int64, change func(*Acceptor)) *testAcceptor {
	f := &testAcceptor{t: t, events: make(chan reducer.Event, 100)}
	f.Acceptor = New(func() time.Duration { return time.Hour }, func(e reducer.Event) { f.events <- e },
		map[string]int{"lookup": 0, "booking": 1}, []time.Duration{time.Second, time.Second}, acmeTenants(), budget, 6, Bounds{Upload: upload, ClientIdle: 2 * time.Second})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = l.Addr().String()
	change(f.Acceptor)
	go f.Serve(l)
	t.Cleanup(func() { f.server.Close() })
	return f
}

// acme is a table with one tenant.
func acmeTenants() *tenants.Table {
	t := new(tenants.Table)
	t.Put("acme", tenants.Terms{Quota: 12.5, Share: 1}, 0, 0)
	return t
}

func callMessage(c *reducer.Call) *message.Call { return c.Message.(*message.Call) }

// served is an app node's answer, held whole.
func servedReply(body string, header ...string) reducer.Reply {
	m := &message.Answer{Status: 200, Header: http.Header{}, Trailer: new(http.Header), Body: []byte(body)}
	if len(header) > 0 {
		m.Header.Set(header[0], header[1])
	}
	return reducer.Reply{Kind: reducer.Served, Message: m}
}

type testClient struct {
	net.Conn
	*bufio.Reader
	t *testing.T
}

func (f *testAcceptor) dial() *testClient {
	f.t.Helper()
	nc, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second)) // a hang is a failure
	return &testClient{nc, bufio.NewReader(nc), f.t}
}

func (c *testClient) send(head, body string) *testClient {
	io.WriteString(c, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n"+body)
	return c
}

func (c *testClient) readResponse() (*http.Response, string) {
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

const lookupRequest = "GET /lookup/a%2Fb//c?q=1;2&key=k%20v&x=%zz HTTP/1.1\nHost: origin.svc\nX-Request-Id: 9b1f\n" +
	"X-Class: lookup\nX-Tenant: acme\nX-Deadline: 480m\n"

// The proxy would drop what it cannot parse of a query and clean paths; an app node must get what the client sent.
func TestCallIsForwardedUnchanged(t *testing.T) {
	f := startAcceptor(t, 10)
	c := f.dial()
	c.send(lookupRequest, "")
	call := (<-f.events).(reducer.Arrived).Call
	if callMessage(call).Request.RequestURI != "/lookup/a%2Fb//c?q=1;2&key=k%20v&x=%zz" || call.Key != "k v" ||
		call.Deadline != time.Hour+480*time.Millisecond || call.Class != 0 || call.Tenant != 0 || call.Quota != 12.5 {
		t.Errorf("%+v %s", call, callMessage(call).Request.RequestURI)
	}
	f.Answer(call.ID, servedReply("price\n", "X-Cache", "hit"))
	f.Answer(call.ID, reducer.Reply{Kind: reducer.Failed}) // the first wins
	if resp, body := c.readResponse(); resp.StatusCode != 200 || body != "price\n" || resp.Header.Get("X-Cache") != "hit" {
		t.Errorf("%+v %q", resp, body)
	}
	c.send("POST /booking HTTP/1.1\nHost: x\nX-Request-Id: 2\nX-Class: booking\nX-Deadline: 900000u\n"+
		"Idempotency-Key: 5c\nContent-Length: 4\n", "skip")
	call = (<-f.events).(reducer.Arrived).Call
	if string(callMessage(call).Body) != "skip" || call.Tenant != -1 || call.Quota != 0 || callMessage(call).Request.Header.Get("Idempotency-Key") != "5c" {
		t.Errorf("%+v", call)
	}
	f.Answer(call.ID, reducer.Reply{Kind: reducer.Refused, After: 250 * time.Millisecond})
	if resp, _ := c.readResponse(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "0.250" {
		t.Errorf("%+v", resp)
	}
}

// What is not a call never reaches the reducer, and so no app node.
func TestInvalidRequestIsRejected(t *testing.T) {
	f := startAcceptor(t, 50)
	for _, cut := range []struct{ from, to string }{
		{"X-Request-Id: 9b1f\n", ""}, {"X-Class: lookup\n", ""}, {"X-Class: lookup", "X-Class: other"},
		{"X-Deadline: 480m\n", ""}, {"480m", "480"}, {"480m", "NaNm"}, {"480m", "-1m"}, {"480m", "soon"},
	} {
		if resp, _ := f.dial().send(strings.Replace(lookupRequest, cut.from, cut.to, 1), "").readResponse(); resp.StatusCode != 400 {
			t.Errorf("%q for %q: %d", cut.to, cut.from, resp.StatusCode)
		}
	}
	c := f.dial()
	c.send(strings.Replace(lookupRequest, "GET", "POST", 1)+"Content-Length: 65537\n", strings.Repeat("x", 65537))
	if resp, _ := c.readResponse(); resp.StatusCode != 413 {
		t.Errorf("%d for a body over the limit", resp.StatusCode)
	}
	if len(f.events) != 0 {
		t.Errorf("the reducer heard %T", <-f.events)
	}
}

// A body framed both ways may hide a request behind the end that one of the two gives. Neither the call nor what
// stands behind it may pass on, and the connection ends.
func TestDoubleFramedBodyClosesConnection(t *testing.T) {
	f := startAcceptor(t, 10)
	for _, head := range []string{
		"POST /booking HTTP/1.1\nContent-Length: %d\nTransfer-Encoding: chunked\n",
		"POST /booking HTTP/1.0\nContent-Length: %d\nTransfer-Encoding: chunked\n",
		"POST /booking HTTP/1.1\ncontent-length:%d\nX-Between: 1\ntransfer-encoding: chunked\n",
		"POST /booking HTTP/1.1\nTransfer-Encoding:\n chunked\nContent-Length: %d\n",
	} {
		hidden := "0\r\n\r\n" + strings.ReplaceAll(lookupRequest, "\n", "\r\n") + "\r\n"
		c := f.dial().send(fmt.Sprintf(head, len(hidden))+strings.SplitAfterN(lookupRequest, "\n", 2)[1], hidden)
		if resp, _ := c.readResponse(); resp.StatusCode != 400 || !resp.Close {
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

func TestClientDisconnectIsReported(t *testing.T) {
	f := startAcceptor(t, 10)
	c := f.dial().send(strings.Replace(lookupRequest, "GET", "POST", 1)+"Content-Length: 2\n", "ab")
	call := (<-f.events).(reducer.Arrived).Call
	c.Close()
	if gone, ok := (<-f.events).(reducer.ClientGone); !ok || gone.Call != call.ID {
		t.Fatalf("%+v", gone)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) != 0 {
		t.Error("the call is still waited for")
	}
}

// Over the budget the longest idle client makes room; one that waits for an answer is left alone.
func TestOldestIdleConnectionIsEvicted(t *testing.T) {
	f := startAcceptor(t, 2)
	one := f.dial().send(lookupRequest, "")
	call := (<-f.events).(reducer.Arrived).Call
	two := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	if resp, _ := two.readResponse(); resp.StatusCode != 503 {
		t.Fatalf("ready before it was said: %d", resp.StatusCode)
	}
	f.Ready()
	three := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	if resp, _ := three.readResponse(); resp.StatusCode != 200 {
		t.Fatalf("%d", resp.StatusCode)
	}
	if _, err := two.ReadByte(); err != io.EOF {
		t.Errorf("the idle client: %v", err)
	}
	f.Answer(call.ID, servedReply(""))
	one.readResponse()
}

// Clients that ask once and keep their connections for good must not use up what the front may open.
func TestExcessIdleConnectionsAreClosed(t *testing.T) {
	f := startAcceptor(t, 100)
	began := time.Now()
	var all []*testClient
	for i := range 9 {
		c := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
		c.readResponse()
		all = append(all, c)
		for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) { // until the server counts it as idle
			f.conns.mu.Lock()
			idle := len(f.conns.idle)
			f.conns.mu.Unlock()
			if idle == min(i+1, 6) {
				break
			} else if time.Now().After(until) {
				t.Fatalf("%d idle after %d", idle, i+1)
			}
		}
	}
	for _, c := range all[:3] {
		if _, err := c.ReadByte(); err != io.EOF {
			t.Errorf("one of the oldest: %v", err)
		}
	}
	if d := time.Since(began); d > idleTimeout/2 {
		t.Errorf("the oldest ended after %v", d)
	}
	for _, c := range all[3:] {
		c.send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse()
	}
}

// Connections that say nothing come by hundreds. They must neither fill the budget for those that ask, nor stay.
func TestSilentConnectionsDoNotExhaustBudget(t *testing.T) {
	f := startAcceptor(t, 8)
	f.Ready()
	usual := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	usual.readResponse()
	began := time.Now()
	var silent []*testClient
	for range 40 {
		silent = append(silent, f.dial())
	}
	for range 3 {
		f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse()
		usual.send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse()
	}
	if d := time.Since(began); d > headerTimeout {
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
func TestIncompleteRequestEnds(t *testing.T) {
	for name, says := range map[string]string{
		"half a head":  "GET /lookup HTTP/1.1\r\nHost:",
		"endless head": "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Pad: " + strings.Repeat("p", 1<<20),
		"half a body":  strings.ReplaceAll("POST"+lookupRequest[3:]+"Content-Length: 1000\n\n", "\n", "\r\n") + "ab",
		"no body":      "GET /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n",
		"60 MB":        strings.ReplaceAll("POST"+lookupRequest[3:]+"Content-Length: 60000000\n\n", "\n", "\r\n") + "ab",
		"no length":    strings.ReplaceAll("POST"+lookupRequest[3:]+"Content-Length: -4\n\n", "\n", "\r\n") + "abcd",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startAcceptor(t, 10)
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
func TestBodyTimeoutDoesNotApplyToAnswer(t *testing.T) {
	f := startAcceptor(t, 10)
	c := f.dial().send("POST"+lookupRequest[3:]+"Content-Length: 2\n", "ab")
	call := (<-f.events).(reducer.Arrived).Call
	select {
	case ev := <-f.events:
		t.Fatalf("%T", ev)
	case <-time.After(bodyTimeout + 200*time.Millisecond):
	}
	f.Answer(call.ID, servedReply("late"))
	if _, body := c.readResponse(); body != "late" {
		t.Error(body)
	}
}

// After the signal to end, what was taken is answered, each answer ends its connection, new connections are
// taken for a while yet, and then none.
func TestDrainFinishesAcceptedCalls(t *testing.T) {
	f := startAcceptor(t, 10)
	f.Ready()
	before := f.dial().send(lookupRequest, "")
	first := (<-f.events).(reducer.Arrived).Call
	began, ended := time.Now(), make(chan struct{})
	go func() {
		if err := f.Drain(); err != nil {
			t.Error(err)
		}
		close(ended)
	}()
	for !f.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	after := f.dial().send(lookupRequest, "")
	second := (<-f.events).(reducer.Arrived).Call
	f.Answer(second.ID, servedReply(""))
	if resp, _ := after.readResponse(); !resp.Close {
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
	f.Answer(first.ID, servedReply("done"))
	if _, body := before.readResponse(); body != "done" {
		t.Error(body)
	}
	<-ended
}

// lendable is a large answer whose beginning is held and whose rest the test gives.
func streamedReply(room *flow.Room, length int, held string) (reducer.Reply, *io.PipeWriter) {
	lease, err := room.Take(nil, 0)
	if err != nil {
		panic(err)
	}
	rest, more := io.Pipe()
	m := &message.Answer{Status: 200, Header: http.Header{}, Trailer: new(http.Header),
		Flow: flow.New(lease, append(lease.Held(), held...), rest, 1<<30)}
	if length >= 0 {
		m.Header.Set("Content-Length", strconv.Itoa(length))
	}
	return reducer.Reply{Kind: reducer.Served, Message: m}, more
}

// What flows reaches the client piece by piece, as it comes, and whole; the memory comes back; the connection is used on.
func TestAnswerIsStreamed(t *testing.T) {
	f := startAcceptor(t, 10)
	c := f.dial()
	for _, length := range []int{9, -1} {
		c.send(lookupRequest, "")
		call := (<-f.events).(reducer.Arrived).Call
		room := flow.NewRoom(1)
		reply, more := streamedReply(room, length, "abc")
		f.Answer(call.ID, reply)
		resp, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, piece := range []string{"abc", "def", "ghi"} { // each before the next is there
			if piece != "abc" {
				io.WriteString(more, piece)
			}
			got := make([]byte, 3)
			if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != piece {
				t.Fatalf("%q %v, want %q", got, err, piece)
			}
		}
		if length < 0 {
			reply.Message.(*message.Answer).Trailer = &http.Header{"X-Sum": {"5"}}
		}
		more.Close()
		if rest, err := io.ReadAll(resp.Body); len(rest) != 0 || err != nil {
			t.Errorf("%q %v", rest, err)
		}
		if length < 0 && resp.Trailer.Get("X-Sum") != "5" {
			t.Errorf("trailer %v", resp.Trailer)
		}
		c.send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse() // the same connection
		if now, _ := room.Lent(); now != 0 {
			t.Errorf("%d bytes still lent", now)
		}
	}
}

// A break in the middle must show: a body short of its length, or chunks without their last.
func TestTruncatedStreamIsVisible(t *testing.T) {
	for _, length := range []int{100, -1} {
		f := startAcceptor(t, 10)
		c := f.dial().send(lookupRequest, "")
		call := (<-f.events).(reducer.Arrived).Call
		room := flow.NewRoom(1)
		reply, more := streamedReply(room, length, "abc")
		f.Answer(call.ID, reply)
		io.WriteString(more, "def")
		more.CloseWithError(io.ErrUnexpectedEOF)
		resp, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err == nil || string(got) != "abcdef" {
			t.Errorf("%q %v", got, err)
		}
		if _, err := c.ReadByte(); err == nil {
			t.Error("the connection goes on")
		}
		f.waitMemoryReturned(room)
	}
}

// idle waits until nothing is lent any more.
func (f *testAcceptor) waitMemoryReturned(room *flow.Room) {
	f.t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if now, _ := room.Lent(); now == 0 {
			return
		} else if time.Now().After(until) {
			f.t.Fatalf("%d bytes still lent", now)
		}
	}
}

// A client that leaves while nothing comes for it is told of, and one that takes nothing ends the flow by itself: when it
// has been idle for too long, or at the call's deadline. One that takes little, but something, is waited for.
func TestStreamEndsWithoutItsClient(t *testing.T) {
	f := startAcceptor(t, 10)
	c := f.dial().send(lookupRequest, "")
	call := (<-f.events).(reducer.Arrived).Call
	room := flow.NewRoom(1)
	reply, more := streamedReply(room, -1, "abc")
	f.Answer(call.ID, reply)
	c.ReadByte()
	c.Close()
	if gone, ok := (<-f.events).(reducer.ClientGone); !ok || gone.Call != call.ID {
		t.Fatalf("%+v", gone)
	}
	more.CloseWithError(net.ErrClosed) // as the delegation does
	f.waitMemoryReturned(room)

	f.bounds.ClientIdle = 40 * time.Millisecond
	c = f.dial()
	c.send(lookupRequest, "")
	call = (<-f.events).(reducer.Arrived).Call
	reply, more = streamedReply(room, -1, "abc")
	f.Answer(call.ID, reply)
	endless := make(chan struct{})
	go func() {
		defer close(endless)
		piece := make([]byte, 1<<20)
		for {
			if _, err := more.Write(piece); err != nil {
				return
			}
		}
	}()
	<-reply.Message.(*message.Answer).Flow.Ended()
	if err := reply.Message.(*message.Answer).Flow.Err(); err != flow.ErrStopped {
		t.Error(err)
	}
	more.CloseWithError(net.ErrClosed)
	<-endless
	f.waitMemoryReturned(room)
}

// An upload goes on to whoever reads it, and a 100 Continue goes to the client when that begins; an answer in its middle
// ends it and the connection; where uploads are not taken they are refused unread.
func TestUploadIsStreamed(t *testing.T) {
	f := startAcceptorWithUploads(t, 10, 1<<20)
	f.bounds.ClientIdle = time.Hour // so that nothing here ends by itself
	head := "POST" + lookupRequest[3:] + "Content-Length: 100000\n"
	body := strings.Repeat("0123456789", 10000)
	c := f.dial().send(head+"Expect: 100-continue\n", "")
	call := (<-f.events).(reducer.Arrived).Call
	up := callMessage(call).Upload
	if !call.OneShot || up == nil || up.Length != 100000 {
		t.Fatalf("%+v", call)
	}
	if c.Buffered() != 0 {
		t.Error("told to go on before anybody reads")
	}
	got := make(chan string)
	go func() {
		all, _ := io.ReadAll(up)
		got <- string(all)
	}()
	if resp, err := http.ReadResponse(c.Reader, nil); err != nil || resp.StatusCode != 100 {
		t.Fatalf("%+v %v", resp, err)
	}
	io.WriteString(c, body)
	if all := <-got; all != body {
		t.Errorf("%d bytes", len(all))
	}
	if e := (<-f.events).(reducer.Uploaded); e.Call != call.ID {
		t.Errorf("%+v", e)
	}
	f.Answer(call.ID, servedReply("kept"))
	if resp, text := c.readResponse(); text != "kept" || resp.Close {
		t.Errorf("%+v %q", resp, text)
	}
	c.send(head, body[:1000])
	call = (<-f.events).(reducer.Arrived).Call
	go io.Copy(io.Discard, callMessage(call).Upload)
	for !callMessage(call).Upload.Touched() {
		time.Sleep(time.Millisecond)
	}
	f.Answer(call.ID, servedReply("enough"))
	if resp, text := c.readResponse(); text != "enough" || !resp.Close {
		t.Errorf("%+v %q", resp, text)
	}
	io.WriteString(c, body[1000:50000]) // nobody wants it, and it does not cost the client its answer
	if _, err := c.ReadByte(); err == nil {
		t.Error("the connection goes on")
	}
	if resp, _ := f.dial().send("POST"+lookupRequest[3:]+"Content-Length: 1048577\n", "").readResponse(); resp.StatusCode != 413 {
		t.Errorf("%d for an upload over the limit", resp.StatusCode)
	}
}

// A body that takes longer than the server has for a whole call does not cost the client its answer.
func TestSlowBodyIsAnswered(t *testing.T) {
	f := startAcceptorWith(t, 10, 1<<20, func(a *Acceptor) { a.server.WriteTimeout = 20 * time.Millisecond })
	c := f.dial().send("POST"+lookupRequest[3:]+"Content-Length: 100000\n", "")
	call := (<-f.events).(reducer.Arrived).Call
	read := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, callMessage(call).Upload)
		read <- err
	}()
	for range 10 {
		time.Sleep(4 * time.Millisecond) // past the server's time, whatever else delays it
		io.WriteString(c, strings.Repeat("x", 10000))
	}
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	<-f.events
	f.Answer(call.ID, servedReply("kept"))
	if resp, text := c.readResponse(); text != "kept" || resp.StatusCode != 200 {
		t.Errorf("%+v %q", resp, text)
	}
}

// A body in chunks, with extensions and a trailer, is taken whole where it is short. It is the connection's last: what stands
// behind it is never read as a request.
func TestChunkedBody(t *testing.T) {
	f := startAcceptorWithUploads(t, 10, 1<<20)
	head := "POST" + lookupRequest[3:] + "Transfer-Encoding: chunked\n"
	c := f.dial().send(head, "3;why=not\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 5\r\n\r\n"+strings.ReplaceAll(lookupRequest, "\n", "\r\n")+"\r\n")
	call := (<-f.events).(reducer.Arrived).Call
	if m := callMessage(call); string(m.Body) != "abcde" || m.Upload != nil || call.OneShot {
		t.Fatalf("%+v", m)
	}
	f.Answer(call.ID, servedReply("kept"))
	if resp, text := c.readResponse(); text != "kept" || !resp.Close {
		t.Errorf("%+v %q", resp, text)
	}
	if _, err := c.ReadByte(); err == nil {
		t.Error("the connection goes on")
	}
	if len(f.events) != 0 {
		t.Errorf("the reducer heard %T", <-f.events)
	}
	long := strings.Repeat("0123456789", 20000)
	c = f.dial().send(head, "")
	go fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(long), long)
	call = (<-f.events).(reducer.Arrived).Call
	up := callMessage(call).Upload
	if !call.OneShot || up == nil || up.Length != -1 {
		t.Fatalf("%+v", call)
	}
	if all, err := io.ReadAll(up); string(all) != long || err != nil {
		t.Errorf("%d bytes, %v", len(all), err)
	}
	if e := (<-f.events).(reducer.Uploaded); e.Call != call.ID {
		t.Errorf("%+v", e)
	}
	f.Answer(call.ID, servedReply("kept too"))
	if resp, text := c.readResponse(); text != "kept too" || !resp.Close {
		t.Errorf("%+v %q", resp, text)
	}
}

// A client that takes a little now and then is no idle one: its patience counts from the last byte that it took, not from
// the beginning of a piece that is too large for the buffers between.
func TestSlowReaderIsNotTimedOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	far.(*net.TCPConn).SetReadBuffer(8 << 10)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.(*net.TCPConn).SetWriteBuffer(8 << 10)
	conn := &clientConn{TCPConn: nc.(*net.TCPConn)}
	conn.setStreaming(true, time.Second)
	wrote := make(chan error, 1)
	go func() {
		n, err := conn.Write(make([]byte, 400<<10))
		if err == nil && n != 400<<10 {
			err = io.ErrShortWrite
		}
		wrote <- err
	}()
	read, tick := 0, time.NewTicker(40*time.Millisecond) // 1.6 s in all, past the patience
	defer tick.Stop()
	for range 40 {
		<-tick.C
		n, err := io.ReadFull(far, make([]byte, 10<<10))
		if read += n; err != nil {
			t.Fatalf("after %d bytes: %v, %v", read, err, <-wrote)
		}
	}
	if err := <-wrote; err != nil {
		t.Error(err)
	}
}

// While another version serves, clients' connections between calls go that are over this one's part, and the front is told
// yes to the end, since the other one is ready.
func TestClientBudgetIsShared(t *testing.T) {
	f := startAcceptor(t, 8)
	f.Ready()
	var kept []*testClient
	for range 6 {
		c := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
		if resp, _ := c.readResponse(); resp.StatusCode != 200 {
			t.Fatalf("%+v", resp)
		}
		kept = append(kept, c)
	}
	f.Share(2)
	for _, c := range kept[:2] { // the oldest two of six, for four
		if _, err := c.ReadByte(); err != io.EOF {
			t.Errorf("%v", err)
		}
	}
	f.draining.Store(true)
	if resp, _ := kept[5].send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%+v", resp)
	}
	f.Share(1)
	if resp, _ := f.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse(); resp.StatusCode != 503 {
		t.Errorf("%+v", resp)
	}
}
