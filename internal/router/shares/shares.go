// Package shares runs the division of tenants' quotas and of the retry budget among the routers.
//
// One router, the coordinator, holds a lease that a majority of the grantors has promised. Every router reports to
// it several times a second and gets its shares back. Requests are decided from what a router has: admission never
// waits for a message.
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
	"pewterrudder/internal/router/quota"
	"pewterrudder/internal/router/retrybudget"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/steadyclock"
)

const (
	// leaseDuration is how long a promise of a grantor lasts.
	leaseDuration = 2 * time.Second
	// leaseDrift is the share of the duration by which two clocks may differ over one duration.
	leaseDrift = 0.1
)

// Caller sends a message to the router at an address and waits for its response.
type Caller interface {
	Call(ctx context.Context, address string, request []byte) ([]byte, error)
}

// Options are what a router's shares need.
type Options struct {
	// Node is the router's name, Address its address in the transport.
	Node    string
	Address string
	Bounds  settings.Bounds
	Caller  Caller
	Log     logrus.FieldLogger
	// Clock counts the lease and all that is lent out; nil: the monotonic clock of the runtime.
	Clock *steadyclock.Clock
	// Grantors returns the addresses of the acceptors in force, and during a joint change also those before it.
	Grantors func() (voters, previous []string)
	// GrantorsKnown tells whether this process has heard of no acceptors but those in force, also by its disk.
	GrantorsKnown func() bool
	// GrantorsSettled tells whether the acceptors have been at their addresses for so long that no lease rests on earlier ones.
	GrantorsSettled func() bool
	// Relays returns the addresses of live routers that may pass a message on where the direct way is silent; nil: none.
	Relays func() []string
	// Routers describes the fleet as far as this router has met it.
	Routers func() FleetSize
	// Confirmations carries along how new the configuration is; nil: nobody asks.
	Confirmations Confirmations
	// Floors keeps floors of quotas on the router's disk; nil: it has none.
	Floors FloorStore
	// MayCoordinate allows the router to become the coordinator while it is one of the grantors.
	MayCoordinate bool
}

// Confirmations are told by the coordinator to all routers, each with its age.
type Confirmations interface {
	// Tell is what this router tells as the coordinator; false: nothing.
	Tell() (configlease.Confirmation, bool)
	// Take takes what the coordinator told in answer to a call that began at the given time of the clock.
	Take(askedAt time.Duration, told configlease.Confirmation)
}

// FleetSize is the number of routers, as one of them sees it.
type FleetSize struct {
	Live int
	// Left counts those known to have left and not come back.
	Left int
	// Settled says that this router has met the fleet long enough ago for all live routers to be counted.
	Settled bool
}

// Shares is one router's part in the division.
type Shares struct {
	options Options
	clock   *steadyclock.Clock
	// startedAt is when the shares were made, by the clock. All their times count from then.
	startedAt time.Duration
	local     local
	role      role
	wake      chan struct{}
	// heard says that a coordinator has answered since the start.
	heard atomic.Bool
	// leaseWake calls the lease loop before its time.
	leaseWake chan struct{}
	// floorWake has a floor table written.
	floorWake chan struct{}
	// detours are the routers that are reached by way of others.
	detours detours
	// calls are the calls of grantors under way.
	calls sync.WaitGroup
	// known is the coordinator's address as last heard, guarded by knownMutex.
	knownMutex sync.Mutex
	known      string
}

// local decides about this router's requests.
type local struct {
	sync.Mutex
	admission *quota.Admission
	budget    *retrybudget.Budget
}

