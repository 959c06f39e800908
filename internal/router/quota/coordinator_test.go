package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newExampleCoordinator(term uint64) *Coordinator {
	c := NewCoordinator(0, exampleRule, term)
	c.SetLimits(0, map[string]Limit{"tenant": exampleLimit})
	c.SetRouters(0, 1, 0)
	return c
}

func exampleReport(sequence, term uint64, demand TenantDemand) DemandReport {
	demand.Tenant = "tenant"
	return DemandReport{Whole: true, Incarnation: 1, Sequence: sequence, Term: term, Routers: 1, Tenants: []TenantDemand{demand}}
}

func TestLateReportGetsAnEmptyAnswer(t *testing.T) {
	c := newExampleCoordinator(1)
	c.HandleReport(time.Second, "a", exampleReport(2, 0, TenantDemand{}))
	assert.DeepEqual(t, c.HandleReport(time.Second, "a", exampleReport(2, 0, TenantDemand{})), ShareAnswer{Term: 1})
	assert.DeepEqual(t, c.HandleReport(time.Second, "a", exampleReport(9, 2, TenantDemand{})), ShareAnswer{Term: 1})
}

// TestNextCoordinatorInheritsTheStore checks that the store starts from the latest answer that routers report, less
// what they have drawn since.
func TestNextCoordinatorInheritsTheStore(t *testing.T) {
	c := newExampleCoordinator(2)
	c.SetRouters(0, 2, 0)
	c.HandleReport(0, "a", exampleReport(1, 1, TenantDemand{Store: 300, Number: 8, Drawn: 20, Standing: 500}))
	assert.Equal(t, c.ledgers["tenant"].totalTokens(), 280.0)
	c.HandleReport(0, "b", exampleReport(1, 1, TenantDemand{Store: 200, Number: 9, Drawn: 5, Standing: 500}))
	assert.Equal(t, c.ledgers["tenant"].totalTokens(), 175.0)
	c.HandleReport(0, "b", exampleReport(2, 1, TenantDemand{Store: 200, Number: 9, Drawn: 5, Standing: 500}))
	assert.Equal(t, c.ledgers["tenant"].totalTokens(), 175.0)
}

// TestStandingRatesStayWithinTheLimit checks that the standing rates in force add up to no more than the limit while
// demand shifts between the routers and some answers are lost.
func TestStandingRatesStayWithinTheLimit(t *testing.T) {
	const routers = 4
	c := newExampleCoordinator(1)
	c.SetRouters(0, routers, 0)
	inForce := make([]float64, routers)
	asked := make([]float64, routers)
	for step := range 400 {
		now := time.Duration(step) * 250 * time.Millisecond
		i := step % routers
		if (step/100)%routers == i {
			asked[i] += 2000
		}
		demand := TenantDemand{Asked: asked[i], Standing: inForce[i]}
		term := uint64(min(1, step/routers))
		answer := c.HandleReport(now, fmt.Sprint(i), exampleReport(uint64(step)+1, term, demand))
		if step%3 != 0 {
			inForce[i] = answer.Shares[0].Standing
		}
		sum := 0.0
		for _, rate := range inForce {
			sum += rate
		}
		assert.Assert(t, sum <= exampleLimit.PerSecond*1.000001, "standing rates sum to %v", sum)
	}
}

// TestRateInForceStaysReserved checks that the rate a router reports stays reserved even though it was told a lower one
// since.
func TestRateInForceStaysReserved(t *testing.T) {
	c := newExampleCoordinator(1)
	c.SetRouters(0, 2, 0)
	c.HandleReport(0, "a", exampleReport(1, 0, TenantDemand{Standing: 900}))
	c.HandleReport(0, "b", exampleReport(1, 0, TenantDemand{Standing: 0}))
	c.HandleReport(time.Second, "a", exampleReport(2, 0, TenantDemand{Standing: 900}))
	answer := c.HandleReport(time.Second, "b", exampleReport(2, 1, TenantDemand{Asked: 5000}))
	assert.Assert(t, answer.Shares[0].Standing <= 100.000001, "told %v", answer.Shares[0].Standing)
}

// TestLeavingRouterFreesItsPart checks that nothing is reserved for a router that has reported that it leaves.
func TestLeavingRouterFreesItsPart(t *testing.T) {
	c := newExampleCoordinator(1)
	c.HandleReport(0, "a", exampleReport(1, 0, TenantDemand{Standing: 500}))
	leaving := exampleReport(2, 1, TenantDemand{Standing: 500})
	leaving.Leaving = true
	c.HandleReport(0, "a", leaving)
	assert.Equal(t, c.ledgers["tenant"].reservedRate, 0.0)
	assert.Equal(t, len(c.members), 0)
}

// TestWholeReportIsWantedWhereTenantsAreUnknown checks that a whole report is requested from a router that the
// coordinator has not heard from before, has not heard from for silenceTimeout, or that follows an earlier coordinator.
func TestWholeReportIsWantedWhereTenantsAreUnknown(t *testing.T) {
	c := NewCoordinator(0, exampleRule, 2)
	c.SetLimits(0, map[string]Limit{"tenant": exampleLimit})
	partial := func(now time.Duration, sequence, term uint64) ShareAnswer {
		return c.HandleReport(now, "router", DemandReport{Incarnation: 1, Sequence: sequence, Term: term, Routers: 1})
	}
	assert.Assert(t, partial(0, 1, 2).WantsWhole, "a router that has not reported before")
	c.HandleReport(0, "router", DemandReport{Whole: true, Incarnation: 1, Sequence: 2, Term: 2, Routers: 1})
	assert.Assert(t, !partial(time.Millisecond, 3, 2).WantsWhole)
	assert.Assert(t, partial(2*time.Millisecond, 4, 1).WantsWhole, "a router of an earlier term")
	assert.Assert(t, partial(time.Millisecond+silenceTimeout, 5, 2).WantsWhole, "a silent router")
}

// TestUnnamedTenantIsRemoved checks that a tenant that a router no longer names is removed from its ledger: at once
// with a whole report, otherwise after unreportedTimeout.
func TestUnnamedTenantIsRemoved(t *testing.T) {
	c := NewCoordinator(0, exampleRule, 1)
	c.SetLimits(0, map[string]Limit{"tenant": exampleLimit})
	report := DemandReport{Whole: true, Incarnation: 1, Sequence: 1, Term: 1, Routers: 1, Tenants: []TenantDemand{{Tenant: "tenant"}}}
	c.HandleReport(0, "router", report)
	step := silenceTimeout / 2
	now := time.Duration(0)
	for sequence := uint64(2); now < unreportedTimeout-step; sequence++ {
		now += step
		c.HandleReport(now, "router", DemandReport{Incarnation: 1, Sequence: sequence, Term: 1, Routers: 1})
		assert.Equal(t, len(c.ledgers["tenant"].entries), 1)
	}
	c.HandleReport(now+step, "router", DemandReport{Incarnation: 1, Sequence: 1000, Term: 1, Routers: 1})
	assert.Equal(t, len(c.ledgers["tenant"].entries), 0)
	report.Sequence = 1001
	c.HandleReport(now+step, "router", report)
	assert.Equal(t, len(c.ledgers["tenant"].entries), 1)
	c.HandleReport(now+step, "router", DemandReport{Whole: true, Incarnation: 1, Sequence: 1002, Term: 1, Routers: 1})
	assert.Equal(t, len(c.ledgers["tenant"].entries), 0)
}
