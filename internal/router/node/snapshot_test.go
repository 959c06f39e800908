package node

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

// TestSnapshotRestoresOnNewFleet takes a snapshot of a fleet that then loses all acceptors, and restores it on a new
// fleet. The acknowledged state must be in force on all routers there. A fleet with a newer state must reject the
// snapshot.
func TestSnapshotRestoresOnNewFleet(t *testing.T) {
	t.Parallel()
	first := startProcesses(t, 3, 3)
	first.routers[0].mustPut(0, 7)
	first.routers[1].mustPut(7, 9)
	snapshot := ""
	first.waitFor("a snapshot", func() bool {
		var code int
		code, snapshot = first.routers[2].send(http.MethodGet, protocol.PathSnapshot, 0, "")
		return code == http.StatusOK
	})
	first.routers[0].mustPut(9, 11)
	code, text := first.routers[1].send(http.MethodPost, protocol.PathRestore, 0, snapshot)
	assert.Equal(t, code, http.StatusConflict, text)
	first.routers[2].mustRead(11)
	first.kill(first.routers...)

	second := startProcesses(t, 4, 3)
	second.waitFor("the acknowledgement", func() bool {
		code, _ := second.routers[3].send(http.MethodPost, protocol.PathRestore, 0, snapshot)
		return code == http.StatusOK
	})
	for _, router := range second.routers {
		router.mustRead(9)
	}
	assert.Equal(t, second.routers[1].put(7, 9), http.StatusOK, "a change that the first fleet acknowledged is sent again")
	second.routers[2].mustPut(9, 12)
	second.routers[0].mustRead(12)
}
