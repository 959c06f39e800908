package casregister

// Change is the change function of a proposal: it returns the next value for the current one, or an error to refuse.
type Change func(base Value) (Value, error)

// Outcome is how a proposal ended.
type Outcome uint8

// The outcomes. Pending: the proposal has not ended.
const (
	Pending Outcome = iota
	// Chosen: the changed value is chosen.
	Chosen
	// Refused: the change function returned an error for the state of the result, which is chosen.
	Refused
	// BaseChosen: the base is now known to be chosen, and the set change may be proposed on it.
	BaseChosen
	// Preempted: no quorum can be reached any more, and an acceptor has promised a higher ballot.
	Preempted
)

// Result is the result of a proposal. State is a chosen state, except for Preempted.
type Result struct {
	Outcome Outcome
	State   State
	// Err is the error of the change function, or ErrSetChange. It is set for Refused.
	Err error
	// HigherBallot is the ballot that the next attempt must exceed. It is set for Preempted.
	HigherBallot Ballot
}

// Replication says how far a chosen state is replicated beyond its quorum.
type Replication uint8

// The values of Replication. ReplicationPending: some voters have not replied yet.
const (
	ReplicationPending Replication = iota
	// ReplicationComplete: all voters that have not ended have accepted it.
	ReplicationComplete
	// ReplicationRejected: all voters have replied, and some have promised a higher ballot.
	ReplicationRejected
)

// Proposal is the input of a proposer.
type Proposal struct {
	Ballot Ballot
	// Start is the set whose members are sent prepare requests first. It may be outdated.
	Start Set
	// Known is the newest state known to be chosen, or nil.
	Known  *State
	Change Change
	// Ended makes the proposal a recovery if it is not empty. Ballot must then come from NextRecovery, and Ended must
	// contain only acceptors that were proven to have ended before that ballot was generated.
	Ended EndedAcceptors
	// Rewrites makes the proposer run the accept round for an unchanged base even if it is known to be chosen, so that
	// all voters accept it.
	Rewrites bool
}

// Proposer is the state machine of one proposal under one ballot.
type Proposer struct {
	proposal     Proposal
	collector    quorumCollector
	outbox       []Outgoing
	higherBallot Ballot
	rejected     map[AcceptorID]bool
	result       Result
	// hasVolatile says that an acceptor without a disk has replied.
	hasVolatile bool

	// The accept round: the proposed state, the set of its base, the acceptors that have accepted it, and the result to
	// report once it is chosen.
	proposed       *State
	baseSet        Set
	accepted       map[AcceptorID]bool
	intendedResult Result
}

// NewProposer starts a proposal with its prepare round.
func NewProposer(proposal Proposal) *Proposer {
	proposer := &Proposer{
		proposal:  proposal,
		collector: newQuorumCollector(proposal.Start, proposal.Known, proposal.Ended),
		rejected:  make(map[AcceptorID]bool),
		accepted:  make(map[AcceptorID]bool),
	}
	proposer.prepare(proposal.Start)
	proposer.prepare(proposer.collector.base().Value.Set)
	return proposer
}

// Outbox returns the requests generated since the last call. A request may be resent while the proposal is pending.
func (proposer *Proposer) Outbox() []Outgoing {
	outbox := proposer.outbox
	proposer.outbox = nil
	return outbox
}

// Result returns the result of the proposal, with outcome Pending if it has not ended.
func (proposer *Proposer) Result() Result { return proposer.result }

// HigherBallot returns the highest ballot above the proposal's own that an acceptor has reported, or zero.
func (proposer *Proposer) HigherBallot() Ballot { return proposer.higherBallot }

// HasVolatile reports whether an acceptor without a disk has replied.
func (proposer *Proposer) HasVolatile() bool { return proposer.hasVolatile }

// IsAccepting reports whether the accept round has begun.
func (proposer *Proposer) IsAccepting() bool { return proposer.proposed != nil }

// Receive processes an acceptor's reply. After the end of the proposal, replies update only Replication,
// HigherBallot and HasVolatile.
func (proposer *Proposer) Receive(reply Reply) {
	proposer.hasVolatile = proposer.hasVolatile || reply.IsVolatile
	if proposer.result.Outcome != Pending {
		proposer.receiveAfterEnd(reply)
		return
	}
	if reply.Verdict == WrongAcceptor {
		proposer.rejected[reply.From] = true
		proposer.preemptWithoutQuorum()
		return
	}
	if reply.Ballot != proposer.proposal.Ballot {
		return
	}
	switch reply.Verdict {
	case Promised:
		proposer.receivePromise(reply)
	case Accepted:
		proposer.receiveAccepted(reply)
	case Conflict:
		proposer.receiveConflict(reply)
	}
}

func (proposer *Proposer) prepare(set Set) {
	for _, acceptor := range proposer.collector.takeUnqueried(set) {
		request := Request{
			Kind:   Prepare,
			To:     acceptor.ID,
			Ballot: proposer.proposal.Ballot,
			Known:  proposer.collector.knownBallot(),
		}
		proposer.outbox = append(proposer.outbox, Outgoing{To: acceptor, Request: request})
	}
}

func (proposer *Proposer) receivePromise(reply Reply) {
	if proposer.IsAccepting() || !proposer.collector.add(reply) {
		return
	}
	proposer.prepare(proposer.collector.base().Value.Set)
	if proposer.collector.isComplete() {
		proposer.applyChange()
	}
}

