// Package socket provides two operations for clients that manage their own HTTP/1.1 connections: a check of an idle
// connection without reading from it, and a close that drops data not yet delivered.
package socket

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Probe checks a connection for received data without reading it. It is not safe for concurrent use.
type Probe struct {
	raw       syscall.RawConn
	peekFunc  func(fd uintptr)
	buffer    [1]byte
	peekError error
}

// NewProbe returns a probe of a connection, which must have a file descriptor.
func NewProbe(connection net.Conn) (*Probe, error) {
	descriptor, ok := connection.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("socket: connection of type %T has no file descriptor", connection)
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "socket: get file descriptor")
	}
	p := &Probe{raw: raw}
	p.peekFunc = p.peek
	return p, nil
}

// Quiet reports whether the connection is open and nothing has been received on it: no data, no end of stream, no reset.
func (p *Probe) Quiet() bool {
	if err := p.raw.Control(p.peekFunc); err != nil {
		return false
	}
	return p.peekError == syscall.EAGAIN
}

// peek looks for one byte without blocking; the error is EAGAIN if there is nothing to read.
func (p *Probe) peek(fd uintptr) {
	_, _, p.peekError = syscall.Recvfrom(int(fd), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}

// Reset closes a TCP connection with a reset, so that data which the kernel has not delivered yet is dropped: an
// abandoned request must not arrive later, as it would after a plain close once a network partition heals. A connection
// of another kind is closed normally.
func Reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	connection.Close()
}
