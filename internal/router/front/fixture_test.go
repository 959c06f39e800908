package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
)

const testSignature = "stamp-1"

// netConn shortens the signatures of the scripts in tests.
type netConn = net.Conn

// receivedRequest is a request as a fake instance read it, with its body.
type receivedRequest struct {
	*http.Request
	body       string
	receivedAt time.Time
}

// fakeInstance is a model instance for tests. The script answers each request on the raw connection; if it returns false,
// the connection is closed.
type fakeInstance struct {
	*instances.Instance
	listener net.Listener
	script   func(c net.Conn, r *receivedRequest) bool

	// discardsRequests disables the recording of requests and of closed connections, for tests with very many of them.
	discardsRequests bool

	mutex           sync.Mutex
	received        []*receivedRequest
	connectionCount int
	connectionEnded chan struct{} // receives a value when a connection ends
}

func newFakeInstance(t testing.TB, id string, script func(c net.Conn, r *receivedRequest) bool) *fakeInstance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeInstance{listener: listener, script: script, connectionEnded: make(chan struct{}, 100),
		Instance: &instances.Instance{ID: id, Backend: "pool", Address: listener.Addr().String(), State: protocol.StateReady}}
	t.Cleanup(func() { listener.Close() })
	go s.accept()
	return s
}

func (s *fakeInstance) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connectionCount++
		s.mutex.Unlock()
		go s.serve(c)
	}
}

func (s *fakeInstance) serve(c net.Conn) {
	defer func() {
		if !s.discardsRequests {
			s.connectionEnded <- struct{}{}
		}
	}()
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		got := &receivedRequest{Request: r, body: string(body), receivedAt: time.Now()}
		s.record(got)
		if !s.script(c, got) {
			return
		}
	}
}

func (s *fakeInstance) record(got *receivedRequest) {
	if s.discardsRequests {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received = append(s.received, got)
}

func (s *fakeInstance) requests() []*receivedRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]*receivedRequest(nil), s.received...)
}

func (s *fakeInstance) connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.connectionCount
}

// reply writes a response with the request's id and the given additional header lines. It returns true, to keep the
// connection.
func reply(c net.Conn, r *receivedRequest, status int, body string, lines ...string) bool {
	io.WriteString(c, responseText(r.Header.Get(protocol.HeaderRequestID), status, body, lines...))
	return true
}

