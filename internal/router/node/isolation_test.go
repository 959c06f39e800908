package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/steadyclock"
)

// TestIsolationGuard cuts a router off from the acceptors, whose register is silent or fails then: it counts as isolated after the limit
// and not before, and no more soon after the cut.
func TestIsolationGuard(t *testing.T) {
	const limit = 10 * time.Second
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var cut atomic.Bool
			changes := 0
			guard := &isolationGuard{limit: limit, clock: steadyclock.Monotonic(), changed: func(bool) { changes++ }}
			guard.read = func(ctx context.Context) (uint64, error) {
				if !cut.Load() {
					return 1, nil
				}
				if silent {
					<-ctx.Done()
				}
				return 0, errors.New("no quorum")
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go guard.run(ctx)
			time.Sleep(time.Minute)
			assert.Assert(t, !guard.isolated.Load())
			cut.Store(true)
			time.Sleep(limit - limit/isolationChecks - time.Millisecond)
			assert.Assert(t, !guard.isolated.Load())
			time.Sleep(2 * limit / isolationChecks)
			assert.Assert(t, guard.isolated.Load())
			time.Sleep(time.Hour)
			assert.Assert(t, guard.isolated.Load())
			cut.Store(false)
			time.Sleep(2 * limit / isolationChecks)
			assert.Assert(t, !guard.isolated.Load())
			assert.Equal(t, changes, 2)
		})
	}
}

// readyStatus is the answer to the platform's question.
func (router *process) readyStatus() int {
	answer, err := operator.Get("http://" + router.settings.Listen.Ready + "/v1/readyz")
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// TestRouterThatIsCutOffForLongIsNotReady cuts a router off where the site asks for that, and one where it doesn't.
func TestRouterThatIsCutOffForLongIsNotReady(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 5, 3, func(s *settings.Settings) {
		if s.Node != "router-5" {
			s.Isolation.NotReadyAfterS = 1
		}
	})
	fleet.routers[0].mustPutBody(0, keysConfiguration(7, ""))
	cut := fleet.routers[3:]
	for _, router := range cut {
		fleet.waitFor("it to be ready", func() bool { return router.readyStatus() == http.StatusOK })
	}
	fleet.cut(fleet.routers[:3], cut)
	for _, router := range cut {
		fleet.awaitCut(router)
	}
	fleet.waitFor("one to be not ready", func() bool { return cut[0].readyStatus() == http.StatusServiceUnavailable })
	assert.Equal(t, cut[1].readyStatus(), http.StatusOK, "%s has no limit", cut[1].settings.Node)
	fleet.cut()
	fleet.waitFor("it to be ready again", func() bool { return cut[0].readyStatus() == http.StatusOK })
}
