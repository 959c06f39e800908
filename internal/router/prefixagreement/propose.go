package prefixagreement

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/configstore"
)

const (
	// proposeEvery is the least time between two proposals of a router.
	proposeEvery = 5 * time.Second
	// proposeTimeout bounds one proposal.
	proposeTimeout = time.Second
)

var (
	// errNotCoordinator says that a report went to a router that does not hold the lease.
	errNotCoordinator = errors.New("prefix agreement: not the coordinator")
	// errOtherSet refuses a proposal whose set was made from another one than that in the register.
	errOtherSet = errors.New("prefix agreement: the register holds another set")
	// errNoDocument refuses a proposal before the operator's first configuration.
	errNoDocument = errors.New("prefix agreement: no configuration yet")
)

// coordinate proposes the next set if this router holds the lease and the set has changed.
func (a *Agreement) coordinate(ctx context.Context) {
	if !a.options.Lease.Holds() {
		return
	}
	current, next := a.next()
	if next == current || !a.mayPropose() {
		return
	}
	if err := a.propose(ctx, current, next); err != nil {
		a.options.Log.WithError(err).Info("the next set of common prefixes was not chosen")
	}
}

// next returns the set in force and the one to follow it, which is the same where nothing changes.
func (a *Agreement) next() (current, next *commonprefix.Set) {
	quotas, assignments := a.options.Quotas(), a.options.Assignments()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now, current := a.now(), a.set
	if len(assignments) == 0 { // no configuration yet, or no service that keeps prefixes
		return current, current
	}
	places := a.placer.Next(now, current, assignments)
	if current.Version == 0 { // nothing is counted before there is a seed
		return current, &commonprefix.Set{Version: 1, Seed: newSeed(), Places: places}
	}
	merged := a.merger.Merge(now, current.Seed)
	return current, current.Successor(commonprefix.SelectPrefixes(current, merged, quotas), places)
}

// propose changes the set in the register, provided that it still is the one from which the next was made. Of two
// proposals from the same set, and of a late one, the register thus takes at most one.
func (a *Agreement) propose(ctx context.Context, current, next *commonprefix.Set) error {
	encoded, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err = a.options.Register.Propose(ctx, func(state configstore.State) (configstore.State, error) {
		held, err := commonprefix.Decode(state.Prefixes)
		if err != nil {
			return state, err
		}
		if bytes.Equal(state.Prefixes, encoded) {
			return state, nil // this proposal was taken before
		}
		if len(state.Document) == 0 {
			return state, errNoDocument
		}
		if held.Version != current.Version || held.Seed != current.Seed {
			return state, errOtherSet
		}
		return state.WithPrefixes(encoded), nil
	})
	return err
}

// mayPropose tells whether enough time has passed, and notes that a proposal is made.
func (a *Agreement) mayPropose() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.now()
	if now-a.proposed < proposeEvery {
		return false
	}
	a.proposed = now
	return true
}
