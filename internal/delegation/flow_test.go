package delegation

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"pewterrudder/internal/flow"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
)

// randomBody returns a pseudorandom body of n bytes, the same for the same n, in which no part repeats.
func randomBody(n int) string {
	b := make([]byte, n)
	rand.NewChaCha8([32]byte{byte(n), byte(n >> 8)}).Read(b)
	return string(b)
}

// readRequest reads a whole request on the app node's side.
func (k *testConn) readRequest() {
	k.t.Helper()
	r, err := http.ReadRequest(k.nodeReader)
	if err != nil {
		k.t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
}

// readBodyStart reads a request on the app node's side up to the first byte of its body.
func (k *testConn) readBodyStart() {
	k.t.Helper()
	r, err := http.ReadRequest(k.nodeReader)
	if err == nil {
		_, err = r.Body.Read(make([]byte, 1))
	}
	if err != nil {
		k.t.Fatal(err)
	}
}

// waitCommit waits until an answer is offered to the reducer, opens its flow and returns the answer, which the test
// reads as the acceptor does.
func (k *testConn) waitCommit() *message.Answer {
	k.t.Helper()
	select {
	case ev := <-k.events:
		f, ok := ev.(reducer.Flowing)
		if !ok {
			k.t.Fatalf("%+v", ev)
		}
		a := f.Message.(*message.Answer)
		a.Flow.MarkOpened()
		return a
	case <-time.After(20 * time.Second):
		k.t.Fatal("no Flowing event within 20 s")
	}
	return nil
}

// checkNothingLent fails the test if memory is still lent.
func (k *testConn) checkNothingLent() {
	k.t.Helper()
	if now, _ := k.room.Usage(); now != 0 {
		k.t.Errorf("%d bytes still lent", now)
	}
}

// respond writes on the app node's side in the background, because most of a large answer waits until it is read.
func (k *testConn) respond(text string, close bool) {
	go func() {
		io.WriteString(k.nodeConn, text)
		if close {
			k.nodeConn.Close()
		}
	}()
}

// chunked returns an answer in chunks of various sizes. Each line of trailer ends in CRLF.
func chunked(body string, trailer string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
	for size := 1; body != ""; size = size*7%65521 + 1 {
		piece := body[:min(size, len(body))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
		body = body[len(piece):]
	}
	b.WriteString("0\r\n" + trailer + "\r\n")
	return b.String()
}

// For every framing, and for sizes around each buffer limit, the client receives every byte and the trailers, and a
// connection is reused only if the framing proves the end of the body.
func TestAnswerSizesAndFramings(t *testing.T) {
	for _, n := range []int{0, 1, unknownLengthBuffer - 1, unknownLengthBuffer + 1, flow.MaxBufferedBytes - 1, flow.MaxBufferedBytes, flow.MaxBufferedBytes + 1, 300 << 10, 1 << 20} {
		body := randomBody(n)
		for name, c := range map[string]struct {
			text  string
			close bool
		}{
			"length":  {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, body), false},
			"chunked": {chunked(body, "X-Sum: 5\r\nX-Other: 6\r\n"), false},
			"close":   {"HTTP/1.1 200 OK\r\n\r\n" + body, true},
			"interim": {"HTTP/1.1 103 Early\r\n\r\n" + fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, body), false},
		} {
			k := newTestConn(t)
			k.send([]byte("skip"))
			k.readRequest()
			k.respond(c.text, c.close)
			var a *message.Answer
			var got []byte
			flows := n > flow.MaxBufferedBytes || n > unknownLengthBuffer && name != "length" && name != "interim"
			if flows {
				a = k.waitCommit()
				var err error
				if got, err = io.ReadAll(a.Flow); err != nil {
					t.Errorf("%s, %d: %v", name, n, err)
				}
				a.Flow.Close()
			}
			e := k.waitExchanged()
			if !flows && e.Err == nil {
				a = e.Message.(*message.Answer)
				got = a.Body
			}
			if e.Result != reducer.ResultGood || e.Reusable == c.close || !bytes.Equal(got, []byte(body)) {
				t.Errorf("%s, %d: %d bytes, %+v", name, n, len(got), e)
			}
			if name == "chunked" && (a.Trailer.Get("X-Sum") != "5" || a.Trailer.Get("X-Other") != "6") {
				t.Errorf("%s, %d: trailer %v", name, n, a.Trailer)
			}
			k.checkNothingLent()
		}
	}
}

