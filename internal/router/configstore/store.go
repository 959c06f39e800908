package configstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/casregister"
)

// Store is this process's replica of, and client to, the configuration register. Its methods are safe for concurrent
// use.
type Store struct {
	options    Options
	log        logrus.FieldLogger
	proposerID string
	openedAt   time.Time
	acceptor   *acceptor // nil if this process has none

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	current atomic.Pointer[Chosen]
	// newestSet is the acceptor set with the highest epoch heard of, from which proposals start. Nil while none is
	// known.
	newestSet atomic.Pointer[casregister.Set]

	// highestChosenBallot is the highest ballot that another router has reported as chosen.
	highestChosenBallot atomic.Pointer[casregister.Ballot]

	// proposeSemaphore has a capacity of one: a process runs one proposal at a time. Its holder owns lastBallot.
	proposeSemaphore chan struct{}
	lastBallot       casregister.Ballot

	adoptMutex           sync.Mutex // serializes changes of current and their announcements
	pendingAnnouncements []*Chosen  // chosen states not yet passed to the listeners
	listeners            []func(*Chosen)
	wakeAnnounce         chan struct{}

	candidates     candidateTracker
	endedAcceptors endedTracker
	// isIneligible is true if this process's acceptor cannot be a voter: it is volatile in a fleet that has disks.
	isIneligible atomic.Bool

	wakeResolve,
	wakeDiscover,
	wakeMembers chan struct{}
}

// openTimeout is how long Open waits for the disk.
const openTimeout = time.Second

// Open starts the store. It loads the acceptor's record, or creates one with a new identity on an empty disk. If the
// disk hangs or fails, Open returns after openTimeout and loading continues in the background; Identity is empty
// until then.
func Open(options Options) (*Store, error) {
	store := &Store{
		options:          options,
		log:              options.Log,
		proposerID:       options.Node + "#" + randomSuffix(),
		openedAt:         time.Now(),
		proposeSemaphore: make(chan struct{}, 1),
		wakeAnnounce:     make(chan struct{}, 1),
		wakeResolve:      make(chan struct{}, 1),
		wakeDiscover:     make(chan struct{}, 1),
		wakeMembers:      make(chan struct{}, 1),
	}
	store.ctx, store.cancel = context.WithCancel(context.Background())
	if store.log == nil {
		store.log = logrus.StandardLogger()
	}
	if initial := initialSet(options); !initial.IsZero() {
		store.newestSet.Store(&initial)
	}
	if options.Self != nil {
		store.startAcceptor()
	}
	store.startGoroutines()
	return store, nil
}

// startAcceptor starts the acceptor's goroutine and waits up to openTimeout for its record to be loaded.
func (store *Store) startAcceptor() {
	store.acceptor = newAcceptor(store.options, store.log)
	store.acceptor.onAccepted = func() { wake(store.wakeResolve) }
	store.acceptor.onRecordLoaded = func(record casregister.Record) {
		store.raiseNewestSet(record.First)
		store.raiseNewestSet(record.Accepted.Value.Set)
		wake(store.wakeResolve)
	}
	store.goroutines.Go(func() { store.acceptor.run(store.ctx) })
	timer := time.NewTimer(openTimeout)
	defer timer.Stop()
	select {
	case <-store.acceptor.recordLoaded:
	case <-timer.C:
	}
}

func (store *Store) startGoroutines() {
	store.goroutines.Go(func() { store.announce(store.ctx) })
	store.goroutines.Go(func() { store.discoverState(store.ctx) })
	store.goroutines.Go(func() { store.resolve(store.ctx) })
	store.goroutines.Go(func() { store.reconcileMembers(store.ctx) })
}

// Close stops the store's goroutines, and waits for them and for a disk write in progress.
func (store *Store) Close() {
	store.cancel()
	store.goroutines.Wait()
}

// Identity returns the identity of this process's acceptor, empty if it has none or its record has not been loaded yet.
func (store *Store) Identity() casregister.AcceptorID {
	if store.acceptor == nil {
		return ""
	}
	synced := store.acceptor.syncedRecord.Load()
	if synced == nil {
		return ""
	}
	return synced.ID
}

// PendingWriteDuration returns how long the acceptor's current disk write has taken so far, zero if there is none.
func (store *Store) PendingWriteDuration() time.Duration {
	if store.acceptor == nil {
		return 0
	}
	return store.acceptor.pendingWriteDuration()
}

// LastWriteFailed reports whether the last write to the acceptor's disk failed.
func (store *Store) LastWriteFailed() bool {
	return store.acceptor != nil && store.acceptor.lastWriteFailed.Load()
}

// Current returns the newest state that this process knows to be chosen, nil if it knows none. Before the first
// configuration, the state has revision zero and no document.
func (store *Store) Current() *Chosen { return store.current.Load() }

// startingSet returns the newest known acceptor set, with which proposals and reads begin. It is zero while none is
// known.
func (store *Store) startingSet() casregister.Set {
	set := casregister.Set{}
	if start := store.newestSet.Load(); start != nil {
		set = *start
	}
	if current := store.Current(); current != nil && current.Set.Epoch >= set.Epoch {
		return current.Set
	}
	return set
}

// raiseNewestSet replaces newestSet if the given set has a higher epoch.
func (store *Store) raiseNewestSet(set casregister.Set) {
	for {
		known := store.newestSet.Load()
		if set.IsZero() || (known != nil && known.Epoch >= set.Epoch) {
			return
		}
		if store.newestSet.CompareAndSwap(known, &set) {
			return
		}
	}
}

// wake signals the goroutine that waits on the channel, which has a buffer of one. It does nothing if a signal is
// already pending.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
