// Package kvd is a stand-in for an etcd store: an MVCC history in memory that is served in etcd's v3 protocol, over gRPC
// (so that etcd's own client works against it) and over the JSON gateway, both on one port as etcd does it. It owns the
// history, the leases, the watches and the faults that can be played on them: compaction, restarts with the same, older
// or no data, stalls, streams that are cut within a line, halves of pages, lies.
//
// It is no store: nothing is written to a disk, there is one member, and of the protocol only what a list of nodes and
// those who write it use is there (KV without nested transactions, Watch, Lease, Status). The shapes of its answers were
// compared with those of etcd 3.7.3. It must never be linked into the balancer's program.
package kvd

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
)

// notesEvery is how often a watch that asked for it hears a progress note. etcd's own default is ten minutes, which is no
// sign of life for anybody; operators set --watch-progress-notify-interval.
const notesEvery = time.Second

// Options of a server.
type Options struct {
	Notes time.Duration // between progress notes; 0: a second; below zero: none
	Seed  uint64        // of what faults draw
}

// Server serves one store. All its methods may be called from any goroutine.
type Server struct {
	*Store
	Faults

	notes time.Duration
	grpc  *grpc.Server
	http  *http.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	down  bool
}

// New makes a server with an empty store.
func New(o Options) *Server {
	s := &Server{Store: NewStore(o.Seed), notes: o.Notes, conns: map[net.Conn]struct{}{}}
	if s.notes == 0 {
		s.notes = notesEvery
	}
	s.Faults.init(o.Seed)
	s.grpc = s.newGRPC()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{Handler: s, Protocols: protocols, ConnState: s.track, ReadHeaderTimeout: time.Minute}
	return s
}

// ServeHTTP tells gRPC from JSON as etcd does, by the protocol and the type of the content.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 2 && strings.HasPrefix(r.Header.Get("Content-Type"), "application/grpc") {
		s.grpc.ServeHTTP(w, r)
		return
	}
	s.gateway(w, r)
}

// Serve answers on a listener until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.down {
			c.Close()
			return
		}
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Cut ends every connection at once.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Down ends every connection, and each new one at once, until Up.
func (s *Server) Down() {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	s.Cut()
}

// Up ends what Down began.
func (s *Server) Up() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
}

// Close ends everything.
func (s *Server) Close() {
	s.http.Close()
	s.Store.close()
	s.Faults.end()
	s.grpc.Stop()
}
