package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// smallLimit is the smallest limit that deployments have, in tokens per second: the slack of their rule is several
	// seconds of it.
	smallLimit = 29000
	// smallLimitSurge is the demand from surgeAt on, as a multiple of the limit.
	smallLimitSurge = 20.0
	surgeAt         = 12 * time.Second
)

// smallLimitTenant returns a tenant that requests little, so that its store fills up, and far more than its limit from
// surgeAt on.
func smallLimitTenant() simTenant {
	const least, spread = 200.0, 400.0
	return simTenant{
		name:     "tenant",
		requests: smallLimit / (least + spread/2),
		size:     func(random *rand.Rand) float64 { return least + spread*random.Float64() },
		factor: func(now time.Duration) float64 {
			if now > surgeAt {
				return smallLimitSurge
			}
			return 0.3
		},
	}
}

// TestSmallLimitThroughLossAndRestart loses the coordinator when a tenant with a full store begins to exceed its limit,
// and restarts all routers soon after. They have drawn their reserves by then, and the next coordinator recovers the
// floor that the full store had.
func TestSmallLimitThroughLossAndRestart(t *testing.T) {
	const lostAfter, down, coordinatorAfter = 50 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond
	for _, routers := range []int{9, 72} {
		for _, restartAfter := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d routers, restarted after %v", routers, restartAfter), func(t *testing.T) {
				t.Parallel()
				worst := 0.0
				for seed := range uint64(10) {
					s := newSimulation(seed, routers, testRule)
					s.limits["tenant"] = Limit{PerSecond: smallLimit, Burst: smallLimit}
					s.tenants = append(s.tenants, smallLimitTenant())
					s.at(2*time.Second, s.startCoordinator)
					s.at(surgeAt+lostAfter, func() { s.coordinator = nil })
					s.restartAllAt(surgeAt+lostAfter+restartAfter, down, coordinatorAfter)
					s.start(trafficDelay)
					s.run(surgeAt + 12*time.Second)
					worst = max(worst, s.evaluate("tenant").worst)
				}
				t.Logf("worst window %.3f of the bound", worst)
				assert.Assert(t, worst <= 1, "a window holds %.3f of the bound", worst)
			})
		}
	}
}
