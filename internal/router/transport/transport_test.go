package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

const (
	kindEcho Kind = iota + 1
	kindFail
	kindWait
	kindNote
)

func listen(t *testing.T, address string) *Transport {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	transport, err := Listen(Options{Address: address, Log: log})
	assert.NilError(t, err)
	transport.Handle(kindEcho, func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	transport.Handle(kindFail, func(context.Context, []byte) ([]byte, error) { return nil, errors.New("no such thing") })
	return transport
}

func newPair(t *testing.T) (*Transport, *Transport) {
	t.Helper()
	a, b := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	t.Cleanup(func() {
		assert.NilError(t, a.Close())
		assert.NilError(t, b.Close())
	})
	return a, b
}

func TestCall(t *testing.T) {
	a, b := newPair(t)
	for _, size := range []int{0, 1, 5000, MaxBody} {
		sent := bytes.Repeat([]byte("x"), size)
		received, err := a.Call(t.Context(), b.Address(), kindEcho, sent)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(sent, received))
	}
	assert.Equal(t, len(a.listConnections()), 1)
}

// TestLargeMessageBehindSmallOne checks that a message larger than the queue limit is still queued behind others. Only
// the message after it is refused.
func TestLargeMessageBehindSmallOne(t *testing.T) {
	a := listen(t, "127.0.0.1:0")
	address, accepted := rawListener(t)
	p, err := a.peer(address)
	assert.NilError(t, err)
	c, _, err := p.connect(t.Context())
	assert.NilError(t, err)
	c.mu.Lock()
	c.writing = true // keeps a writer from starting
	assert.Check(t, c.sendLocked(frame{frameKind: frameProbe}))
	assert.Check(t, c.sendLocked(frame{frameKind: frameRequest, body: make([]byte, MaxBody)}))
	assert.Check(t, errors.Is(c.sendLocked(frame{frameKind: frameProbe}), ErrQueueFull))
	c.mu.Unlock()
	assert.NilError(t, (<-accepted).Close())
	assert.NilError(t, a.Close())
}

func TestErrorsAreTyped(t *testing.T) {
	a, b := newPair(t)
	_, err := a.Call(t.Context(), b.Address(), kindFail, nil)
	var remote *RemoteError
	assert.Assert(t, errors.As(err, &remote))
	assert.Equal(t, remote.Message, "no such thing")

	_, err = a.Call(t.Context(), b.Address(), 99, nil)
	assert.Assert(t, errors.As(err, &remote), "%v", err)

	_, err = a.Call(t.Context(), b.Address(), kindEcho, make([]byte, MaxBody+1))
	assert.ErrorIs(t, err, ErrTooLarge)

	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, free.Close())
	_, err = a.Call(t.Context(), free.Addr().String(), kindEcho, nil)
	assert.ErrorIs(t, err, ErrUnreachable)
}

// TestCallsShareConnection checks that a blocked handler does not delay concurrent calls on the same connection.
func TestCallsShareConnection(t *testing.T) {
	a, b := newPair(t)
	release := make(chan struct{})
	b.Handle(kindWait, func(context.Context, []byte) ([]byte, error) {
		<-release
		return nil, nil
	})
	waited := make(chan error, 1)
	go func() {
		_, err := a.Call(context.Background(), b.Address(), kindWait, nil)
		waited <- err
	}()
	var calls sync.WaitGroup
	for i := range 500 {
		calls.Go(func() {
			sent := fmt.Appendf(nil, "call %d", i)
			received, err := a.Call(context.Background(), b.Address(), kindEcho, sent)
			assert.Check(t, err)
			assert.Check(t, bytes.Equal(sent, received))
		})
	}
	calls.Wait()
	close(release)
	assert.NilError(t, <-waited)
	assert.Equal(t, len(a.listConnections()), 1)
}

// TestSendKeepsOrder checks that inline handlers receive one-way messages in the order of sending, including those sent
// before the connection was established.
func TestSendKeepsOrder(t *testing.T) {
	a, b := newPair(t)
	const count = 200
	received := make(chan uint32, count)
	b.HandleInline(kindNote, func(_ context.Context, body []byte) ([]byte, error) {
		received <- binary.BigEndian.Uint32(body)
		return nil, nil
	})
	for i := range uint32(count) {
		a.Send(b.Address(), kindNote, binary.BigEndian.AppendUint32(nil, i))
	}
	for i := range uint32(count) {
		assert.Equal(t, <-received, i)
	}
}