func responseText(id string, status int, body string, lines ...string) string {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " Status\r\n" + protocol.HeaderRequestID + ": " + id + "\r\n"
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

const signatureLine = protocol.HeaderResponseSignature + ": " + testSignature
const notExecutedLine = protocol.HeaderNotExecuted + ": 1"

// writeStreamHead writes the head of an event stream response.
func writeStreamHead(c net.Conn, r *receivedRequest, lines ...string) {
	lines = append(lines, protocol.HeaderRequestID+": "+r.Header.Get(protocol.HeaderRequestID), signatureLine,
		"Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Join(lines, "\r\n")+"\r\n\r\n")
}

func writeChunk(c net.Conn, text string) {
	io.WriteString(c, strconv.FormatInt(int64(len(text)), 16)+"\r\n"+text+"\r\n")
}

func endChunks(c net.Conn) { io.WriteString(c, "0\r\n\r\n") }

func event(id int) string {
	return "id: " + strconv.Itoa(id) + "\ndata: piece " + strconv.Itoa(id) + "\n\n"
}

func respondOK(c net.Conn, r *receivedRequest) bool { return reply(c, r, 200, "fine", signatureLine) }

// testFront is a Server in front of fake instances.
type testFront struct {
	server        *Server
	address       string
	instances     []*fakeInstance
	deps          Dependencies
	picks         []string
	outcomes      []selection.Outcome
	retries       int
	retriesDenied bool
	mutex         sync.Mutex
}

var errNoInstance = errors.New("no instance")

// routeTimeout is the timeout of every route.
const routeTimeout = 2 * time.Second

// testConfiguration returns a configuration with a route of each kind, and a route that requires an API key.
func testConfiguration() *document.Configuration {
	route := func(prefix, kind string, retries int64, resume bool) document.Route {
		return document.Route{Name: prefix, Hostname: "api.example", PathPrefix: prefix, Kind: kind, TimeoutMs: float64(routeTimeout / time.Millisecond), TargetMs: 200,
			Backend: "pool", Retries: document.Integer(retries), Resume: resume, Priority: 3}
	}
	keyed := route("/keyed/", document.KindNonIdempotent, 1, false)
	open := []document.Route{route("/once/", document.KindNonIdempotent, 2, false), route("/twice/", document.KindIdempotent, 2, false),
		route("/stream/", document.KindStreaming, 2, false), route("/resume/", document.KindStreaming, 3, true)}
	for i := range open {
		open[i].Public = true
	}
	return &document.Configuration{Generation: 1, Routes: append(open, keyed), Backends: []document.Backend{{Name: "pool", MaxConns: 10}},
		Limits:  document.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 300, IdleTimeoutMs: 400},
		Tenants: []document.Tenant{{Name: "tenant-a", APIKeys: []string{"key-a"}, Priority: 1}}}
}

func newTestFront(t testing.TB, change func(*document.Configuration, *Dependencies, *Options), all ...*fakeInstance) *testFront {
	f := &testFront{instances: all}
	configuration := testConfiguration()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.deps = Dependencies{Pool: attempt.NewPool(attempt.Options{}), Select: f.choose, Log: log, TakeRetry: f.retry}
	options := Options{DrainAcceptTime: 50 * time.Millisecond}
	if change != nil {
		change(configuration, &f.deps, &options)
	}
	table := routing.Build(configuration, routing.Options{})
	if f.deps.Table == nil {
		f.deps.Table = func() *routing.Table { return table }
	}
	f.server = New(f.deps, options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.address = listener.Addr().String()
	go f.server.Serve(listener)
	t.Cleanup(func() { f.server.Close() })
	return f
}

func (f *testFront) retry(time.Time, string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.retries++
	return !f.retriesDenied
}

// choose picks the first instance that is not excluded.
func (f *testFront) choose(request selection.Request) (Pick, error) {
	for _, s := range f.instances {
		excluded := false
		for _, id := range request.Excluded {
			excluded = excluded || id == s.ID
		}
		if !excluded {
			f.mutex.Lock()
			f.picks = append(f.picks, s.ID)
			f.mutex.Unlock()
			return &testPick{front: f, instance: s.Instance}, nil
		}
	}
	return nil, errNoInstance
}

type testPick struct {
	front    *testFront
	instance *instances.Instance
}

func (p *testPick) Instance() *instances.Instance        { return p.instance }
func (p *testPick) FirstByte(time.Time)                  {}
func (p *testPick) ReportLoad(time.Time, selection.Load) {}
func (p *testPick) Done(_ time.Time, end selection.Outcome) {
	p.front.mutex.Lock()
	defer p.front.mutex.Unlock()
	p.front.outcomes = append(p.front.outcomes, end)
}

// client is the raw connection of a client.
type client struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

// responseTimeout bounds the wait for a response.
const responseTimeout = 10 * time.Second

func (f *testFront) dial(t testing.TB) *client {
	c, err := net.Dial("tcp", f.address)
	assert.NilError(t, err)
	c.SetDeadline(time.Now().Add(responseTimeout))
	t.Cleanup(func() { c.Close() })
	return &client{t: t, Conn: c, reader: bufio.NewReader(c)}
}

func requestText(method, path string, lines ...string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: api.example\r\n" + protocol.HeaderRequestID + ": id-1\r\n"
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// readResponse reads a response and its body; bodyErr is the error of reading the body.
func (c *client) readResponse() (response *http.Response, body string, bodyErr error) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	text, bodyErr := io.ReadAll(response.Body)
	return response, string(text), bodyErr
}

// exchange sends one request on a new connection and returns the response and its body.
func (f *testFront) exchange(t testing.TB, text string) (*http.Response, string) {
	t.Helper()
	c := f.dial(t)
	c.send(text)
	response, body, err := c.readResponse()
	assert.NilError(t, err)
	return response, body
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

var _ = context.Background
