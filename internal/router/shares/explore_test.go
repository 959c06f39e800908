package shares

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/lease"
	"pewterrudder/internal/router/quota"
)

const (
	// sequenceLength is the maximum number of actions in a sequence, after the initial state.
	sequenceLength = 5
	// shortStep and longStep are the times by which one action advances the clock.
	shortStep = 600 * time.Millisecond
	longStep  = 1500 * time.Millisecond
	// modelAmount is the quota that one request takes.
	modelAmount = 1000
)

var (
	modelLimit = quota.Limit{PerSecond: 50000, Burst: 50000}
	modelRule  = quota.Rule{Window: time.Second, Over: 0.1, Slack: 10000}
)

// action is a step of a sequence. Run returns false if it changed nothing: the sequence then equals the one without it.
type action struct {
	name string
	run  func(model *quotaModel) bool
}

// quotaModel has three grantors, two candidates in processes of their own, and two routers that spend a tenant's quota.
type quotaModel struct {
	now          time.Duration
	grantors     map[string]*lease.Grantor
	incarnations uint64
	coordinators [2]*modelCoordinator
	routers      [2]*modelRouter
	spent        []spending
	// routerRestarted is true once a router has restarted.
	routerRestarted bool
}

// modelCoordinator is a process that may become the coordinator.
type modelCoordinator struct {
	candidate *lease.Candidate
	// lateResponses are responses of grantors that have not arrived yet.
	lateResponses []lateResponse
	quota         *quota.Coordinator
}

type lateResponse struct {
	from     string
	response lease.Response
}

// modelRouter is a router that admits as many requests as its shares allow.
type modelRouter struct {
	name      string
	admission *quota.Admission
}

type spending struct {
	at     time.Duration
	amount float64
}

var modelGrantors = []string{"g1", "g2", "g3"}

func newQuotaModel() *quotaModel {
	model := &quotaModel{grantors: map[string]*lease.Grantor{}}
	config := lease.Config{Duration: leaseDuration, Drift: leaseDrift}
	for _, name := range modelGrantors {
		model.startGrantor(name)
	}
	for index := range model.coordinators {
		candidate := lease.NewCandidate(0, fmt.Sprint("p", index+1), config, func() float64 { return 0 })
		candidate.SetGrantors(0, modelGrantors, nil)
		model.coordinators[index] = &modelCoordinator{candidate: candidate}
		model.startRouter(index)
	}
	model.fillAndDrain()
	return model
}

// fillAndDrain makes the first candidate the coordinator, lets the tenant's bucket fill, and has both routers spend their shares
// of it.
func (model *quotaModel) fillAndDrain() {
	model.now = leaseDuration
	model.requestLease(0, true)
	for range 12 {
		model.now += 250 * time.Millisecond
		model.requestLease(0, true)
		model.reportBoth(0)
	}
	model.reportAndSpend(0)
}

// reportsToDrain is the number of consecutive reports that get nearly all of the tenant's store.
const reportsToDrain = 5

// reportAndSpend has both routers repeatedly report to a coordinator and spend their shares.
func (model *quotaModel) reportAndSpend(at int) bool {
	hasSpent := model.spend()
	for range reportsToDrain {
		if !model.reportBoth(at) {
			return hasSpent
		}
		hasSpent = model.spend() || hasSpent
	}
	return hasSpent
}

func (model *quotaModel) startGrantor(name string) {
	model.incarnations++
	config := lease.Config{Duration: leaseDuration, Drift: leaseDrift}
	model.grantors[name] = lease.NewGrantor(model.now, config, model.incarnations)
	model.grantors[name].SetGrantors(modelGrantors, nil)
}

func (model *quotaModel) startRouter(index int) {
	model.incarnations++
	admission := quota.NewAdmission(modelRule, model.incarnations)
	admission.SetRouters(model.now, len(model.routers), 0)
	admission.SetLimits(map[string]quota.Limit{testTenant: modelLimit})
	model.routers[index] = &modelRouter{name: fmt.Sprint("r", index+1), admission: admission}
}

// requestLease has a candidate send its due requests to the grantors. The responses arrive at once or with deliverLate.
func (model *quotaModel) requestLease(index int, atOnce bool) bool {
	coordinator := model.coordinators[index]
	messages := coordinator.candidate.Tick(model.now, 1)
	if len(messages) == 0 {
		return false
	}
	for _, message := range messages {
		late := lateResponse{from: message.To, response: model.grantors[message.To].Handle(model.now, message.Request)}
		coordinator.lateResponses = append(coordinator.lateResponses, late)
	}
	if atOnce {
		model.deliverLate(index)
	}
	return true
}

// deliverLate delivers the outstanding responses to a candidate.
func (model *quotaModel) deliverLate(index int) bool {
	coordinator := model.coordinators[index]
	if len(coordinator.lateResponses) == 0 {
		return false
	}
	for _, late := range coordinator.lateResponses {
		coordinator.candidate.Receive(model.now, late.from, late.response)
	}
	coordinator.lateResponses = nil
	return true
}

// report has a router report to a coordinator, which answers only while it holds the lease.
func (model *quotaModel) report(router, at int) bool {
	coordinator, reporter := model.coordinators[at], model.routers[router]
	term, held := coordinator.candidate.Held(model.now)
	if !held {
		return false
	}
	if coordinator.quota == nil || coordinator.quota.Term() != uint64(term) {
		coordinator.quota = quota.NewCoordinator(model.now, modelRule, uint64(term))
		coordinator.quota.SetLimits(model.now, map[string]quota.Limit{testTenant: modelLimit})
	}
	coordinator.quota.SetRouters(model.now, len(model.routers), 0)
	answer := coordinator.quota.HandleReport(model.now, reporter.name, reporter.admission.NextReport(model.now))
	reporter.admission.ApplyAnswer(model.now, answer)
	return true
}

