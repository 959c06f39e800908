package configstore

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/disk/simdisk"
)

const (
	linkDelay    = 10 * time.Millisecond
	syncDelay    = time.Millisecond
	broadcastLag = 100 * time.Millisecond
	viewInterval = 100 * time.Millisecond
	// orderTime is what an order of the operator may take.
	orderTime = 3 * time.Second
	// settleTime is enough for a change of the acceptor set.
	settleTime = 1500 * time.Millisecond
)

var errUnreachable = errors.New("unreachable")

// fleet is some routers in virtual time, with simulated links, disks and membership.
type fleet struct {
	t        *testing.T
	initial  []string
	tolerate int
	watching sync.Once
	stopping sync.Once
	stopped  chan struct{}

	mutex   sync.Mutex
	routers []*router
	// volatile says that machines without a disk have volatile acceptors.
	volatile bool
	// hears says whether chosen states are told to all routers, as the cluster does.
	hears bool
	// half holds the addresses of the machines that reach only each other; empty: all reach all.
	half map[string]bool
	// calls counts the calls of each machine, received the bytes of the answers to them.
	calls    map[string]int
	received map[string]int
	// onCall is called before each call, if it is set.
	onCall func(from *router, address string, message envelope)
}

// router is a machine: its store while it runs, and its disk if it has one.
type router struct {
	fleet   *fleet
	address string
	zone    string
	disk    *simdisk.Disk // nil if it has none
	store   *Store        // nil while it is down
	cut     bool
}

func newFleet(t *testing.T, initial ...string) *fleet {
	fleet := &fleet{t: t, initial: initial, tolerate: 1, hears: true, stopped: make(chan struct{}), calls: map[string]int{}, received: map[string]int{}}
	t.Cleanup(fleet.stop)
	return fleet
}

// stop stops all machines and lets the calls under way end.
func (fleet *fleet) stop() {
	fleet.stopping.Do(func() { close(fleet.stopped) })
	for _, router := range fleet.routers {
		router.stop()
	}
	time.Sleep(orderTime)
}

// add adds a machine that is down.
func (fleet *fleet) add(address string, hasDisk bool) *router {
	added := &router{fleet: fleet, address: address, zone: "zone of " + address}
	if hasDisk {
		added.replaceDisk()
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.routers = append(fleet.routers, added)
	return added
}

// startAll adds and starts machines with a disk.
func (fleet *fleet) startAll(bootstrap bool, addresses ...string) []*router {
	var started []*router
	for _, address := range addresses {
		added := fleet.add(address, true)
		added.start(bootstrap)
		started = append(started, added)
	}
	fleet.watch()
	return started
}

// watch starts the membership, which tells each router what acceptors there are.
func (fleet *fleet) watch() {
	fleet.watching.Do(func() { go fleet.tellCandidates() })
}

func (fleet *fleet) tellCandidates() {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-fleet.stopped:
			return
		}
		candidates := fleet.candidates()
		for _, router := range fleet.running() {
			if store := router.running(); store != nil {
				store.UpdateCandidates(candidates)
			}
		}
	}
}

// running is the machine's store if it runs and is not cut off.
func (router *router) running() *Store {
	router.fleet.mutex.Lock()
	defer router.fleet.mutex.Unlock()
	if router.cut {
		return nil
	}
	return router.store
}

func (router *router) setCut(cut bool) {
	router.fleet.mutex.Lock()
	defer router.fleet.mutex.Unlock()
	router.cut = cut
}

// setCallHook has a function called before each call.
func (fleet *fleet) setCallHook(hook func(from *router, address string, message envelope)) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.onCall = hook
}

func (fleet *fleet) callHook() func(from *router, address string, message envelope) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.onCall
}

func (fleet *fleet) candidates() []Candidate {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var candidates []Candidate
	for _, router := range fleet.routers {
		if router.store == nil || router.cut || router.store.Identity() == "" {
			continue
		}
		candidates = append(candidates, Candidate{
			Acceptor: casregister.Acceptor{
				ID:       router.store.Identity(),
				Address:  router.address,
				Volatile: router.disk == nil,
			},
			Zone:      router.zone,
			Reachable: true,
		})
	}
	return candidates
}

func (fleet *fleet) running() []*router {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(fleet.routers), func(router *router) bool { return router.store == nil })
}

func (fleet *fleet) find(address string) *router {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, router := range fleet.routers {
		if router.address == address && router.store != nil && !router.cut {
			return router
		}
	}
	return nil
}

// tell tells a chosen state to all other routers.
func (fleet *fleet) tell(from *router, chosen *Chosen) {
	if !fleet.hears {
		return
	}
	encoded := chosen.Encode()
	time.AfterFunc(broadcastLag, func() {
		if from.running() == nil {
			return
		}
		for _, router := range fleet.running() {
			if store := router.running(); store != nil && router != from {
				store.Learn(encoded)
			}
		}
	})
}

func (router *router) replaceDisk() {
	replacement := simdisk.New()
	replacement.Before(func(operation simdisk.Operation, _ string) error {
		if operation == simdisk.Sync {
			time.Sleep(syncDelay)
		}
		return nil
	})
	router.fleet.mutex.Lock()
	defer router.fleet.mutex.Unlock()
	router.disk = replacement
}

