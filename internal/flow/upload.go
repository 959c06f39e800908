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
	// Length of the body, as stated; -1: it is not.
	Length int64

	body     io.Reader
	most     int64         // of the body, in bytes
	patience time.Duration // with a client, beyond what its body may take at slowest
	waited   time.Duration // for the client; under using
	last     time.Time     // when the client was waited for last: what was read since may have been there
	came     func(last time.Time)
	deadline func(time.Time) // sets the read deadline of the client's connection
	clock    func() time.Time

	using   sync.Mutex // held through a Read
	got     atomic.Int64
	mu      sync.Mutex // guards the deadline, stopped, whole and failed
	stopped bool
	whole   bool
	failed  bool
	touched atomic.Bool
}

const (
	// Slowest is how fast a client has to send, in bytes a second. A slower one has failed once its patience is used up.
	Slowest = 64_000
	// longestGap is how long one that was faster may then send nothing.
	longestGap = 4 * time.Second
	// atOnce is how long a read takes at the most of what has been there.
	atOnce = time.Millisecond
)

// NewUpload makes an upload of most bytes at the most. Time counts against the patience while the app node's side waits for
// the client, and no longer than that. came is told once the last byte has been read, and since when it may have been there.
func NewUpload(body io.Reader, length, most int64, patience time.Duration, clock func() time.Time, deadline func(time.Time), came func(last time.Time)) *Upload {
	return &Upload{Length: length, body: body, most: most, patience: patience, deadline: deadline, clock: clock, came: came, last: clock()}
}

// Read takes the next bytes off the client's connection.
func (u *Upload) Read(p []byte) (int, error) {
	u.using.Lock()
	defer u.using.Unlock()
	if err := u.allow(); err != nil {
		return 0, err
	}
	u.touched.Store(true)
	began := u.clock()
	n, err := u.body.Read(p)
	if ended := u.clock(); ended.Sub(began) > atOnce {
		u.waited, u.last = u.waited+ended.Sub(began), ended
	}
	if got := u.got.Add(int64(n)); err == io.EOF && got < u.Length {
		err = io.ErrUnexpectedEOF
	} else if got > u.most {
		n, err = 0, ErrTooLong
	}
	if err == io.EOF {
		u.end()
	} else if err != nil {
		u.fail()
	}
	return n, err
}

// end: all of it has come, and the connection's deadline, left in force, would seem to be the client's leaving.
func (u *Upload) end() {
	u.mu.Lock()
	whole := !u.stopped
	if whole {
		u.whole = true
		u.deadline(time.Time{})
	}
	u.mu.Unlock()
	if whole { // outside the lock: who hears may have to wait for who interrupts
		u.came(u.last)
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
	u.deadline(u.clock().Add(min(u.patience+time.Duration(u.got.Load()*int64(time.Second)/Slowest)-u.waited, longestGap)))
	return nil
}

// fail notes that the client did not go on, unless it was we who ended its reading.
func (u *Upload) fail() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.stopped {
		u.stopped, u.failed = true, true
	}
}

// Interrupt ends the upload, a Read under way included, and does not wait for that. Once all has been read the
// connection is the acceptor's again, and nothing is done to it.
func (u *Upload) Interrupt() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.whole && !u.stopped {
		u.stopped = true
		u.deadline(time.Unix(1, 0))
	}
}

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

// Gone says that the last byte has been read, so that it may have reached an app node, whether the end has been seen or not.
func (u *Upload) Gone() bool { return u.Length >= 0 && u.got.Load() >= u.Length || u.Whole() }

// Interrupted says that it was ended from our side.
func (u *Upload) Interrupted() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped && !u.failed
}

// Touched says that a part of the body has been read, so that it cannot be sent again.
func (u *Upload) Touched() bool { return u.touched.Load() }

// Failed says that the client did not send what it had stated.
func (u *Upload) Failed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failed
}