// Every way in which a large answer can fail, before it is committed to the client and after. Before that it is not
// offered to the reducer, so that another app node can still be tried. Afterwards the acceptor never reads an end that
// looks complete.
func TestLargeAnswerFailures(t *testing.T) {
	body := randomBody(300 << 10)
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	part := chunked(body, "")[:200<<10]
	for name, c := range map[string]struct {
		response string
		close    bool
		commit   bool
		want     reducer.Result
	}{
		"cut after the head":             {length, true, false, reducer.ResultBroken},
		"cut at the commit":              {length + body[:1], true, true, reducer.ResultBroken},
		"cut after the commit":           {length + body[:200<<10], true, true, reducer.ResultBroken},
		"cut at the last byte":           {length + body[:len(body)-1], true, true, reducer.ResultBroken},
		"chunks, cut early":              {part[:unknownLengthBuffer/2], true, false, reducer.ResultBroken},
		"chunks, cut late":               {part, true, true, reducer.ResultBroken},
		"chunks, no last chunk":          {chunked(body, "")[:len(chunked(body, ""))-5], true, true, reducer.ResultBroken},
		"chunks over the limit":          {chunked(strings.Repeat(body, 5), ""), false, true, reducer.ResultBroken}, // over the limit of 1 MiB
		"stalls before the commit":       {part[:unknownLengthBuffer/2], false, false, reducer.ResultStalled},
		"stalls after the commit":        {length + body[:200<<10], false, true, reducer.ResultStalled},
		"chunks, stall after the commit": {part, false, true, reducer.ResultStalled},
	} {
		t.Run(name, func(t *testing.T) {
			k := newTestConn(t)
			if c.want == reducer.ResultStalled {
				if k.readTimeout = 40 * time.Millisecond; c.commit {
					k.readTimeout, k.flowReadTimeout = k.flowReadTimeout, k.readTimeout
				}
			}
			k.send([]byte("skip"))
			k.readRequest()
			k.respond(c.response, c.close)
			if c.commit {
				a := k.waitCommit()
				if got, err := io.ReadAll(a.Flow); err == nil || len(got) >= len(body) && !strings.Contains(name, "chunks") {
					t.Errorf("%d bytes, %v", len(got), err)
				}
				a.Flow.Close()
			}
			if e := k.waitExchanged(); e.Result != c.want || e.Err == nil || e.Reusable || e.Written != reducer.WroteAll {
				t.Errorf("%+v", e)
			}
			k.checkNothingLent()
		})
	}
}

// A flow that waits for the app node ends when the acceptor closes it or the reducer closes the connection, and its
// memory is returned. The first is reported as the client's departure and not as a failure of the app node.
func TestFlowIsCancelled(t *testing.T) {
	for _, byClient := range []bool{true, false} {
		k := newTestConn(t)
		k.send([]byte("skip"))
		k.readRequest()
		k.respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 300<<10, randomBody(200<<10)), false)
		a := k.waitCommit()
		read := make(chan error)
		go func() {
			_, err := io.Copy(io.Discard, a.Flow)
			read <- err
		}()
		if byClient {
			a.Flow.Close()
			if e := k.waitExchanged(); e.Result != reducer.ResultClientLeft || e.Reusable {
				t.Errorf("%+v", e)
			}
		}
		k.connections.Close(reducer.Close{Conn: 1})
		if err := <-read; err == nil {
			t.Error("a cancelled flow ended like a complete one")
		}
		a.Flow.Close()
		k.checkNothingLent()
		if _, err := k.nodeReader.ReadByte(); err == nil {
			t.Error("the app node's connection is still open")
		}
	}
}

// A flow that nobody reads, because the acceptor waits for the client or has never opened it, ends with the connection.
func TestUnreadFlowIsCancelled(t *testing.T) {
	k := newTestConn(t)
	k.send([]byte("skip"))
	k.readRequest()
	k.respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 300<<10, randomBody(200<<10)), false)
	unread := (<-k.events).(reducer.Flowing).Message.(*message.Answer).Flow
	k.connections.Close(reducer.Close{Conn: 1})
	<-unread.Ended()
	k.checkNothingLent()
}

// While all memory is lent, a large answer waits for it. It is streamed once memory is returned, and otherwise reported
// as ResultNoMemory.
func TestLargeAnswerWithoutMemory(t *testing.T) {
	for _, released := range []bool{true, false} {
		k := newTestConn(t)
		other, err := k.room.Acquire(nil, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if !released {
			k.connections.bounds.MemoryWait = 30 * time.Millisecond
		}
		k.send([]byte("skip"))
		k.readRequest()
		k.respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 100<<10, randomBody(100<<10)), false)
		if !released {
			if e := k.waitExchanged(); e.Result != reducer.ResultNoMemory || e.Reusable {
				t.Errorf("%+v", e)
			}
			other.Release()
			k.checkNothingLent()
			continue
		}
		other.Release()
		a := k.waitCommit()
		got, err := io.ReadAll(a.Flow)
		a.Flow.Close()
		if e := k.waitExchanged(); string(got) != randomBody(100<<10) || err != nil || e.Result != reducer.ResultGood {
			t.Errorf("%d bytes, %v, %+v", len(got), err, e)
		}
	}
}

// stallingUpload is an upload whose client sends what it has been given and then nothing, until the upload is
// interrupted.
type stallingUpload struct {
	*flow.Upload
	interrupted chan struct{}
}

