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

const long = 20 * time.Second // a wait that is only over if something hangs

func take(t *testing.T, r *Room) *Lease {
	t.Helper()
	l, err := r.Take(nil, long)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func lent(r *Room) int { n, _ := r.Lent(); return n }

// At the cap those that ask wait in turn, and each is let in as soon as there is room for it, whether a whole lease or
// only buffers have come back.
func TestAFullRoomLetsInInTurn(t *testing.T) {
	r := NewRoom(3 * each)
	a, b, c := take(t, r), take(t, r), take(t, r)
	order := make(chan int, 3)
	asked := func(n int) { // until so many wait
		for until := time.Now().Add(long); ; time.Sleep(time.Millisecond) {
			r.mu.Lock()
			have := r.queue.Len()
			r.mu.Unlock()
			if have == n {
				return
			}
			if time.Now().After(until) {
				t.Fatalf("%d wait, not %d", have, n)
			}
		}
	}
	for i := range 3 {
		go func() {
			if _, err := r.Take(nil, long); err != nil {
				t.Error(err)
			}
			order <- i
		}()
		asked(i + 1)
	}
	a.Shrink()
	if len(order) != 0 || lent(r) != 3*each-Hold {
		t.Fatalf("let in with %d of %d lent", lent(r), r.most)
	}
	b.Shrink() // both buffers together make room for one
	if first := <-order; first != 0 {
		t.Errorf("the %d. came in first", first)
	}
	c.Release()
	if second := <-order; second != 1 {
		t.Errorf("then the %d.", second)
	}
	a.Release()
	b.Release()
	b.Release() // a second time does nothing
	<-order
	if now, peak := r.Lent(); now != 3*each || peak != 3*each {
		t.Errorf("%d lent, %d at the most, of %d", now, peak, r.most)
	}
}

// Who gives up waiting gets nothing, and takes nothing from those behind.
func TestAWaitForRoomEnds(t *testing.T) {
	r := NewRoom(each)
	a := take(t, r)
	if _, err := r.Take(nil, 0); err != ErrFull {
		t.Errorf("%v", err)
	}
	stop := make(chan struct{})
	close(stop)
	if _, err := r.Take(stop, long); err != ErrStopped {
		t.Errorf("%v", err)
	}
	a.Release()
	take(t, r).Release()
	if lent(r) != 0 || r.queue.Len() != 0 {
		t.Errorf("%d lent, %d wait", lent(r), r.queue.Len())
	}
}

// Whatever order of asking, shrinking and giving back: the sum is right, never over the cap, and nobody waits while
// there is room.
func TestTheRoomAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(1, 4).Draw(t, "places")
		r := NewRoom(places * each)
		var out []*Lease
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				l, err := r.Take(nil, 0)
				if (err == nil) != (lent(r)-each*b(err == nil)+each <= r.most) {
					t.Fatalf("%v with %d of %d lent", err, lent(r), r.most)
				}
				if err == nil {
					out = append(out, l)
				}
			},
			"shrink": func(t *rapid.T) {
				if len(out) > 0 {
					rapid.SampledFrom(out).Draw(t, "lease").Shrink()
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
					sum += l.booked
				}
				if sum != lent(r) || sum > r.most || r.queue.Len() != 0 {
					t.Fatalf("%d lent, %d booked, %d at the most, %d wait", lent(r), sum, r.most, r.queue.Len())
				}
			},
		})
	})
}

func b(v bool) int {
	if v {
		return 1
	}
	return 0
}

// steps gives a body in the pieces that it came in.
type steps struct {
	pieces []string
	err    error
}

func (s *steps) Read(p []byte) (int, error) {
	if len(s.pieces) == 0 {
		return 0, s.err
	}
	n := copy(p, s.pieces[0])
	if s.pieces[0] = s.pieces[0][n:]; s.pieces[0] == "" {
		s.pieces = s.pieces[1:]
	}
	return n, nil
}

func begin(r *Room, held string, rest io.Reader, most int64) *Flow {
	l, _ := r.Take(nil, long)
	f := New(l, append(l.Held(), held...), rest, most)
	f.Open()
	return f
}

