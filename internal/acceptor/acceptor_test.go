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

// testAcceptor is an Acceptor on a loopback socket. The test takes the place of the reducer.
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

// startAcceptorWith calls configure before the acceptor serves.
func startAcceptorWith(t *testing.T, budget int, upload int64, configure func(*Acceptor)) *testAcceptor {
	ta := &testAcceptor{t: t, events: make(chan reducer.Event, 100)}
	ta.Acceptor = New(func() time.Duration { return time.Hour }, func(e reducer.Event) { ta.events <- e },
		map[string]int{"lookup": 0, "booking": 1}, []time.Duration{time.Second, time.Second}, acmeTenants(), budget, 6, BodyLimits{MaxUploadBytes: upload, ClientIdleTimeout: 2 * time.Second})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ta.addr = l.Addr().String()
	configure(ta.Acceptor)
	go ta.Serve(l)
	t.Cleanup(func() { ta.server.Close() })
	return ta
}

// acmeTenants returns a table with the tenant acme.
func acmeTenants() *tenants.Table {
	t := new(tenants.Table)
	t.Put("acme", tenants.Terms{Quota: 12.5, Share: 1}, 0, 0)
	return t
}

func callMessage(c *reducer.Call) *message.Call { return c.Message.(*message.Call) }

// servedReply is a buffered answer of an app node, with an optional header name and value.
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

func (ta *testAcceptor) dial() *testClient {
	ta.t.Helper()
	nc, err := net.Dial("tcp", ta.addr)
	if err != nil {
		ta.t.Fatal(err)
	}
	ta.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second)) // a hang is a failure
	return &testClient{nc, bufio.NewReader(nc), ta.t}
}

