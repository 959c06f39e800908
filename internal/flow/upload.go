package flow

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Upload is a client's body that is too large to be held: the app node's side reads it from the client's connection
// as fast as the app node takes it. What has been read is gone, so that it is sent once. The acceptor makes it and
// ends it before its handler returns.
type Upload struct {
	// Length of the body, as stated.
	Length int64

	body     io.Reader
	patience time.Duration
	deadline func(time.Time) // sets the read deadline of the client's connection
	clock    func() time.Time

	using   sync.Mutex // held through a Read
	mu      sync.Mutex // guards the deadline, stopped and whole
	stopped bool
	whole   bool
	touched atomic.Bool
	failed  atomic.Bool
}

// NewUpload makes an upload: a client that sends nothing for longer than the patience has failed.
func NewUpload(body io.Reader, length int64, patience time.Duration, clock func() time.Time, deadline func(time.Time)) *Upload {
	return &Upload{Length: length, body: body, patience: patience, deadline: deadline, clock: clock}
}

// Read takes the next bytes off the client's connection.
func (u *Upload) Read(p []byte) (int, error) {
	u.using.Lock()
	defer u.using.Unlock()
	if err := u.allow(); err != nil {
		return 0, err
	}
	u.touched.Store(true)
	n, err := u.body.Read(p)
	if err == io.EOF {
		u.end()
	} else if err != nil && u.stop(false) {
		u.failed.Store(true)
	}
	return n, err
}

// end: all of it has come, and the connection's deadline, left in force, would seem to be the client's leaving.
func (u *Upload) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.stopped {
		u.whole = true
		u.deadline(time.Time{})
	}
}

func (u *Upload) allow() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.whole:
		return io.EOF
	case u.stopped:
		return ErrStopped
	}
	u.deadline(u.clock().Add(u.patience))
	return nil
}

// stop says whether it was the first to end the upload.
func (u *Upload) stop(interrupt bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.whole { // the connection is the acceptor's again
		return false
	}
	first := !u.stopped
	if u.stopped = true; first && interrupt {
		u.deadline(time.Unix(1, 0))
	}
	return first
}

// Interrupt ends the upload, a Read under way included, and does not wait for that.
func (u *Upload) Interrupt() { u.stop(true) }

// Close interrupts and waits until nobody reads: from then on the client's connection is the acceptor's again.
func (u *Upload) Close() {
	u.Interrupt()
	u.using.Lock()
	defer u.using.Unlock()
}

// Whole says that all of the body has been read.
func (u *Upload) Whole() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.whole
}

// Touched says that a part of the body has been read, so that it cannot be sent again.
func (u *Upload) Touched() bool { return u.touched.Load() }

// Failed says that the client did not send what it had stated.
func (u *Upload) Failed() bool { return u.failed.Load() }
