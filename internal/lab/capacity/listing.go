package capacity

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// listing is a discovery service for one list on loopback: it takes watches, tells each the whole list first, and what it is
// given to tell from then on. It works through its watches in turn on one thread.
type listing struct {
	lis net.Listener

	mu       sync.Mutex
	nodes    int
	pools    int
	revision int64
	open     map[net.Conn]struct{}
	closed   bool
	whole    int // bytes that the last whole list took on the wire
}

func newListing(nodes, pools int) (*listing, error) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &listing{lis: lis, nodes: nodes, pools: pools, revision: 1, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			go d.watch(nc)
		}
	}()
	return d, nil
}

func (d *listing) address() string { return d.lis.Addr().String() }

// watch reads the one call of a connection, tells the list or that nothing has changed since, and blank lines until an end.
func (d *listing) watch(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	since, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	if since < d.revision {
		first := chunk(d.list(true, 0, d.nodes, false))
		d.whole = len(first)
		nc.Write(first)
	} else {
		nc.Write(chunk(d.list(false, 0, 0, false)))
	}
	d.open[nc] = struct{}{}
	d.mu.Unlock()
	left := make(chan struct{})
	go func() { // nothing more is said; what comes is the end
		in.Peek(1)
		close(left)
	}()
	blank := time.NewTicker(watchBlank * time.Second)
	defer blank.Stop()
	for {
		select {
		case <-blank.C:
			d.mu.Lock()
			nc.Write(chunk(nil))
			d.mu.Unlock()
		case <-left:
			d.mu.Lock()
			delete(d.open, nc)
			d.mu.Unlock()
			return
		}
	}
}

// list is a line with the entries from..to of the list.
func (d *listing) list(complete bool, from, to int, draining bool) []byte {
	line := fmt.Appendf(nil, `{"revision":%d,"complete":%v,"members":[`, d.revision, complete)
	for i := from; i < to; i++ {
		if i > from {
			line = append(line, ',')
		}
		line = append(line, entry(i, d.pools, draining)...)
	}
	return append(line, "]}"...)
}

// chunk is a line as a chunk of its own.
func chunk(line []byte) []byte {
	return append(append(fmt.Appendf(nil, "%x\r\n", len(line)+1), line...), "\n\r\n"...)
}

// change tells all watches that the entries from..to drain, or do so no more, and gives its bytes to one and the processor
// time for all.
func (d *listing) change(from, to int, draining bool) (bytes int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	return d.tell(chunk(d.list(false, from, to, draining)))
}

// again tells the whole list anew.
func (d *listing) again() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	n, _ := d.tell(chunk(d.list(true, 0, d.nodes, false)))
	return n
}

func (d *listing) tell(line []byte) (bytes int, took time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	from := onThread()
	for nc := range d.open {
		nc.Write(line)
	}
	return len(line), onThread() - from
}

// watches counts those that are open.
func (d *listing) watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

func (d *listing) close() {
	d.lis.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for nc := range d.open {
		nc.Close()
	}
}

// onThread is the processor time that this thread has had; the goroutine must be locked to it.
func onThread() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(t.Nano())
}
