// Package flow owns the memory of bodies that pass through without being held whole: the buffers that large answers
// are held in until they are committed, and the two bodies that are read by the side that needs them, an answer by
// the acceptor (Flow) and an upload by the delegation (Upload). Memory is lent from a Room with a cap, so that it
// follows the number of bodies under way and not their size. It must never open or close a socket, decide what a
// broken body leads to, or keep a byte past its lease.
package flow

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

const (
	// Hold is how much of an answer is kept back before it is committed: up to there another app node may still be
	// asked. It is also the largest body of the platform's protocol, so that what follows the protocol is held whole.
	Hold = 64 << 10
	// Copy is the buffer through which the rest passes, one for each body that flows: with half of it, which is what
	// httputil.ReverseProxy takes for itself, a megabyte is a tenth slower than through a plain proxy.
	Copy = 64 << 10
	// each is what a body under way is booked with.
	each = Hold + Copy
)

var (
	// ErrFull: no room came free within the wait.
	ErrFull = errors.New("flow: no room for one more body")
	// ErrStopped: nobody waits for the room any more.
	ErrStopped = errors.New("flow: called off")
)

// Room is what bodies under way may hold in all. Those that find it full wait in turn.
type Room struct {
	mu     sync.Mutex
	most   int
	lent   int
	peak   int
	queue  list.List // of chan struct{}, first come first
	arrays sync.Pool
}

// NewRoom makes a room of so many bytes, of one body's at the least.
func NewRoom(bytes int) *Room {
	return &Room{most: max(bytes, each), arrays: sync.Pool{New: func() any { return new([Hold]byte) }}}
}

// Lent says how many bytes are out, and how many were at the most.
func (r *Room) Lent() (now, peak int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lent, r.peak
}

// Take lends what one body needs. It waits at most so long for it, and less if stop is closed.
func (r *Room) Take(stop <-chan struct{}, wait time.Duration) (*Lease, error) {
	r.mu.Lock()
	if r.lent+each <= r.most { // then nobody waits: all ask for the same, and are let in as soon as it is there
		r.lend()
		r.mu.Unlock()
		return r.lease(), nil
	}
	turn := make(chan struct{})
	place := r.queue.PushBack(turn)
	r.mu.Unlock()
	patience := time.NewTimer(wait)
	defer patience.Stop()
	err := ErrFull
	select {
	case <-turn:
		return r.lease(), nil
	case <-patience.C:
	case <-stop:
		err = ErrStopped
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-turn: // it came at that very moment
		r.giveBack(each)
	default:
		r.queue.Remove(place)
	}
	return nil, err
}

func (r *Room) lend() {
	r.lent += each
	r.peak = max(r.peak, r.lent)
}

func (r *Room) lease() *Lease {
	return &Lease{room: r, array: r.arrays.Get().(*[Hold]byte), booked: each}
}

// giveBack is the one place where room comes free; the lock is held.
func (r *Room) giveBack(n int) {
	r.lent -= n
	r.next()
}

// next lets those in who wait, in turn; the lock is held.
func (r *Room) next() {
	for front := r.queue.Front(); front != nil && r.lent+each <= r.most; front = r.queue.Front() {
		r.queue.Remove(front)
		r.lend()
		close(front.Value.(chan struct{}))
	}
}

// Lease is the memory of one body: the buffer that holds its beginning, and a booking for the copying of the rest.
// One goroutine at a time uses it.
type Lease struct {
	room   *Room
	array  *[Hold]byte
	booked int
}

// Held is the buffer, empty; it has room for Hold bytes. It must not be touched after Shrink or Release.
func (l *Lease) Held() []byte { return l.array[:0] }

// Shrink gives the buffer back; what remains booked is the copying.
func (l *Lease) Shrink() { l.reduce(Copy) }

// Release gives everything back. A second call does nothing.
func (l *Lease) Release() { l.reduce(0) }

func (l *Lease) reduce(to int) {
	if l.array != nil {
		l.room.arrays.Put(l.array)
		l.array = nil
	}
	if to < l.booked {
		l.room.mu.Lock()
		l.room.giveBack(l.booked - to)
		l.room.mu.Unlock()
		l.booked = to
	}
}
