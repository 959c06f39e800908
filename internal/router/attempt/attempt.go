// Package attempt sends one request once to one model instance, over its own pool of keep-alive connections, and reports
// exactly how the attempt ended: whether the request was never sent, was rejected, may have run, or was answered. It never
// retries a request and never selects an instance. net/http's Transport is not used because it retries requests by itself
// and does not reveal whether a request was written.
//
// An attempt runs in the goroutine of its caller. A connection has no goroutine of its own: an idle connection is checked
// when it is about to be reused, without reading from it.
package attempt

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/protocol"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// NeverSent means that no byte of the request was written to a connection.
	NeverSent Outcome = iota
	// Rejected means that the instance responded that it did not execute the request.
	Rejected
	// MayHaveRun means that at least part of the request may have been sent and no usable response arrived.
	MayHaveRun
	// Answered means that the instance's response has arrived, at least in part.
	Answered
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case NeverSent:
		return "never sent"
	case Rejected:
		return "rejected"
	case MayHaveRun:
		return "may have run"
	case Answered:
		return "answered"
	}
	return "unknown"
}

// Causes of an attempt without a response.
var (
	ErrConnectionLimit  = errors.New("attempt: connection limit of the instance reached")
	ErrDeadline         = errors.New("attempt: deadline exceeded")
	ErrAbandoned        = errors.New("attempt: canceled by the caller")
	ErrUnusableResponse = errors.New("attempt: successful response has no signature or has a content encoding")
	ErrForeignResponse  = errors.New("attempt: response belongs to another request")
	ErrRejected         = errors.New("attempt: instance did not execute the request")
	ErrMalformed        = errors.New("attempt: malformed response")
	ErrTooLarge         = errors.New("attempt: event or body exceeds the size limit")
)

// Error describes an attempt that got no response.
type Error struct {
	Outcome    Outcome
	Status     int           // of the response, if one arrived, else 0
	RetryAfter time.Duration // from the rejection, else 0
	Load       string        // load report of the response, if any
	DialFailed bool          // no usable connection could be opened
	Cause      error

	connectionReleased bool // the connection has already been released or discarded
}

// Error returns the outcome and its cause.
func (e *Error) Error() string { return e.Outcome.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Target is the instance to which an attempt is made.
type Target struct {
	ID      string
	Address string
	// MaxConnections is the maximum number of this router's open connections to the instance; 0 means no limit.
	MaxConnections int
}

// NoPriority is the Request.Priority of a request without a priority.
const NoPriority = -1

// Request is a client's request with its entire body. An attempt does not modify it.
type Request struct {
	ID          string
	Method      string
	RequestURI  string
	Host        string
	Header      http.Header // as received from the client
	Body        []byte
	Tenant      string // sent to the instance unless empty
	Priority    int    // sent to the instance unless NoPriority
	LastEventID string // replaces the client's Last-Event-Id header unless empty
	Deadline    time.Time
	// NonRepeatable is set if the request must not run twice. A new connection is then watched briefly before the request
	// is written: an instance with too many connections resets new ones, and a request written before the reset may have
	// run.
	NonRepeatable bool
}

// RoundTrip makes one attempt: it sends the request to the target and returns the response, or an *Error. The request's
// deadline bounds the whole attempt, including reading the response body. When the context ends, the connection is reset.
// The caller must Close the response.
func (p *Pool) RoundTrip(ctx context.Context, target Target, request *Request) (*Response, error) {
	c, err := p.acquire(ctx, target, request)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.putIdle(c)
		return nil, &Error{Outcome: NeverSent, Cause: ErrAbandoned}
	}
	c.socket.SetDeadline(request.Deadline)
	c.stopContextWatch = context.AfterFunc(ctx, c.reset)
	sent, err := c.send(request)
	if err != nil && !sent {
		c.discard()
		return nil, &Error{Outcome: NeverSent, Cause: c.translateError(ctx, err)}
	}
	response, failure := c.receive(request, err)
	if failure != nil && failure.connectionReleased {
		return nil, failure
	}
	if failure != nil {
		c.discard()
		failure.Cause = c.translateError(ctx, failure.Cause)
		return nil, failure
	}
	return response, nil
}

// rejectionError returns the error for a response stating that the request was not executed, or nil for any other.
func rejectionError(h *head) *Error {
	if h.status != http.StatusMisdirectedRequest && !h.notExecuted {
		return nil
	}
	return &Error{Outcome: Rejected, Status: h.status, RetryAfter: h.retryAfter(), Load: h.load, Cause: ErrRejected}
}

// isUnusable reports whether a successful response has no signature or has a content encoding.
func isUnusable(h *head) bool {
	success := h.status >= 200 && h.status < 300
	return success && (!h.signed || h.encoded)
}

// isStripped reports whether a header of the client's request is not forwarded: it is hop-by-hop, is reserved for the
// system, or is written by this package.
func isStripped(name string) bool {
	switch name {
	case protocol.HeaderAPIKey, protocol.HeaderTenant, protocol.HeaderExpectInstance, protocol.HeaderDeadlineMs,
		"Content-Length", "Expect", "Host":
		return true
	}
	return isHopByHop(name)
}

// systemHeaderPrefix is the prefix of the system's own headers. A client can't remove them by naming them in Connection.
const systemHeaderPrefix = "X-Pewterrudder-"

// isNamedByConnection reports whether a Connection header with these values names the header. System headers never count
// as named.
func isNamedByConnection(values []string, name string) bool {
	if len(values) == 0 || strings.HasPrefix(name, systemHeaderPrefix) {
		return false
	}
	for _, value := range values {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(token), name) {
				return true
			}
		}
	}
	return false
}

// isHopByHop reports whether a header applies to a single connection only.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
