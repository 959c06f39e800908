package kv

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// wire is a network in memory between one client and a server, so that time can be virtual.
type wire struct {
	mu    sync.Mutex
	calls chan net.Conn
	down  bool // nobody listens
	open  int  // connections that the client has not closed
	dials map[string]int
	ended chan struct{}
	bytes atomic.Int64 // that the client has read and written
}

func newWire() *wire {
	return &wire{calls: make(chan net.Conn), dials: map[string]int{}, ended: make(chan struct{})}
}

func (w *wire) set(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

func (w *wire) dial(ctx context.Context, _, address string) (net.Conn, error) {
	w.mu.Lock()
	down := w.down
	w.dials[address]++
	w.mu.Unlock()
	if down {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	select {
	case w.calls <- there:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.open++
		return &counted{here, w}, nil
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

// counted is a connection of the client's.
type counted struct {
	net.Conn
	w *wire
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.w.bytes.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.w.bytes.Add(int64(n))
	return n, err
}

func (c *counted) Close() error {
	c.w.mu.Lock()
	c.w.open--
	c.w.mu.Unlock()
	return c.Conn.Close()
}

// left is how many connections the client has not given back.
func (w *wire) left() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open
}
