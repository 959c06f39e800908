package instances

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRegistrationsListsPresentInstancesWithHolders(t *testing.T) {
	table := NewTable("router-1")
	for _, id := range []string{"c", "a", "b"} {
		table.Register(0, AliveVersion(1), Registration{Instance: Instance{ID: id}, Holder: "router-of-" + id})
	}
	table.Remove(0, DeregisteredVersion(), "b")
	var listed []string
	for _, registration := range table.Registrations() {
		listed = append(listed, registration.Instance.ID+" "+registration.Holder)
	}
	assert.DeepEqual(t, listed, []string{"a router-of-a", "c router-of-c"})
}
