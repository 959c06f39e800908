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

// Answer hands a call its final answer.
func (a *Acceptor) Answer(id uint64, reply reducer.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if to := a.waiting[id]; to != nil {
		to <- reply // has room for the one answer of a call
		delete(a.waiting, id)
	}
}

type (
	callKey   struct{} // the call that a request became
	clientKey struct{} // the connection that it came on
)

// RoundTrip hands a call to the reducer, in the form that the proxy gives it, and waits for the final answer.
func (a *Acceptor) RoundTrip(r *http.Request) (*http.Response, error) {
	call := r.Context().Value(callKey{}).(*reducer.Call)
	out := call.Message.(*message.Call)
	out.Request = r
	nc := r.Context().Value(clientKey{}).(*client)
	if nc.left() { // before we came to read its request
		return nil, errGone
	}
	ended := make(chan struct{})
	var once sync.Once
	out.Left = func() bool {
		look := nc.lost
		if out.Upload != nil && !out.Upload.Whole() { // what stands there is its own
			look = nc.left
		}
		left := look()
		if left {
			once.Do(func() { close(ended) })
		}
		return left
	}
	to := make(chan reducer.Reply, 1)
	a.mu.Lock()
	a.waiting[call.ID] = to
	a.mu.Unlock()
	a.post(reducer.Arrived{Call: call})
	reply, err := a.await(r, call, out.Left, ended, to)
	if err != nil {
		a.mu.Lock()
		delete(a.waiting, call.ID)
		a.mu.Unlock()
		a.post(reducer.ClientGone{Call: call.ID})
		return nil, err
	}
	resp := a.response(r, call, reply)
	if up := out.Upload; up != nil && !up.Whole() { // an answer ends it, at the end of the handler
		resp.Header.Set("Connection", "close")
	}
	return resp, nil
}

// await waits for the final answer of a call, or for its client to leave: ended says that somebody has seen that.
func (a *Acceptor) await(r *http.Request, call *reducer.Call, left func() bool, ended <-chan struct{}, to <-chan reducer.Reply) (reducer.Reply, error) {
	up := call.Message.(*message.Call).Upload
	gone := r.Context().Done()
	var looks <-chan time.Time
	if up != nil {
		look := time.NewTicker(lookEvery)
		defer look.Stop()
		looks = look.C
	}
	for {
		select {
		case reply := <-to:
			return reply, nil
		case <-ended:
			return reducer.Reply{}, errGone
		case <-gone:
			if up == nil || !up.Interrupted() {
				return reducer.Reply{}, errGone
			}
			gone = nil // it was we who ended the reading, which net/http takes for the client's leaving
		case <-looks:
			if !up.Interrupted() && left() {
				return reducer.Reply{}, errGone
			}
		}
	}
}

// response gives a final answer the form that the proxy takes.
func (a *Acceptor) response(r *http.Request, call *reducer.Call, reply reducer.Reply) *http.Response {
	resp := &http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r}
	switch reply.Kind {
	case reducer.Served, reducer.Rejected:
		m := reply.Message.(*message.Answer)
		resp.StatusCode, resp.Header, resp.Trailer = m.Status, m.Header, *m.Trailer
		if m.Flow != nil {
			resp.ContentLength = -1 // the proxy's sign for passing each piece on at once; the header states the length
			resp.Body = a.lend(r, call, resp, m)
			return resp
		}
		resp.ContentLength, resp.Body = int64(len(m.Body)), io.NopCloser(bytes.NewReader(m.Body))
		return resp
	}
	resp.Header = http.Header{}
	text := ""
	switch reply.Kind {
	case reducer.Refused:
		// 503 says that trying again is harmless, and Retry-After when, in seconds (RFC 9110, 10.2.3; ours with
		// decimals, as the platform's clients read them).
		if resp.StatusCode, text = http.StatusServiceUnavailable, "overloaded\n"; reply.After > 0 {
			resp.Header.Set("Retry-After", strconv.FormatFloat(reply.After.Seconds(), 'f', 3, 64))
		}
	case reducer.Conflict:
		resp.StatusCode, text = http.StatusConflict, "X-Request-Id is in use\n"
	default:
		resp.StatusCode, text = http.StatusBadGateway, "failed\n"
	}
	resp.ContentLength, resp.Body = int64(len(text)), io.NopCloser(strings.NewReader(text))
	return resp
}

// lent is the body of an answer that flows. The proxy reads and closes it.
type lent struct {
	*flow.Flow
	resp   *http.Response
	answer *message.Answer
	done   func()
}

// lend opens a flow for a client, which has to go on taking it. Its deadline was that of the first bytes.
func (a *Acceptor) lend(r *http.Request, call *reducer.Call, resp *http.Response, m *message.Answer) io.ReadCloser {
	m.Flow.Open()
	nc := r.Context().Value(clientKey{}).(*client)
	nc.flow(true, a.bounds.ClientIdle)
	// A client that leaves while nothing comes for it is noticed by net/http alone; but not while an upload is cut short.
	stop := func() bool { return true }
	if up := call.Message.(*message.Call).Upload; up == nil || up.Whole() {
		stop = context.AfterFunc(r.Context(), func() { a.post(reducer.ClientGone{Call: call.ID}) })
	}
	return &lent{Flow: m.Flow, resp: resp, answer: m, done: func() {
		stop()
		nc.flow(false, a.bounds.ClientIdle)
	}}
}

func (l *lent) Read(p []byte) (int, error) {
	n, err := l.Flow.Read(p)
	if err == io.EOF {
		l.resp.Trailer = *l.answer.Trailer // whatever has come behind the body
	}
	return n, err
}

func (l *lent) Close() error {
	l.done()
	l.Flow.Close()
	return nil
}

var errGone = errors.New("the client has left")

// refused is an answer to what cannot become a call.
type refused struct {
	status int
	text   string
}

func (e *refused) Error() string { return e.text }

// broken answers what did not become a call.
func (a *Acceptor) broken(w http.ResponseWriter, r *http.Request, err error) {
	a.lastOne(w.Header())
	var bad *refused
	if errors.As(err, &bad) {
		w.Header().Set("Connection", "close") // what follows on it is not to be trusted
		http.Error(w, bad.text, bad.status)
		return
	}
	w.Header().Set("Connection", "close") // nobody is there to read it
	w.WriteHeader(http.StatusBadGateway)
}

// pool lends the proxy its copy buffers.
type pool struct{ p sync.Pool }

func (p *pool) Get() []byte {
	if b, ok := p.p.Get().(*[]byte); ok {
		return *b
	}
	return make([]byte, flow.Copy)
}

func (p *pool) Put(b []byte) { p.p.Put(&b) }
