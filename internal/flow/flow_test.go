package flow

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"pewterrudder/internal/lab/walks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { walks.Main(m, 0, 0) }

const testTimeout = 20 * time.Second // reached only if something hangs

func mustTake(t *testing.T, r *MemoryLimit) *Lease {
	t.Helper()
	l, err := r.Acquire(nil, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func lent(r *MemoryLimit) int { n, _ := r.Usage(); return n }

// At the limit callers wait in order of arrival. Each is admitted as soon as there is memory for it, whether from a whole
// lease or from released buffers.
func TestFullRoomAdmitsInOrder(t *testing.T) {
	r := NewMemoryLimit(3 * leaseSize)
	a, b, c := mustTake(t, r), mustTake(t, r), mustTake(t, r)
	order := make(chan int, 3)
	waitForWaiters := func(n int) {
		for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			r.mu.Lock()
			waiting := r.waiters.Len()
			r.mu.Unlock()
			if waiting == n {
				return
			}
			if time.Now().After(until) {
				t.Fatalf("%d callers wait, want %d", waiting, n)
			}
		}
	}
	for i := range 3 {
		go func() {
			if _, err := r.Acquire(nil, testTimeout); err != nil {
				t.Error(err)
			}
			order <- i
		}()
		waitForWaiters(i + 1)
	}
	a.ReleaseBuffer()
	if len(order) != 0 || lent(r) != 3*leaseSize-MaxBufferedBytes {
		t.Fatalf("caller admitted, or %d of %d bytes lent", lent(r), r.limit)
	}
	b.ReleaseBuffer() // both buffers together are enough for one lease
	if first := <-order; first != 0 {
		t.Errorf("caller %d was admitted first, want 0", first)
	}
	c.Release()
	if second := <-order; second != 1 {
		t.Errorf("caller %d was admitted second, want 1", second)
	}
	a.Release()
	b.Release()
	b.Release() // a second call does nothing
	<-order
	if now, peak := r.Usage(); now != 3*leaseSize || peak != 3*leaseSize {
		t.Errorf("%d bytes lent, peak %d, limit %d", now, peak, r.limit)
	}
}

// An Acquire that gives up gets no lease and leaves no reservation and no waiter behind.
func TestTakeGivesUp(t *testing.T) {
	r := NewMemoryLimit(leaseSize)
	a := mustTake(t, r)
	if _, err := r.Acquire(nil, 0); err != ErrMemoryLimit {
		t.Errorf("Acquire after its wait: %v", err)
	}
	stop := make(chan struct{})
	close(stop)
	if _, err := r.Acquire(stop, testTimeout); err != ErrStopped {
		t.Errorf("Acquire after stop: %v", err)
	}
	a.Release()
	mustTake(t, r).Release()
	if lent(r) != 0 || r.waiters.Len() != 0 {
		t.Errorf("%d bytes lent, %d callers wait", lent(r), r.waiters.Len())
	}
}

// In any order of taking and releasing, the sum is right and never over the limit, and nobody waits while memory is
// free.
func TestRoomAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := rapid.IntRange(1, 4).Draw(t, "leases")
		r := NewMemoryLimit(leases * leaseSize)
		var out []*Lease
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				l, err := r.Acquire(nil, 0)
				if (err == nil) != (lent(r)-leaseSize*boolToInt(err == nil)+leaseSize <= r.limit) {
					t.Fatalf("Acquire: %v with %d of %d bytes lent", err, lent(r), r.limit)
				}
				if err == nil {
					out = append(out, l)
				}
			},
			"release buffer": func(t *rapid.T) {
				if len(out) > 0 {
					rapid.SampledFrom(out).Draw(t, "lease").ReleaseBuffer()
				}
			},
			"release": func(t *rapid.T) {
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "lease")
					out[i].Release()
					out = append(out[:i], out[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, l := range out {
					sum += l.reserved
				}
				if sum != lent(r) || sum > r.limit || r.waiters.Len() != 0 {
					t.Fatalf("%d bytes lent, %d reserved, limit %d, %d callers wait", lent(r), sum, r.limit, r.waiters.Len())
				}
			},
		})
	})
}

func boolToInt(v bool) int {
	if v {
		return 1
	}
	return 0
}

// pieceReader returns a body in the given pieces, and then err.
type pieceReader struct {
	pieces []string
	err    error
}

func (s *pieceReader) Read(p []byte) (int, error) {
	if len(s.pieces) == 0 {
		return 0, s.err
	}
	n := copy(p, s.pieces[0])
	if s.pieces[0] = s.pieces[0][n:]; s.pieces[0] == "" {
		s.pieces = s.pieces[1:]
	}
	return n, nil
}

