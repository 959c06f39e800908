package configstore

import (
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/periodic"
)

// replicationTimeout is how long a chosen proposal waits for the voters beyond its quorum if some voters are volatile.
const replicationTimeout = 250 * time.Millisecond

// replicateChosenState waits, for replicationTimeout at most, until all voters that answer hold the chosen state. It
// does so only if some voters are volatile: those of the quorum may all end and lose their memory, and a recovery then
// relies on the state of the others. If a voter has promised a higher ballot, the state is proposed again under a
// ballot above that one.
func (store *Store) replicateChosenState(round *round, proposer *casregister.Proposer) {
	if !proposer.HasVolatile() {
		return
	}
	round, cancel := round.withTimeout(replicationTimeout)
	defer cancel()
	for store.awaitReplication(round, proposer) == casregister.ReplicationRejected {
		proposer = store.rewriteChosenState(round, proposer.HigherBallot())
	}
}

// rewriteChosenState proposes the chosen state again under ballots above the given one, until it is chosen or the round
// ends.
func (store *Store) rewriteChosenState(round *round, higher casregister.Ballot) *casregister.Proposer {
	for {
		store.raiseBallot(higher)
		periodic.Sleep(round.ctx, rand.N(minBackoff))
		proposer := store.newProposer(keepValue, true)
		result := store.runProposer(round, proposer)
		if result.Outcome == casregister.Chosen {
			_, _ = store.adoptRegisterState(result.State)
			store.notifyAcceptors(result.State)
			return proposer
		}
		if round.ctx.Err() != nil {
			return proposer
		}
		higher = result.HigherBallot
	}
}

// awaitReplication receives replies until all voters have answered or the round ends.
func (store *Store) awaitReplication(round *round, proposer *casregister.Proposer) casregister.Replication {
	for round.ctx.Err() == nil {
		if replication := proposer.Replication(); replication != casregister.ReplicationPending {
			return replication
		}
		select {
		case reply := <-round.replies:
			proposer.Receive(reply)
		case <-round.ctx.Done():
		}
	}
	return casregister.ReplicationPending
}
