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
	"pewterrudder/internal/router/periodic"
)

const (
	linkDelay          = 10 * time.Millisecond
	syncDelay          = time.Millisecond
	broadcastDelay     = 100 * time.Millisecond
	membershipInterval = 100 * time.Millisecond
	// requestTimeout bounds one change or read of an operator.
	requestTimeout = 3 * time.Second
	// settleTime is enough for one change of the acceptor set.
	settleTime = 1500 * time.Millisecond
)

var errUnreachable = errors.New("unreachable")

// fleet is a set of routers in virtual time, with simulated links, disks and membership.
type fleet struct {
	t                 *testing.T
	initial           []string
	toleratedFailures int
	membershipOnce    sync.Once
	stopOnce          sync.Once
	stopped           chan struct{}

	mutex   sync.Mutex
	routers []*router
	// volatile gives machines without a disk a volatile acceptor. Otherwise they have none.
	volatile bool
	// broadcastsChosen sends chosen states to all routers, as the cluster does.
	broadcastsChosen bool
	// partition contains the addresses of the machines on one side of a partition. If it is empty, there is none.
	partition map[string]bool
	// calls counts the calls of each machine, received the bytes of the responses to them, both by address.
	calls    map[string]int
	received map[string]int
	// onCall is called before each call if it is not nil.
	onCall func(from *router, address string, message envelope)
}

// router is a machine with its store, and its disk if it has one.
type router struct {
	fleet    *fleet
	address  string
	zone     string
	disk     *simdisk.Disk // nil if it has none
	store    *Store        // nil while it is down
	isolated bool
}

func newFleet(t *testing.T, initial ...string) *fleet {
	fleet := &fleet{t: t, initial: initial, toleratedFailures: 1, broadcastsChosen: true, stopped: make(chan struct{}), calls: map[string]int{}, received: map[string]int{}}
	t.Cleanup(fleet.stop)
	return fleet
}

// stop stops all machines and waits for calls in progress to end.
func (fleet *fleet) stop() {
	fleet.stopOnce.Do(func() { close(fleet.stopped) })
	for _, router := range fleet.routers {
		router.stop()
	}
	time.Sleep(requestTimeout)
}

// add adds a machine without starting it.
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

// startAll adds and starts machines with a disk, and starts the membership.
func (fleet *fleet) startAll(bootstrap bool, addresses ...string) []*router {
	var started []*router
	for _, address := range addresses {
		added := fleet.add(address, true)
		added.start(bootstrap)
		started = append(started, added)
	}
	fleet.startMembership()
	return started
}

// startMembership starts the simulated membership, which reports the acceptors to each router.
func (fleet *fleet) startMembership() {
	fleet.membershipOnce.Do(func() { go fleet.updateCandidates() })
}

