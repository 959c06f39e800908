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

// noise is a body of which no part is like another.
func noise(n int) string {
	b := make([]byte, n)
	rand.NewChaCha8([32]byte{byte(n), byte(n >> 8)}).Read(b)
	return string(b)
}

// asked reads the request that the app node gets.
func (k *link) asked() {
	k.t.Helper()
	r, err := http.ReadRequest(k.read)
	if err != nil {
		k.t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
}

// bodyBegins waits for a request's first byte of body.
func (k *link) bodyBegins() {
	k.t.Helper()
	r, err := http.ReadRequest(k.read)
	if err == nil {
		_, err = r.Body.Read(make([]byte, 1))
	}
	if err != nil {
		k.t.Fatal(err)
	}
}

// commit waits until an answer asks to be committed, and gives the test the client's side of it.
func (k *link) commit() *message.Answer {
	k.t.Helper()
	select {
	case ev := <-k.events:
		f, ok := ev.(reducer.Flowing)
		if !ok {
			k.t.Fatalf("%+v", ev)
		}
		a := f.Message.(*message.Answer)
		a.Flow.Open()
		return a
	case <-time.After(20 * time.Second):
		k.t.Fatal("no commit")
	}
	return nil
}

func (k *link) lentNothing() {
	k.t.Helper()
	if now, _ := k.room.Lent(); now != 0 {
		k.t.Errorf("%d bytes still lent", now)
	}
}

// says has the app node write in the background: much of it waits for the client's side.
func (k *link) says(text string, close bool) {
	go func() {
		io.WriteString(k.node, text)
		if close {
			k.node.Close()
		}
	}()
}

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

// Whatever the framing, and on either side of what is held: the client's side gets each byte, the trailers, and a
// connection goes on only after an end that is proven.
func TestAnswersOfEverySizeAndFraming(t *testing.T) {
	for _, n := range []int{0, 1, guess - 1, guess + 1, flow.Hold - 1, flow.Hold, flow.Hold + 1, 300 << 10, 1 << 20} {
		body := noise(n)
		for name, c := range map[string]struct {
			text  string
			close bool
		}{
			"length":  {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, body), false},
			"chunked": {chunked(body, "X-Sum: 5\r\nX-Other: 6\r\n"), false},
			"close":   {"HTTP/1.1 200 OK\r\n\r\n" + body, true},
			"interim": {"HTTP/1.1 103 Early\r\n\r\n" + fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, body), false},
		} {
			k := newLink(t)
			k.send([]byte("skip"))
			k.asked()
			k.says(c.text, c.close)
			var a *message.Answer
			var got []byte
			flows := n > flow.Hold || n > guess && name != "length" && name != "interim"
			if flows {
				a = k.commit()
				var err error
				if got, err = io.ReadAll(a.Flow); err != nil {
					t.Errorf("%s, %d: %v", name, n, err)
				}
				a.Flow.Close()
			}
			e := k.ended()
			if !flows && e.Err == nil {
				a = e.Message.(*message.Answer)
				got = a.Body
			}
			if e.Result != reducer.Good || e.Reuse == c.close || !bytes.Equal(got, []byte(body)) {
				t.Errorf("%s, %d: %d bytes, %+v", name, n, len(got), e)
			}
			if name == "chunked" && (a.Trailer.Get("X-Sum") != "5" || a.Trailer.Get("X-Other") != "6") {
				t.Errorf("%s, %d: trailer %v", name, n, a.Trailer)
			}
			k.lentNothing()
		}
	}
}

