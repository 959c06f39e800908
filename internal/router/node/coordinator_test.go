package node

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/status"
)

// blockOneWay blocks single directions between machines: in each pair, the second receives nothing from the first.
func (fleet *processFleet) blockOneWay(pairs ...[2]*process) {
	var lines [][]string
	for _, pair := range pairs {
		lines = append(lines, []string{oneWay, pair[0].settings.IP, pair[1].settings.IP})
	}
	assert.NilError(fleet.t, writePartition(fleet.partitionFile, lines...))
}

// bothDirections returns the pairs that block all traffic between two machines.
func bothDirections(one, other *process) [][2]*process {
	return [][2]*process{{one, other}, {other, one}}
}

// status returns the router's status, and false if it did not answer.
func (router *process) status() (status.Status, bool) {
	var reported status.Status
	code, text := router.send(http.MethodGet, protocol.PathStatus, 0, "")
	return reported, code == http.StatusOK && json.Unmarshal([]byte(text), &reported) == nil
}

// coordinator returns the router that all routers report as the coordinator of the quotas, and its term. It is nil
// while they do not agree.
func (fleet *processFleet) coordinator() (coordinator *process, term uint64) {
	for index, router := range fleet.routers {
		reported, ok := router.status()
		if !ok || reported.Shares.Coordinator == "" || reported.Shares.Term == 0 {
			return nil, 0
		}
		if index > 0 && (reported.Shares.Term != term || !reported.Shares.IsCoordinator && !strings.HasPrefix(reported.Shares.Coordinator, coordinator.settings.IP+":")) {
			return nil, 0
		}
		term = reported.Shares.Term
		coordinator = fleet.routers[slices.IndexFunc(fleet.routers, func(other *process) bool {
			return strings.HasPrefix(reported.Shares.Coordinator, other.settings.IP+":")
		})]
	}
	return coordinator, term
}

// waitForCoordinator waits until all routers agree on a coordinator.
func (fleet *processFleet) waitForCoordinator() (coordinator *process, term uint64) {
	fleet.t.Helper()
	fleet.waitFor("a coordinator", func() bool {
		coordinator, term = fleet.coordinator()
		return coordinator != nil
	})
	return coordinator, term
}

// limitedTenantJSON configures a tenant whose limit the requests of a test use only in part.
const limitedTenantJSON = `,"tenants":[{"name":"t","api_keys":["kept"],"per_s":4000,"burst":4000}]`

// without returns all machines except one.
func without(routers []*process, one *process) []*process {
	return slices.DeleteFunc(slices.Clone(routers), func(router *process) bool { return router == one })
}

// TestCoordinatorPartitionedFromAcceptorsKeepsLease partitions the coordinator from the other acceptors while all other
// machines reach everyone. It must remain the coordinator during the partition, and no request within the quota may be
// refused.
func TestCoordinatorPartitionedFromAcceptorsKeepsLease(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 6, 3, withQuotas)
	fleet.routers[0].mustPutBody(0, strings.Replace(keysConfiguration(7, ""), `,"tenants":[{"name":"t","api_keys":["kept"]}]`, limitedTenantJSON, 1))
	for _, router := range fleet.routers {
		fleet.waitFor("the key to be accepted", func() bool { return router.requestResult("/a/x", "kept") == "no_instance" })
	}
	coordinator, term := fleet.waitForCoordinator()
	asked := 0
	sendRequests := func(duration time.Duration, phase string) {
		for begin := time.Now(); time.Since(begin) < duration; {
			for _, router := range fleet.routers {
				asked++
				assert.Equal(t, router.requestResult("/a/x", "kept"), "no_instance", "%s, %s, request %d after %v", router.settings.Node, phase, asked, time.Since(begin))
			}
		}
	}
	sendRequests(coordinatorLeaseTime, "before the partition")
	var blockedPairs [][2]*process
	for _, other := range without(fleet.routers[:3], coordinator) {
		blockedPairs = append(blockedPairs, bothDirections(coordinator, other)...)
	}
	fleet.blockOneWay(blockedPairs...)
	fleet.awaitPartition()
	for range 6 {
		sendRequests(coordinatorLeaseTime/2, "during the partition")
		reported, ok := coordinator.status()
		assert.Assert(t, ok && reported.Shares.IsCoordinator, "the coordinator has lost its lease: %+v", reported.Shares)
	}
	after, laterTerm := fleet.waitForCoordinator()
	assert.Assert(t, after == coordinator)
	assert.Equal(t, laterTerm, term)
}

