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
	// minProposeInterval is the minimum time between two proposals of a router.
	minProposeInterval = 5 * time.Second
	// proposeTimeout is the time limit of a proposal.
	proposeTimeout = time.Second
)

var (
	// errNotCoordinator means that the receiver of a report does not hold the lease.
	errNotCoordinator = errors.New("prefix agreement: not the coordinator")
	// errSetChanged rejects a proposal that was derived from another set than the one in the register.
	errSetChanged = errors.New("prefix agreement: the set in the register has changed")
	// errNoConfiguration rejects a proposal before the operator's first configuration.
	errNoConfiguration = errors.New("prefix agreement: the register holds no configuration yet")
)

// proposeNext proposes the next set if this router holds the lease and the next set differs from the current one.
func (a *Agreement) proposeNext(ctx context.Context) {
	if !a.options.Lease.IsCoordinator() {
		return
	}
	current, next := a.nextSet()
	if next == current || !a.allowProposal() {
		return
	}
	if err := a.propose(ctx, current, next); err != nil {
		a.options.Log.WithError(err).Info("cannot propose the next set of common prefixes")
	}
}

// nextSet returns the current set and its successor, which is the same set if nothing changes.
func (a *Agreement) nextSet() (current, next *commonprefix.Set) {
	quotas, assignments := a.options.Quotas(), a.options.Assignments()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now, current := a.now(), a.set
	if len(assignments) == 0 { // no configuration yet, or no service whose instances cache prefixes
		return current, current
	}
	places := a.placer.Next(now, current, assignments)
	if current.Version == 0 { // no prefixes are counted before there is a seed
		return current, &commonprefix.Set{Version: 1, Seed: newSeed(), Places: places}
	}
	counts := a.merger.Merge(now, current.Seed)
	return current, current.Successor(commonprefix.SelectPrefixes(current, counts, quotas), places)
}

// propose replaces the set in the register with next, provided that the register still holds current, from which next
// was derived. So at most one of several proposals derived from the same set succeeds, and a late one fails.
func (a *Agreement) propose(ctx context.Context, current, next *commonprefix.Set) error {
	encoded, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err = a.options.Register.Propose(ctx, func(state configstore.State) (configstore.State, error) {
		registered, err := commonprefix.Decode(state.Prefixes)
		if err != nil {
			return state, err
		}
		if bytes.Equal(state.Prefixes, encoded) {
			return state, nil // this proposal has succeeded before
		}
		if len(state.Document) == 0 {
			return state, errNoConfiguration
		}
		if registered.Version != current.Version || registered.Seed != current.Seed {
			return state, errSetChanged
		}
		return state.WithPrefixes(encoded), nil
	})
	return err
}

// allowProposal reports whether minProposeInterval has passed since the last proposal, and if so records a new one.
func (a *Agreement) allowProposal() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.now()
	if now-a.lastProposed < minProposeInterval {
		return false
	}
	a.lastProposed = now
	return true
}