// Each way in which a large answer can fail, before its commit and after. Before it there is no word of a commit, so
// that another app node can still be asked; after it the client's side never sees an end that looks whole.
func TestHowALargeAnswerFails(t *testing.T) {
	body := noise(300 << 10)
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	part := chunked(body, "")[:200<<10]
	for name, c := range map[string]struct {
		says   string
		close  bool
		commit bool
		want   reducer.Result
	}{
		"cut after the head":     {length, true, false, reducer.Broke},
		"cut at the commit":      {length + body[:1], true, true, reducer.Broke},
		"cut after it":           {length + body[:200<<10], true, true, reducer.Broke},
		"cut at the last byte":   {length + body[:len(body)-1], true, true, reducer.Broke},
		"chunks, cut early":      {part[:guess/2], true, false, reducer.Broke},
		"chunks, cut late":       {part, true, true, reducer.Broke},
		"chunks, no last one":    {chunked(body, "")[:len(chunked(body, ""))-5], true, true, reducer.Broke},
		"chunks without end":     {chunked(strings.Repeat(body, 5), ""), false, true, reducer.Broke}, // over the 1 MiB passed
		"stops before it":        {part[:guess/2], false, false, reducer.Stalled},
		"stops after it":         {length + body[:200<<10], false, true, reducer.Stalled},
		"chunks, stops after it": {part, false, true, reducer.Stalled},
	} {
		t.Run(name, func(t *testing.T) {
			k := newLink(t)
			if c.want == reducer.Stalled {
				if k.stall = 40 * time.Millisecond; c.commit {
					k.stall, k.flowStall = k.flowStall, k.stall
				}
			}
			k.send([]byte("skip"))
			k.asked()
			k.says(c.says, c.close)
			if c.commit {
				a := k.commit()
				if got, err := io.ReadAll(a.Flow); err == nil || len(got) >= len(body) && !strings.Contains(name, "chunks") {
					t.Errorf("%d bytes, %v", len(got), err)
				}
				a.Flow.Close()
			}
			if e := k.ended(); e.Result != c.want || e.Err == nil || e.Reuse || e.Written != reducer.Whole {
				t.Errorf("%+v", e)
			}
			k.lentNothing()
		})
	}
}

// A client's side that gives up, and a reducer that closes, end a flow that waits for the app node, and give its memory
// back; the first is told as such, and is no fault of the app node's.
func TestAFlowIsCalledOff(t *testing.T) {
	for _, byClient := range []bool{true, false} {
		k := newLink(t)
		k.send([]byte("skip"))
		k.asked()
		k.says(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 300<<10, noise(200<<10)), false)
		a := k.commit()
		read := make(chan error)
		go func() {
			_, err := io.Copy(io.Discard, a.Flow)
			read <- err
		}()
		if byClient {
			a.Flow.Close()
			if e := k.ended(); e.Result != reducer.Left || e.Reuse {
				t.Errorf("%+v", e)
			}
		}
		k.set.Close(reducer.Close{Conn: 1})
		if err := <-read; err == nil {
			t.Error("an end where there is none")
		}
		a.Flow.Close()
		k.lentNothing()
		if _, err := k.read.ReadByte(); err == nil {
			t.Error("the app node's connection goes on")
		}
	}
}

// A flow that nobody reads, since its client's side waits for the client or has never come for it, ends with the close.
func TestAFlowThatNobodyReadsIsCalledOff(t *testing.T) {
	k := newLink(t)
	k.send([]byte("skip"))
	k.asked()
	k.says(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 300<<10, noise(200<<10)), false)
	f := (<-k.events).(reducer.Flowing).Message.(*message.Answer).Flow
	k.set.Close(reducer.Close{Conn: 1})
	<-f.Ended()
	k.lentNothing()
}

// With all memory lent, a large answer waits, is let in when some comes back, and else told of as what it is.
func TestALargeAnswerWithoutRoom(t *testing.T) {
	for _, comesBack := range []bool{true, false} {
		k := newLink(t)
		other, err := k.room.Take(nil, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if !comesBack {
			k.set.bounds.Wait = 30 * time.Millisecond
		}
		k.send([]byte("skip"))
		k.asked()
		k.says(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 100<<10, noise(100<<10)), false)
		if !comesBack {
			if e := k.ended(); e.Result != reducer.NoRoom || e.Reuse {
				t.Errorf("%+v", e)
			}
			other.Release()
			k.lentNothing()
			continue
		}
		other.Release()
		a := k.commit()
		got, err := io.ReadAll(a.Flow)
		a.Flow.Close()
		if e := k.ended(); string(got) != noise(100<<10) || err != nil || e.Result != reducer.Good {
			t.Errorf("%d bytes, %v, %+v", len(got), err, e)
		}
	}
}

// upload is a client's body; the client stops where said is at its end, until it is interrupted.
type upload struct {
	*flow.Upload
	stop chan struct{}
}

