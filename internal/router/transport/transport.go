package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	dialTimeout        = 400 * time.Millisecond
	dialBackoff        = 200 * time.Millisecond // how long one-way messages are dropped after a failed dial
	tcpUserTimeout     = time.Second            // unacknowledged bytes end a connection after this time
	writeTimeout       = 2 * time.Second
	lateTimerThreshold = 200 * time.Millisecond // a timer that fires this late shows that the process was paused
	idleTimeout        = time.Minute
	sweepInterval      = 30 * time.Second

	maxQueue       = 4 << 20 // a message is refused once more than this many bytes are queued for its peer
	writeChunk     = 256 << 10
	maxDialBacklog = 256 // one-way messages held for a pending dial
	maxHandlers    = 256 // handlers running concurrently for one connection
	maxSpareBuffer = 16 << 10
	readBuffer     = 4 << 10
)

// stallTimeouts limit how long a peer may be silent while calls wait for its responses.
type stallTimeouts struct {
	probeAfter time.Duration // silence after which the peer is probed
	stallAfter time.Duration // silence after which the connection is closed
}

var defaultStallTimeouts = stallTimeouts{probeAfter: 350 * time.Millisecond, stallAfter: 700 * time.Millisecond}

// Kind identifies the type of a message and selects its handler.
type Kind uint8

// Handler handles a message. For a call, its results become the response. The handler may retain the body.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Messenger sends one-way messages to other routers. Transport implements it.
type Messenger interface {
	Send(address string, kind Kind, body []byte)
}

// Options configure a transport. A nil Log means the standard logger of logrus.
type Options struct {
	// Address is the "ip:port" to listen on; port 0 picks a free port.
	Address string
	Log     logrus.FieldLogger
	// Dial opens connections to other routers; nil means plain TCP.
	Dial DialFunc
}

// DialFunc opens a connection to an address, with the semantics of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type registration struct {
	handler Handler
	inline  bool
}

// Transport sends and receives messages. Its methods are safe for concurrent use.
type Transport struct {
	log           logrus.FieldLogger
	listener      net.Listener
	dial          DialFunc
	started       time.Time
	stallTimeouts stallTimeouts
	ctx           context.Context
	cancel        context.CancelFunc
	running       sync.WaitGroup

	mu          sync.RWMutex
	handlers    map[Kind]*registration
	peers       map[string]*peer
	connections map[*connection]struct{}
	closed      bool
}

// Listen starts a transport that listens on options.Address.
func Listen(options Options) (*Transport, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: setUserTimeout}
	listener, err := config.Listen(context.Background(), "tcp", options.Address)
	if err != nil {
		return nil, errors.Wrap(err, "transport")
	}
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	if options.Dial == nil {
		options.Dial = newDialer().DialContext
	}
	t := &Transport{
		log:           options.Log,
		listener:      listener,
		dial:          options.Dial,
		started:       time.Now(),
		stallTimeouts: defaultStallTimeouts,
		handlers:      make(map[Kind]*registration),
		peers:         make(map[string]*peer),
		connections:   make(map[*connection]struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.running.Add(2)
	go t.accept()
	go t.sweep()
	return t, nil
}

// Address returns the address on which the transport listens.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Handle registers the handler of a message kind. Each message is handled on its own goroutine.
func (t *Transport) Handle(kind Kind, handler Handler) {
	t.register(kind, &registration{handler: handler})
}

// HandleInline registers a handler that must not block. It runs on the goroutine that reads the connection, so messages
// of one peer are handled in the order of their arrival.
func (t *Transport) HandleInline(kind Kind, handler Handler) {
	t.register(kind, &registration{handler: handler, inline: true})
}

func (t *Transport) register(kind Kind, r *registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[kind] = r
}

func (t *Transport) handler(kind Kind) *registration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.handlers[kind]
}

// Call sends a message to the transport at address and waits for the response. An error of the handler is returned as a
// *RemoteError.
func (t *Transport) Call(ctx context.Context, address string, kind Kind, body []byte) ([]byte, error) {
	if len(body) > MaxBody {
		return nil, ErrTooLarge
	}
	p, err := t.peer(address)
	if err != nil {
		return nil, err
	}
	connection, dialed, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	result, err := connection.call(ctx, kind, body)
	if dialed || !isRetryable(err) {
		return result, err
	}
	if connection, _, err = p.connect(ctx); err != nil { // the connection may date from before a restart of the peer
		return nil, err
	}
	return connection.call(ctx, kind, body)
}

// isRetryable reports whether a call that failed on an existing connection should be retried.
func isRetryable(err error) bool {
	return errors.Is(err, ErrBroken) || errors.Is(err, ErrStalled)
}

// Send sends a one-way message without blocking. The message is dropped if the peer is unreachable, if its queue is full
// or if the body exceeds MaxBody.
func (t *Transport) Send(address string, kind Kind, body []byte) {
	if len(body) > MaxBody {
		return
	}
	if p, err := t.peer(address); err == nil {
		p.send(frame{frameKind: frameOneWay, kind: kind, body: body})
	}
}

func (t *Transport) peer(address string) (*peer, error) {
	t.mu.RLock()
	p, closed := t.peers[address], t.closed
	t.mu.RUnlock()
	if closed {
		return nil, ErrClosed
	}
	if p != nil {
		return p, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p = t.peers[address]; p == nil {
		p = &peer{transport: t, address: address}
		t.peers[address] = p
	}
	return p, nil
}

// startConnection registers a new connection and starts reading from it.
func (t *Transport) startConnection(socket net.Conn) (*connection, error) {
	c := newConnection(t, socket)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = socket.Close()
		return nil, ErrClosed
	}
	t.connections[c] = struct{}{}
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		c.read()
	}()
	return c, nil
}

func (t *Transport) removeConnection(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.connections, c)
}

// accept accepts connections of peers until the transport is closed.
func (t *Transport) accept() {
	defer t.running.Done()
	for {
		socket, err := t.listener.Accept()
		if err == nil {
			setUserTimeoutOnAccepted(socket)
			_, _ = t.startConnection(socket)
			continue
		}
		if t.ctx.Err() != nil {
			return
		}
		t.log.WithError(err).Warn("accepting a peer's connection failed")
		time.Sleep(acceptRetryDelay)
	}
}

// acceptRetryDelay is the delay after a failed accept, which is mostly caused by a lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// sweep periodically closes idle connections.
func (t *Transport) sweep() {
	defer t.running.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.closeIdle(t.now())
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Transport) closeIdle(now int64) {
	for _, p := range t.listPeers() {
		if p.closeIfIdle(now, idleTimeout) {
			t.removePeer(p)
		}
	}
	for _, c := range t.listConnections() {
		if now-c.lastActivity() > int64(2*idleTimeout) { // an accepted connection, whose dialer may be gone without closing it
			c.close(errors.Wrap(ErrBroken, "idle"))
		}
	}
}

// removePeer removes an idle peer. Callers that still hold a reference may go on using it.
func (t *Transport) removePeer(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, p.address)
}

func (t *Transport) listPeers() []*peer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]*peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, p)
	}
	return list
}

func (t *Transport) listConnections() []*connection {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]*connection, 0, len(t.connections))
	for c := range t.connections {
		list = append(list, c)
	}
	return list
}

// now returns the monotonic time since the start of the transport, in nanoseconds.
func (t *Transport) now() int64 { return int64(time.Since(t.started)) }

// Close closes the listener and all connections, and waits for the goroutines that read from them.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	err := t.listener.Close()
	for _, c := range t.listConnections() {
		c.close(ErrClosed)
	}
	t.running.Wait()
	return errors.Wrap(err, "transport")
}
