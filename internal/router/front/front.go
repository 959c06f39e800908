// Package front serves the clients of a router: it finds the route and the tenant of a request, admits it, has an instance
// picked and tried, repeats a try where that is allowed, and passes the answer or the events on as they come. It decides nothing
// about configurations, instances or budgets: it asks its dependencies.
//
// A request is served by the goroutine of its client connection alone. Each request that was read gets exactly one final answer;
// the statuses 408, 421, 429 and 503 are given only to a request that has not run and never will.
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

// Pick is an attempt that was entered at an instance. *selection.Pick is one.
type Pick interface {
	Instance() *instances.Instance
	FirstByte(now time.Time)
	ReportLoad(now time.Time, load selection.Load)
	Done(now time.Time, outcome selection.Outcome)
}

// Dependencies are what the front asks. Table, Select and Pool are needed; a nil function among the others allows everything.
type Dependencies struct {
	// Table returns the routing table in force, or nil where there is none yet.
	Table func() *routing.Table
	// Started is closed once the router knows its configuration and the instances; nil: it always does.
	Started <-chan struct{}
	// Select picks an instance for an attempt. Its error says that there is none.
	Select func(request selection.Request) (Pick, error)
	// Pool makes the attempts.
	Pool *attempt.Pool
	// Connections bounds this router's connections to one instance of the backend; 0 means no bound.
	Connections func(backend *routing.Backend) int
	// Quota tells whether a tenant's request is inside its quota, or how long to wait.
	Quota func(now time.Time, tenant *routing.Tenant, tokens int) (ok bool, retryAfter time.Duration)
	// KeysHold tells whether the keys of the configuration in force may still be relied on; nil: always.
	KeysHold func() bool
	// Retry takes one repeat from the fleet's budget.
	Retry func(now time.Time, backend string) bool
	// CountRequest counts a client's request for a backend.
	CountRequest func(now time.Time, backend string)
	// Random returns a number from 0 up to but not including 1.
	Random func() float64
	Log    logrus.FieldLogger
}

// Options of a front. Zero values mean the defaults.
type Options struct {
	MaxConnections int           // of clients
	BodyMemory     int64         // bytes of request bodies held at once
	AcceptOn       time.Duration // how long a draining front goes on to accept
}

const (
	defaultMaxConnections = 3000
	defaultBodyMemory     = 64 << 20
	defaultAcceptOn       = 2500 * time.Millisecond
	// headerHardLimit is what net/http reads of a header; the configured limit is applied to what it has read.
	headerHardLimit = 128 << 10
)

// Server serves clients.
type Server struct {
	dependencies Dependencies
	options      Options
	http         *http.Server
	connections  *connectionSet
	draining     atomic.Bool
	// drainingSince is when the draining began, in nanoseconds of the clock.
	drainingSince atomic.Int64
	bodyMemory    atomic.Int64
	counts        counts
	reporter      reporter
}

// New makes a server that does not listen yet.
func New(dependencies Dependencies, options Options) *Server {
	s := &Server{dependencies: dependencies, options: options}
	s.setDefaults()
	s.connections = newConnectionSet(s.limits)
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.serve),
		MaxHeaderBytes: headerHardLimit,
		ConnContext:    withConnection,
		ConnState:      s.connections.changed,
		ErrorLog:       silentLog(),
		// net/http would answer OPTIONS * itself, with a success that is no instance's.
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
	if s.options.AcceptOn <= 0 {
		s.options.AcceptOn = defaultAcceptOn
	}
	if s.dependencies.Random == nil {
		s.dependencies.Random = rand.Float64
	}
	if s.dependencies.Log == nil {
		s.dependencies.Log = logrus.StandardLogger()
	}
	s.reporter.log = s.dependencies.Log
}

// Serve accepts clients on the listener until Drain or Close. It returns nil after either.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(s.connections.listen(listener, s.options.MaxConnections))
	if err == http.ErrServerClosed || s.draining.Load() {
		return nil
	}
	return err
}

// Close ends all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// limits are those of the configuration in force.
func (s *Server) limits() document.Limits {
	if table := s.dependencies.Table(); table != nil {
		return table.Limits()
	}
	return document.Limits{}
}

// serve is the handler of all requests. Routes are found in the routing table, by the path as it was sent.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{server: s, writer: w, incoming: r, arrival: time.Now(), connection: connectionOf(r.Context())}
	defer c.finish()
	if s.draining.Load() {
		c.endConnection()
		if s.endsSoon() {
			c.refuse(resultcode.New(resultcode.ShuttingDown, ""))
			return
		}
	}
	s.awaitStart(r.Context(), c.deadlineHeader())
	if failure := c.admit(); failure != nil {
		c.refuse(failure)
		return
	}
	c.run(r.Context())
}

// finish gives back what the call holds, and logs a fault of the program, which ends the connection.
func (c *call) finish() {
	c.server.bodyMemory.Add(-c.reserved)
	fault := recover()
	if fault == nil {
		return
	}
	if fault != http.ErrAbortHandler {
		c.server.dependencies.Log.WithField("fault", fault).Errorf("a request failed: %s", debug.Stack())
	}
	panic(http.ErrAbortHandler)
}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}
