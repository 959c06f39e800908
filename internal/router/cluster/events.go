package cluster

import (
	"time"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/softstate"
)

// event is a piece of work for the event loop.
type event interface{ apply(l *eventLoop) }

// post queues an event. It blocks while the queue is full, and drops the event if the cluster stops.
func (c *Cluster) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

// publishEvent relays a record that this router published and has merged already.
type publishEvent struct{ record softstate.Record }

func (e publishEvent) apply(l *eventLoop) {
	l.publish(e.record)
}

// relayEvent carries records that a parent in the relay tree sent.
type relayEvent struct {
	sender string
	groups []group
}

func (e relayEvent) apply(l *eventLoop) {
	for _, g := range e.groups {
		for _, record := range g.Records {
			l.mergeRelayed(relayKey{origin: g.Origin, repair: g.Repair}, record)
		}
		for _, summary := range g.Announced {
			l.handleAnnouncement(e.sender, summary)
		}
	}
}

// mergeEvent carries records that a peer sent outside the relay tree: in an exchange, a push or a confirmation. If
// done is not nil, it is closed when the records are merged.
type mergeEvent struct {
	records []softstate.Record
	done    chan struct{}
}

func (e mergeEvent) apply(l *eventLoop) {
	for _, record := range e.records {
		l.mergeExchanged(record)
	}
	if e.done != nil {
		close(e.done)
	}
}

// heartbeatEvent carries a received heartbeat.
type heartbeatEvent struct {
	heartbeat  heartbeat
	fromDigest bool // it came with a digest request: the sender is comparing the tables
}

func (e heartbeatEvent) apply(l *eventLoop) {
	suspected := l.detector.RecordAlive(e.heartbeat.Node, e.heartbeat.Incarnation, time.Now())
	if !e.fromDigest {
		l.checkTableHash(e.heartbeat, suspected)
	}
}

// aliveEvent reports that a probed member answered.
type aliveEvent struct {
	node        string
	incarnation uint64
}

func (e aliveEvent) apply(l *eventLoop) { l.detector.RecordAlive(e.node, e.incarnation, time.Now()) }

// exchangeDoneEvent reports the outcome of an exchange.
type exchangeDoneEvent struct {
	address string
	err     error
}

func (e exchangeDoneEvent) apply(l *eventLoop) { l.finishExchange(e.address, e.err) }

// updateEvent changes the local member.
type updateEvent struct{ change func(*membership.Member) }

func (e updateEvent) apply(l *eventLoop) { l.publishEntry(l.detector.UpdateSelf(e.change)) }

// leaveEvent announces that this router leaves. done is closed when all relay calls have returned.
type leaveEvent struct{ done chan struct{} }

func (e leaveEvent) apply(l *eventLoop) {
	l.publishEntry(l.detector.Leave())
	l.flush()
	go func() {
		l.cluster.pendingRelays.Wait()
		close(e.done)
	}()
}
