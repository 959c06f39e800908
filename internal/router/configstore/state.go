package configstore

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// State is the replicated state of the fleet's configuration.
type State struct {
	// Revision increases by one with each chosen change, or to that of a restored snapshot if that is higher. Zero
	// means that there is no document yet.
	Revision uint64
	// Document is the operator's configuration.
	Document []byte
	// Generation is the version number that the operator assigned to the document.
	Generation int64
	// AppliedChanges are the newest applied changes, the latest last. Changes on bases below ForgottenBelow may be
	// missing.
	AppliedChanges []AppliedChange
	ForgottenBelow int64
	// Prefixes is the encoded set of common prompt prefixes, on which the routers agree among themselves. It is not
	// part of the operator's configuration.
	Prefixes []byte

	// unknownFields are fields written by a newer release. They are preserved unchanged.
	unknownFields map[string]msgpack.RawMessage
}

// The names of the fields of an encoded state.
const (
	fieldRevision       = "revision"
	fieldDocument       = "document_deflate"
	fieldGeneration     = "generation"
	fieldAppliedChanges = "orders"
	fieldForgottenBelow = "forgotten_below"
	// fieldLegacyChangeIDs contains only the IDs of the newest changes, as earlier releases read and write them.
	fieldLegacyChangeIDs = "changes"
	fieldPrefixes        = "prefixes"
	// fieldRequiredFormat is the format that a release must support to use the state; without it, any release may.
	fieldRequiredFormat = "needs_format"
)

// stateFormat is the newest state format that this release supports. A release that adds a field which other releases
// must not ignore increments it and writes fieldRequiredFormat, so that the fleet cannot be rolled back to an
// incompatible release by mistake.
const stateFormat = 1

// NewerFormatError is returned for a state or snapshot whose format this release does not support.
type NewerFormatError struct{ Required int }

func (e NewerFormatError) Error() string {
	return fmt.Sprintf("configstore: the state requires format %d, but this release supports only formats up to %d", e.Required, stateFormat)
}

// WithChange returns the state after a change with the given ID, which sets the document and its generation. The
// store sets the revision.
func (state State) WithChange(document []byte, generation int64, change ChangeID) State {
	next := state
	next.Document = document
	next.Generation = generation
	next.addAppliedChange(AppliedChange{Base: state.Generation, ID: change})
	return next
}

// WithPrefixes returns the state with another encoded set of common prefixes. Document, generation and applied
// changes stay.
func (state State) WithPrefixes(encoded []byte) State {
	next := state
	next.Prefixes = encoded
	return next
}

// hasSameContent reports whether both states are equal except for their revisions and unknown fields.
func (state State) hasSameContent(other State) bool {
	return state.Generation == other.Generation &&
		state.ForgottenBelow == other.ForgottenBelow &&
		slices.Equal(state.AppliedChanges, other.AppliedChanges) &&
		bytes.Equal(state.Document, other.Document) &&
		bytes.Equal(state.Prefixes, other.Prefixes)
}

// withNextRevision returns next with the revision after that of base, or base if nothing has changed. A state
// restored from a snapshot keeps its own revision, which is higher.
func withNextRevision(base, next State) State {
	if next.hasSameContent(base) {
		return base
	}
	next.Revision = max(base.Revision+1, next.Revision)
	return next
}

// encodeState encodes a state as the register's payload.
func encodeState(state State) ([]byte, error) {
	compressed, err := compress(state.Document)
	if err != nil {
		return nil, err
	}
	fields := map[string]any{
		fieldRevision:        state.Revision,
		fieldDocument:        compressed,
		fieldGeneration:      state.Generation,
		fieldAppliedChanges:  encodeAppliedChanges(state.AppliedChanges),
		fieldForgottenBelow:  state.ForgottenBelow,
		fieldLegacyChangeIDs: encodeLegacyChangeIDs(state.AppliedChanges),
	}
	if len(state.Prefixes) > 0 {
		fields[fieldPrefixes] = state.Prefixes
	}
	for name, value := range state.unknownFields {
		fields[name] = value
	}
	return marshalSorted(fields)
}

// marshalSorted encodes a map with sorted keys, so that equal states have equal encodings.
func marshalSorted(fields map[string]any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	if err := encoder.Encode(fields); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// decodeState decodes the register's payload. An empty payload is the initial state.
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
	return state, state.decodeLegacyChangeIDs(fields)
}

// checkFormat returns a NewerFormatError for a state that requires a newer release.
func checkFormat(fields map[string]msgpack.RawMessage) error {
	raw, isSet := fields[fieldRequiredFormat]
	if !isSet {
		return nil
	}
	required := 0
	if err := msgpack.Unmarshal(raw, &required); err != nil {
		return err
	}
	if required > stateFormat {
		return NewerFormatError{Required: required}
	}
	return nil
}

// decodeLegacyChangeIDs adds the changes that earlier releases have applied. All other fields must be decoded before.
func (state *State) decodeLegacyChangeIDs(fields map[string]msgpack.RawMessage) error {
	raw, isSet := fields[fieldLegacyChangeIDs]
	if !isSet {
		return nil
	}
	var encoded []byte
	if err := msgpack.Unmarshal(raw, &encoded); err != nil {
		return err
	}
	state.mergeLegacyChangeIDs(encoded)
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
	case fieldAppliedChanges:
		return state.decodeAppliedChanges(raw)
	case fieldForgottenBelow:
		return msgpack.Unmarshal(raw, &state.ForgottenBelow)
	case fieldLegacyChangeIDs, fieldRequiredFormat:
		return nil // handled by decodeLegacyChangeIDs and checkFormat
	case fieldPrefixes:
		return msgpack.Unmarshal(raw, &state.Prefixes)
	default:
		if state.unknownFields == nil {
			state.unknownFields = make(map[string]msgpack.RawMessage)
		}
		state.unknownFields[name] = raw
		return nil
	}
}

func (state *State) decodeDocument(raw msgpack.RawMessage) error {
	var compressed []byte
	if err := msgpack.Unmarshal(raw, &compressed); err != nil {
		return err
	}
	document, err := decompress(compressed)
	if err != nil || len(document) == 0 {
		return err
	}
	state.Document = document
	return nil
}

func (state *State) decodeAppliedChanges(raw msgpack.RawMessage) error {
	var encoded []byte
	err := msgpack.Unmarshal(raw, &encoded)
	if err != nil {
		return err
	}
	state.AppliedChanges, err = decodeAppliedChanges(encoded)
	return err
}
