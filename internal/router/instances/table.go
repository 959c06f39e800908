package instances

import (
	"time"

	"pewterrudder/internal/router/protocol"
)

// HeartbeatResult tells what a heartbeat changes.
type HeartbeatResult uint8

const (
	// Stale heartbeats are older than the known version or come from a deregistered instance. They change nothing.
	Stale HeartbeatResult = iota
	// Refreshed heartbeats only prove that the instance is alive.
	Refreshed
	// Changed heartbeats carry a change that must be registered and sent to the other routers.
	Changed
)

// Registration is the information on an instance that routers exchange.
type Registration struct {
	Instance Instance `msgpack:"instance"`
	// Holder is the node that receives the instance's heartbeats and expires it if they cease.
	Holder string `msgpack:"holder"`
}

// Version orders the registrations and removals of one instance, first by Heartbeat, then by Expired.
type Version struct {
	// Heartbeat is the sequence number of the heartbeat, plus 1.
	Heartbeat uint64
	// Expired is 1 for an expiry, which follows the last known heartbeat, otherwise 0.
	Expired uint64
}

const (
	neverExpired     = 0
	expiredBySilence = 1
	// finalHeartbeat is the heartbeat number of a deregistration. No version follows it.
	finalHeartbeat = ^uint64(0)
)

// Newer reports whether v follows other.
func (v Version) Newer(other Version) bool {
	if v.Heartbeat != other.Heartbeat {
		return v.Heartbeat > other.Heartbeat
	}
	return v.Expired > other.Expired
}

// AliveVersion returns the version of a registration by a heartbeat. It is never zero, since the cluster replaces a
// zero version by one of its own.
func AliveVersion(sequence int64) Version {
	return Version{Heartbeat: uint64(max(sequence, 0)) + 1, Expired: neverExpired}
}

// DeregisteredVersion returns the version of a removal at the instance's own request.
func DeregisteredVersion() Version { return Version{Heartbeat: finalHeartbeat} }

// entry is the state of one instance. Entries of removed instances are kept for a while, to reject late registrations.
type entry struct {
	registration Registration
	version      Version
	present      bool
	// lastAliveAt is when the instance was last known to be alive: by a heartbeat, or because its holder was live and
	// had not expired it.
	lastAliveAt time.Duration
	// endedAt is when the instance was removed.
	endedAt time.Duration
}

// Table holds all instances, by id. Times are durations since an arbitrary origin. It is not safe for concurrent use.
type Table struct {
	self    string
	entries map[string]*entry
}

// NewTable returns an empty table for the router with the given node name.
func NewTable(self string) *Table { return &Table{self: self, entries: map[string]*entry{}} }

// CheckHeartbeat records the time of a heartbeat that this router has received and tells what it changes. If the result
// is Changed, the caller must Register the instance.
func (t *Table) CheckHeartbeat(now time.Duration, instance *Instance) HeartbeatResult {
	e := t.entries[instance.ID]
	if e == nil {
		return Changed
	}
	if !AliveVersion(instance.Seq).Newer(e.version) {
		return Stale
	}
	e.lastAliveAt = now
	if !e.present || e.registration.Holder != t.self || !sameAnnouncement(&e.registration.Instance, instance) {
		return Changed
	}
	e.version = AliveVersion(instance.Seq)
	return Refreshed
}

// sameAnnouncement reports whether two heartbeats are equivalent for other routers. ColdMs counts only as zero
// or above zero.
func sameAnnouncement(a, b *Instance) bool {
	if a.Backend != b.Backend || a.Address != b.Address || a.Zone != b.Zone || a.Generation != b.Generation {
		return false
	}
	if a.Slots != b.Slots || a.State != b.State || a.Phase != b.Phase || len(a.Models) != len(b.Models) {
		return false
	}
	if (a.ColdMs > 0) != (b.ColdMs > 0) {
		return false
	}
	for i := range a.Models {
		if !sameModel(&a.Models[i], &b.Models[i]) {
			return false
		}
	}
	return true
}

