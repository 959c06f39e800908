package registry

import (
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/softstate"
)

// noopPublisher discards all records.
type noopPublisher struct{}

func (noopPublisher) Publish(softstate.Record) {}
func (noopPublisher) View() *membership.View   { return nil }

func TestRegistrationsNameTheHolder(t *testing.T) {
	log, _ := test.NewNullLogger()
	r := New(Options{Node: "router-1", Publisher: noopPublisher{}, Log: log})
	assert.NilError(t, r.Heartbeat(t.Context(), "i-2", &protocol.Heartbeat{State: protocol.StateReady, Seq: 1}))
	assert.NilError(t, r.Heartbeat(t.Context(), "i-1", &protocol.Heartbeat{State: protocol.StateDraining, Seq: 4}))
	assert.NilError(t, r.Heartbeat(t.Context(), "i-3", &protocol.Heartbeat{State: protocol.StateReady, Seq: 1}))
	assert.NilError(t, r.Deregister(t.Context(), "i-3"))
	registrations := r.Registrations()
	assert.Equal(t, len(registrations), 2)
	assert.Equal(t, registrations[0].Instance.ID, "i-1")
	assert.Equal(t, registrations[0].Instance.State, protocol.StateDraining)
	assert.Equal(t, registrations[1].Holder, "router-1")
}
