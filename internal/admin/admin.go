// Package admin owns the second address: a small server for whoever runs the balancer day by day. It says whether the
// process is ready, gives the figures, and passes on what is wanted of it. It must never wait behind calls of clients,
// decide what a wish leads to, or let callers that finish nothing keep out one that does.
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
	// patience with a caller, for its whole call; it waits a second for its answer.
	patience = 1500 * time.Millisecond
	// Most is how many callers are held at once. The oldest goes for one more: a call that is finished takes milliseconds.
	Most = 16
	// maxHead bounds a call's head, in bytes.
	maxHead = 4 << 10
	// heard is how long a wish may wait to be in force before its caller is told that it is taken and no more.
	heard = 600 * time.Millisecond
)

// Desk is what stands behind the address. Each method gives its word at once.
type Desk interface {
	Ready() bool // whether this process serves clients
	Figures() any
	// Drain has clients sent away and Activate ends that; done is called once it is in force.
	Drain(done func())
	Activate(done func())
}

// Server answers at the second address until Close.
type Server struct{ http http.Server }

// New makes a server for a desk.
func New(d Desk) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		text, err := json.Marshal(d.Figures())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(text, '\n'))
	})
	mux.HandleFunc("POST /v1/balancer/drain", wish(d.Drain))
	mux.HandleFunc("POST /v1/balancer/activate", wish(d.Activate))
	s := &Server{http.Server{Handler: mux, ReadTimeout: patience, WriteTimeout: 2 * patience, MaxHeaderBytes: maxHead,
		ErrorLog: log.New(io.Discard, "", 0)}} // callers that break off are no news
	s.http.SetKeepAlivesEnabled(false) // one call to a connection
	return s
}

// wish passes on what a caller wants. It is taken even where it is not in force yet when the caller has to be answered.
func wish(pass func(done func())) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		done := make(chan struct{})
		go pass(func() { close(done) }) // the way to the state may be long, and is walked in any case
		late := time.NewTimer(heard)
		defer late.Stop()
		select {
		case <-done:
			io.WriteString(w, "done\n")
		case <-late.C:
			w.WriteHeader(http.StatusAccepted)
			io.WriteString(w, "taken\n")
		}
	}
}

// Serve answers at a listener until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(&bounded{Listener: l, open: map[*caller]uint64{}}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the server and its connections.
func (s *Server) Close() { s.http.Close() }

// bounded holds Most callers at a time.
type bounded struct {
	net.Listener
	mu    sync.Mutex
	order uint64
	open  map[*caller]uint64 // by order of arrival
}

type caller struct {
	net.Conn
	of *bounded
}

func (b *bounded) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &caller{nc, b}
	b.mu.Lock()
	var oldest *caller
	if len(b.open) >= Most {
		for o, at := range b.open {
			if oldest == nil || at < b.open[oldest] {
				oldest = o
			}
		}
		delete(b.open, oldest)
	}
	b.order++
	b.open[c] = b.order
	b.mu.Unlock()
	if oldest != nil {
		oldest.Conn.Close()
	}
	return c, nil
}

func (c *caller) Close() error {
	c.of.mu.Lock()
	delete(c.of.open, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}
