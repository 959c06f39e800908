// Package gate owns listeners that can refuse, or fall silent as a machine does that is not there. It must never read or
// write on a connection: whoever is handed one owns it.
package gate

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// State of a listener.
type State uint8

const (
	Open   State = iota
	Refuse       // a process is not there: connections are refused
	Silent       // a machine or a line is not there: connections never come up
	closed
)

// Gate is one listener. Where each pair of a site has its own, a line can fail for one alone, and a connection tells whose
// it is.
type Gate struct {
	Address string
	accept  func(nc net.Conn)
	mu      sync.Mutex
	want    State
	changed chan struct{} // holds one word that want is new
	lis     *net.TCPListener
	done    chan struct{}
	fault   error
}

// accepting is how many connections may wait to be accepted while a gate is open.
const accepting = 1024

// New listens at an address of the loopback network, on a port that the system chooses. accept is called on the
// gate's own goroutine.
func New(ip net.IP, accept func(nc net.Conn)) (*Gate, error) {
	lis, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
	if err != nil {
		return nil, err
	}
	g := &Gate{Address: lis.Addr().String(), accept: accept, changed: make(chan struct{}, 1), lis: lis,
		done: make(chan struct{})}
	go g.run()
	return g, nil
}

// Set changes the state; it is in force a moment later.
func (g *Gate) Set(s State) {
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

func (g *Gate) wanted() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.want
}

// Failed says why a gate is of no use any more.
func (g *Gate) Failed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault
}

// Close ends the gate and waits for its goroutine.
func (g *Gate) Close() {
	g.Set(closed)
	<-g.done
}

func (g *Gate) run() {
	defer close(g.done)
	for {
		switch g.wanted() {
		case closed:
			g.shut()
			return
		case Refuse:
			g.shut()
			<-g.changed
		case Silent:
			if g.listen() != nil {
				return
			}
			g.mute()
		case Open:
			if g.listen() != nil {
				return
			}
			g.serve()
		}
	}
}

func (g *Gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lis != nil {
		g.lis.Close()
		g.lis = nil
	}
}

// listen takes the address up again where it was given back.
func (g *Gate) listen() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lis != nil {
		return g.lis.SetDeadline(time.Time{})
	}
	at, err := net.ResolveTCPAddr("tcp4", g.Address)
	if err == nil {
		g.lis, err = net.ListenTCP("tcp4", at)
	}
	g.fault = err
	return err
}

// serve accepts until the state changes.
func (g *Gate) serve() {
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
func (g *Gate) mute() {
	g.backlog(0)
	var filler net.Conn
	ctx := net.Dialer{Timeout: 20 * time.Millisecond}
	for range 3 { // until one hangs
		nc, err := ctx.Dial("tcp4", g.Address)
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

func (g *Gate) backlog(n int) {
	raw, err := g.lis.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
