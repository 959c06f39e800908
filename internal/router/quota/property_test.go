package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	// propertyLimit is the rate of the tenant in random runs.
	propertyLimit = 500000
	// maxRestarts bounds the restarts of routers in one run: each one adds the router's part of the start balance
	// again.
	maxRestarts = 2
	// requestFraction is the mean size of requests as a fraction of each router's part of the tolerance; overdrafts by
	// such requests add up to little.
	requestFraction = 0.1
)

// faultRun is a simulation of a fleet with one tenant and a random sequence of faults.
type faultRun struct {
	*simulation
	restarts     int
	demandFactor float64
}

func newFaultRun(seed uint64, routers int) *faultRun {
	f := &faultRun{simulation: newSimulation(seed, routers, testRule), demandFactor: 1}
	limit := Limit{PerSecond: propertyLimit, Burst: propertyLimit}
	f.limits["tenant"] = limit
	size := requestFraction * testRule.tolerance(limit) / float64(routers)
	f.tenants = append(f.tenants, simTenant{
		name:     "tenant",
		requests: propertyLimit / size,
		factor:   func(time.Duration) float64 { return max(0.01, f.demandFactor) },
		size:     func(random *rand.Rand) float64 { return size * (0.5 + random.Float64()) },
	})
	return f
}

// injectFault changes the demand and causes one more change, drawn at random.
func (f *faultRun) injectFault() {
	f.demandFactor = 6 * f.random.Float64() * f.random.Float64()
	r := f.routers[f.random.IntN(len(f.routers))]
	switch f.random.IntN(8) {
	case 0:
		r.partitioned = true
	case 1:
		for _, other := range f.routers {
			other.partitioned = f.random.IntN(2) == 0
		}
	case 2:
		for _, other := range f.routers {
			other.partitioned = false
		}
	case 3:
		f.restart(r)
	case 4:
		f.coordinator = nil
	case 5:
		f.frozen = true
	case 6:
		f.startCoordinator()
	case 7:
		for _, other := range f.routers {
			other.weight = f.random.ExpFloat64()
		}
	}
}

func (f *faultRun) restart(r *simRouter) {
	if f.restarts < maxRestarts {
		f.restarts++
		f.startRouter(r)
	}
}

// execute runs the simulation with random faults and evaluates the tenant.
func (f *faultRun) execute() result {
	f.at(time.Second, f.startCoordinator)
	f.start(2 * time.Second)
	for range 14 {
		f.run(f.now + time.Duration(f.random.Int64N(int64(4*time.Second))))
		f.injectFault()
	}
	return f.evaluate("tenant")
}

// TestHistoriesThatBrokeTheBound repeats random runs in which earlier versions exceeded the bound.
func TestHistoriesThatBrokeTheBound(t *testing.T) {
	cases := map[string]struct {
		seed    uint64
		routers int
		loss    float64
	}{
		"a router restarts while it is partitioned, and the coordinator is lost": {0x2b19, 3, 0.1},
		"a router restarts while it is partitioned":                              {0xf88c, 3, 0},
		"what was withheld for silent routers comes back to a full store":        {0x1a, 24, 0.1},
		"a missing router has restarted":                                         {0x79, 3, 0.1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFaultRun(c.seed, c.routers)
			f.lossRate = c.loss
			worst := f.execute().worst
			t.Logf("worst window %.3f of the bound", worst)
			assert.Assert(t, worst <= 1, "a window holds %.3f of the bound", worst)
		})
	}
}

// TestNoWindowOverTheBound runs random simulations: whatever is partitioned, lost, frozen or replaced, and whatever the
// tenant requests, no window exceeds the rule's bound.
func TestNoWindowOverTheBound(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(draw *rapid.T) {
		routers := rapid.SampledFrom([]int{3, 9, 24}).Draw(draw, "routers")
		f := newFaultRun(rapid.Uint64().Draw(draw, "seed"), routers)
		f.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(draw, "loss")
		r := f.execute()
		worst = max(worst, r.worst)
		assert.Assert(draw, r.worst <= 1, "a window holds %.3f of the bound", r.worst)
	})
	t.Logf("worst window %.3f of the bound", worst)
}
