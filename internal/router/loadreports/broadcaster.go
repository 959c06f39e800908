package loadreports

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/relaytree"
	"pewterrudder/internal/router/transport"
)

const (
	// batchDelay is how long reports are collected before they are sent in one message.
	batchDelay = 20 * time.Millisecond
	// maxOrigins is the maximum number of origins whose last sequence is stored; when it is reached, all are cleared.
	maxOrigins = 4096
)

// Options configures a Broadcaster.
type Options struct {
	Node      string
	Kind      transport.Kind
	Messenger transport.Messenger
	View      func() *membership.View
	// OnReport receives each report from another router.
	OnReport func(id string, report *protocol.Report)
	Log      logrus.FieldLogger
}

// origin identifies a process of a router.
type origin struct {
	node  string
	epoch uint64
}

// Broadcaster sends this router's reports to all other routers and relays theirs. It is safe for concurrent use.
type Broadcaster struct {
	options Options
	epoch   uint64

	mu            sync.Mutex
	sequence      uint64
	pending       []figures
	lastSequences map[origin]uint64
}

// NewBroadcaster returns a broadcaster with a new random epoch.
func NewBroadcaster(options Options) *Broadcaster {
	return &Broadcaster{options: options, epoch: rand.Uint64(), lastSequences: map[origin]uint64{}}
}

// Broadcast sends a report to all other routers, in one message with the reports that follow within batchDelay.
func (s *Broadcaster) Broadcast(id string, report *protocol.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, figuresOf(id, report))
	if len(s.pending) == 1 {
		time.AfterFunc(batchDelay, s.flush)
	}
}

// flush sends the pending reports.
func (s *Broadcaster) flush() {
	body, err := s.drainPending().encode()
	if err != nil {
		s.options.Log.WithError(err).Error("cannot send load reports")
		return
	}
	s.relay(s.options.Node, body)
}

// drainPending returns the next message with the pending reports, and clears them.
func (s *Broadcaster) drainPending() *message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	reports := s.pending
	s.pending = nil
	return &message{Origin: s.options.Node, Epoch: s.epoch, Sequence: s.sequence, Reports: reports}
}

// relay sends a message to this router's children in the relay tree of the node that it originates from.
func (s *Broadcaster) relay(node string, body []byte) {
	for _, child := range relaytree.Children(s.options.View(), node, s.options.Node) {
		s.options.Messenger.Send(child.Address, s.options.Kind, body)
	}
}

// Handle handles a message from another router and relays it. It is a transport.Handler that doesn't block.
func (s *Broadcaster) Handle(_ context.Context, body []byte) ([]byte, error) {
	received, err := decode(body)
	if err != nil {
		return nil, err
	}
	if !s.recordIfNewer(received) {
		return nil, nil
	}
	s.relay(received.Origin, body)
	for i := range received.Reports {
		s.options.OnReport(received.Reports[i].ID, received.Reports[i].report())
	}
	return nil, nil
}

// recordIfNewer reports whether a message is newer than all previous ones from its origin, and if so records its
// sequence. It reports false for this router's own messages.
func (s *Broadcaster) recordIfNewer(received *message) bool {
	if received.Origin == s.options.Node {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	messageOrigin := origin{received.Origin, received.Epoch}
	if received.Sequence <= s.lastSequences[messageOrigin] {
		return false
	}
	if len(s.lastSequences) >= maxOrigins {
		clear(s.lastSequences)
	}
	s.lastSequences[messageOrigin] = received.Sequence
	return true
}
