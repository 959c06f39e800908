package prefixagreement

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/configstore"
	"pewterrudder/internal/router/prefixcache"
)

// register is a replacement for the replicated register that holds the state in memory.
type register struct {
	mutex    sync.Mutex
	state    configstore.State
	versions []uint64 // of the chosen sets, in order
	isDown   bool
	chosen   func(configstore.State)
}

var errUnavailable = errors.New("no quorum")

func (r *register) Propose(_ context.Context, change func(configstore.State) (configstore.State, error)) (configstore.State, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isDown {
		return configstore.State{}, errUnavailable
	}
	next, err := change(r.state)
	if err != nil {
		return r.state, err
	}
	if bytes.Equal(next.Prefixes, r.state.Prefixes) {
		return next, nil
	}
	r.state = next
	if set, err := commonprefix.Decode(next.Prefixes); err == nil {
		r.versions = append(r.versions, set.Version)
	}
	go r.chosen(next)
	return next, nil
}

// router is a router of the simulated fleet.
type router struct {
	name      string
	fleet     *fleet
	agreement *Agreement
	stop      context.CancelFunc
	versions  []uint64 // of the adopted sets, in order
}

// Coordinator implements Lease.
func (r *router) Coordinator(context.Context) (string, error) {
	if holder := r.fleet.coordinator; holder != "" {
		return holder, nil
	}
	return "", errUnavailable
}

// IsCoordinator implements Lease.
func (r *router) IsCoordinator() bool { return r.fleet.holders[r.name] }

// Call implements Caller.
func (r *router) Call(ctx context.Context, address string, request []byte) ([]byte, error) {
	to := r.fleet.routers[address]
	if to == nil || r.fleet.isolated[r.name] || r.fleet.isolated[address] {
		return nil, errUnavailable
	}
	return to.agreement.HandleRequest(ctx, request)
}

// fleet is a few routers with a register, one of which is the coordinator.
type fleet struct {
	register    register
	routers     map[string]*router
	holders     map[string]bool
	isolated    map[string]bool
	coordinator string
	lastBlock   uint64 // number of the last unique block
}

func newFleet(names ...string) *fleet {
	f := &fleet{routers: map[string]*router{}, holders: map[string]bool{}, isolated: map[string]bool{}}
	f.register.state.Document = []byte("{}")
	f.register.chosen = f.broadcast
	for _, name := range names {
		f.start(name)
	}
	f.elect(names[0])
	return f
}

// elect gives the lease to one router only.
func (f *fleet) elect(name string) {
	clear(f.holders)
	f.holders[name] = true
	f.coordinator = name
}

func (f *fleet) start(name string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &router{name: name, fleet: f}
	r.agreement = New(Options{
		Router:      name,
		Lease:       r,
		Register:    &f.register,
		Caller:      r,
		Log:         log,
		Quotas:      func() commonprefix.Quotas { return commonprefix.Quotas{"a": 1, "b": 1} },
		OnAdopt:     func(set *commonprefix.Set) { r.versions = append(r.versions, set.Version) },
		Assignments: func() []commonprefix.Assignment { return []commonprefix.Assignment{{Backend: "service"}} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	f.routers[name] = r
	r.agreement.Adopt(f.register.state.Prefixes)
	go r.agreement.Run(ctx)
}

// broadcast delivers a chosen state to the routers that are not isolated.
func (f *fleet) broadcast(state configstore.State) {
	for name, r := range f.routers {
		if !f.isolated[name] {
			r.agreement.Adopt(state.Prefixes)
		}
	}
}

func (f *fleet) close() {
	for _, r := range f.routers {
		r.stop()
	}
	synctest.Wait()
}

// sendRequests sends requests with the given shared block through all routers for a time.
func (f *fleet) sendRequests(span time.Duration, block uint64) {
	const every = 100 * time.Millisecond
	for ; span > 0; span -= every {
		for _, name := range slices.Sorted(maps.Keys(f.routers)) {
			f.lastBlock++
			blocks := []prefixcache.Block{{ID: block, Tokens: 500}, {ID: 1<<32 + f.lastBlock, Tokens: 500}}
			f.routers[name].agreement.Count(&commonprefix.Request{
				Tenant: "a", Backend: "service", Model: "m", PromptTokens: 1000, Prefix: blocks,
			})
		}
		time.Sleep(every)
	}
	synctest.Wait()
}

// hasPrefix reports whether the router's set contains the prefix that consists of the given block.
func (r *router) hasPrefix(block uint64) bool {
	set := r.agreement.Set()
	_, ok := set.Find(commonprefix.Hash(set.Seed, "service", "m", []prefixcache.Block{{ID: block}}))
	return ok
}

// agreementTime is sufficient for the routers to agree on a prefix after the traffic has changed.
const agreementTime = 3 * minProposeInterval

func withFleet(t *testing.T, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("r1", "r2", "r3")
		defer f.close()
		run(t, f)
	})
}

func (f *fleet) requireAgreed(t *testing.T, block uint64) {
	t.Helper()
	for name, r := range f.routers {
		assert.Assert(t, r.hasPrefix(block), "router %s at version %d", name, r.agreement.Set().Version)
		assert.Equal(t, r.agreement.Set().Version, f.routers["r1"].agreement.Set().Version)
		assert.Assert(t, slices.IsSorted(r.versions))
	}
}

func TestRoutersAgreeOnACommonPrefix(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.sendRequests(agreementTime, 7)
		f.requireAgreed(t, 7)
		versions := len(f.register.versions)
		f.sendRequests(4*agreementTime, 7)
		assert.Equal(t, len(f.register.versions), versions, "steady traffic must not change the set")
	})
}

