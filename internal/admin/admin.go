// Package admin serves the control address, a small HTTP server for operators. It reports whether the process is ready,
// returns the metrics, and forwards commands. It must never wait for calls of clients, decide what a command does, or
// let connections with unfinished requests block other requests.
package admin

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readTimeout limits the reading of a request; writing the response may take twice as long. Callers wait one second
	// for the response.
	readTimeout = 1500 * time.Millisecond
	// MaxConnections is how many connections are open at once. A further one closes the oldest: a request that is going
	// to be finished takes milliseconds.
	MaxConnections = 16
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 4 << 10
	// confirmTimeout is how long a command may take before its caller is told that it was accepted, without waiting for
	// its effect.
	confirmTimeout = 600 * time.Millisecond
)

// Balancer is what the server reports on and controls. Ready and Metrics return without delay; Drain and Activate may
// block.
type Balancer interface {
	Ready() bool  // whether this process serves clients
	Metrics() any // metrics, to be encoded as JSON
	// Drain makes the balancer turn clients away and Activate ends that; done is called once it is in effect.
	Drain(done func())
	Activate(done func())
}

// Server serves the control address until Close.
type Server struct{ http http.Server }

// New returns a server for a balancer.
func New(b Balancer) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !b.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		text, err := json.Marshal(b.Metrics())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(text, '\n'))
	})
	mux.HandleFunc("POST /v1/balancer/drain", commandHandler(b.Drain))
	mux.HandleFunc("POST /v1/balancer/activate", commandHandler(b.Activate))
	s := &Server{http.Server{Handler: mux, ReadTimeout: readTimeout, WriteTimeout: 2 * readTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0)}} // aborted requests are not worth logging
	s.http.SetKeepAlivesEnabled(false) // one request per connection
	return s
}

// commandHandler returns a handler that runs a command and responds with 200 once it is in effect, or with 202 after
// confirmTimeout. The command is carried out in either case.
func commandHandler(command func(done func())) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		done := make(chan struct{})
		go command(func() { close(done) }) // may block; it runs to its end even after the response
		timeout := time.NewTimer(confirmTimeout)
		defer timeout.Stop()
		select {
		case <-done:
			io.WriteString(w, "done\n")
		case <-timeout.C:
			w.WriteHeader(http.StatusAccepted)
			io.WriteString(w, "taken\n")
		}
	}
}

// Serve accepts connections of a listener until Close, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(&limitedListener{Listener: l, connections: map[*trackedConn]uint64{}}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the server, its listener and all connections.
func (s *Server) Close() { s.http.Close() }

// limitedListener keeps at most MaxConnections connections open.
type limitedListener struct {
	net.Listener
	mu          sync.Mutex
	accepted    uint64                  // connections so far
	connections map[*trackedConn]uint64 // open ones, each with the value of accepted at its arrival
}

// trackedConn is a connection that removes itself from its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *limitedListener
}

// Accept returns the next connection, and closes the oldest one if the limit is exceeded.
func (l *limitedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{nc, l}
	l.mu.Lock()
	var oldest *trackedConn
	if len(l.connections) >= MaxConnections {
		for open, number := range l.connections {
			if oldest == nil || number < l.connections[oldest] {
				oldest = open
			}
		}
		delete(l.connections, oldest)
	}
	l.accepted++
	l.connections[c] = l.accepted
	l.mu.Unlock()
	if oldest != nil {
		oldest.Conn.Close()
	}
	return c, nil
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.connections, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
