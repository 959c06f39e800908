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

// desk is a stand-in for what stands behind the address.
type desk struct {
	ready atomic.Bool
	slow  bool // wishes are taken and never in force
	heard chan string
}

func (d *desk) Ready() bool  { return d.ready.Load() }
func (d *desk) Figures() any { return map[string]int{"active": 14} }
func (d *desk) Drain(done func()) {
	d.heard <- "drain"
	if !d.slow {
		done()
	}
}
func (d *desk) Activate(done func()) {
	d.heard <- "activate"
	done()
}

// open serves a desk, and gives the address.
func open(t *testing.T, d *desk) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, ended := New(d), make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// ask makes one call as it is written.
func ask(t *testing.T, addr, head string) (*http.Response, string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprintf(nc, "%s HTTP/1.1\r\nHost: x\r\n\r\n", head)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatalf("%s: %v", head, err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

func TestWhatIsAnswered(t *testing.T) {
	d := &desk{heard: make(chan string, 10)}
	addr := open(t, d)
	for _, c := range []struct {
		ready  bool
		head   string
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
		d.ready.Store(c.ready)
		resp, text := ask(t, addr, c.head)
		if resp.StatusCode != c.status || !strings.Contains(text, c.text) || !resp.Close {
			t.Errorf("%s: %d %q, ends the connection: %v", c.head, resp.StatusCode, text, resp.Close)
		}
	}
	if first, second := <-d.heard, <-d.heard; first != "drain" || second != "activate" || len(d.heard) != 0 {
		t.Errorf("%s, %s, %d more", first, second, len(d.heard))
	}
}

// A wish that is not in force in time was taken all the same.
func TestAWishThatTakesLongIsTaken(t *testing.T) {
	d := &desk{heard: make(chan string, 10), slow: true}
	if resp, text := ask(t, open(t, d), "POST /v1/balancer/drain"); resp.StatusCode != 202 || <-d.heard != "drain" {
		t.Errorf("%d %q", resp.StatusCode, text)
	}
}

// Callers that finish nothing, more of them than are held, keep nobody out, and the oldest of them are let go.
func TestCallersThatFinishNothing(t *testing.T) {
	d := &desk{heard: make(chan string, 10)}
	d.ready.Store(true)
	addr := open(t, d)
	var silent []net.Conn
	for range 3 * Most {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, "GET /v1/metrics HT")
		silent = append(silent, nc)
		if resp, _ := ask(t, addr, "GET /v1/readyz"); resp.StatusCode != 200 {
			t.Fatalf("%d with %d that wait", resp.StatusCode, len(silent))
		}
	}
	for _, nc := range silent { // the last of them by their patience
		if text, _ := io.ReadAll(nc); strings.Contains(string(text), " 200 ") {
			t.Errorf("half a call was answered: %s", text)
		}
	}
}

// No more callers are held than there are places: the oldest goes for one more, and only that.
func TestTheOldestCallerMakesRoom(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	b := &bounded{Listener: l, open: map[*caller]uint64{}}
	var held []net.Conn
	for range Most + 1 {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		near, err := b.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		held = append(held, near)
	}
	for i, nc := range held {
		if _, err := nc.Write([]byte("x")); (err != nil) != (i == 0) {
			t.Errorf("caller %d of %d: %v", i+1, len(held), err)
		}
	}
	held[3].Close()
	if len(b.open) != Most-1 {
		t.Errorf("%d places taken", len(b.open))
	}
}
