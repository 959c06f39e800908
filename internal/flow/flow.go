package flow

import (
	"errors"
	"io"
	"sync"
)

// ErrBodyTooLarge means that a body exceeds the largest that is forwarded.
var ErrBodyTooLarge = errors.New("flow: body exceeds the size limit")

// Flow is the body of an app node's answer that is streamed to the client. The acceptor reads it: first the buffered
// beginning, then directly from the app node's socket, so that a slow client slows down the app node and costs one
// buffer. Meanwhile the read loop of the socket, which keeps ownership, waits for Ended and does not use the socket.
type Flow struct {
	mu     sync.Mutex
	held   []byte
	lease  *Lease
	opened bool  // the acceptor has the flow and will close it
	err    error // why it ended; nil: it has not

	rest      io.Reader // used only by the caller of Read
	bytesLeft int64     // that may still be read from rest
	ended     chan struct{}
}

// New returns the flow of an answer whose first bytes lie in the buffer of a lease. At most limit bytes may follow them.
func New(lease *Lease, held []byte, rest io.Reader, limit int64) *Flow {
	return &Flow{lease: lease, held: held, rest: rest, bytesLeft: limit, ended: make(chan struct{})}
}

// MarkOpened notes that the acceptor has the flow and will close it.
func (f *Flow) MarkOpened() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opened = true
}

// Read returns the next bytes. io.EOF means that the framing proved the end of the body; any other error means that the
// body is incomplete.
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
			f.lease.ReleaseBuffer()
		}
		return n, nil
	}
	f.mu.Unlock()
	n, err := f.rest.Read(p)
	if f.bytesLeft -= int64(n); f.bytesLeft < 0 {
		n, err = 0, ErrBodyTooLarge
	}
	if err != nil {
		err = f.finish(err)
	}
	return n, err
}

// Abort ends the flow with err because the owner has closed the socket. A concurrent Read sees the socket's error.
func (f *Flow) Abort(err error) { f.finish(err) }

// finish ends the flow, keeps the first error and returns it.
func (f *Flow) finish(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err, f.held = err, nil
		if f.opened {
			f.lease.ReleaseBuffer()
		} else {
			f.lease.Release()
		}
		close(f.ended)
	}
	return f.err
}

// Close ends the acceptor's use of the flow and releases its memory; nothing may be read any more.
func (f *Flow) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held = nil; f.err == nil {
		f.err = ErrStopped
		close(f.ended)
	}
	f.lease.Release()
}

// Ended returns a channel that is closed once nobody reads from the app node's socket any more, except a Read that was
// in progress when Abort was called.
func (f *Flow) Ended() <-chan struct{} { return f.ended }

// Err returns why the flow ended: io.EOF if the body is complete, ErrStopped if the acceptor closed it before its end,
// nil if it has not ended.
func (f *Flow) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}
