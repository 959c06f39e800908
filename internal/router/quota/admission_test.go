package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var exampleLimit = Limit{PerSecond: 1000, Burst: 1000}

var exampleRule = Rule{Window: 8 * time.Second, Over: 0.1, Slack: 100}

// newExampleAdmission returns the admission of one of ten routers, which has just reported a tenant.
func newExampleAdmission() *Admission {
	a := NewAdmission(exampleRule, 1)
	a.SetRouters(0, 10, 0)
	a.SetLimits(map[string]Limit{"tenant": exampleLimit})
	a.Admit(0, "tenant", 0)
	a.NextReport(0)
	return a
}

func exampleShares(share TenantShare) []TenantShare {
	share.Tenant = "tenant"
	return []TenantShare{share}
}

func TestUnlimitedTenantIsAdmitted(t *testing.T) {
	a := NewAdmission(exampleRule, 1)
	a.SetLimits(map[string]Limit{"tenant": {}})
	for _, tenant := range []string{"tenant", "unknown"} {
		ok, _ := a.Admit(0, tenant, 1e12)
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(a.NextReport(0).Tenants), 0)
}

// TestRouterThatKnowsNoOtherHasNoPart checks that a router that has just started takes only what the coordinator
// grants: it may be one of many.
func TestRouterThatKnowsNoOtherHasNoPart(t *testing.T) {
	a := NewAdmission(exampleRule, 1)
	a.SetLimits(map[string]Limit{"tenant": exampleLimit})
	ok, _ := a.Admit(0, "tenant", 1)
	assert.Assert(t, !ok)
	ok, _ = a.Admit(silenceTimeout, "tenant", 1)
	assert.Assert(t, !ok, "nothing is supplied while the number of routers is unknown")
	a.SetRouters(silenceTimeout, 10, 0)
	account := a.accounts["tenant"]
	assert.Equal(t, account.balance, exampleRule.startBalance(exampleLimit, 10))
	assert.Equal(t, account.standing, exampleLimit.PerSecond/10)
	assert.Equal(t, account.ceiling, exampleRule.capacity(exampleLimit)/10)
	a.SetRouters(silenceTimeout, 10, 0)
	assert.Equal(t, account.balance, exampleRule.startBalance(exampleLimit, 10), "the initial share is applied once")
}

// TestAnsweredAccountGetsNoInitialShare checks that an account which the coordinator answered before the number of
// routers was known keeps the coordinator's share.
func TestAnsweredAccountGetsNoInitialShare(t *testing.T) {
	a := NewAdmission(exampleRule, 1)
	a.SetLimits(map[string]Limit{"tenant": exampleLimit})
	a.Admit(0, "tenant", 1)
	a.NextReport(0)
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Granted: 30, Standing: 10, Ceiling: 40})})
	a.SetRouters(0, 10, 0)
	account := a.accounts["tenant"]
	assert.Equal(t, account.balance, 30.0)
	assert.Equal(t, account.standing, 10.0)
}

func TestLateAnswerGrantsNothing(t *testing.T) {
	a := newExampleAdmission()
	before := a.accounts["tenant"].balance
	a.NextReport(0)
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Granted: 500})})
	assert.Equal(t, a.accounts["tenant"].balance, before)
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 2, Shares: exampleShares(TenantShare{Granted: 500})})
	assert.Equal(t, a.accounts["tenant"].balance, before+500)
	a.NextReport(0)
	a.ApplyAnswer(0, ShareAnswer{Term: 0, Sequence: 3, Shares: exampleShares(TenantShare{Granted: 900})})
	assert.Equal(t, a.accounts["tenant"].balance, before+500)
}

func TestOverdraftCoversOneRequest(t *testing.T) {
	a := newExampleAdmission()
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Granted: 0, Overdraft: 700})})
	ok, _ := a.Admit(0, "tenant", 600)
	assert.Assert(t, ok)
	ok, retryAfter := a.Admit(0, "tenant", 50)
	assert.Assert(t, !ok)
	assert.Assert(t, retryAfter >= minRetryAfter && retryAfter <= maxRetryAfter)
}

