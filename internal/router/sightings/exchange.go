package sightings

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/relaytree"
	"pewterrudder/internal/router/transport"
)

const (
	// flushInterval is how long a router or collector batches sightings before it sends them.
	flushInterval = 50 * time.Millisecond
	// aliveTimeout is how long after the collector's last message a router assumes to know all recent sightings.
	aliveTimeout = time.Second
	// heartbeatDuration is how long after the last sighting a collector keeps sending empty messages to its zone.
	heartbeatDuration = 2 * time.Second
	// maxPending is the maximum number of sightings in a batch; further ones are dropped.
	maxPending = 4096
	// treeName determines where on the ring the relay tree of each zone begins.
	treeName = "sightings"
)

// Options configures an Exchange.
type Options struct {
	Node      string
	Kind      transport.Kind
	Messenger transport.Messenger
	View      func() *membership.View
	// OnReceive is called with the sightings of all routers, which may include this router's own.
	OnReceive func(now time.Time, sightings []Sighting)
	// Recent returns the recent sightings, which are sent to routers that have just started.
	Recent func(now time.Time) []Sighting
	Log    logrus.FieldLogger
}

// Exchange sends a router's sightings to the other routers and receives theirs. It is safe for concurrent use.
type Exchange struct {
	options Options

	mutex sync.Mutex
	// Sightings since the last flush: ownPending are this router's own. If the router is its zone's collector,
	// zonePending are those of other routers in the zone, and remotePending those from collectors of other zones.
	ownPending     []Sighting
	zonePending    []Sighting
	remotePending  []Sighting
	lastActiveAt   time.Time
	lastReceivedAt time.Time
	// synchronized means that this router has the sightings from before its start, from disk or from another router, or
	// that it has stopped waiting for them.
	synchronized bool
}

// NewExchange returns an exchange without any sightings.
func NewExchange(options Options) *Exchange { return &Exchange{options: options} }

// Run sends the pending sightings in each flushInterval until the context is canceled.
func (e *Exchange) Run(ctx context.Context) {
	periodic.Run(ctx, flushInterval, func() { e.flush(time.Now()) })
}

// Announce sends a sighting to the other routers with the next flush.
func (e *Exchange) Announce(sighting Sighting) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ownPending = appendBounded(e.ownPending, sighting)
}

// Restore passes sightings that an earlier process has saved to this router and the others.
func (e *Exchange) Restore(saved []Sighting) {
	e.receive(saved)
	e.SetSynchronized()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ownPending = appendBounded(e.ownPending, saved...)
}

// SetSynchronized ends the wait for the sightings from before this router's start.
func (e *Exchange) SetSynchronized() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.synchronized = true
}

// Synchronized reports whether the wait for the sightings from before this router's start is over.
func (e *Exchange) Synchronized() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.synchronized
}

// IsCurrent reports whether this router knows the recent sightings of all routers: the wait for those from before its
// start is over, and it has received a message within aliveTimeout.
func (e *Exchange) IsCurrent(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.synchronized && !e.lastReceivedAt.IsZero() && now.Sub(e.lastReceivedAt) < aliveTimeout
}

// Handle handles a message from another router.
func (e *Exchange) Handle(_ context.Context, body []byte) ([]byte, error) {
	m, received, err := decode(body)
	if err != nil {
		return nil, err
	}
	switch m.Stage {
	case toCollector:
		e.collect(&e.zonePending, received)
	case toZone:
		e.collect(&e.remotePending, received)
	case toMembers:
		e.relayToChildren(body)
		e.receive(received)
	case recentRequest:
		if e.Synchronized() {
			e.send(m.From, recentResponse, e.options.Recent(time.Now()))
		}
	case recentResponse:
		e.receive(received)
		e.SetSynchronized()
	}
	return nil, nil
}

func (e *Exchange) collect(into *[]Sighting, received []Sighting) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	*into = appendBounded(*into, received...)
	e.lastActiveAt = time.Now()
}

