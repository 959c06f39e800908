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

	"pewterrudder/internal/router/periodic"
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

// fleet is a number of routers and a network that delays, drops and counts their messages.
type fleet struct {
	mutex   sync.Mutex
	routers map[string]*router
	// isolated holds the routers that reach no other router.
	isolated map[string]bool
	messages atomic.Int64
	// newcomers holds the routers that have not been in contact with the others yet.
	newcomers map[string]bool
	// voters are the acceptors in force; grantorsChanged is true if others were in force before.
	voters          []string
	grantorsChanged bool
	// relays are the routers that may relay messages.
	relays []string
	// side is 1 or -1 for routers on the two sides of a network partition, 0 for those that reach both.
	side map[string]int
}

// router is one process.
type router struct {
	address string
	shares  *Shares
	stop    context.CancelFunc
	stopped chan struct{}
	// suspended is how long the router's machine has been suspended in total, in nanoseconds.
	suspended atomic.Int64
}

// suspend advances the router's boot-time clock, as a suspension of its machine does, while its monotonic clock stands still.
func (r *router) suspend(span time.Duration) { r.suspended.Add(int64(span)) }

// bootTime reads the clock of the router that includes suspensions.
func (r *router) bootTime() (time.Duration, bool) {
	return time.Duration(time.Now().UnixNano() + r.suspended.Load()), true
}

// holds reports whether the router considers itself the coordinator.
func (r *router) holds() bool { return r.shares.IsCoordinator() }

func newFleet(voters int) *fleet {
	f := &fleet{routers: map[string]*router{}, isolated: map[string]bool{}, newcomers: map[string]bool{}}
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
		Node:                     address,
		Address:                  address,
		Bounds:                   testBounds,
		Caller:                   &caller{fleet: f, from: address},
		Log:                      log,
		Clock:                    steadyclock.NewWithSource(r.bootTime),
		Grantors:                 f.grantors,
		OnlyCurrentGrantorsKnown: func() bool { return true },
		GrantorsSettled:          f.grantorsSettled,
		Relays:                   f.getRelays,
		Routers:                  func() FleetSize { return f.size(address) },
		MayCoordinate:            true,
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

// enableRelays lets all routers except the voters relay messages.
func (f *fleet) enableRelays() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i := len(f.voters); i < testRouters; i++ {
		f.relays = append(f.relays, address(i))
	}
}

func (f *fleet) grantorsSettled() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.grantorsChanged
}

// size returns the fleet's size as a router knows it.
func (f *fleet) size(address string) FleetSize {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.newcomers[address] {
		return FleetSize{Live: 1}
	}
	return FleetSize{Live: testRouters, Settled: true}
}

// setNewcomer sets whether a router has not been in contact with any other yet.
func (f *fleet) setNewcomer(address string, newcomer bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.newcomers[address] = newcomer
}

// replaceGrantor replaces a voter by another router.
func (f *fleet) replaceGrantor(old, next string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.grantorsChanged = true
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

// all returns the routers in the order of their numbers.
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

// setIsolated cuts a router off from all others, or ends that.
func (f *fleet) setIsolated(address string, isolated bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isolated[address] = isolated
}

// partition separates the given routers from the other voters; nil ends the partition.
func (f *fleet) partition(indices []int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.side = map[string]int{}
	if len(indices) == 0 {
		return
	}
	for _, voter := range f.voters {
		f.side[voter] = -1
	}
	for _, index := range indices {
		f.side[address(index)] = 1
	}
}

// routerFrom returns the router at the address to, or nil if the router at from does not reach it.
func (f *fleet) routerFrom(from, to string) *router {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isolated[from] || f.isolated[to] || f.side[from]*f.side[to] < 0 {
		return nil
	}
	return f.routers[to]
}

// coordinator returns the one router that holds the lease, if any.
func (f *fleet) coordinator(t *testing.T) *router {
	t.Helper()
	var holder *router
	for _, r := range f.all() {
		r.shares.coordination.Lock()
		_, held := r.shares.coordination.candidate.Held(r.shares.now())
		r.shares.coordination.Unlock()
		if !held {
			continue
		}
		assert.Assert(t, holder == nil, "two coordinators")
		holder = r
	}
	return holder
}

// term returns the term of the coordinator that the router last heard from.
func (r *router) term() uint64 {
	r.shares.local.Lock()
	defer r.shares.local.Unlock()
	return r.shares.local.admission.Term()
}

// caller is the Caller of one router in the simulated network.
type caller struct {
	fleet *fleet
	from  string
}

func (c *caller) Call(ctx context.Context, to string, data []byte) ([]byte, error) {
	c.fleet.messages.Add(1)
	if err := wait(ctx, testDelay); err != nil {
		return nil, err
	}
	target := c.fleet.routerFrom(c.from, to)
	if target == nil {
		<-ctx.Done()
		return nil, errors.Wrapf(ctx.Err(), "cannot reach %s", to)
	}
	reply, err := target.shares.HandleRequest(ctx, data)
	if err != nil {
		return nil, err
	}
	return reply, wait(ctx, testDelay)
}

// wait sleeps for the delay. It returns the context's error if the context ends first.
func wait(ctx context.Context, delay time.Duration) error {
	if !periodic.Sleep(ctx, delay) {
		return ctx.Err()
	}
	return nil
}

// inFleet runs a test on a fleet with testGrantors voters in virtual time.
func inFleet(t *testing.T, run func(t *testing.T, f *fleet)) {
	inFleetWith(t, testGrantors, run)
}

// inFleetWith is inFleet with the given number of voters.
func inFleetWith(t *testing.T, voters int, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(voters)
		defer f.stopAll()
		run(t, f)
	})
}

// load spreads requests of the test tenant evenly over all routers, and returns the amount admitted.
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
