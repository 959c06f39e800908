package attempt

import (
	"bufio"
	"io"
	"net/http/httputil"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBody is the maximum size of a body that is read completely before RoundTrip returns the response.
	maxBufferedBody = 1 << 20
	// maxForeignBody is the maximum size of a body that is read and discarded, in bytes.
	maxForeignBody = 64 << 10
	// maxForeignResponses is the maximum number of responses to other requests that are skipped before the right one.
	maxForeignResponses = 2
	// initialBodyBuffer is the initial buffer size for a body of unknown length, in bytes.
	initialBodyBuffer = 2 << 10
	// maxTrailerLines is the maximum number of lines after the last chunk, including the empty one.
	maxTrailerLines = 16
)

// Response is an instance's response. If Buffered is set, Body holds the entire body; otherwise Next returns it as it
// arrives.
type Response struct {
	Status   int
	Fields   []Field // end-to-end headers, without Content-Length except in a response to HEAD
	Load     string  // load report, if any
	Signed   bool
	Stream   bool // the body is an event stream
	Buffered bool
	Body     []byte

	connection   *connection
	head         *head
	reader       io.Reader
	bodyComplete bool // the entire body has been read
	scanner      eventScanner
	prefetched   []byte // part of the body read before it proved too large to buffer
}

// receive reads the response to a request that was sent. sendError is the error of sending it, if any: an instance may
// respond before it has read the whole request.
func (c *connection) receive(request *Request, sendError error) (*Response, *Error) {
	for range maxForeignResponses + 1 {
		h, err := readHead(c.reader, request.Method)
		if err != nil {
			if sendError != nil {
				err = sendError
			}
			return nil, &Error{Outcome: MayHaveRun, Cause: err}
		}
		if h.hasID && h.id == request.ID {
			return c.acceptResponse(h)
		}
		c.pool.counters.foreign.Add(1)
		c.tainted = true
		if err := c.skipBody(h); err != nil {
			break
		}
	}
	return nil, &Error{Outcome: MayHaveRun, Cause: ErrForeignResponse}
}

// skipBody reads and discards the body of a rejection or of a response to another request.
func (c *connection) skipBody(h *head) error {
	reader, err := c.bodyReader(h)
	if err != nil {
		return err
	}
	if h.close {
		return io.EOF
	}
	n, err := io.Copy(io.Discard, io.LimitReader(reader, maxForeignBody+1))
	if err != nil {
		return err
	}
	if n > maxForeignBody {
		return ErrTooLarge
	}
	return c.readTrailer(h)
}

// acceptResponse turns a response to this connection's request into a Response or an Error.
func (c *connection) acceptResponse(h *head) (*Response, *Error) {
	if failure := rejectionError(h); failure != nil {
		failure.connectionReleased = c.finishRejection(h)
		return nil, failure
	}
	if isUnusable(h) {
		return nil, &Error{Outcome: MayHaveRun, Status: h.status, Load: h.load, Cause: ErrUnusableResponse}
	}
	reader, err := c.bodyReader(h)
	if err != nil {
		return nil, &Error{Outcome: MayHaveRun, Cause: err}
	}
	response := &Response{Status: h.status, Fields: h.fields, Load: h.load, Signed: h.signed, Stream: h.stream,
		connection: c, head: h, reader: reader}
	if response.Stream {
		return response, nil
	}
	if err := response.bufferBody(); err != nil {
		return nil, &Error{Outcome: MayHaveRun, Cause: err}
	}
	return response, nil
}

// finishRejection discards the body of a rejection and finishes the exchange. It returns false if the connection can't be
// reused; the caller then has to discard it.
func (c *connection) finishRejection(h *head) bool {
	if h.close {
		return false
	}
	if err := c.skipBody(h); err != nil {
		return false
	}
	c.finishExchange(h)
	return true
}

// bodyReader returns a reader of the body. If the body has a length or chunks, the reader returns io.EOF only if the body
// is complete.
func (c *connection) bodyReader(h *head) (io.Reader, error) {
	switch {
	case h.chunked:
		return httputil.NewChunkedReader(c.reader), nil
	case h.length >= 0:
		return &sizedReader{reader: c.reader, remaining: h.length}, nil
	case h.status >= 200 && h.status < 300:
		return nil, errors.Wrap(ErrMalformed, "successful response without a body length")
	}
	return c.reader, nil
}

