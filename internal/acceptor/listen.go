package acceptor

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens the clients' address. Where it is shared, a later process of the same user can open it as well
// (SO_REUSEPORT, socket(7)): from then on the kernel gives each of them its part of the new connections. What an earlier one
// has not accepted when it closes is reset, so Drain has it accept to the end.
func Listen(address string, shared bool) (net.Listener, error) {
	if !shared {
		return net.Listen("tcp", address)
	}
	var failed error
	set := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}
	l, err := (&net.ListenConfig{Control: set}).Listen(context.Background(), "tcp", address)
	if err != nil || failed != nil {
		return l, err // an address that cannot be shared serves as well, until the next version
	}
	return l, nil
}
