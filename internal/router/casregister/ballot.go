package casregister

import (
	"cmp"
	"fmt"
)

// Ballot is the number of a proposal. Proposer must be unique for each incarnation of a process, so that no two proposals
// share a ballot.
type Ballot struct {
	Counter  uint64 `msgpack:"c"`
	Proposer string `msgpack:"p"`
}

// Compare orders ballots by counter, then by proposer.
func (ballot Ballot) Compare(other Ballot) int {
	if order := cmp.Compare(ballot.Counter, other.Counter); order != 0 {
		return order
	}
	return cmp.Compare(ballot.Proposer, other.Proposer)
}

// Less reports whether ballot is lower than other.
func (ballot Ballot) Less(other Ballot) bool { return ballot.Compare(other) < 0 }

// IsZero reports whether this is the ballot of the initial value, which no proposer proposed.
func (ballot Ballot) IsZero() bool { return ballot == Ballot{} }

// Next returns the next higher ballot, owned by proposer.
func (ballot Ballot) Next(proposer string) Ballot {
	return Ballot{Counter: ballot.Counter + 1, Proposer: proposer}
}

// recoveryBallotGap is the distance of a recovery's ballot from the highest known one. It is so large that no proposal
// that began without knowledge of the recovery reaches its ballots.
const recoveryBallotGap = 1 << 32

// NextRecovery returns a ballot of proposer for a recovery, recoveryBallotGap above this one.
func (ballot Ballot) NextRecovery(proposer string) Ballot {
	return Ballot{Counter: ballot.Counter + recoveryBallotGap, Proposer: proposer}
}

// String formats the ballot as counter@proposer.
func (ballot Ballot) String() string { return fmt.Sprintf("%d@%s", ballot.Counter, ballot.Proposer) }
