package acceptor

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// clients counts the clients' connections against the descriptor budget. When it is used up, one without a call
// makes room: one that has said nothing yet where those hold more than their part, else the one that has been idle
// for the longest. Connections that say nothing come by hundreds, and must not keep out those that ask.
//
// Clients may also keep connections for good that they have used once, and the front opens a limited number: those
// idle for the longest go where more than kept are open that have been heard of.
//
// Room is made by a read deadline in the past, where a close would cut off a request that comes at that moment:
// once net/http has its header, the connection is active and keeps its place.
type clients struct {
	budget, kept int
	mu           sync.Mutex
	freed        *sync.Cond
	open         int
	order        uint64
	silent       map[*client]uint64 // not heard of yet, by order of arrival
	idle         map[*client]uint64 // between calls, by order of their last answers
}

// client is a client's connection. Its read deadlines are net/http's, but for one that has to make room, and its write
// deadlines too, but for the time that an answer flows.
type client struct {
	*net.TCPConn
	mu       sync.Mutex
	leaving  bool
	until    time.Time     // by when what flows must have been taken; zero: nothing flows
	patience time.Duration // while the client takes nothing
}

// flow sets the bounds of an answer that flows from now on, or lifts them.
func (c *client) flow(until time.Time, patience time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.patience = until, patience
}

// Write has patience with a client as long as it takes something: a deadline for all of a large piece would end a
// client that reads slowly as if it did not read.
func (c *client) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	until, patience := c.until, c.patience
	c.mu.Unlock()
	if until.IsZero() {
		return c.TCPConn.Write(p)
	}
	for {
		by := time.Now().Add(patience)
		if by.After(until) {
			by = until
		}
		c.TCPConn.SetWriteDeadline(by)
		took, err := c.TCPConn.Write(p[n:])
		n += took
		if err == nil || took == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until) {
			return n, err
		}
	}
}

func (c *client) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *client) leave(leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leaving != c.leaving {
		c.leaving = leaving
		at := time.Time{}
		if leaving {
			at = time.Unix(1, 0)
		}
		c.TCPConn.SetReadDeadline(at)
	}
}

func newClients(budget, kept int) *clients {
	c := &clients{budget: budget, kept: kept, silent: map[*client]uint64{}, idle: map[*client]uint64{}}
	c.freed = sync.NewCond(&c.mu)
	return c
}

func (c *clients) changed(nc net.Conn, s http.ConnState) {
	k := nc.(*client)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.silent, k)
	delete(c.idle, k)
	c.order++
	switch s {
	case http.StateNew:
		c.open++
		c.silent[k] = c.order
	case http.StateIdle:
		c.idle[k] = c.order
		if c.open-len(c.silent) > c.kept {
			c.dismiss(c.idle)
		}
	case http.StateActive:
		k.leave(false)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	c.freed.Signal()
}

// dismiss has the longest listed of some connections end; its server goroutine tells when it has.
func (c *clients) dismiss(from map[*client]uint64) {
	var oldest *client
	for k, order := range from {
		if oldest == nil || order < from[oldest] {
			oldest = k
		}
	}
	if oldest != nil {
		delete(from, oldest)
		oldest.leave(true)
	}
}

// room waits until one more connection may be open.
func (c *clients) room() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open >= c.budget {
		if len(c.silent) > c.budget/4 || len(c.idle) == 0 {
			c.dismiss(c.silent)
		} else {
			c.dismiss(c.idle)
		}
		c.freed.Wait()
	}
}

type limited struct {
	net.Listener
	clients *clients
}

func (c *clients) limit(l net.Listener) net.Listener { return &limited{l, c} }

func (l *limited) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.clients.room() // only now: nobody has to leave while nobody comes
	return &client{TCPConn: nc.(*net.TCPConn)}, nil
}
