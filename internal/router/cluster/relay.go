package cluster

import (
	"context"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/relaytree"
	"pewterrudder/internal/router/softstate"
)

const (
	// relayTimeout is how long a child may take to acknowledge, in addition to the transfer time.
	relayTimeout = 350 * time.Millisecond
	// stallThreshold is how late a timeout must fire to show that this router itself was stalled.
	stallThreshold = 100 * time.Millisecond
	// maxTakeovers bounds the number of children whose subtrees are taken over within takeoverWindow.
	maxTakeovers   = 12
	takeoverWindow = 500 * time.Millisecond
	// largePayloadBytes is the payload size above which a record is announced, instead of sent, to routers that may
	// hold it already.
	largePayloadBytes = 8 << 10
	// relayBytesPerMillisecond is the lowest expected bandwidth of a connection.
	relayBytesPerMillisecond = 2000
)

// relayKey identifies a batch of records: the origin of its relay tree, and whether it repairs records that were lost.
type relayKey struct {
	origin string
	repair bool
}

// publish queues a record that this router publishes for its own relay tree.
func (l *eventLoop) publish(record softstate.Record) {
	l.relayed[record.ID()] = record.Version
	l.enqueue(relayKey{origin: l.detector.Self().Member.Node}, record)
}

// enqueue queues a record for this router's children in the relay tree.
func (l *eventLoop) enqueue(key relayKey, record softstate.Record) {
	pending := l.pendingGroup(key)
	pending.Records = append(pending.Records, record)
}

// enqueueSummary announces a large record, without its payload, to children that may hold it already.
func (l *eventLoop) enqueueSummary(key relayKey, record softstate.Record) {
	pending := l.pendingGroup(key)
	summary := softstate.Summary{Kind: record.Kind, Key: record.Key, Version: record.Version}
	pending.Announced = append(pending.Announced, summary)
}

// pendingGroup returns the group that is sent with the next flush, and schedules the flush.
func (l *eventLoop) pendingGroup(key relayKey) *group {
	if !l.flushScheduled {
		l.flushScheduled = true
		l.flushTimer.Reset(max(flushDelay, minFlushInterval-time.Since(l.lastFlush)))
	}
	pending := l.outgoing[key]
	if pending == nil {
		pending = &group{Origin: key.origin, Repair: key.repair}
		l.outgoing[key] = pending
	}
	return pending
}

// mergeRelayed merges a record from the relay tree and relays it once.
func (l *eventLoop) mergeRelayed(key relayKey, record softstate.Record) {
	merged := l.mergeReceived(record)
	if key.repair {
		if merged {
			l.enqueue(key, record)
		}
		return
	}
	if merged || l.isUnrelayed(record) {
		l.relayed[record.ID()] = record.Version
		l.enqueue(key, record)
	}
}

// isUnrelayed reports whether the table holds exactly this version, but received it through an exchange or a repair, so
// that routers further down the tree may lack it.
func (l *eventLoop) isUnrelayed(record softstate.Record) bool {
	if l.relayed[record.ID()].Compare(record.Version) >= 0 {
		return false
	}
	held, known := l.cluster.Get(record.Kind, record.Key)
	return known && held.Version == record.Version
}

// mergeExchanged merges a record from an exchange. Other routers may lack it too, so it is relayed along this router's
// own tree, where each branch stops at the first router that holds the record already.
func (l *eventLoop) mergeExchanged(record softstate.Record) {
	if !l.mergeReceived(record) {
		return
	}
	repair := relayKey{origin: l.detector.Self().Member.Node, repair: true}
	if len(record.Payload) > largePayloadBytes {
		l.enqueueSummary(repair, record)
		return
	}
	l.enqueue(repair, record)
}

// handleAnnouncement starts an exchange with the sender if this router lacks the announced record.
func (l *eventLoop) handleAnnouncement(sender string, summary softstate.Summary) {
	held, known := l.cluster.Get(summary.Kind, summary.Key)
	if !known || held.Version.Compare(summary.Version) < 0 {
		l.startFreshExchange(sender)
	}
}