// New returns the shares of a router that has just started. It asks for the grantors and for the number of routers.
func New(options Options) *Shares {
	incarnation := rand.Uint64()
	if options.Clock == nil {
		options.Clock = steadyclock.Monotonic()
	}
	config := lease.Config{Duration: leaseDuration, Drift: leaseDrift}
	s := &Shares{
		options:   options,
		clock:     options.Clock,
		startedAt: options.Clock.Now(),
		wake:      make(chan struct{}, 1),
		leaseWake: make(chan struct{}, 1),
		floorWake: make(chan struct{}, 1),
	}
	s.local.admission = quota.NewAdmission(s.quotaRule(), incarnation)
	s.local.budget = retrybudget.NewBudget(s.retryRule(), incarnation)
	s.role.grantor = lease.NewGrantor(0, config, max(1, incarnation))
	s.role.candidate = lease.NewCandidate(0, options.Address, config, rand.Float64)
	s.refreshRouters(0)
	return s
}

// Run takes part in the lease and in the exchange until the context ends.
func (s *Shares) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.runLease(ctx) })
	loops.Go(func() { s.runExchange(ctx) })
	if s.options.Floors != nil {
		go s.runFloors(ctx) // not waited for, since the disk may hang
	}
	loops.Wait()
}

// Admit decides whether a request of a tenant runs. The limit counts for tenants that SetLimits hasn't named yet.
func (s *Shares) Admit(now time.Time, tenant string, limit quota.Limit, amount float64) (bool, time.Duration) {
	if limit.Unlimited() {
		return true, 0
	}
	s.local.Lock()
	defer s.local.Unlock()
	s.local.admission.Learn(tenant, limit)
	ok, retryAfter := s.local.admission.Admit(s.since(now), tenant, amount)
	s.wakeIf(s.local.admission.Urgent())
	return ok, retryAfter
}

const (
	// shareWaitMost bounds the wait for a tenant's first share.
	shareWaitMost = 150 * time.Millisecond
	// shareWaitStep is the pause between two looks for it.
	shareWaitStep = 10 * time.Millisecond
)

// AwaitShare waits for the coordinator's answer to a tenant's first requests at this router, and tells whether there was something
// to wait for. It waits only within the first moments after the first of them: a refusal then says nothing about the tenant's limit.
func (s *Shares) AwaitShare(ctx context.Context, tenant string) bool {
	waited := false
	for s.awaitsShare(tenant) {
		waited = true
		if !sleep(ctx, shareWaitStep) {
			return false
		}
	}
	return waited
}

func (s *Shares) awaitsShare(tenant string) bool {
	s.local.Lock()
	defer s.local.Unlock()
	return s.local.admission.AwaitsShare(s.now(), tenant, shareWaitMost)
}

// AllowRetry decides whether another attempt at a service may be sent, and counts it if so.
func (s *Shares) AllowRetry(now time.Time, service string) bool {
	s.local.Lock()
	defer s.local.Unlock()
	allowed := s.local.budget.Allow(s.since(now), service)
	s.wakeIf(s.local.budget.Urgent())
	return allowed
}

// CountRequest counts the first attempt of a request at a service.
func (s *Shares) CountRequest(now time.Time, service string) {
	s.local.Lock()
	defer s.local.Unlock()
	s.local.budget.CountRequest(s.since(now), service)
}

// SetLimits puts the limits of all tenants in force.
func (s *Shares) SetLimits(limits map[string]quota.Limit) {
	s.local.Lock()
	s.local.admission.SetLimits(limits)
	s.local.Unlock()
	s.role.setLimits(s.now(), limits)
}

// now is the time since the start.
func (s *Shares) now() time.Duration { return s.clock.Now() - s.startedAt }

// since is that at a moment which was read lately.
func (s *Shares) since(moment time.Time) time.Duration { return s.clock.At(moment) - s.startedAt }

func (s *Shares) wakeIf(urgent bool) {
	if !urgent {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// RefreshRouters takes over the number of routers before its regular time.
func (s *Shares) RefreshRouters() { s.refreshRouters(s.now()) }

// refreshRouters takes over the number of live routers. There are at least as many as grantors. What this router may use without the
// coordinator waits until the number is settled: a router that has just started would take itself for the whole fleet.
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
	s.role.setRouters(now, live, fleet.Left)
}

// rules are what a coordinator in this router goes by.
func (s *Shares) rules() rules {
	return rules{heard: s.heard.Load(), quota: s.quotaRule(), retry: s.retryRule()}
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