// sizedReader reads a body of known length. A premature end is io.ErrUnexpectedEOF.
type sizedReader struct {
	reader    *bufio.Reader
	remaining int64
}

// Read implements io.Reader.
func (s *sizedReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), s.remaining)]
	n, err := s.reader.Read(p)
	s.remaining -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readTrailer reads the trailer of a chunked body, up to the empty line.
func (c *connection) readTrailer(h *head) error {
	if !h.chunked {
		return nil
	}
	for range maxTrailerLines {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 && line[0] == '\r' {
			return nil
		}
	}
	return errors.Wrap(ErrMalformed, "trailer")
}

// finishExchange ends the attempt after a complete response: it releases the connection if it can be reused, or else
// discards it.
func (c *connection) finishExchange(h *head) {
	if !c.stopBodyWrite() || h.close || c.tainted || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	c.idleSince = time.Now()
	c.reusableUntil = c.idleSince.Add(c.pool.reuseTime(h.keepAlive))
	c.idleTimeoutAnnounced = h.keepAlive > 0
	c.release()
}

// bufferBody reads a body of up to maxBufferedBody bytes into Body. The start of a larger one is kept for Next.
func (r *Response) bufferBody() error {
	body := make([]byte, 0, r.initialBufferSize())
	for len(body) < maxBufferedBody {
		if len(body) == cap(body) {
			if r.head.length == int64(len(body)) {
				break
			}
			body = append(body, 0)[:len(body)]
		}
		n, err := r.reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return r.finishBuffering(body)
		}
		if err != nil {
			return err
		}
	}
	if r.head.length == int64(len(body)) {
		return r.finishBuffering(body)
	}
	r.prefetched = body
	return nil
}

func (r *Response) initialBufferSize() int64 {
	if r.head.length >= 0 {
		return min(r.head.length, maxBufferedBody)
	}
	return initialBodyBuffer
}

// finishBuffering sets the complete body and finishes the exchange.
func (r *Response) finishBuffering(body []byte) error {
	if err := r.connection.readTrailer(r.head); err != nil {
		return err
	}
	r.Buffered, r.Body, r.bodyComplete = true, body, true
	r.connection.finishExchange(r.head)
	r.connection = nil // another attempt may use it from now on
	return nil
}

// Next returns the next part of a body that is not buffered: one or more complete events of a stream, or otherwise the
// bytes available. The slice is valid until the next call. The error is io.EOF only at the end of a complete body, and may
// come with the last part.
func (r *Response) Next() ([]byte, error) {
	if r.bodyComplete {
		return nil, io.EOF
	}
	var part []byte
	var err error
	if r.Stream {
		part, err = r.scanner.next(r.reader)
	} else {
		part, err = r.nextBytes()
	}
	if err == io.EOF {
		if err := r.connection.readTrailer(r.head); err != nil {
			return nil, err
		}
		r.bodyComplete = true
		return part, io.EOF
	}
	return part, err
}

// nextBytes returns the prefetched part of the body first, then further bytes as they arrive.
func (r *Response) nextBytes() ([]byte, error) {
	if first := r.prefetched; first != nil {
		r.prefetched = nil
		return first, nil
	}
	r.scanner.acquireBuffer()
	n, err := r.reader.Read(r.scanner.buffer[:cap(r.scanner.buffer)])
	return r.scanner.buffer[:n], err
}

// EndReceived reports whether the end of the body has been received right after what Next returned, so that the next call
// returns io.EOF without waiting.
func (r *Response) EndReceived() bool {
	if r.bodyComplete || !r.scanner.endReceived || r.scanner.returned < len(r.scanner.buffer) {
		return r.bodyComplete
	}
	return r.connection.reader.Buffered() >= len("\r\n")
}

// LastEventID returns the id of the last event that Next returned, or an empty string. It changes with the next call of
// Next.
func (r *Response) LastEventID() string { return string(r.scanner.lastID) }

// Length returns the length of the body, or -1 if it is unknown.
func (r *Response) Length() int64 { return r.head.length }

// Close releases the response's connection. If the body has not been read completely, the connection is reset, so that the
// instance abandons the work.
func (r *Response) Close() {
	c := r.connection
	if c == nil {
		return
	}
	r.connection = nil
	if r.bodyComplete {
		c.finishExchange(r.head)
	} else {
		c.discard()
	}
	r.scanner.releaseBuffer()
}