func TestAPrefixThatIsNoLongerUsedIsReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.sendRequests(agreementTime, 7)
		f.sendRequests(4*agreementTime, 8)
		f.requireAgreed(t, 8)
		assert.Assert(t, !f.routers["r1"].hasPrefix(7))
	})
}

func TestAgreementAfterManyShortLivedPrefixes(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for range 100 {
			f.lastBlock++
			f.sendRequests(200*time.Millisecond, 1<<40+f.lastBlock)
		}
		f.sendRequests(agreementTime, 7)
		f.requireAgreed(t, 7)
	})
}

func TestSetSurvivesTheRestartOfAllRouters(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.sendRequests(agreementTime, 7)
		before := *f.routers["r1"].agreement.Set()
		for name, r := range f.routers {
			r.stop()
			f.start(name)
		}
		f.requireAgreed(t, 7)
		assert.Equal(t, f.routers["r2"].agreement.Set().Version, before.Version)
		assert.Equal(t, f.routers["r2"].agreement.Set().Seed, before.Seed)
	})
}

func TestTwoLeaseHoldersAndALateProposal(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.sendRequests(agreementTime, 7)
		holder := f.routers["r1"].agreement
		stale := holder.Set()
		f.holders["r2"] = true
		f.coordinator = "r2"
		f.sendRequests(4*agreementTime, 8)
		f.requireAgreed(t, 8)
		late := stale.Successor(nil, nil)
		err := holder.propose(context.Background(), stale, late)
		assert.ErrorIs(t, err, errSetChanged)
		f.requireAgreed(t, 8)
	})
}

func TestAnIsolatedRouterCatchesUp(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.sendRequests(agreementTime, 7)
		f.isolated["r3"] = true
		f.sendRequests(4*agreementTime, 8)
		assert.Assert(t, f.routers["r3"].hasPrefix(7))
		f.isolated["r3"] = false
		f.broadcast(f.register.state)
		f.requireAgreed(t, 8)
	})
}

func TestNoProposalBeforeTheFirstConfiguration(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.register.state.Document = nil
		f.sendRequests(agreementTime, 7)
		assert.Equal(t, len(f.register.versions), 0)
	})
}

func TestVersionsIncreaseUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 8).Draw(rt, "steps")
		withFleet(t, func(t *testing.T, f *fleet) {
			for _, step := range steps {
				f.injectFault(step)
				f.sendRequests(6*time.Second, uint64(7+step%2))
			}
			f.heal()
			f.sendRequests(5*agreementTime, 9)
			f.requireAgreed(t, 9)
			assert.Assert(t, slices.IsSorted(f.register.versions))
			assert.Equal(t, len(slices.Compact(slices.Clone(f.register.versions))), len(f.register.versions))
			assert.DeepEqual(t, f.register.state.Document, []byte("{}"))
		})
	})
}

// injectFault causes or ends a fault that depends on step.
func (f *fleet) injectFault(step int) {
	name := fmt.Sprintf("r%d", 1+step%3)
	switch step {
	case 0, 1:
		f.isolated[name] = !f.isolated[name]
	case 2:
		f.register.isDown = !f.register.isDown
	case 3, 4:
		f.routers[name].stop()
		f.start(name)
	case 5:
		f.elect(name)
	case 6:
		f.holders["r1"], f.holders["r2"] = true, true
	}
}

func (f *fleet) heal() {
	clear(f.isolated)
	f.register.isDown = false
	f.elect("r2")
	f.broadcast(f.register.state)
}

func TestAPrefixCountedByOneRouterIsAgreedOn(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.sendRequests(agreementTime, 7)
		for unique := range uint64(200) {
			f.routers["r3"].agreement.Count(&commonprefix.Request{
				Tenant: "b", Backend: "service", Model: "m", PromptTokens: 1000,
				Prefix: []prefixcache.Block{{ID: 9, Tokens: 500}, {ID: 1<<40 + unique, Tokens: 500}},
			})
		}
		time.Sleep(agreementTime)
		synctest.Wait()
		f.requireAgreed(t, 9)
	})
}

func TestAnOlderSetIsIgnored(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		older, err := (&commonprefix.Set{Version: 1, Seed: 1}).Encode()
		assert.NilError(t, err)
		f.sendRequests(agreementTime, 7)
		f.routers["r2"].agreement.Adopt(older)
		f.requireAgreed(t, 7)
	})
}

func TestARepeatedProposalSucceeds(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.sendRequests(agreementTime, 7)
		r1 := f.routers["r1"].agreement
		current := r1.Set()
		next := current.Successor(nil, nil)
		for range 2 {
			assert.NilError(t, r1.propose(context.Background(), current, next))
		}
		assert.Equal(t, f.register.versions[len(f.register.versions)-1], next.Version)
	})
}
