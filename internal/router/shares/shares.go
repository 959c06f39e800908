// Package shares distributes tenant quotas and the retry budget among the routers.
//
// One router, the coordinator, holds a lease from a majority of the grantors. Every router reports its demand to the
// coordinator several times a second and receives its shares in return. A router decides on requests from the shares that
// it has: Admit never waits for a message.
package shares

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/configlease"
	"pewterrudder/internal/router/lease"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/quota"
	"pewterrudder/internal/router/retrybudget"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/steadyclock"
)

const (
	// leaseDuration is how long a grant of a grantor lasts.
	leaseDuration = 2 * time.Second
	// leaseDrift is the fraction of the duration by which two clocks may drift apart over one duration.
	leaseDrift = 0.1
)

// Caller sends a message to the router at an address and waits for its response.
type Caller interface {
	Call(ctx context.Context, address string, request []byte) ([]byte, error)
}

// Options configures Shares.
type Options struct {
	// Node is the router's name, Address its transport address.
	Node    string
	Address string
	Bounds  settings.Bounds
	Caller  Caller
	Log     logrus.FieldLogger
	// Clock measures leases and shares; nil means the monotonic clock of the runtime.
	Clock *steadyclock.Clock
	// Grantors returns the addresses of the acceptors in force and, during a joint change, of the previous ones.
	Grantors func() (voters, previous []string)
	// OnlyCurrentGrantorsKnown reports whether this process, its disk included, knows of no acceptors other than those
	// in force.
	OnlyCurrentGrantorsKnown func() bool
	// GrantorsSettled reports whether the acceptors have been in force at their addresses for so long that no lease can
	// depend on earlier ones.
	GrantorsSettled func() bool
	// Relays returns the addresses of live routers that may relay a message whose direct call gets no response; nil means none.
	Relays func() []string
	// Routers returns the size of the fleet as this router knows it.
	Routers func() FleetSize
	// Confirmations exchanges the age of the configuration in the answers to reports; nil disables it.
	Confirmations Confirmations
	// Floors stores quota floors on the router's disk; nil means that it has none.
	Floors FloorStore
	// MayCoordinate allows the router to become the coordinator while it is one of the grantors.
	MayCoordinate bool
}

// Confirmations provides the configuration confirmations that the coordinator sends to all routers, each with its age.
type Confirmations interface {
	// Latest returns the confirmation that this router sends as the coordinator; false if it has none.
	Latest() (configlease.Confirmation, bool)
	// Add records a confirmation of the coordinator. The call that it answers began at askedAt by Options.Clock.
	Add(askedAt time.Duration, confirmation configlease.Confirmation)
}

// FleetSize is the number of routers in the fleet as one of them knows it.
type FleetSize struct {
	Live int
	// Left counts the routers that have left and not come back.
	Left int
	// Settled is true once this router has been in contact with the fleet for long enough to count all live routers.
	Settled bool
}

// Shares decides on the requests and retries of one router, and takes part in electing the coordinator.
type Shares struct {
	options Options
	clock   *steadyclock.Clock
	// startedAt is the clock's reading when New was called. Times passed to the lease, quota and retrybudget packages count
	// from it.
	startedAt    time.Duration
	local        localState
	coordination coordinationState
	// exchangeWake makes the exchange loop report early.
	exchangeWake chan struct{}
	// coordinatorHeard is true if a coordinator has answered since the start.
	coordinatorHeard atomic.Bool
	// leaseWake makes the lease loop take its next step early.
	leaseWake chan struct{}
	// floorWake makes runFloors save a floor table.
	floorWake chan struct{}
	// indirectPeers are the routers that are reached through relays.
	indirectPeers indirectPeers
	// leaseCalls counts the calls to grantors in flight.
	leaseCalls sync.WaitGroup
	// knownCoordinator is the coordinator's address as last heard, or empty. Guarded by knownCoordinatorMutex.
	knownCoordinatorMutex sync.Mutex
	knownCoordinator      string
}

// localState holds the shares by which this router decides on its own requests and retries.
type localState struct {
	sync.Mutex
	admission *quota.Admission
	budget    *retrybudget.Budget
}

// New returns the Shares of a router that has just started. It calls Options.Grantors and Options.Routers.
func New(options Options) *Shares {
	incarnation := rand.Uint64()
	if options.Clock == nil {
		options.Clock = steadyclock.Monotonic()
	}
	config := lease.Config{Duration: leaseDuration, Drift: leaseDrift}
	s := &Shares{
		options:      options,
		clock:        options.Clock,
		startedAt:    options.Clock.Now(),
		exchangeWake: make(chan struct{}, 1),
		leaseWake:    make(chan struct{}, 1),
		floorWake:    make(chan struct{}, 1),
	}
	s.local.admission = quota.NewAdmission(s.quotaRule(), incarnation)
	s.local.budget = retrybudget.NewBudget(s.retryRule(), incarnation)
	s.coordination.grantor = lease.NewGrantor(0, config, max(1, incarnation))
	s.coordination.candidate = lease.NewCandidate(0, options.Address, config, rand.Float64)
	s.refreshRouters(0)
	return s
}

