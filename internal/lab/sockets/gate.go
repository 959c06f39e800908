package sockets

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// state of a listener towards one balancer.
type state uint8

const (
	open   state = iota
	refuse       // a process is not there: connections are refused
	silent       // a machine or a line is not there: connections never come up
	closed
)

// gate is where an app node listens for one balancer: each pair has its own, so that a line can fail for one alone and
// a connection tells whose it is.
type gate struct {
	address string
	accept  func(nc net.Conn)
	mu      sync.Mutex
	want    state
	changed chan struct{} // holds one word that want is new
	lis     *net.TCPListener
	done    chan struct{}
	fault   error
}

// accepting is how many connections may wait to be accepted while a gate is open.
const accepting = 1024

// newGate listens at an address of the loopback network, on a port that the system chooses. accept is called on the
// gate's own goroutine.
func newGate(ip net.IP, accept func(nc net.Conn)) (*gate, error) {
	lis, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
	if err != nil {
		return nil, err
	}
	g := &gate{address: lis.Addr().String(), accept: accept, changed: make(chan struct{}, 1), lis: lis,
		done: make(chan struct{})}
	go g.run()
	return g, nil
}

// set changes the state; it is in force a moment later.
func (g *gate) set(s state) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.want == s || g.want == closed {
		return
	}
	g.want = s
	select {
	case g.changed <- struct{}{}:
	default:
	}
	if g.lis != nil {
		g.lis.SetDeadline(time.Unix(1, 0)) // wakes what accepts
	}
}

func (g *gate) wanted() state {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.want
}

// failed says why a gate is of no use any more.
func (g *gate) failed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault
}

// close ends the gate and waits for its goroutine.
func (g *gate) close() {
	g.set(closed)
	<-g.done
}

func (g *gate) run() {
	defer close(g.done)
	for {
		switch g.wanted() {
		case closed:
			g.shut()
			return
		case refuse:
			g.shut()
			<-g.changed
		case silent:
			if g.listen() != nil {
				return
			}
			g.mute()
		case open:
			if g.listen() != nil {
				return
			}
			g.serve()
		}
	}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lis != nil {
		g.lis.Close()
		g.lis = nil
	}
}

// listen takes the address up again where it was given back.
func (g *gate) listen() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lis != nil {
		return g.lis.SetDeadline(time.Time{})
	}
	at, err := net.ResolveTCPAddr("tcp4", g.address)
	if err == nil {
		g.lis, err = net.ListenTCP("tcp4", at)
	}
	g.fault = err
	return err
}

// serve accepts until the state changes.
func (g *gate) serve() {
	for {
		select {
		case <-g.changed:
			return
		default:
		}
		nc, err := g.lis.Accept()
		if err == nil {
			g.accept(nc)
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(time.Millisecond) // out of descriptors, say; what asks meanwhile waits
			continue
		}
		if <-g.changed; true {
			return
		}
	}
}

// mute keeps the queue of connections full, so that the system drops what else comes, without a word. The bound of the
// queue counts from 1.
func (g *gate) mute() {
	g.backlog(0)
	var filler net.Conn
	ctx := net.Dialer{Timeout: 20 * time.Millisecond}
	for range 3 { // until one hangs
		nc, err := ctx.Dial("tcp4", g.address)
		if err != nil {
			break
		}
		if filler != nil {
			filler.Close()
		}
		filler = nc
	}
	<-g.changed
	g.backlog(accepting)
	if filler != nil {
		filler.Close()
	}
}

func (g *gate) backlog(n int) {
	raw, err := g.lis.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