func (c *testClient) send(header, body string) *testClient {
	io.WriteString(c, strings.ReplaceAll(header, "\n", "\r\n")+"\r\n"+body)
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

// Guards against changes of the request target: the proxy by default drops query parameters that it cannot parse and
// cleans paths.
func TestCallIsForwardedUnchanged(t *testing.T) {
	ta := startAcceptor(t, 10)
	c := ta.dial()
	c.send(lookupRequest, "")
	call := (<-ta.events).(reducer.Arrived).Call
	if callMessage(call).Request.RequestURI != "/lookup/a%2Fb//c?q=1;2&key=k%20v&x=%zz" || call.Key != "k v" ||
		call.Deadline != time.Hour+480*time.Millisecond || call.Class != 0 || call.Tenant != 0 || call.Quota != 12.5 {
		t.Errorf("%+v %s", call, callMessage(call).Request.RequestURI)
	}
	ta.Answer(call.ID, servedReply("price\n", "X-Cache", "hit"))
	ta.Answer(call.ID, reducer.Reply{Kind: reducer.Failed}) // ignored: the first answer wins
	if resp, body := c.readResponse(); resp.StatusCode != 200 || body != "price\n" || resp.Header.Get("X-Cache") != "hit" {
		t.Errorf("%+v %q", resp, body)
	}
	c.send("POST /booking HTTP/1.1\nHost: x\nX-Request-Id: 2\nX-Class: booking\nX-Deadline: 900000u\n"+
		"Idempotency-Key: 5c\nContent-Length: 4\n", "skip")
	call = (<-ta.events).(reducer.Arrived).Call
	if string(callMessage(call).Body) != "skip" || call.Tenant != -1 || call.Quota != 0 || callMessage(call).Request.Header.Get("Idempotency-Key") != "5c" {
		t.Errorf("%+v", call)
	}
	ta.Answer(call.ID, reducer.Reply{Kind: reducer.Refused, RetryAfter: 250 * time.Millisecond})
	if resp, _ := c.readResponse(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "0.250" {
		t.Errorf("%+v", resp)
	}
}

// A request that is not a valid call must not reach the reducer, and so no app node.
func TestInvalidRequestIsRejected(t *testing.T) {
	ta := startAcceptor(t, 50)
	for _, tc := range []struct{ from, to string }{
		{"X-Request-Id: 9b1f\n", ""}, {"X-Class: lookup\n", ""}, {"X-Class: lookup", "X-Class: other"},
		{"X-Deadline: 480m\n", ""}, {"480m", "480"}, {"480m", "NaNm"}, {"480m", "-1m"}, {"480m", "soon"},
	} {
		if resp, _ := ta.dial().send(strings.Replace(lookupRequest, tc.from, tc.to, 1), "").readResponse(); resp.StatusCode != 400 {
			t.Errorf("%q for %q: %d", tc.to, tc.from, resp.StatusCode)
		}
	}
	c := ta.dial()
	c.send(strings.Replace(lookupRequest, "GET", "POST", 1)+"Content-Length: 65537\n", strings.Repeat("x", 65537))
	if resp, _ := c.readResponse(); resp.StatusCode != 413 {
		t.Errorf("%d for a body over the limit", resp.StatusCode)
	}
	if len(ta.events) != 0 {
		t.Errorf("the reducer received %T", <-ta.events)
	}
}

// Guards against request smuggling: a body framed both ways may hide a request behind one of its two ends. Neither the
// call nor the bytes behind it may be forwarded, and the connection closes.
func TestDoubleFramedBodyClosesConnection(t *testing.T) {
	ta := startAcceptor(t, 10)
	for _, header := range []string{
		"POST /booking HTTP/1.1\nContent-Length: %d\nTransfer-Encoding: chunked\n",
		"POST /booking HTTP/1.0\nContent-Length: %d\nTransfer-Encoding: chunked\n",
		"POST /booking HTTP/1.1\ncontent-length:%d\nX-Between: 1\ntransfer-encoding: chunked\n",
		"POST /booking HTTP/1.1\nTransfer-Encoding:\n chunked\nContent-Length: %d\n",
	} {
		hidden := "0\r\n\r\n" + strings.ReplaceAll(lookupRequest, "\n", "\r\n") + "\r\n"
		c := ta.dial().send(fmt.Sprintf(header, len(hidden))+strings.SplitAfterN(lookupRequest, "\n", 2)[1], hidden)
		if resp, _ := c.readResponse(); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%s: %+v", header, resp)
		}
		if _, err := c.ReadByte(); err == nil {
			t.Error("the connection is still open")
		}
	}
	if len(ta.events) != 0 {
		t.Errorf("the reducer received %T", <-ta.events)
	}
}

func TestClientDisconnectIsReported(t *testing.T) {
	ta := startAcceptor(t, 10)
	c := ta.dial().send(strings.Replace(lookupRequest, "GET", "POST", 1)+"Content-Length: 2\n", "ab")
	call := (<-ta.events).(reducer.Arrived).Call
	c.Close()
	if gone, ok := (<-ta.events).(reducer.ClientGone); !ok || gone.Call != call.ID {
		t.Fatalf("%+v", gone)
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if len(ta.pending) != 0 {
		t.Error("the call is still pending")
	}
}

// At the budget, the longest idle connection is closed, but not one that waits for an answer.
func TestOldestIdleConnectionIsEvicted(t *testing.T) {
	ta := startAcceptor(t, 2)
	one := ta.dial().send(lookupRequest, "")
	call := (<-ta.events).(reducer.Arrived).Call
	two := ta.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	if resp, _ := two.readResponse(); resp.StatusCode != 503 {
		t.Fatalf("ready before Ready was called: %d", resp.StatusCode)
	}
	ta.SetReady()
	three := ta.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	if resp, _ := three.readResponse(); resp.StatusCode != 200 {
		t.Fatalf("%d", resp.StatusCode)
	}
	if _, err := two.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	ta.Answer(call.ID, servedReply(""))
	one.readResponse()
}

// Clients that send one request and keep their connections open must not use up the connections that the front-end load
// balancer may open.
func TestExcessIdleConnectionsAreClosed(t *testing.T) {
	ta := startAcceptor(t, 100)
	start := time.Now()
	var all []*testClient
	for i := range 9 {
		c := ta.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
		c.readResponse()
		all = append(all, c)
		for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) { // until it counts as idle
			ta.conns.mu.Lock()
			idle := len(ta.conns.idle)
			ta.conns.mu.Unlock()
			if idle == min(i+1, 6) {
				break
			} else if time.Now().After(until) {
				t.Fatalf("%d idle after %d", idle, i+1)
			}
		}
	}
	for _, c := range all[:3] {
		if _, err := c.ReadByte(); err != io.EOF {
			t.Errorf("one of the oldest connections: %v, want EOF", err)
		}
	}
	if d := time.Since(start); d > idleTimeout/2 {
		t.Errorf("the oldest connections closed after %v", d)
	}
	for _, c := range all[3:] {
		c.send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse()
	}
}

// Silent connections arrive by the hundred. They must neither use up the budget of clients that send requests nor stay
// open.
func TestSilentConnectionsDoNotExhaustBudget(t *testing.T) {
	ta := startAcceptor(t, 8)
	ta.SetReady()
	active := ta.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
	active.readResponse()
	start := time.Now()
	var silent []*testClient
	for range 40 {
		silent = append(silent, ta.dial())
	}
	for range 3 {
		ta.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse()
		active.send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse()
	}
	if d := time.Since(start); d > headerTimeout {
		t.Errorf("clients with requests waited %v", d)
	}
	for _, c := range silent {
		if _, err := c.ReadByte(); err != io.EOF {
			t.Errorf("silent connection: %v, want EOF", err)
		}
	}
	if d := time.Since(start); d > 3*time.Second {
		t.Errorf("silent connections stayed open for %v", d)
	}
}

// An incomplete request is answered or closed within 3 s, and one whose Content-Length is over the limit is answered at
// once.
func TestIncompleteRequestEnds(t *testing.T) {
	for name, request := range map[string]string{
		"half a header":  "GET /lookup HTTP/1.1\r\nHost:",
		"endless header": "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Pad: " + strings.Repeat("p", 1<<20),
		"half a body":    strings.ReplaceAll("POST"+lookupRequest[3:]+"Content-Length: 1000\n\n", "\n", "\r\n") + "ab",
		"no body":        "GET /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n",
		"60 MB":          strings.ReplaceAll("POST"+lookupRequest[3:]+"Content-Length: 60000000\n\n", "\n", "\r\n") + "ab",
		"no length":      strings.ReplaceAll("POST"+lookupRequest[3:]+"Content-Length: -4\n\n", "\n", "\r\n") + "abcd",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ta := startAcceptor(t, 10)
			start, c := time.Now(), ta.dial()
			go io.WriteString(c, request)
			response, err := io.ReadAll(c.Reader)
			if d := time.Since(start); d > 3*time.Second || strings.HasPrefix(string(response), "HTTP/1.1 200") ||
				len(response) == 0 && err == nil && name == "60 MB" {
				t.Errorf("after %v: %.40q %v", d, response, err)
			}
			if len(ta.events) != 0 {
				t.Errorf("the reducer received %T", <-ta.events)
			}
		})
	}
}