func newStallingUpload(sent io.Reader, length int64) *stallingUpload {
	u := &stallingUpload{interrupted: make(chan struct{})}
	u.Upload = flow.NewUpload(io.MultiReader(sent, u), length, 1<<30, time.Hour, time.Now, func(at time.Time) {
		if at.Equal(time.Unix(1, 0)) {
			close(u.interrupted)
		}
	}, func(time.Time) {})
	return u
}

func (u *stallingUpload) Read([]byte) (int, error) {
	<-u.interrupted
	return 0, errors.New("interrupted")
}

// An upload is forwarded as it arrives, and only once. Whatever ends it midway also ends its writer, whether that waits
// for the client or the app node. The result says that the body is spent and which side failed.
func TestUploads(t *testing.T) {
	body := randomBody(300 << 10)
	k := newTestConn(t)
	whole := flow.NewUpload(strings.NewReader(body), int64(len(body)), 1<<30, time.Hour, time.Now, func(time.Time) {}, func(time.Time) {})
	k.sendCall(&message.Call{Upload: whole})
	r, err := http.ReadRequest(k.nodeReader)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(r.Body)
	k.respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)
	if e := k.waitExchanged(); string(got) != body || err != nil || e.Result != reducer.ResultGood || !e.Reusable || !e.BodyUsed || e.Written != reducer.WroteAll {
		t.Errorf("%d bytes, %v, %+v", len(got), err, e)
	}

	k = newTestConn(t) // an early answer
	half := newStallingUpload(strings.NewReader(body[:100<<10]), int64(len(body)))
	k.sendCall(&message.Call{Upload: half.Upload})
	k.readBodyStart()
	k.respond("HTTP/1.1 409 Booked\r\nContent-Length: 0\r\n\r\n", false)
	if e := k.waitExchanged(); e.Result != reducer.ResultInvalidCall || e.Reusable || !e.BodyUsed || e.Written != reducer.WrotePart {
		t.Errorf("early answer: %+v", e)
	}
	<-half.interrupted

	k = newTestConn(t) // the app node closes the connection
	half = newStallingUpload(strings.NewReader(body[:100<<10]), int64(len(body)))
	k.sendCall(&message.Call{Upload: half.Upload})
	k.readBodyStart()
	k.nodeConn.Close()
	if e := k.waitExchanged(); e.Result != reducer.ResultBroken || !e.BodyUsed || e.Written != reducer.WrotePart {
		t.Errorf("the app node closes: %+v", e)
	}

	k = newTestConn(t) // the client sends less than it declared
	short := flow.NewUpload(strings.NewReader(body[:100<<10]), int64(len(body)), 1<<30, time.Hour, time.Now, func(time.Time) {}, func(time.Time) {})
	k.sendCall(&message.Call{Upload: short})
	if e := k.waitExchanged(); e.Result != reducer.ResultClientLeft || !e.BodyUsed || e.Written != reducer.WrotePart {
		t.Errorf("short upload: %+v", e)
	}

	k = newTestConn(t) // the reducer closes while the writer waits for the client
	half = newStallingUpload(strings.NewReader(""), 9)
	k.sendCall(&message.Call{Upload: half.Upload})
	for until := time.Now().Add(20 * time.Second); !half.Started(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the body was not read within 20 s")
		}
	}
	k.connections.Close(reducer.Close{Conn: 1})
	select {
	case <-half.interrupted:
	case <-time.After(20 * time.Second):
		t.Fatal("the upload was not interrupted within 20 s")
	}
}

// Closing a connection with a call in progress resets it, so that no part of the call is delivered later. An idle
// connection is closed normally.
func TestCloseResetsBusyConnection(t *testing.T) {
	for _, busy := range []bool{true, false} {
		k := newTestConn(t)
		if busy {
			k.send([]byte("skip"))
			k.readRequest()
		}
		k.connections.Close(reducer.Close{Conn: 1})
		if _, err := k.nodeReader.ReadByte(); errors.Is(err, syscall.ECONNRESET) != busy {
			t.Errorf("busy %v: %v", busy, err)
		}
	}
}

// An app node that has received the last byte may answer before the writer ends. Such a call may have run and must never
// count as one that cannot have run.
func TestAnswerBeforeWriterEnds(t *testing.T) {
	body := randomBody(100 << 10)
	k := newTestConn(t)
	up := newStallingUpload(strings.NewReader(body), int64(len(body))) // whose end is never read
	k.sendCall(&message.Call{Upload: up.Upload})
	r, err := http.ReadRequest(k.nodeReader)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(r.Body); string(got) != body || err != nil {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	k.respond("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false)
	if e := k.waitExchanged(); e.Written != reducer.WroteAll || e.Result != reducer.ResultAppError || !e.BodyUsed {
		t.Errorf("%+v", e)
	}
}
