package casregister

// Outgoing is a request and the acceptor to which it is addressed.
type Outgoing struct {
	To      Acceptor
	Request Request
}

// quorumCollector collects the accepted states of acceptors: the common part of a prepare round and of a quorum read. Its
// callers first query the members of a starting set and then those of each newer value's set.
type quorumCollector struct {
	start   Set
	known   *State
	newest  *State
	ended   EndedAcceptors
	queried map[AcceptorID]bool
	// acceptedBallots maps each acceptor that has replied to its accepted ballot, zero if it has accepted nothing.
	acceptedBallots map[AcceptorID]Ballot
}

func newQuorumCollector(start Set, known *State, ended EndedAcceptors) quorumCollector {
	return quorumCollector{
		start:           start,
		known:           known,
		newest:          known,
		ended:           ended,
		queried:         make(map[AcceptorID]bool),
		acceptedBallots: make(map[AcceptorID]Ballot),
	}
}

// takeUnqueried returns the members of the set that were not queried yet and marks them as queried.
func (collector *quorumCollector) takeUnqueried(set Set) []Acceptor {
	var targets []Acceptor
	for _, acceptor := range set.Members() {
		if collector.queried[acceptor.ID] {
			continue
		}
		collector.queried[acceptor.ID] = true
		targets = append(targets, acceptor)
	}
	return targets
}

func (collector *quorumCollector) knownBallot() Ballot {
	if collector.known == nil {
		return Ballot{}
	}
	return collector.known.Ballot
}

// add records an acceptor's accepted state. It returns false for a reply without the value of a state that is not known.
func (collector *quorumCollector) add(reply Reply) bool {
	if reply.Accepted.IsZero() {
		collector.acceptedBallots[reply.From] = reply.Accepted
		return true
	}
	state := State{Ballot: reply.Accepted}
	switch {
	case reply.Value != nil:
		state.Value = *reply.Value
	case collector.known != nil && collector.known.Ballot == reply.Accepted:
		state.Value = collector.known.Value
	default:
		return false
	}
	collector.acceptedBallots[reply.From] = reply.Accepted
	if collector.newest == nil || collector.newest.Ballot.Less(state.Ballot) {
		collector.newest = &state
	}
	return true
}

// isComplete reports whether a quorum of the newest value's own set has replied. If no value was found, the register
// counts as empty only if the starting set is the initial one.
func (collector *quorumCollector) isComplete() bool {
	if collector.newest == nil && collector.start.Epoch != 0 {
		return false
	}
	return collector.base().Value.Set.HasRecoveryQuorum(collector.ended, func(id AcceptorID) bool {
		_, replied := collector.acceptedBallots[id]
		return replied
	})
}

// base returns the newest state found, or the initial value if there is none.
func (collector *quorumCollector) base() State {
	if collector.newest == nil {
		return State{Value: Value{Set: collector.start}}
	}
	return *collector.newest
}

// isChosen reports whether the base is known to be chosen: it is the initial value, or was known to be chosen before,
// or a quorum of its own set has accepted it. The quorum of a recovery is not enough here: an acceptance by all
// remaining members leaves no promise, so a proposal from before the recovery may still be accepted after it.
func (collector *quorumCollector) isChosen() bool {
	base := collector.base()
	if base.Ballot.IsZero() {
		return true
	}
	if collector.known != nil && collector.known.Ballot == base.Ballot {
		return true
	}
	return base.Value.Set.HasQuorum(func(id AcceptorID) bool { return collector.acceptedBallots[id] == base.Ballot })
}