func TestOverdraftEndsWithoutContact(t *testing.T) {
	a := newExampleAdmission()
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Overdraft: 700})})
	ok, _ := a.Admit(overdraftFor, "tenant", 600)
	assert.Assert(t, !ok)
}

// TestShortRouterDrawsItsReserveSoon checks that one late answer is enough for a router that runs short: it does not
// wait for silenceTimeout.
func TestShortRouterDrawsItsReserveSoon(t *testing.T) {
	a := newExampleAdmission()
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Standing: 100, Ceiling: 400, Reserve: 150})})
	balance := a.accounts["tenant"].balance
	ok, _ := a.Admit(0, "tenant", balance)
	assert.Assert(t, ok)
	ok, _ = a.Admit(reserveAfter-1, "tenant", 100)
	assert.Assert(t, !ok, "an answer may be on its way")
	ok, _ = a.Admit(reserveAfter, "tenant", 100)
	assert.Assert(t, ok)
	assert.Equal(t, a.NextReport(reserveAfter).Tenants[0].Drawn, 150.0, "the coordinator learns of it")
	ok, _ = a.Admit(reserveAfter, "tenant", 100)
	assert.Assert(t, !ok, "the reserve can be drawn once")
}

func TestSilentRouterDrawsItsReserveOnce(t *testing.T) {
	a := newExampleAdmission()
	share := TenantShare{Standing: 100, Ceiling: 400, Reserve: 150}
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(share)})
	before := a.accounts["tenant"].balance
	report := a.NextReport(silenceTimeout).Tenants[0]
	assert.Equal(t, report.Drawn, 150.0)
	supplied := share.Standing * (silenceTimeout - grantCoverage).Seconds()
	assert.Equal(t, report.Balance, before+150+supplied)
	a.Admit(silenceTimeout, "tenant", 100)
	report = a.NextReport(silenceTimeout + time.Millisecond).Tenants[0]
	assert.Equal(t, report.Drawn, 150.0)
	later := a.NextReport(2 * time.Minute).Tenants
	assert.Equal(t, len(later), 0, "an idle tenant is removed")
}

func TestSilentRouterStaysBelowItsCeiling(t *testing.T) {
	a := newExampleAdmission()
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Standing: 100, Ceiling: 300})})
	assert.Equal(t, a.NextReport(20 * time.Second).Tenants[0].Balance, 300.0)
}

func TestLowerLimitAppliesAtOnce(t *testing.T) {
	a := newExampleAdmission()
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Granted: 600, Standing: 100, Ceiling: 400})})
	before := *a.accounts["tenant"]
	lower := Limit{PerSecond: 500, Burst: 500}
	a.SetLimits(map[string]Limit{"tenant": lower})
	after := *a.accounts["tenant"]
	share := exampleRule.capacity(lower) / exampleRule.capacity(exampleLimit)
	assert.Equal(t, after.balance, before.balance*share)
	assert.Equal(t, after.ceiling, before.ceiling*share)
	assert.Equal(t, after.standing, 50.0)
	a.SetLimits(map[string]Limit{"tenant": exampleLimit})
	assert.Equal(t, a.accounts["tenant"].balance, after.balance, "a higher limit brings no tokens by itself")
}

// answerReport applies an answer to the latest report, with the same share for each tenant named.
func answerReport(a *Admission, now time.Duration, report DemandReport) {
	answer := ShareAnswer{Term: 1, Sequence: report.Sequence}
	for _, demand := range report.Tenants {
		answer.Shares = append(answer.Shares, TenantShare{Tenant: demand.Tenant, Standing: 10, Ceiling: 1e6, Granted: demand.Granted})
	}
	a.ApplyAnswer(now, answer)
}