func (e *Exchange) receive(received []Sighting) {
	now := time.Now()
	e.mutex.Lock()
	e.lastReceivedAt = now
	e.mutex.Unlock()
	e.options.OnReceive(now, received)
}

// requestRecent requests the sightings from before this router's start from a random router of its zone and a random
// one of the fleet. If there is no other router, it ends the wait for them.
func (e *Exchange) requestRecent(view *membership.View) {
	self := view.Self()
	isSelf := func(member membership.Member) bool { return member.Node == self.Node }
	inZone := slices.DeleteFunc(slices.Clone(view.InZone(self.Zone)), isSelf)
	all := slices.DeleteFunc(slices.Clone(view.Live()), isSelf)
	if len(all) == 0 {
		e.SetSynchronized()
		return
	}
	body, err := encodeFrom(self.Address, recentRequest, nil)
	if err != nil {
		e.options.Log.WithError(err).Error("cannot request recent sightings")
		return
	}
	for _, members := range [][]membership.Member{inZone, all} {
		if len(members) > 0 {
			e.options.Messenger.Send(members[rand.IntN(len(members))].Address, e.options.Kind, body)
		}
	}
}

// flush sends the pending sightings to the zone's collector. If this router is the collector, it sends those of its
// zone to the other zones, and all of them down the tree of its zone.
func (e *Exchange) flush(now time.Time) {
	view := e.options.View()
	self := view.Self()
	if !e.Synchronized() {
		e.requestRecent(view)
	}
	collector, found := relaytree.Head(view, self.Zone, treeName)
	if !found {
		return
	}
	if collector.Node != e.options.Node {
		if own := e.drainOwn(); len(own) > 0 {
			e.send(collector.Address, toCollector, own)
		}
		return
	}
	zone, remote, isActive := e.drainCollected(now)
	if len(zone) > 0 {
		e.sendToOtherZones(view, self.Zone, zone)
	}
	if isActive {
		e.distribute(append(zone, remote...))
	}
}

func (e *Exchange) drainOwn() []Sighting {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	own := e.ownPending
	e.ownPending = nil
	return own
}

// drainCollected returns and clears the pending sightings of the zone, including this router's own, and those of other
// zones. isActive reports whether there were any within heartbeatDuration.
func (e *Exchange) drainCollected(now time.Time) (zone, remote []Sighting, isActive bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	zone, remote = append(e.zonePending, e.ownPending...), e.remotePending
	e.ownPending, e.zonePending, e.remotePending = nil, nil, nil
	if len(zone)+len(remote) > 0 {
		e.lastActiveAt = now
	}
	return zone, remote, now.Sub(e.lastActiveAt) < heartbeatDuration
}

func (e *Exchange) sendToOtherZones(view *membership.View, ownZone string, zone []Sighting) {
	for _, other := range view.Zones() {
		if head, found := relaytree.Head(view, other, treeName); found && other != ownZone {
			e.send(head.Address, toZone, zone)
		}
	}
}

// distribute sends sightings down the tree of the zone, and passes them to this router.
func (e *Exchange) distribute(sightings []Sighting) {
	body, err := encode(toMembers, sightings)
	if err != nil {
		e.options.Log.WithError(err).Error("cannot send sightings")
		return
	}
	e.relayToChildren(body)
	e.receive(sightings)
}

func (e *Exchange) relayToChildren(body []byte) {
	for _, child := range relaytree.ChildrenInZone(e.options.View(), treeName, e.options.Node) {
		e.options.Messenger.Send(child.Address, e.options.Kind, body)
	}
}

func (e *Exchange) send(to string, messageStage stage, sightings []Sighting) {
	body, err := encode(messageStage, sightings)
	if err != nil {
		e.options.Log.WithError(err).Error("cannot send sightings")
		return
	}
	e.options.Messenger.Send(to, e.options.Kind, body)
}

// appendBounded appends sightings until the list has maxPending of them, and drops the rest.
func appendBounded(list []Sighting, more ...Sighting) []Sighting {
	room := maxPending - len(list)
	return append(list, more[:min(len(more), max(0, room))]...)
}
