package transport

import "github.com/pkg/errors"

// Errors of calls. Use errors.Is.
var (
	// ErrClosed is the error of a transport that was closed.
	ErrClosed = errors.New("transport closed")
	// ErrUnreachable means that no connection came about: the message was not sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRefused is ErrUnreachable where the machine has answered and nobody listens there: the process has ended.
	ErrRefused = errors.Wrap(ErrUnreachable, "connection refused")
	// ErrBroken means that the connection ended before the answer: the message may have been handled.
	ErrBroken = errors.New("connection broken")
	// ErrStalled means that the peer was silent for too long: the message may have been handled.
	ErrStalled = errors.New("peer silent")
	// ErrQueueFull means that too many bytes wait for the peer: the message was not sent.
	ErrQueueFull = errors.New("queue to peer full")
	// ErrTooLarge is the error of a body over MaxBody.
	ErrTooLarge = errors.New("message too large")
	// ErrProtocol means that the peer speaks another protocol or version.
	ErrProtocol = errors.New("protocol violation")
)

// RemoteError is the error that the peer's handler returned.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "remote: " + e.Message }
