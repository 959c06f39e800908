// Package instances keeps the table of model instances, which register by heartbeats. The table reads no clock: times
// are passed as arguments. Readers use immutable snapshots.
package instances

import (
	"slices"

	"pewterrudder/internal/router/protocol"
)

// Instance describes one incarnation of a model instance, as given in its heartbeats.
type Instance struct {
	ID         string           `msgpack:"id"`
	Backend    string           `msgpack:"backend"`
	Address    string           `msgpack:"address"`
	Zone       string           `msgpack:"zone"`
	Generation string           `msgpack:"generation"`
	Slots      int              `msgpack:"slots"`
	State      string           `msgpack:"state"`
	ColdMs     float64          `msgpack:"cold_ms"`
	Phase      string           `msgpack:"phase"`
	Models     []protocol.Model `msgpack:"models"`
	Seq        int64            `msgpack:"seq"`
}

// Ready reports whether new requests may be sent to the instance.
func (i *Instance) Ready() bool { return i.State == protocol.StateReady }

// Snapshot is an immutable view of the table. The zero value is empty.
type Snapshot struct {
	byID      map[string]*Instance
	byBackend map[string][]*Instance
}

// NewSnapshot returns a snapshot of the given instances, which must not be modified afterwards.
func NewSnapshot(all []*Instance) *Snapshot {
	s := &Snapshot{byID: map[string]*Instance{}, byBackend: map[string][]*Instance{}}
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b *Instance) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
	for _, instance := range sorted {
		s.byID[instance.ID] = instance
		s.byBackend[instance.Backend] = append(s.byBackend[instance.Backend], instance)
	}
	return s
}

// Get returns the instance with the given id, nil if there is none.
func (s *Snapshot) Get(id string) *Instance { return s.byID[id] }

// Backend returns the instances of a backend, including draining ones, ordered by id. The caller must not change the
// slice.
func (s *Snapshot) Backend(name string) []*Instance { return s.byBackend[name] }

// Len returns the number of instances.
func (s *Snapshot) Len() int { return len(s.byID) }
