package attempt

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

const (
	testID        = "id-1"
	signatureLine = "X-Pewterrudder-Response-Signature: s"
)

// peer is the instance's side of a connection.
type peer struct {
	net.Conn
	reader *bufio.Reader
}

// read reads one request. It returns nil if the connection ends or the request is malformed.
func (p *peer) read() *http.Request {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	return r
}

func (p *peer) write(text string) { io.WriteString(p, text) }

// reset closes the connection with a TCP reset.
func (p *peer) reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
}

// waitClosed waits up to a second for the other side to close the connection and returns the error of reading.
func (p *peer) waitClosed() error {
	p.SetReadDeadline(time.Now().Add(time.Second))
	_, err := p.reader.ReadByte()
	return err
}

// fakeInstance is an instance that passes each connection to a script.
type fakeInstance struct {
	target      Target
	connections atomic.Int64
}

func newFakeInstance(t testing.TB, script func(p *peer)) *fakeInstance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &fakeInstance{target: Target{ID: "i-1", Address: listener.Addr().String()}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer c.Close()
				script(&peer{Conn: c, reader: bufio.NewReader(c)})
			}()
		}
	}()
	return s
}

// newRespondingInstance returns a fake instance that answers each request with the text.
func newRespondingInstance(t testing.TB, text string) *fakeInstance {
	return newFakeInstance(t, func(p *peer) {
		for p.read() != nil {
			p.write(text)
		}
	})
}

// responseText returns a response to the request with the id.
func responseText(id string, status int, body string, lines ...string) string {
	lines = append(lines, protocol.HeaderRequestID+": "+id, "Content-Length: "+strconv.Itoa(len(body)))
	return "HTTP/1.1 " + strconv.Itoa(status) + " Text\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// signedResponse returns a successful response with a signature.
func signedResponse(id, body string) string { return responseText(id, 200, body, signatureLine) }

// streamHead returns the head of an event stream response.
func streamHead() string {
	return "HTTP/1.1 200 OK\r\n" + protocol.HeaderRequestID + ": " + testID + "\r\n" + signatureLine +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

func newRequest() *Request {
	return &Request{ID: testID, Method: "POST", RequestURI: "/a/b?c", Host: "h.example", Priority: NoPriority,
		Header: http.Header{protocol.HeaderRequestID: {testID}}, Body: []byte("hello"), Deadline: time.Now().Add(2 * time.Second)}
}

// roundTripOnce makes one attempt with a new pool.
func roundTripOnce(t testing.TB, s *fakeInstance) (*Response, error) {
	t.Helper()
	pool := NewPool(Options{})
	return pool.RoundTrip(context.Background(), s.target, newRequest())
}

// checkOutcome checks the outcome of a failed attempt and returns its error.
func checkOutcome(t testing.TB, err error, want Outcome) *Error {
	t.Helper()
	var failure *Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Outcome, want, "%v", err)
	return failure
}

// mustSucceed makes an attempt that must succeed and returns the body.
func mustSucceed(t testing.TB, pool *Pool, target Target) string {
	t.Helper()
	response, err := pool.RoundTrip(context.Background(), target, newRequest())
	assert.NilError(t, err)
	defer response.Close()
	assert.Assert(t, response.Buffered)
	return string(response.Body)
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
