package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/softstate"
)

const testKind softstate.Kind = 17

// fleet is a set of routers on a fake network.
type fleet struct {
	t       testing.TB
	network *fakeNetwork
	rng     *rand.Rand
	log     logrus.FieldLogger
	zones   int
	seeds   []string
	routers []*router
}

type router struct {
	member   membership.Member
	endpoint *endpoint
	cluster  *Cluster
	running  bool

	frozenUntil time.Time
	// diskFails makes the router unable to persist records.
	diskFails atomic.Bool
}

// errDiskFails is what a router with a failed disk returns for records to persist.
var errDiskFails = errors.New("the disk refuses writes")

// persist is the router's Persist function.
func (r *router) persist(context.Context, []softstate.Record) error {
	if r.diskFails.Load() {
		return errDiskFails
	}
	return nil
}

// inBubble runs a test in a synctest bubble, that is, in virtual time.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

func newFleet(t testing.TB, size, zones int, seed uint64) *fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{t: t, network: newFakeNetwork(seed), rng: rand.New(rand.NewPCG(seed, 2)), log: log, zones: zones}
	for i := range size {
		f.add(i)
	}
	f.seeds = []string{addressOf(0), addressOf(1), addressOf(2)}
	t.Cleanup(f.stopAll)
	return f
}

func addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7680", i/250, i%250) }

func (f *fleet) add(i int) *router {
	zone := fmt.Sprintf("zone-%d", i%f.zones)
	r := &router{member: membership.Member{Node: fmt.Sprintf("router-%03d", i), Address: addressOf(i), Zone: zone}}
	if i < 9 {
		r.member.AcceptorID = r.member.Node
	}
	f.routers = append(f.routers, r)
	return r
}

// start starts or restarts a router.
func (f *fleet) start(r *router, firstStart bool) {
	r.endpoint = f.network.endpoint(r.member.Address, r.member.Zone)
	r.cluster = New(Options{
		Self:       r.member,
		Seeds:      f.seeds,
		FirstStart: firstStart,
		Transport:  r.endpoint,
		Persist:    r.persist,
		Log:        f.log,
	})
	r.running = true
	r.frozenUntil = time.Time{}
	r.cluster.Start()
}

// startAll starts all routers within 0.3 s in random order.
func (f *fleet) startAll() {
	order := f.rng.Perm(len(f.routers))
	for i, k := range order {
		f.start(f.routers[k], true)
		if i < len(order)-1 {
			time.Sleep(300 * time.Millisecond / time.Duration(len(order)))
		}
	}
}

// startAndSettle starts all routers and waits until they agree and are stable.
func (f *fleet) startAndSettle() {
	f.startAll()
	f.eventually(3*time.Second, "settle", f.converged)
	time.Sleep(2 * time.Second)
}

// kill ends a router's process. If power is false, its machine is off as well, so connections to it time out instead of
// being refused.
func (f *fleet) kill(r *router, power bool) {
	r.endpoint.update(func(e *endpoint) { e.down, e.poweredOff = power, !power })
	r.running = false
	r.cluster.cancel()
}

// freeze suspends a router's process, unless it is frozen already.
func (f *fleet) freeze(r *router, duration time.Duration) {
	if time.Now().Before(r.frozenUntil) {
		return
	}
	r.frozenUntil = time.Now().Add(duration)
	r.endpoint.update(func(e *endpoint) { e.frozenUntil = time.Now().Add(duration) })
	r.cluster.post(frozenEvent{duration: duration})
}

type frozenEvent struct{ duration time.Duration }

func (e frozenEvent) apply(*eventLoop) { time.Sleep(e.duration) }

// setPartition breaks or restores the links between two groups of routers.
func (f *fleet) setPartition(a, b []*router, broken bool) {
	f.setOneWayPartition(a, b, broken)
	f.setOneWayPartition(b, a, broken)
}

func (f *fleet) setOneWayPartition(from, to []*router, broken bool) {
	for _, x := range from {
		for _, y := range to {
			f.network.setBlocked(x.member.Address, y.member.Address, broken)
		}
	}
}

func (f *fleet) running() []*router {
	return slices.DeleteFunc(slices.Clone(f.routers), func(r *router) bool { return !r.running })
}

func (f *fleet) stopAll() {
	for _, r := range f.routers {
		if r.cluster != nil {
			r.cluster.cancel()
			r.cluster.goroutines.Wait()
		}
	}
	time.Sleep(20 * time.Second) // until messages in flight are delivered and frozen members have resumed
}

// eventually waits until the condition returns nil and returns how long that took. It fails the test after the limit.
func (f *fleet) eventually(limit time.Duration, what string, condition func() error) time.Duration {
	f.t.Helper()
	started := time.Now()
	err := condition()
	for err != nil {
		assert.Assert(f.t, time.Since(started) < limit, "%s: not within %v: %v", what, limit, err)
		time.Sleep(2 * time.Millisecond)
		err = condition()
	}
	return time.Since(started)
}

// converged returns nil if each running router sees exactly the running routers as live, and all hold the same records.
func (f *fleet) converged() error {
	running := f.running()
	for _, r := range running {
		if live := len(r.cluster.View().Live()); live != len(running) {
			return fmt.Errorf("%s sees %d of %d", r.member.Node, live, len(running))
		}
		if r.cluster.tableHash() != running[0].cluster.tableHash() {
			return fmt.Errorf("%s and %s hold different records", r.member.Node, running[0].member.Node)
		}
	}
	return nil
}

// allHold returns a condition that is met if all the routers hold the value.
func allHold(routers []*router, key, value string) func() error {
	return func() error {
		for _, r := range routers {
			record, _ := r.cluster.Get(testKind, key)
			if string(record.Payload) != value {
				return fmt.Errorf("%s holds %q", r.member.Node, record.Payload)
			}
		}
		return nil
	}
}

func (r *router) publish(key, value string) {
	r.cluster.Publish(softstate.Record{Kind: testKind, Key: key, Payload: []byte(value)})
}

// allAlive returns nil if each of the routers sees all the others of them as alive.
func allAlive(routers []*router) error {
	for _, r := range routers {
		for _, other := range routers {
			if _, live := r.cluster.View().Get(other.member.Node); !live {
				return fmt.Errorf("%s does not see %s as alive", r.member.Node, other.member.Node)
			}
		}
	}
	return nil
}
