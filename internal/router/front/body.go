package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/resultcode"
)

const (
	defaultBodyLimit = 4 << 20
	// initialBodyBuffer is the initial buffer size for a body of unknown length, in bytes.
	initialBodyBuffer = 4 << 10
)

var (
	errBodyLimit  = errors.New("front: request body exceeds the size limit")
	errBodyMemory = errors.New("front: no memory is left for the request body")
)

// readBody reads the entire body, within the body size limit, the body memory and the request's deadline.
func (c *call) readBody() *resultcode.Error {
	length := c.incoming.ContentLength
	if length == 0 {
		return nil
	}
	limit := c.bodyLimit()
	if length > limit {
		return c.bodyTooLarge(limit)
	}
	if !c.reserve(max(length, 0)) {
		return noBodyMemory()
	}
	c.connection.SetReadDeadline(c.request.Deadline)
	body, err := c.readAll(length, limit)
	c.connection.SetReadDeadline(time.Time{})
	if err != nil {
		return c.unreadableBody(err, limit)
	}
	c.request.Body = body
	return nil
}

// readAll reads a body of the given length, for which memory is reserved. A length of -1 means that it is unknown.
func (c *call) readAll(length, limit int64) ([]byte, error) {
	if length < 0 {
		return c.readUnknownLength(limit)
	}
	whole := make([]byte, length)
	_, err := io.ReadFull(c.incoming.Body, whole)
	return whole, err
}

// readUnknownLength reads a body of at most limit bytes. Memory is reserved before the buffer grows, so that bodies that
// arrive at the same time never hold more than there is.
func (c *call) readUnknownLength(limit int64) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			larger, err := c.growBuffer(buffer, limit)
			if err != nil {
				return nil, err
			}
			buffer = larger
		}
		n, err := c.incoming.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > limit {
			return nil, errBodyLimit
		}
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBuffer copies a full buffer to one of twice the size, but not of more than the limit and one byte, by which a body
// that is too large is recognized. While both exist, memory is reserved for both.
func (c *call) growBuffer(full []byte, limit int64) ([]byte, error) {
	held := int64(cap(full))
	size := min(max(2*held, initialBodyBuffer), limit+1)
	if !c.reserve(size) {
		return nil, errBodyMemory
	}
	larger := make([]byte, len(full), size)
	copy(larger, full)
	c.release(held)
	return larger, nil
}

// reserve reserves memory for the body out of the memory that all request bodies share, and reports whether enough was
// left. The memory is returned when the request has been served.
func (c *call) reserve(size int64) bool {
	if c.server.bodyMemory.Add(size) > c.server.options.BodyMemory {
		c.server.bodyMemory.Add(-size)
		return false
	}
	c.reservedBytes += size
	return true
}

// release returns reserved memory.
func (c *call) release(size int64) {
	c.server.bodyMemory.Add(-size)
	c.reservedBytes -= size
}

// unreadableBody translates an error of reading the body into a result code.
func (c *call) unreadableBody(err error, limit int64) *resultcode.Error {
	if errors.Is(err, errBodyMemory) {
		c.release(c.reservedBytes)
		return noBodyMemory()
	}
	c.closeAfterResponse()
	switch {
	case errors.Is(err, errBodyLimit):
		return c.bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return resultcode.New(resultcode.RequestReadTimeout, "the body did not come in time")
	}
	return resultcode.Wrap(err, resultcode.MalformedRequest, "the body could not be read")
}

// refuse responds to a request that was not admitted. If memory for the body was lacking, the client may still be sending
// it: the rest is read and discarded, since a client that reads the response last would find its connection reset.
func (c *call) refuse(failure *resultcode.Error) {
	if failure.Code != resultcode.Overloaded {
		c.respondError(failure)
		return
	}
	controller := http.NewResponseController(c.writer)
	_ = controller.EnableFullDuplex() // otherwise net/http would read on before it sends the response
	c.respondError(failure)
	if controller.Flush() != nil {
		return
	}
	c.connection.SetReadDeadline(c.request.Deadline)
	_, _ = io.Copy(io.Discard, io.LimitReader(c.incoming.Body, c.bodyLimit()+1))
	c.connection.SetReadDeadline(time.Time{})
}

// bodyLimit returns the size of the largest body that is allowed.
func (c *call) bodyLimit() int64 {
	if limit := int64(c.table.Limits().MaxBodyBytes); limit > 0 {
		return limit
	}
	return defaultBodyLimit
}

func noBodyMemory() *resultcode.Error {
	return resultcode.New(resultcode.Overloaded, "no memory for the body")
}

func (c *call) bodyTooLarge(limit int64) *resultcode.Error {
	c.closeAfterResponse()
	return resultcode.New(resultcode.BodyTooLarge, "more than %d bytes", limit)
}