// TestPeerRestarts checks that the first call after a restart of the peer succeeds on a new connection.
func TestPeerRestarts(t *testing.T) {
	a := listen(t, "127.0.0.1:0")
	b := listen(t, "127.0.0.1:0")
	address := b.Address()
	for range 3 {
		_, err := a.Call(t.Context(), address, kindEcho, nil)
		assert.NilError(t, err)
		assert.NilError(t, b.Close())
		b = listen(t, address)
	}
	assert.NilError(t, a.Close())
	assert.NilError(t, b.Close())
}

// rawListener accepts TCP connections without speaking the protocol and passes them to the test.
func rawListener(t *testing.T) (address string, accepted chan net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepted = make(chan net.Conn, 16)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- connection
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), accepted
}

func TestSilentPeer(t *testing.T) {
	a := listen(t, "127.0.0.1:0")
	a.stallTimeouts = stallTimeouts{probeAfter: 10 * time.Millisecond, stallAfter: 40 * time.Millisecond}
	address, accepted := rawListener(t)
	_, err := a.Call(t.Context(), address, kindEcho, nil)
	assert.ErrorIs(t, err, ErrStalled)
	silent := <-accepted
	frames, err := io.ReadAll(silent)
	assert.Check(t, err)
	assert.Assert(t, len(frames) >= 2*headerSize, "no probe was sent")
	assert.NilError(t, a.Close())
}

// TestSlowHandler checks that a handler may run for longer than stallAfter, because its router keeps answering probes.
func TestSlowHandler(t *testing.T) {
	a, b := newPair(t)
	a.stallTimeouts = stallTimeouts{probeAfter: 10 * time.Millisecond, stallAfter: 100 * time.Millisecond}
	b.Handle(kindWait, func(context.Context, []byte) ([]byte, error) {
		<-time.After(3 * a.stallTimeouts.stallAfter)
		return []byte("late"), nil
	})
	received, err := a.Call(t.Context(), b.Address(), kindWait, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(received), "late")
}

// TestPeerThatDoesNotRead checks that sends to a peer that does not read never block and that its queue stays bounded.
func TestPeerThatDoesNotRead(t *testing.T) {
	a := listen(t, "127.0.0.1:0")
	address, accepted := rawListener(t)
	body := make([]byte, 1<<20)
	for range 200 {
		a.Send(address, kindNote, body)
	}
	connection := <-accepted
	p, err := a.peer(address)
	assert.NilError(t, err)
	_, _, err = p.connect(t.Context())
	assert.NilError(t, err)
	for range 200 {
		a.Send(address, kindNote, body)
	}
	for _, c := range a.listConnections() {
		c.mu.Lock()
		assert.Check(t, len(c.queue) <= maxQueue+len(body)+headerSize, "%d bytes queued", len(c.queue))
		c.mu.Unlock()
	}
	assert.NilError(t, connection.Close())
	assert.NilError(t, a.Close())
}

// TestOtherProtocol checks that a peer is disconnected if it sends another protocol version or announces a body larger
// than MaxBody.
func TestOtherProtocol(t *testing.T) {
	a := listen(t, "127.0.0.1:0")
	frames := [][]byte{
		appendFrame(nil, frame{frameKind: frameRequest}),
		appendFrame(nil, frame{frameKind: frameRequest}),
	}
	frames[0][0] = protocolVersion + 1
	binary.BigEndian.PutUint32(frames[1][7:], MaxBody+1)
	for _, f := range frames {
		connection, err := net.Dial("tcp", a.Address())
		assert.NilError(t, err)
		_, err = connection.Write(f)
		assert.NilError(t, err)
		_, err = io.ReadAll(connection)
		assert.Check(t, err)
		assert.NilError(t, connection.Close())
	}
	assert.NilError(t, a.Close())
}

// TestCancelledCall checks that a call returns when its context is canceled, before the response arrives.
func TestCancelledCall(t *testing.T) {
	a, b := newPair(t)
	entered := make(chan struct{})
	b.Handle(kindWait, func(ctx context.Context, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	_, err := a.Call(ctx, b.Address(), kindWait, nil)
	assert.ErrorIs(t, err, context.Canceled)
}

// TestIdleConnectionsClose checks that idle connections and peers are removed and that a later call dials again.
func TestIdleConnectionsClose(t *testing.T) {
	a, b := newPair(t)
	_, err := a.Call(t.Context(), b.Address(), kindEcho, nil)
	assert.NilError(t, err)
	a.closeIdle(a.now())
	assert.Equal(t, len(a.listConnections()), 1)
	a.closeIdle(a.now() + 2*int64(idleTimeout))
	assert.Equal(t, len(a.listConnections()), 0)
	assert.Equal(t, len(a.listPeers()), 0)
	_, err = a.Call(t.Context(), b.Address(), kindEcho, nil)
	assert.NilError(t, err)
}
