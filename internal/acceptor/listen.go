package acceptor

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on the clients' address. If shared is set, a later process of the same user can listen on it as well
// (SO_REUSEPORT, socket(7)), and the kernel then distributes new connections among them. Connections that a process has
// not accepted when it closes its listener are reset, so Drain keeps accepting to the end.
func Listen(address string, shared bool) (net.Listener, error) {
	if !shared {
		return net.Listen("tcp", address)
	}
	var optErr error
	set := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}
	l, err := (&net.ListenConfig{Control: set}).Listen(context.Background(), "tcp", address)
	if err != nil || optErr != nil {
		return l, err // without SO_REUSEPORT the address still works, until the next version wants to share it
	}
	return l, nil
}