func (router *router) start(bootstrap bool) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	options := Options{
		Node:      router.address,
		Bootstrap: bootstrap,
		Initial:   router.fleet.initial,
		Tolerate:  router.fleet.tolerate,
		Caller:    router,
		Log:       log,
	}
	if router.disk != nil {
		options.Self = &casregister.Acceptor{Address: router.address}
		options.Files = router.disk
	} else if router.fleet.volatile {
		options.Self = &casregister.Acceptor{Address: router.address, Volatile: true}
	}
	store, err := Open(options)
	assert.NilError(router.fleet.t, err)
	store.OnChosen(func(chosen *Chosen) { router.fleet.tell(router, chosen) })
	router.fleet.mutex.Lock()
	defer router.fleet.mutex.Unlock()
	router.store = store
}

// stop ends the process. What it was writing is finished or not, as the disk was told.
func (router *router) stop() {
	router.fleet.mutex.Lock()
	store := router.store
	router.store = nil
	router.fleet.mutex.Unlock()
	if store != nil {
		store.Close()
	}
}

// losePower stops the machine and loses what its disk had not synced.
func (router *router) losePower(random *rand.Rand) {
	if router.disk != nil {
		router.disk.CutPower()
	}
	router.stop()
	if router.disk != nil {
		router.disk.PowerOn(random)
	}
}

// Call is the transport: a machine that is down or cut off says nothing.
func (router *router) Call(ctx context.Context, address string, request []byte) ([]byte, error) {
	if onCall := router.fleet.callHook(); onCall != nil {
		var message envelope
		assert.NilError(router.fleet.t, decodeMessage(request, &message))
		onCall(router, address, message)
	}
	router.fleet.countCall(router.address)
	sleep(ctx, jitter(linkDelay))
	target := router.fleet.find(address)
	if target == nil || router.running() == nil || router.fleet.isApart(router.address, address) {
		<-ctx.Done()
		return nil, errUnreachable
	}
	store := target.running()
	if store == nil {
		return nil, errUnreachable
	}
	answer, err := store.HandleRequest(ctx, request)
	router.fleet.countAnswer(router.address, len(answer))
	sleep(ctx, jitter(linkDelay))
	if ctx.Err() != nil {
		return nil, errUnreachable
	}
	return answer, err
}

func (fleet *fleet) countCall(address string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.calls[address]++
}

func (fleet *fleet) countAnswer(address string, size int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.received[address] += size
}

func (fleet *fleet) receivedBy(router *router) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.received[router.address]
}

func (fleet *fleet) callsOf(router *router) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.calls[router.address]
}

// isApart says whether two machines are in different halves.
func (fleet *fleet) isApart(from, to string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return len(fleet.half) > 0 && fleet.half[from] != fleet.half[to]
}

// put is an operator's order: a document on top of a generation. It returns how long the acknowledgement took.
func (router *router) put(base, generation int64) (State, time.Duration, error) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	state, err := router.store.Propose(ctx, putChange(base, generation))
	return state, time.Since(begun), err
}

var errOtherVersion = errors.New("another version is current")

func documentOf(generation int64) []byte { return fmt.Appendf(nil, "document %d", generation) }

func changeIDOf(base, generation int64) ChangeID {
	change := ChangeID{}
	copy(change[:], fmt.Sprintf("%d>%d", base, generation))
	return change
}

func putChange(base, generation int64) func(State) (State, error) {
	return putDocument(base, generation, documentOf(generation))
}

// putDocument is the order of a given document.
func putDocument(base, generation int64, document []byte) func(State) (State, error) {
	change := changeIDOf(base, generation)
	return func(state State) (State, error) {
		if state.HasChange(change) {
			return state, nil
		}
		if state.Generation != base {
			return state, errOtherVersion
		}
		return state.WithChange(document, generation, change), nil
	}
}

// append is an order that fits on any version.
func (router *router) append(number int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	_, err := router.store.Propose(ctx, func(state State) (State, error) {
		change := changeIDOf(-1, number)
		if state.HasChange(change) {
			return state, nil
		}
		return state.WithChange(documentOf(number), state.Generation+1, change), nil
	})
	return err
}

// read reads the generation through a quorum.
func (router *router) read() (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	state, err := router.store.Read(ctx)
	return state.Generation, err
}

// assertForce checks that all running routers have the generation in force.
func (fleet *fleet) assertForce(generation int64) {
	fleet.t.Helper()
	for _, router := range fleet.running() {
		current := router.store.Current()
		assert.Assert(fleet.t, current != nil, "%s knows nothing", router.address)
		assert.Equal(fleet.t, current.State.Generation, generation, router.address)
		assert.Equal(fleet.t, string(current.State.Document), string(documentOf(generation)))
	}
}

// assertVoters checks that all running routers know a plain set of exactly these machines' present acceptors.
func (fleet *fleet) assertVoters(voters ...*router) {
	fleet.t.Helper()
	var expected []casregister.AcceptorID
	for _, voter := range voters {
		expected = append(expected, voter.store.Identity())
	}
	slices.Sort(expected)
	for _, router := range fleet.running() {
		current := router.store.Current()
		assert.Assert(fleet.t, current != nil, "%s knows nothing", router.address)
		var actual []casregister.AcceptorID
		for _, voter := range current.Set.Voters {
			actual = append(actual, voter.ID)
		}
		slices.Sort(actual)
		assert.DeepEqual(fleet.t, actual, expected)
		assert.Assert(fleet.t, !current.Set.IsJoint())
	}
}