// openFlow returns an opened flow with the given buffered beginning.
func openFlow(r *MemoryLimit, held string, rest io.Reader, limit int64) *Flow {
	l, _ := r.Acquire(nil, testTimeout)
	f := New(l, append(l.Buffer(), held...), rest, limit)
	f.MarkOpened()
	return f
}

// The buffered beginning is read first, then the rest. The buffer is returned as soon as it is empty, the remaining
// reservation by Close.
func TestFlowReadsBufferThenRest(t *testing.T) {
	r := NewMemoryLimit(leaseSize)
	f := openFlow(r, "held ", &pieceReader{[]string{"and ", "the rest"}, io.EOF}, 100)
	p := make([]byte, 3)
	f.Read(p)
	if lent(r) != leaseSize {
		t.Errorf("%d bytes lent while part of the buffer is unread", lent(r))
	}
	f.Read(make([]byte, 2))
	if lent(r) != CopyBufferBytes {
		t.Errorf("%d bytes lent once the buffer is empty", lent(r))
	}
	got, err := io.ReadAll(f)
	if string(p)+"d "+string(got) != "held and the rest" || err != nil || f.Err() != io.EOF {
		t.Errorf("read %q and %q, error %v, Err %v", p, got, err, f.Err())
	}
	<-f.Ended()
	if lent(r) != CopyBufferBytes {
		t.Errorf("%d bytes lent between the end and Close", lent(r))
	}
	if f.Close(); lent(r) != 0 || f.Err() != io.EOF {
		t.Errorf("%d bytes lent after Close, Err %v", lent(r), f.Err())
	}
}

// However a flow ends, its reader and its owner see the reason, and its memory is returned.
func TestFlowEnds(t *testing.T) {
	reset := errors.New("reset")
	for name, c := range map[string]struct {
		rest  io.Reader
		limit int64
		do    func(*Flow)
		want  error
	}{
		"complete":     {&pieceReader{nil, io.EOF}, 9, func(*Flow) {}, io.EOF},
		"reset":        {&pieceReader{[]string{"x"}, reset}, 9, func(*Flow) {}, reset},
		"too long":     {&pieceReader{[]string{"12345", "67890"}, io.EOF}, 9, func(*Flow) {}, ErrBodyTooLarge},
		"at the limit": {&pieceReader{[]string{"12345", "6789"}, io.EOF}, 9, func(*Flow) {}, io.EOF},
		"aborted":      {&pieceReader{[]string{"x"}, io.EOF}, 9, func(f *Flow) { f.Abort(reset); f.Abort(io.EOF) }, reset},
		"closed":       {&pieceReader{[]string{"x"}, io.EOF}, 9, func(f *Flow) { f.Close(); f.Abort(reset) }, ErrStopped},
	} {
		r := NewMemoryLimit(leaseSize)
		f := openFlow(r, "held", c.rest, c.limit)
		c.do(f)
		_, err := io.Copy(io.Discard, f)
		if err == nil {
			err = io.EOF
		}
		<-f.Ended()
		if err != c.want || f.Err() != c.want {
			t.Errorf("%s: Read error %v, Err %v", name, err, f.Err())
		}
		if f.Close(); lent(r) != 0 {
			t.Errorf("%s: %d bytes lent", name, lent(r))
		}
	}
	r := NewMemoryLimit(leaseSize) // never opened, so that the owner's Abort has to release everything
	l, _ := r.Acquire(nil, testTimeout)
	if New(l, l.Buffer(), strings.NewReader(""), 9).Abort(reset); lent(r) != 0 {
		t.Errorf("%d bytes lent to a flow that nobody opened", lent(r))
	}
}

// An Abort while the buffer is read must not let the reader see memory that is leased again, nor an end that looks
// complete.
func TestAbortDuringRead(t *testing.T) {
	r := NewMemoryLimit(leaseSize)
	for range 300 {
		f := openFlow(r, strings.Repeat("x", MaxBufferedBytes), &pieceReader{nil, io.EOF}, 9)
		var both sync.WaitGroup
		both.Go(func() {
			got, err := io.ReadAll(f)
			if bytes.ContainsAny(got, "y") || err == nil && len(got) != MaxBufferedBytes {
				t.Errorf("%d bytes, %v", len(got), err)
			}
			f.Close()
		})
		both.Go(func() { f.Abort(io.ErrClosedPipe) })
		both.Wait()
		l, err := r.Acquire(nil, 0) // the next body uses the same array
		if err != nil {
			t.Fatal(err)
		}
		for i := range l.buffer {
			l.buffer[i] = 'y'
		}
		l.Release()
	}
}

// blockingClient is a connection whose reads wait for more bytes until the deadline is set to the past.
type blockingClient struct {
	mu       sync.Mutex
	changed  *sync.Cond
	deadline time.Time
	unread   []byte
}

