package shares

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/quota"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/steadyclock"
)

const (
	testRouters  = 9
	testGrantors = 3
	testDelay    = 2 * time.Millisecond
	testTenant   = "tenant"
)

var (
	testBounds = settings.Bounds{
		QuotaWindowS: 8, QuotaOver: 0.1, QuotaSlack: 110000,
		RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 58,
	}
	testLimit = quota.Limit{PerSecond: 500000, Burst: 500000}
)

// fleet is a number of routers joined by a network that delays, cuts and counts messages.
type fleet struct {
	mutex    sync.Mutex
	routers  map[string]*router
	cut      map[string]bool
	messages atomic.Int64
	// alone holds routers that have not met the others yet.
	alone map[string]bool
	// voters are the grantors in force; changed tells whether others were in force before.
	voters  []string
	changed bool
	// relays are the routers that may pass messages on.
	relays []string
	// half is 1 or -1 for routers of two halves that don't reach each other, 0 for those that reach both.
	half map[string]int
}

// router is one process.
type router struct {
	address string
	shares  *Shares
	stop    context.CancelFunc
	stopped chan struct{}
	// suspended is the time for which the router's machine was suspended, in nanoseconds.
	suspended atomic.Int64
}

// suspend has the router's second clock go on for a while in which everything else of its machine stands still.
func (r *router) suspend(span time.Duration) { r.suspended.Add(int64(span)) }

// bootTime is the router's second clock.
func (r *router) bootTime() (time.Duration, bool) {
	return time.Duration(time.Now().UnixNano() + r.suspended.Load()), true
}

// holds tells whether the router takes itself for the coordinator.
func (r *router) holds() bool { return r.shares.Holds() }

func newFleet(voters int) *fleet {
	f := &fleet{routers: map[string]*router{}, cut: map[string]bool{}, alone: map[string]bool{}}
	for i := range voters {
		f.voters = append(f.voters, address(i))
	}
	for i := range testRouters {
		f.start(address(i))
	}
	return f
}

func address(i int) string { return fmt.Sprintf("router-%d:1", i) }

func (f *fleet) start(address string) *router {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	ctx, stop := context.WithCancel(context.Background())
	r := &router{address: address, stop: stop, stopped: make(chan struct{})}
	r.shares = New(Options{
		Node:            address,
		Address:         address,
		Bounds:          testBounds,
		Caller:          &caller{fleet: f, from: address},
		Log:             log,
		Clock:           steadyclock.NewWithSource(r.bootTime),
		Grantors:        f.grantors,
		GrantorsKnown:   func() bool { return true },
		GrantorsSettled: f.grantorsSettled,
		Relays:          f.getRelays,
		Routers:         func() FleetSize { return f.size(address) },
		MayCoordinate:   true,
	})
	r.shares.SetLimits(map[string]quota.Limit{testTenant: testLimit})
	f.mutex.Lock()
	f.routers[address] = r
	f.mutex.Unlock()
	go func() {
		r.shares.Run(ctx)
		close(r.stopped)
	}()
	return r
}

func (f *fleet) grantors() (voters, previous []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.voters), nil
}

func (f *fleet) getRelays() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.relays)
}

// relayBy has all routers but the grantors pass messages on.
func (f *fleet) relayBy() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i := len(f.voters); i < testRouters; i++ {
		f.relays = append(f.relays, address(i))
	}
}

func (f *fleet) grantorsSettled() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.changed
}

// size is the fleet's size as a router sees it.
func (f *fleet) size(address string) FleetSize {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.alone[address] {
		return FleetSize{Live: 1}
	}
	return FleetSize{Live: testRouters, Settled: true}
}

// setAlone says whether a router has met no other yet.
func (f *fleet) setAlone(address string, alone bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.alone[address] = alone
}

// replaceGrantor puts a router in the place of a grantor.
func (f *fleet) replaceGrantor(old, next string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.changed = true
	f.voters[slices.Index(f.voters, old)] = next
}

func (f *fleet) stopAll() {
	for _, r := range f.all() {
		r.stop()
	}
	for _, r := range f.all() {
		<-r.stopped
	}
}

// all returns the routers in order.
func (f *fleet) all() []*router {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []*router
	for i := range testRouters {
		if r := f.routers[address(i)]; r != nil {
			all = append(all, r)
		}
	}
	return all
}

func (f *fleet) setCut(address string, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut[address] = cut
}

// setHalves cuts the given routers off from the other voters; nil ends the cut.
func (f *fleet) setHalves(indices []int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.half = map[string]int{}
	if len(indices) == 0 {
		return
	}
	for _, voter := range f.voters {
		f.half[voter] = -1
	}
	for _, index := range indices {
		f.half[address(index)] = 1
	}
}

// reach returns the router at an address unless the way is cut.
func (f *fleet) reach(from, to string) *router {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cut[from] || f.cut[to] || f.half[from]*f.half[to] < 0 {
		return nil
	}
	return f.routers[to]
}

// coordinator returns the one router that holds the lease, if any.
func (f *fleet) coordinator(t *testing.T) *router {
	t.Helper()
	var holder *router
	for _, r := range f.all() {
		r.shares.role.Lock()
		_, held := r.shares.role.candidate.Held(r.shares.now())
		r.shares.role.Unlock()
		if !held {
			continue
		}
		assert.Assert(t, holder == nil, "two coordinators")
		holder = r
	}
	return holder
}

// term is that of the coordinator which the router last heard from.
func (r *router) term() uint64 {
	r.shares.local.Lock()
	defer r.shares.local.Unlock()
	return r.shares.local.admission.Term()
}

// caller is one router's end of the network.
type caller struct {
	fleet *fleet
	from  string
}

func (c *caller) Call(ctx context.Context, to string, data []byte) ([]byte, error) {
	c.fleet.messages.Add(1)
	if err := wait(ctx, testDelay); err != nil {
		return nil, err
	}
	target := c.fleet.reach(c.from, to)
	if target == nil {
		<-ctx.Done()
		return nil, errors.Wrapf(ctx.Err(), "no way to %s", to)
	}
	reply, err := target.shares.HandleRequest(ctx, data)
	if err != nil {
		return nil, err
	}
	return reply, wait(ctx, testDelay)
}

func wait(ctx context.Context, delay time.Duration) error {
	if !sleep(ctx, delay) {
		return ctx.Err()
	}
	return nil
}

// inFleet runs a test on a fleet in virtual time.
func inFleet(t *testing.T, run func(t *testing.T, f *fleet)) {
	inFleetWith(t, testGrantors, run)
}

// inFleetWith is inFleet with a number of acceptors.
func inFleetWith(t *testing.T, voters int, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(voters)
		defer f.stopAll()
		run(t, f)
	})
}

// load asks for amounts of the test tenant at all routers, evenly, and returns the sum admitted.
func (f *fleet) load(perSecond float64, span time.Duration) float64 {
	const step = 10 * time.Millisecond
	const amount = 1000
	admitted, owed := 0.0, 0.0
	next := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(step) {
		routers := f.all()
		for owed += perSecond * step.Seconds(); owed >= amount; owed -= amount {
			r := routers[next%len(routers)]
			next++
			if ok, _ := r.shares.Admit(time.Now(), testTenant, testLimit, amount); ok {
				admitted += amount
			}
		}
	}
	return admitted
}
