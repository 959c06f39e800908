package casregister

import (
	"testing"

	"gotest.tools/v3/assert"
)

func endedNamed(names string) EndedAcceptors {
	ended := EndedAcceptors{}
	for _, acceptor := range acceptorsNamed(names) {
		ended[acceptor.ID] = true
	}
	return ended
}

func hasNamed(names string) func(AcceptorID) bool {
	has := endedNamed(names)
	return func(id AcceptorID) bool { return has[id] }
}

// TestRecoveryQuorum compares the quorums of recoveries with the expected ones, for a plain set and for a joint one.
func TestRecoveryQuorum(t *testing.T) {
	plain := plainSet("abcde")
	joint := plainSet("abc").EnterJoint(acceptorsNamed("abd"))
	cases := map[string]struct {
		set        Set
		ended, has string
		isQuorum   bool
		isNeeded   bool
	}{
		"a majority":                            {plain, "", "abc", true, false},
		"no majority":                           {plain, "", "ab", false, false},
		"a majority, two have ended":            {plain, "de", "abc", true, false},
		"no majority, two have ended":           {plain, "de", "ab", false, false},
		"all remaining members":                 {plain, "cde", "ab", true, true},
		"a remaining member is missing":         {plain, "cde", "a", false, true},
		"ended members don't count":             {plain, "cde", "acde", false, true},
		"no remaining member":                   {plain, "abcde", "abcde", false, false},
		"a joint set":                           {joint, "ab", "cd", true, true},
		"a joint set, one is missing":           {joint, "ab", "c", false, true},
		"no remaining member of the new voters": {joint, "abd", "c", false, false},
	}
	for name, test := range cases {
		ended := endedNamed(test.ended)
		assert.Equal(t, test.set.HasRecoveryQuorum(ended, hasNamed(test.has)), test.isQuorum, name)
		assert.Equal(t, test.set.NeedsRecovery(ended), test.isNeeded, name)
	}
	assert.Assert(t, !Set{}.HasRecoveryQuorum(nil, hasNamed("a")))
}

// TestRecoveryStartsFromKnownState recovers from a state in which no remaining acceptor has the chosen value, but the
// recovering process has learned it.
func TestRecoveryStartsFromKnownState(t *testing.T) {
	acceptors := newCluster("abc")
	first := plainSet("abc")
	chosen := acceptors.propose(t, 1, first, "ab", setPayload("1"))
	assert.Equal(t, chosen.Outcome, Chosen)
	recovery := Proposal{Start: first, Known: &chosen.State, Change: appendPlan("q", '2').changes[0], Ended: endedNamed("ab")}
	recovery.Ballot = chosen.State.Ballot.NextRecovery("q")
	result := acceptors.run(t, NewProposer(recovery), "c")
	assert.Equal(t, result.Outcome, Chosen)
	assert.DeepEqual(t, string(result.State.Value.Payload), "12")
}

// TestReadDoesNotUseRecoveryQuorum guards against a read that takes all remaining acceptors for a quorum: a read leaves
// no promise, so the state that it finds is not known to be chosen before a recovery.
func TestReadDoesNotUseRecoveryQuorum(t *testing.T) {
	acceptors := newCluster("c")
	acceptors.force(t, "c", ballotOf(1), Value{Set: plainSet("abc"), Payload: []byte{1}})
	reader := NewReader(plainSet("abc"), nil)
	for _, outgoing := range reader.Outbox() {
		if outgoing.To.ID == "c" {
			reader.Receive(acceptors.exchange(t, outgoing.Request))
		} else {
			reader.Receive(Reply{Verdict: WrongAcceptor, From: outgoing.To.ID, IsVolatile: true})
		}
	}
	_, isChosen := reader.Result()
	assert.Assert(t, !isChosen)
}
