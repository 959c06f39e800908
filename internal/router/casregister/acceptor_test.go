package casregister

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func ballotOf(counter uint64) Ballot { return Ballot{Counter: counter, Proposer: "p"} }

// stepAndSync sends the machine a request and, if its reply needs a sync, reports the pending record as synced.
func stepAndSync(t *testing.T, machine *AcceptorMachine, request Request) Output {
	t.Helper()
	request.To = "a"
	output, err := machine.Step(request)
	assert.NilError(t, err)
	if output.NeedsSync {
		machine.Synced()
	}
	return output
}

func TestAcceptorKeepsItsPromise(t *testing.T) {
	machine := NewAcceptorMachine(Record{ID: "a"})
	value := &Value{Payload: []byte("x")}

	output := stepAndSync(t, machine, Request{Kind: Prepare, Ballot: ballotOf(5)})
	assert.Assert(t, output.NeedsSync)
	assert.Equal(t, output.Reply.Verdict, Promised)

	output = stepAndSync(t, machine, Request{Kind: Prepare, Ballot: ballotOf(5)})
	assert.Assert(t, !output.NeedsSync)
	assert.Equal(t, output.Reply.Verdict, Promised)

	for _, kind := range []RequestKind{Prepare, Accept} {
		output = stepAndSync(t, machine, Request{Kind: kind, Ballot: ballotOf(4), Value: value})
		assert.Equal(t, output.Reply.Verdict, Conflict)
		assert.Equal(t, output.Reply.Promised, ballotOf(5))
	}

	output = stepAndSync(t, machine, Request{Kind: Accept, Ballot: ballotOf(5), Value: value})
	assert.Assert(t, output.NeedsSync)
	assert.Equal(t, output.Reply.Verdict, Accepted)

	output = stepAndSync(t, machine, Request{Kind: Accept, Ballot: ballotOf(5), Value: value})
	assert.Assert(t, !output.NeedsSync)
	assert.Equal(t, output.Reply.Verdict, Accepted)

	output = stepAndSync(t, machine, Request{Kind: Prepare, Ballot: ballotOf(5)})
	assert.Equal(t, output.Reply.Verdict, Conflict, "a delayed prepare after the accept of the same ballot")

	output = stepAndSync(t, machine, Request{Kind: Prepare, Ballot: ballotOf(6)})
	assert.Equal(t, output.Reply.Accepted, ballotOf(5))
	assert.DeepEqual(t, output.Reply.Value, value)

	output = stepAndSync(t, machine, Request{Kind: Prepare, Ballot: ballotOf(7), Known: ballotOf(5)})
	assert.Equal(t, output.Reply.Accepted, ballotOf(5))
	assert.Assert(t, output.Reply.Value == nil, "the sender already has the value")
}

func TestAcceptorRejectsRequestsForOthers(t *testing.T) {
	machine := NewAcceptorMachine(Record{ID: "a"})
	_, err := machine.Step(Request{Kind: Prepare, To: "b", Ballot: ballotOf(1)})
	other := new(WrongAcceptorError)
	assert.Assert(t, errors.As(err, &other))
	assert.Equal(t, *other, WrongAcceptorError{Wanted: "b", Actual: "a"})
}

func TestAcceptorRejectsMalformedRequests(t *testing.T) {
	machine := NewAcceptorMachine(Record{ID: "a"})
	for _, request := range []Request{
		{To: "a"},
		{To: "a", Kind: Accept, Ballot: ballotOf(1)},
		{To: "a", Kind: Accept, Value: &Value{}},
	} {
		_, err := machine.Step(request)
		assert.ErrorIs(t, err, ErrRequest)
	}
}

// TestAcceptorBatchesRequestsUnderOneSync steps several requests before one sync: all replies since the first change need
// that sync, and if it fails, the machine returns to its durable record.
func TestAcceptorBatchesRequestsUnderOneSync(t *testing.T) {
	machine := NewAcceptorMachine(Record{ID: "a"})
	before := machine.Durable()
	for _, request := range []Request{
		{Kind: Prepare, To: "a", Ballot: ballotOf(3)},
		{Kind: Prepare, To: "a", Ballot: ballotOf(2)},
		{Kind: Accept, To: "a", Ballot: ballotOf(3), Value: &Value{}},
	} {
		output, err := machine.Step(request)
		assert.NilError(t, err)
		assert.Assert(t, output.NeedsSync)
	}
	report, err := machine.Step(Request{Kind: Report, To: "a"})
	assert.NilError(t, err)
	assert.Assert(t, !report.NeedsSync)
	assert.Assert(t, report.Reply.Accepted.IsZero(), "a report contains only durable state")
	machine.Discard()
	assert.DeepEqual(t, machine.Pending(), before)
}
