package registry

import (
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/softstate"
)

// IsDeparture reports whether a record says that an instance is draining or has deregistered. The acknowledgement of a
// departure promises that the instance gets no more requests, and the instance does not announce it again: after a
// restart of all routers, an older heartbeat that was delayed must not revive the instance.
func IsDeparture(record softstate.Record) bool {
	if record.Removed {
		return versionOf(record) == instances.DeregisteredVersion()
	}
	var registration instances.Registration
	if err := msgpack.Unmarshal(record.Payload, &registration); err != nil {
		return false
	}
	return registration.Instance.State == protocol.StateDraining
}

// versionOf returns the version of the registration or removal that a record carries.
func versionOf(record softstate.Record) instances.Version {
	return instances.Version{Heartbeat: record.Version.Epoch, Expired: record.Version.Sequence}
}
