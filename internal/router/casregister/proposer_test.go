package casregister

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

var errRefused = errors.New("refused")

// cluster is a group of acceptors without a network: a reachable acceptor replies to a request immediately.
type cluster map[AcceptorID]*AcceptorMachine

func newCluster(names string) cluster {
	acceptors := cluster{}
	for _, acceptor := range acceptorsNamed(names) {
		acceptors[acceptor.ID] = NewAcceptorMachine(Record{ID: acceptor.ID})
	}
	return acceptors
}

// exchange steps one request, syncs and returns the reply.
func (acceptors cluster) exchange(t *testing.T, request Request) Reply {
	t.Helper()
	machine := acceptors[request.To]
	output, err := machine.Step(request)
	assert.NilError(t, err)
	machine.Synced()
	return output.Reply
}

// run exchanges a proposer's requests with the reachable acceptors, one character each, until none is left to send.
func (acceptors cluster) run(t *testing.T, proposer *Proposer, reachable string) Result {
	t.Helper()
	for {
		outbox := proposer.Outbox()
		if len(outbox) == 0 {
			return proposer.Result()
		}
		for _, outgoing := range outbox {
			for _, name := range reachable {
				if outgoing.To.ID == AcceptorID(name) {
					proposer.Receive(acceptors.exchange(t, outgoing.Request))
				}
			}
		}
	}
}

func (acceptors cluster) propose(t *testing.T, counter uint64, start Set, reachable string, change Change) Result {
	t.Helper()
	return acceptors.run(t, NewProposer(Proposal{Ballot: ballotOf(counter), Start: start, Change: change}), reachable)
}

// force makes one acceptor accept a value, as if a proposer had crashed after its first accept request.
func (acceptors cluster) force(t *testing.T, name AcceptorID, ballot Ballot, value Value) {
	t.Helper()
	acceptors.exchange(t, Request{Kind: Accept, To: name, Ballot: ballot, Value: &value})
}

func setPayload(payload string) Change {
	return func(base Value) (Value, error) { return Value{Set: base.Set, Payload: []byte(payload)}, nil }
}

func setVoters(names string) Change {
	return func(base Value) (Value, error) {
		return Value{Set: base.Set.EnterJoint(acceptorsNamed(names)), Payload: base.Payload}, nil
	}
}

func leaveJoint(base Value) (Value, error) {
	return Value{Set: base.Set.LeaveJoint(), Payload: base.Payload}, nil
}

func refuse(base Value) (Value, error) { return base, errRefused }

func TestProposalNeedsQuorum(t *testing.T) {
	acceptors := newCluster("abc")
	result := acceptors.propose(t, 1, plainSet("abc"), "ab", setPayload("x"))
	assert.Equal(t, result.Outcome, Chosen)
	assert.Equal(t, string(result.State.Value.Payload), "x")
	assert.Equal(t, acceptors.propose(t, 2, plainSet("abc"), "a", setPayload("y")).Outcome, Pending)
	assert.Equal(t, acceptors.propose(t, 2, plainSet("abc"), "bc", setPayload("y")).Outcome, Chosen)
}

func TestRefusalNeedsChosenBase(t *testing.T) {
	acceptors := newCluster("abc")
	acceptors.force(t, "a", ballotOf(1), Value{Set: plainSet("abc"), Payload: []byte("half")})

	assert.Equal(t, acceptors.propose(t, 2, plainSet("abc"), "a", refuse).Outcome, Pending)
	result := acceptors.propose(t, 3, plainSet("abc"), "ab", refuse)
	assert.Equal(t, result.Outcome, Refused)
	assert.ErrorIs(t, result.Err, errRefused)
	assert.Equal(t, result.State.Ballot, ballotOf(3))
	assert.Equal(t, string(acceptors["b"].Durable().Accepted.Value.Payload), "half")

	result = acceptors.propose(t, 4, plainSet("abc"), "ab", refuse)
	assert.Equal(t, result.State.Ballot, ballotOf(3), "a chosen base is not proposed again")
}

func TestPreemptedProposalReportsHigherBallot(t *testing.T) {
	acceptors := newCluster("abc")
	acceptors.propose(t, 7, plainSet("abc"), "abc", setPayload("x"))
	result := acceptors.propose(t, 3, plainSet("abc"), "abc", setPayload("y"))
	assert.Equal(t, result.Outcome, Preempted)
	assert.Equal(t, result.HigherBallot, ballotOf(7))
}

func TestSetChange(t *testing.T) {
	acceptors := newCluster("abcd")
	start := plainSet("abc")
	assert.Equal(t, acceptors.propose(t, 1, start, "abc", setPayload("x")).Outcome, Chosen)

	proposer := NewProposer(Proposal{Ballot: ballotOf(2), Start: start, Change: setVoters("abd")})
	assert.Equal(t, acceptors.run(t, proposer, "ab").Outcome, Chosen)
	assert.Equal(t, acceptors.propose(t, 3, start, "ac", setPayload("y")).Outcome, Pending, "no majority of the new voters")
	assert.Equal(t, acceptors.propose(t, 4, start, "ad", setPayload("y")).Outcome, Pending, "no majority of the previous voters")
	assert.Equal(t, acceptors.propose(t, 5, start, "acd", leaveJoint).Outcome, BaseChosen, "one acceptor reports the joint set")
	assert.Equal(t, acceptors.propose(t, 6, start, "acd", leaveJoint).Outcome, Chosen)

	result := acceptors.propose(t, 8, start, "bcd", setPayload("z"))
	assert.Equal(t, result.Outcome, Chosen, "a proposer that starts from an outdated set finds the current one")
	assert.Equal(t, namesOf(result.State.Value.Set.Voters), "abd")
	assert.Equal(t, acceptors.propose(t, 9, start, "bc", setPayload("w")).Outcome, Pending, "the previous quorum is no longer a quorum")
}

