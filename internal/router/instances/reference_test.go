package instances

import (
	"cmp"
	"slices"
	"time"

	"pewterrudder/internal/router/protocol"
)

// referenceEvent is an event of one instance, or of the whole table if id is empty.
type referenceEvent struct {
	at       time.Duration
	id       string
	version  Version
	instance *Instance // nil: the instance was removed
	holder   string

	pausedFor   time.Duration   // time for which the router did not run
	liveNodes   map[string]bool // nodes that were live when the silent instances were listed; nil: they were not listed
	forgetAfter time.Duration   // older removals were forgotten; 0: none
}

// referenceEntry is the state of one instance that follows from the events.
type referenceEntry struct {
	known       bool
	present     bool
	version     Version
	instance    Instance
	holder      string
	lastAliveAt time.Duration
	endedAt     time.Duration
}

// referenceTable is a simple implementation of Table: it keeps all events and goes through all of them for each result.
type referenceTable struct {
	self   string
	events []referenceEvent
}

func (m *referenceTable) add(event referenceEvent) { m.events = append(m.events, event) }

// entry computes the state of one instance.
func (m *referenceTable) entry(id string) referenceEntry {
	var entry referenceEntry
	for i := range m.events {
		event := &m.events[i]
		if event.id == id {
			entry = entry.applyOwn(event)
		} else if event.id == "" {
			entry = entry.applyGlobal(event, m.self)
		}
	}
	return entry
}

// applyOwn applies an event of the instance if it is newer than all before.
func (e referenceEntry) applyOwn(event *referenceEvent) referenceEntry {
	if e.known && !isLater(event.version, e.version) {
		return e
	}
	e.known = true
	e.version = event.version
	e.present = event.instance != nil
	if !e.present {
		e.endedAt = event.at
		return e
	}
	e.instance = *event.instance
	e.holder = event.holder
	e.lastAliveAt = event.at
	return e
}

// applyGlobal applies an event of the whole table.
func (e referenceEntry) applyGlobal(event *referenceEvent, self string) referenceEntry {
	if e.known && !e.present && event.forgetAfter > 0 && event.at-e.endedAt > event.forgetAfter {
		return referenceEntry{}
	}
	if e.holder != self && event.liveNodes[e.holder] {
		e.lastAliveAt = event.at
	}
	if event.pausedFor > 0 {
		e.lastAliveAt = min(event.at, e.lastAliveAt+event.pausedFor)
	}
	return e
}

// isLater reports whether version a follows b.
func isLater(a, b Version) bool {
	return cmp.Or(cmp.Compare(a.Heartbeat, b.Heartbeat), cmp.Compare(a.Expired, b.Expired)) > 0
}

// heartbeatResult returns the expected result of a heartbeat at this router.
func (m *referenceTable) heartbeatResult(instance *Instance) HeartbeatResult {
	entry := m.entry(instance.ID)
	switch {
	case entry.known && !isLater(AliveVersion(instance.Seq), entry.version):
		return Stale
	case entry.present && entry.holder == m.self && entry.instance.State == instance.State &&
		entry.instance.Address == instance.Address:
		return Refreshed
	}
	return Changed
}

// present describes the present instances.
func (m *referenceTable) present(ids []string) []string {
	var list []string
	for _, id := range ids {
		if entry := m.entry(id); entry.present {
			list = append(list, describeInstance(id, &entry.instance, entry.holder))
		}
	}
	return list
}

// expired lists the instances that this router must expire.
func (m *referenceTable) expired(ids []string, now, timeout time.Duration, live map[string]bool, forLostHolders bool) []Expiry {
	var list []Expiry
	for _, id := range ids {
		entry := m.entry(id)
		isLost := forLostHolders && !live[entry.holder]
		if entry.present && now-entry.lastAliveAt > timeout && (entry.holder == m.self || isLost) {
			list = append(list, Expiry{ID: id, Version: Version{Heartbeat: entry.version.Heartbeat, Expired: 1}})
		}
	}
	return list
}

// describeInstance formats the parts of a registration that the tests compare.
func describeInstance(id string, instance *Instance, holder string) string {
	return id + " " + instance.Address + " " + instance.State + " " + holder
}

// describeTable describes the registrations of a table.
func describeTable(table *Table) []string {
	var list []string
	for _, registration := range table.Registrations() {
		list = append(list, describeInstance(registration.Instance.ID, &registration.Instance, registration.Holder))
	}
	return list
}

// describeSnapshot describes the instances in the table's snapshot.
func describeSnapshot(table *Table, ids []string) []string {
	var list []string
	snapshot := table.Snapshot()
	for _, id := range ids {
		if instance := snapshot.Get(id); instance != nil {
			list = append(list, describeInstance(id, instance, ""))
		}
	}
	return list
}

// sortByID sorts expiries by id and returns the same slice.
func sortByID(list []Expiry) []Expiry {
	slices.SortFunc(list, func(a, b Expiry) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

var testStates = []string{protocol.StateReady, protocol.StateDraining}
