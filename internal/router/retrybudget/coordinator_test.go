package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// afterStart is a time at which a coordinator that started at 0 no longer restricts new loans.
const afterStart = time.Minute

func report(incarnation, sequence uint64, usage ServiceUse) Report {
	usage.Service = testService
	return Report{Incarnation: incarnation, Sequence: sequence, Services: []ServiceUse{usage}}
}

func lentTo(t *testing.T, answer Answer) float64 {
	t.Helper()
	assert.Equal(t, len(answer.Services), 1)
	return answer.Services[0].Lent
}

// TestLoanCountsUntilReturned guards against lending an amount to another router before its holder has reported that it
// uses less.
func TestLoanCountsUntilReturned(t *testing.T) {
	c := NewCoordinator(0, testRule, 1)
	pool := lentShare * testRule.Slack
	demand := ServiceUse{Wanted: 1000}
	first := lentTo(t, c.HandleReport(afterStart, "a", report(1, 1, demand)))
	assert.Equal(t, first, pool/2)
	returned := c.HandleReport(afterStart, "a", report(1, 2, ServiceUse{Lent: first}))
	assert.Equal(t, lentTo(t, returned), 0.0)
	for sequence := range uint64(20) {
		other := lentTo(t, c.HandleReport(afterStart, "b", report(2, sequence+1, ServiceUse{Wanted: 1000, Lent: pool - first})))
		assert.Assert(t, other <= pool-first, "lent %v", other)
	}
	c.HandleReport(afterStart, "a", report(1, 3, ServiceUse{}))
	other := lentTo(t, c.HandleReport(afterStart, "b", report(2, 30, ServiceUse{Wanted: 1000, Lent: pool - first})))
	assert.Assert(t, other > pool-first)
}

// TestLateReport checks that a repeated report gets an empty answer.
func TestLateReport(t *testing.T) {
	c := NewCoordinator(0, testRule, 1)
	c.HandleReport(afterStart, "a", report(1, 5, ServiceUse{Wanted: 1}))
	assert.DeepEqual(t, c.HandleReport(afterStart, "a", report(1, 5, ServiceUse{Wanted: 1})), Answer{Term: 1})
	assert.Equal(t, c.HandleReport(afterStart, "a", report(2, 1, ServiceUse{Wanted: 1})).Sequence, uint64(1))
}

// TestReportOfALaterTerm checks that a coordinator doesn't lend to a router that has applied an answer of a later term.
func TestReportOfALaterTerm(t *testing.T) {
	c := NewCoordinator(0, testRule, 1)
	late := report(1, 1, ServiceUse{Wanted: 1})
	late.Term = 2
	assert.DeepEqual(t, c.HandleReport(afterStart, "a", late), Answer{Term: 1})
}

// TestLateAnswer checks that answers to earlier reports and of earlier terms are ignored.
func TestLateAnswer(t *testing.T) {
	b := NewBudget(testRule, 1)
	b.SetRouters(1000)
	assert.Assert(t, !b.Allow(0, testService))
	late := b.NextReport(0)
	b.NextReport(0)
	share := []ServiceShare{{Service: testService, Lent: 5}}
	b.ApplyAnswer(0, Answer{Term: 3, Sequence: late.Sequence, Services: share})
	assert.Assert(t, !b.Allow(0, testService))
	b.ApplyAnswer(0, Answer{Term: 3, Sequence: late.Sequence + 1, Services: share})
	assert.Assert(t, b.Allow(0, testService))
	b.NextReport(0)
	b.ApplyAnswer(0, Answer{Term: 2, Sequence: late.Sequence + 2})
	assert.Assert(t, b.Allow(0, testService))
}

// TestRouterThatKnowsNoOtherHasNoSlack checks a router that has just started: its even share of the slack isn't known
// yet.
func TestRouterThatKnowsNoOtherHasNoSlack(t *testing.T) {
	budget := NewBudget(Rule{Ratio: 0.2, Window: 10 * time.Second, Slack: 60}, 1)
	assert.Assert(t, !budget.Allow(0, "service"))
	budget.SetRouters(3)
	assert.Assert(t, budget.Allow(0, "service"))
}
