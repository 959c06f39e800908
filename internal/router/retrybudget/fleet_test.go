package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testRule is a typical rule of a deployment.
var testRule = Rule{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}

const (
	testService    = "service"
	tick           = 50 * time.Millisecond
	ticksPerReport = 5
)

// fleet simulates routers that exchange reports with a coordinator, in steps of one tick.
type fleet struct {
	random      *rand.Rand
	now         time.Duration
	routers     []*fleetRouter
	coordinator *Coordinator
	term        uint64
	incarnation uint64
	loss        float64
	requests    eventList
	retries     eventList
	rejected    int
}

type fleetRouter struct {
	name     string
	budget   *Budget
	isolated bool
	requests float64
	retries  float64
	offset   int
}

func newFleet(seed uint64, routers int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0))}
	for i := range routers {
		r := &fleetRouter{name: fmt.Sprintf("router-%d", i), offset: f.random.IntN(ticksPerReport)}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		f.restart(r)
	}
	f.replaceCoordinator()
	return f
}

func (f *fleet) restart(r *fleetRouter) {
	f.incarnation++
	r.budget = NewBudget(testRule, f.incarnation)
	r.budget.SetRouters(len(f.routers))
}

func (f *fleet) replaceCoordinator() {
	f.term++
	f.coordinator = NewCoordinator(f.now, testRule, f.term)
}

// run simulates the fleet for a span of time; each router sends requests and attempts retries at its rates.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += tick {
		for _, r := range f.routers {
			f.sendRequests(r)
			f.sendReport(r)
		}
	}
}

func (f *fleet) sendRequests(r *fleetRouter) {
	for range f.arrivals(r.requests) {
		r.budget.CountRequest(f.now, testService)
		f.requests = append(f.requests, f.now)
	}
	for range f.arrivals(r.retries) {
		if r.budget.Allow(f.now, testService) {
			f.retries = append(f.retries, f.now)
		} else {
			f.rejected++
		}
	}
}

func (f *fleet) arrivals(perSecond float64) int {
	mean := perSecond * tick.Seconds()
	count := int(mean)
	if f.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// sendReport sends a router's report, and may lose the report or the answer.
func (f *fleet) sendReport(r *fleetRouter) {
	step := int(f.now / tick)
	if (step+r.offset)%ticksPerReport != 0 {
		return
	}
	report := r.budget.NextReport(f.now)
	if r.isolated || f.random.Float64() < f.loss {
		return
	}
	answer := f.coordinator.HandleReport(f.now, r.name, report)
	if f.random.Float64() < f.loss {
		return
	}
	r.budget.ApplyAnswer(f.now, answer)
}

// worstWindow returns the largest number of retries within any window, as a fraction of the limit.
func (f *fleet) worstWindow() float64 {
	worst := 0.0
	for _, end := range f.retries {
		requests := max(
			f.requests.within(end, testRule.Window),
			f.requests.within(end-testRule.Window/2, testRule.Window),
			f.requests.within(end-testRule.Window, testRule.Window),
		)
		limit := testRule.Ratio*requests + testRule.Slack
		worst = max(worst, f.retries.within(end, testRule.Window)/limit)
	}
	return worst
}

// TestFleetKeepsTheBudget simulates random retry storms with isolated and restarted routers, lost messages and new
// coordinators.
func TestFleetKeepsTheBudget(t *testing.T) {
	worst, retries := 0.0, 0
	rapid.Check(t, func(draw *rapid.T) {
		routers := rapid.SampledFrom([]int{3, 9, 24}).Draw(draw, "routers")
		f := newFleet(rapid.Uint64().Draw(draw, "seed"), routers)
		f.loss = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(draw, "loss")
		for range 12 {
			f.injectFault()
			f.run(time.Duration(f.random.IntN(4000)) * time.Millisecond)
		}
		worst = max(worst, f.worstWindow())
		retries += len(f.retries)
		assert.Assert(draw, f.worstWindow() <= 1, "a window has %.3f of the limit", f.worstWindow())
	})
	t.Logf("%d retries, worst window %.3f of the limit", retries, worst)
}

// injectFault changes the traffic of some routers, and isolates, reconnects or restarts one or replaces the
// coordinator.
func (f *fleet) injectFault() {
	for _, r := range f.routers {
		if f.random.IntN(2) == 0 {
			r.requests = 60 * f.random.Float64() / float64(len(f.routers))
			r.retries = 120 * f.random.Float64() * f.random.Float64()
		}
	}
	r := f.routers[f.random.IntN(len(f.routers))]
	switch f.random.IntN(5) {
	case 0:
		r.isolated = true
	case 1, 2:
		r.isolated = false
	case 3:
		f.replaceCoordinator()
	case 4:
		f.restart(r)
	}
}

// TestSlackIsLent checks that a router that needs all retries is lent most of the lent part of the slack.
func TestSlackIsLent(t *testing.T) {
	f := newFleet(1, 9)
	f.run(f.coordinator.retention())
	f.routers[4].retries = 10
	f.run(testRule.Window)
	got := float64(len(f.retries))
	t.Logf("%v of %v retries of the slack", got, testRule.Slack)
	assert.Assert(t, got >= 0.9*lentShare*testRule.Slack, "got %v", got)
}

// TestIsolatedRouterLosesItsLoan checks that a router without answers from the coordinator is limited to its even share
// of the slack.
func TestIsolatedRouterLosesItsLoan(t *testing.T) {
	f := newFleet(1, 9)
	f.run(f.coordinator.retention())
	f.routers[4].retries = 10
	f.run(testRule.Window)
	f.routers[4].isolated = true
	f.routers[4].retries = 0
	f.run(testRule.Window + loanTimeout + time.Second)
	before := len(f.retries)
	f.routers[4].retries = 10
	f.run(testRule.Window)
	got := len(f.retries) - before
	assert.Equal(t, got, int(evenShare*testRule.Slack/9))
}

// TestRatioNeedsNoCoordinator checks that a router allows retries in proportion to its own requests without a
// coordinator.
func TestRatioNeedsNoCoordinator(t *testing.T) {
	b := NewBudget(testRule, 1)
	b.SetRouters(1000)
	for i := range 200 {
		b.CountRequest(time.Duration(i)*20*time.Millisecond, testService)
	}
	allowed := 0
	for b.Allow(5*time.Second, testService) {
		allowed++
	}
	assert.Equal(t, allowed, 36)
}

// TestRestartedRouterUsesNothingAnew guards against lending the loan of a router's previous process a second time: that
// process may have used it within the same window.
func TestRestartedRouterUsesNothingAnew(t *testing.T) {
	f := newFleet(1, 9)
	f.run(f.coordinator.retention())
	f.routers[4].retries = 10
	f.run(2 * time.Second)
	f.restart(f.routers[4])
	f.run(2 * time.Second)
	assert.Assert(t, f.worstWindow() <= 1)
	even := evenShare * testRule.Slack / 9
	assert.Assert(t, float64(len(f.retries)) <= lentShare*testRule.Slack+2*even, "%d retries", len(f.retries))
}
