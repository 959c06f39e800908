package casregister

// EndedAcceptors is the set of volatile acceptors that are proven to have ended permanently: their records are lost,
// and they will never reply again.
type EndedAcceptors map[AcceptorID]bool

// HasRecoveryQuorum is HasQuorum for a recovery. If the members of a list that have not ended are no majority of it,
// the quorum of that list is all of these remaining members, of which there must be at least one.
func (set Set) HasRecoveryQuorum(ended EndedAcceptors, contains func(AcceptorID) bool) bool {
	if set.IsZero() || !hasRecoveryQuorum(set.Voters, ended, contains) {
		return false
	}
	return !set.IsJoint() || hasRecoveryQuorum(set.Previous, ended, contains)
}

// NeedsRecovery reports whether some list of the set can no longer reach a majority while each list still has a member
// that has not ended.
func (set Set) NeedsRecovery(ended EndedAcceptors) bool {
	isRemaining := func(id AcceptorID) bool { return !ended[id] }
	return !set.HasQuorum(isRemaining) && set.HasRecoveryQuorum(ended, isRemaining)
}

func hasRecoveryQuorum(acceptors []Acceptor, ended EndedAcceptors, contains func(AcceptorID) bool) bool {
	remaining := 0
	isMissing := false
	for _, acceptor := range acceptors {
		if ended[acceptor.ID] {
			continue
		}
		remaining++
		isMissing = isMissing || !contains(acceptor.ID)
	}
	if remaining > len(acceptors)/2 {
		return hasMajority(acceptors, contains)
	}
	return remaining > 0 && !isMissing
}
