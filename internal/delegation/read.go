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
	// maxHeadBytes bounds the status line and header of an answer; an app node that sends more is faulty.
	maxHeadBytes = 16 << 10
	// maxInterimAnswers bounds the 1xx answers before the final one.
	maxInterimAnswers = 4
	// unknownLengthBuffer is how much of a body without a declared length is buffered before the answer is streamed, in
	// bytes. It is smaller than flow.MaxBufferedBytes because the client of a long answer waits for its first bytes, and
	// an app node that writes slowly may take seconds to fill flow.MaxBufferedBytes.
	unknownLengthBuffer = 2 << 10
)

var (
	errHeadTooLarge      = errors.New("delegation: status line and header of the answer exceed the limit")
	errUnexpectedInterim = errors.New("delegation: unexpected 1xx answer")
	errNotWritten        = errors.New("delegation: call not written: connection closed or not idle, or client disconnected")
)

// boundedReader reads from a connection and enforces the limits on size and time that apply to the current part of an
// answer.
type boundedReader struct {
	nc           net.Conn
	headLeft     int64         // bytes that may still arrive before the head is complete
	timeout      time.Duration // for the next bytes; 0: none
	longestPause time.Duration // of the reads with a timeout, since startHead
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	p = p[:min(int64(len(p)), r.headLeft)]
	if r.timeout <= 0 {
		n, err := r.nc.Read(p)
		r.headLeft -= int64(n)
		return n, err
	}
	began := time.Now()
	r.nc.SetReadDeadline(began.Add(r.timeout))
	n, err := r.nc.Read(p)
	r.longestPause = max(r.longestPause, time.Since(began))
	return n, err
}

// startHead limits the size of what follows as the head of an answer. There is no read timeout, because the head may
// arrive at any time until the call ends.
func (r *boundedReader) startHead() {
	r.headLeft, r.longestPause = maxHeadBytes, 0
	if r.timeout > 0 {
		r.timeout = 0
		r.nc.SetReadDeadline(time.Time{})
	}
}

// startBody sets the read timeout and lifts the limit on the size, which the reader of the body enforces itself.
func (r *boundedReader) startBody(timeout time.Duration) {
	r.headLeft, r.timeout = math.MaxInt64, timeout
}

// readLoop reads the answers to exchanges until the connection is closed or cannot be reused.
func (k *conn) readLoop() {
	for {
		k.in.startHead()
		_, err := k.br.Peek(1)
		k.mu.Lock()
		ex := k.current
		if ex == nil || !ex.sending { // closed, or unsolicited bytes
			k.readerDone, k.current = true, nil
			k.mu.Unlock()
			if ex == nil {
				k.connections.post(reducer.Lost{Conn: k.id})
				return
			}
			<-ex.writerDone // the writer has written nothing
			e := reducer.Exchanged{Conn: k.id, Written: reducer.WroteNothing, Err: errNotWritten}
			if ex.clientLeft {
				e.Result = reducer.ResultClientLeft
			}
			k.connections.post(e)
			return
		}
		k.mu.Unlock()
		e := reducer.Exchanged{Conn: k.id, Err: err}
		if err == nil {
			k.readAnswer(ex, &e)
		}
		if e.Err != nil {
			k.nc.SetDeadline(time.Unix(1, 0)) // ends a writer that is blocked on a peer that no longer reads
			k.stopWriter(ex)
		} else {
			select {
			case <-ex.writerDone:
			default:
				// Either the writer has written everything and is about to end, or the app node answered before the last
				// byte and has stopped reading. The deadline ends the writer in the second case, after which the connection
				// cannot be reused.
				k.nc.SetWriteDeadline(time.Unix(1, 0))
				k.stopWriter(ex)
				k.nc.SetWriteDeadline(time.Time{})
			}
		}
		// An answer can arrive before the writer has noted its last byte. A call that may have run must not count as one
		// that cannot have run.
		e.BodyUsed = ex.upload.hasStarted()
		e.Written = reducer.WrotePart
		if ex.complete || e.BodyUsed && ex.call.Upload.LastByteRead() {
			e.Written = reducer.WroteAll
		}
		if e.Err != nil && e.BodyUsed && ex.call.Upload.Failed() {
			e.Result = reducer.ResultClientLeft // the client failed, not the app node
		}
		k.mu.Lock()
		e.Reusable = e.Reusable && ex.complete
		k.current, k.flow, k.readerDone = nil, nil, !e.Reusable
		k.mu.Unlock()
		k.connections.post(e)
		if !e.Reusable {
			return
		}
	}
}

// stopWriter waits until the writer ends. Writes must already have been ended by a deadline; the upload is stopped here,
// because the writer may be waiting for the client.
func (k *conn) stopWriter(ex *exchange) {
	select {
	case <-ex.writerDone:
	default:
		ex.upload.stop()
		<-ex.writerDone
	}
}

