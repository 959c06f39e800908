package acceptor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pewterrudder/internal/flow"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
)

// Answer delivers the final answer of a call. It does nothing if the call has been answered or is unknown.
func (a *Acceptor) Answer(id uint64, reply reducer.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if to := a.pending[id]; to != nil {
		to <- reply // buffered for the one answer of a call
		delete(a.pending, id)
	}
}

type (
	callKey struct{} // context key of the *reducer.Call of a request
	connKey struct{} // context key of the *clientConn of a request
)

// RoundTrip passes a call to the reducer, with the outgoing request that the proxy built, and waits for the final
// answer.
func (a *Acceptor) RoundTrip(r *http.Request) (*http.Response, error) {
	call := r.Context().Value(callKey{}).(*reducer.Call)
	out := call.Message.(*message.Call)
	out.Request = r
	conn := r.Context().Value(connKey{}).(*clientConn)
	if conn.isDisconnected() { // before its request was handled
		return nil, errClientGone
	}
	ended := make(chan struct{})
	var once sync.Once
	out.ClientDisconnected = func() bool {
		check := conn.isPresumedGone
		if out.Upload != nil && !out.Upload.Complete() { // unread bytes belong to the upload
			check = conn.isDisconnected
		}
		disconnected := check()
		if disconnected {
			once.Do(func() { close(ended) })
		}
		return disconnected
	}
	replies := make(chan reducer.Reply, 1)
	a.mu.Lock()
	a.pending[call.ID] = replies
	a.mu.Unlock()
	a.post(reducer.Arrived{Call: call})
	reply, err := a.awaitReply(r, call, out.ClientDisconnected, ended, replies)
	if err != nil {
		a.mu.Lock()
		delete(a.pending, call.ID)
		a.mu.Unlock()
		a.post(reducer.ClientGone{Call: call.ID})
		return nil, err
	}
	resp := a.response(r, call, reply)
	if upload := out.Upload; upload != nil && !upload.Complete() { // the handler ends it after the answer
		resp.Header.Set("Connection", "close")
	}
	return resp, nil
}

// awaitReply waits for the final answer of a call, or for its client to disconnect. ended is closed when a check of
// out.ClientDisconnected has seen the disconnect.
func (a *Acceptor) awaitReply(r *http.Request, call *reducer.Call, clientLeft func() bool, ended <-chan struct{}, replies <-chan reducer.Reply) (reducer.Reply, error) {
	upload := call.Message.(*message.Call).Upload
	gone := r.Context().Done()
	var checks <-chan time.Time
	if upload != nil {
		ticker := time.NewTicker(disconnectCheckInterval)
		defer ticker.Stop()
		checks = ticker.C
	}
	for {
		select {
		case reply := <-replies:
			return reply, nil
		case <-ended:
			return reducer.Reply{}, errClientGone
		case <-gone:
			if upload == nil || !upload.Interrupted() {
				return reducer.Reply{}, errClientGone
			}
			gone = nil // net/http takes the interruption of the upload's reads for a disconnect
		case <-checks:
			if !upload.Interrupted() && clientLeft() {
				return reducer.Reply{}, errClientGone
			}
		}
	}
}

// response converts a final answer to the response that the proxy writes.
func (a *Acceptor) response(r *http.Request, call *reducer.Call, reply reducer.Reply) *http.Response {
	resp := &http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r}
	switch reply.Kind {
	case reducer.Served, reducer.Rejected:
		m := reply.Message.(*message.Answer)
		resp.StatusCode, resp.Header, resp.Trailer = m.Status, m.Header, *m.Trailer
		if m.Flow != nil {
			resp.ContentLength = -1 // has the proxy flush each write; the header states the length
			resp.Body = a.streamBody(r, call, resp, m)
			return resp
		}
		resp.ContentLength, resp.Body = int64(len(m.Body)), io.NopCloser(bytes.NewReader(m.Body))
		return resp
	}
	resp.Header = http.Header{}
	text := ""
	switch reply.Kind {
	case reducer.Refused:
		// 503 says that a retry is harmless, and Retry-After when, in seconds (RFC 9110, 10.2.3; here with decimals,
		// which the platform's clients accept).
		if resp.StatusCode, text = http.StatusServiceUnavailable, "overloaded\n"; reply.RetryAfter > 0 {
			resp.Header.Set("Retry-After", strconv.FormatFloat(reply.RetryAfter.Seconds(), 'f', 3, 64))
		}
	case reducer.Conflict:
		resp.StatusCode, text = http.StatusConflict, "X-Request-Id is in use\n"
	default:
		resp.StatusCode, text = http.StatusBadGateway, "failed\n"
	}
	resp.ContentLength, resp.Body = int64(len(text)), io.NopCloser(strings.NewReader(text))
	return resp
}

// streamedBody is the body of a streamed answer. The proxy reads and closes it.
type streamedBody struct {
	*flow.Flow
	resp    *http.Response
	answer  *message.Answer
	onClose func()
}

// streamBody opens the flow of an answer to a client, which must keep reading it. The deadline of the call applied to
// the first bytes alone.
func (a *Acceptor) streamBody(r *http.Request, call *reducer.Call, resp *http.Response, m *message.Answer) io.ReadCloser {
	m.Flow.MarkOpened()
	conn := r.Context().Value(connKey{}).(*clientConn)
	conn.setStreaming(true, a.bodyLimits.ClientIdleTimeout)
	// While no data comes for a client, net/http alone notices its disconnect, by cancelling the context. An
	// interrupted upload cancels the context as well, so that it proves nothing then.
	stop := func() bool { return true }
	if upload := call.Message.(*message.Call).Upload; upload == nil || upload.Complete() {
		stop = context.AfterFunc(r.Context(), func() { a.post(reducer.ClientGone{Call: call.ID}) })
	}
	return &streamedBody{Flow: m.Flow, resp: resp, answer: m, onClose: func() {
		stop()
		conn.setStreaming(false, a.bodyLimits.ClientIdleTimeout)
	}}
}

func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Flow.Read(p)
	if err == io.EOF {
		b.resp.Trailer = *b.answer.Trailer // those received behind the body
	}
	return n, err
}

func (b *streamedBody) Close() error {
	b.onClose()
	b.Flow.Close()
	return nil
}

var errClientGone = errors.New("the client has disconnected")

// requestError is the HTTP answer to a request that cannot become a call.
type requestError struct {
	status int
	text   string
}

func (e *requestError) Error() string { return e.text }

// writeError answers a request that did not become a call, or whose client has disconnected, and closes its
// connection.
func (a *Acceptor) writeError(w http.ResponseWriter, r *http.Request, err error) {
	a.setCloseHeader(w.Header())
	var reqErr *requestError
	if errors.As(err, &reqErr) {
		w.Header().Set("Connection", "close") // what follows on the connection cannot be trusted
		http.Error(w, reqErr.text, reqErr.status)
		return
	}
	w.Header().Set("Connection", "close") // the client has disconnected
	w.WriteHeader(http.StatusBadGateway)
}

// bufferPool holds copy buffers of flow.CopyBufferBytes bytes for the proxy.
type bufferPool struct{ buffers sync.Pool }

func (p *bufferPool) Get() []byte {
	if b, ok := p.buffers.Get().(*[]byte); ok {
		return *b
	}
	return make([]byte, flow.CopyBufferBytes)
}

func (p *bufferPool) Put(b []byte) { p.buffers.Put(&b) }
