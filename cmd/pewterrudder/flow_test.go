package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pewterrudder/internal/lab/flowrig"
)

// These tests see the real program from outside: a stand-in app node writes every byte of an answer itself, and a raw
// client looks at every byte that comes. Bodies are compared by hash, and no two are alike.

const (
	held      = 64 << 10         // at so many bytes an answer is committed to its client
	largest   = 40 << 20         // that is passed where nothing else is set
	longAgo   = 20 * time.Second // bounds a wait that should not be one
	farWindow = 16 << 10         // of a far client's socket
)

// stand is a balancer before a stand-in app node.
type stand struct {
	t    *testing.T
	node *flowrig.Node
	addr string
	cmd  *exec.Cmd
	log  *output

	mu    sync.Mutex
	calls int
	plays map[string]func(*flowrig.Exchange) // by the call's id
	kept  *flowrig.Client
}

// newStand starts one; change may be nil.
func newStand(t *testing.T, change func(*flowrig.Setup)) *stand {
	t.Helper()
	s := &stand{t: t, plays: map[string]func(*flowrig.Exchange){}}
	var err error
	if s.node, err = flowrig.NewNode(s.serve); err != nil {
		t.Fatal(err)
	}
	if s.addr, err = flowrig.FreeAddr(); err != nil {
		t.Fatal(err)
	}
	setup := flowrig.Setup{Nodes: []string{s.node.Addr()}, Classes: []flowrig.Class{flowrig.Bulk}, MemoryMB: 192,
		Sockets: 256, Attempts: 1}
	if change != nil {
		change(&setup)
	}
	s.cmd, s.log = s.program(setup)
	s.started()
	return s
}

// started waits until the program serves, and has it end with the test.
func (s *stand) started() {
	s.t.Helper()
	s.t.Cleanup(func() {
		s.cmd.Process.Kill()
		s.cmd.Wait()
		s.node.Close()
		if s.t.Failed() {
			s.t.Logf("the balancer's log:\n%s", s.log)
		}
	})
	if err := flowrig.WaitReady(s.addr, longAgo); err != nil {
		s.t.Fatalf("%v: %s", err, s.log)
	}
}