// What is held comes first, then what follows; the buffer goes back as soon as it is empty, the rest at the close.
func TestAFlowReadsOn(t *testing.T) {
	r := NewRoom(each)
	f := begin(r, "held ", &steps{[]string{"and ", "the rest"}, io.EOF}, 100)
	p := make([]byte, 3)
	f.Read(p)
	if lent(r) != each {
		t.Errorf("%d lent while a part is held", lent(r))
	}
	f.Read(make([]byte, 2))
	if lent(r) != Copy {
		t.Errorf("%d lent once nothing is held", lent(r))
	}
	got, err := io.ReadAll(f)
	if string(p)+"d "+string(got) != "held and the rest" || err != nil || f.Err() != io.EOF {
		t.Errorf("%q %q %v %v", p, got, err, f.Err())
	}
	<-f.Ended()
	if lent(r) != Copy {
		t.Errorf("%d lent while the last piece is written", lent(r))
	}
	if f.Close(); lent(r) != 0 || f.Err() != io.EOF {
		t.Errorf("%d lent, %v", lent(r), f.Err())
	}
}

// However a flow ends, its reader sees why, its owner hears of it, and its memory comes back.
func TestHowAFlowEnds(t *testing.T) {
	reset := errors.New("reset")
	for name, c := range map[string]struct {
		rest io.Reader
		most int64
		do   func(*Flow)
		want error
	}{
		"whole":          {&steps{nil, io.EOF}, 9, func(*Flow) {}, io.EOF},
		"the node's end": {&steps{[]string{"x"}, reset}, 9, func(*Flow) {}, reset},
		"too long":       {&steps{[]string{"12345", "67890"}, io.EOF}, 9, func(*Flow) {}, ErrTooLong},
		"just fits":      {&steps{[]string{"12345", "6789"}, io.EOF}, 9, func(*Flow) {}, io.EOF},
		"broken":         {&steps{[]string{"x"}, io.EOF}, 9, func(f *Flow) { f.Break(reset); f.Break(io.EOF) }, reset},
		"closed":         {&steps{[]string{"x"}, io.EOF}, 9, func(f *Flow) { f.Close(); f.Break(reset) }, ErrStopped},
	} {
		r := NewRoom(each)
		f := begin(r, "held", c.rest, c.most)
		c.do(f)
		_, err := io.Copy(io.Discard, f)
		if err == nil {
			err = io.EOF
		}
		<-f.Ended()
		if err != c.want || f.Err() != c.want {
			t.Errorf("%s: %v, %v", name, err, f.Err())
		}
		if f.Close(); lent(r) != 0 {
			t.Errorf("%s: %d lent", name, lent(r))
		}
	}
	r := NewRoom(each) // nobody came for it: the owner's end is the only one
	l, _ := r.Take(nil, long)
	if New(l, l.Held(), strings.NewReader(""), 9).Break(reset); lent(r) != 0 {
		t.Errorf("%d lent by a flow that nobody opened", lent(r))
	}
}

// A break while the reader takes what is held must neither hand out memory that is lent again nor a false end.
func TestABreakWhileItIsRead(t *testing.T) {
	r := NewRoom(each)
	for range 300 {
		f := begin(r, strings.Repeat("x", Hold), &steps{nil, io.EOF}, 9)
		var both sync.WaitGroup
		both.Go(func() {
			got, err := io.ReadAll(f)
			if bytes.ContainsAny(got, "y") || err == nil && len(got) != Hold {
				t.Errorf("%d bytes, %v", len(got), err)
			}
			f.Close()
		})
		both.Go(func() { f.Break(io.ErrClosedPipe) })
		both.Wait()
		l, err := r.Take(nil, 0) // the next body uses the same array
		if err != nil {
			t.Fatal(err)
		}
		for i := range l.array {
			l.array[i] = 'y'
		}
		l.Release()
	}
}

// client is a connection whose reads end when the deadline is set to the past.
type client struct {
	mu   sync.Mutex
	more *sync.Cond
	at   time.Time
	says []byte
}

func newClient(says string) *client {
	c := &client{says: []byte(says)}
	c.more = sync.NewCond(&c.mu)
	return c
}

func (c *client) deadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = t
	c.more.Broadcast()
}

