package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged. It detects a peer
// that lost power and so never closes or resets its connections.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// setUserTimeoutOnAccepted calls setUserTimeout for an accepted connection; a socket that is not TCP stays unchanged.
func setUserTimeoutOnAccepted(socket net.Conn) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUserTimeout("", "", raw)
	}
}
