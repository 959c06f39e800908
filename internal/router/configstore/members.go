package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/casregister"
)

const (
	// memberCheckInterval is how often the acceptor set is compared with the candidates.
	memberCheckInterval = 200 * time.Millisecond
	// ineligibleCheckInterval is the same for a router without a disk in a fleet where other routers have one.
	ineligibleCheckInterval = time.Second
	// memberChangeTimeout bounds one change of the set.
	memberChangeTimeout = 2 * time.Second
	// selfAdmissionDelay is how long an acceptor that is not a voter waits for the voters to add it before it
	// proposes the change itself. Jitter makes it between half and one and a half of this.
	selfAdmissionDelay = 400 * time.Millisecond
	// volatileAdmissionDelay is how long after its start a router adds no volatile voter, except in place of one at
	// the same address, since it may not have heard yet of a router with a disk.
	volatileAdmissionDelay = 3 * time.Second
	// otherVoterDelay is how long the other voters wait for the reachable voter with the lowest identity to make a
	// change. Jitter makes it between half and one and a half of this.
	otherVoterDelay = 1500 * time.Millisecond
)

// errNoChangeNeeded rejects a change of the set that the newest state no longer needs.
var errNoChangeNeeded = errors.New("configstore: the acceptor set needs no change")

// UpdateCandidates replaces the list of machines that could be acceptors, as membership reports them.
func (store *Store) UpdateCandidates(candidates []Candidate) {
	store.candidates.update(candidates, time.Now())
	isIneligible := store.acceptor != nil && store.options.Self.Volatile && anyHasDisk(candidates)
	store.isIneligible.Store(isIneligible)
	if !isIneligible {
		wake(store.wakeMembers)
	}
}

// reconcileMembers changes the acceptor set step by step to the one that the policy wants for the current candidates.
// It returns at once in a process without an acceptor.
func (store *Store) reconcileMembers(ctx context.Context) {
	if store.acceptor == nil {
		return
	}
	var neededSince time.Time
	for ctx.Err() == nil {
		waitForWakeOrTimeout(ctx, store.wakeMembers, store.currentCheckInterval())
		if store.lacksQuorum() {
			store.probeAcceptors(ctx)
		}
		if !store.needsMemberChange() {
			neededSince = time.Time{}
			continue
		}
		if neededSince.IsZero() {
			neededSince = time.Now()
		}
		if time.Since(neededSince) >= store.memberChangeDelay() {
			store.proposeMemberChange(ctx)
		}
	}
}

// currentCheckInterval is the pause between two checks of the set.
func (store *Store) currentCheckInterval() time.Duration {
	if store.isIneligible.Load() {
		return ineligibleCheckInterval
	}
	return memberCheckInterval
}

func waitForWakeOrTimeout(ctx context.Context, channel <-chan struct{}, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-channel:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// currentPolicy returns the policy for the acceptor set, with the current candidates.
func (store *Store) currentPolicy() memberPolicy {
	if current := store.Current(); current != nil {
		store.candidates.addUnlisted(current.Set.Voters, time.Now())
	}
	return memberPolicy{
		ended:             store.endedAcceptors.provenBefore(time.Now().Add(-recoveryDelay)),
		toleratedFailures: store.options.Tolerate,
		self:              store.Identity(),
		candidates:        store.candidates.list(time.Now()),
		admitsVolatile:    time.Since(store.openedAt) >= volatileAdmissionDelay,
	}
}

// lacksQuorum reports whether the reachable acceptors of the set do not form a quorum, so that some may have ended
// for good. It is false for routers without a disk in a fleet that has disks: they are many, and acceptors with a
// disk don't end.
func (store *Store) lacksQuorum() bool {
	current := store.Current()
	if current == nil || store.isIneligible.Load() {
		return false
	}
	return !current.Set.HasQuorum(store.currentPolicy().isReachable)
}

// memberChangeDelay is how long this process waits for others to make a change of the set.
func (store *Store) memberChangeDelay() time.Duration {
	current := store.Current()
	switch {
	case current == nil || !current.Set.HasVoter(store.Identity()):
		return jitter(selfAdmissionDelay)
	case store.currentPolicy().lowestReachableVoter(current.Set) == store.Identity():
		return 0
	default:
		return jitter(otherVoterDelay)
	}
}

// needsMemberChange reports whether the set needs a change that this process may propose: it is a voter, or the change
// makes it one.
func (store *Store) needsMemberChange() bool {
	current := store.Current()
	if current == nil {
		return false
	}
	self := store.Identity()
	next, isNeeded := store.currentPolicy().nextSet(current.Set)
	return isNeeded && (current.Set.HasVoter(self) || next.HasVoter(self))
}

func (store *Store) proposeMemberChange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	policy := store.currentPolicy()
	chosen, err := store.propose(ctx, func(base casregister.Value) (casregister.Value, error) {
		next, isNeeded := policy.nextSet(base.Set)
		if !isNeeded {
			return base, errNoChangeNeeded
		}
		return casregister.Value{Set: next, Payload: base.Payload}, nil
	})
	if err == nil {
		store.log.WithField("epoch", chosen.Set.Epoch).Info("acceptor set changed")
	}
}
