package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/casregister"
)

// readTimeout is how long a quorum read waits for matching replies. After that, Read proposes the unchanged value.
const readTimeout = 150 * time.Millisecond

// errUnresolved is returned by a quorum read that found no chosen state.
var errUnresolved = errors.New("configstore: the newest state is not known to be chosen")

// Read returns a state that includes every change acknowledged before the call. It queries a quorum, and makes a
// proposal only if the newest state found is not known to be chosen. ErrOutcomeUnknown means that the context ended
// first.
func (store *Store) Read(ctx context.Context) (State, error) {
	chosen, err := store.read(ctx)
	if err != nil {
		return State{}, err
	}
	return chosen.State, nil
}

func (store *Store) read(ctx context.Context) (*Chosen, error) {
	if store.ctx.Err() != nil {
		return nil, ErrClosed
	}
	state, err := store.readQuorum(ctx)
	if err == nil {
		return store.adoptRegisterState(state)
	}
	return store.propose(ctx, keepValue)
}

// ReadRevision returns a revision that was the newest at a quorum at some time during the call. The store's current
// state is then at least as new. Unlike Read, it writes nothing: it fails if the newest state found is not known to be
// chosen.
func (store *Store) ReadRevision(ctx context.Context) (uint64, error) {
	state, err := store.readQuorum(ctx)
	if err != nil {
		return 0, err
	}
	chosen, err := store.adoptRegisterState(state)
	if err != nil {
		return 0, err
	}
	return chosen.State.Revision, nil
}

// CurrentSet returns the newest acceptor set that is known to be chosen, zero if none is.
func (store *Store) CurrentSet() casregister.Set {
	chosen := store.Current()
	if chosen == nil {
		return casregister.Set{}
	}
	return chosen.Set
}

// ReadSet returns the acceptor set that was current at some time during the call, with a quorum read as in Read.
func (store *Store) ReadSet(ctx context.Context) (casregister.Set, error) {
	chosen, err := store.read(ctx)
	if err != nil {
		return casregister.Set{}, err
	}
	return chosen.Set, nil
}

// keepValue is a change function that returns the value unchanged.
func keepValue(base casregister.Value) (casregister.Value, error) { return base, nil }

// readQuorum queries the acceptors for the newest chosen state, without writing. It fails after readTimeout.
func (store *Store) readQuorum(ctx context.Context) (casregister.State, error) {
	start := store.startingSet()
	if start.IsZero() {
		return casregister.State{}, errUnresolved
	}
	round, cancel := store.newRound(ctx, readTimeout)
	defer cancel()
	reader := casregister.NewReader(start, store.knownState())
	for {
		round.send(reader)
		select {
		case reply := <-round.replies:
			reader.Receive(reply)
		case <-round.ctx.Done():
			return casregister.State{}, errUnresolved
		}
		if state, isChosen := reader.Result(); isChosen {
			return state, nil
		}
	}
}
