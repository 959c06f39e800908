package selection

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/instances"
)

// TestPickKeepsItsInstance guards against a data race: an attempt reads its instance while heartbeats replace the
// instances. A pick keeps the instance as it was at the time of the pick.
func TestPickKeepsItsInstance(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a")
	pick := mustSelect(t, s, Request{Backend: "b", Now: testStart})
	moved := testInstance("a")
	moved.Address = "10.0.0.2:80"
	var running sync.WaitGroup
	running.Go(func() { s.SetInstances(instances.NewSnapshot([]*instances.Instance{moved})) })
	assert.Equal(t, pick.Instance().Address, "")
	running.Wait()
	assert.Equal(t, pick.Instance().Address, "")
	assert.Equal(t, mustSelect(t, s, Request{Backend: "b", Now: testStart}).Instance().Address, moved.Address)
}
