package flow

import (
	"errors"
	"io"
	"sync"
)

// ErrTooLong: the body goes on past the largest that is passed.
var ErrTooLong = errors.New("flow: the body is over the limit")

// Flow is the answer of an app node from its commit on. The client's side reads it: first what was held, then,
// without a detour, what comes on the app node's socket, so that a client that reads slowly slows the app node and
// costs one buffer. Meanwhile the socket's own reader waits for Ended and touches nothing; the socket stays its.
type Flow struct {
	mu     sync.Mutex
	held   []byte
	lease  *Lease
	opened bool // the client's side has it
	closed bool // and is done with it
	err    error

	rest  io.Reader // used by the one that calls Read alone
	left  int64     // of the largest body that is passed
	ended chan struct{}
}

// New makes the flow of an answer whose first bytes are held in a lease; most bytes may follow.
func New(lease *Lease, held []byte, rest io.Reader, most int64) *Flow {
	return &Flow{lease: lease, held: held, rest: rest, left: most, ended: make(chan struct{})}
}

// Open says that the client's side has the flow and will close it.
func (f *Flow) Open() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opened = true
}

// Read gives the next bytes; io.EOF stands for an end that is proven, any other error for a body that is not whole.
func (f *Flow) Read(p []byte) (int, error) {
	f.mu.Lock()
	if f.err != nil {
		defer f.mu.Unlock()
		return 0, f.err
	}
	if len(f.held) > 0 {
		defer f.mu.Unlock()
		n := copy(p, f.held)
		if f.held = f.held[n:]; len(f.held) == 0 {
			f.lease.Shrink()
		}
		return n, nil
	}
	f.mu.Unlock()
	n, err := f.rest.Read(p)
	if f.left -= int64(n); f.left < 0 {
		n, err = 0, ErrTooLong
	}
	if err != nil {
		err = f.end(err)
	}
	return n, err
}

// Break ends the flow on the socket's side: its owner has closed it. A Read under way sees the socket's error.
func (f *Flow) Break(err error) { f.end(err) }

// end keeps the first reason.
func (f *Flow) end(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err, f.held = err, nil
		if f.opened && !f.closed {
			f.lease.Shrink()
		} else {
			f.lease.Release()
		}
		close(f.ended)
	}
	return f.err
}

// Close ends the use by the client's side; nothing may be read any more.
func (f *Flow) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	if f.held = nil; f.err == nil {
		f.err = ErrStopped
		close(f.ended)
	}
	f.lease.Release()
}

// Ended is closed once nobody will read from the app node's socket any more, but for a Read that a Break has met.
func (f *Flow) Ended() <-chan struct{} { return f.ended }

// Err is why it ended: io.EOF where the body came whole, ErrStopped where the client's side gave it up.
func (f *Flow) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}
