package node

import (
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/registry"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/softstate"
)

// singleRouter is the Publisher of a registry without other routers.
type singleRouter struct{}

func (singleRouter) Publish(softstate.Record) {}
func (singleRouter) View() *membership.View   { return nil }

// TestDrainingInstancesDoNotMakeRouterReady guards against a router that takes requests before any ready instance has
// announced itself: after a restart, draining ones are known from the disk.
func TestDrainingInstancesDoNotMakeRouterReady(t *testing.T) {
	log, _ := test.NewNullLogger()
	n := &Node{registry: registry.New(registry.Options{Node: "router-1", Kind: recordInstance, Publisher: singleRouter{}, Log: log})}
	n.table.Store(routing.Build(&document.Configuration{Backends: []document.Backend{{Name: "pool"}}}, routing.Options{}))
	heartbeat := func(id, state string) {
		assert.NilError(t, n.registry.Heartbeat(t.Context(), id, &protocol.Heartbeat{Backend: "pool", State: state, Seq: 1}))
	}
	assert.Assert(t, !n.everyBackendHasInstances())
	heartbeat("i-1", protocol.StateDraining)
	assert.Assert(t, !n.everyBackendHasInstances())
	heartbeat("i-2", protocol.StateReady)
	assert.Assert(t, n.everyBackendHasInstances())
}
