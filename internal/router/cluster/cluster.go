// Package cluster implements the membership of the routers and the replication of versioned soft-state records among
// them. A router discovers the others through seed addresses.
//
// Records are multicast along the relay trees of package relaytree. Each relay acknowledges them, and a parent sends
// directly to the children of a child that doesn't. Anti-entropy repairs what is lost: heartbeats carry a hash of the
// sender's table, and two routers whose hashes keep differing exchange the records that either lacks. One event loop
// goroutine runs the failure detection and the exchange schedule; readers get immutable snapshots.
package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/softstate"
	"pewterrudder/internal/router/transport"
)

// MemberKind is the kind of the membership records, one for each member. All other kinds belong to the callers.
const MemberKind softstate.Kind = 0

// Messenger sends and receives messages. *transport.Transport implements it.
type Messenger interface {
	Handle(kind transport.Kind, handler transport.Handler)
	HandleInline(kind transport.Kind, handler transport.Handler)
	Call(ctx context.Context, address string, kind transport.Kind, body []byte) ([]byte, error)
	Send(address string, kind transport.Kind, body []byte)
}

// Options configures a Cluster.
type Options struct {
	// Self describes the local member. An incarnation of 0 is replaced by one made of the clock and random bits.
	Self membership.Member
	// Seeds are the transport addresses that are tried to find the first other member.
	Seeds []string
	// FirstStart means that the whole fleet starts for the first time, so a router may start up without an answer from
	// any seed.
	FirstStart bool
	Transport  Messenger
	// Persist, if not nil, returns nil once the records, as far as they must outlast a restart, are on this router's disk.
	// The router confirms records only after that.
	Persist func(ctx context.Context, records []softstate.Record) error
	Log     logrus.FieldLogger
}

// Cluster is the local router's view of the fleet and its connection to it. It is safe for concurrent use.
type Cluster struct {
	log        logrus.FieldLogger
	messenger  Messenger
	persist    func(ctx context.Context, records []softstate.Record) error
	firstStart bool
	epoch      uint64
	seeds      atomic.Pointer[[]string]
	view       atomic.Pointer[membership.View]
	events     chan event
	dispatcher *dispatcher
	ctx        context.Context
	cancel     context.CancelFunc
	stopped    chan struct{} // closed when the event loop has returned
	goroutines sync.WaitGroup

	synchronized     chan struct{}
	synchronizedOnce sync.Once

	tableMu sync.RWMutex
	table   *softstate.Table

	pendingRelays   sync.WaitGroup // relay calls that have not returned
	recentTakeovers atomic.Int32   // takeovers within the last takeoverWindow

	loop eventLoop
}

// New returns a cluster that registers its message handlers but sends nothing before Start.
func New(options Options) *Cluster {
	if options.Self.Incarnation == 0 {
		options.Self.Incarnation = drawIncarnation(time.Now())
	}
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	c := &Cluster{
		log:          options.Log,
		messenger:    options.Transport,
		persist:      options.Persist,
		firstStart:   options.FirstStart,
		epoch:        options.Self.Incarnation,
		events:       make(chan event, eventQueueSize),
		dispatcher:   newDispatcher(),
		stopped:      make(chan struct{}),
		synchronized: make(chan struct{}),
		table:        softstate.NewTable(),
	}
	if c.persist == nil {
		c.persist = func(context.Context, []softstate.Record) error { return nil }
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.loop = newEventLoop(c, options.Self, time.Now())
	c.view.Store(c.loop.detector.View())
	c.SetSeeds(options.Seeds)
	c.registerHandlers()
	return c
}

// eventQueueSize is the capacity of the event loop's queue.
const eventQueueSize = 1024

// drawIncarnation returns an incarnation that normally exceeds those of earlier starts. If the clock went back, the
// router raises it when it receives a higher incarnation of itself.
func drawIncarnation(now time.Time) uint64 {
	const randomBits = 20
	return uint64(now.UnixMilli())<<randomBits | rand.Uint64N(1<<randomBits)
}

// Start starts the cluster's goroutines and joins the fleet through the seeds.
func (c *Cluster) Start() {
	c.goroutines.Add(3)
	go c.runEventLoop()
	go c.runDispatcher()
	go c.join()
}

// Stop announces that this router leaves the fleet, waits up to leaveTimeout for the announcement to be relayed, and
// then stops the cluster's goroutines. It doesn't close the transport.
func (c *Cluster) Stop() {
	leaveSent := make(chan struct{})
	c.post(leaveEvent{done: leaveSent})
	select {
	case <-leaveSent:
	case <-time.After(leaveTimeout):
	}
	c.cancel()
	c.goroutines.Wait()
}

// leaveTimeout is how long Stop waits for the leave message to be relayed.
const leaveTimeout = 400 * time.Millisecond

// Publish merges the record and sends it to all members. A zero version is replaced by one above every known version of
// the key. The caller must not modify the payload afterwards.
func (c *Cluster) Publish(record softstate.Record) {
	record, merged := c.mergeLocal(record)
	if merged {
		c.post(publishEvent{record: record})
	}
}

// Restore merges records that an earlier process of this router has kept, and sends those that are news to the others.
func (c *Cluster) Restore(records []softstate.Record) { c.mergeAndWait(records) }

// Watch registers a callback for each record of the kind that supersedes the one in the table, including those that
// this router publishes. Callbacks run in merge order on a single goroutine. Watch must be called before Start.
func (c *Cluster) Watch(kind softstate.Kind, callback func(softstate.Record)) {
	c.dispatcher.watch(kind, callback)
}

// OnView registers a callback for new views; it runs on the goroutine of the Watch callbacks, and views that a newer
// one supersedes first are skipped. OnView must be called before Start.
func (c *Cluster) OnView(callback func(*membership.View)) { c.dispatcher.onView(callback) }

// Records returns the records of a kind, without the removed ones, ordered by key.
func (c *Cluster) Records(kind softstate.Kind) []softstate.Record {
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	return c.table.Records(kind)
}

// Get returns the record of a key, even if it is marked as removed.
func (c *Cluster) Get(kind softstate.Kind, key string) (softstate.Record, bool) {
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	return c.table.Get(kind, key)
}

// View returns the current snapshot of the members.
func (c *Cluster) View() *membership.View { return c.view.Load() }

// UpdateSelf changes the local member and publishes it. The change is applied asynchronously on the event loop.
func (c *Cluster) UpdateSelf(change func(*membership.Member)) { c.post(updateEvent{change: change}) }

// Synchronized returns a channel that is closed once a peer's whole table has been merged, or, at the fleet's first
// start, when no seed has answered. It is closed as well when the cluster stops first.
func (c *Cluster) Synchronized() <-chan struct{} { return c.synchronized }

// SetSeeds replaces the seed addresses.
func (c *Cluster) SetSeeds(seeds []string) {
	list := slices.Clone(seeds)
	c.seeds.Store(&list)
}

func (c *Cluster) markSynchronized() {
	c.synchronizedOnce.Do(func() { close(c.synchronized) })
}
