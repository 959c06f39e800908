package flow

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Upload is a client's request body that is too large to be buffered. The delegation reads it from the client's
// connection as fast as the app node accepts it. What has been read is not kept, so it can be sent only once. The
// acceptor creates it, and closes it before its handler returns.
type Upload struct {
	// Length of the body as declared, in bytes; -1: not declared.
	Length int64

	body        io.Reader
	maxBytes    int64         // limit of the body
	slack       time.Duration // how far a client may fall behind the rate of MinUploadRate
	clientWait  time.Duration // total time that reads waited for the client; guarded by reading
	lastWait    time.Time     // end of the last read that waited: later bytes may have arrived since then
	onComplete  func(lastWait time.Time)
	setDeadline func(time.Time) // of reads on the client's connection
	now         func() time.Time

	reading  sync.Mutex // held during Read
	received atomic.Int64
	mu       sync.Mutex // guards setDeadline, stopped, whole and failed
	stopped  bool       // interrupted or failed
	whole    bool       // read to its end
	failed   bool       // by the client
	touched  atomic.Bool
}

const (
	// MinUploadRate is the minimum rate of a client, in bytes per second. A slower client fails once its slack is used up.
	MinUploadRate = 64_000
	// maxReadTimeout is how long a client that has been faster may then pause.
	maxReadTimeout = 4 * time.Second
	// maxNonBlockingRead is the longest read that counts as one of bytes that had already arrived.
	maxNonBlockingRead = time.Millisecond
)

// NewUpload returns an upload of at most maxBytes. A client may fall behind the rate of MinUploadRate by slack; only
// time in which a Read waits for the client counts. setDeadline sets the read deadline of the client's connection, the
// zero time for none. onComplete is called once the whole body has been read, with the end of the last read that
// waited: the last byte may have arrived at any time since.
func NewUpload(body io.Reader, length, maxBytes int64, slack time.Duration, now func() time.Time, setDeadline func(time.Time), onComplete func(lastWait time.Time)) *Upload {
	return &Upload{Length: length, body: body, maxBytes: maxBytes, slack: slack, setDeadline: setDeadline, now: now, onComplete: onComplete, lastWait: now()}
}

// Read reads the next bytes from the client's connection.
func (u *Upload) Read(p []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	if err := u.beginRead(); err != nil {
		return 0, err
	}
	u.touched.Store(true)
	began := u.now()
	n, err := u.body.Read(p)
	if ended := u.now(); ended.Sub(began) > maxNonBlockingRead {
		u.clientWait, u.lastWait = u.clientWait+ended.Sub(began), ended
	}
	if received := u.received.Add(int64(n)); err == io.EOF && received < u.Length {
		err = io.ErrUnexpectedEOF
	} else if received > u.maxBytes {
		n, err = 0, ErrBodyTooLarge
	}
	if err == io.EOF {
		u.complete()
	} else if err != nil {
		u.markFailed()
	}
	return n, err
}

// complete notes that the whole body has been read. It clears the read deadline, whose expiry would otherwise look like
// a disconnect of the client.
func (u *Upload) complete() {
	u.mu.Lock()
	whole := !u.stopped
	if whole {
		u.whole = true
		u.setDeadline(time.Time{})
	}
	u.mu.Unlock()
	if whole { // without the lock: onComplete may wait for a caller of Interrupt
		u.onComplete(u.lastWait)
	}
}

// beginRead sets the deadline of the next read, or returns the error of an upload that has ended.
func (u *Upload) beginRead() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.whole:
		return io.EOF
	case u.stopped:
		return ErrStopped
	}
	u.setDeadline(u.now().Add(min(u.slack+time.Duration(u.received.Load()*int64(time.Second)/MinUploadRate)-u.clientWait, maxReadTimeout)))
	return nil
}

// markFailed notes that the client failed to continue, unless the upload was interrupted on our side.
func (u *Upload) markFailed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.stopped {
		u.stopped, u.failed = true, true
	}
}

// Interrupt ends the upload and a Read in progress, without waiting for that Read. Once the whole body has been read,
// the connection belongs to the acceptor again and Interrupt does nothing.
func (u *Upload) Interrupt() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.whole && !u.stopped {
		u.stopped = true
		u.setDeadline(time.Unix(1, 0))
	}
}

// Close interrupts the upload and waits for a Read in progress. Afterwards the client's connection belongs to the
// acceptor again.
func (u *Upload) Close() {
	u.Interrupt()
	u.reading.Lock()
	defer u.reading.Unlock()
}

// Complete reports whether the body has been read to its end.
func (u *Upload) Complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.whole
}

// LastByteRead reports whether the last byte has been read and so may have reached an app node, even if the end has not
// been read yet.
func (u *Upload) LastByteRead() bool {
	return u.Length >= 0 && u.received.Load() >= u.Length || u.Complete()
}

// Interrupted reports whether the upload was ended on our side.
func (u *Upload) Interrupted() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped && !u.failed
}

// Started reports whether reading the body has begun, so that it cannot be sent again.
func (u *Upload) Started() bool { return u.touched.Load() }

// Failed reports whether the client failed to send the body as declared, in time and within the limit.
func (u *Upload) Failed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failed
}
