package kv

import (
	"context"
	"errors"
	"net"
	"sync"
)

// wire is a network in memory between one client and a server, so that time can be virtual.
type wire struct {
	mu    sync.Mutex
	calls chan net.Conn
	down  bool // nobody listens
	ended chan struct{}
}

func newWire() *wire { return &wire{calls: make(chan net.Conn), ended: make(chan struct{})} }

func (w *wire) set(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

func (w *wire) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if down {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	select {
	case w.calls <- there:
		return here, nil
	case <-w.ended:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *wire) Accept() (net.Conn, error) {
	select {
	case c := <-w.calls:
		return c, nil
	case <-w.ended:
		return nil, net.ErrClosed
	}
}

func (w *wire) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.ended:
	default:
		close(w.ended)
	}
	return nil
}

func (w *wire) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }
