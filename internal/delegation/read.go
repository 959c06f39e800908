package delegation

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"pewterrudder/internal/flow"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
)

const (
	// maxHead bounds the status line and header of an answer; an app node that sends more is broken.
	maxHead = 16 << 10
	// maxInterim bounds the 1xx answers in front of one.
	maxInterim = 4
	// guess is the buffer for a body that does not say how long it is, and goes on to be committed once it is full: of a long
	// answer the first bytes are what counts, and one whose app node writes slowly may take seconds over what is held of
	// others.
	guess = 2 << 10
)

var (
	errHead    = errors.New("delegation: the head of an answer is over the limit")
	errInterim = errors.New("delegation: interim answers without end")
	errTurn    = errors.New("delegation: bytes out of turn")
)

// source is the socket with the bounds in force while an answer is read.
type source struct {
	nc    net.Conn
	left  int64         // that may come before the head is whole
	stall time.Duration // for the next bytes; 0: as long as it takes
	pause time.Duration // the longest so far
}

func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, errHead
	}
	p = p[:min(int64(len(p)), s.left)]
	if s.stall <= 0 {
		n, err := s.nc.Read(p)
		s.left -= int64(n)
		return n, err
	}
	began := time.Now()
	s.nc.SetReadDeadline(began.Add(s.stall))
	n, err := s.nc.Read(p)
	s.pause = max(s.pause, time.Since(began))
	return n, err
}

// head bounds what comes next as the head of an answer, which is waited for as long as its call lasts.
func (s *source) head() {
	s.left, s.pause = maxHead, 0
	if s.stall > 0 {
		s.stall = 0
		s.nc.SetReadDeadline(time.Time{})
	}
}

// body lifts the bound on bytes, since the reader of a body counts its own, and sets the wait.
func (s *source) body(stall time.Duration) { s.left, s.stall = math.MaxInt64, stall }

// read waits for what comes on the connection, until it ends: answers to exchanges, or the app node's close.
func (k *conn) read() {
	for {
		k.src.head()
		_, err := k.br.Peek(1)
		k.mu.Lock()
		job := k.job
		if job == nil || !job.begun { // closed, or it speaks out of turn
			k.dead, k.job = true, nil
			k.mu.Unlock()
			if job == nil {
				k.set.post(reducer.Lost{Conn: k.id})
				return
			}
			<-job.written // with nothing written
			e := reducer.Exchanged{Conn: k.id, Written: reducer.Nothing, Err: errTurn}
			if job.left {
				e.Result = reducer.Left
			}
			k.set.post(e)
			return
		}
		k.mu.Unlock()
		e := reducer.Exchanged{Conn: k.id, Err: err}
		if err == nil {
			k.answer(job, &e)
		}
		if e.Err != nil {
			k.nc.SetDeadline(time.Unix(1, 0)) // a writer that still pushes against a dead peer has to end
			k.stopWriter(job)
		} else {
			select {
			case <-job.written:
			default:
				// Either the writer has only not come to say so yet, or the app node answered before the last
				// byte and reads no more: this ends the second, and the connection is then of no use.
				k.nc.SetWriteDeadline(time.Unix(1, 0))
				k.stopWriter(job)
				k.nc.SetWriteDeadline(time.Time{})
			}
		}
		// An answer can overtake the moment at which our writer sees its last byte go: what may have run must not count as never run.
		e.Spent = job.feed.spent()
		e.Written = reducer.Partly
		if job.whole || e.Spent && job.call.Upload.Gone() {
			e.Written = reducer.Whole
		}
		if e.Err != nil && e.Spent && job.call.Upload.Failed() {
			e.Result = reducer.Left // the app node has no part in it
		}
		k.mu.Lock()
		e.Reuse = e.Reuse && job.whole
		k.job, k.flow, k.dead = nil, nil, !e.Reuse
		k.mu.Unlock()
		k.set.post(e)
		if !e.Reuse {
			return
		}
	}
}

// stopWriter waits for the writer, whose socket takes nothing any more, and which may be waiting for the client.
func (k *conn) stopWriter(job *exchange) {
	select {
	case <-job.written:
	default:
		job.feed.stop()
		<-job.written
	}
}

