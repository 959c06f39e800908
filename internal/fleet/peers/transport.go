package peers

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport sends packets and opens streams to where a peer is reached, which may be elsewhere than where it says it is: behind a
// port that is forwarded, say. It counts what is sent.
type transport struct {
	memberlist.NodeAwareTransport
	peers    *Peers
	incoming chan net.Conn
}

// forwardStreams hands on the streams of others, counted as ours are, until the sockets are closed: their end waits for whoever
// takes the last.
func (t *transport) forwardStreams() {
	for {
		select {
		case <-t.peers.closed:
			return
		case nc := <-t.NodeAwareTransport.StreamCh():
			select {
			case t.incoming <- t.count(nc):
			case <-t.peers.closed:
				nc.Close()
				return
			}
		}
	}
}

func (t *transport) StreamCh() <-chan net.Conn { return t.incoming }

// count wraps a stream so that its bytes count and it ends with the member.
func (t *transport) count(nc net.Conn) net.Conn {
	return &stream{
		Conn:   nc,
		forget: context.AfterFunc(t.peers.alive, func() { nc.Close() }),
		sent:   &t.peers.views,
	}
}

func (t *transport) packets(at string) string {
	if v, ok := t.peers.o.Settings.Via[at]; ok && v.Packets != "" {
		return v.Packets
	}
	return at
}

func (t *transport) streams(at string) string {
	if v, ok := t.peers.o.Settings.Via[at]; ok && v.Streams != "" {
		return v.Streams
	}
	return at
}

func (t *transport) WriteTo(b []byte, at string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: at})
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.packets(a.Addr)
	t.peers.packets.Add(1)
	t.peers.bytes.Add(uint64(len(b)))
	return t.NodeAwareTransport.WriteToAddress(b, a)
}

func (t *transport) DialTimeout(at string, within time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: at}, within)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	a.Addr = t.streams(a.Addr)
	var nc net.Conn
	var err error
	if t.peers.o.Transport != nil {
		nc, err = t.NodeAwareTransport.DialAddressTimeout(a, within)
	} else {
		nc, err = (&net.Dialer{Timeout: within}).DialContext(t.peers.alive, "tcp", a.Addr) // the library's own takes no context
	}
	if err != nil {
		return nil, err
	}
	return t.count(nc), nil
}

// stream is a connection that ends with the member.
type stream struct {
	net.Conn
	// forget ends the wait for the member's end.
	forget func() bool
	// sent counts the bytes written.
	sent *atomic.Uint64
}

// Write closes the stream if it fails: the library drops a new stream on which its label can't be written, and doesn't close it.
func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.sent.Add(uint64(n))
	if err != nil {
		s.Close()
	}
	return n, err
}

func (s *stream) Close() error {
	s.forget()
	return s.Conn.Close()
}