func (c *client) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.says) == 0 {
		if !c.at.IsZero() && c.at.Before(time.Unix(100, 0)) {
			return 0, errors.New("deadline")
		}
		c.more.Wait()
	}
	n := copy(p, c.says)
	c.says = c.says[n:]
	return n, nil
}

// An interrupt ends a read that waits for the client, and after Close nobody reads any more. One that came whole is
// not touched: the connection's deadline belongs to others by then.
func TestAnUploadIsInterrupted(t *testing.T) {
	now, came := func() time.Time { return time.Unix(1000, 0) }, 0
	c := newClient("half")
	u := NewUpload(io.LimitReader(c, 8), 8, 100, time.Second, now, c.deadline, func(time.Time) { came++ })
	got := make(chan string)
	go func() {
		all, err := io.ReadAll(u)
		if err == nil {
			t.Error("an end where there is none")
		}
		got <- string(all)
	}()
	for until := time.Now().Add(long); !u.Touched(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("nothing was read")
		}
	}
	u.Interrupt()
	u.Close()
	if all := <-got; all != "half" && all != "" || u.Failed() || u.Whole() {
		t.Errorf("%q, the client's fault: %v, whole: %v", all, u.Failed(), u.Whole())
	}
	if _, err := u.Read(make([]byte, 1)); err != ErrStopped {
		t.Errorf("%v", err)
	}
	c = newClient("whole")
	u = NewUpload(io.LimitReader(c, 5), 5, 100, time.Second, now, c.deadline, func(time.Time) { came++ })
	all, err := io.ReadAll(u)
	u.Interrupt()
	if string(all) != "whole" || err != nil || !u.Whole() || !c.at.IsZero() || came != 1 {
		t.Errorf("%q %v, deadline %v, came %d times", all, err, c.at, came)
	}
	if n, err := u.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d %v", n, err)
	}
}

// A client that says too little has failed, and only then.
func TestAnUploadThatFallsShort(t *testing.T) {
	u := NewUpload(&steps{[]string{"x"}, io.ErrUnexpectedEOF}, 9, 100, time.Second, time.Now, func(time.Time) {}, func(time.Time) {})
	if _, err := io.ReadAll(u); err == nil || !u.Failed() || u.Whole() {
		t.Errorf("%v, failed %v, whole %v", err, u.Failed(), u.Whole())
	}
}

// paced is a client whose bytes come one piece a read, each after so long by the test's clock.
type paced struct {
	now   time.Time
	by    time.Time // the read deadline
	takes time.Duration
	piece int
	left  int
}

func (p *paced) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	if p.now = p.now.Add(p.takes); !p.by.IsZero() && p.now.After(p.by) {
		return 0, errors.New("deadline")
	}
	n := min(p.piece, p.left, len(b))
	p.left -= n
	return n, nil
}

// A client may send as slowly as the slowest pace, in pieces of any size, for as long as its body takes; who falls behind
// by more than the patience has failed, and time in which nobody waits for it counts for nothing. A body that goes on past
// the most is cut off.
func TestThePaceOfAnUpload(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, piece int
		most        int64
		good        bool
	}{
		{"the slowest", Slowest, 100, 1 << 20, true},
		{"the slowest, in large pieces", Slowest, 2 * Slowest, 1 << 20, true},
		{"too slow", Slowest / 2, 100, 1 << 20, false},
		{"fast and too long", 100 * Slowest, 4096, 900_000, false},
	} {
		p := &paced{now: time.Unix(1000, 0), piece: c.piece, left: 1_000_000, takes: time.Duration(c.piece) * time.Second / time.Duration(c.rate)}
		came := 0
		u := NewUpload(p, -1, c.most, 2500*time.Millisecond, func() time.Time { return p.now }, func(at time.Time) { p.by = at }, func(time.Time) { came++ })
		buffer := make([]byte, 2*Slowest)
		var err error
		for err == nil {
			_, err = u.Read(buffer)
			p.now = p.now.Add(time.Second) // the app node is slower still
		}
		if good := err == io.EOF; good != c.good || u.Whole() != c.good || u.Failed() == c.good || (came == 1) != c.good {
			t.Errorf("%s: %v, whole %v, failed %v, came %d times", c.name, err, u.Whole(), u.Failed(), came)
		}
	}
}
