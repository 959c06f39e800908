package node

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/status"
)

// waitForStatus waits until a router's status satisfies the condition, and returns it.
func waitForStatus(t *testing.T, n *Node, isWanted func(status.Status) bool) status.Status {
	t.Helper()
	var last status.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		last = inspector{n}.Status()
		if !isWanted(last) {
			return poll.Continue("%+v", last)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	return last
}

// stopAll stops routers concurrently.
func stopAll(nodes []*Node) {
	var stopped sync.WaitGroup
	for _, n := range nodes {
		stopped.Go(n.Stop)
	}
	stopped.Wait()
}

// TestRouterServesWithoutQuorum checks what docs/operators/router-no-quorum.md says: without a majority of the
// acceptors, the status shows the loss, changes end with an unclear outcome, and the router keeps serving with the
// configuration in force.
func TestRouterServesWithoutQuorum(t *testing.T) {
	nodes, _ := startRouters(t, 3)
	first := nodes[0]
	postUntilOK(t, first, protocol.PathConfigPut, testConfiguration)
	healthy := waitForStatus(t, first, func(s status.Status) bool { return s.Ready && s.Members.Live == 3 })
	assert.Assert(t, healthy.Register.Quorum)
	assert.Equal(t, len(healthy.Register.Voters), 3)

	stopAll(nodes[1:])
	degraded := waitForStatus(t, first, func(s status.Status) bool { return s.Members.Live == 1 })
	assert.Assert(t, !degraded.Register.Quorum)
	assert.Assert(t, degraded.Ready)
	assert.Equal(t, degraded.Members.Failed, 2)
	assert.Equal(t, degraded.Configuration.Generation, int64(7))
	live := 0
	for _, voter := range degraded.Register.Voters {
		if voter.Live {
			live++
		}
	}
	assert.Equal(t, live, 1)
	assert.Equal(t, rejectedChangeCode(t, first), resultcode.OutcomeUnclear)
}

// rejectedChangeCode sends a configuration change that must fail, and returns the result code.
func rejectedChangeCode(t *testing.T, n *Node) resultcode.Code {
	t.Helper()
	body := strings.Replace(testConfiguration, `"generation":7`, `"generation":8`, 1)
	request, err := http.NewRequest(http.MethodPost, "http://"+n.Settings().Listen.Control+protocol.PathConfigPut, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(protocol.HeaderBaseRevision, "7")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	var rejection struct {
		Code resultcode.Code `json:"code"`
	}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&rejection))
	return rejection.Code
}
