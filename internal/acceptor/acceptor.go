// Package acceptor implements the client side of the balancer: the listening socket, client connections, parsing of
// requests, writing of final answers, the readiness check and graceful shutdown. Each call becomes one Arrived event,
// and its RoundTripper waits for the one Answer. The package never chooses a server, never repeats a call, and never
// makes up an answer to a call that the reducer has accepted.
//
// request.go parses requests into calls, response.go builds their responses, clients.go limits connections and times
// out clients that do not read, and disconnect.go detects clients that have disconnected.
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
	// headerTimeout and bodyTimeout bound the reading of a request header, the first on a connection included, and of
	// the body behind it. The platform's clients send a request in one piece; a slower client would hold descriptors
	// and memory that they need.
	headerTimeout = 2600 * time.Millisecond // clients may take 2 s; one that sends no header must be closed within 3 s
	bodyTimeout   = 2 * time.Second
	// maxUploadLag is how far a client may fall behind the minimum rate of an upload (flow.MinUploadRate). A client that
	// sends nothing must be answered within 3 s.
	maxUploadLag   = 2500 * time.Millisecond
	idleTimeout    = 3 * time.Second // of a connection without a call; a client whose request crosses the close retries
	writeTimeout   = 2 * time.Second // for one write of a buffered answer
	maxHeaderBytes = 8 << 10
	readyPath      = "/health/ready"
	// drainAcceptPeriod is how long connections are still accepted after the termination signal. The front-end load
	// balancer keeps sending new ones for a while, and clients use those they have. A call that comes much later may not
	// finish before the process is killed.
	drainAcceptPeriod = 720 * time.Millisecond
	// idleCloseTimeout is how long Drain waits for connections without a call to close, and idleCloseInterval how often
	// it closes those that have become idle or have been opened since.
	idleCloseTimeout  = 50 * time.Millisecond
	idleCloseInterval = 50 * time.Millisecond
	// shutdownTimeout bounds the completion of accepted calls after drainAcceptPeriod: the largest body at the minimum
	// rate, and its answer. An operator who cannot wait that long kills the process; no call is accepted meanwhile that
	// could have been answered sooner.
	shutdownTimeout = 15 * time.Minute
)

// Acceptor accepts client connections, turns their requests into calls and writes the answers.
type Acceptor struct {
	now         func() time.Duration
	post        func(reducer.Event)
	classLimits atomic.Pointer[ClassLimits]
	tenants     *tenants.Table // changed by other goroutines
	server      *http.Server
	conns       *connTracker

	ready, draining, outOfRotation atomic.Bool
	addressShared                  atomic.Bool // another process listens on the same address
	lastCallID                     atomic.Uint64
	mu                             sync.Mutex
	pending                        map[uint64]chan reducer.Reply
	bodyLimits                     BodyLimits
}

// ClassLimits are the call classes that a request may name: Classes maps a class name to its index, and Deadlines gives
// the longest deadline of a call by class index.
type ClassLimits struct {
	Classes   map[string]int
	Deadlines []time.Duration
}

// SetClassLimits replaces the class limits for requests that are parsed from now on.
func (a *Acceptor) SetClassLimits(t ClassLimits) { a.classLimits.Store(&t) }

// BodyLimits limits streamed bodies.
type BodyLimits struct {
	MaxUploadBytes    int64         // longest request body in bytes; a body of up to flow.MaxBufferedBytes is buffered whole
	ClientIdleTimeout time.Duration // timeout for a client that reads or sends nothing in the middle of a body
}