// sameModel reports whether two heartbeats give the same name, generation and LoRAs of a model.
func sameModel(a, b *protocol.Model) bool {
	if a.Name != b.Name || a.Generation != b.Generation || len(a.LoRAs) != len(b.LoRAs) {
		return false
	}
	for i := range a.LoRAs {
		if a.LoRAs[i] != b.LoRAs[i] {
			return false
		}
	}
	return true
}

// Register applies a registration, whether from this router or from another one. It reports whether the snapshot
// changes visibly. A registration that is not newer than the known version is ignored.
func (t *Table) Register(now time.Duration, version Version, registration Registration) bool {
	e := t.entries[registration.Instance.ID]
	if e == nil {
		e = &entry{}
		t.entries[registration.Instance.ID] = e
	} else if !version.Newer(e.version) {
		return false
	}
	changed := !e.present || !sameAnnouncement(&e.registration.Instance, &registration.Instance)
	e.registration = registration
	e.version = version
	e.present = true
	e.lastAliveAt = now
	return changed
}

// Remove applies the removal of an instance and reports whether the snapshot changes. A removal that is not newer than
// the known version is ignored. A removal of an unknown instance is kept, to reject older registrations.
func (t *Table) Remove(now time.Duration, version Version, id string) bool {
	e := t.entries[id]
	if e == nil {
		t.entries[id] = &entry{version: version, endedAt: now}
		return false
	}
	if !version.Newer(e.version) {
		return false
	}
	wasPresent := e.present
	e.version = version
	e.present = false
	e.endedAt = now
	return wasPresent
}

// ExtendLiveness moves the times of the last signs of life forward by a span in which this router did not run, but not
// beyond now. Without it, instances would expire for heartbeats that the router could not receive.
func (t *Table) ExtendLiveness(now, span time.Duration) {
	for _, e := range t.entries {
		e.lastAliveAt = min(e.lastAliveAt+span, now)
	}
}

// Expiry is the removal of an instance whose heartbeats have ceased.
type Expiry struct {
	ID      string
	Version Version
}

// Expired lists the instances without a sign of life for longer than timeout that this router must expire: its own, and
// with forLostHolders also those whose holder is not live. Heartbeats without changes are known to the holder alone, so
// that the timeout of another holder's instances starts when that holder was last live.
func (t *Table) Expired(now, timeout time.Duration, live func(node string) bool, forLostHolders bool) []Expiry {
	var expired []Expiry
	for id, e := range t.entries {
		isOwn := e.registration.Holder == t.self
		if !isOwn && live(e.registration.Holder) {
			e.lastAliveAt = now
		}
		if !e.present || now-e.lastAliveAt <= timeout {
			continue
		}
		if isOwn || forLostHolders {
			version := Version{Heartbeat: e.version.Heartbeat, Expired: expiredBySilence}
			expired = append(expired, Expiry{ID: id, Version: version})
		}
	}
	return expired
}

// Forget deletes the entries of instances that were removed longer ago than the given time.
func (t *Table) Forget(now, after time.Duration) {
	for id, e := range t.entries {
		if !e.present && now-e.endedAt > after {
			delete(t.entries, id)
		}
	}
}

// Snapshot returns a snapshot of the present instances.
func (t *Table) Snapshot() *Snapshot {
	all := make([]*Instance, 0, len(t.entries))
	for _, e := range t.entries {
		if e.present {
			instance := e.registration.Instance
			all = append(all, &instance)
		}
	}
	return NewSnapshot(all)
}

// Held returns the registration of a present instance whose holder is this router. The last result is false for any
// other instance.
func (t *Table) Held(id string) (Registration, Version, bool) {
	e := t.entries[id]
	if e == nil || !e.present || e.registration.Holder != t.self {
		return Registration{}, Version{}, false
	}
	return e.registration, e.version, true
}
