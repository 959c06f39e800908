package boxd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/boxd/boxapi"
)

// pathMost is what a unix address holds (unix(7): 108 bytes with the closing zero).
const pathMost = 107

// Listen makes the socket in the state folder. The caller holds the folder (the store's lock), so that a socket left by a
// process that was killed is nobody's; one that is answered all the same is left alone.
func Listen(folder string) (net.Listener, error) {
	path := filepath.Join(folder, boxapi.SocketName)
	if len(path) > pathMost {
		return nil, fmt.Errorf("control socket: %s has %d bytes, and a socket's path at most %d: take a shorter state folder",
			path, len(path), pathMost)
	}
	if there, err := os.Lstat(path); err == nil {
		if there.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control socket: %s is there and no socket: move it away", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("control socket: another box answers at %s", path)
		} else if !errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("control socket: %w", err)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control socket: %w", err)
		}
	}
	// The file gets the mode that the socket has when it is bound, so there is no moment at which others could connect.
	private := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) { failed = unix.Fchmod(int(fd), 0o600) })
		return errors.Join(err, failed)
	}}
	l, err := private.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	if made, err := os.Lstat(path); err != nil || made.Mode().Perm() != 0o600 {
		l.Close()
		return nil, fmt.Errorf("control socket: %s is not private: %v, %v", path, made, err)
	}
	return l, nil
}

// peer is who is at the other end of a connection, by the kernel's word at the time of its connect.
type peer struct {
	name  string
	trust bool // the box's own user, or root
}

type peerKey struct{}

// meet asks the kernel who has connected.
func meet(ctx context.Context, c net.Conn) context.Context {
	if l, ok := c.(*counted); ok {
		c = l.Conn
	}
	return context.WithValue(ctx, peerKey{}, who(c))
}

// limited accepts no more connections at a time than it has room for; others wait in the kernel's queue. The limit that
// golang.org/x/net/netutil has hides the socket, of which the kernel must be asked who is there.
type limited struct {
	net.Listener
	free chan struct{}
	over chan struct{}
	once sync.Once
}

func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.over:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &counted{Conn: c, release: sync.OnceFunc(func() { <-l.free })}, nil
}

func (l *limited) Close() error {
	l.once.Do(func() { close(l.over) })
	return l.Listener.Close()
}

type counted struct {
	net.Conn
	release func()
}

func (c *counted) Close() error {
	defer c.release()
	return c.Conn.Close()
}

func who(c net.Conn) peer {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return peer{}
	}
	conn, err := raw.SyscallConn()
	if err != nil {
		return peer{}
	}
	var cred *unix.Ucred
	var failed error
	err = conn.Control(func(fd uintptr) { cred, failed = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) })
	if err != nil || failed != nil {
		return peer{}
	}
	id := strconv.FormatUint(uint64(cred.Uid), 10)
	p := peer{name: "uid " + id, trust: cred.Uid == 0 || int(cred.Uid) == os.Geteuid()}
	if u, err := user.LookupId(id); err == nil {
		p.name = u.Username
	}
	return p
}
