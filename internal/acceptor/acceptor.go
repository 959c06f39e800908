// Package acceptor owns the clients' side: the listening socket, the clients' connections, reading calls and
// writing final answers, readiness and the drain before an end. Each call becomes one Arrived event, and its
// RoundTripper waits for the one Answer. It must never choose a server, repeat a call, or make up an answer
// to a call that the reducer has taken.
//
// read.go turns requests into calls, answer.go gives them their answers, clients.go counts connections and has the
// patience with those that do not read.
package acceptor

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/tenants"
)

const (
	// A client that takes longer over its header, its first one included, is no client of ours, nor one that takes
	// longer over the body behind it. Ours send a request in one piece; the others would hold descriptors and
	// memory that ours need.
	headerPatience = 2600 * time.Millisecond // ours may take 2 s; who sends no head is to be told within 3 s
	bodyPatience   = 2 * time.Second
	// uploadPatience is what a client may fall behind the slowest pace of an upload: one that sends nothing is told within 3 s.
	uploadPatience = 2500 * time.Millisecond
	idlePatience   = 3 * time.Second // a connection without a call; a client whose next one crosses the close asks again
	writePatience  = 2 * time.Second // for taking what is written at a time of an answer that is held
	maxHeader      = 8 << 10
	readyPath      = "/health/ready"
	// drainFor is how long connections are still accepted after the signal to end. The front goes on sending
	// new ones for a while and clients use those they have; what comes much later may not be finished before
	// the kill.
	drainFor = 720 * time.Millisecond
	// partedWithin is how long connections may take to end by themselves, and partAgain how often those are told to that have
	// come since.
	partedWithin = 50 * time.Millisecond
	partAgain    = 50 * time.Millisecond
	// finishMost is how long what was taken may take to end after that: the largest body at the slowest pace, and its answer.
	// Who cannot wait so long kills the process, which then has taken nothing that it could have answered sooner.
	finishMost = 15 * time.Minute
)

// Acceptor serves clients.
type Acceptor struct {
	now     func() time.Duration
	post    func(reducer.Event)
	terms   atomic.Pointer[Terms]
	tenants *tenants.Table // which others change
	server  *http.Server
	conns   *clients

	ready, draining, away atomic.Bool
	shared                atomic.Bool // another process serves at the same address
	lastCall              atomic.Uint64
	mu                    sync.Mutex
	waiting               map[uint64]chan reducer.Reply
	bounds                Bounds
}

// Terms are what a request may say of itself: classes by name with their places, and the classes' deadlines by place, which
// no call outlasts.
type Terms struct {
	Classes   map[string]int
	Deadlines []time.Duration
}

// Retune puts other terms in force for the requests that are read from now on.
func (a *Acceptor) Retune(t Terms) { a.terms.Store(&t) }

// Bounds of the bodies that flow.
type Bounds struct {
	Upload     int64         // the longest body taken from a client; up to flow.Hold it is held whole
	ClientIdle time.Duration // for a client that takes or sends nothing in the middle of a body
}

// New makes an acceptor that holds at most budget connections, kept of them between calls; no call of a class lasts
// longer than its deadline.
func New(now func() time.Duration, post func(reducer.Event), classes map[string]int,
	deadlines []time.Duration, tenants *tenants.Table, budget, kept int, bounds Bounds) *Acceptor {
	a := &Acceptor{now: now, post: post, tenants: tenants, bounds: bounds,
		conns: newClients(budget, kept), waiting: map[uint64]chan reducer.Reply{}}
	a.Retune(Terms{classes, deadlines})
	proxy := &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.RawQuery = p.In.URL.RawQuery // undo the clean-up: a call passes on as it is
		},
		Transport: a,
		ModifyResponse: func(resp *http.Response) error {
			a.lastOne(resp.Header)
			return nil
		},
		ErrorHandler: a.broken,
		BufferPool:   &pool{},
		ErrorLog:     log.New(io.Discard, "", 0), // a line for each answer that breaks off; the reducer says how many
	}
	a.server = &http.Server{
		// No mux, which would redirect paths that it writes otherwise.
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 { // also for one that is refused: net/http reads on for a while before it closes
				http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyPatience))
			}
			nc := r.Context().Value(clientKey{}).(*client)
			twice := nc.heads.taken()
			if r.URL.Path == readyPath {
				a.health(w, r)
				return
			}
			if len(r.TransferEncoding) > 0 { // where its body ends is not known but to net/http: nothing is to be read behind it
				w.Header().Set("Connection", "close")
			}
			call, err := a.read(w, r, twice)
			if err != nil {
				a.broken(w, r, err)
				return
			}
			up := call.Message.(*message.Call).Upload
			if up != nil {
				defer up.Close() // before net/http looks at the body again
			}
			r.Body = http.NoBody // it is in the call
			proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callKey{}, call)))
			if up != nil && !up.Whole() && !up.Failed() {
				nc.lingers.Store(true) // the client still sends, and will look for its answer behind that
			}
		}),
		ReadHeaderTimeout: headerPatience, IdleTimeout: idlePatience,
		MaxHeaderBytes: maxHeader, ConnState: a.conns.changed,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, nc)
		},
		ErrorLog: log.New(log.Writer(), "acceptor: ", 0),
	}
	return a
}

// Serve accepts clients until Drain.
func (a *Acceptor) Serve(l net.Listener) error {
	if err := a.server.Serve(a.conns.limit(l)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ready lets the front in.
func (a *Acceptor) Ready() { a.ready.Store(true) }

// Drain ends the service: every answer from now on closes its connection, new connections are taken for a while yet, and
// then all that was taken is finished, however long ago: each call ends by its own deadline, under settings that may have
// changed since, each body by the pace that is asked of its client, each answer by the patience with both sides. What is
// still open after finishMost is named in the error.
func (a *Acceptor) Drain() error {
	a.draining.Store(true)
	time.Sleep(drainFor)
	ctx, cancel := context.WithTimeout(context.Background(), finishMost)
	defer cancel()
	// Those that carry no call end first by themselves, so that a request that has come on one of them is still taken: net/http
	// closes what it has not read. What says its first word later than this may not be finished before the kill.
	a.conns.part(true)
	a.conns.parted(partedWithin)
	stop := make(chan struct{})
	defer close(stop)
	go a.conns.keepParting(stop)
	return a.server.Shutdown(ctx)
}

// Turn says whether clients are sent away: each answer then ends its connection, and the front is told no.
func (a *Acceptor) Turn(away bool) { a.away.Store(away) }

// Part closes the connections that carry no call, those that have not said anything too if silent.
func (a *Acceptor) Part(silent bool) { a.conns.part(silent) }

// Share leaves the clients' part of the descriptors to so many processes at the same address.
func (a *Acceptor) Share(parts int) {
	a.shared.Store(parts > 1)
	a.conns.share(parts)
}

// lastOne has a client leave the connection after an answer, while clients are to go.
func (a *Acceptor) lastOne(h http.Header) {
	if a.draining.Load() || a.away.Load() {
		h.Set("Connection", "close")
	}
}

func (a *Acceptor) health(w http.ResponseWriter, _ *http.Request) {
	a.lastOne(w.Header())
	if !a.ready.Load() || a.draining.Load() && !a.shared.Load() || a.away.Load() { // the other one is ready
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}