// readAnswer reads one answer into e. An answer that is cut off, too long or not HTTP is an error, as a reset is: the
// call may have run, and its result is known at once. An answer too large to be buffered is offered to the reducer and
// then streamed to the client.
func (k *conn) readAnswer(ex *exchange, e *reducer.Exchanged) {
	resp, err := k.readHead(ex)
	if err != nil {
		e.Err = err
		return
	}
	for _, text := range resp.Header.Values("X-Load") { // a malformed report may precede a valid one
		if e.Report = k.connections.parseReport(text); e.Report != nil {
			break
		}
	}
	resp.Header.Del("X-Load") // not meant for clients
	result := classify(resp)
	k.in.startBody(ex.readTimeout)
	held, lease, err := k.readHeld(resp)
	e.LongestPause = k.in.longestPause
	a := &message.Answer{Status: resp.StatusCode, Header: resp.Header, Trailer: &resp.Trailer, Body: held}
	switch {
	case err == flow.ErrMemoryLimit:
		e.Result = reducer.ResultNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Result, e.Err = reducer.ResultStalled, fmt.Errorf("delegation: no more of the answer for %v", ex.readTimeout)
	case err != nil:
		e.Err = err
	case lease == nil:
		e.Result, e.Message = result, a
		// The body is not closed: Close would read to its end, however long it is, and it holds no resources.
		e.Reusable = !resp.Close && k.br.Buffered() == 0
	case result != reducer.ResultGood && result != reducer.ResultInvalidCall: // the rest is not wanted
		lease.Release()
		e.Result = result
	default:
		a.Body = nil
		a.Flow = flow.New(lease, held, resp.Body, k.connections.bounds.MaxAnswerBytes-int64(len(held)))
		k.stream(ex, result, a, e)
		e.Reusable = e.Result == reducer.ResultGood && !resp.Close && k.br.Buffered() == 0
	}
}

// readHead reads the head of the final answer and skips up to maxInterimAnswers of 1xx.
func (k *conn) readHead(ex *exchange) (*http.Response, error) {
	k.request.Method = ex.call.Request.Method
	for range maxInterimAnswers + 1 {
		resp, err := http.ReadResponse(k.br, &k.request)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUnexpectedInterim // no request of ours asks for an upgrade
		case resp.StatusCode < 200:
		case resp.ContentLength > k.connections.bounds.MaxAnswerBytes && resp.Body != http.NoBody: // too long to be forwarded
			return nil, flow.ErrBodyTooLarge
		default:
			return resp, nil
		}
	}
	return nil, errUnexpectedInterim
}

// classify returns the result of an attempt by the head of its answer.
func classify(resp *http.Response) reducer.Result {
	switch s := resp.StatusCode; {
	case s < 400:
		return reducer.ResultGood
	case (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && resp.Header.Get("X-Not-Run") == "1":
		return reducer.ResultShed
	case s < 500 && s != http.StatusRequestTimeout && s != http.StatusTooManyRequests:
		return reducer.ResultInvalidCall // another app node would give the same answer
	}
	return reducer.ResultAppError
}

// readHeld reads the part of a body that is buffered. A nil lease means that held is the whole body; otherwise more may
// follow, and held lies in the buffer of the lease.
func (k *conn) readHeld(resp *http.Response) (held []byte, lease *flow.Lease, err error) {
	if resp.Body == http.NoBody { // HEAD, 204, 304, or a length of 0
		return nil, nil, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= flow.MaxBufferedBytes {
		held = make([]byte, n)
		_, err = io.ReadFull(resp.Body, held)
		return held, nil, err
	}
	if resp.ContentLength < 0 { // most such bodies are short
		held = make([]byte, 0, unknownLengthBuffer)
		for len(held) < unknownLengthBuffer && err == nil {
			held, err = readOnce(resp.Body, held)
		}
		if err == io.EOF {
			return held, nil, nil
		} else if err != nil {
			return nil, nil, err
		}
	}
	if lease, err = k.connections.bounds.Memory.Acquire(k.closed, k.connections.bounds.MemoryWait); err != nil {
		return nil, nil, err
	}
	buffer := append(lease.Buffer(), held...)
	if len(buffer) == 0 { // declared as large: its first bytes are enough to begin
		buffer, err = readOnce(resp.Body, buffer)
	}
	switch {
	case err == nil:
		return buffer, lease, nil
	case err == io.EOF && resp.ContentLength < 0:
		held, err = append([]byte(nil), buffer...), nil // the body is complete after all
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	lease.Release()
	return held, nil, err
}

// readOnce appends one read to b, within its capacity.
func readOnce(r io.Reader, b []byte) ([]byte, error) {
	n, err := r.Read(b[len(b):cap(b)])
	return b[:len(b)+n], err
}

// stream offers an answer to the reducer, lends its flow to the acceptor, and waits until nobody reads from it any more.
func (k *conn) stream(ex *exchange, result reducer.Result, a *message.Answer, e *reducer.Exchanged) {
	k.in.startBody(ex.flowReadTimeout)
	k.mu.Lock()
	k.flow = a.Flow
	select {
	case <-k.closed: // Close ran before k.flow was set
		a.Flow.Abort(net.ErrClosed)
	default:
	}
	k.mu.Unlock()
	k.connections.post(reducer.Flowing{Conn: k.id, Result: result, Message: a})
	<-a.Flow.Ended()
	switch err := a.Flow.Err(); {
	case err == io.EOF:
		e.Result, e.LongestPause = reducer.ResultGood, k.in.longestPause
	case err == flow.ErrStopped:
		e.Result = reducer.ResultClientLeft
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Result, e.Err = reducer.ResultStalled, fmt.Errorf("delegation: no more of the answer for %v", ex.flowReadTimeout)
	default:
		e.Err = err
	}
}
