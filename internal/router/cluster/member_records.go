package cluster

import (
	"context"
	"time"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/softstate"
)

// removalSequence is the version sequence of a removed member record. It exceeds every membership status.
const removalSequence = 1 << 32

// memberRecord returns the record that carries an entry. Its version orders entries as package membership does.
func memberRecord(entry membership.Entry) softstate.Record {
	return softstate.Record{
		Kind:    MemberKind,
		Key:     entry.Member.Node,
		Version: softstate.Version{Epoch: entry.Member.Incarnation, Sequence: uint64(entry.Status)},
		Payload: encode(&entry),
	}
}

// publishEntry merges a membership entry and publishes it to the fleet.
func (l *eventLoop) publishEntry(entry membership.Entry) {
	record := memberRecord(entry)
	if !l.cluster.merge(record) {
		return
	}
	l.publish(record)
	l.logEntry(entry)
	if entry.Status == membership.Suspect || entry.Status == membership.Failed {
		l.cluster.sendMemberRecord(entry.Member.Address, record)
	}
	l.perform(l.detector.Merge(entry, time.Now()))
}

// sendMemberRecord sends a record directly to the member that it describes, so that the member can refute it. That
// member may no longer be part of any relay tree.
func (c *Cluster) sendMemberRecord(address string, record softstate.Record) {
	body := encode(&pushMessage{Records: []softstate.Record{record}})
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
		defer cancel()
		_, _ = c.messenger.Call(ctx, address, kindPush, body)
	}()
}

func (l *eventLoop) logEntry(entry membership.Entry) {
	if entry.Status == membership.Alive {
		return
	}
	l.cluster.log.WithField("member", entry.Member.Node).WithField("status", entry.Status.String()).Info("member's status published")
}

// publishRemoval publishes the removal of a member that failed or left long ago.
func (l *eventLoop) publishRemoval(entry membership.Entry) {
	version := softstate.Version{Epoch: entry.Member.Incarnation, Sequence: removalSequence}
	record := softstate.Record{Kind: MemberKind, Key: entry.Member.Node, Version: version, Removed: true}
	if l.cluster.merge(record) {
		l.publish(record)
		l.detector.Remove(entry.Member.Node)
	}
}

// applyMemberRecord passes a merged member record on to the failure detector.
func (l *eventLoop) applyMemberRecord(record softstate.Record) {
	if record.Removed {
		l.applyMemberRemoval(record)
		return
	}
	var entry membership.Entry
	if err := decode(record.Payload, &entry); err != nil {
		l.cluster.log.WithError(err).Warn("undecodable member record dropped")
		return
	}
	l.perform(l.detector.Merge(entry, time.Now()))
}

// applyMemberRemoval drops a removed member. If the removed member is this router, it rejoins with a higher
// incarnation.
func (l *eventLoop) applyMemberRemoval(record softstate.Record) {
	self := l.detector.Self().Member
	if record.Key != self.Node {
		l.detector.Remove(record.Key)
		return
	}
	self.Incarnation = record.Version.Epoch
	l.perform(l.detector.Merge(membership.Entry{Member: self, Status: membership.Left}, time.Now()))
}
