package configstore

import (
	"context"
	"time"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/periodic"
)

const (
	// resolveDelay is the average time to wait for another router's report that an accepted state is chosen, before
	// this one reads the register itself.
	resolveDelay = 100 * time.Millisecond
	// resolveTimeout bounds one attempt.
	resolveTimeout = time.Second
	// maxResolveInterval bounds the average pause between attempts, which doubles from resolveDelay.
	maxResolveInterval = time.Second
)

// resolve reads the register when no router has reported whether the accepted state is chosen, and while this process
// knows no chosen state. Otherwise a state whose proposer failed after its accept phase could stay unknown.
func (store *Store) resolve(ctx context.Context) {
	pause := resolveDelay
	for ctx.Err() == nil {
		if !store.isUnresolved() {
			pause = resolveDelay
			waitForWake(ctx, store.wakeResolve)
		}
		periodic.Sleep(ctx, jitter(pause))
		if !store.isUnresolved() {
			continue
		}
		store.resolveOnce(ctx)
		pause = min(2*pause, maxResolveInterval)
	}
}

func (store *Store) resolveOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	chosen, err := store.read(ctx)
	if err != nil {
		store.log.WithError(err).Debug("cannot determine the newest chosen state yet")
		return
	}
	store.notifyAcceptors(chosen.register)
}

// recordChosenBallot records that a state with this ballot is chosen.
func (store *Store) recordChosenBallot(ballot casregister.Ballot) {
	for {
		known := store.highestChosenBallot.Load()
		if known != nil && !known.Less(ballot) {
			return
		}
		if store.highestChosenBallot.CompareAndSwap(known, &ballot) {
			wake(store.wakeResolve)
			return
		}
	}
}

// isUnresolved reports whether this process knows no chosen state, its acceptor holds a state that is not known to be
// chosen, or another router has reported a chosen state that is newer than the current one. In a process without an
// acceptor, only the first of these counts.
func (store *Store) isUnresolved() bool {
	current := store.Current()
	if current == nil {
		return true
	}
	if store.acceptor == nil {
		return false
	}
	if reported := store.highestChosenBallot.Load(); reported != nil && current.register.Ballot.Less(*reported) {
		return true
	}
	return current.register.Ballot.Less(store.acceptor.accepted().Ballot)
}

func waitForWake(ctx context.Context, channel <-chan struct{}) {
	select {
	case <-channel:
	case <-ctx.Done():
	}
}
