package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/lab/gate"
)

// Stream is the relay of a pair for TCP: it listens where the callers are told that the called is.
type Stream struct {
	*Line
	gate   *gate.Gate
	target string

	mu    sync.Mutex
	want  gate.State // of the called: whether it takes connections
	conns map[*pipe]struct{}
	over  bool
	work  sync.WaitGroup
}

// pipe is one connection through it, both ends.
type pipe struct {
	ends [2]*net.TCPConn // the caller's, the called one's
	done chan struct{}
	once sync.Once
	lost atomic.Bool // nothing of it passes any more, also not its end
}

// NewStream listens at an address of the loopback network for connections to target.
func NewStream(at net.IP, target string, seed uint64) (*Stream, error) {
	s := &Stream{Line: newLine(seed), target: target, conns: map[*pipe]struct{}{}}
	g, err := gate.New(at, func(nc net.Conn) { s.work.Go(func() { s.carry(nc.(*net.TCPConn)) }) })
	if err != nil {
		return nil, err
	}
	s.gate = g
	return s, nil
}

// Address is where callers find it.
func (s *Stream) Address() string { return s.gate.Address }

// Follow has it take connections, refuse them, or let them hang, as the called one would.
func (s *Stream) Follow(want gate.State) {
	s.mu.Lock()
	s.want = want
	s.mu.Unlock()
	s.reopen()
}

// Set changes a direction of the line, and with it whether connections can come up.
func (s *Stream) Set(d Direction, w Way) {
	s.Line.Set(d, w)
	s.reopen()
}

func (s *Stream) reopen() {
	s.mu.Lock()
	want := s.want
	s.mu.Unlock()
	if s.Cut() {
		want = gate.Silent
	}
	s.gate.Set(want)
}

// Reset ends all connections with a reset, at both ends.
func (s *Stream) Reset() {
	for _, p := range s.open() {
		p.reset()
	}
}

// Forget has nothing pass any more on the connections that are open, either way, and tells neither end: as where what stands
// between them, or the machine at one end, has started again. New ones come up.
func (s *Stream) Forget() {
	for _, p := range s.open() {
		p.lost.Store(true)
	}
}

func (s *Stream) open() []*pipe {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*pipe, 0, len(s.conns))
	for p := range s.conns {
		all = append(all, p)
	}
	return all
}

// Open is the number of connections through it.
func (s *Stream) Open() int { return len(s.open()) }

// Close ends it and all that it carries, and waits for that.
func (s *Stream) Close() {
	s.mu.Lock()
	s.over = true
	s.mu.Unlock()
	s.gate.Close()
	s.Reset()
	s.work.Wait()
}

// carry joins a caller to the called one for as long as both stay.
func (s *Stream) carry(caller *net.TCPConn) {
	called, err := net.DialTimeout("tcp4", s.target, time.Second)
	if err != nil {
		caller.SetLinger(0)
		caller.Close()
		return
	}
	p := &pipe{ends: [2]*net.TCPConn{caller, called.(*net.TCPConn)}, done: make(chan struct{})}
	s.mu.Lock()
	over := s.over
	if !over {
		s.conns[p] = struct{}{}
	}
	s.mu.Unlock()
	if over {
		p.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { s.pass(p, There) })
	both.Go(func() { s.pass(p, Back) })
	both.Wait()
	p.end()
	s.mu.Lock()
	delete(s.conns, p)
	s.mu.Unlock()
}

// pieces are so large that a call of usual size is one of them.
const pieces = 64 << 10

// pass carries one direction. It reads on only when what it has read is through, so that a slow line pushes back.
func (s *Stream) pass(p *pipe, d Direction) {
	from, to := p.ends[d], p.ends[1-d]
	buffer := make([]byte, pieces)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !s.hold(p, d, n) {
				return
			}
			if p.lost.Load() {
				continue
			}
			part, broken := s.breaks(n)
			if _, failed := to.Write(buffer[:part]); broken || failed != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			if ne, ok := err.(net.Error); !p.lost.Load() && (!ok || !ne.Timeout()) {
				s.ended(p, d, err)
			}
			return
		}
	}
}

// hold waits until so many bytes are through; false: the connection has ended meanwhile.
func (s *Stream) hold(p *pipe, d Direction, n int) bool {
	for {
		wait, cut, changed := s.takes(d, n)
		if cut {
			select {
			case <-changed:
				if gone(p.ends[d]) { // a sender that resets sends nothing on: its system has thrown that away
					p.reset()
					return false
				}
				continue
			case <-p.done:
				return false
			}
		}
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-p.done:
			timer.Stop()
			return false
		}
		if w := s.Way(d); !w.Cut && !w.Stall {
			return true
		}
		n = 0 // it arrives with the mending
	}
}

// gone says whether a peer has reset its connection, which a read would tell only in its turn.
func gone(c *net.TCPConn) (reset bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		flaw, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		reset = err != nil || flaw != 0
	})
	return reset
}

// ended carries the end of one side to the other, in order behind its bytes: a close as a close, a reset as a reset.
func (s *Stream) ended(p *pipe, d Direction, err error) {
	if !s.hold(p, d, 0) {
		return
	}
	if isEnd(err) {
		p.ends[1-d].CloseWrite()
		return
	}
	p.reset()
}

// reset ends both ends at once.
func (p *pipe) reset() {
	for _, e := range p.ends {
		e.SetLinger(0)
	}
	p.end()
}

func (p *pipe) end() {
	p.once.Do(func() { close(p.done) })
	for _, e := range p.ends {
		e.Close()
	}
}
