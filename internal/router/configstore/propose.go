package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/periodic"
)

const (
	// roundTimeout is how long one proposal waits for its quorums. The next one may start from a newer set.
	roundTimeout = 1200 * time.Millisecond
	// conflictTimeout is how long a proposal waits for a quorum after an acceptor has reported a higher ballot.
	conflictTimeout = 60 * time.Millisecond
	// The backoff after a preempted proposal is random, below a limit that doubles from minBackoff to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
	// notifyTimeout bounds one notification of an acceptor that a state is chosen.
	notifyTimeout = time.Second
	// unknownSetPollInterval is how often a proposal checks for an acceptor set while none is known.
	unknownSetPollInterval = 20 * time.Millisecond
)

// Propose changes the state. The change function may be called several times, each time with the state on which its
// result must be based; the store sets the revision. An error of the function is returned only once the state that it
// was called with is known to be chosen. The returned state is chosen. ErrOutcomeUnknown means that the context ended
// first.
func (store *Store) Propose(ctx context.Context, change func(State) (State, error)) (State, error) {
	chosen, err := store.propose(ctx, func(base casregister.Value) (casregister.Value, error) {
		return changeState(base, change)
	})
	if chosen == nil {
		return State{}, err
	}
	return chosen.State, err
}

// changeState applies a change of the state to a value of the register.
func changeState(base casregister.Value, change func(State) (State, error)) (casregister.Value, error) {
	state, err := decodeState(base.Payload)
	if err != nil {
		return base, err
	}
	next, err := change(state)
	if err != nil {
		return base, err
	}
	next = withNextRevision(state, next)
	if next.Revision == state.Revision {
		return base, nil
	}
	payload, err := encodeState(next)
	if err != nil {
		return base, err
	}
	return casregister.Value{Set: base.Set, Payload: payload}, nil
}

// propose repeats a proposal under increasing ballots until it is chosen, or the change function returns an error.
func (store *Store) propose(ctx context.Context, change casregister.Change) (*Chosen, error) {
	if store.ctx.Err() != nil {
		return nil, ErrClosed
	}
	select {
	case store.proposeSemaphore <- struct{}{}:
		defer func() { <-store.proposeSemaphore }()
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	case <-store.ctx.Done():
		return nil, ErrClosed
	}
	backoff := minBackoff
	for ctx.Err() == nil && store.ctx.Err() == nil {
		if store.startingSet().IsZero() {
			periodic.Sleep(ctx, unknownSetPollInterval)
			continue
		}
		result := store.proposeOnce(ctx, change)
		switch result.Outcome {
		case casregister.Chosen:
			return store.adoptRegisterState(result.State)
		case casregister.Refused:
			chosen, err := store.adoptRegisterState(result.State)
			if err == nil {
				err = result.Err
			}
			return chosen, err
		case casregister.BaseChosen:
			if _, err := store.adoptRegisterState(result.State); err != nil {
				return nil, err
			}
		case casregister.Pending:
			wake(store.wakeDiscover)
		case casregister.Preempted:
			store.raiseBallot(result.HigherBallot)
			periodic.Sleep(ctx, rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return nil, ErrOutcomeUnknown
}

// proposeOnce makes a proposal under one ballot. The outcome is Pending if no quorum answered in time.
func (store *Store) proposeOnce(ctx context.Context, change casregister.Change) casregister.Result {
	round, cancel := store.newRound(ctx, roundTimeout)
	defer cancel()
	proposer := store.newProposer(change, false)
	result := store.runProposer(round, proposer)
	if proposer.IsAccepting() && !result.State.Ballot.IsZero() {
		store.notifyAcceptors(result.State)
		store.replicateChosenState(round, proposer)
	}
	return result
}

// newProposer begins a proposal under the next ballot. The caller must hold proposeSemaphore.
func (store *Store) newProposer(change casregister.Change, isRewrite bool) *casregister.Proposer {
	start := store.startingSet()
	ended := store.endedForRecovery(start)
	return casregister.NewProposer(casregister.Proposal{
		Ballot:   store.nextBallot(len(ended) > 0),
		Start:    start,
		Known:    store.knownState(),
		Change:   change,
		Ended:    ended,
		Rewrites: isRewrite,
	})
}

// runProposer feeds the acceptors' replies to a proposer until it has a result, a conflict times out, or the round
// ends.
func (store *Store) runProposer(round *round, proposer *casregister.Proposer) casregister.Result {
	var conflictTimer <-chan time.Time
	for {
		round.send(proposer)
		select {
		case reply := <-round.replies:
			proposer.Receive(reply)
		case <-conflictTimer:
			return casregister.Result{Outcome: casregister.Preempted, HigherBallot: proposer.HigherBallot()}
		case <-round.ctx.Done():
			return casregister.Result{}
		}
		if result := proposer.Result(); result.Outcome != casregister.Pending {
			return result
		}
		if conflictTimer == nil && !proposer.HigherBallot().IsZero() {
			conflictTimer = time.After(conflictTimeout)
		}
	}
}

// nextBallot returns a ballot above all that this process has used or seen, and far above them for a recovery. The
// caller must hold proposeSemaphore.
func (store *Store) nextBallot(isRecovery bool) casregister.Ballot {
	if current := store.Current(); current != nil {
		store.raiseBallot(current.register.Ballot)
	}
	if isRecovery {
		store.lastBallot = store.lastBallot.NextRecovery(store.proposerID)
	} else {
		store.lastBallot = store.lastBallot.Next(store.proposerID)
	}
	return store.lastBallot
}

func (store *Store) raiseBallot(ballot casregister.Ballot) {
	if store.lastBallot.Less(ballot) {
		store.lastBallot = ballot
	}
}

func (store *Store) knownState() *casregister.State {
	current := store.Current()
	if current == nil || current.register.Ballot.IsZero() {
		return nil
	}
	return &current.register
}

// notifyAcceptors tells the members of the state's set that the state is chosen, without waiting for them.
func (store *Store) notifyAcceptors(state casregister.State) {
	if state.Ballot.IsZero() {
		return
	}
	for _, member := range state.Value.Set.Members() {
		go func() {
			ctx, cancel := context.WithTimeout(store.ctx, notifyTimeout)
			defer cancel()
			_, _ = store.exchange(ctx, member, envelope{ChosenBallot: &state.Ballot})
		}()
	}
}
