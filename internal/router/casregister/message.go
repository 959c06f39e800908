package casregister

import (
	"bytes"
	"fmt"
)

// Value is the content of the register: its acceptor set and the application's payload.
type Value struct {
	Set     Set    `msgpack:"s"`
	Payload []byte `msgpack:"p"`
}

// Equal reports whether both values have the same set and payload.
func (value Value) Equal(other Value) bool {
	return value.Set.Equal(other.Set) && bytes.Equal(value.Payload, other.Payload)
}

// State is a value with the ballot under which it was proposed.
type State struct {
	Ballot Ballot `msgpack:"b"`
	Value  Value  `msgpack:"v"`
}

// RequestKind is the kind of a request to an acceptor.
type RequestKind uint8

// The request kinds. Report is the request of a quorum read.
const (
	Prepare RequestKind = iota + 1
	Accept
	Report
)

// Request is a message to one acceptor.
type Request struct {
	Kind   RequestKind `msgpack:"k"`
	To     AcceptorID  `msgpack:"t"`
	Ballot Ballot      `msgpack:"b"`
	// Known is the ballot of a state that the sender already has; replies omit the value of that state.
	Known Ballot `msgpack:"n"`
	// Value is the proposed value of an accept request, nil in other requests.
	Value *Value `msgpack:"v,omitempty"`
}

// Verdict is the kind of a reply.
type Verdict uint8

// The verdicts. Conflict: a higher ballot was promised. WrongAcceptor: the request was for another acceptor.
const (
	Promised Verdict = iota + 1
	Accepted
	Reported
	Conflict
	WrongAcceptor
)

// Reply is an acceptor's reply to a request. It is sent only once the state that it reports is on disk.
type Reply struct {
	Verdict Verdict    `msgpack:"k"`
	From    AcceptorID `msgpack:"f"`
	// Ballot is the ballot of the request.
	Ballot Ballot `msgpack:"b"`
	// Promised is the highest ballot that the acceptor has promised.
	Promised Ballot `msgpack:"p"`
	// Accepted is the ballot of the state that the acceptor has accepted, zero if there is none.
	Accepted Ballot `msgpack:"a"`
	// Value is the value of that state, nil if the sender already has it.
	Value *Value `msgpack:"v,omitempty"`
	// IsVolatile says that the replying acceptor has no disk. With WrongAcceptor, it implies that no earlier acceptor
	// at the same address has kept its record.
	IsVolatile bool `msgpack:"l,omitempty"`
}

// ProvesEnd reports whether this reply to a request to the given acceptor proves that it has ended permanently.
func (reply Reply) ProvesEnd(asked Acceptor) bool {
	return reply.Verdict == WrongAcceptor && (asked.Volatile || reply.IsVolatile)
}

// WrongAcceptorError is returned for a request that was addressed to another acceptor than the one that received it.
type WrongAcceptorError struct {
	Wanted AcceptorID
	Actual AcceptorID
}

// Error names both acceptors.
func (err *WrongAcceptorError) Error() string {
	return fmt.Sprintf("casregister: message for acceptor %q reached acceptor %q", err.Wanted, err.Actual)
}
