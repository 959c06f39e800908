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

// register is a plain model of the replicated state.
type register struct {
	mutex    sync.Mutex
	state    configstore.State
	versions []uint64 // of the sets that were chosen
	down     bool
	chosen   func(configstore.State)
}

var errDown = errors.New("no quorum")

func (r *register) Propose(_ context.Context, change func(configstore.State) (configstore.State, error)) (configstore.State, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		return configstore.State{}, errDown
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

// router is one router of the model fleet.
type router struct {
	name      string
	fleet     *fleet
	agreement *Agreement
	stop      context.CancelFunc
	versions  []uint64 // that came into force, in order
}

// Coordinator implements Lease.
func (r *router) Coordinator(context.Context) (string, error) {
	if holder := r.fleet.named; holder != "" {
		return holder, nil
	}
	return "", errDown
}

// Holds implements Lease.
func (r *router) Holds() bool { return r.fleet.holders[r.name] }

// Call implements Caller.
func (r *router) Call(ctx context.Context, address string, request []byte) ([]byte, error) {
	to := r.fleet.routers[address]
	if to == nil || r.fleet.cut[r.name] || r.fleet.cut[address] {
		return nil, errDown
	}
	return to.agreement.HandleRequest(ctx, request)
}

// fleet is a few routers with a register, one of which is named as the coordinator.
type fleet struct {
	register register
	routers  map[string]*router
	holders  map[string]bool
	cut      map[string]bool
	named    string
	own      uint64 // last block's number
}

func newFleet(names ...string) *fleet {
	f := &fleet{routers: map[string]*router{}, holders: map[string]bool{}, cut: map[string]bool{}}
	f.register.state.Document = []byte("{}")
	f.register.chosen = f.spread
	for _, name := range names {
		f.start(name)
	}
	f.elect(names[0])
	return f
}

// elect gives the lease to one router alone.
func (f *fleet) elect(name string) {
	clear(f.holders)
	f.holders[name] = true
	f.named = name
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
		Adopted:     func(set *commonprefix.Set) { r.versions = append(r.versions, set.Version) },
		Assignments: func() []commonprefix.Assignment { return []commonprefix.Assignment{{Backend: "service"}} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	f.routers[name] = r
	r.agreement.Adopt(f.register.state.Prefixes)
	go r.agreement.Run(ctx)
}

// spread hands a chosen state to the routers that can be reached.
func (f *fleet) spread(state configstore.State) {
	for name, r := range f.routers {
		if !f.cut[name] {
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

// serve sends requests about one subject through all routers for a time.
func (f *fleet) serve(span time.Duration, subject uint64) {
	const every = 100 * time.Millisecond
	for ; span > 0; span -= every {
		for _, name := range slices.Sorted(maps.Keys(f.routers)) {
			f.own++
			blocks := []prefixcache.Block{{ID: subject, Tokens: 500}, {ID: 1<<32 + f.own, Tokens: 500}}
			f.routers[name].agreement.Count(&commonprefix.Request{
				Tenant: "a", Backend: "service", Model: "m", PromptTokens: 1000, Prefix: blocks,
			})
		}
		time.Sleep(every)
	}
	synctest.Wait()
}

// holdsSubject tells whether a router's set in force holds a subject.
func (r *router) holdsSubject(subject uint64) bool {
	set := r.agreement.Set()
	_, ok := set.Find(commonprefix.Hash(set.Seed, "service", "m", []prefixcache.Block{{ID: subject}}))
	return ok
}

// settle is more than enough for a change of the traffic to be agreed on.
const settle = 3 * proposeEvery

func inBubble(t *testing.T, play func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("r1", "r2", "r3")
		defer f.close()
		play(t, f)
	})
}

func (f *fleet) requireAgreed(t *testing.T, subject uint64) {
	t.Helper()
	for name, r := range f.routers {
		assert.Assert(t, r.holdsSubject(subject), "router %s at version %d", name, r.agreement.Set().Version)
		assert.Equal(t, r.agreement.Set().Version, f.routers["r1"].agreement.Set().Version)
		assert.Assert(t, slices.IsSorted(r.versions))
	}
}

func TestRoutersAgreeOnACommonPrefix(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.serve(settle, 7)
		f.requireAgreed(t, 7)
		versions := len(f.register.versions)
		f.serve(4*settle, 7)
		assert.Equal(t, len(f.register.versions), versions, "steady traffic must change nothing")
	})
}

func TestAPreambleThatChanges(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.serve(settle, 7)
		f.serve(4*settle, 8)
		f.requireAgreed(t, 8)
		assert.Assert(t, !f.routers["r1"].holdsSubject(7))
	})
}