// TestReportsNameWhatHasChanged checks that a tenant without changes is named only once per refreshInterval, and that
// all are named after a lost report.
func TestReportsNameWhatHasChanged(t *testing.T) {
	a := NewAdmission(exampleRule, 1)
	a.SetLimits(map[string]Limit{"busy": exampleLimit, "idle": exampleLimit})
	a.Admit(0, "busy", 1)
	a.Admit(0, "idle", 1)
	now := time.Duration(0)
	report := func(whole bool, tenants ...string) {
		t.Helper()
		next := a.NextReport(now)
		assert.Equal(t, next.Whole, whole)
		var named []string
		for _, demand := range next.Tenants {
			named = append(named, demand.Tenant)
		}
		assert.DeepEqual(t, named, tenants)
		answerReport(a, now, next)
		now += 250 * time.Millisecond
	}
	report(true, "busy", "idle")
	report(false)
	a.Admit(now, "busy", 1)
	report(false, "busy")
	a.ReportLost()
	report(true, "busy", "idle")
	for now < 2*refreshInterval {
		a.Admit(now, "busy", 1)
		next := a.NextReport(now)
		answerReport(a, now, next)
		now += 250 * time.Millisecond
	}
	assert.Assert(t, now-a.accounts["idle"].answeredAt <= refreshInterval+250*time.Millisecond)
	now += wholeReportAfter
	report(true, "busy", "idle")
}

// TestManyTenantsAreRefreshedInTurn checks that a router with many tenants reports at most maxRefreshes unchanged ones
// at a time, and each of them in turn.
func TestManyTenantsAreRefreshedInTurn(t *testing.T) {
	const tenants = 10 * maxRefreshes
	a := NewAdmission(exampleRule, 1)
	limits := map[string]Limit{}
	for i := range tenants {
		limits[fmt.Sprint("tenant-", i)] = exampleLimit
	}
	a.SetLimits(limits)
	for tenant := range limits {
		a.Admit(0, tenant, 1)
	}
	answerReport(a, 0, a.NextReport(0))
	now := time.Duration(0)
	named := map[string]int{}
	for range tenants / maxRefreshes * 2 {
		now += 250 * time.Millisecond
		report := a.NextReport(now)
		assert.Assert(t, len(report.Tenants) <= maxRefreshes)
		for _, demand := range report.Tenants {
			named[demand.Tenant]++
		}
		answerReport(a, now, report)
	}
	assert.Equal(t, len(named), tenants, "none is left out")
}

// TestContactCountsForAllTenants checks that a router that gets answers does not supply itself for tenants that its
// reports did not name.
func TestContactCountsForAllTenants(t *testing.T) {
	a := NewAdmission(exampleRule, 1)
	a.SetLimits(map[string]Limit{"tenant": exampleLimit})
	a.Admit(0, "tenant", 1)
	answerReport(a, 0, a.NextReport(0))
	for now := time.Duration(0); now < refreshInterval; now += 250 * time.Millisecond {
		answerReport(a, now, a.NextReport(now))
	}
	assert.Equal(t, a.accounts["tenant"].supplied, 0.0)
}

// TestReserveOfScarceTenantIsDropped checks that the reserve of a scarce tenant is dropped when an answer has no share
// of it: the store may be empty by then.
func TestReserveOfScarceTenantIsDropped(t *testing.T) {
	a := newExampleAdmission()
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Standing: 100, Ceiling: 400, Reserve: 150})})
	report := a.NextReport(time.Millisecond)
	assert.Equal(t, len(report.Tenants), 0)
	a.ApplyAnswer(time.Millisecond, ShareAnswer{Term: 1, Sequence: report.Sequence, Scarce: []string{"tenant"}})
	assert.Equal(t, a.accounts["tenant"].reserve, 0.0)
}

// TestWholeReportFollowsRequest checks that a request for a whole report is met before anything of the answer is
// applied: the next coordinator takes over the state of the earlier term from it.
func TestWholeReportFollowsRequest(t *testing.T) {
	a := newExampleAdmission()
	a.ApplyAnswer(0, ShareAnswer{Term: 1, Sequence: 1, Shares: exampleShares(TenantShare{Granted: 50})})
	report := a.NextReport(time.Millisecond)
	a.ApplyAnswer(time.Millisecond, ShareAnswer{Term: 2, Sequence: report.Sequence, WantsWhole: true})
	assert.Assert(t, a.TakeUrgent())
	report = a.NextReport(2 * time.Millisecond)
	assert.Assert(t, report.Whole)
	assert.Equal(t, report.Term, uint64(1))
	assert.Equal(t, report.Tenants[0].Granted, 50.0)
}
