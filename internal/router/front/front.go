// Package front is the HTTP front end of a router. It determines the route and the tenant of a request, admits it, makes
// attempts on instances, retries where that is allowed, and forwards the response, or the events of a stream as they
// arrive. Configuration, instance selection, quotas and retry budgets belong to its dependencies.
//
// A request is served entirely by the goroutine of its client connection. Each request that was read gets exactly one
// final response; the statuses 408, 421, 429 and 503 are sent only if the request has not been executed and never will be.
package front

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
)

// Pick is an instance selected for one attempt, which is registered with the selector until Done. *selection.Pick
// implements it.
type Pick interface {
	Instance() *instances.Instance
	FirstByte(now time.Time)
	ReportLoad(now time.Time, load selection.Load)
	Done(now time.Time, outcome selection.Outcome)
}

// Dependencies are the services that a Server uses. Table, Select and Pool are required. Of the other functions, a nil one
// imposes no limit.
type Dependencies struct {
	// Table returns the current routing table, or nil if there is none yet.
	Table func() *routing.Table
	// BecameReady is closed once the router knows its configuration and the instances. Nil means that it is already
	// started.
	BecameReady <-chan struct{}
	// Select picks an instance for an attempt. It returns an error if none is available.
	Select func(request selection.Request) (Pick, error)
	// Pool makes the attempts.
	Pool *attempt.Pool
	// ConnectionLimit returns the maximum number of this router's connections to one instance of the backend; 0 means
	// no limit.
	ConnectionLimit func(backend *routing.Backend) int
	// Quota charges a request of the given cost, in the unit of the tenant's quota, and reports whether it is within the
	// quota. If not, retryAfter is the time to wait.
	Quota func(now time.Time, tenant *routing.Tenant, cost int) (ok bool, retryAfter time.Duration)
	// KeysValid reports whether the API keys of the current configuration are still known to be valid; nil means
	// always.
	KeysValid func() bool
	// TakeRetry takes one retry from the fleet's retry budget and reports whether one was left.
	TakeRetry func(now time.Time, backend string) bool
	// CountRequest counts a client's request for a backend.
	CountRequest func(now time.Time, backend string)
	// Random returns a number in [0, 1). Nil means math/rand/v2.
	Random func() float64
	// Log receives log lines; nil means the standard logger.
	Log logrus.FieldLogger
}

// Options configures a Server. Zero values select the defaults.
type Options struct {
	MaxConnections  int           // maximum number of client connections
	BodyMemory      int64         // maximum bytes of request bodies held at once
	DrainAcceptTime time.Duration // how long connections are still accepted after draining has begun
}

const (
	defaultMaxConnections  = 3000
	defaultBodyMemory      = 64 << 20
	defaultDrainAcceptTime = 2500 * time.Millisecond
	// headerHardLimit is the maximum header size that net/http reads, in bytes. The configured limit is checked afterwards.
	headerHardLimit = 128 << 10
)

// Server is the HTTP server for clients. Create it with New.
type Server struct {
	dependencies Dependencies
	options      Options
	http         *http.Server
	connections  *connectionSet
	draining     atomic.Bool
	// drainingSince is when draining began, in nanoseconds since the Unix epoch.
	drainingSince atomic.Int64
	bodyMemory    atomic.Int64
	counters      counters
	failureLogger failureLogger
}

// New returns a server that does not listen yet.
func New(dependencies Dependencies, options Options) *Server {
	s := &Server{dependencies: dependencies, options: options}
	s.setDefaults()
	s.connections = newConnectionSet(s.limits)
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.serve),
		MaxHeaderBytes: headerHardLimit,
		ConnContext:    withConnection,
		ConnState:      s.connections.onStateChange,
		ErrorLog:       discardLogger(),
		// Otherwise net/http would answer OPTIONS * itself, with a success that comes from no instance.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

func (s *Server) setDefaults() {
	if s.options.MaxConnections <= 0 {
		s.options.MaxConnections = defaultMaxConnections
	}
	if s.options.BodyMemory <= 0 {
		s.options.BodyMemory = defaultBodyMemory
	}
	if s.options.DrainAcceptTime <= 0 {
		s.options.DrainAcceptTime = defaultDrainAcceptTime
	}
	if s.dependencies.Random == nil {
		s.dependencies.Random = rand.Float64
	}
	if s.dependencies.Log == nil {
		s.dependencies.Log = logrus.StandardLogger()
	}
	s.failureLogger.log = s.dependencies.Log
}

// Serve accepts client connections on the listener until Drain or Close, after which it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(s.connections.listen(listener, s.options.MaxConnections))
	if err == http.ErrServerClosed || s.draining.Load() {
		return nil
	}
	return err
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// limits returns the limits of the current configuration; zero values mean the defaults.
func (s *Server) limits() document.Limits {
	if table := s.dependencies.Table(); table != nil {
		return table.Limits()
	}
	return document.Limits{}
}

// serve handles every request. http.ServeMux is not used: routes are looked up in the routing table by the path exactly
// as it was sent.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{server: s, writer: w, incoming: r, arrival: time.Now(), connection: connectionOf(r.Context())}
	defer c.finish()
	if s.draining.Load() {
		c.closeAfterResponse()
		if s.rejectsLateRequests() {
			c.respondError(resultcode.New(resultcode.ShuttingDown, ""))
			return
		}
	}
	s.awaitStart(r.Context(), c.deadlineHeader())
	if failure := c.admit(); failure != nil {
		c.refuse(failure)
		return
	}
	c.runAttempts(r.Context())
}

// finish releases the call's body memory. It recovers and logs a panic, and then aborts the connection.
func (c *call) finish() {
	c.server.bodyMemory.Add(-c.reservedBytes)
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered != http.ErrAbortHandler {
		c.server.dependencies.Log.WithField("fault", recovered).Errorf("panic while serving a request: %s", debug.Stack())
	}
	panic(http.ErrAbortHandler)
}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}
