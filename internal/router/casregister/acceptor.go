package casregister

import "github.com/pkg/errors"

// ErrRequest is returned for a request with an unknown kind or a missing field.
var ErrRequest = errors.New("casregister: malformed request")

// Record is the persistent state of an acceptor.
type Record struct {
	ID AcceptorID `msgpack:"i"`
	// First is the set of the register's initial value, zero unless the acceptor was given it at its first start.
	First    Set    `msgpack:"f"`
	Promised Ballot `msgpack:"p"`
	Accepted State  `msgpack:"a"`
}

// Output is the result of a step. If NeedsSync is true, Reply must not be sent before the pending record is synced.
type Output struct {
	NeedsSync bool
	Reply     Reply
}

// AcceptorMachine is the state machine of one acceptor. Requests change its pending record. The caller syncs that record,
// for one request or for a batch, and then calls Synced, or Discard if the write failed.
type AcceptorMachine struct {
	durable Record
	pending Record
	dirty   bool
}

// NewAcceptorMachine returns a machine that starts from a record read from disk.
func NewAcceptorMachine(record Record) *AcceptorMachine {
	return &AcceptorMachine{durable: record, pending: record}
}

// Durable returns the record as last synced.
func (machine *AcceptorMachine) Durable() Record { return machine.durable }

// Pending returns the record to be synced.
func (machine *AcceptorMachine) Pending() Record { return machine.pending }

// Synced reports to the machine that the pending record is on disk.
func (machine *AcceptorMachine) Synced() {
	machine.durable = machine.pending
	machine.dirty = false
}

// Discard reports to the machine that the pending record could not be written. Replies that depend on it must not be
// sent.
func (machine *AcceptorMachine) Discard() {
	machine.pending = machine.durable
	machine.dirty = false
}

// Step processes one request.
func (machine *AcceptorMachine) Step(request Request) (Output, error) {
	if request.To != machine.pending.ID {
		return Output{}, &WrongAcceptorError{Wanted: request.To, Actual: machine.pending.ID}
	}
	switch request.Kind {
	case Prepare:
		return machine.output(machine.prepare(request)), nil
	case Accept:
		if request.Value == nil || request.Ballot.IsZero() {
			return Output{}, ErrRequest
		}
		return machine.output(machine.accept(request)), nil
	case Report:
		return Output{Reply: ReportOf(machine.durable, request)}, nil
	default:
		return Output{}, ErrRequest
	}
}

func (machine *AcceptorMachine) output(reply Reply) Output {
	return Output{NeedsSync: machine.dirty, Reply: reply}
}

// prepare promises the ballot if it is higher than every promised one, or repeats the promise if it is the promised
// ballot and nothing was accepted under it yet.
func (machine *AcceptorMachine) prepare(request Request) Reply {
	record := &machine.pending
	isRepeated := request.Ballot == record.Promised && record.Accepted.Ballot.Less(request.Ballot)
	if !isRepeated && !record.Promised.Less(request.Ballot) {
		return conflictReply(*record, request)
	}
	if !isRepeated {
		record.Promised = request.Ballot
		machine.dirty = true
	}
	return stateReply(*record, request, Promised)
}

// accept accepts the value unless a higher ballot was promised.
func (machine *AcceptorMachine) accept(request Request) Reply {
	record := &machine.pending
	if request.Ballot.Less(record.Promised) {
		return conflictReply(*record, request)
	}
	if record.Accepted.Ballot != request.Ballot {
		record.Promised = request.Ballot
		record.Accepted = State{Ballot: request.Ballot, Value: *request.Value}
		machine.dirty = true
	}
	return Reply{
		Verdict:  Accepted,
		From:     record.ID,
		Ballot:   request.Ballot,
		Promised: record.Promised,
		Accepted: record.Accepted.Ballot,
	}
}

// ReportOf returns the reply to a report request, which depends on the synced record alone.
func ReportOf(durable Record, request Request) Reply {
	return stateReply(durable, request, Reported)
}

func stateReply(record Record, request Request, verdict Verdict) Reply {
	reply := Reply{
		Verdict:  verdict,
		From:     record.ID,
		Ballot:   request.Ballot,
		Promised: record.Promised,
		Accepted: record.Accepted.Ballot,
	}
	if !record.Accepted.Ballot.IsZero() && record.Accepted.Ballot != request.Known {
		value := record.Accepted.Value
		reply.Value = &value
	}
	return reply
}

func conflictReply(record Record, request Request) Reply {
	return Reply{
		Verdict:  Conflict,
		From:     record.ID,
		Ballot:   request.Ballot,
		Promised: record.Promised,
		Accepted: record.Accepted.Ballot,
	}
}
