package configstore

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// State is what the fleet has agreed on.
type State struct {
	// Revision rises by one with each chosen change. It is zero while there is no document.
	Revision uint64
	// Document is the operator's configuration.
	Document []byte
	// Generation is the number that the operator gave the document.
	Generation int64
	// Orders are the newest orders taken, the latest last. Those on bases below ForgottenBelow are not remembered.
	Orders         []Order
	ForgottenBelow int64
	// Prefixes is the encoded set of common prompt prefixes, which routers agree on among themselves. It is no part of
	// the operator's configuration.
	Prefixes []byte

	// unknown are the fields of a newer release, which are kept as they came.
	unknown map[string]msgpack.RawMessage
}

// The names of the state's fields on the wire.
const (
	fieldRevision   = "revision"
	fieldDocument   = "document_deflate"
	fieldGeneration = "generation"
	fieldOrders     = "orders"
	fieldForgotten  = "forgotten_below"
	// fieldChanges holds the identities of the newest orders alone: earlier releases know orders by that.
	fieldChanges  = "changes"
	fieldPrefixes = "prefixes"
	// fieldNeeds is the format that a release must know to act on the state; left out, any release may.
	fieldNeeds = "needs_format"
)

// format is the newest format of a state that this release knows. A release that adds a field which others must not pass over raises it
// and writes fieldNeeds, so that the fleet can't be rolled back behind it by mistake.
const format = 1

// NewerFormatError says that a state was written by a release that this one must not act for.
type NewerFormatError struct{ Needs int }

func (e NewerFormatError) Error() string {
	return fmt.Sprintf("configstore: the state needs a release that knows format %d, and this one knows %d", e.Needs, format)
}

// WithChange is the state after an order on top of it: the new document, its generation, and the order's identity. The revision is
// given by the store.
func (state State) WithChange(document []byte, generation int64, change ChangeID) State {
	next := state
	next.Document = document
	next.Generation = generation
	next.remember(Order{Base: state.Generation, ID: change})
	return next
}

// WithPrefixes is the state with another set of common prefixes. Document, generation and changes stay.
func (state State) WithPrefixes(encoded []byte) State {
	next := state
	next.Prefixes = encoded
	return next
}

// isSame says whether both states hold the same, revisions aside.
func (state State) isSame(other State) bool {
	return state.Generation == other.Generation &&
		state.ForgottenBelow == other.ForgottenBelow &&
		slices.Equal(state.Orders, other.Orders) &&
		bytes.Equal(state.Document, other.Document) &&
		bytes.Equal(state.Prefixes, other.Prefixes)
}

// follow numbers a state that was changed from base. One that was restored keeps its own revision, which is higher.
func follow(base, next State) State {
	if next.isSame(base) {
		return base
	}
	next.Revision = max(base.Revision+1, next.Revision)
	return next
}

// encodeState returns the state as the register's payload.
func encodeState(state State) ([]byte, error) {
	packed, err := compress(state.Document)
	if err != nil {
		return nil, err
	}
	fields := map[string]any{
		fieldRevision:   state.Revision,
		fieldDocument:   packed,
		fieldGeneration: state.Generation,
		fieldOrders:     encodeOrders(state.Orders),
		fieldForgotten:  state.ForgottenBelow,
		fieldChanges:    encodeChanges(state.Orders),
	}
	if len(state.Prefixes) > 0 {
		fields[fieldPrefixes] = state.Prefixes
	}
	for name, value := range state.unknown {
		fields[name] = value
	}
	return marshalSorted(fields)
}

// marshalSorted encodes a map with its keys in order, so that equal states have equal bytes.
func marshalSorted(fields map[string]any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	if err := encoder.Encode(fields); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decodeState reads a payload. An empty payload is the first state.
func decodeState(payload []byte) (State, error) {
	if len(payload) == 0 {
		return State{}, nil
	}
	var fields map[string]msgpack.RawMessage
	if err := msgpack.Unmarshal(payload, &fields); err != nil {
		return State{}, err
	}
	if err := checkFormat(fields); err != nil {
		return State{}, err
	}
	state := State{}
	for name, raw := range fields {
		if err := state.decodeField(name, raw); err != nil {
			return State{}, err
		}
	}
	return state, state.decodeEarlier(fields)
}

// checkFormat refuses a state that needs a newer release.
func checkFormat(fields map[string]msgpack.RawMessage) error {
	raw, isSet := fields[fieldNeeds]
	if !isSet {
		return nil
	}
	needs := 0
	if err := msgpack.Unmarshal(raw, &needs); err != nil {
		return err
	}
	if needs > format {
		return NewerFormatError{Needs: needs}
	}
	return nil
}

// decodeEarlier reads the orders that earlier releases took.
func (state *State) decodeEarlier(fields map[string]msgpack.RawMessage) error {
	raw, isSet := fields[fieldChanges]
	if !isSet {
		return nil
	}
	var joined []byte
	if err := msgpack.Unmarshal(raw, &joined); err != nil {
		return err
	}
	state.takeEarlierChanges(joined)
	return nil
}

func (state *State) decodeField(name string, raw msgpack.RawMessage) error {
	switch name {
	case fieldRevision:
		return msgpack.Unmarshal(raw, &state.Revision)
	case fieldDocument:
		return state.decodeDocument(raw)
	case fieldGeneration:
		return msgpack.Unmarshal(raw, &state.Generation)
	case fieldOrders:
		return state.decodeOrders(raw)
	case fieldForgotten:
		return msgpack.Unmarshal(raw, &state.ForgottenBelow)
	case fieldChanges, fieldNeeds:
		return nil // read by themselves
	case fieldPrefixes:
		return msgpack.Unmarshal(raw, &state.Prefixes)
	default:
		if state.unknown == nil {
			state.unknown = make(map[string]msgpack.RawMessage)
		}
		state.unknown[name] = raw
		return nil
	}
}

func (state *State) decodeDocument(raw msgpack.RawMessage) error {
	var packed []byte
	if err := msgpack.Unmarshal(raw, &packed); err != nil {
		return err
	}
	document, err := decompress(packed)
	if err != nil || len(document) == 0 {
		return err
	}
	state.Document = document
	return nil
}

func (state *State) decodeOrders(raw msgpack.RawMessage) error {
	var encoded []byte
	err := msgpack.Unmarshal(raw, &encoded)
	if err != nil {
		return err
	}
	state.Orders, err = decodeOrders(encoded)
	return err
}
