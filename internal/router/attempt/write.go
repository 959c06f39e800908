package attempt

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"pewterrudder/internal/router/protocol"
)

// maxJoinedBody is the maximum size of a body that is copied after the head, so that both are sent in one write.
const maxJoinedBody = 16 << 10

var headBuffers = sync.Pool{New: func() any { return new([]byte) }}

// send writes the request and reports whether any part of it may have been sent.
func (c *connection) send(request *Request) (sent bool, err error) {
	buffer := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buffer)
	*buffer = appendHead((*buffer)[:0], request, c.target.ID, time.Until(request.Deadline))
	if len(request.Body) > maxJoinedBody {
		return c.sendLarge(*buffer, request.Body)
	}
	*buffer = append(*buffer, request.Body...)
	n, err := c.socket.Write(*buffer)
	return n > 0, err
}

// sendLarge writes the head and starts a goroutine that writes the body, since an instance may respond before it has read
// the whole body and then stop reading. The writing is stopped when the attempt ends.
func (c *connection) sendLarge(head, body []byte) (sent bool, err error) {
	n, err := c.socket.Write(head)
	if err != nil {
		return n > 0, err
	}
	written := make(chan struct{})
	c.bodyWriteDone = written
	go func() {
		defer close(written)
		_, c.bodyWriteError = c.socket.Write(body)
	}()
	return true, nil
}

// stopBodyWrite stops writing a large body and reports whether all of it was written.
func (c *connection) stopBodyWrite() bool {
	if c.bodyWriteDone == nil {
		return true
	}
	select {
	case <-c.bodyWriteDone:
	default:
		c.socket.SetWriteDeadline(time.Unix(1, 0))
		<-c.bodyWriteDone
	}
	c.bodyWriteDone = nil
	return c.bodyWriteError == nil
}

// appendHead appends the head of the request as it is sent to the instance.
func appendHead(out []byte, request *Request, instance string, timeLeft time.Duration) []byte {
	out = append(out, request.Method...)
	out = append(out, ' ')
	out = append(out, request.RequestURI...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendField(out, "Host", request.Host)
	listed := request.Header["Connection"]
	for name, values := range request.Header {
		if isStripped(name) || isNamedByConnection(listed, name) || isReplaced(name, request) {
			continue
		}
		for _, value := range values {
			out = appendField(out, name, value)
		}
	}
	out = appendSystemFields(out, request, instance, timeLeft)
	if sendsContentLength(request) {
		out = appendNumber(out, "Content-Length", int64(len(request.Body)))
	}
	return append(out, "\r\n"...)
}

// appendSystemFields appends the headers set by this package.
func appendSystemFields(out []byte, request *Request, instance string, timeLeft time.Duration) []byte {
	out = appendField(out, protocol.HeaderExpectInstance, instance)
	out = appendNumber(out, protocol.HeaderDeadlineMs, max(1, timeLeft.Milliseconds()))
	if request.Tenant != "" {
		out = appendField(out, protocol.HeaderTenant, request.Tenant)
	}
	if request.Priority != NoPriority {
		out = appendNumber(out, protocol.HeaderPriority, int64(request.Priority))
	}
	if request.LastEventID != "" {
		out = appendField(out, protocol.HeaderLastEventID, request.LastEventID)
	}
	return out
}

// isReplaced reports whether this package sets the header instead of forwarding the client's value.
func isReplaced(name string, request *Request) bool {
	switch name {
	case protocol.HeaderPriority:
		return request.Priority != NoPriority
	case protocol.HeaderLastEventID:
		return request.LastEventID != ""
	}
	return false
}

// sendsContentLength reports whether the request gets a Content-Length. POST, PUT and PATCH get one for an empty body too.
func sendsContentLength(request *Request) bool {
	if len(request.Body) > 0 {
		return true
	}
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

func appendNumber(out []byte, name string, value int64) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = strconv.AppendInt(out, value, 10)
	return append(out, "\r\n"...)
}
