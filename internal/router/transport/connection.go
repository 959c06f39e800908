package transport

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// response is the result of a call: a body or an error.
type response struct {
	body []byte
	err  error
}

// connection is one TCP connection, dialed or accepted. Both ends may send every kind of frame.
type connection struct {
	transport    *Transport
	socket       net.Conn
	handlerSlots chan struct{} // semaphore: holds one element per running handler
	lastReceived atomic.Int64  // when bytes last arrived, in Transport.now time

	mu               sync.Mutex
	queue            []byte // encoded frames waiting for the writer
	spare            []byte // the writer's previous buffer, kept for reuse
	writing          bool   // a writer goroutine is running
	err              error  // why the connection was closed; nil while open
	nextCallID       uint32
	calls            map[uint32]chan response
	watchingForStall bool  // a stallWatch is running
	lastQueued       int64 // when a frame was last queued, in Transport.now time
}

func newConnection(t *Transport, socket net.Conn) *connection {
	c := &connection{
		transport:    t,
		socket:       socket,
		handlerSlots: make(chan struct{}, maxHandlers),
		calls:        make(map[uint32]chan response),
	}
	c.lastReceived.Store(t.now())
	c.lastQueued = t.now()
	return c
}

// send queues a frame and starts the writer if it is not running. It never blocks on the network.
func (c *connection) send(f frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sendLocked(f)
}

func (c *connection) sendLocked(f frame) error {
	if c.err != nil {
		return c.err
	}
	if len(c.queue) > maxQueue {
		return ErrQueueFull
	}
	c.queue = appendFrame(c.queue, f)
	c.lastQueued = c.transport.now()
	if !c.writing {
		c.writing = true
		go c.write()
	}
	return nil
}

// write writes queued frames in batches until the queue is empty.
func (c *connection) write() {
	for {
		batch := c.takeQueue()
		if batch == nil {
			return
		}
		if err := c.writeAll(batch); err != nil {
			c.close(errors.Wrap(ErrBroken, err.Error()))
			return
		}
		c.recycleBuffer(batch)
	}
}

// writeAll writes in chunks, so that writeTimeout applies to a chunk and not to a whole large message.
func (c *connection) writeAll(batch []byte) error {
	for part := range slices.Chunk(batch, writeChunk) {
		_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.socket.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// takeQueue removes and returns the queued frames. It returns nil if the writer should stop.
func (c *connection) takeQueue() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 || c.err != nil {
		c.writing = false
		return nil
	}
	batch := c.queue
	c.queue = c.spare
	c.spare = nil
	return batch
}

// recycleBuffer keeps the buffer of a written batch for reuse, unless it is larger than maxSpareBuffer.
func (c *connection) recycleBuffer(batch []byte) {
	if cap(batch) > maxSpareBuffer {
		return
	}
	c.mu.Lock()
	c.spare = batch[:0]
	c.mu.Unlock()
}

// call sends a request and waits for its response.
func (c *connection) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	callID, result, err := c.startCall(kind, body)
	if err != nil {
		return nil, err
	}
	select {
	case r := <-result:
		return r.body, r.err
	case <-ctx.Done():
		c.cancelCall(callID)
		return nil, errors.WithStack(ctx.Err())
	}
}

func (c *connection) startCall(kind Kind, body []byte) (uint32, chan response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextCallID++
	callID := c.nextCallID
	if err := c.sendLocked(frame{frameKind: frameRequest, kind: kind, callID: callID, body: body}); err != nil {
		return 0, nil, err
	}
	result := make(chan response, 1)
	c.calls[callID] = result
	c.startStallWatchLocked()
	return callID, result, nil
}

// cancelCall removes a call whose caller no longer waits; a later response is discarded.
func (c *connection) cancelCall(callID uint32) {
	c.mu.Lock()
	delete(c.calls, callID)
	c.mu.Unlock()
}

// completeCall delivers a response to the waiting caller, if there still is one.
func (c *connection) completeCall(callID uint32, r response) {
	c.mu.Lock()
	result := c.calls[callID]
	delete(c.calls, callID)
	c.mu.Unlock()
	if result != nil {
		result <- r
	}
}

// read handles incoming frames until the connection is closed.
func (c *connection) read() {
	reader := bufio.NewReaderSize(&receiveTimeRecorder{c}, readBuffer)
	header := make([]byte, headerSize)
	for {
		f, err := readFrame(reader, header)
		if err != nil {
			c.close(errors.Wrap(ErrBroken, err.Error()))
			return
		}
		c.handleFrame(f)
	}
}

// receiveTimeRecorder reads from the socket and records when bytes arrive.
type receiveTimeRecorder struct{ c *connection }

func (r *receiveTimeRecorder) Read(buffer []byte) (int, error) {
	n, err := r.c.socket.Read(buffer)
	if n > 0 {
		r.c.lastReceived.Store(r.c.transport.now())
	}
	return n, err
}

func (c *connection) handleFrame(f frame) {
	switch f.frameKind {
	case frameRequest, frameOneWay:
		c.dispatch(f)
	case frameResponse:
		c.completeCall(f.callID, response{body: f.body})
	case frameError:
		c.completeCall(f.callID, response{err: &RemoteError{Message: string(f.body)}})
	case frameProbe:
		_ = c.send(frame{frameKind: frameProbeResponse})
	case frameProbeResponse: // the reader has recorded its arrival
	}
}

// dispatch runs the handler of a message: on the calling goroutine if it was registered as inline, else on a new one.
// It blocks while maxHandlers handlers are running, which also stops reading from the peer.
func (c *connection) dispatch(f frame) {
	registered := c.transport.handler(f.kind)
	if registered == nil {
		c.respond(f, nil, errors.Errorf("no handler for kind %d", f.kind))
		return
	}
	if registered.inline {
		body, err := registered.handler(c.transport.ctx, f.body)
		c.respond(f, body, err)
		return
	}
	c.handlerSlots <- struct{}{}
	go func() {
		defer func() { <-c.handlerSlots }()
		body, err := registered.handler(c.transport.ctx, f.body)
		c.respond(f, body, err)
	}()
}

// respond sends the result of a request. One-way messages get no response.
func (c *connection) respond(f frame, body []byte, err error) {
	if f.frameKind == frameOneWay {
		return
	}
	reply := frame{frameKind: frameResponse, kind: f.kind, callID: f.callID, body: body}
	if err == nil && len(body) > MaxBody {
		err = ErrTooLarge
	}
	if err != nil {
		reply.frameKind = frameError
		reply.body = []byte(err.Error())
	}
	if c.send(reply) == ErrQueueFull {
		c.close(errors.Wrap(ErrBroken, "peer does not read its responses"))
	}
}

// close closes the connection and fails all pending calls with reason.
func (c *connection) close(reason error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = reason
	calls := c.calls
	c.calls = nil
	c.queue, c.spare = nil, nil
	c.mu.Unlock()
	_ = c.socket.Close()
	for _, result := range calls {
		result <- response{err: reason}
	}
	c.transport.removeConnection(c)
}

func (c *connection) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

// lastActivity returns when the connection was last used, in Transport.now time; it is now while calls or handlers are
// pending.
func (c *connection) lastActivity() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) > 0 || len(c.handlerSlots) > 0 {
		return c.transport.now()
	}
	return max(c.lastQueued, c.lastReceived.Load())
}
