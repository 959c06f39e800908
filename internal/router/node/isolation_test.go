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

// TestIsolationGuard makes register reads hang or fail. The router must count as isolated after the limit, not before,
// and must recover soon after reads succeed again.
func TestIsolationGuard(t *testing.T) {
	const limit = 10 * time.Second
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var partitioned atomic.Bool
			changes := 0
			guard := &isolationGuard{limit: limit, clock: steadyclock.Monotonic(), onChange: func(bool) { changes++ }}
			guard.readRegister = func(ctx context.Context) (uint64, error) {
				if !partitioned.Load() {
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
			partitioned.Store(true)
			time.Sleep(limit - limit/isolationChecksPerLimit - time.Millisecond)
			assert.Assert(t, !guard.isolated.Load())
			time.Sleep(2 * limit / isolationChecksPerLimit)
			assert.Assert(t, guard.isolated.Load())
			time.Sleep(time.Hour)
			assert.Assert(t, guard.isolated.Load())
			partitioned.Store(false)
			time.Sleep(2 * limit / isolationChecksPerLimit)
			assert.Assert(t, !guard.isolated.Load())
			assert.Equal(t, changes, 2)
		})
	}
}

// readyStatus returns the HTTP status of the readiness endpoint, or zero without an answer.
func (router *process) readyStatus() int {
	answer, err := operatorClient.Get("http://" + router.settings.Listen.Ready + "/v1/readyz")
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// TestIsolatedRouterIsNotReady partitions a router with an isolation limit and one without. Only the first may become
// not ready.
func TestIsolatedRouterIsNotReady(t *testing.T) {
	t.Parallel()
	fleet := startProcesses(t, 5, 3, func(s *settings.Settings) {
		if s.Node != "router-5" {
			s.Isolation.NotReadyAfterS = 1
		}
	})
	fleet.routers[0].mustPutBody(0, keysConfiguration(7, ""))
	partitioned := fleet.routers[3:]
	for _, router := range partitioned {
		fleet.waitFor("the router to be ready", func() bool { return router.readyStatus() == http.StatusOK })
	}
	fleet.setPartition(fleet.routers[:3], partitioned)
	for _, router := range partitioned {
		fleet.awaitPartition(router)
	}
	fleet.waitFor("the router with a limit to be not ready", func() bool { return partitioned[0].readyStatus() == http.StatusServiceUnavailable })
	assert.Equal(t, partitioned[1].readyStatus(), http.StatusOK, "%s has no limit", partitioned[1].settings.Node)
	fleet.setPartition()
	fleet.waitFor("the router to be ready again", func() bool { return partitioned[0].readyStatus() == http.StatusOK })
}