// answer reads one answer into e. One that is broken off, too long or not HTTP is none, as with a reset: the call may
// have run, and its outcome is known at once. One that is larger than what is held is offered to the reducer and, once
// it is the client's, passes by here.
func (k *conn) answer(job *exchange, e *reducer.Exchanged) {
	resp, err := k.readHead(job)
	if err != nil {
		e.Err = err
		return
	}
	for _, text := range resp.Header.Values("X-Load") { // one that can't be read may stand before a good one
		if e.Report = k.set.report(text); e.Report != nil {
			break
		}
	}
	resp.Header.Del("X-Load") // between app nodes and balancers alone
	result := classify(resp)
	k.src.body(job.stall)
	held, lease, err := k.hold(resp)
	e.Pause = k.src.pause
	a := &message.Answer{Status: resp.StatusCode, Header: resp.Header, Trailer: &resp.Trailer, Body: held}
	switch {
	case err == flow.ErrFull:
		e.Result = reducer.NoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Result, e.Err = reducer.Stalled, fmt.Errorf("delegation: nothing more for %v", job.stall)
	case err != nil:
		e.Err = err
	case lease == nil:
		e.Result, e.Message = result, a
		// The body is not closed: that would read on to its end, however far off, and it holds nothing of its own.
		e.Reuse = !resp.Close && k.br.Buffered() == 0
	case result != reducer.Good && result != reducer.Unusable: // nobody reads on
		lease.Release()
		e.Result = result
	default:
		a.Body = nil
		a.Flow = flow.New(lease, held, resp.Body, k.set.bounds.Largest-int64(len(held)))
		k.pass(job, result, a, e)
		e.Reuse = e.Result == reducer.Good && !resp.Close && k.br.Buffered() == 0
	}
}

// readHead reads the head of an answer, past those of 1xx.
func (k *conn) readHead(job *exchange) (*http.Response, error) {
	k.req.Method = job.call.Request.Method
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(k.br, &k.req)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errInterim // nothing of ours asked for it
		case resp.StatusCode < 200:
		case resp.ContentLength > k.set.bounds.Largest && resp.Body != http.NoBody: // the rest would be read for nothing
			return nil, flow.ErrTooLong
		default:
			return resp, nil
		}
	}
	return nil, errInterim
}

// classify says what an answer means to the call.
func classify(resp *http.Response) reducer.Result {
	switch s := resp.StatusCode; {
	case s < 400:
		return reducer.Good
	case (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && resp.Header.Get("X-Not-Run") == "1":
		return reducer.Shed
	case s < 500 && s != http.StatusRequestTimeout && s != http.StatusTooManyRequests:
		return reducer.Unusable // no other app node would do better
	}
	return reducer.Errored
}

// hold reads a body as far as it is held. One that goes on comes with the lease of its buffer.
func (k *conn) hold(resp *http.Response) (held []byte, lease *flow.Lease, err error) {
	if resp.Body == http.NoBody { // HEAD, 204, 304, or a length of 0
		return nil, nil, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= flow.Hold {
		held = make([]byte, n)
		_, err = io.ReadFull(resp.Body, held)
		return held, nil, err
	}
	if resp.ContentLength < 0 { // most such bodies are short
		held = make([]byte, 0, guess)
		for len(held) < guess && err == nil {
			held, err = fill(resp.Body, held)
		}
		if err == io.EOF {
			return held, nil, nil
		} else if err != nil {
			return nil, nil, err
		}
	}
	if lease, err = k.set.bounds.Room.Take(k.gone, k.set.bounds.Wait); err != nil {
		return nil, nil, err
	}
	buffer := append(lease.Held(), held...)
	if len(buffer) == 0 { // it is told that it is large: its first bytes are what counts
		buffer, err = fill(resp.Body, buffer)
	}
	switch {
	case err == nil:
		return buffer, lease, nil
	case err == io.EOF && resp.ContentLength < 0:
		held, err = append([]byte(nil), buffer...), nil // whole after all
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	lease.Release()
	return held, nil, err
}

// fill reads once into what a buffer has left.
func fill(r io.Reader, b []byte) ([]byte, error) {
	n, err := r.Read(b[len(b):cap(b)])
	return b[:len(b)+n], err
}

// pass offers an answer to the reducer, lends it to the client's side, and waits until nobody reads it any more.
func (k *conn) pass(job *exchange, result reducer.Result, a *message.Answer, e *reducer.Exchanged) {
	k.src.body(job.flowStall)
	k.mu.Lock()
	k.flow = a.Flow
	select {
	case <-k.gone: // Close came before and has not seen it
		a.Flow.Break(net.ErrClosed)
	default:
	}
	k.mu.Unlock()
	k.set.post(reducer.Flowing{Conn: k.id, Result: result, Message: a})
	<-a.Flow.Ended()
	switch err := a.Flow.Err(); {
	case err == io.EOF:
		e.Result, e.Pause = reducer.Good, k.src.pause
	case err == flow.ErrStopped:
		e.Result = reducer.Left
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Result, e.Err = reducer.Stalled, fmt.Errorf("nothing more for %v", job.flowStall)
	default:
		e.Err = err
	}
}