// applyChange applies the change function to the base and starts the accept round, unless the base is chosen and
// unchanged.
func (proposer *Proposer) applyChange() {
	base := proposer.collector.base()
	isChosen := proposer.collector.isChosen()
	next, err := proposer.proposal.Change(base.Value)
	if err == nil {
		err = base.Value.Set.CheckTransition(next.Set)
	}
	switch {
	case err != nil:
		proposer.endOnBase(base, isChosen, Result{Outcome: Refused, Err: err})
	case next.Equal(base.Value):
		proposer.endOnBase(base, isChosen, Result{Outcome: Chosen})
	case !isChosen && !next.Set.Equal(base.Value.Set):
		proposer.endOnBase(base, isChosen, Result{Outcome: BaseChosen})
	default:
		proposer.accept(base.Value.Set, next, Result{Outcome: Chosen})
	}
}

// endOnBase ends the proposal with its base as the result. A base that is not known to be chosen is first proposed again
// unchanged.
func (proposer *Proposer) endOnBase(base State, isChosen bool, intended Result) {
	if isChosen && !proposer.proposal.Rewrites {
		intended.State = base
		proposer.result = intended
		return
	}
	proposer.accept(base.Value.Set, base.Value, intended)
}

// accept starts the accept round at the members of the base's set and of the proposed value's set.
func (proposer *Proposer) accept(baseSet Set, value Value, intended Result) {
	ballot := proposer.proposal.Ballot
	proposer.proposed = &State{Ballot: ballot, Value: value}
	proposer.baseSet = baseSet
	proposer.intendedResult = intended
	proposer.outbox = nil
	targets := baseSet.Members()
	for _, acceptor := range value.Set.Members() {
		if !containsID(targets, acceptor.ID) {
			targets = append(targets, acceptor)
		}
	}
	for _, acceptor := range targets {
		request := Request{Kind: Accept, To: acceptor.ID, Ballot: ballot, Value: &proposer.proposed.Value}
		proposer.outbox = append(proposer.outbox, Outgoing{To: acceptor, Request: request})
	}
}

func (proposer *Proposer) receiveAccepted(reply Reply) {
	if !proposer.IsAccepting() {
		return
	}
	proposer.accepted[reply.From] = true
	hasAccepted := func(id AcceptorID) bool { return proposer.accepted[id] }
	if !proposer.hasQuorum(hasAccepted) {
		return
	}
	proposer.result = proposer.intendedResult
	proposer.result.State = *proposer.proposed
}

// receiveAfterEnd processes a reply to the accept round that arrives after the value was chosen.
func (proposer *Proposer) receiveAfterEnd(reply Reply) {
	switch {
	case reply.Verdict == WrongAcceptor:
		proposer.rejected[reply.From] = true
	case reply.Ballot != proposer.proposal.Ballot:
		return
	case reply.Verdict == Accepted:
		proposer.accepted[reply.From] = true
	case reply.Verdict == Conflict:
		proposer.recordConflict(reply)
	}
}

// Replication returns how far the accept round of a proposal that has ended is replicated beyond its quorum.
func (proposer *Proposer) Replication() Replication {
	if !proposer.IsAccepting() {
		return ReplicationComplete
	}
	spread := ReplicationComplete
	for _, voter := range proposer.proposed.Value.Set.Voters {
		switch {
		case proposer.accepted[voter.ID] || proposer.proposal.Ended[voter.ID]:
		case proposer.rejected[voter.ID]:
			if !proposer.higherBallot.IsZero() {
				spread = ReplicationRejected
			}
		default:
			return ReplicationPending
		}
	}
	return spread
}

func (proposer *Proposer) receiveConflict(reply Reply) {
	proposer.recordConflict(reply)
	proposer.preemptWithoutQuorum()
}

func (proposer *Proposer) recordConflict(reply Reply) {
	if proposer.higherBallot.Less(reply.Promised) {
		proposer.higherBallot = reply.Promised
	}
	proposer.rejected[reply.From] = true
}

// preemptWithoutQuorum ends the proposal as preempted if it can no longer reach a quorum and an acceptor has reported a
// higher ballot.
func (proposer *Proposer) preemptWithoutQuorum() {
	if proposer.higherBallot.IsZero() || proposer.canReachQuorum() {
		return
	}
	proposer.result = Result{Outcome: Preempted, HigherBallot: proposer.higherBallot}
}

func (proposer *Proposer) canReachQuorum() bool {
	mayReply := func(id AcceptorID) bool { return !proposer.rejected[id] || proposer.accepted[id] }
	if proposer.IsAccepting() {
		return proposer.hasQuorum(mayReply)
	}
	return proposer.collector.base().Value.Set.HasRecoveryQuorum(proposer.proposal.Ended, mayReply)
}

// hasQuorum reports whether the acceptors for which contains returns true are a quorum for the accept round: of the
// base's set and of the proposed value's set.
func (proposer *Proposer) hasQuorum(contains func(AcceptorID) bool) bool {
	ended := proposer.proposal.Ended
	return proposer.baseSet.HasRecoveryQuorum(ended, contains) && proposer.proposed.Value.Set.HasRecoveryQuorum(ended, contains)
}
