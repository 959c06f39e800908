package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/status"
)

// The tests in this file inject faults into the control plane of real processes. They check only the answers that
// operators and instances receive.

// partitionTime is how long a machine stays partitioned.
const partitionTime = 20 * time.Second

const drainingHeartbeat = `{"backend":"pool","address":"127.0.0.1:1","state":"draining","seq":2}`

// assertUnavailable checks that a partitioned router returns no configuration and neither accepts nor rejects any call.
func (router *process) assertUnavailable(current, next int) {
	t := router.fleet.t
	t.Helper()
	name := router.settings.Node
	code, generation := router.read()
	assert.Assert(t, isUnavailable(code), "%s returned generation %d: status %d", name, generation, code)
	code = router.put(current, next)
	assert.Assert(t, isUnavailable(code), "%s answered a change with base %d: status %d", name, current, code)
	code = router.put(current-1, next)
	assert.Assert(t, isUnavailable(code), "%s answered a change with base %d: status %d", name, current-1, code)
	code, _ = router.send(http.MethodPost, router.fleet.heartbeatPath(), 0, drainingHeartbeat)
	assert.Assert(t, isUnavailable(code), "%s answered a draining instance: status %d", name, code)
}

// isUnavailable reports whether a status says nothing about the outcome of a call: no answer, or 503.
func isUnavailable(code int) bool { return code == 0 || code == http.StatusServiceUnavailable }

// heartbeatPath returns the path for heartbeats of the newest instance.
func (fleet *processFleet) heartbeatPath() string {
	return fmt.Sprintf("/v1/instances/i-%d/heartbeat", fleet.instances)
}

// announce registers a new instance. Each check needs a new one, since the draining of an earlier instance may be known
// to all routers by now and would then be acknowledged.
func (router *process) announce() {
	t := router.fleet.t
	t.Helper()
	const ready = `{"backend":"pool","address":"127.0.0.1:1","state":"ready","seq":1}`
	router.fleet.instances++
	router.fleet.waitFor("the instance's heartbeat", func() bool {
		code, _ := router.send(http.MethodPost, router.fleet.heartbeatPath(), 0, ready)
		return code == http.StatusOK
	})
}

// TestAcceptorPartitionedForTwentySeconds partitions an acceptor while the others change the configuration twice.
func TestAcceptorPartitionedForTwentySeconds(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 5, 3)
	partitioned := fleet.routers[0]
	others := fleet.routers[1:]
	partitioned.mustPut(0, 7)
	partitioned.announce()
	for _, router := range fleet.routers {
		router.mustRead(7)
	}
	fleet.setPartition([]*process{partitioned})
	fleet.awaitPartition(partitioned)
	begin := time.Now()
	others[0].mustPut(7, 9)
	for time.Since(begin) < partitionTime {
		partitioned.assertUnavailable(7, 8)
	}
	others[3].mustPut(9, 11)
	fleet.setPartition()
	for _, router := range fleet.routers {
		router.mustRead(11)
	}
	fleet.waitFor("the rejection of a change with an outdated base", func() bool { return partitioned.put(7, 8) == http.StatusPreconditionFailed })
	others[1].mustPut(11, 12)
}

// TestEvenSplitOfFourAcceptors splits four acceptors into two halves, with a diskless machine in the first half.
// Neither half may answer any call.
func TestEvenSplitOfFourAcceptors(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 5, 4)
	fleet.routers[1].mustPut(0, 7)
	fleet.waitFor("all four acceptors", func() bool { return fleet.voterCount() == 4 })
	first, second := fleet.routers[:2], fleet.routers[2:4]
	for range 2 {
		current := fleet.routers[0].mustReadAny()
		fleet.routers[1].announce()
		fleet.setPartition(append(first[:2:2], fleet.routers[4]), second)
		fleet.awaitPartition(fleet.routers...)
		for _, router := range fleet.routers {
			router.assertUnavailable(current, current+10)
		}
		fleet.setPartition()
		current = fleet.routers[4].mustReadAny() // an unanswered change may have taken effect
		fleet.routers[4].mustPut(current, current+1)
		for _, router := range fleet.routers {
			router.mustRead(current + 1)
		}
		first, second = []*process{fleet.routers[0], fleet.routers[3]}, []*process{fleet.routers[1], fleet.routers[2]}
	}
}

// voterCount returns the number of voters, or zero during a change of the set or if the router does not answer.
func (fleet *processFleet) voterCount() int {
	code, text := fleet.routers[0].send(http.MethodGet, protocol.PathStatus, 0, "")
	var reported status.Status
	if code != http.StatusOK || json.Unmarshal([]byte(text), &reported) != nil || len(reported.Register.Previous) > 0 {
		return 0
	}
	return len(reported.Register.Voters)
}

// TestDiskLossDuringFleetCrash kills all processes right after an acknowledgement and restarts one of them with an
// empty disk.
func TestDiskLossDuringFleetCrash(t *testing.T) {
	t.Parallel()
	for wiped := range 3 {
		fleet := startProcesses(t, 5, 3)
		fleet.routers[4].mustPut(0, 7)
		fleet.routers[(wiped+1)%5].mustPut(7, 9)
		fleet.kill(fleet.routers...)
		fleet.routers[wiped].wipeDisk()
		for _, router := range fleet.routers {
			router.start()
		}
		for _, router := range fleet.routers {
			router.mustRead(9)
		}
		fleet.routers[wiped].mustPut(9, 10)
		fleet.kill(fleet.routers...)
	}
}

// TestMajorityOfDisklessAcceptorsKilled kills five of nine diskless processes at once.
func TestMajorityOfDisklessAcceptorsKilled(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 9, 0)
	fleet.routers[1].mustPut(0, 7)
	fleet.waitFor("nine acceptors in memory", func() bool { return fleet.voterCount() == 9 })
	fleet.routers[2].mustPut(7, 9)
	fleet.routers[8].mustRead(9)
	killed := fleet.routers[:5]
	fleet.kill(killed...)
	for _, router := range killed {
		router.start()
	}
	for _, router := range fleet.routers {
		router.mustRead(9)
	}
	fleet.routers[0].mustPut(9, 10)
}

// TestAcceptorMissesHundredsOfChanges kills an acceptor for hundreds of changes. After its restart it must never return
// an outdated configuration, nor reject the last change when that is sent again.
func TestAcceptorMissesHundredsOfChanges(t *testing.T) {
	t.Parallel()
	const changes = 500
	fleet := startProcesses(t, 4, 3)
	killed, others := fleet.routers[2], fleet.routers[:2]
	killed.mustPut(0, 1)
	fleet.kill(killed)
	for generation := 1; generation < changes; generation++ {
		others[generation%2].mustPut(generation, generation+1)
	}
	killed.start()
	killed.mustRead(changes)
	assert.Equal(t, killed.put(changes-1, changes), http.StatusOK, "the last change is sent again")
	fleet.waitFor("503 for a repeated change that is too old to be remembered", func() bool {
		code := killed.put(1, 2)
		assert.Assert(t, isUnavailable(code), "status %d", code)
		return code == http.StatusServiceUnavailable
	})
	killed.mustPut(changes, changes+1)
	others[0].mustRead(changes + 1)
}
