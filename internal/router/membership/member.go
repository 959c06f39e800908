// Package membership tracks which routers are alive. Each member sends heartbeats to its monitors, the next few live
// members on a ring of hashed names. A monitor that receives no heartbeat publishes a suspicion; the member fails
// unless it refutes the suspicion in time. A member that was itself delayed relies on its own observations of others
// only after some time.
//
// The package performs no I/O and reads no clock: the time is an argument, and what to send is returned.
package membership

import "github.com/cespare/xxhash/v2"

// Member is what a router publishes about itself.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Node is the router's name, which is unique in the fleet.
	Node string
	// Address is the "ip:port" of its transport.
	Address string
	// ControlAddress is the "ip:port" of its control interface.
	ControlAddress string
	Zone           string
	Region         string
	// Incarnation orders the versions of a router's member; it increases with each start, change and refutation.
	Incarnation uint64
	// AcceptorID is the ID of the router's acceptor of the configuration register, empty if it has none.
	AcceptorID string
	// Leaving says that the router is about to stop.
	Leaving bool
	// AcceptorVolatile says that the acceptor stores its record in memory alone.
	AcceptorVolatile bool
	// FleetSize is the number of routers that this one recorded before its start, zero if unknown.
	FleetSize int
}

// Status is the status of a member. Of two entries of one incarnation, the one with the higher status overrides the
// other.
type Status uint8

// The statuses. Each overrides those before it.
const (
	Alive Status = iota
	Suspect
	Failed
	Left
)

// String returns the name of the status.
func (s Status) String() string {
	names := [...]string{Alive: "alive", Suspect: "suspect", Failed: "failed", Left: "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Entry is a member with its status, as disseminated to the fleet.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"`
	Member   Member
	Status   Status
	// By is the name of the node that published the status.
	By string
}

// overrides reports whether e replaces other: it has a higher incarnation, or the same one and a higher status.
func (e Entry) overrides(other Entry) bool {
	if e.Member.Incarnation != other.Member.Incarnation {
		return e.Member.Incarnation > other.Member.Incarnation
	}
	return e.Status > other.Status
}

// RingPosition returns a node's position on the ring.
func RingPosition(node string) uint64 { return xxhash.Sum64String(node) }