// spend has all routers admit requests until they refuse.
func (model *quotaModel) spend() bool {
	hasSpent := false
	for _, router := range model.routers {
		for {
			ok, _ := router.admission.Admit(model.now, testTenant, modelAmount)
			if !ok {
				break
			}
			hasSpent = true
			model.spent = append(model.spent, spending{model.now, modelAmount})
		}
	}
	return hasSpent
}

func (model *quotaModel) advance(step time.Duration) bool {
	model.now += step
	return true
}

// check returns an error if both candidates hold the lease, or if more was spent in some window than the rule allows.
func (model *quotaModel) check() error {
	_, first := model.coordinators[0].candidate.Held(model.now)
	_, second := model.coordinators[1].candidate.Held(model.now)
	if first && second {
		return errors.New("both candidates hold the lease")
	}
	bound := (modelLimit.PerSecond*modelRule.Window.Seconds()+modelLimit.Burst)*(1+modelRule.Over) + modelRule.Slack
	inWindow, begin := 0.0, 0
	for _, spent := range model.spent {
		inWindow += spent.amount
		for ; spent.at-model.spent[begin].at >= modelRule.Window; begin++ {
			inWindow -= model.spent[begin].amount
		}
		if inWindow > bound {
			return errors.Errorf("spent %.3f of the bound in one window", inWindow/bound)
		}
	}
	return nil
}

func modelActions() []action {
	return []action{
		{"first requests the lease", func(model *quotaModel) bool { return model.requestLease(0, true) }},
		{"first releases the lease", (*quotaModel).resign},
		{"second requests the lease", func(model *quotaModel) bool { return model.requestLease(1, true) }},
		{"second requests the lease, responses are late", func(model *quotaModel) bool { return model.requestLease(1, false) }},
		{"late responses arrive", func(model *quotaModel) bool { return model.deliverLate(1) }},
		{"short step of time", func(model *quotaModel) bool { return model.advance(shortStep) }},
		{"long step of time", func(model *quotaModel) bool { return model.advance(longStep) }},
		{"both report to first and spend", func(model *quotaModel) bool { return model.reportAndSpend(0) }},
		{"both report to second and spend", func(model *quotaModel) bool { return model.reportAndSpend(1) }},
		{"one reports to second and spends", func(model *quotaModel) bool { return model.report(0, 1) && model.spend() }},
		{"spend", (*quotaModel).spend},
		{"two grantors restart", (*quotaModel).restartGrantors},
		{"a router restarts", (*quotaModel).restartRouterOnce},
	}
}

func (model *quotaModel) reportBoth(at int) bool { return model.report(0, at) && model.report(1, at) }

// resign has the first candidate release its lease.
func (model *quotaModel) resign() bool {
	candidate := model.coordinators[0].candidate
	candidate.Resign(model.now)
	messages := candidate.TakeReleases()
	for _, message := range messages {
		model.grantors[message.To].Handle(model.now, message.Request)
	}
	return len(messages) > 0
}

func (model *quotaModel) restartGrantors() bool {
	model.startGrantor("g1")
	model.startGrantor("g2")
	return true
}

// restartRouterOnce restarts the second router, unless it has done so before.
func (model *quotaModel) restartRouterOnce() bool {
	if model.routerRestarted {
		return false
	}
	model.routerRestarted = true
	model.startRouter(1)
	return true
}

// explorer runs every sequence of actions, each from the initial state.
type explorer struct {
	actions   []action
	sequences int
	taken     map[string]int
}

// explore runs a sequence, checks the result, and continues with each action. It stops where the last action changes nothing.
func (explorer *explorer) explore(sequence []int) error {
	model := newQuotaModel()
	for position, index := range sequence {
		did := explorer.actions[index].run(model)
		if !did && position == len(sequence)-1 {
			return nil
		}
	}
	explorer.sequences++
	if len(sequence) > 0 {
		explorer.taken[explorer.actions[sequence[len(sequence)-1]].name]++
	}
	if err := model.check(); err != nil {
		return errors.Wrap(err, explorer.describe(sequence))
	}
	if len(sequence) == sequenceLength {
		return nil
	}
	for index := range explorer.actions {
		if err := explorer.explore(append(slices.Clone(sequence), index)); err != nil {
			return err
		}
	}
	return nil
}

func (explorer *explorer) describe(sequence []int) string {
	var names []string
	for _, index := range sequence {
		names = append(names, explorer.actions[index].name)
	}
	return strings.Join(names, "; ")
}

// TestActionSequencesKeepLeaseAndQuota runs every sequence of up to sequenceLength actions on the real leases, coordinators and
// admissions, after one coordinator has distributed a quota. Messages may be lost and processes may restart in any order: never
// do two candidates hold the lease, and what is spent stays within the rule.
func TestActionSequencesKeepLeaseAndQuota(t *testing.T) {
	explorer := &explorer{actions: modelActions(), taken: map[string]int{}}
	assert.NilError(t, explorer.explore(nil))
	t.Logf("%d sequences", explorer.sequences)
	for _, action := range explorer.actions {
		assert.Assert(t, explorer.taken[action.name] > 0, "action never took effect: %s", action.name)
	}
}