// Guards against a body timeout that stays in force once the body has been read: it would end the call as if the client
// had disconnected.
func TestBodyTimeoutDoesNotApplyToAnswer(t *testing.T) {
	ta := startAcceptor(t, 10)
	c := ta.dial().send("POST"+lookupRequest[3:]+"Content-Length: 2\n", "ab")
	call := (<-ta.events).(reducer.Arrived).Call
	select {
	case ev := <-ta.events:
		t.Fatalf("%T", ev)
	case <-time.After(bodyTimeout + 200*time.Millisecond):
	}
	ta.Answer(call.ID, servedReply("late"))
	if _, body := c.readResponse(); body != "late" {
		t.Error(body)
	}
}

// After the termination signal, accepted calls are answered, each answer closes its connection, and new connections are
// accepted for drainAcceptPeriod alone.
func TestDrainFinishesAcceptedCalls(t *testing.T) {
	ta := startAcceptor(t, 10)
	ta.SetReady()
	before := ta.dial().send(lookupRequest, "")
	first := (<-ta.events).(reducer.Arrived).Call
	start, ended := time.Now(), make(chan struct{})
	go func() {
		if err := ta.Drain(); err != nil {
			t.Error(err)
		}
		close(ended)
	}()
	for !ta.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	after := ta.dial().send(lookupRequest, "")
	second := (<-ta.events).(reducer.Arrived).Call
	ta.Answer(second.ID, servedReply(""))
	if resp, _ := after.readResponse(); !resp.Close {
		t.Error("the connection was kept open")
	}
	for { // until the listener is closed
		nc, err := net.Dial("tcp", ta.addr)
		if err != nil {
			break
		}
		nc.Close()
		time.Sleep(5 * time.Millisecond)
	}
	if d := time.Since(start); d < 700*time.Millisecond {
		t.Errorf("new connections were accepted for only %v", d)
	}
	ta.Answer(first.ID, servedReply("done"))
	if _, body := before.readResponse(); body != "done" {
		t.Error(body)
	}
	<-ended
}