// Run takes part in the election of the coordinator and exchanges reports with it until the context ends.
func (s *Shares) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.runLease(ctx) })
	loops.Go(func() { s.runExchange(ctx) })
	if s.options.Floors != nil {
		go s.runFloors(ctx) // not waited for, since the disk may hang
	}
	loops.Wait()
}

// Admit decides whether a request of a tenant is admitted. If it is refused, the duration says when to retry. The limit applies
// to tenants that SetLimits has not named yet.
func (s *Shares) Admit(now time.Time, tenant string, limit quota.Limit, amount float64) (bool, time.Duration) {
	if limit.Unlimited() {
		return true, 0
	}
	s.local.Lock()
	defer s.local.Unlock()
	s.local.admission.AddLimit(tenant, limit)
	ok, retryAfter := s.local.admission.Admit(s.sinceStart(now), tenant, amount)
	s.wakeExchangeIf(s.local.admission.TakeUrgent())
	return ok, retryAfter
}

const (
	// maxShareWait bounds the wait for a tenant's first share.
	maxShareWait = 150 * time.Millisecond
	// shareWaitInterval is the pause between two checks for that share.
	shareWaitInterval = 10 * time.Millisecond
)

// AwaitShare waits for the coordinator's answer to a tenant's first requests at this router, and reports whether it had to wait.
// It waits only until maxShareWait after the first request: a refusal within that time says nothing about the tenant's limit.
func (s *Shares) AwaitShare(ctx context.Context, tenant string) bool {
	waited := false
	for s.awaitsShare(tenant) {
		waited = true
		if !periodic.Sleep(ctx, shareWaitInterval) {
			return false
		}
	}
	return waited
}

func (s *Shares) awaitsShare(tenant string) bool {
	s.local.Lock()
	defer s.local.Unlock()
	return s.local.admission.AwaitsShare(s.now(), tenant, maxShareWait)
}

// AllowRetry decides whether another attempt at a service may be sent, and counts it if so.
func (s *Shares) AllowRetry(now time.Time, service string) bool {
	s.local.Lock()
	defer s.local.Unlock()
	allowed := s.local.budget.Allow(s.sinceStart(now), service)
	s.wakeExchangeIf(s.local.budget.TakeUrgent())
	return allowed
}

// CountRequest counts the first attempt of a request at a service.
func (s *Shares) CountRequest(now time.Time, service string) {
	s.local.Lock()
	defer s.local.Unlock()
	s.local.budget.CountRequest(s.sinceStart(now), service)
}

// SetLimits replaces the limits of all tenants.
func (s *Shares) SetLimits(limits map[string]quota.Limit) {
	s.local.Lock()
	s.local.admission.SetLimits(limits)
	s.local.Unlock()
	s.coordination.setLimits(s.now(), limits)
}

// now returns the time since the start.
func (s *Shares) now() time.Duration { return s.clock.Now() - s.startedAt }

// sinceStart converts a recent result of time.Now to the time since the start.
func (s *Shares) sinceStart(moment time.Time) time.Duration { return s.clock.At(moment) - s.startedAt }

// wakeExchangeIf makes the exchange loop report early if the report is urgent.
func (s *Shares) wakeExchangeIf(urgent bool) {
	if !urgent {
		return
	}
	select {
	case s.exchangeWake <- struct{}{}:
	default:
	}
}

// RefreshRouters applies the number of routers at once, without waiting for the next exchange.
func (s *Shares) RefreshRouters() { s.refreshRouters(s.now()) }

// refreshRouters applies the number of live routers, which is at least the number of acceptors. It bounds what this router may use
// without the coordinator only once the number is settled: a router that has just started would otherwise count only itself,
// and use the quota of the whole fleet.
func (s *Shares) refreshRouters(now time.Duration) {
	voters, _ := s.options.Grantors()
	fleet := s.options.Routers()
	live := max(1, len(voters), fleet.Live)
	if fleet.Settled {
		s.local.Lock()
		s.local.admission.SetRouters(now, live, fleet.Left)
		s.local.budget.SetRouters(live)
		s.local.Unlock()
	}
	s.coordination.setRouters(now, live, fleet.Left)
}

// coordinatorRules returns the rules for the coordinators that this router creates.
func (s *Shares) coordinatorRules() coordinatorRules {
	return coordinatorRules{coordinatorHeard: s.coordinatorHeard.Load(), quota: s.quotaRule(), retry: s.retryRule()}
}

func (s *Shares) quotaRule() quota.Rule {
	bounds := s.options.Bounds
	return quota.Rule{
		Window: settings.Seconds(bounds.QuotaWindowS),
		Over:   bounds.QuotaOver,
		Slack:  bounds.QuotaSlack,
	}
}

func (s *Shares) retryRule() retrybudget.Rule {
	bounds := s.options.Bounds
	return retrybudget.Rule{
		Window: settings.Seconds(bounds.RetryWindowS),
		Ratio:  bounds.RetryRatio,
		Slack:  bounds.RetrySlack,
	}
}
