package flow

import (
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
)

// pair is a connection over loopback.
func pair(b *testing.B) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		b.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		b.Fatal(err)
	}
	return near, far
}

// ring is what stands in docs/flow.md against the hand-over: a bounded buffer that the socket's reader fills and the
// client's side empties.
type ring struct {
	mu       sync.Mutex
	moved    *sync.Cond
	buf      [Hold]byte
	from, to int // positions ever written and read
	done     bool
}

func (r *ring) fill(src io.Reader) {
	p := make([]byte, Copy)
	for {
		n, err := src.Read(p)
		r.mu.Lock()
		for part := p[:n]; len(part) > 0; {
			for r.to-r.from == Hold {
				r.moved.Wait()
			}
			at := r.to % Hold
			k := copy(r.buf[at:min(Hold, at+Hold-(r.to-r.from))], part)
			r.to, part = r.to+k, part[k:]
			r.moved.Signal()
		}
		r.done = err != nil
		r.moved.Signal()
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (r *ring) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.to == r.from {
		if r.done {
			return 0, io.EOF
		}
		r.moved.Wait()
	}
	at := r.from % Hold
	n := copy(p, r.buf[at:min(Hold, at+r.to-r.from)])
	r.from += n
	r.moved.Signal()
	return n, nil
}

// BenchmarkMegabyte carries 1 MiB from one socket to another on one processor, as the balancer has it.
func BenchmarkMegabyte(b *testing.B) {
	const size = 1 << 20
	for name, carry := range map[string]func(dst io.Writer, src io.Reader){
		"hand-over": func(dst io.Writer, src io.Reader) {
			room := NewRoom(1)
			l, _ := room.Take(nil, 0)
			held := l.Held()[:Hold]
			io.ReadFull(src, held)
			f := New(l, held, src, size)
			f.Open()
			io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{f}, make([]byte, Copy))
			f.Close()
		},
		"ring": func(dst io.Writer, src io.Reader) {
			r := new(ring)
			r.moved = sync.NewCond(&r.mu)
			go r.fill(src)
			io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{r}, make([]byte, Copy))
		},
	} {
		b.Run(name, func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			node, in := pair(b)
			out, client := pair(b)
			defer node.Close()
			defer client.Close()
			go func() {
				piece := make([]byte, 64<<10)
				for {
					if _, err := node.Write(piece); err != nil {
						return
					}
				}
			}()
			go io.Copy(io.Discard, client)
			b.SetBytes(size)
			for b.Loop() {
				carry(out, io.LimitReader(in, size))
			}
			in.Close()
			out.Close()
		})
	}
}