// streamedReply returns a large answer whose beginning is held; the test writes the rest. A negative length means that
// the answer states none.
func streamedReply(room *flow.MemoryLimit, length int, held string) (reducer.Reply, *io.PipeWriter) {
	lease, err := room.Acquire(nil, 0)
	if err != nil {
		panic(err)
	}
	rest, writer := io.Pipe()
	m := &message.Answer{Status: 200, Header: http.Header{}, Trailer: new(http.Header),
		Flow: flow.New(lease, append(lease.Buffer(), held...), rest, 1<<30)}
	if length >= 0 {
		m.Header.Set("Content-Length", strconv.Itoa(length))
	}
	return reducer.Reply{Kind: reducer.Served, Message: m}, writer
}

// A streamed answer reaches the client piece by piece, as it is received, and complete. Its memory is returned, and the
// connection is reused.
func TestAnswerIsStreamed(t *testing.T) {
	ta := startAcceptor(t, 10)
	c := ta.dial()
	for _, length := range []int{9, -1} {
		c.send(lookupRequest, "")
		call := (<-ta.events).(reducer.Arrived).Call
		room := flow.NewMemoryLimit(1)
		reply, writer := streamedReply(room, length, "abc")
		ta.Answer(call.ID, reply)
		resp, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, piece := range []string{"abc", "def", "ghi"} { // each is received before the next is written
			if piece != "abc" {
				io.WriteString(writer, piece)
			}
			got := make([]byte, 3)
			if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != piece {
				t.Fatalf("%q %v, want %q", got, err, piece)
			}
		}
		if length < 0 {
			reply.Message.(*message.Answer).Trailer = &http.Header{"X-Sum": {"5"}}
		}
		writer.Close()
		if rest, err := io.ReadAll(resp.Body); len(rest) != 0 || err != nil {
			t.Errorf("%q %v", rest, err)
		}
		if length < 0 && resp.Trailer.Get("X-Sum") != "5" {
			t.Errorf("trailer %v", resp.Trailer)
		}
		c.send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse() // reuses the connection
		if now, _ := room.Usage(); now != 0 {
			t.Errorf("%d bytes still lent", now)
		}
	}
}

// Guards against a truncated answer that looks complete: the client must see a body shorter than its length, or chunks
// without the last one.
func TestTruncatedStreamIsVisible(t *testing.T) {
	for _, length := range []int{100, -1} {
		ta := startAcceptor(t, 10)
		c := ta.dial().send(lookupRequest, "")
		call := (<-ta.events).(reducer.Arrived).Call
		room := flow.NewMemoryLimit(1)
		reply, writer := streamedReply(room, length, "abc")
		ta.Answer(call.ID, reply)
		io.WriteString(writer, "def")
		writer.CloseWithError(io.ErrUnexpectedEOF)
		resp, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err == nil || string(got) != "abcdef" {
			t.Errorf("%q %v", got, err)
		}
		if _, err := c.ReadByte(); err == nil {
			t.Error("the connection is still open")
		}
		ta.waitMemoryReturned(room)
	}
}

// waitMemoryReturned waits until nothing of room is lent any more.
func (ta *testAcceptor) waitMemoryReturned(room *flow.MemoryLimit) {
	ta.t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if now, _ := room.Usage(); now == 0 {
			return
		} else if time.Now().After(until) {
			ta.t.Fatalf("%d bytes still lent", now)
		}
	}
}

