package node

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/protocol"
)

const (
	plainBody   = "the whole answer"
	streamParts = 5
	// waitTimeout bounds each wait for something that takes a few hundred milliseconds on an idle machine.
	waitTimeout = 30 * time.Second
)

// fakeInstance is a model instance that serves plain and streaming requests.
type fakeInstance struct {
	id     string
	server *httptest.Server

	mu              sync.Mutex
	lastRequest     time.Time // when the last request arrived
	blockedRequests int
	seq             int
	state           string
	router          *Node         // the router that receives its heartbeats
	release         chan struct{} // closed to let the blocked requests finish
}

func newFakeInstance(t *testing.T, id string) *fakeInstance {
	s := &fakeInstance{id: id, release: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.server.Close)
	return s
}

func (s *fakeInstance) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(protocol.HeaderRequestID, r.Header.Get(protocol.HeaderRequestID))
	w.Header().Set(protocol.HeaderInstanceID, s.id)
	w.Header().Set(protocol.HeaderResponseSignature, "stamp")
	switch {
	case r.URL.Path == protocol.PathReport:
		_, _ = io.WriteString(w, `{"phase":"both"}`)
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		s.recordArrival()
		s.stream(w)
	case strings.HasPrefix(r.URL.Path, "/plain/"):
		s.recordArrival()
		s.plain(w, r)
	}
}

func (s *fakeInstance) stream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", protocol.ContentTypeEventStream)
	for part := range streamParts {
		_, _ = io.WriteString(w, event(part))
		w.(http.Flusher).Flush()
	}
}

func (s *fakeInstance) plain(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/slow") {
		s.mu.Lock()
		s.blockedRequests++
		s.mu.Unlock()
		<-s.release
	}
	_, _ = io.WriteString(w, plainBody)
}

func event(part int) string { return fmt.Sprintf("id: %d\ndata: part\n\n", part+1) }

// streamBody returns the body of a complete stream.
func streamBody() string {
	var body strings.Builder
	for part := range streamParts {
		body.WriteString(event(part))
	}
	return body.String()
}

func (s *fakeInstance) recordArrival() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest = time.Now()
}

// lastArrival returns when the last request arrived, or the zero time if none has.
func (s *fakeInstance) lastArrival() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRequest
}

// blockedRequestCount returns the number of slow requests that have arrived.
func (s *fakeInstance) blockedRequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blockedRequests
}

// heartbeatInterval is well below the silence after which an instance is removed.
const heartbeatInterval = 500 * time.Millisecond

// announce sends a heartbeat to a router until it is acknowledged. Later heartbeats go to the same router.
func (s *fakeInstance) announce(t *testing.T, n *Node, state string) {
	t.Helper()
	s.mu.Lock()
	isFirst := s.router == nil
	s.router, s.state = n, state
	s.mu.Unlock()
	path, body := s.nextHeartbeat()
	postUntilOK(t, n, path, body)
	if isFirst {
		go periodic.Run(t.Context(), heartbeatInterval, s.sendHeartbeat)
	}
}

// nextHeartbeat returns the path and body of the next heartbeat.
func (s *fakeInstance) nextHeartbeat() (path, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body = fmt.Sprintf(`{"backend":"pool","address":%q,"state":%q,"slots":100,"seq":%d}`, s.server.Listener.Addr(), s.state, s.seq)
	return "/v1/instances/" + s.id + "/heartbeat", body
}

// sendHeartbeat sends one heartbeat without checking the answer.
func (s *fakeInstance) sendHeartbeat() {
	path, body := s.nextHeartbeat()
	s.mu.Lock()
	address := s.router.Settings().Listen.Control
	s.mu.Unlock()
	answer, err := http.Post("http://"+address+path, protocol.ContentTypeJSON, strings.NewReader(body))
	if err == nil {
		answer.Body.Close()
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !holds() {
			return poll.Continue("%s", what)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}
