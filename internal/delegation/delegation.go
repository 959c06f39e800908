// Package delegation owns the sockets to app nodes and carries out the reducer's commands on them: dial, write a call,
// read the answer, close. It carries one call at a time on a connection and reports the result of each. It must never
// send anything twice, open a connection on its own, or decide what follows from a result. It therefore does not use
// http.Transport, which retries requests that it considers replayable and dials ahead of demand.
//
// An answer too large to be buffered is offered to the reducer (reducer.Flowing) and then lent to the acceptor as a
// flow.Flow, which reads the rest from the socket while the connection's read loop waits for the flow to end. write.go
// sends calls, read.go reads answers, report.go parses load reports.
package delegation

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pewterrudder/internal/flow"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/socket"
)

// MaxBody is the largest body that is buffered in full, in bytes.
const MaxBody = flow.MaxBufferedBytes

// Limits limits answers, and the memory of those that are too large to be buffered in full.
type Limits struct {
	MaxAnswerBytes int64             // longest answer body that is forwarded, in bytes
	Memory         *flow.MemoryLimit // memory for answers larger than flow.MaxBufferedBytes
	MemoryWait     time.Duration     // how long an answer waits for that memory
}

// Connections is the set of connections to app nodes. Dial, Exchange and Close may be called only by the goroutine that
// drives the reducer.
type Connections struct {
	post         func(reducer.Event)
	columns      atomic.Pointer[[]string] // columns of a load report, by their names in the settings
	bounds       Limits
	byID         map[uint64]*conn
	writtenCalls atomic.Uint64
}

// WrittenCalls returns how many calls have been written in full to app nodes since the start.
func (c *Connections) WrittenCalls() uint64 { return c.writtenCalls.Load() }

// New returns an empty set. post receives the events; columns are the names that the settings give the values of a load
// report.
func New(post func(reducer.Event), columns []string, bounds Limits) *Connections {
	c := &Connections{post: post, bounds: bounds, byID: map[uint64]*conn{}}
	c.SetReportColumns(columns)
	return c
}

// SetReportColumns replaces the columns of load reports.
func (c *Connections) SetReportColumns(columns []string) { c.columns.Store(&columns) }

// conn is one connection. nc is set before Dialed is posted and never after.
type conn struct {
	id          uint64
	connections *Connections
	nc          net.Conn
	in          *boundedReader
	br          *bufio.Reader // buffers in; used by the read loop, and by the acceptor while a flow is lent
	request     http.Request  // for http.ReadResponse, which needs the method

	mu         sync.Mutex
	readerDone bool          // the read loop has ended: nothing may be written any more
	current    *exchange     // nil: the connection is idle
	closed     chan struct{} // closed by Close
	flow       *flow.Flow    // lent to the acceptor; nil: none
}

// exchange is one call on a connection and its answer.
type exchange struct {
	call            *message.Call
	readTimeout     time.Duration // for the next bytes of an answer
	flowReadTimeout time.Duration // the same once the answer is streamed
	sending         bool          // the writer found the connection quiet and the client connected; guarded by conn.mu
	clientLeft      bool          // the writer found the client disconnected; valid once writerDone is closed
	writerDone      chan struct{} // closed when the writer ends
	complete        bool          // the call was written in full; valid once writerDone is closed
	upload          *uploadReader // nil: the body is buffered or empty
}

// Dial opens a connection in the background; reducer.Dialed reports the result.
func (c *Connections) Dial(e reducer.Dial) {
	k := &conn{id: e.Conn, connections: c, closed: make(chan struct{})}
	c.byID[e.Conn] = k
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
		defer cancel()
		nc, err := new(net.Dialer).DialContext(ctx, "tcp", e.Address)
		if err != nil {
			c.post(reducer.Dialed{Conn: e.Conn, Err: err})
			return
		}
		k.nc = nc
		k.in = &boundedReader{nc: nc}
		k.br = bufio.NewReader(k.in)
		c.post(reducer.Dialed{Conn: e.Conn})
		k.readLoop()
	}()
}

// Close closes a connection; no other code does. This also ends its read loop, its writer and a flow that it has lent.
func (c *Connections) Close(e reducer.Close) {
	k := c.byID[e.Conn]
	if k == nil {
		return
	}
	delete(c.byID, e.Conn)
	k.mu.Lock()
	close(k.closed)
	lent, ex := k.flow, k.current
	k.mu.Unlock()
	if k.nc != nil {
		if ex != nil {
			// An abandoned call must not arrive later. After a plain close the kernel would still deliver what it has
			// queued, for example once a network partition heals, and the call would run when its attempts on other app
			// nodes are already forgotten. A reset drops the queued bytes.
			socket.Reset(k.nc)
		} else {
			k.nc.Close()
		}
	}
	if lent != nil {
		lent.Abort(net.ErrClosed)
	}
	if ex != nil {
		ex.upload.stop() // the writer may be waiting for the client
	}
}