// The disconnect of a client is reported while it receives no data, and the answer to a client that reads nothing ends
// after ClientIdleTimeout.
func TestStreamEndsWithoutItsClient(t *testing.T) {
	ta := startAcceptor(t, 10)
	c := ta.dial().send(lookupRequest, "")
	call := (<-ta.events).(reducer.Arrived).Call
	room := flow.NewMemoryLimit(1)
	reply, writer := streamedReply(room, -1, "abc")
	ta.Answer(call.ID, reply)
	c.ReadByte()
	c.Close()
	if gone, ok := (<-ta.events).(reducer.ClientGone); !ok || gone.Call != call.ID {
		t.Fatalf("%+v", gone)
	}
	writer.CloseWithError(net.ErrClosed) // as the delegation package does
	ta.waitMemoryReturned(room)

	ta.bodyLimits.ClientIdleTimeout = 40 * time.Millisecond
	c = ta.dial()
	c.send(lookupRequest, "")
	call = (<-ta.events).(reducer.Arrived).Call
	reply, writer = streamedReply(room, -1, "abc")
	ta.Answer(call.ID, reply)
	endless := make(chan struct{})
	go func() {
		defer close(endless)
		piece := make([]byte, 1<<20)
		for {
			if _, err := writer.Write(piece); err != nil {
				return
			}
		}
	}()
	<-reply.Message.(*message.Answer).Flow.Ended()
	if err := reply.Message.(*message.Answer).Flow.Err(); err != flow.ErrStopped {
		t.Error(err)
	}
	writer.CloseWithError(net.ErrClosed)
	<-endless
	ta.waitMemoryReturned(room)
}

// An upload is passed to its reader, and the first read sends 100 Continue to the client. An answer before its end ends
// the upload and closes the connection. An upload over the limit is rejected unread.
func TestUploadIsStreamed(t *testing.T) {
	ta := startAcceptorWithUploads(t, 10, 1<<20)
	ta.bodyLimits.ClientIdleTimeout = time.Hour // no timeout during the test
	header := "POST" + lookupRequest[3:] + "Content-Length: 100000\n"
	body := strings.Repeat("0123456789", 10000)
	c := ta.dial().send(header+"Expect: 100-continue\n", "")
	call := (<-ta.events).(reducer.Arrived).Call
	up := callMessage(call).Upload
	if !call.StreamedBody || up == nil || up.Length != 100000 {
		t.Fatalf("%+v", call)
	}
	if c.Buffered() != 0 {
		t.Error("100 Continue was sent before the first read")
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
	if e := (<-ta.events).(reducer.Uploaded); e.Call != call.ID {
		t.Errorf("%+v", e)
	}
	ta.Answer(call.ID, servedReply("kept"))
	if resp, text := c.readResponse(); text != "kept" || resp.Close {
		t.Errorf("%+v %q", resp, text)
	}
	c.send(header, body[:1000])
	call = (<-ta.events).(reducer.Arrived).Call
	go io.Copy(io.Discard, callMessage(call).Upload)
	for !callMessage(call).Upload.Started() {
		time.Sleep(time.Millisecond)
	}
	ta.Answer(call.ID, servedReply("enough"))
	if resp, text := c.readResponse(); text != "enough" || !resp.Close {
		t.Errorf("%+v %q", resp, text)
	}
	io.WriteString(c, body[1000:50000]) // the unwanted rest must not cost the client its answer
	if _, err := c.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
	if resp, _ := ta.dial().send("POST"+lookupRequest[3:]+"Content-Length: 1048577\n", "").readResponse(); resp.StatusCode != 413 {
		t.Errorf("%d for an upload over the limit", resp.StatusCode)
	}
}

// Guards against a body that takes longer than the server's write timeout and loses the client its answer.
func TestSlowBodyIsAnswered(t *testing.T) {
	ta := startAcceptorWith(t, 10, 1<<20, func(a *Acceptor) { a.server.WriteTimeout = 20 * time.Millisecond })
	c := ta.dial().send("POST"+lookupRequest[3:]+"Content-Length: 100000\n", "")
	call := (<-ta.events).(reducer.Arrived).Call
	read := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, callMessage(call).Upload)
		read <- err
	}()
	for range 10 {
		time.Sleep(4 * time.Millisecond) // past the server's write timeout in all
		io.WriteString(c, strings.Repeat("x", 10000))
	}
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	<-ta.events
	ta.Answer(call.ID, servedReply("kept"))
	if resp, text := c.readResponse(); text != "kept" || resp.StatusCode != 200 {
		t.Errorf("%+v %q", resp, text)
	}
}