func TestAUniqueHotKeyIsNoPrefix(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		for range 100 {
			f.own++
			f.serve(200*time.Millisecond, 1<<40+f.own)
		}
		f.serve(settle, 7)
		f.requireAgreed(t, 7)
	})
}

func TestAllRoutersRestart(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.serve(settle, 7)
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

func TestTwoHoldersAndALateProposal(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.serve(settle, 7)
		holder := f.routers["r1"].agreement
		stale := holder.Set()
		f.holders["r2"] = true
		f.named = "r2"
		f.serve(4*settle, 8)
		f.requireAgreed(t, 8)
		late := stale.Successor(nil, nil)
		err := holder.propose(context.Background(), stale, late)
		assert.ErrorIs(t, err, errOtherSet)
		f.requireAgreed(t, 8)
	})
}

func TestACutRouterCatchesUp(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.serve(settle, 7)
		f.cut["r3"] = true
		f.serve(4*settle, 8)
		assert.Assert(t, f.routers["r3"].holdsSubject(7))
		f.cut["r3"] = false
		f.spread(f.register.state)
		f.requireAgreed(t, 8)
	})
}

func TestNoProposalBeforeTheFirstConfiguration(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.register.state.Document = nil
		f.serve(settle, 7)
		assert.Equal(t, len(f.register.versions), 0)
	})
}

func TestVersionsRiseUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 8).Draw(rt, "steps")
		inBubble(t, func(t *testing.T, f *fleet) {
			for _, step := range steps {
				f.disturb(step)
				f.serve(6*time.Second, uint64(7+step%2))
			}
			f.heal()
			f.serve(5*settle, 9)
			f.requireAgreed(t, 9)
			assert.Assert(t, slices.IsSorted(f.register.versions))
			assert.Equal(t, len(slices.Compact(slices.Clone(f.register.versions))), len(f.register.versions))
			assert.DeepEqual(t, f.register.state.Document, []byte("{}"))
		})
	})
}

// disturb brings one of some faults.
func (f *fleet) disturb(step int) {
	name := fmt.Sprintf("r%d", 1+step%3)
	switch step {
	case 0, 1:
		f.cut[name] = !f.cut[name]
	case 2:
		f.register.down = !f.register.down
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
	clear(f.cut)
	f.register.down = false
	f.elect("r2")
	f.spread(f.register.state)
}

func TestRequestsOfOneRouterAloneAreHeardOf(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.serve(settle, 7)
		for own := range uint64(200) {
			f.routers["r3"].agreement.Count(&commonprefix.Request{
				Tenant: "b", Backend: "service", Model: "m", PromptTokens: 1000,
				Prefix: []prefixcache.Block{{ID: 9, Tokens: 500}, {ID: 1<<40 + own, Tokens: 500}},
			})
		}
		time.Sleep(settle)
		synctest.Wait()
		f.requireAgreed(t, 9)
	})
}

func TestAnOlderSetChangesNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		older, err := (&commonprefix.Set{Version: 1, Seed: 1}).Encode()
		assert.NilError(t, err)
		f.serve(settle, 7)
		f.routers["r2"].agreement.Adopt(older)
		f.requireAgreed(t, 7)
	})
}

func TestAProposalThatWasTakenIsAcknowledgedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fleet) {
		f.serve(settle, 7)
		r1 := f.routers["r1"].agreement
		current := r1.Set()
		next := current.Successor(nil, nil)
		for range 2 {
			assert.NilError(t, r1.propose(context.Background(), current, next))
		}
		assert.Equal(t, f.register.versions[len(f.register.versions)-1], next.Version)
	})
}
