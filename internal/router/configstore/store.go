package configstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/casregister"
)

// Store is this process's part in the configuration register. All methods may be called from any goroutine.
type Store struct {
	options  Options
	log      logrus.FieldLogger
	proposer string
	opened   time.Time
	acceptor *acceptor // nil if this process has none

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	current atomic.Pointer[Chosen]
	// start is the newest set heard of, from which proposals start. Nil while nothing is known.
	start atomic.Pointer[casregister.Set]

	// noticed is the highest ballot that another router said to be chosen.
	noticed atomic.Pointer[casregister.Ballot]

	// proposing has room for one: proposals of one process are made one after the other. Its holder owns lastBallot.
	proposing  chan struct{}
	lastBallot casregister.Ballot

	adopting  sync.Mutex // orders changes of current and their announcements
	news      []*Chosen  // chosen states still to be announced
	listeners []func(*Chosen)
	newsReady chan struct{}

	presence presence
	endings  endings
	// isBystander says that this process's acceptor is volatile in a fleet that has disks.
	isBystander atomic.Bool

	wakeResolve,
	wakeDiscover,
	wakeMembers chan struct{}
}

// openPatience is how long Open waits for the disk.
const openPatience = time.Second

// Open starts the store, which reads the acceptor's record or decides its identity on an empty disk. A disk that hangs or
// refuses is tried again in the background, and Identity is empty until then.
func Open(options Options) (*Store, error) {
	store := &Store{
		options:      options,
		log:          options.Log,
		proposer:     options.Node + "#" + randomSuffix(),
		opened:       time.Now(),
		proposing:    make(chan struct{}, 1),
		newsReady:    make(chan struct{}, 1),
		wakeResolve:  make(chan struct{}, 1),
		wakeDiscover: make(chan struct{}, 1),
		wakeMembers:  make(chan struct{}, 1),
	}
	store.ctx, store.cancel = context.WithCancel(context.Background())
	if store.log == nil {
		store.log = logrus.StandardLogger()
	}
	if first := firstSet(options); !first.IsZero() {
		store.start.Store(&first)
	}
	if options.Self != nil {
		store.startAcceptor()
	}
	store.startGoroutines()
	return store, nil
}

// startAcceptor starts the acceptor's goroutine and waits for its disk for a while.
func (store *Store) startAcceptor() {
	store.acceptor = newAcceptor(store.options, store.log)
	store.acceptor.onAccepted = func() { wake(store.wakeResolve) }
	store.acceptor.onOpened = func(record casregister.Record) {
		store.raiseStart(record.First)
		store.raiseStart(record.Accepted.Value.Set)
		wake(store.wakeResolve)
	}
	store.done.Go(func() { store.acceptor.run(store.ctx) })
	patience := time.NewTimer(openPatience)
	defer patience.Stop()
	select {
	case <-store.acceptor.opened:
	case <-patience.C:
	}
}

func (store *Store) startGoroutines() {
	store.done.Go(func() { store.announce(store.ctx) })
	store.done.Go(func() { store.discover(store.ctx) })
	store.done.Go(func() { store.resolve(store.ctx) })
	store.done.Go(func() { store.changeMembers(store.ctx) })
}

// Close ends the store's goroutines and waits for a disk write under way.
func (store *Store) Close() {
	store.cancel()
	store.done.Wait()
}

// Identity is the identity of this process's acceptor, empty if it has none or its disk has not answered yet.
func (store *Store) Identity() casregister.AcceptorID {
	if store.acceptor == nil {
		return ""
	}
	durable := store.acceptor.durable.Load()
	if durable == nil {
		return ""
	}
	return durable.ID
}

// WriteUnderWay is how long the acceptor's disk has taken so far for a write that it has not answered, zero if there is none.
func (store *Store) WriteUnderWay() time.Duration {
	if store.acceptor == nil {
		return 0
	}
	return store.acceptor.writeUnderWay()
}

// RefusesWrites says whether the acceptor's disk refused the last write.
func (store *Store) RefusesWrites() bool {
	return store.acceptor != nil && store.acceptor.refused.Load()
}

// Current is the newest state that this process knows to be chosen, nil while it knows none. Before the first
// configuration it has revision zero and no document.
func (store *Store) Current() *Chosen { return store.current.Load() }

// startingSet is where proposals and reads begin. It is zero while nothing is known.
func (store *Store) startingSet() casregister.Set {
	set := casregister.Set{}
	if start := store.start.Load(); start != nil {
		set = *start
	}
	if current := store.Current(); current != nil && current.Set.Epoch >= set.Epoch {
		return current.Set
	}
	return set
}

// raiseStart notes a set if it is newer than the one known.
func (store *Store) raiseStart(set casregister.Set) {
	for {
		known := store.start.Load()
		if set.IsZero() || (known != nil && known.Epoch >= set.Epoch) {
			return
		}
		if store.start.CompareAndSwap(known, &set) {
			return
		}
	}
}

// wake signals a goroutine that waits on the channel, at most once at a time.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
