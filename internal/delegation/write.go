package delegation

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"pewterrudder/internal/flow"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/socket"
)

// Exchange writes a call in the background; the connection's read loop reports the result as reducer.Exchanged.
func (c *Connections) Exchange(e reducer.Exchange) {
	k := c.byID[e.Conn]
	if k == nil {
		return
	}
	ex := &exchange{call: e.Call.Message.(*message.Call), readTimeout: e.ReadTimeout, flowReadTimeout: e.FlowReadTimeout,
		writerDone: make(chan struct{})}
	if upload := ex.call.Upload; upload != nil {
		ex.upload = &uploadReader{upload: upload}
	}
	k.mu.Lock()
	readerDone := k.readerDone
	if !readerDone {
		k.current = ex
	}
	k.mu.Unlock()
	if readerDone { // the app node closed while the reducer picked this connection
		go c.post(reducer.Exchanged{Conn: e.Conn, Written: reducer.WroteNothing, Err: io.EOF})
		return
	}
	go k.write(ex, e.TimeLeft)
}

// write sends a call: a buffered body together with the header in one write, an upload as the client sends it. wait is
// the time left until the call's deadline.
func (k *conn) write(ex *exchange, wait time.Duration) {
	defer close(ex.writerDone)
	out := buildRequest(ex, wait)
	var wire bytes.Buffer
	var err error
	if ex.call.Upload == nil {
		err = out.Write(&wire)
	}
	k.mu.Lock()
	// Last check for the client: the call may have waited for a connection or for the scheduler, and the event of the
	// client's disconnect may still be queued.
	ex.clientLeft = ex.call.ClientDisconnected != nil && ex.call.ClientDisconnected()
	ex.sending = err == nil && !ex.clientLeft && !k.readerDone && k.quiet()
	sending := ex.sending
	k.mu.Unlock()
	if sending {
		if ex.call.Upload == nil {
			var n int
			n, _ = k.nc.Write(wire.Bytes())
			ex.complete = n == wire.Len()
		} else {
			ex.complete = out.Write(k.nc) == nil // net/http enforces the declared length of the body
		}
	}
	if ex.complete {
		k.connections.writtenCalls.Add(1)
	} else {
		k.nc.SetDeadline(time.Unix(1, 0)) // ends the read loop, which reports the failure
	}
}

// quiet reports whether the connection is open and nothing has arrived since the last answer. HTTP/1.1 answers do not
// identify their request, so what arrives before a call is written (a duplicate answer, garbage, a close) must never be
// taken for its answer.
func (k *conn) quiet() bool {
	probe, err := socket.NewProbe(k.nc)
	return err == nil && probe.Quiet()
}

// uploadReader reads an upload for one exchange. If the exchange ends before the first read, the upload stays usable for
// the next exchange; if it ends later, the upload is interrupted.
type uploadReader struct {
	upload  *flow.Upload
	mu      sync.Mutex
	started bool
	stopped bool
}

func (r *uploadReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	if r.stopped && !r.upload.Complete() { // net/http reads a complete upload once more to see io.EOF
		defer r.mu.Unlock()
		return 0, flow.ErrStopped
	}
	r.started = true
	r.mu.Unlock()
	return r.upload.Read(p)
}

// stop makes further reads fail and interrupts the upload if this exchange has read from it. r may be nil.
func (r *uploadReader) stop() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.stopped = true
	started := r.started
	r.mu.Unlock()
	if started {
		r.upload.Interrupt()
	}
}

// hasStarted reports whether this exchange has begun to read the body, so that part of it may have been sent. A nil r
// reports false.
func (r *uploadReader) hasStarted() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// buildRequest returns the request to the app node, with target, body and ids as the client sent them. wait is the time
// left until the call's deadline, sent in X-Deadline in microseconds.
func buildRequest(ex *exchange, wait time.Duration) *http.Request {
	c, in := ex.call, ex.call.Request
	target, query, hasQuery := strings.Cut(in.RequestURI, "?")
	out := &http.Request{Method: in.Method, Host: in.Host, Header: in.Header.Clone(),
		URL: &url.URL{Opaque: target, RawQuery: query, ForceQuery: hasQuery && query == ""}}
	if c.Upload != nil {
		out.Body, out.ContentLength, out.Trailer = io.NopCloser(ex.upload), c.Upload.Length, c.Trailer
	} else if len(c.Body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(c.Body)), int64(len(c.Body))
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // nil keeps Write from adding its default
	}
	out.Header.Del("Expect") // the body follows the header without waiting for a 100 Continue
	out.Header.Set("X-Deadline", strconv.FormatInt(max(1, wait.Microseconds()), 10)+"u")
	return out
}
