package cluster

import (
	"slices"
	"time"

	"pewterrudder/internal/router/softstate"
)

// merge adds a record to the table and reports whether it superseded what the table held.
func (c *Cluster) merge(record softstate.Record) bool {
	c.tableMu.Lock()
	defer c.tableMu.Unlock()
	return c.mergeLocked(record)
}

func (c *Cluster) mergeLocked(record softstate.Record) bool {
	now := time.Now()
	if !c.table.Merge(record, now) {
		return false
	}
	c.dispatcher.addRecord(record)
	return true
}

// mergeLocal merges a record that this router publishes, and assigns a version if it has none.
func (c *Cluster) mergeLocal(record softstate.Record) (softstate.Record, bool) {
	c.tableMu.Lock()
	defer c.tableMu.Unlock()
	if record.Version.IsZero() {
		record.Version = c.nextVersionLocked(record.ID())
	}
	return record, c.mergeLocked(record)
}

// nextVersionLocked returns a version above every known version of the key. It normally also exceeds what this router
// published before its last restart, since its epoch is the incarnation.
func (c *Cluster) nextVersionLocked(id softstate.ID) softstate.Version {
	first := softstate.Version{Epoch: c.epoch, Sequence: 1}
	held, known := c.table.Get(id.Kind, id.Key)
	if known && held.Version.Compare(first) >= 0 {
		return held.Version.Next()
	}
	return first
}

// settleTime is the time that the relay tree needs to deliver a record to all members.
const settleTime = 80 * time.Millisecond

func (c *Cluster) tableHash() uint64 {
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	return c.table.Hash()
}

// settled reports whether the table has not changed for settleTime.
func (c *Cluster) settled() bool {
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	return time.Since(c.table.LastChange()) >= settleTime
}

// hashRelation says how the hash of another router's table compares with the hashes of the local table.
type hashRelation int

const (
	hashUnknown hashRelation = iota
	hashRecent               // the local table had this hash at one of its latest changes
	hashEqual
)

func (c *Cluster) compareHash(hash uint64) hashRelation {
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	switch {
	case hash == c.table.Hash():
		return hashEqual
	case c.table.HadRecentHash(hash):
		return hashRecent
	}
	return hashUnknown
}

// withoutFreshLargeLocked drops the large records that were merged so recently that the relay tree may still be
// delivering them to the peer.
func (c *Cluster) withoutFreshLargeLocked(records []softstate.Record) []softstate.Record {
	return slices.DeleteFunc(records, func(record softstate.Record) bool {
		mergedAt, _ := c.table.MergedAt(record.ID())
		return len(record.Payload) > largePayloadBytes && time.Since(mergedAt) < largeSettleTime
	})
}

// largeSettleTime is the settle time of records above largePayloadBytes.
const largeSettleTime = 2 * settleTime
