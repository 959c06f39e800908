package configstore

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/casregister"
)

// Chosen is a state of the register that is known to be chosen, that is, accepted by a quorum. It is immutable.
type Chosen struct {
	State State
	Set   casregister.Set

	register casregister.State
}

func newChosen(register casregister.State) (*Chosen, error) {
	state, err := decodeState(register.Value.Payload)
	if err != nil {
		return nil, errors.Wrap(err, "configstore: decode the payload of a chosen state")
	}
	return &Chosen{State: state, Set: register.Value.Set, register: register}, nil
}

// DecodeChosen decodes the output of Encode.
func DecodeChosen(encoded []byte) (*Chosen, error) {
	var register casregister.State
	if err := msgpack.Unmarshal(encoded, &register); err != nil {
		return nil, errors.Wrap(err, "configstore: decode a chosen state")
	}
	if register.Value.Set.IsZero() {
		return nil, errors.New("configstore: chosen state has no acceptors")
	}
	return newChosen(register)
}

// Encode returns the state in the encoding that is sent to other routers.
func (chosen *Chosen) Encode() []byte {
	encoded, err := msgpack.Marshal(&chosen.register)
	if err != nil {
		// The type contains only numbers, strings, booleans and bytes, whose encoding cannot fail.
		panic(err)
	}
	return encoded
}

// IsNewerThan reports whether this state was chosen under a higher ballot than the other one, which may be nil.
func (chosen *Chosen) IsNewerThan(other *Chosen) bool {
	return other == nil || other.register.Ballot.Less(chosen.register.Ballot)
}

// hasOtherContent reports whether the states differ in revision or acceptor set, and not only in their ballot.
func (chosen *Chosen) hasOtherContent(other *Chosen) bool {
	return other == nil || chosen.State.Revision != other.State.Revision || chosen.Set.Epoch != other.Set.Epoch
}
