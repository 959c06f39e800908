package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// fakeBalancer records the commands it gets.
type fakeBalancer struct {
	ready     atomic.Bool
	neverDone bool // Drain never takes effect
	commands  chan string
}

func (b *fakeBalancer) Ready() bool  { return b.ready.Load() }
func (b *fakeBalancer) Metrics() any { return map[string]int{"active": 14} }
func (b *fakeBalancer) Drain(done func()) {
	b.commands <- "drain"
	if !b.neverDone {
		done()
	}
}
func (b *fakeBalancer) Activate(done func()) {
	b.commands <- "activate"
	done()
}

// serve starts a server for a balancer and returns its address.
func serve(t *testing.T, b *fakeBalancer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, ended := New(b), make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// request sends one request with the given method and path on a connection of its own, and returns the response and its
// body.
func request(t *testing.T, addr, target string) (*http.Response, string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprintf(nc, "%s HTTP/1.1\r\nHost: x\r\n\r\n", target)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatalf("%s: %v", target, err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

func TestRequests(t *testing.T) {
	b := &fakeBalancer{commands: make(chan string, 10)}
	addr := serve(t, b)
	for _, c := range []struct {
		ready  bool
		target string
		status int
		text   string
	}{
		{false, "GET /v1/readyz", 503, "not ready"},
		{true, "GET /v1/readyz", 200, "ready"},
		{true, "GET /v1/metrics", 200, `{"active":14}`},
		{true, "POST /v1/metrics", 405, ""},
		{true, "GET /v1/balancer/drain", 405, ""},
		{true, "GET /v1/other", 404, ""},
		{true, "POST /v1/balancer/drain", 200, "done"},
		{true, "POST /v1/balancer/activate\t", 400, ""},
		{true, "POST /v1/balancer/activate", 200, "done"},
	} {
		b.ready.Store(c.ready)
		resp, text := request(t, addr, c.target)
		if resp.StatusCode != c.status || !strings.Contains(text, c.text) || !resp.Close {
			t.Errorf("%s: status %d, body %q, closes the connection: %v", c.target, resp.StatusCode, text, resp.Close)
		}
	}
	if first, second := <-b.commands, <-b.commands; first != "drain" || second != "activate" || len(b.commands) != 0 {
		t.Errorf("commands %s, %s and %d more, want drain and activate", first, second, len(b.commands))
	}
}

// A command that takes no effect in time is answered with 202 and carried out all the same.
func TestSlowCommandIsAccepted(t *testing.T) {
	b := &fakeBalancer{commands: make(chan string, 10), neverDone: true}
	if resp, text := request(t, serve(t, b), "POST /v1/balancer/drain"); resp.StatusCode != 202 || <-b.commands != "drain" {
		t.Errorf("status %d, body %q", resp.StatusCode, text)
	}
}

// Connections with unfinished requests, more of them than the limit, do not block other requests, and none of them is
// answered.
func TestUnfinishedRequestsDoNotBlockOthers(t *testing.T) {
	b := &fakeBalancer{commands: make(chan string, 10)}
	b.ready.Store(true)
	addr := serve(t, b)
	var unfinished []net.Conn
	for range 3 * MaxConnections {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, "GET /v1/metrics HT")
		unfinished = append(unfinished, nc)
		if resp, _ := request(t, addr, "GET /v1/readyz"); resp.StatusCode != 200 {
			t.Fatalf("status %d with %d unfinished requests", resp.StatusCode, len(unfinished))
		}
	}
	for _, nc := range unfinished { // the last ones end by readTimeout
		if text, _ := io.ReadAll(nc); strings.Contains(string(text), " 200 ") {
			t.Errorf("an unfinished request was answered: %s", text)
		}
	}
}

// A connection over the limit closes the oldest one, and only that. A closed connection no longer counts.
func TestOldestConnectionIsClosedAtLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	limited := &limitedListener{Listener: l, connections: map[*trackedConn]uint64{}}
	var accepted []net.Conn
	for range MaxConnections + 1 {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		near, err := limited.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		accepted = append(accepted, near)
	}
	for i, nc := range accepted {
		if _, err := nc.Write([]byte("x")); (err != nil) != (i == 0) {
			t.Errorf("connection %d of %d: %v", i+1, len(accepted), err)
		}
	}
	accepted[3].Close()
	if len(limited.connections) != MaxConnections-1 {
		t.Errorf("%d connections open, want one below the limit", len(limited.connections))
	}
}
