// Package flowrig measures and tries answers that flow, on real processes over loopback: stand-in app nodes on raw
// sockets that follow a script, raw clients that read as slowly as they are told, the balancer as a process with its
// figures from /proc, and the measurements made of them. It sees the balancer from outside alone: it must never import
// a package of the daemon, nor be linked into it.
package flowrig

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Node is a stand-in app node: a raw listener that hands every request to a script. It adds nothing of its own to
// what the script writes, so that any fault of framing can be played.
type Node struct {
	ln     net.Listener
	script func(*Exchange)
	conns  atomic.Int64

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// NewNode listens on loopback. The script is called once for every request whose head has come, on the connection's
// goroutine; when it returns, the connection is ready for the next unless it was ended.
func NewNode(script func(*Exchange)) (*Node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{ln: ln, script: script, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(nc.(*net.TCPConn), int(n.conns.Add(1)))
		}
	}()
	return n, nil
}

// Addr is where it listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// Conns counts the connections that were ever made to it.
func (n *Node) Conns() int { return int(n.conns.Load()) }

// Close ends the listener and every connection.
func (n *Node) Close() {
	n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for nc := range n.open {
		nc.Close()
	}
}

func (n *Node) serve(nc *net.TCPConn, number int) {
	n.mu.Lock()
	if n.closed {
		nc.Close()
	}
	n.open[nc] = struct{}{}
	n.mu.Unlock()
	defer func() {
		nc.Close()
		n.mu.Lock()
		delete(n.open, nc)
		n.mu.Unlock()
	}()
	br := bufio.NewReader(nc)
	for turn := 1; ; turn++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		x := &Exchange{Request: req, Conn: number, Turn: turn, nc: nc, br: br}
		n.script(x)
		if x.over || x.gone != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

// Exchange is one request at a stand-in node, for its script.
type Exchange struct {
	Request *http.Request
	Conn    int // the connection's number at this node, from 1
	Turn    int // the request's number on its connection, from 1

	nc   *net.TCPConn
	br   *bufio.Reader
	over bool
	gone chan time.Time
}

// Write puts bytes on the wire as they are.
func (x *Exchange) Write(p []byte) (int, error) { return x.nc.Write(p) }

// Say writes text as it is.
func (x *Exchange) Say(text string) error {
	_, err := io.WriteString(x.nc, text)
	return err
}

// Reset ends the connection with an RST.
func (x *Exchange) Reset() {
	x.over = true
	x.nc.SetLinger(0)
	x.nc.Close()
}

// Finish ends the connection with a FIN; what was written still arrives.
func (x *Exchange) Finish() {
	x.over = true
	x.nc.CloseWrite()
	x.nc.Close()
}

// FinishWriting sends a FIN and still listens, so that Gone tells when the balancer has ended its side.
func (x *Exchange) FinishWriting() { x.nc.CloseWrite() }

// Stalled writes until nothing was taken for a while: full. Otherwise the connection ended, or all was taken. It says
// how much was.
func (x *Exchange) Stalled(p []byte, quiet time.Duration) (sent int, full bool) {
	defer x.nc.SetWriteDeadline(time.Time{})
	for sent < len(p) {
		x.nc.SetWriteDeadline(time.Now().Add(quiet))
		n, err := x.nc.Write(p[sent:min(len(p), sent+64<<10)])
		sent += n
		if late, ok := err.(net.Error); ok && late.Timeout() {
			if n == 0 {
				return sent, true
			}
		} else if err != nil {
			return sent, false
		}
	}
	return sent, false
}

// Gone tells the moment at which the balancer's side of the connection was seen to end. What is still sent by it is
// dropped, so no request may follow.
func (x *Exchange) Gone() <-chan time.Time {
	if x.gone == nil {
		x.gone = make(chan time.Time, 1)
		go func() {
			io.Copy(io.Discard, x.br)
			x.gone <- time.Now()
		}()
	}
	return x.gone
}
