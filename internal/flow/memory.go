// Package flow streams bodies that are too large to be buffered in full, and owns their memory: the buffers that hold
// the beginnings of large answers until they are committed to the client, and the two kinds of body that are read by the
// side that forwards them, answers by the acceptor (Flow) and uploads by the delegation (Upload). Memory is leased from
// a MemoryLimit, so it depends on the number of bodies in transit and not on their size. The package must never
// open or close a socket, decide what follows from a failed body, or keep a byte past its lease.
package flow

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

const (
	// MaxBufferedBytes is how much of an answer is buffered before it is committed to the client, in bytes. Until then
	// another app node can still be tried. It is also the largest body of the platform's protocol, so that bodies that
	// follow the protocol are buffered in full.
	MaxBufferedBytes = 64 << 10
	// CopyBufferBytes is the size of the buffer through which the rest of a body is copied, in bytes; each streamed body
	// has one. With half of it, the default of httputil.ReverseProxy, a megabyte took a tenth longer than through a plain
	// proxy.
	CopyBufferBytes = 64 << 10
	// leaseSize is the memory reserved for a body in transit, in bytes.
	leaseSize = MaxBufferedBytes + CopyBufferBytes
)

var (
	// ErrMemoryLimit means that no memory became free in time.
	ErrMemoryLimit = errors.New("flow: memory limit for bodies reached")
	// ErrStopped means that the wait for memory, the answer or the upload was ended on our side.
	ErrStopped = errors.New("flow: canceled")
)

// MemoryLimit limits the memory of all bodies in transit. Bodies that find it full wait in order of arrival.
type MemoryLimit struct {
	mu      sync.Mutex
	limit   int       // bytes
	lent    int       // bytes
	peak    int       // largest value of lent
	waiters list.List // of chan struct{} in order of arrival; closed once memory is reserved
	buffers sync.Pool // of *[MaxBufferedBytes]byte
}

// NewMemoryLimit returns a limit of the given size, raised to fit one body.
func NewMemoryLimit(bytes int) *MemoryLimit {
	return &MemoryLimit{limit: max(bytes, leaseSize), buffers: sync.Pool{New: func() any { return new([MaxBufferedBytes]byte) }}}
}

// Usage returns how many bytes are reserved now, and the largest number so far.
func (r *MemoryLimit) Usage() (now, peak int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lent, r.peak
}

// Acquire reserves the memory of one body. It waits for it at most for wait, and then returns ErrMemoryLimit; once stop
// is closed, it returns ErrStopped. A nil stop is never closed.
func (r *MemoryLimit) Acquire(stop <-chan struct{}, wait time.Duration) (*Lease, error) {
	r.mu.Lock()
	if r.lent+leaseSize <= r.limit { // nobody waits then: every body needs the same, and waiters are admitted at once
		r.reserve()
		r.mu.Unlock()
		return r.newLease(), nil
	}
	admitted := make(chan struct{})
	waiter := r.waiters.PushBack(admitted)
	r.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	err := ErrMemoryLimit
	select {
	case <-admitted:
		return r.newLease(), nil
	case <-timeout.C:
	case <-stop:
		err = ErrStopped
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-admitted: // memory was reserved after the wait had ended
		r.release(leaseSize)
	default:
		r.waiters.Remove(waiter)
	}
	return nil, err
}

// reserve accounts for one more body; the caller holds r.mu.
func (r *MemoryLimit) reserve() {
	r.lent += leaseSize
	r.peak = max(r.peak, r.lent)
}

// newLease returns the lease of memory that has been reserved.
func (r *MemoryLimit) newLease() *Lease {
	return &Lease{room: r, buffer: r.buffers.Get().(*[MaxBufferedBytes]byte), reserved: leaseSize}
}

// release returns n bytes and admits waiters; no other code frees memory. The caller holds r.mu.
func (r *MemoryLimit) release(n int) {
	r.lent -= n
	r.admitWaiters()
}

// admitWaiters reserves memory for waiters in order of arrival, as far as it suffices. The caller holds r.mu.
func (r *MemoryLimit) admitWaiters() {
	for front := r.waiters.Front(); front != nil && r.lent+leaseSize <= r.limit; front = r.waiters.Front() {
		r.waiters.Remove(front)
		r.reserve()
		close(front.Value.(chan struct{}))
	}
}

// Lease is the memory of one body: a buffer of MaxBufferedBytes for its beginning, and a reservation of CopyBufferBytes
// for the buffer that copies the rest. It is not safe for concurrent use.
type Lease struct {
	room     *MemoryLimit
	buffer   *[MaxBufferedBytes]byte // nil once released
	reserved int                     // bytes
}

// Buffer returns the buffer with length 0 and capacity MaxBufferedBytes. It must not be used after ReleaseBuffer or
// Release.
func (l *Lease) Buffer() []byte { return l.buffer[:0] }

// ReleaseBuffer returns the buffer; the reservation for copying remains.
func (l *Lease) ReleaseBuffer() { l.shrinkTo(CopyBufferBytes) }

// Release returns all memory. Further calls do nothing.
func (l *Lease) Release() { l.shrinkTo(0) }

// shrinkTo returns the buffer, and reduces the reservation to size bytes.
func (l *Lease) shrinkTo(size int) {
	if l.buffer != nil {
		l.room.buffers.Put(l.buffer)
		l.buffer = nil
	}
	if size < l.reserved {
		l.room.mu.Lock()
		l.room.release(l.reserved - size)
		l.room.mu.Unlock()
		l.reserved = size
	}
}