func newBlockingClient(text string) *blockingClient {
	c := &blockingClient{unread: []byte(text)}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *blockingClient) setDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.changed.Broadcast()
}

func (c *blockingClient) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 {
		if !c.deadline.IsZero() && c.deadline.Before(time.Unix(100, 0)) {
			return 0, errors.New("deadline")
		}
		c.changed.Wait()
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Interrupt ends a read that waits for the client, and after Close nobody reads any more. Neither changes the
// connection's deadline after a complete upload, because it belongs to the acceptor by then.
func TestUploadInterrupt(t *testing.T) {
	now, completed := func() time.Time { return time.Unix(1000, 0) }, 0
	c := newBlockingClient("half")
	u := NewUpload(io.LimitReader(c, 8), 8, 100, time.Second, now, c.setDeadline, func(time.Time) { completed++ })
	got := make(chan string)
	go func() {
		body, err := io.ReadAll(u)
		if err == nil {
			t.Error("an interrupted upload ended like a complete one")
		}
		got <- string(body)
	}()
	for until := time.Now().Add(testTimeout); !u.Started(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no read within the test's timeout")
		}
	}
	u.Interrupt()
	u.Close()
	if body := <-got; body != "half" && body != "" || u.Failed() || u.Complete() {
		t.Errorf("read %q, failed: %v, whole: %v", body, u.Failed(), u.Complete())
	}
	if _, err := u.Read(make([]byte, 1)); err != ErrStopped {
		t.Errorf("read after Close: %v", err)
	}
	c = newBlockingClient("whole")
	u = NewUpload(io.LimitReader(c, 5), 5, 100, time.Second, now, c.setDeadline, func(time.Time) { completed++ })
	body, err := io.ReadAll(u)
	u.Interrupt()
	if string(body) != "whole" || err != nil || !u.Complete() || !c.deadline.IsZero() || completed != 1 {
		t.Errorf("read %q, %v, deadline %v, completed %d times", body, err, c.deadline, completed)
	}
	if n, err := u.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read after the end: %d bytes, %v", n, err)
	}
}

// An upload whose client sends less than it declared has failed and is not whole.
func TestShortUpload(t *testing.T) {
	u := NewUpload(&pieceReader{[]string{"x"}, io.ErrUnexpectedEOF}, 9, 100, time.Second, time.Now, func(time.Time) {}, func(time.Time) {})
	if _, err := io.ReadAll(u); err == nil || !u.Failed() || u.Complete() {
		t.Errorf("read error %v, failed %v, whole %v", err, u.Failed(), u.Complete())
	}
}

// pacedClient is a client that sends one piece per read, each of which takes readTime by the test's clock.
type pacedClient struct {
	now       time.Time
	deadline  time.Time // of reads
	readTime  time.Duration
	pieceSize int
	bytesLeft int
}

func (p *pacedClient) Read(b []byte) (int, error) {
	if p.bytesLeft == 0 {
		return 0, io.EOF
	}
	if p.now = p.now.Add(p.readTime); !p.deadline.IsZero() && p.now.After(p.deadline) {
		return 0, errors.New("deadline")
	}
	n := min(p.pieceSize, p.bytesLeft, len(b))
	p.bytesLeft -= n
	return n, nil
}

// A client may send at the minimum rate, in pieces of any size, for as long as its body takes. One that falls behind by
// more than the slack fails; time in which no Read waits for the client does not count. A body over the limit is cut off.
func TestUploadMinimumRate(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, piece int
		maxBytes    int64
		good        bool
	}{
		{"minimum rate", MinUploadRate, 100, 1 << 20, true},
		{"minimum rate, in large pieces", MinUploadRate, 2 * MinUploadRate, 1 << 20, true},
		{"too slow", MinUploadRate / 2, 100, 1 << 20, false},
		{"fast and too long", 100 * MinUploadRate, 4096, 900_000, false},
	} {
		p := &pacedClient{now: time.Unix(1000, 0), pieceSize: c.piece, bytesLeft: 1_000_000, readTime: time.Duration(c.piece) * time.Second / time.Duration(c.rate)}
		completed := 0
		u := NewUpload(p, -1, c.maxBytes, 2500*time.Millisecond, func() time.Time { return p.now }, func(at time.Time) { p.deadline = at }, func(time.Time) { completed++ })
		buffer := make([]byte, 2*MinUploadRate)
		var err error
		for err == nil {
			_, err = u.Read(buffer)
			p.now = p.now.Add(time.Second) // the app node is slower than the client
		}
		if good := err == io.EOF; good != c.good || u.Complete() != c.good || u.Failed() == c.good || (completed == 1) != c.good {
			t.Errorf("%s: %v, whole %v, failed %v, completed %d times", c.name, err, u.Complete(), u.Failed(), completed)
		}
	}
}
