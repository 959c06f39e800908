package configstore

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/casregister"
)

// errDiskUnavailable is returned by an acceptor whose record has not been loaded or could not be saved.
var errDiskUnavailable = errors.New("configstore: the acceptor's disk is unavailable")

// envelope is a request between routers. Exactly one of its fields is set.
type envelope struct {
	// Register is a request to the acceptor.
	Register *casregister.Request `msgpack:"r,omitempty"`
	// KnownStateQuery asks for the newest chosen state and acceptor set that the router knows.
	KnownStateQuery bool `msgpack:"k,omitempty"`
	// ChosenBallot is the ballot of a state that the sender knows to be chosen.
	ChosenBallot *casregister.Ballot `msgpack:"n,omitempty"`
}

// response is the response to an envelope.
type response struct {
	Reply *casregister.Reply `msgpack:"r,omitempty"`
	// Unavailable is true if the acceptor's disk is unavailable.
	Unavailable bool `msgpack:"u,omitempty"`
	// Chosen is the encoded newest chosen state, in response to a KnownStateQuery. Empty if none is known.
	Chosen []byte `msgpack:"c,omitempty"`
	// NewestSet is the newest acceptor set that the router knows, in response to a KnownStateQuery. Nil if none is
	// known.
	NewestSet *casregister.Set `msgpack:"s,omitempty"`
}

func encodeMessage(message any) ([]byte, error) {
	encoded, err := msgpack.Marshal(message)
	return encoded, errors.Wrap(err, "configstore: encode")
}

func decodeMessage(encoded []byte, message any) error {
	return errors.Wrap(msgpack.Unmarshal(encoded, message), "configstore: decode")
}
