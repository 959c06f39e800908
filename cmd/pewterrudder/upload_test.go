package main

import (
	"fmt"
	"hash"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/internal/lab/flowrig"
)

// Uploads of the real program: a raw client writes every byte, and the app node says what has reached it.

const uploads = `{"flow": {"client_idle_ms": 500}}`

func withUploads(setup *flowrig.Setup) { setup.Settings = uploads }

// echo is an app node that takes the whole body and answers with its hash and length.
func echo(x *flowrig.Exchange) {
	sum := xxhash.New()
	n, err := io.Copy(sum, x.Request.Body)
	if err != nil {
		x.Reset()
		return
	}
	say(x, http.StatusOK, receipt(sum, n))
}

func receipt(sum hash.Hash64, n int64) string { return fmt.Sprintf("%x %d", sum.Sum64(), n) }

func say(x *flowrig.Exchange, status int, text string) {
	x.Say(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(text), text))
}

// posts makes a call that uploads.
func (s *stand) posts(body []byte, play func(*flowrig.Exchange)) flowrig.Ask {
	ask := s.plan(play)
	ask.Method, ask.Body = "POST", body
	return ask
}

func want(body []byte) string {
	sum := xxhash.New()
	sum.Write(body)
	return receipt(sum, int64(len(body)))
}

// read takes an answer's text.
func read(t *testing.T, c *flowrig.Client) (status int, text string) {
	t.Helper()
	resp, err := c.Response("POST")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func TestUploadsPassByteForByte(t *testing.T) {
	s := newStand(t, withUploads)
	c := s.dial(0)
	sizes := []int{1, held, held + 1, 0, 100_000, 1 << 20, 1000, 8 << 20, largest}
	for _, n := range sizes {
		body := flowrig.Content(flowrig.Named("upload"+strconv.Itoa(n)), n)
		c.Deadline(longAgo)
		if err := c.Send(s.posts(body, echo)); err != nil {
			t.Fatal(err)
		}
		if status, text := read(t, c); status != http.StatusOK || text != want(body) {
			t.Errorf("%d bytes: %d %q, not %q", n, status, text, want(body))
		}
	}
	// An answer may overtake the moment at which our writer has seen its last byte go, which costs the connection.
	if got := s.node.Conns(); got > len(sizes)/2 {
		t.Errorf("%d connections to the app node for %d uploads", got, len(sizes))
	}
}

// Over the limit, or over what is held where uploads are turned away, 413 comes at once and the app node hears of nothing.
func TestUploadsOverTheLimit(t *testing.T) {
	for _, c := range []struct {
		settings string
		n        int
	}{{`{"flow": {"max_upload_bytes": 0}}`, held + 1}, {"", largest + 1}} {
		s := newStand(t, func(setup *flowrig.Setup) { setup.Settings = c.settings })
		for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
			client := s.dial(0)
			ask := s.posts(nil, func(x *flowrig.Exchange) { t.Error("the app node was asked"); x.Reset() })
			ask.Header = expect + "Content-Length: " + strconv.Itoa(c.n) + "\r\n"
			io.WriteString(client, ask.Head()) // and not one byte of the body
			if resp, err := client.Next("POST"); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
				t.Errorf("%d bytes, %q: %+v %v", c.n, expect, resp, err)
			}
		}
		s.well("an upload over the limit")
	}
}

