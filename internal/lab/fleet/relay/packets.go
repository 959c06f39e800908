package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// isEnd: the peer has closed, rather than reset.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }

// Packets is the relay of a pair for UDP. Each side has an address of it in the place of the other one's.
type Packets struct {
	*Line
	sides [2]*net.UDPConn // that the caller sends to; that the called one sends to
	to    [2]*net.UDPAddr

	mu   sync.Mutex
	over bool
	late map[*time.Timer]struct{}
	work sync.WaitGroup
}

// NewPackets stands between two addresses. at is of the loopback network; the caller finds the called one at Near, and the
// called one the caller at Far.
func NewPackets(at net.IP, caller, called string, seed uint64) (*Packets, error) {
	p := &Packets{Line: newLine(seed), late: map[*time.Timer]struct{}{}}
	for i, name := range []string{called, caller} {
		to, err := net.ResolveUDPAddr("udp4", name)
		if err == nil {
			p.to[i] = to
			p.sides[i], err = net.ListenUDP("udp4", &net.UDPAddr{IP: at})
		}
		if err != nil {
			p.Close()
			return nil, err
		}
	}
	for d := range p.sides {
		p.work.Go(func() { p.pass(Direction(d)) })
	}
	return p, nil
}

// Near is where the caller sends, and Far where the called one does.
func (p *Packets) Near() string { return p.sides[There].LocalAddr().String() }
func (p *Packets) Far() string  { return p.sides[Back].LocalAddr().String() }

// Close ends it; packets under way are lost.
func (p *Packets) Close() {
	p.mu.Lock()
	p.over = true
	for t := range p.late {
		if t.Stop() {
			p.work.Done()
		}
	}
	p.late = nil
	p.mu.Unlock()
	for _, c := range p.sides {
		if c != nil {
			c.Close()
		}
	}
	p.work.Wait()
}

func (p *Packets) pass(d Direction) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.sides[d].ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a word from the system that nobody listened at the other end: the packet was lost
		}
		for _, wait := range p.packet(d, n) {
			p.deliver(d, append([]byte(nil), buffer[:n]...), wait)
		}
	}
}

// deliver sends a packet on after a while, from the address that the receiver knows the sender by.
func (p *Packets) deliver(d Direction, text []byte, wait time.Duration) {
	if wait <= 0 {
		p.sides[1-d].WriteToUDP(text, p.to[d])
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return
	}
	p.work.Add(1)
	var t *time.Timer
	t = time.AfterFunc(wait, func() {
		defer p.work.Done()
		p.mu.Lock()
		over := p.over
		delete(p.late, t)
		p.mu.Unlock()
		if !over && !p.Way(d).Cut {
			p.sides[1-d].WriteToUDP(text, p.to[d])
		}
	})
	p.late[t] = struct{}{}
}