func (fleet *fleet) updateCandidates() {
	ticker := time.NewTicker(membershipInterval)
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

// running returns the machine's store, nil if it is down or isolated.
func (router *router) running() *Store {
	router.fleet.mutex.Lock()
	defer router.fleet.mutex.Unlock()
	if router.isolated {
		return nil
	}
	return router.store
}

func (router *router) setIsolated(isolated bool) {
	router.fleet.mutex.Lock()
	defer router.fleet.mutex.Unlock()
	router.isolated = isolated
}

// setCallHook sets a function that is called before each call; nil removes it.
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
		if router.store == nil || router.isolated || router.store.Identity() == "" {
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

func (fleet *fleet) findRunning(address string) *router {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, router := range fleet.routers {
		if router.address == address && router.store != nil && !router.isolated {
			return router
		}
	}
	return nil
}

// broadcast sends a chosen state to all other routers after broadcastDelay.
func (fleet *fleet) broadcast(from *router, chosen *Chosen) {
	if !fleet.broadcastsChosen {
		return
	}
	encoded := chosen.Encode()
	time.AfterFunc(broadcastDelay, func() {
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
	replacement.SetHook(func(operation simdisk.Operation, _ string) error {
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
		Seeds:     router.fleet.initial,
		Tolerate:  router.fleet.toleratedFailures,
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
	store.OnChosen(func(chosen *Chosen) { router.fleet.broadcast(router, chosen) })
	router.fleet.mutex.Lock()
	defer router.fleet.mutex.Unlock()
	router.store = store
}

// stop ends the process. Whether a write in progress completes depends on the simulated disk.
func (router *router) stop() {
	router.fleet.mutex.Lock()
	store := router.store
	router.store = nil
	router.fleet.mutex.Unlock()
	if store != nil {
		store.Close()
	}
}

// losePower stops the machine and loses the data that its disk had not synced.
func (router *router) losePower(random *rand.Rand) {
	if router.disk != nil {
		router.disk.CutPower()
	}
	router.stop()
	if router.disk != nil {
		router.disk.PowerOn(random)
	}
}

// Call is the transport. Calls to or from a machine that is down or isolated, or across a partition, get no response.
func (router *router) Call(ctx context.Context, address string, request []byte) ([]byte, error) {
	if onCall := router.fleet.callHook(); onCall != nil {
		var message envelope
		assert.NilError(router.fleet.t, decodeMessage(request, &message))
		onCall(router, address, message)
	}
	router.fleet.countCall(router.address)
	periodic.Sleep(ctx, jitter(linkDelay))
	target := router.fleet.findRunning(address)
	if target == nil || router.running() == nil || router.fleet.isSeparated(router.address, address) {
		<-ctx.Done()
		return nil, errUnreachable
	}
	store := target.running()
	if store == nil {
		return nil, errUnreachable
	}
	answer, err := store.HandleRequest(ctx, request)
	router.fleet.countAnswer(router.address, len(answer))
	periodic.Sleep(ctx, jitter(linkDelay))
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

// isSeparated reports whether two machines are on different sides of a partition.
func (fleet *fleet) isSeparated(from, to string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return len(fleet.partition) > 0 && fleet.partition[from] != fleet.partition[to]
}

// put proposes an operator's change: the document of a generation on top of the base generation. It returns the time
// until it was acknowledged.
func (router *router) put(base, generation int64) (State, time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	state, err := router.store.Propose(ctx, putChange(base, generation))
	return state, time.Since(start), err
}

var errGenerationMismatch = errors.New("another generation is current")

func documentOf(generation int64) []byte { return fmt.Appendf(nil, "document %d", generation) }

func changeIDOf(base, generation int64) ChangeID {
	change := ChangeID{}
	copy(change[:], fmt.Sprintf("%d>%d", base, generation))
	return change
}

func putChange(base, generation int64) func(State) (State, error) {
	return putDocument(base, generation, documentOf(generation))
}

// putDocument returns the change function of an operator's change that sets the given document.
func putDocument(base, generation int64, document []byte) func(State) (State, error) {
	change := changeIDOf(base, generation)
	return func(state State) (State, error) {
		if state.HasChange(change) {
			return state, nil
		}
		if state.Generation != base {
			return state, errGenerationMismatch
		}
		return state.WithChange(document, generation, change), nil
	}
}

// appendChange proposes a change that applies to any generation.
func (router *router) appendChange(number int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
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

// read returns the generation of a quorum read.
func (router *router) read() (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	state, err := router.store.Read(ctx)
	return state.Generation, err
}

// assertGeneration checks that the generation and its document are current at all running routers.
func (fleet *fleet) assertGeneration(generation int64) {
	fleet.t.Helper()
	for _, router := range fleet.running() {
		current := router.store.Current()
		assert.Assert(fleet.t, current != nil, "%s knows no chosen state", router.address)
		assert.Equal(fleet.t, current.State.Generation, generation, router.address)
		assert.Equal(fleet.t, string(current.State.Document), string(documentOf(generation)))
	}
}

// assertVoters checks that the voters at all running routers are exactly the acceptors of these machines' current
// processes, and that the set is not joint.
func (fleet *fleet) assertVoters(voters ...*router) {
	fleet.t.Helper()
	var expected []casregister.AcceptorID
	for _, voter := range voters {
		expected = append(expected, voter.store.Identity())
	}
	slices.Sort(expected)
	for _, router := range fleet.running() {
		current := router.store.Current()
		assert.Assert(fleet.t, current != nil, "%s knows no chosen state", router.address)
		var actual []casregister.AcceptorID
		for _, voter := range current.Set.Voters {
			actual = append(actual, voter.ID)
		}
		slices.Sort(actual)
		assert.DeepEqual(fleet.t, actual, expected)
		assert.Assert(fleet.t, !current.Set.IsJoint())
	}
}