func newUpload(said io.Reader, length int64) *upload {
	u := &upload{stop: make(chan struct{})}
	u.Upload = flow.NewUpload(io.MultiReader(said, u), length, 1<<30, time.Hour, time.Now, func(at time.Time) {
		if at.Equal(time.Unix(1, 0)) {
			close(u.stop)
		}
	}, func(time.Time) {})
	return u
}

func (u *upload) Read([]byte) (int, error) {
	<-u.stop
	return 0, errors.New("interrupted")
}

// An upload goes out as it comes, and once. What ends it in its middle ends its writer, whoever that waits for, and the
// end says that the body is spent, and whose fault it was.
func TestUploads(t *testing.T) {
	body := noise(300 << 10)
	k := newLink(t)
	whole := flow.NewUpload(strings.NewReader(body), int64(len(body)), 1<<30, time.Hour, time.Now, func(time.Time) {}, func(time.Time) {})
	k.sendAs(&message.Call{Upload: whole})
	r, err := http.ReadRequest(k.read)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(r.Body)
	k.says("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)
	if e := k.ended(); string(got) != body || err != nil || e.Result != reducer.Good || !e.Reuse || !e.Spent || e.Written != reducer.Whole {
		t.Errorf("%d bytes, %v, %+v", len(got), err, e)
	}

	k = newLink(t) // an early answer
	half := newUpload(strings.NewReader(body[:100<<10]), int64(len(body)))
	k.sendAs(&message.Call{Upload: half.Upload})
	k.bodyBegins()
	k.says("HTTP/1.1 409 Booked\r\nContent-Length: 0\r\n\r\n", false)
	if e := k.ended(); e.Result != reducer.Unusable || e.Reuse || !e.Spent || e.Written != reducer.Partly {
		t.Errorf("early answer: %+v", e)
	}
	<-half.stop

	k = newLink(t) // the app node goes
	half = newUpload(strings.NewReader(body[:100<<10]), int64(len(body)))
	k.sendAs(&message.Call{Upload: half.Upload})
	k.bodyBegins()
	k.node.Close()
	if e := k.ended(); e.Result != reducer.Broke || !e.Spent || e.Written != reducer.Partly {
		t.Errorf("the app node goes: %+v", e)
	}

	k = newLink(t) // the client says too little
	short := flow.NewUpload(strings.NewReader(body[:100<<10]), int64(len(body)), 1<<30, time.Hour, time.Now, func(time.Time) {}, func(time.Time) {})
	k.sendAs(&message.Call{Upload: short})
	if e := k.ended(); e.Result != reducer.Left || !e.Spent || e.Written != reducer.Partly {
		t.Errorf("the client says too little: %+v", e)
	}

	k = newLink(t) // the reducer closes while the writer waits for the client
	half = newUpload(strings.NewReader(""), 9)
	k.sendAs(&message.Call{Upload: half.Upload})
	for until := time.Now().Add(20 * time.Second); !half.Touched(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the body is not asked for")
		}
	}
	k.set.Close(reducer.Close{Conn: 1})
	select {
	case <-half.stop:
	case <-time.After(20 * time.Second):
		t.Fatal("the writer still waits for the client")
	}
}

// A call that is given up is reset, so that no part of it is sent on later; a connection at rest is closed in peace.
func TestACallThatIsGivenUpIsReset(t *testing.T) {
	for _, busy := range []bool{true, false} {
		k := newLink(t)
		if busy {
			k.send([]byte("skip"))
			k.asked()
		}
		k.set.Close(reducer.Close{Conn: 1})
		if _, err := k.read.ReadByte(); errors.Is(err, syscall.ECONNRESET) != busy {
			t.Errorf("busy %v: %v", busy, err)
		}
	}
}

// An app node that has the last byte may answer before our writer has come to its end. Such a call may have run, and must
// never count as one that cannot have.
func TestAnAnswerThatOvertakesItsWriter(t *testing.T) {
	body := noise(100 << 10)
	k := newLink(t)
	up := newUpload(strings.NewReader(body), int64(len(body))) // whose end is never seen
	k.sendAs(&message.Call{Upload: up.Upload})
	r, err := http.ReadRequest(k.read)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(r.Body); string(got) != body || err != nil {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	k.says("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false)
	if e := k.ended(); e.Written != reducer.Whole || e.Result != reducer.Errored || !e.Spent {
		t.Errorf("%+v", e)
	}
}