// A short chunked body, with extensions and a trailer, is buffered whole; a long one becomes an upload. It is the
// connection's last request: bytes behind it are never read as a request.
func TestChunkedBody(t *testing.T) {
	ta := startAcceptorWithUploads(t, 10, 1<<20)
	header := "POST" + lookupRequest[3:] + "Transfer-Encoding: chunked\n"
	c := ta.dial().send(header, "3;why=not\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 5\r\n\r\n"+strings.ReplaceAll(lookupRequest, "\n", "\r\n")+"\r\n")
	call := (<-ta.events).(reducer.Arrived).Call
	if m := callMessage(call); string(m.Body) != "abcde" || m.Upload != nil || call.StreamedBody {
		t.Fatalf("%+v", m)
	}
	ta.Answer(call.ID, servedReply("kept"))
	if resp, text := c.readResponse(); text != "kept" || !resp.Close {
		t.Errorf("%+v %q", resp, text)
	}
	if _, err := c.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
	if len(ta.events) != 0 {
		t.Errorf("the reducer received %T", <-ta.events)
	}
	long := strings.Repeat("0123456789", 20000)
	c = ta.dial().send(header, "")
	go fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(long), long)
	call = (<-ta.events).(reducer.Arrived).Call
	up := callMessage(call).Upload
	if !call.StreamedBody || up == nil || up.Length != -1 {
		t.Fatalf("%+v", call)
	}
	if all, err := io.ReadAll(up); string(all) != long || err != nil {
		t.Errorf("%d bytes, %v", len(all), err)
	}
	if e := (<-ta.events).(reducer.Uploaded); e.Call != call.ID {
		t.Errorf("%+v", e)
	}
	ta.Answer(call.ID, servedReply("kept too"))
	if resp, text := c.readResponse(); text != "kept too" || !resp.Close {
		t.Errorf("%+v %q", resp, text)
	}
}

// A client that reads a little now and then is not idle: the timeout counts from the last acknowledged byte, not from the
// start of a write that exceeds the socket buffers.
func TestSlowReaderIsNotTimedOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	remote, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer remote.Close()
	remote.(*net.TCPConn).SetReadBuffer(8 << 10)
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
	read, tick := 0, time.NewTicker(40*time.Millisecond) // 1.6 s in all, past the timeout
	defer tick.Stop()
	for range 40 {
		<-tick.C
		n, err := io.ReadFull(remote, make([]byte, 10<<10))
		if read += n; err != nil {
			t.Fatalf("after %d bytes: %v, %v", read, err, <-wrote)
		}
	}
	if err := <-wrote; err != nil {
		t.Error(err)
	}
}

// While another version listens on the same address, idle connections over this one's share are closed, and the readiness
// check succeeds even while this one drains, since the other is ready.
func TestClientBudgetIsShared(t *testing.T) {
	ta := startAcceptor(t, 8)
	ta.SetReady()
	var kept []*testClient
	for range 6 {
		c := ta.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "")
		if resp, _ := c.readResponse(); resp.StatusCode != 200 {
			t.Fatalf("%+v", resp)
		}
		kept = append(kept, c)
	}
	ta.DivideLimits(2)
	for _, c := range kept[:2] { // the oldest two of six; the share is four
		if _, err := c.ReadByte(); err != io.EOF {
			t.Errorf("%v", err)
		}
	}
	ta.draining.Store(true)
	if resp, _ := kept[5].send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%+v", resp)
	}
	ta.DivideLimits(1)
	if resp, _ := ta.dial().send("GET /health/ready HTTP/1.1\nHost: x\n", "").readResponse(); resp.StatusCode != 503 {
		t.Errorf("%+v", resp)
	}
}
