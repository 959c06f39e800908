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

// silence cuts single directions between machines: of each pair the second hears nothing of the first.
func (fleet *processFleet) silence(pairs ...[2]*process) {
	var lines [][]string
	for _, pair := range pairs {
		lines = append(lines, []string{oneWay, pair[0].settings.IP, pair[1].settings.IP})
	}
	assert.NilError(fleet.t, writePartition(fleet.partition, lines...))
}

// cutPair is both directions between two machines.
func cutPair(one, other *process) [][2]*process { return [][2]*process{{one, other}, {other, one}} }

// status is what the router tells of itself; false: nothing.
func (router *process) status() (status.Status, bool) {
	var told status.Status
	code, text := router.send(http.MethodGet, protocol.PathStatus, 0, "")
	return told, code == http.StatusOK && json.Unmarshal([]byte(text), &told) == nil
}

// coordinator is the one router of which all say that it divides the quotas, nil while they don't agree.
func (fleet *processFleet) coordinator() (coordinator *process, term uint64) {
	for index, router := range fleet.routers {
		told, ok := router.status()
		if !ok || told.Shares.Coordinator == "" || told.Shares.Term == 0 {
			return nil, 0
		}
		if index > 0 && (told.Shares.Term != term || !told.Shares.Leads && !strings.HasPrefix(told.Shares.Coordinator, coordinator.settings.IP+":")) {
			return nil, 0
		}
		term = told.Shares.Term
		coordinator = fleet.routers[slices.IndexFunc(fleet.routers, func(other *process) bool {
			return strings.HasPrefix(told.Shares.Coordinator, other.settings.IP+":")
		})]
	}
	return coordinator, term
}

// mustCoordinate waits until all routers agree on a coordinator.
func (fleet *processFleet) mustCoordinate() (coordinator *process, term uint64) {
	fleet.t.Helper()
	fleet.waitFor("a coordinator", func() bool {
		coordinator, term = fleet.coordinator()
		return coordinator != nil
	})
	return coordinator, term
}

// limitedTenant has a limit that the requests of a test use up in part.
const limitedTenant = `,"tenants":[{"name":"t","api_keys":["kept"],"per_s":4000,"burst":4000}]`

// without are the machines but one.
func without(routers []*process, one *process) []*process {
	return slices.DeleteFunc(slices.Clone(routers), func(router *process) bool { return router == one })
}

// TestProcessCoordinatorCutOffFromTheCoreAlone cuts the coordinator off from the other acceptors, while all other machines reach all. It
// stays the coordinator for as long as that lasts, and no request within the quota is refused.
func TestProcessCoordinatorCutOffFromTheCoreAlone(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 6, 3, withQuotas)
	fleet.routers[0].mustPutBody(0, strings.Replace(keysConfiguration(7, ""), `,"tenants":[{"name":"t","api_keys":["kept"]}]`, limitedTenant, 1))
	for _, router := range fleet.routers {
		fleet.waitFor("the key to be let in", func() bool { return router.ask("/a/x", "kept") == "no_instance" })
	}
	coordinator, term := fleet.mustCoordinate()
	asked := 0
	ask := func(span time.Duration, refusal string) {
		for begin := time.Now(); time.Since(begin) < span; {
			for _, router := range fleet.routers {
				asked++
				assert.Equal(t, router.ask("/a/x", "kept"), "no_instance", "%s, %s, request %d after %v", router.settings.Node, refusal, asked, time.Since(begin))
			}
		}
	}
	ask(leaseForTests, "before the cut")
	var cut [][2]*process
	for _, other := range without(fleet.routers[:3], coordinator) {
		cut = append(cut, cutPair(coordinator, other)...)
	}
	fleet.silence(cut...)
	fleet.awaitCut()
	for range 6 {
		ask(leaseForTests/2, "while it is cut off")
		now, ok := coordinator.status()
		assert.Assert(t, ok && now.Shares.Leads, "the coordinator has lost its lease: %+v", now.Shares)
	}
	after, sameTerm := fleet.mustCoordinate()
	assert.Assert(t, after == coordinator)
	assert.Equal(t, sameTerm, term)
}