// newPair has two app nodes, and two attempts at a call.
func newPair(t *testing.T, change func(*flowrig.Setup)) (s *stand, other *flowrig.Node) {
	t.Helper()
	other, err := flowrig.NewNode(func(x *flowrig.Exchange) { s.serve(x) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	s = newStand(t, func(setup *flowrig.Setup) {
		setup.Nodes, setup.Attempts = append(setup.Nodes, other.Addr()), 2
		change(setup)
	})
	return s, other
}

// program starts the balancer with a configuration and a settings file.
func (s *stand) program(setup flowrig.Setup) (*exec.Cmd, *output) {
	cmd, log, dir := exec.Command(os.Args[0]), new(output), s.t.TempDir()
	log.more = sync.NewCond(&log.mu)
	cmd.Env = append(os.Environ(), "BE_THE_BALANCER=1")
	for _, f := range []struct{ variable, text string }{{"RELAY_CONFIG", setup.Config(s.addr)},
		{"RUDDER_SETTINGS", setup.Settings}} {
		if f.text == "" {
			continue
		}
		path := filepath.Join(dir, f.variable)
		if err := os.WriteFile(path, []byte(f.text), 0o600); err != nil {
			s.t.Fatal(err)
		}
		cmd.Env = append(cmd.Env, f.variable+"="+path)
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	return cmd, log
}

func (s *stand) serve(x *flowrig.Exchange) {
	s.mu.Lock()
	play := s.plays[x.Request.Header.Get("X-Request-Id")]
	s.mu.Unlock()
	if play == nil {
		x.Say("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	play(x)
}

// plan gives a call of its own id the app node's part.
func (s *stand) plan(play func(*flowrig.Exchange)) flowrig.Ask {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	id := "call-" + strconv.Itoa(s.calls)
	s.plays[id] = play
	return flowrig.Ask{Path: "/bulk/" + id, ID: id, Class: flowrig.Bulk.Name, Wait: flowrig.Bulk.Deadline}
}

// dial makes a client.
func (s *stand) dial(window int) *flowrig.Client {
	s.t.Helper()
	c, err := flowrig.Dial(s.addr, window)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	c.Deadline(longAgo)
	return c
}

// fetch makes a call on the kept connection and reads its answer.
func (s *stand) fetch(ask flowrig.Ask) flowrig.Answer {
	s.t.Helper()
	if s.kept == nil {
		s.kept = s.dial(0)
	}
	s.kept.Deadline(longAgo)
	method := ask.Method
	if method == "" {
		method = "GET"
	}
	err := s.kept.Send(ask)
	if err != nil {
		s.t.Fatalf("%s: %v", ask.ID, err)
	}
	a := s.kept.Receive(method)
	if a.Close || a.Err != nil {
		s.hangUp()
	}
	return a
}

// hangUp ends the kept connection.
func (s *stand) hangUp() {
	if s.kept != nil {
		s.kept.Close()
		s.kept = nil
	}
}

// open makes a call on a connection of its own and reads the answer's head.
func (s *stand) open(window int, play func(*flowrig.Exchange)) (*flowrig.Client, *http.Response) {
	s.t.Helper()
	c := s.dial(window)
	if err := c.Send(s.plan(play)); err != nil {
		s.t.Fatal(err)
	}
	resp, err := c.Response("GET")
	if err != nil || resp.StatusCode != http.StatusOK {
		s.t.Fatalf("no good head: %+v %v", resp, err)
	}
	return c, resp
}

// well fails the test unless an ordinary call is served right: whatever came before has left nothing behind.
func (s *stand) well(after string) {
	s.t.Helper()
	body := flowrig.Content(flowrig.Named(after+" and well"), 300)
	a := s.fetch(s.plan(func(x *flowrig.Exchange) { send(x, "length", body) }))
	if a.Told() || a.Sum != flowrig.Sum(body) {
		s.t.Errorf("after %s: %s", after, a)
	}
}

// recovers is well where a call or two may yet be refused, but never answered wrong.
func (s *stand) recovers(after string) {
	s.t.Helper()
	for until := time.Now().Add(longAgo); ; {
		body := flowrig.Content(flowrig.Named(after+" and recovered"), 300)
		switch a := s.fetch(s.plan(func(x *flowrig.Exchange) { send(x, "length", body) })); {
		case !a.Told() && a.Sum == flowrig.Sum(body):
			return
		case a.Err != nil || a.Status == http.StatusOK || time.Now().After(until):
			s.t.Fatalf("after %s: %s", after, a)
		}
	}
}

// settle makes ordinary calls for a while: further attempts have to be earned, an overdue answer has to be known for what
// it is, and a balancer sheds what comes at once until it has looked, after a quarter of a second.
func (s *stand) settle() {
	s.t.Helper()
	for began, n := time.Now(), 0; n < 60 || time.Since(began) < 400*time.Millisecond; n++ {
		s.well("calls in turn")
	}
}

// happens waits for an event.
func happens[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(longAgo):
		t.Fatalf("never: %s", what)
	}
	return v
}

// framed puts a body in a framing; the end of "close" and "1.0" is that of the connection.
func framed(kind string, body []byte) (head string, wire []byte) {
	const ok, load = "HTTP/1.1 200 OK\r\n", "X-Load: utilization=0.1,backlog=0\r\n"
	length := load + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	switch kind {
	case "length":
		return ok + length, body
	case "interim":
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n" + ok + length, body
	case "chunked":
		return ok + load + "Transfer-Encoding: chunked\r\n\r\n", append(chunks(body), "0\r\n\r\n"...)
	case "trailers":
		return ok + load + "Transfer-Encoding: chunked\r\nTrailer: X-Check\r\n\r\n",
			fmt.Appendf(chunks(body), "0\r\nX-Check: %x\r\n\r\n", flowrig.Sum(body))
	case "close":
		return ok + load + "Connection: close\r\n\r\n", body
	case "1.0":
		return "HTTP/1.0 200 OK\r\n" + load + "\r\n", body
	}
	panic(kind)
}

// chunks cuts a body into chunks of odd sizes, some with an extension.
func chunks(body []byte) (wire []byte) {
	sizes := []int{1, 7, 4093, 65537, 333, 16384, 40000}
	for i := 0; len(body) > 0; i++ {
		n := min(sizes[i%len(sizes)], len(body))
		extension := ""
		if i%3 == 1 {
			extension = ";part=" + strconv.Itoa(i)
		}
		wire = fmt.Appendf(wire, "%X%s\r\n", n, extension)
		wire = append(append(wire, body[:n]...), "\r\n"...)
		body = body[n:]
	}
	return wire
}

// send is a whole answer in a framing.
func send(x *flowrig.Exchange, kind string, body []byte) {
	head, wire := framed(kind, body)
	x.Write(append([]byte(head), wire...))
	if kind == "close" || kind == "1.0" {
		x.Finish()
	}
}

// Every size around the commit and up to the cap, in every framing: the client has the same bytes and can tell that
// they are all. Where the framing proves the end, the app node's connection is used again, and only there.
func TestAnswersPassByteForByte(t *testing.T) {
	s := newStand(t, nil)
	sizes := []int{0, 1, held - 1, held, held + 1, 2 * held, 1 << 20, largest}
	seen := map[uint64]string{}
	each := func(kind string) {
		for _, n := range sizes {
			name := fmt.Sprintf("%s, %d bytes", kind, n)
			body := flowrig.Content(flowrig.Named(name), n)
			sum := flowrig.Sum(body)
			if other, ok := seen[sum]; ok && n > 0 {
				t.Fatalf("%s is no other than %s", name, other)
			}
			seen[sum] = name
			a := s.fetch(s.plan(func(x *flowrig.Exchange) { send(x, kind, body) }))
			if a.Told() || a.Length != int64(n) || a.Sum != sum {
				t.Errorf("%s: %s", name, a)
			}
			if a.Stated != int64(n) && !a.Chunked {
				t.Errorf("%s: nothing proves the end to the client: %s", name, a)
			}
			if a.Close {
				t.Errorf("%s: the client's connection was not kept", name)
			}
			if kind == "trailers" && a.Trailer.Get("X-Check") != fmt.Sprintf("%x", sum) {
				t.Errorf("%s: trailers %v", name, a.Trailer)
			}
			if a.Header.Get("X-Load") != "" {
				t.Errorf("%s: the load report went to the client", name)
			}
		}
	}
	for _, kind := range []string{"length", "interim", "chunked", "trailers"} {
		each(kind)
		// A client may have the last byte, and ask again, a moment before the connection that it came on is free.
		if got := s.node.Conns(); got > 2 {
			t.Fatalf("%s: %d connections to the app node where every end was proven", kind, got)
		}
	}
	each("close")
	each("1.0")
	s.well("answers that end with their connection")
	if got := s.node.Conns(); got < 1+2*len(sizes) {
		t.Errorf("%d connections to the app node, where %d answers have ended with their own", got, 2*len(sizes))
	}
}

// Answers without a body, whatever their header says of one, leave the connection at the next answer's first byte.
func TestAnswersWithoutABody(t *testing.T) {
	s := newStand(t, nil)
	const mib = "Content-Length: 1048576\r\n\r\n"
	for _, c := range []struct {
		name, method, text string
		status             int
	}{
		{"HEAD with a length", "HEAD", "HTTP/1.1 200 OK\r\n" + mib, 200},
		{"HEAD, chunked", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200},
		{"HEAD of 3 GB", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n", 200},
		{"HEAD of nothing", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 0},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n" + mib, 0},
		{"304, chunked", "GET", "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\nTransfer-Encoding: chunked\r\n\r\n", 0},
	} {
		ask := s.plan(func(x *flowrig.Exchange) { x.Say(c.text) })
		ask.Method = c.method
		a := s.fetch(ask)
		if a.Err != nil || c.status != 0 && a.Status != c.status || a.Length != 0 && a.Status < 500 {
			t.Errorf("%s: %s", c.name, a)
		}
		stated := a.Header.Get("Content-Length")
		if c.status == 200 && stated != "" && !strings.Contains(c.text, " "+stated+"\r") {
			t.Errorf("%s: Content-Length %s is not the app node's", c.name, stated)
		}
		s.well(c.name)
	}
	if got := s.node.Conns(); got != 1 {
		t.Errorf("%d connections to the app node where every end was proven", got)
	}
}

// The status decides whose answer it is, whatever its size: one that says that the request is at fault passes like a good
// one, one that says that the app node is at fault is never seen.
func TestLargeAnswersThatAreNotGood(t *testing.T) {
	s := newStand(t, nil)
	for _, kind := range []string{"length", "chunked"} {
		for _, c := range []struct {
			status string
			passes bool
		}{{"404 Not Found", true}, {"403 Forbidden", true}, {"500 Internal Server Error", false},
			{"503 Service Unavailable\r\nX-Not-Run: 1", false}} {
			name := kind + ", " + c.status
			body := flowrig.Content(flowrig.Named(name), 1<<20)
			a := s.fetch(s.plan(func(x *flowrig.Exchange) {
				head, wire := framed(kind, body)
				x.Write(append([]byte(strings.Replace(head, "200 OK", c.status, 1)), wire...))
			}))
			if c.passes && (a.Err != nil || strconv.Itoa(a.Status) != c.status[:3] || a.Sum != flowrig.Sum(body)) {
				t.Errorf("%s: %s", name, a)
			}
			if !c.passes && (a.Err != nil || a.Status < 502 || a.Length > 1000) {
				t.Errorf("%s: %s", name, a)
			}
			s.recovers(name) // an app node that turns a call away is left alone for a while
		}
	}
}

// An app node that ends its connection right behind a whole answer has still given it.
func TestAConnectionEndsBehindItsAnswer(t *testing.T) {
	s := newStand(t, nil)
	for _, kind := range []string{"length", "chunked", "trailers"} {
		for _, n := range []int{1, held, held + 1, 1 << 20} {
			name := fmt.Sprintf("%s, %d bytes", kind, n)
			body := flowrig.Content(flowrig.Named("fin "+name), n)
			gone := make(chan time.Time, 1)
			a := s.fetch(s.plan(func(x *flowrig.Exchange) {
				send(x, kind, body)
				x.FinishWriting()
				gone <- <-x.Gone()
			}))
			if a.Told() || a.Sum != flowrig.Sum(body) {
				t.Errorf("%s: %s", name, a)
			}
			happens(t, "the end of a connection that has ended on the other side", gone)
			body = flowrig.Content(flowrig.Named("rst "+name), n)
			a = s.fetch(s.plan(func(x *flowrig.Exchange) { // which may overtake what was written
				send(x, kind, body)
				x.Reset()
			}))
			if !a.Told() && a.Sum != flowrig.Sum(body) {
				t.Errorf("%s, RST: %s", name, a)
			}
			s.recovers(name)
		}
	}
}

// An answer that is cut, wherever and however, never looks whole.
func TestACutAnswerNeverLooksWhole(t *testing.T) {
	s := newStand(t, nil)
	const size = 1 << 20
	for _, kind := range []string{"length", "chunked", "trailers", "close"} {
		for _, end := range []string{"FIN", "RST"} {
			if kind == "close" && end == "FIN" {
				continue // that is what its end looks like
			}
			body := flowrig.Content(flowrig.Named("cut "+kind+end), size)
			head, wire := framed(kind, body)
			whole := append([]byte(head), wire...)
			at := func(n int) int { return len(head) + n } // on the wire: a little before the body's byte n if chunked
			type cut struct {
				name      string
				at        int
				committed bool // the client has its first bytes before the cut
			}
			cuts := []cut{{"nothing written", 0, false}, {"in the status line", 7, false},
				{"in the head", len(head) / 2, false}, {"before the head's last byte", len(head) - 1, false},
				{"after the head", at(0), false}, {"one byte in", at(1), false}, {"10 KB in", at(10_000), false},
				{"one byte short of the commit", at(held - 1), false}, {"at the commit", at(held), false},
				{"after the commit", at(held + 100), true}, {"in the middle", at(size / 2), true}}
			if kind != "close" {
				cuts = append(cuts, cut{"a byte before the end", len(whole) - 1, true})
			}
			if kind == "chunked" {
				cuts = append(cuts, cut{"before the last chunk", len(whole) - len("0\r\n\r\n"), true},
					cut{"in the last chunk", len(whole) - len("\r\n"), true})
			}
			for _, c := range cuts {
				name := kind + ", " + end + " " + c.name
				begun := make(chan struct{})
				client := s.dial(0)
				client.Send(s.plan(func(x *flowrig.Exchange) {
					x.Write(whole[:c.at])
					if c.committed {
						<-begun
					}
					if end == "RST" {
						x.Reset()
					} else {
						x.Finish()
					}
				}))
				resp, err := client.Response("GET")
				if err != nil {
					t.Fatalf("%s: no head: %v", name, err)
				}
				first := make([]byte, 1)
				if c.committed {
					if _, err := io.ReadFull(resp.Body, first); err != nil || resp.StatusCode != http.StatusOK {
						t.Fatalf("%s: not committed: %d %v", name, resp.StatusCode, err)
					}
				} else {
					first = nil
				}
				close(begun)
				got, err := io.ReadAll(resp.Body)
				got = append(first, got...)
				switch {
				case resp.StatusCode == http.StatusOK && err == nil:
					t.Errorf("%s: looks whole, with %d bytes", name, len(got))
				case resp.StatusCode == http.StatusOK && !bytes.HasPrefix(body, got):
					t.Errorf("%s: %d bytes that are not the answer's", name, len(got))
				case resp.StatusCode != http.StatusOK && (resp.StatusCode < 500 || err != nil):
					t.Errorf("%s: %d, %v", name, resp.StatusCode, err)
				case c.at <= at(0) && resp.StatusCode == http.StatusOK:
					t.Errorf("%s: committed too early", name)
				}
				client.Close()
			}
			s.well(kind + " and " + end)
		}
	}
}

// A length that is not the body's, or framing that is none: what follows an answer's end is never taken for another's
// beginning, and what is not to be understood is never passed as whole.
func TestFramingThatLies(t *testing.T) {
	s := newStand(t, nil)
	for _, n := range []int{0, 1000, held - 1, held, held + 1, 200_000} { // more bytes than were said
		name := fmt.Sprintf("bytes behind %d", n)
		body := flowrig.Content(flowrig.Named(name), n+1000)
		gone := make(chan time.Time, 1)
		a := s.fetch(s.plan(func(x *flowrig.Exchange) {
			x.Write(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(n)+"\r\n\r\n"), body...))
			gone <- <-x.Gone()
		}))
		if a.Told() || a.Length != int64(n) || a.Sum != flowrig.Sum(body[:n]) {
			t.Errorf("%s: %s", name, a)
		}
		happens(t, "the end of a connection that is not to be trusted", gone)
		s.well(name)
	}
	for _, n := range []int{1000, 200_000} { // behind the last chunk
		name := fmt.Sprintf("bytes behind the last chunk of %d", n)
		body := flowrig.Content(flowrig.Named(name), n)
		gone := make(chan time.Time, 1)
		a := s.fetch(s.plan(func(x *flowrig.Exchange) {
			head, wire := framed("chunked", body)
			x.Write(append([]byte(head), append(wire, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n!"...)...))
			gone <- <-x.Gone()
		}))
		if a.Told() || a.Sum != flowrig.Sum(body) {
			t.Errorf("%s: %s", name, a)
		}
		happens(t, "the end of a connection that is not to be trusted", gone)
		s.well(name)
	}
	bulk := string(flowrig.Content(3, 200_000))
	for _, c := range []struct{ name, text string }{
		{"two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"},
		{"a length that is no number", "Content-Length: 5x\r\n\r\nhello"},
		{"a length below zero", "Content-Length: -5\r\n\r\nhello"},
		{"an unknown coding", "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"a head without end", "X: " + strings.Repeat("x", 100_000)},
		{"interim answers without end", "\r\n" + strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)},
		{"another protocol", "\r\n"},
		{"trailers without end", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + strings.Repeat("X-A: 1\r\n", 20_000)},
		{"the same after the commit", "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(bulk)) + bulk +
			"\r\n0\r\n" + strings.Repeat("X-A: 1\r\n", 20_000)},
		{"a chunk size that is none", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n\r\n"},
		{"a chunk size past all numbers", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nfffffffffffffffff\r\nx"},
		{"a chunk longer than its size", "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n"},
		{"the same after the commit", "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(bulk)) + bulk +
			"\r\nzz\r\n\r\n"},
	} {
		a := s.fetch(s.plan(func(x *flowrig.Exchange) {
			status := map[string]string{"interim answers without end": "102 Processing",
				"another protocol": "101 Switching Protocols"}[c.name]
			if status == "" {
				status = "200 OK"
			}
			x.Say("HTTP/1.1 " + status + "\r\n" + c.text)
			<-x.Gone() // it stays open, and must not be needed to end
		}))
		if !a.Told() {
			t.Errorf("%s: %s", c.name, a)
		}
		s.well(c.name)
	}
}

// What is larger than the cap ends at once: at its head where that says so, at the cap where nothing does.
func TestAnswersOverTheCapEnd(t *testing.T) {
	s := newStand(t, nil)
	for _, n := range []int{largest + 1, 3 << 30} {
		gone := make(chan time.Time, 1)
		a := s.fetch(s.plan(func(x *flowrig.Exchange) {
			x.Say("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(n) + "\r\n\r\n") // and not one byte of it
			gone <- <-x.Gone()
		}))
		if a.Status < 500 || a.Err != nil {
			t.Errorf("%d bytes: %s", n, a)
		}
		happens(t, "the end of the app node's connection", gone)
		s.well("an answer over the cap")
	}
	for _, kind := range []string{"close", "chunked"} {
		gone := make(chan time.Time, 1)
		a := s.fetch(s.plan(func(x *flowrig.Exchange) {
			end := x.Gone()
			head, _ := framed(kind, nil)
			x.Say(head)
			piece := flowrig.Content(5, 100_001)
			if kind == "chunked" {
				piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
			}
			for sent := 0; sent < 4*largest; sent += len(piece) {
				if _, err := x.Write(piece); err != nil {
					break
				}
			}
			gone <- <-end
		}))
		if !a.Told() || a.Length > largest {
			t.Errorf("%s without end: %s", kind, a)
		}
		happens(t, "the end of an endless answer's connection", gone)
		s.well("an endless answer")
	}
}

// A client sees what the app node has written as it comes: each byte is written once the one before has been seen.
func TestATrickleIsSeenAsItComes(t *testing.T) {
	s := newStand(t, nil)
	for _, kind := range []string{"length", "chunked", "close"} {
		body := flowrig.Content(flowrig.Named("trickle "+kind), held+40)
		seen := make(chan struct{})
		write := func(x *flowrig.Exchange, p []byte) {
			if kind == "chunked" {
				p = fmt.Appendf(nil, "%x\r\n%s\r\n", len(p), p)
			}
			x.Write(p)
		}
		_, resp := s.open(0, func(x *flowrig.Exchange) {
			head, _ := framed(kind, body)
			x.Say(head)
			write(x, body[:held]) // which is what is held back, and no more
			for at := held; at < len(body); at++ {
				<-seen
				write(x, body[at:at+1])
			}
			if kind == "chunked" {
				x.Say("0\r\n\r\n")
			}
			if kind == "close" {
				x.Finish()
			}
		})
		got := make([]byte, len(body))
		for at, to := 0, held; ; at, to = to, to+1 {
			if _, err := io.ReadFull(resp.Body, got[at:to]); err != nil {
				t.Fatalf("%s: byte %d: %v", kind, to, err)
			}
			if to == len(body) {
				break
			}
			seen <- struct{}{}
		}
		if n, err := resp.Body.Read(make([]byte, 1)); n != 0 || err != io.EOF || !bytes.Equal(got, body) {
			t.Errorf("%s: %d %v, the same: %v", kind, n, err, bytes.Equal(got, body))
		}
	}
}

// A fast app node has to wait for a slow client, and the client gets it all.
func TestASlowClientHoldsTheAppNodeBack(t *testing.T) {
	t.Parallel()
	s := newStand(t, nil)
	body := flowrig.Content(flowrig.Named("slow client"), largest)
	stalled, on := make(chan bool, 1), make(chan struct{})
	_, resp := s.open(farWindow, func(x *flowrig.Exchange) {
		head, _ := framed("length", body)
		x.Say(head)
		sent, full := x.Stalled(body, 100*time.Millisecond)
		stalled <- full
		<-on
		x.Write(body[sent:])
	})
	got, rest := make([]byte, held), bytes.Buffer{}
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatal(err)
	}
	if !happens(t, "the app node could not write on, or had written all", stalled) {
		t.Error("nothing held the app node back: the answer is somewhere whole")
	}
	close(on)
	if _, err := io.Copy(&rest, resp.Body); err != nil || !bytes.Equal(append(got, rest.Bytes()...), body) {
		t.Errorf("%d bytes, %v", held+rest.Len(), err)
	}
}

// An app node that stops in the middle ends its connection and the client's long before the deadline, whether the client
// goes on reading or has stopped as well.
func TestAnAnswerThatStopsInItsMiddle(t *testing.T) {
	t.Parallel()
	s := newStand(t, func(setup *flowrig.Setup) { setup.Settings = `{"flow": {"stall_ms": 100, "client_idle_ms": 300}}` })
	for _, both := range []bool{false, true} {
		body := flowrig.Content(flowrig.Named(fmt.Sprint("stops ", both)), 1<<20)
		gone := make(chan time.Time, 1)
		_, resp := s.open(farWindow, func(x *flowrig.Exchange) {
			head, _ := framed("length", body)
			x.Say(head)
			x.Write(body[:8*held])
			gone <- <-x.Gone()
		})
		if both {
			happens(t, "the end of the app node's connection", gone)
		}
		got, err := io.ReadAll(resp.Body)
		if err == nil || !bytes.HasPrefix(body, got) || !both && len(got) != 8*held {
			t.Errorf("both %v: %d bytes, %v", both, len(got), err)
		}
		if !both {
			happens(t, "the end of the app node's connection", gone)
		}
		s.well("an answer that stopped")
	}
}

// A client that takes little at a time is no client that takes nothing, though a single piece of ours lasts longer than
// the patience: it is not cut off, and may go on faster later. Its buffer is small, since Linux opens a window that was
// shut by large steps only (a sixteenth of the buffer at least, and whole segments as they were merged on their way, 64 KiB
// on loopback): a slow client with a large buffer looks like a silent one from outside.
func TestAClientThatReadsSlowlyIsNotTakenForOneThatDoesNot(t *testing.T) {
	t.Parallel()
	const window, rate, idle = 8 << 10, 16 << 10, time.Second
	s := newStand(t, func(setup *flowrig.Setup) { setup.Settings = `{"flow": {"client_idle_ms": 1000}}` })
	body := flowrig.Content(flowrig.Named("reads slowly"), 4<<20)
	_, resp := s.open(window, func(x *flowrig.Exchange) { send(x, "length", body) })
	var got bytes.Buffer
	io.CopyN(&got, &flowrig.Slow{R: resp.Body, Rate: rate, Piece: 1 << 10}, rate*int64(4*idle/time.Second))
	if _, err := io.Copy(&got, resp.Body); err != nil || !bytes.Equal(got.Bytes(), body) {
		t.Errorf("%d of %d bytes, %v", got.Len(), len(body), err)
	}
}

// An app node that stops before the commit frees the call for another, long before the deadline.
func TestAnAnswerThatStopsBeforeTheCommitIsAskedForElsewhere(t *testing.T) {
	t.Parallel()
	s, _ := newPair(t, func(setup *flowrig.Setup) { setup.Settings = `{"flow": {"stall_ms": 100}}` })
	for _, kind := range []string{"length", "chunked"} {
		s.settle()
		body := flowrig.Content(flowrig.Named("stops "+kind), 3*held)
		var mu sync.Mutex
		attempts, gone := 0, make(chan time.Time, 1)
		a := s.fetch(s.plan(func(x *flowrig.Exchange) {
			mu.Lock()
			attempts++
			first := attempts == 1
			mu.Unlock()
			if !first {
				send(x, kind, body)
				return
			}
			head, _ := framed(kind, body)
			x.Say(head)
			gone <- <-x.Gone()
		}))
		if a.Told() || a.Sum != flowrig.Sum(body) || attempts != 2 {
			t.Errorf("%s: %s after %d attempts", kind, a, attempts)
		}
		happens(t, "the end of the first attempt's connection", gone)
	}
}

// A client that leaves between the commit and the end, or reads nothing any more, ends the app node's connection.
func TestNobodyReadsOn(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		deadline time.Duration
		settings string
		leaves   bool
	}{
		{"the client leaves", 2 * time.Minute, "", true},
		{"the client reads nothing", 2 * time.Minute, `{"flow": {"client_idle_ms": 2000}}`, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStand(t, func(setup *flowrig.Setup) {
				setup.Classes = []flowrig.Class{{Name: flowrig.Bulk.Name, Semantics: "safe", Deadline: c.deadline}}
				setup.Settings = c.settings
			})
			body := flowrig.Content(flowrig.Named(c.name), largest)
			stalled, gone := make(chan bool, 1), make(chan time.Time, 1)
			client, resp := s.open(farWindow, func(x *flowrig.Exchange) {
				head, _ := framed("length", body)
				x.Say(head)
				_, full := x.Stalled(body, 100*time.Millisecond)
				stalled <- full
				gone <- <-x.Gone()
			})
			if !happens(t, "the app node could not write on", stalled) {
				t.Fatal("nothing got full")
			}
			if c.leaves {
				client.Close()
				happens(t, "the end of the app node's connection", gone)
			} else {
				happens(t, "the end of the app node's connection", gone)
				got, err := io.ReadAll(resp.Body)
				if err == nil || len(got) == len(body) || !bytes.HasPrefix(body, got) {
					t.Errorf("%d bytes, %v", len(got), err)
				}
			}
			s.well(c.name)
		})
	}
}

// A client that leaves while the app node says nothing is noticed all the same.
func TestAClientLeavesWhileTheAppNodeIsSilent(t *testing.T) {
	s := newStand(t, func(setup *flowrig.Setup) { setup.Settings = `{"flow": {"stall_ms": 100000}}` })
	for _, kind := range []string{"length", "chunked"} {
		body := flowrig.Content(flowrig.Named("silent "+kind), 1<<20)
		gone := make(chan time.Time, 1)
		client, resp := s.open(0, func(x *flowrig.Exchange) {
			head, wire := framed(kind, body)
			x.Say(head)
			x.Write(wire[:2*held])
			gone <- <-x.Gone()
		})
		if _, err := io.CopyN(io.Discard, resp.Body, held); err != nil {
			t.Fatal(err)
		}
		client.Close()
		happens(t, "the end of the app node's connection", gone)
		s.well("a client that left")
	}
}

// The deadline is that of the first bytes: an answer that has begun goes on past it for as long as the app node gives.
func TestTheDeadlinePassesWhileATrickleGoesOn(t *testing.T) {
	t.Parallel()
	s := newStand(t, func(setup *flowrig.Setup) {
		setup.Classes = []flowrig.Class{{Name: flowrig.Bulk.Name, Semantics: "safe", Deadline: 300 * time.Millisecond}}
	})
	for _, kind := range []string{"length", "chunked", "close"} {
		body := flowrig.Content(flowrig.Named("trickles on "+kind), 3*held)
		a := s.fetch(s.plan(func(x *flowrig.Exchange) {
			head, wire := framed(kind, body)
			x.Say(head)
			const pieces = 60
			for i := range pieces { // in twice the deadline
				x.Write(wire[i*len(wire)/pieces : (i+1)*len(wire)/pieces])
				time.Sleep(10 * time.Millisecond)
			}
			if kind == "close" {
				x.Finish()
			}
		}))
		if a.Told() || a.Sum != flowrig.Sum(body) {
			t.Errorf("%s: %s", kind, a)
		}
	}
	s.well("a deadline")
}

// The answer is whole at the balancer, the client's socket is full and the deadline near: the client has it all, or can
// tell that it has not.
func TestTheEndComesJustBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	const wait = 600 * time.Millisecond
	s := newStand(t, nil)
	for _, early := range []time.Duration{50 * time.Millisecond, 12 * time.Millisecond, 5 * time.Millisecond, 0} {
		body := flowrig.Content(flowrig.Named(early.String()), 300_000)
		client := s.dial(farWindow)
		ask := s.plan(func(x *flowrig.Exchange) {
			began := time.Now()
			head, _ := framed("length", body)
			x.Say(head)
			x.Write(body[:2*held])
			time.Sleep(time.Until(began.Add(wait - early)))
			x.Write(body[2*held:])
		})
		ask.Wait = wait
		client.Send(ask)
		time.Sleep(wait + 100*time.Millisecond) // the client looks only now
		resp, err := client.Response("GET")
		if err != nil {
			continue // told
		}
		if a := flowrig.Drain(resp, resp.Body); !a.Told() && a.Sum != flowrig.Sum(body) {
			t.Errorf("%v before the deadline: %s", early, a)
		}
		client.Close()
		s.well(early.String())
	}
}

// What has been taken is finished: a reload and the end of the program come between the commit and the end.
func TestSignalsBetweenTheCommitAndTheEnd(t *testing.T) {
	t.Parallel()
	s := newStand(t, nil)
	const flows = 3
	var clients [flows]*flowrig.Client
	var answers [flows]*http.Response
	var bodies [flows][]byte
	on := make(chan struct{})
	kinds := []string{"length", "chunked", "close"}
	for i, kind := range kinds {
		bodies[i] = flowrig.Content(flowrig.Named("signals "+kind), 1<<20)
		clients[i], answers[i] = s.open(0, func(x *flowrig.Exchange) {
			head, wire := framed(kind, bodies[i])
			x.Say(head)
			x.Write(wire[:2*held])
			<-on
			x.Write(wire[2*held:])
			if kind == "close" {
				x.Finish()
			}
		})
	}
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.log.until(t, "reload: discovery is")
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.log.until(t, "draining")
	for { // until the listener is gone: the drain is past its first moments
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			break
		}
		nc.Close()
		time.Sleep(5 * time.Millisecond)
	}
	close(on)
	for i, resp := range answers {
		if a := flowrig.Drain(resp, resp.Body); a.Told() || a.Sum != flowrig.Sum(bodies[i]) {
			t.Errorf("%s: %s", kinds[i], a)
		}
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("the program's end: %v", err)
	}
}

// What an app node has begun is finished though it is drained, or taken off the list, between the commit and the end.
func TestAnAppNodeLeavesBetweenTheCommitAndTheEnd(t *testing.T) {
	t.Parallel()
	for _, phase := range []string{"Terminating", "Gone"} {
		t.Run(phase, func(t *testing.T) {
			t.Parallel()
			told := make(chan string, 1)
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
				for {
					select {
					case line := <-told:
						io.WriteString(w, line+"\n")
						w.(http.Flusher).Flush()
					case <-r.Context().Done():
						return
					}
				}
			}))
			defer discovery.CloseClientConnections()
			s := newStand(t, func(setup *flowrig.Setup) { setup.Discovery = strings.TrimPrefix(discovery.URL, "http://") })
			body := flowrig.Content(flowrig.Named(phase), 1<<20)
			on := make(chan struct{})
			_, resp := s.open(0, func(x *flowrig.Exchange) {
				head, wire := framed("chunked", body)
				x.Say(head)
				x.Write(wire[:2*held])
				<-on
				x.Write(wire[2*held:])
			})
			told <- `{"revision":2,"complete":false,"members":[{"id":"s-1","host_port":"` + s.node.Addr() +
				`","locality":"a","phase":"` + phase + `","size":1,"up_since_ms":0}]}`
			for until := time.Now().Add(longAgo); ; { // until calls go there no more
				ask := s.plan(func(x *flowrig.Exchange) { x.Say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
				ask.Wait = 100 * time.Millisecond
				if a := s.fetch(ask); a.Status != http.StatusOK {
					break
				}
				if time.Now().After(until) {
					t.Fatal("the balancer goes on sending there")
				}
			}
			close(on)
			if a := flowrig.Drain(resp, resp.Body); a.Told() || a.Sum != flowrig.Sum(body) {
				t.Error(a)
			}
		})
	}
}

// Two copies are out and their heads come in the same instant: one is committed and the other called off, and nothing of
// the other is ever seen, neither where the first comes whole nor where it breaks.
func TestTwoCopiesAnswerAtOnce(t *testing.T) {
	t.Parallel()
	for i, breaks := range []bool{true, false, true, false} {
		t.Run(fmt.Sprintf("%d, the first breaks %v", i, breaks), func(t *testing.T) {
			t.Parallel()
			twoCopies(t, [2][]byte{flowrig.Content(uint64(2*i), 1<<20), flowrig.Content(uint64(2*i+1), 1<<20)}, breaks)
		})
	}
}

func twoCopies(t *testing.T, bodies [2][]byte, breaks bool) {
	s, _ := newPair(t, func(setup *flowrig.Setup) {
		setup.Copies = true
	})
	lost := make(chan int, 2)
	on := [2]chan struct{}{make(chan struct{}), make(chan struct{})}
	var resp *http.Response
	for until := time.Now().Add(longAgo); resp == nil; { // a second copy is the balancer's to send, and not always possible
		if time.Now().After(until) {
			t.Fatal("no second copy is ever sent")
		}
		// Calls that last a while, so that the balancer knows when an answer is overdue, and takes no hiccup for it.
		for range 40 {
			s.fetch(s.plan(func(x *flowrig.Exchange) {
				time.Sleep(5 * time.Millisecond)
				send(x, "length", nil)
			}))
		}
		s.hangUp() // it will idle for longer than a client may
		var mu sync.Mutex
		attempts, both := 0, make(chan struct{})
		ask := s.plan(func(x *flowrig.Exchange) {
			mu.Lock()
			me := attempts
			if attempts++; attempts == 2 {
				close(both)
			}
			mu.Unlock()
			if me > 1 {
				t.Error("a third attempt")
				return
			}
			gone := x.Gone()
			select {
			case <-both:
			case <-gone:
				return
			}
			head, _ := framed("length", bodies[me])
			x.Write(append([]byte(head), bodies[me][:2*held]...))
			select {
			case <-gone:
				lost <- me
			case <-on[me]:
				if x.Write(bodies[me][2*held : 4*held]); breaks {
					x.Reset()
				} else {
					x.Write(bodies[me][4*held:])
				}
			}
		})
		c := s.dial(0)
		c.Send(ask)
		select {
		case <-both:
		case <-time.After(2 * time.Second): // try another call
			c.Close()
			continue
		}
		var err error
		if resp, err = c.Response("GET"); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%+v %v", resp, err)
		}
	}
	got := make([]byte, 100)
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatal(err)
	}
	winner := 0
	if bytes.HasPrefix(bodies[1], got) {
		winner = 1
	}
	if l := happens(t, "the end of the other copy's connection", lost); l == winner {
		t.Fatal("the copy that was committed has lost its connection")
	}
	close(on[winner])
	rest, err := io.ReadAll(resp.Body)
	got = append(got, rest...)
	if breaks && (err == nil || !bytes.HasPrefix(bodies[winner], got)) ||
		!breaks && (err != nil || !bytes.Equal(got, bodies[winner])) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// 64 clients that fetch 1 MiB at once from a balancer with 32 MB and 256 descriptors: each has it whole, if not at its
// first asking then at a later one, since what finds no room is refused.
func TestManyAtOnceOnASmallMachine(t *testing.T) {
	t.Parallel()
	s, _ := newPair(t, func(setup *flowrig.Setup) { setup.MemoryMB, setup.Sockets = 32, 256 })
	s.settle()
	var all sync.WaitGroup
	for i := range 64 {
		body := flowrig.Content(flowrig.Named(fmt.Sprint("many ", i)), 1<<20)
		all.Go(func() {
			for until := time.Now().Add(longAgo); ; {
				c, err := flowrig.Dial(s.addr, 4*farWindow)
				if err != nil {
					t.Error(err)
					return
				}
				c.Deadline(longAgo)
				c.Send(s.plan(func(x *flowrig.Exchange) { send(x, "length", body) }))
				a := c.Receive("GET")
				c.Close()
				if !a.Told() && a.Sum == flowrig.Sum(body) {
					return
				}
				if a.Err != nil || a.Status != http.StatusServiceUnavailable || time.Now().After(until) {
					t.Error(a)
					return
				}
			}
		})
	}
	all.Wait()
}

// Bodies that flow share a capped memory: one more waits for room and is refused where none comes, while small answers
// pass.
func TestNoRoomForOneMore(t *testing.T) {
	t.Parallel()
	for _, waits := range []bool{true, false} {
		t.Run(fmt.Sprintf("waits %v", waits), func(t *testing.T) {
			t.Parallel()
			s := newStand(t, func(setup *flowrig.Setup) {
				setup.MemoryMB = 32
				setup.Settings = `{"flow": {"memory_share": 0.01, "wait_ms": 60000, "stall_ms": 60000}} // 320 KiB
`
				if !waits {
					setup.Settings = strings.Replace(setup.Settings, "60000", "1", 1)
				}
			})
			s.well("nothing yet")
			const bodies = 8 // and there is room for two or three before their commit
			on, begun := make(chan struct{}), make(chan struct{}, bodies)
			answers := make(chan flowrig.Answer, bodies)
			sums := map[uint64]bool{}
			for i := range bodies {
				body, client := flowrig.Content(uint64(i), 3*held), s.dial(0)
				sums[flowrig.Sum(body)] = true
				client.Send(s.plan(func(x *flowrig.Exchange) {
					head, wire := framed("length", body)
					x.Say(head)
					x.Write(wire[:1000]) // far from the commit: its buffer is lent and stays so
					begun <- struct{}{}
					<-on
					x.Write(wire[1000:])
				}))
				happens(t, "the app node has the call", begun)
				go func() { answers <- client.Receive("GET") }()
			}
			whole, refused := 0, 0
			count := func() {
				switch a := happens(t, "an answer", answers); {
				case !a.Told() && sums[a.Sum]:
					whole++
				case a.Err == nil && a.Status == http.StatusServiceUnavailable:
					refused++
				default:
					t.Error(a)
				}
			}
			for !waits && refused == 0 && !t.Failed() { // though those that have room do not end
				count()
			}
			s.well("bodies that hold all the room")
			close(on)
			for whole+refused < bodies && !t.Failed() {
				count()
			}
			if waits && whole != bodies || whole == 0 {
				t.Errorf("%d whole, %d refused", whole, refused)
			}
		})
	}
}