func TestSetChangeNeedsChosenBase(t *testing.T) {
	acceptors := newCluster("abcd")
	start := plainSet("abc")
	joint := Value{Set: start.EnterJoint(acceptorsNamed("abd")), Payload: []byte("x")}
	acceptors.force(t, "a", ballotOf(1), joint)

	result := acceptors.propose(t, 2, start, "abcd", leaveJoint)
	assert.Equal(t, result.Outcome, BaseChosen)
	assert.Assert(t, result.State.Value.Equal(joint))
	result = acceptors.propose(t, 3, start, "abcd", leaveJoint)
	assert.Equal(t, result.Outcome, Chosen)
	assert.Assert(t, !result.State.Value.Set.IsJoint())
}

func TestForbiddenSetChangeIsRefused(t *testing.T) {
	acceptors := newCluster("abcde")
	result := acceptors.propose(t, 1, plainSet("abc"), "abcde", setVoters("ade"))
	assert.Equal(t, result.Outcome, Refused)
	assert.ErrorIs(t, result.Err, ErrSetChange)
}

func TestEmptyRegisterNeedsQuorumOfFirstSet(t *testing.T) {
	acceptors := newCluster("abc")
	later := plainSet("abc")
	later.Epoch = 2
	assert.Equal(t, acceptors.propose(t, 1, later, "abc", setPayload("x")).Outcome, Pending)
}

func (acceptors cluster) read(t *testing.T, start Set, reachable string) (State, bool) {
	t.Helper()
	reader := NewReader(start, nil)
	for {
		outbox := reader.Outbox()
		if len(outbox) == 0 {
			return reader.Result()
		}
		for _, outgoing := range outbox {
			for _, name := range reachable {
				if outgoing.To.ID == AcceptorID(name) {
					reader.Receive(acceptors.exchange(t, outgoing.Request))
				}
			}
		}
	}
}

func TestReader(t *testing.T) {
	acceptors := newCluster("abcd")
	start := plainSet("abc")
	state, isChosen := acceptors.read(t, start, "ab")
	assert.Assert(t, isChosen && state.Ballot.IsZero(), "the initial value")

	acceptors.force(t, "a", ballotOf(1), Value{Set: start, Payload: []byte("x")})
	_, isChosen = acceptors.read(t, start, "abc")
	assert.Assert(t, !isChosen, "one acceptor is no quorum")
	acceptors.force(t, "b", ballotOf(1), Value{Set: start, Payload: []byte("x")})
	state, isChosen = acceptors.read(t, start, "abc")
	assert.Assert(t, isChosen && state.Ballot == ballotOf(1))

	joint := Value{Set: start.EnterJoint(acceptorsNamed("abd"))}
	acceptors.force(t, "a", ballotOf(2), joint)
	acceptors.force(t, "c", ballotOf(2), joint)
	_, isChosen = acceptors.read(t, start, "ac")
	assert.Assert(t, !isChosen, "a majority of the previous voters alone")
	acceptors.force(t, "d", ballotOf(2), joint)
	_, isChosen = acceptors.read(t, start, "acd")
	assert.Assert(t, isChosen)
}

// TestReplication checks what is reported of the replication of a chosen value beyond its quorum, and that a rewrite
// reaches the acceptor that had promised a higher ballot.
func TestReplication(t *testing.T) {
	acceptors := newCluster("abc")
	set := plainSet("abc")
	proposer := NewProposer(Proposal{Ballot: ballotOf(1), Start: set, Change: setPayload("1")})
	acceptors.run(t, proposer, "ab")
	assert.Equal(t, proposer.Result().Outcome, Chosen)
	assert.Equal(t, proposer.Replication(), ReplicationPending)

	chosen := proposer.Result().State
	higher := ballotOf(5)
	acceptors.exchange(t, Request{Kind: Prepare, To: "c", Ballot: higher})
	late := acceptors.exchange(t, Request{Kind: Accept, To: "c", Ballot: ballotOf(1), Value: &chosen.Value})
	proposer.Receive(late)
	assert.Equal(t, proposer.Replication(), ReplicationRejected)
	assert.Equal(t, proposer.HigherBallot(), higher)

	keep := func(base Value) (Value, error) { return base, nil }
	rewrite := NewProposer(Proposal{Ballot: higher.Next("p"), Start: set, Known: &chosen, Change: keep, Rewrites: true})
	assert.Equal(t, acceptors.run(t, rewrite, "abc").Outcome, Chosen)
	assert.Equal(t, rewrite.Replication(), ReplicationComplete)
	assert.DeepEqual(t, acceptors["c"].Durable().Accepted.Value.Payload, []byte("1"))
}