// A client that asks first is told to go on once an app node has been chosen, and by nobody else: where there is none,
// the answer is final.
func TestExpectContinue(t *testing.T) {
	s := newStand(t, withUploads)
	for _, n := range []int{1000, held, held + 1, 1 << 20} {
		body := flowrig.Content(flowrig.Named("expect"+strconv.Itoa(n)), n)
		c := s.dial(0)
		seen := make(chan http.Header, 1)
		ask := s.posts(nil, func(x *flowrig.Exchange) { seen <- x.Request.Header; echo(x) })
		ask.Header = "Expect: 100-continue\r\nContent-Length: " + strconv.Itoa(n) + "\r\n"
		io.WriteString(c, ask.Head())
		if resp, err := c.Next("POST"); err != nil || resp.StatusCode != http.StatusContinue {
			t.Fatalf("%d bytes: %+v %v", n, resp, err)
		}
		c.Write(body)
		if status, text := read(t, c); status != http.StatusOK || text != want(body) {
			t.Errorf("%d bytes: %d %q, not %q", n, status, text, want(body))
		}
		if h := happens(t, "the call at the app node", seen); h.Get("Expect") != "" {
			t.Errorf("%d bytes: the app node was asked for a 100 that has been given", n)
		}
	}
	nowhere, err := flowrig.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	s = newStand(t, func(setup *flowrig.Setup) { setup.Settings, setup.Nodes = uploads, []string{nowhere} })
	c := s.dial(0)
	ask := s.posts(nil, nil)
	ask.Header = "Expect: 100-continue\r\nContent-Length: 1048576\r\n"
	io.WriteString(c, ask.Head())
	if resp, err := c.Next("POST"); err != nil || resp.StatusCode < 500 {
		t.Errorf("nobody to ask: %+v %v", resp, err)
	}
}

// An answer that comes before the upload's end is the answer: it reaches a client that has stopped to look for it and
// one that only goes on sending; where a part of the upload is missing, the app node's connection ends.
func TestAnEarlyAnswerEndsTheUpload(t *testing.T) {
	s := newStand(t, withUploads)
	for _, status := range []int{http.StatusOK, http.StatusForbidden} {
		for _, pushes := range []bool{false, true} {
			name := fmt.Sprintf("%d, the client goes on %v", status, pushes)
			gone := make(chan time.Time, 1)
			body := flowrig.Content(flowrig.Named(name), 8<<20)
			ask := s.posts(nil, func(x *flowrig.Exchange) {
				io.ReadFull(x.Request.Body, make([]byte, 10_000))
				if say(x, status, "enough"); !pushes { // else it drops the rest as it comes, and is ready for the next
					gone <- <-x.Gone()
				}
			})
			ask.Header = "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
			c := s.dial(0)
			io.WriteString(c, ask.Head())
			c.Write(body[:100_000])
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				if pushes {
					c.Write(body[100_000:])
				}
			}()
			if got, text := read(t, c); got != status || text != "enough" {
				t.Errorf("%s: %d %q", name, got, text)
			}
			if !pushes {
				happens(t, "the end of the app node's connection", gone)
			}
			c.Close()
			<-sent
			s.well(name)
		}
	}
}

// A client that goes, or stops, in the middle of its upload: the app node never has a whole request, and learns of it by
// the end of its connection.
func TestAClientStopsHalfWay(t *testing.T) {
	s := newStand(t, withUploads)
	for _, leaves := range []bool{true, false} {
		for _, n := range []int{held + 1, 1 << 20} {
			name := fmt.Sprintf("%d bytes, leaves %v", n, leaves)
			whole, begun, gone := make(chan error, 1), make(chan struct{}), make(chan time.Time, 1)
			body := flowrig.Content(flowrig.Named(name), n)
			ask := s.posts(nil, func(x *flowrig.Exchange) {
				io.ReadFull(x.Request.Body, make([]byte, 1000))
				close(begun)
				_, err := io.Copy(io.Discard, x.Request.Body)
				whole <- err
				gone <- <-x.Gone()
			})
			ask.Header = "Content-Length: " + strconv.Itoa(n) + "\r\n"
			c := s.dial(0)
			io.WriteString(c, ask.Head())
			c.Write(body[:n-1])
			happens(t, "the upload has begun", begun)
			if leaves {
				c.Close()
			} else if resp, err := c.Response("POST"); err == nil && resp.StatusCode < 400 {
				t.Errorf("%s: %+v", name, resp)
			}
			if err := happens(t, "the end of the body at the app node", whole); err == nil {
				t.Errorf("%s: the app node has a whole request", name)
			}
			happens(t, "the end of the app node's connection", gone)
			s.hangUp() // it may have been idle for too long meanwhile
			s.well(name)
		}
	}
}

