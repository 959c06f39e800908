package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/status"
)

// lateHeartbeat is a heartbeat that an instance sends between its first one and its departure.
const lateHeartbeat = `{"backend":"pool","address":"127.0.0.1:1","state":"ready","seq":2}`

const (
	// departureContact is the time (bounds.contact_ms) after which routers count as connected again after a restart.
	departureContact = 3 * time.Second
	// departureHeartbeatMs makes the silence timeout exceed departureContact, so that a revived instance does not expire
	// before the test looks.
	departureHeartbeatMs = 2000
	// departureObserved is how long the test looks. A registration reaches all routers in a fraction of it.
	departureObserved = time.Second
)

// departureTests are the ways in which an instance announces that it leaves.
var departureTests = []struct{ name, path, body string }{
	{"deregistered", "/v1/instances/i-1/deregister", "{}"},
	{"draining", "/v1/instances/i-1/heartbeat", `{"backend":"pool","address":"127.0.0.1:1","state":"draining","seq":3}`},
}

// TestLateHeartbeatAfterRestartOfAllRoutersDoesNotReviveDepartedInstance kills all routers right after they have
// acknowledged that an instance leaves. It guards against requests to an instance that a delayed heartbeat revives.
func TestLateHeartbeatAfterRestartOfAllRoutersDoesNotReviveDepartedInstance(t *testing.T) {
	t.Parallel()
	for _, test := range departureTests {
		for late := range 4 { // the router that receives the late heartbeat; the last one has no disk
			t.Run(fmt.Sprintf("%s/%d", test.name, late), func(t *testing.T) {
				t.Parallel()
				fleet := startProcesses(t, 4, 3, func(s *settings.Settings) { s.HeartbeatMs = departureHeartbeatMs })
				fleet.depart(test.path, test.body)
				fleet.restartAll()
				fleet.assertNotRevivedBy(fleet.routers[late])
			})
		}
	}
}

// TestDepartureOutlastsRestartOfAllRoutersWithLostDisk is the same with one of the three disks lost, as often as the
// deployment tolerates.
func TestDepartureOutlastsRestartOfAllRoutersWithLostDisk(t *testing.T) {
	t.Parallel()
	for _, test := range departureTests {
		for lost := range 3 {
			t.Run(fmt.Sprintf("%s/%d", test.name, lost), func(t *testing.T) {
				t.Parallel()
				fleet := startProcesses(t, 4, 3, func(s *settings.Settings) { s.HeartbeatMs = departureHeartbeatMs })
				fleet.depart(test.path, test.body)
				fleet.kill(fleet.routers...)
				fleet.routers[lost].wipeDisk()
				fleet.restartAll()
				fleet.assertNotRevivedBy(fleet.routers[lost])
			})
		}
	}
}

// depart registers an instance at the last router, and has it announce that it leaves until that is acknowledged.
func (fleet *processFleet) depart(path, body string) {
	fleet.t.Helper()
	last := fleet.routers[len(fleet.routers)-1]
	last.mustPut(0, 7)
	last.announce()
	for _, router := range fleet.routers {
		fleet.waitFor("the instance at "+router.settings.Node, func() bool { return router.stateOf("i-1") == protocol.StateReady })
	}
	fleet.waitFor("the acknowledgement of the departure", func() bool {
		code, _ := last.send(http.MethodPost, path, 0, body)
		return code == http.StatusOK
	})
}

// restartAll kills all processes and starts them again.
func (fleet *processFleet) restartAll() {
	fleet.t.Helper()
	fleet.kill(fleet.routers...)
	for _, router := range fleet.routers {
		router.start()
	}
}

// assertNotRevivedBy delivers the late heartbeat to a router that has just started, and again once it is connected to
// the fleet. From then on no router may list the instance as ready.
func (fleet *processFleet) assertNotRevivedBy(receiver *process) {
	fleet.t.Helper()
	fleet.deliverLateHeartbeat(receiver)
	time.Sleep(departureContact)
	for _, router := range fleet.routers {
		router.mustRead(7)
	}
	fleet.assertNotReady()
	fleet.deliverLateHeartbeat(receiver)
	fleet.assertNotReady()
}

func (fleet *processFleet) deliverLateHeartbeat(receiver *process) {
	fleet.t.Helper()
	fleet.waitFor("the acknowledgement of the late heartbeat", func() bool {
		code, _ := receiver.send(http.MethodPost, fleet.heartbeatPath(), 0, lateHeartbeat)
		return code == http.StatusOK
	})
}

// assertNotReady checks for departureObserved that no router lists the instance as ready.
func (fleet *processFleet) assertNotReady() {
	t := fleet.t
	t.Helper()
	for begin := time.Now(); time.Since(begin) < departureObserved; time.Sleep(50 * time.Millisecond) {
		for _, router := range fleet.routers {
			assert.Assert(t, router.stateOf("i-1") != protocol.StateReady, "revived at %s", router.settings.Node)
		}
	}
}

// stateOf returns the state of an instance at a router, or the empty string if the router does not list it.
func (router *process) stateOf(id string) string {
	_, text := router.send(http.MethodGet, protocol.PathInstances, 0, "")
	var listed []status.Instance
	if json.Unmarshal([]byte(text), &listed) != nil {
		return ""
	}
	for _, instance := range listed {
		if instance.ID == id {
			return instance.State
		}
	}
	return ""
}