// mergeReceived merges a record that another router sent, and reports whether it was newer.
func (l *eventLoop) mergeReceived(record softstate.Record) bool {
	if !l.cluster.merge(record) {
		return false
	}
	if record.Kind == MemberKind {
		l.applyMemberRecord(record)
	}
	return true
}

// childDelivery holds what is sent to one child.
type childDelivery struct {
	child  membership.Member
	groups []group
}

// flush sends the queued records to this router's children.
func (l *eventLoop) flush() {
	l.flushScheduled = false
	l.lastFlush = time.Now()
	l.cluster.relayToChildren(l.detector.View(), l.detector.Self().Member.Node, l.drainOutgoing())
}

func (l *eventLoop) drainOutgoing() []group {
	groups := make([]group, 0, len(l.outgoing))
	for _, pending := range l.outgoing {
		pending.Records = dropSuperseded(pending.Records)
		groups = append(groups, *pending)
	}
	clear(l.outgoing)
	return groups
}

// dropSuperseded keeps only the last record of each key.
func dropSuperseded(records []softstate.Record) []softstate.Record {
	newest := make(map[softstate.ID]int, len(records))
	for i, record := range records {
		newest[record.ID()] = i
	}
	if len(newest) == len(records) {
		return records
	}
	list := make([]softstate.Record, 0, len(newest))
	for i, record := range records {
		if newest[record.ID()] == i {
			list = append(list, record)
		}
	}
	return list
}

// relayToChildren sends the groups to the children that the node has in the trees of their origins. The node is this
// router, or a child that didn't acknowledge.
func (c *Cluster) relayToChildren(view *membership.View, node string, groups []group) {
	encoded := make(map[string][]byte) // several children often get the same groups
	for _, d := range groupByChild(view, node, groups) {
		key := d.groupsKey()
		body, found := encoded[key]
		if !found {
			body = encode(&relayMessage{Sender: view.Self().Address, Groups: d.groups})
			encoded[key] = body
		}
		c.pendingRelays.Add(1)
		go c.relay(view, d, body)
	}
}

func (d childDelivery) groupsKey() string {
	var key strings.Builder
	for _, g := range d.groups {
		key.WriteString(g.Origin)
		key.WriteString(strconv.FormatBool(g.Repair))
		key.WriteByte(0)
	}
	return key.String()
}

// groupByChild collects, for each child of the node, the groups that it is sent.
func groupByChild(view *membership.View, node string, groups []group) []*childDelivery {
	byChild := make(map[string]*childDelivery)
	var list []*childDelivery
	for _, g := range groups {
		for _, child := range relaytree.Children(view, g.Origin, node) {
			d := byChild[child.Node]
			if d == nil {
				d = &childDelivery{child: child}
				byChild[child.Node] = d
				list = append(list, d)
			}
			d.groups = append(d.groups, g)
		}
	}
	return list
}

// relay sends the encoded groups to one child, and takes over its children if it doesn't acknowledge.
func (c *Cluster) relay(view *membership.View, d *childDelivery, body []byte) {
	defer c.pendingRelays.Done()
	timeout := relayTimeout + time.Duration(len(body)/relayBytesPerMillisecond)*time.Millisecond
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	started := time.Now()
	_, err := c.messenger.Call(ctx, d.child.Address, kindRelay, body)
	if err == nil || c.ctx.Err() != nil {
		return
	}
	stalled := time.Since(started) > timeout+stallThreshold
	if !stalled {
		c.takeOver(view, d)
	}
}

// takeOver sends directly to the children of a child that didn't acknowledge. The number of takeovers is bounded: if
// many children are silent, the fault may lie with this router, and anti-entropy delivers the rest.
func (c *Cluster) takeOver(view *membership.View, d *childDelivery) {
	if c.recentTakeovers.Add(1) <= maxTakeovers {
		c.relayToChildren(view, d.child.Node, d.groups)
	}
	time.AfterFunc(takeoverWindow, func() { c.recentTakeovers.Add(-1) })
}