// coordinatorLeaseTime is the time after which a coordinator that cannot renew its lease has lost it.
const coordinatorLeaseTime = 2 * time.Second

func withQuotas(s *settings.Settings) { s.Bounds.QuotaWindowS, s.Bounds.QuotaOver = 8, 0.1 }

// TestOneWayPartitionOfAcceptor blocks one direction between an acceptor and all other routers: either its messages
// arrive and it receives none, or the reverse. Meanwhile it must neither return a configuration nor accept a change;
// the others do both, and all agree afterwards.
func TestOneWayPartitionOfAcceptor(t *testing.T) {
	t.Parallel()
	for name, inboundBlocked := range map[string]bool{"inbound blocked": true, "outbound blocked": false} {
		t.Run(name, func(t *testing.T) { testOneWayPartition(t, inboundBlocked) })
	}
}

func testOneWayPartition(t *testing.T, inboundBlocked bool) {
	t.Parallel()
	fleet := startProcesses(t, 4, 3)
	target, others := fleet.routers[0], fleet.routers[1:]
	target.mustPut(0, 7)
	target.announce()
	for _, router := range fleet.routers {
		router.mustRead(7)
	}
	var blockedPairs [][2]*process
	for _, other := range others {
		pair := [2]*process{other, target}
		if !inboundBlocked {
			pair = [2]*process{target, other}
		}
		blockedPairs = append(blockedPairs, pair)
	}
	fleet.blockOneWay(blockedPairs...)
	fleet.awaitPartition(target)
	others[0].mustPut(7, 9)
	for range 2 {
		target.assertUnavailable(7, 8)
	}
	others[2].mustRead(9)
	fleet.setPartition()
	for _, router := range fleet.routers {
		router.mustRead(9)
	}
}

const (
	// cpuQuotaPeriod is the period of the simulated CPU quota, and cpuQuotaRuntime the part of it for which a process
	// runs.
	cpuQuotaPeriod  = 100 * time.Millisecond
	cpuQuotaRuntime = 20 * time.Millisecond
)

// throttleCPU stops processes by SIGSTOP for most of each period of 100 ms, until the returned function is called. This
// simulates a CPU quota that is exhausted in every period.
func (fleet *processFleet) throttleCPU(routers ...*process) (restore func()) {
	over, ended := make(chan struct{}), make(chan struct{})
	signalAll := func(signal syscall.Signal) {
		for _, router := range routers {
			_ = router.command.Process.Signal(signal)
		}
	}
	go func() {
		defer close(ended)
		defer signalAll(syscall.SIGCONT)
		for {
			for _, phase := range []struct {
				signal syscall.Signal
				span   time.Duration
			}{{syscall.SIGCONT, cpuQuotaRuntime}, {syscall.SIGSTOP, cpuQuotaPeriod - cpuQuotaRuntime}} {
				signalAll(phase.signal)
				timer := time.NewTimer(phase.span)
				select {
				case <-over:
					timer.Stop()
					return
				case <-timer.C:
				}
			}
		}
	}()
	return func() {
		close(over)
		<-ended
	}
}

// TestFleetUnderCPUQuota throttles all routers at once to a fifth of a core each. The coordinator must keep its lease,
// no router may be marked as failed, changes and the draining of an instance must be acknowledged, and all routers must
// return the newest configuration.
func TestFleetUnderCPUQuota(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 5, 3)
	fleet.routers[0].mustPut(0, 7)
	for _, router := range fleet.routers {
		router.mustRead(7)
	}
	coordinator, term := fleet.waitForCoordinator()
	restore := fleet.throttleCPU(fleet.routers...)
	defer restore()
	fleet.routers[1].announce()
	generation := 7
	for begin := time.Now(); time.Since(begin) < 3*coordinatorLeaseTime; generation++ {
		fleet.routers[generation%5].mustPut(generation, generation+1)
		fleet.routers[(generation+2)%5].mustRead(generation + 1)
		reported, ok := fleet.routers[generation%5].status()
		assert.Assert(t, !ok || reported.Members.Failed == 0, "a throttled router was marked as failed")
	}
	fleet.waitFor("the acknowledgement of a draining instance", func() bool {
		code, _ := fleet.routers[2].send(http.MethodPost, fleet.heartbeatPath(), 0, drainingHeartbeat)
		return code == http.StatusOK
	})
	after, laterTerm := fleet.waitForCoordinator()
	assert.Assert(t, after == coordinator)
	assert.Equal(t, laterTerm, term, "the lease was lost")
}
