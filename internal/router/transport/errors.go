package transport

import "github.com/pkg/errors"

// Errors returned by calls. Compare with errors.Is.
var (
	// ErrClosed means that the local transport has been closed.
	ErrClosed = errors.New("transport closed")
	// ErrUnreachable means that no connection could be established: the message was not sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRefused is an ErrUnreachable where the host answered but nothing listens on the port: the process has ended.
	ErrRefused = errors.Wrap(ErrUnreachable, "connection refused")
	// ErrBroken means that the connection ended before the response arrived: the message may have been handled.
	ErrBroken = errors.New("connection broken")
	// ErrStalled means that no bytes arrived from the peer within the stall timeout: the message may have been handled.
	ErrStalled = errors.New("peer silent")
	// ErrQueueFull means that the peer's send queue is full: the message was not sent.
	ErrQueueFull = errors.New("queue to peer full")
	// ErrTooLarge means that a body exceeds MaxBody.
	ErrTooLarge = errors.New("message too large")
	// ErrProtocol means that the peer sent a frame of another protocol or version.
	ErrProtocol = errors.New("protocol violation")
)

// RemoteError is an error returned by the peer's handler, reduced to its message.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "remote: " + e.Message }