// leaseForTests is the time after which a coordinator that can't renew its lease has lost it.
const leaseForTests = 2 * time.Second

func withQuotas(s *settings.Settings) { s.Bounds.QuotaWindowS, s.Bounds.QuotaOver = 8, 0.1 }

// TestProcessHearsNothing silences an acceptor in one direction: what it sends arrives, and it hears nothing of the other acceptors; and the
// reverse. It tells no configuration and takes no order meanwhile, others do, and all agree afterwards.
func TestProcessHearsNothing(t *testing.T) {
	t.Parallel()
	for name, heard := range map[string]bool{"it hears nothing": true, "nobody hears it": false} {
		t.Run(name, func(t *testing.T) { playOneWayCut(t, heard) })
	}
}

func playOneWayCut(t *testing.T, heard bool) {
	t.Parallel()
	fleet := startProcesses(t, 4, 3)
	deaf, others := fleet.routers[0], fleet.routers[1:]
	deaf.mustPut(0, 7)
	deaf.announce()
	for _, router := range fleet.routers {
		router.mustRead(7)
	}
	var cut [][2]*process
	for _, other := range others {
		pair := [2]*process{other, deaf}
		if !heard {
			pair = [2]*process{deaf, other}
		}
		cut = append(cut, pair)
	}
	fleet.silence(cut...)
	fleet.awaitCut(deaf)
	others[0].mustPut(7, 9)
	for range 2 {
		deaf.assertUnclear(7, 8)
	}
	others[2].mustRead(9)
	fleet.cut()
	for _, router := range fleet.routers {
		router.mustRead(9)
	}
}

const (
	// quotaPeriod is the period of a core whose share is a quota, and quotaRunning the part of it for which the process runs.
	quotaPeriod  = 100 * time.Millisecond
	quotaRunning = 20 * time.Millisecond
)

// starve has processes run at full speed for a part of each tenth of a second and not at all for the rest, until the function returned is
// called: what a core does whose share is a quota that is used up.
func (fleet *processFleet) starve(routers ...*process) (feed func()) {
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
			}{{syscall.SIGCONT, quotaRunning}, {syscall.SIGSTOP, quotaPeriod - quotaRunning}} {
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

// TestProcessesOnAQuotaOfTheCore starves all routers at once, each with a fifth of its core. The coordinator keeps its lease, nobody takes
// another for failed, orders and the end of an instance are acknowledged, and the newest configuration is read everywhere.
func TestProcessesOnAQuotaOfTheCore(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 5, 3)
	fleet.routers[0].mustPut(0, 7)
	for _, router := range fleet.routers {
		router.mustRead(7)
	}
	coordinator, term := fleet.mustCoordinate()
	feed := fleet.starve(fleet.routers...)
	defer feed()
	fleet.routers[1].announce()
	generation := 7
	for begin := time.Now(); time.Since(begin) < 3*leaseForTests; generation++ {
		fleet.routers[generation%5].mustPut(generation, generation+1)
		fleet.routers[(generation+2)%5].mustRead(generation + 1)
		told, ok := fleet.routers[generation%5].status()
		assert.Assert(t, !ok || told.Members.Failed == 0, "a router that is starved counts as failed")
	}
	fleet.waitFor("the acknowledgement of an instance's end", func() bool {
		code, _ := fleet.routers[2].send(http.MethodPost, fleet.heartbeatPath(), 0, leavingHeartbeat)
		return code == http.StatusOK
	})
	after, sameTerm := fleet.mustCoordinate()
	assert.Assert(t, after == coordinator)
	assert.Equal(t, sameTerm, term, "the lease was lost")
}