// Once a byte of an upload has gone it is sent to nobody else; where none has, another app node may have it.
func TestAnUploadIsNeverSentTwice(t *testing.T) {
	t.Parallel()
	s, other := newPair(t, withUploads)
	s.settle()
	body := flowrig.Content(77, 1<<20)
	var mu sync.Mutex
	for _, after := range []int64{1, 100_000, int64(len(body))} {
		attempts := 0
		c := s.dial(0)
		ask := s.posts(body, func(x *flowrig.Exchange) {
			mu.Lock()
			attempts++
			mu.Unlock()
			io.CopyN(io.Discard, x.Request.Body, after)
			x.Reset()
		})
		go c.Send(ask) // the answer may come before all is sent
		if status, text := read(t, c); status < 500 {
			t.Errorf("after %d bytes: %d %q", after, status, text)
		}
		mu.Lock()
		if attempts != 1 {
			t.Errorf("after %d bytes: sent %d times", after, attempts)
		}
		mu.Unlock()
		s.well("an upload that broke")
	}

	other.Close()
	for i := range 8 {
		c := s.dial(0)
		c.Send(s.posts(body, echo))
		if status, text := read(t, c); status != http.StatusOK || text != want(body) {
			t.Errorf("upload %d, one app node of two being away: %d %q", i, status, text)
		}
	}
}

// An upload that has begun is finished though the program is told to end.
func TestASignalInTheMiddleOfAnUpload(t *testing.T) {
	t.Parallel()
	s := newStand(t, func(setup *flowrig.Setup) { setup.Settings = strings.Replace(uploads, "500", "20000", 1) })
	body, begun := flowrig.Content(78, 1<<20), make(chan struct{})
	ask := s.posts(nil, func(x *flowrig.Exchange) {
		close(begun)
		echo(x)
	})
	ask.Header = "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	c := s.dial(0)
	io.WriteString(c, ask.Head())
	c.Write(body[:len(body)/2])
	happens(t, "the upload has begun", begun)
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.log.until(t, "draining")
	for {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			break
		}
		nc.Close()
		time.Sleep(5 * time.Millisecond)
	}
	c.Write(body[len(body)/2:])
	if status, text := read(t, c); status != http.StatusOK || text != want(body) {
		t.Errorf("%d %q", status, text)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("the program's end: %v", err)
	}
}

// Several exchanges of 32 MB both ways at once, more than the machine's 48 MB hold of any one of them: each byte arrives, and
// the process stays below the limit. The collector alone could not see to that: nothing of a body is kept.
func TestThirtyTwoMegabytesBothWays(t *testing.T) {
	const size, limit = 32 << 20, 48
	s := newStand(t, func(setup *flowrig.Setup) { setup.MemoryMB = limit })
	up, down := flowrig.Content(flowrig.Named("up"), size), flowrig.Content(flowrig.Named("down"), size)
	sent := want(up)
	var all sync.WaitGroup
	for i, kind := range []string{"length", "chunked", "close", "length"} {
		all.Go(func() {
			c, err := flowrig.Dial(s.addr, 0)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.Deadline(3 * longAgo)
			got := make(chan string, 1)
			if err := c.Send(s.posts(up, func(x *flowrig.Exchange) {
				sum := xxhash.New()
				n, _ := io.Copy(sum, x.Request.Body)
				got <- receipt(sum, n)
				send(x, kind, down)
			})); err != nil {
				t.Error(err)
				return
			}
			if a := c.Receive("POST"); a.Told() || a.Sum != flowrig.Sum(down) || <-got != sent {
				t.Errorf("exchange %d, %s: %s", i, kind, a)
			}
		})
	}
	all.Wait()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, peak, _ := strings.Cut(string(raw), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(peak)[0])
	if t.Logf("peak of %d kB", kb); err != nil || kb > limit<<10 {
		t.Errorf("a peak of %d kB, %v", kb, err)
	}
}