// New returns an Acceptor that holds at most budget connections, of which at most kept stay open after their first
// request. The deadlines cap the calls of each class, by class index. now is the clock of the deadlines, and post
// passes events to the reducer.
func New(now func() time.Duration, post func(reducer.Event), classes map[string]int,
	deadlines []time.Duration, tenants *tenants.Table, budget, maxKept int, bounds BodyLimits) *Acceptor {
	a := &Acceptor{now: now, post: post, tenants: tenants, bodyLimits: bounds,
		conns: newConnTracker(budget, maxKept), pending: map[uint64]chan reducer.Reply{}}
	a.SetClassLimits(ClassLimits{classes, deadlines})
	proxy := &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.RawQuery = p.In.URL.RawQuery // undo ReverseProxy's cleaning: a call is forwarded unchanged
		},
		Transport: a,
		ModifyResponse: func(resp *http.Response) error {
			a.setCloseHeader(resp.Header)
			return nil
		},
		ErrorHandler: a.writeError,
		BufferPool:   &bufferPool{},
		ErrorLog:     log.New(io.Discard, "", 0), // it would log each truncated answer; the reducer counts them
	}
	a.server = &http.Server{
		// No ServeMux: it would redirect paths that it does not consider clean.
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 { // also for a rejected request: net/http reads on for a while before it closes
				http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
			}
			conn := r.Context().Value(connKey{}).(*clientConn)
			doubleFramed := conn.headers.nextIsDoubleFramed()
			if r.URL.Path == readyPath {
				a.health(w, r)
				return
			}
			if len(r.TransferEncoding) > 0 { // only net/http knows the body's end: read no request behind it
				w.Header().Set("Connection", "close")
			}
			call, err := a.parseRequest(w, r, doubleFramed)
			if err != nil {
				a.writeError(w, r, err)
				return
			}
			upload := call.Message.(*message.Call).Upload
			if upload != nil {
				defer upload.Close() // before net/http reads the body again
			}
			r.Body = http.NoBody // the call holds the body
			proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callKey{}, call)))
			if upload != nil && !upload.Complete() && !upload.Failed() {
				conn.lingerOnClose.Store(true) // the client is still sending, and reads its answer afterwards
			}
		}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: a.conns.connStateChanged,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
		ErrorLog: log.New(log.Writer(), "acceptor: ", 0),
	}
	return a
}

// Serve accepts clients on l until Drain or a failure of the listener.
func (a *Acceptor) Serve(l net.Listener) error {
	if err := a.server.Serve(a.conns.limitListener(l)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// SetReady makes the readiness check succeed, so that the front-end load balancer sends clients.
func (a *Acceptor) SetReady() { a.ready.Store(true) }

// Drain shuts down gracefully: every answer from now on closes its connection, new connections are accepted for
// drainAcceptPeriod, and then all accepted calls are completed, however long ago they came. Each call ends by its own
// deadline, under settings that may have changed since, each request body by the minimum rate required of its client,
// and each answer by the timeouts of both sides. If connections are still open after shutdownTimeout, Drain returns an
// error.
func (a *Acceptor) Drain() error {
	a.draining.Store(true)
	time.Sleep(drainAcceptPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// Connections without a call are closed before Shutdown, by way of their read deadline, so that a request that has
	// already come on one of them is still served: Shutdown closes such connections without reading. A connection whose
	// first bytes come later than this is not served, since its call may not finish before the process is killed.
	a.conns.closeIdle(true)
	a.conns.waitClosed(idleCloseTimeout)
	stop := make(chan struct{})
	defer close(stop)
	go a.conns.closeIdlePeriodically(stop)
	return a.server.Shutdown(ctx)
}

// SetDraining takes the acceptor out of rotation, or puts it back: while it is out, each answer closes its connection
// and the readiness check fails.
func (a *Acceptor) SetDraining(outOfRotation bool) { a.outOfRotation.Store(outOfRotation) }

// CloseClientConns closes the connections without a call: the idle ones and, if includeNew, those without a first
// request too.
func (a *Acceptor) CloseClientConns(includeNew bool) { a.conns.closeIdle(includeNew) }

// DivideLimits divides the connection budget among that many processes that listen on the same address. 1 restores the
// whole budget.
func (a *Acceptor) DivideLimits(parts int) {
	a.addressShared.Store(parts > 1)
	a.conns.setShare(parts)
}

// setCloseHeader has the connection closed after an answer, while the acceptor drains or is out of rotation.
func (a *Acceptor) setCloseHeader(h http.Header) {
	if a.draining.Load() || a.outOfRotation.Load() {
		h.Set("Connection", "close")
	}
}

func (a *Acceptor) health(w http.ResponseWriter, _ *http.Request) {
	a.setCloseHeader(w.Header())
	if !a.ready.Load() || a.draining.Load() && !a.addressShared.Load() || a.outOfRotation.Load() { // a sharing process is ready
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}
