package flow

import (
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
)

// loopbackPair returns both ends of a TCP connection over loopback.
func loopbackPair(b *testing.B) (near, far net.Conn) {
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

// ringBuffer is the alternative to the hand-over that docs/flow.md compares: a bounded buffer that the socket's reader
// fills and the client's side drains.
type ringBuffer struct {
	mu                sync.Mutex
	changed           *sync.Cond
	buf               [MaxBufferedBytes]byte
	readPos, writePos int // bytes read and written in total
	done              bool
}

// fill copies src into the buffer until src ends, and waits while the buffer is full.
func (r *ringBuffer) fill(src io.Reader) {
	p := make([]byte, CopyBufferBytes)
	for {
		n, err := src.Read(p)
		r.mu.Lock()
		for part := p[:n]; len(part) > 0; {
			for r.writePos-r.readPos == MaxBufferedBytes {
				r.changed.Wait()
			}
			at := r.writePos % MaxBufferedBytes
			k := copy(r.buf[at:min(MaxBufferedBytes, at+MaxBufferedBytes-(r.writePos-r.readPos))], part)
			r.writePos, part = r.writePos+k, part[k:]
			r.changed.Signal()
		}
		r.done = err != nil
		r.changed.Signal()
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (r *ringBuffer) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.writePos == r.readPos {
		if r.done {
			return 0, io.EOF
		}
		r.changed.Wait()
	}
	at := r.readPos % MaxBufferedBytes
	n := copy(p, r.buf[at:min(MaxBufferedBytes, at+r.writePos-r.readPos)])
	r.readPos += n
	r.changed.Signal()
	return n, nil
}

// BenchmarkMegabyte copies 1 MiB from one socket to another on one processor, as in the balancer.
func BenchmarkMegabyte(b *testing.B) {
	const size = 1 << 20
	for name, transfer := range map[string]func(dst io.Writer, src io.Reader){
		"hand-over": func(dst io.Writer, src io.Reader) {
			room := NewMemoryLimit(1)
			l, _ := room.Acquire(nil, 0)
			held := l.Buffer()[:MaxBufferedBytes]
			io.ReadFull(src, held)
			f := New(l, held, src, size)
			f.MarkOpened()
			io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{f}, make([]byte, CopyBufferBytes))
			f.Close()
		},
		"ring": func(dst io.Writer, src io.Reader) {
			r := new(ringBuffer)
			r.changed = sync.NewCond(&r.mu)
			go r.fill(src)
			io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{r}, make([]byte, CopyBufferBytes))
		},
	} {
		b.Run(name, func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			node, in := loopbackPair(b)
			out, client := loopbackPair(b)
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
				transfer(out, io.LimitReader(in, size))
			}
			in.Close()
			out.Close()
		})
	}
}
