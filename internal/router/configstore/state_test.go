package configstore

import (
	"bytes"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

func TestUnknownFieldsArePreserved(t *testing.T) {
	compressed, err := compress([]byte("x"))
	assert.NilError(t, err)
	newer, err := msgpack.Marshal(map[string]any{
		fieldRevision: 4, fieldDocument: compressed, fieldGeneration: 9, "later": []string{"kept"},
	})
	assert.NilError(t, err)
	state, err := decodeState(newer)
	assert.NilError(t, err)
	assert.Equal(t, state.Revision, uint64(4))
	assert.Equal(t, string(state.Document), "x")
	next := withNextRevision(state, state.WithChange([]byte("y"), 10, ChangeID{1}))
	assert.Equal(t, next.Revision, uint64(5))
	payload, err := encodeState(next)
	assert.NilError(t, err)
	var fields map[string]any
	assert.NilError(t, msgpack.Unmarshal(payload, &fields))
	assert.DeepEqual(t, fields["later"], []any{"kept"})
	decoded, err := decodeState(payload)
	assert.NilError(t, err)
	assert.Assert(t, decoded.hasSameContent(next))
	assert.Assert(t, decoded.HasChange(ChangeID{1}))
}

func TestOldestChangesAreDropped(t *testing.T) {
	state := State{}
	for number := range maxAppliedChanges + 10 {
		state = withNextRevision(state, state.WithChange(nil, int64(number+1), ChangeID{byte(number), byte(number >> 8), 1}))
	}
	assert.Equal(t, len(state.AppliedChanges), maxAppliedChanges)
	assert.Equal(t, state.Revision, uint64(maxAppliedChanges+10))
	assert.Assert(t, !state.HasChange(ChangeID{9, 0, 1}))
	assert.Assert(t, state.HasChange(ChangeID{10, 0, 1}))
	assert.Equal(t, withNextRevision(state, state).Revision, state.Revision, "an unchanged state keeps its revision")
}

func TestCorruptPayloadIsRejected(t *testing.T) {
	for _, payload := range []string{"\xff", "rubbish", "\x81\xb0document_deflate\x07", "\x81\xb0document_deflate\xc4\x03xyz"} {
		_, err := decodeState([]byte(payload))
		assert.Assert(t, err != nil, "%q", payload)
	}
}

func TestFindDistinguishesAppliedFromForgotten(t *testing.T) {
	state := State{}
	id := func(number int) ChangeID { return ChangeID{byte(number), byte(number >> 8), 1} }
	for number := range maxAppliedChanges + 10 {
		state = withNextRevision(state, state.WithChange(nil, int64(2*number+2), id(number)))
	}
	payload, err := encodeState(state)
	assert.NilError(t, err)
	decoded, err := decodeState(payload)
	assert.NilError(t, err)
	assert.Assert(t, decoded.hasSameContent(state))
	for number := range maxAppliedChanges + 10 {
		expected := ChangeApplied
		if number < 10 {
			expected = ChangeForgotten
		}
		assert.Equal(t, decoded.ChangeStatus(int64(2*number), id(number)), expected, "change %d", number)
	}
	assert.Equal(t, decoded.ChangeStatus(18, ChangeID{7}), ChangeForgotten)
	assert.Equal(t, decoded.ChangeStatus(20, ChangeID{7}), ChangeUnknown)
	assert.Equal(t, decoded.ChangeStatus(state.Generation, ChangeID{7}), ChangeUnknown)
}

// TestLegacyChangeIDs decodes a state of an earlier release, which lists change IDs without bases. Changes that are not
// listed may have been forgotten.
func TestLegacyChangeIDs(t *testing.T) {
	applied := ChangeID{1, 2, 3}
	payload, err := msgpack.Marshal(map[string]any{fieldRevision: 4, fieldGeneration: 9, fieldLegacyChangeIDs: applied[:]})
	assert.NilError(t, err)
	state, err := decodeState(payload)
	assert.NilError(t, err)
	assert.Equal(t, state.ChangeStatus(5, applied), ChangeApplied)
	assert.Equal(t, state.ChangeStatus(5, ChangeID{4}), ChangeForgotten)
	assert.Equal(t, state.ChangeStatus(9, ChangeID{4}), ChangeUnknown)
	for number := range maxAppliedChanges {
		state = state.WithChange(nil, int64(10+number), ChangeID{9, byte(number)})
	}
	assert.Equal(t, state.ChangeStatus(8, ChangeID{4}), ChangeForgotten, "a forgotten base stays forgotten")
}

// applyAsEarlierRelease applies a change as releases did before bases were stored: it reads and writes only the list
// of IDs, and preserves unknown fields. isKnown reports whether the payload lists the ID already.
func applyAsEarlierRelease(t *testing.T, payload []byte, generation int64, id ChangeID) (next []byte, isKnown bool) {
	t.Helper()
	var fields map[string]msgpack.RawMessage
	assert.NilError(t, msgpack.Unmarshal(payload, &fields))
	var changes []byte
	assert.NilError(t, msgpack.Unmarshal(fields[fieldLegacyChangeIDs], &changes))
	for chunk := range slices.Chunk(changes, len(id)) {
		isKnown = isKnown || bytes.Equal(chunk, id[:])
	}
	set := func(name string, value any) {
		raw, err := msgpack.Marshal(value)
		assert.NilError(t, err)
		fields[name] = raw
	}
	set(fieldLegacyChangeIDs, append(changes, id[:]...))
	set(fieldGeneration, generation)
	next, err := msgpack.Marshal(fields)
	assert.NilError(t, err)
	return next, isKnown
}

// TestRollbackKeepsAppliedChanges rolls the fleet back to an earlier release and forward again. Each release must
// recognise the newest changes that the other has applied.
func TestRollbackKeepsAppliedChanges(t *testing.T) {
	state := State{}
	for number := range maxAppliedChanges {
		state = state.WithChange([]byte("document"), int64(10+number), ChangeID{1, byte(number)})
	}
	payload, err := encodeState(state)
	assert.NilError(t, err)
	for number := maxAppliedChanges - maxLegacyChangeIDs; number < maxAppliedChanges; number++ {
		_, isKnown := applyAsEarlierRelease(t, payload, 0, ChangeID{1, byte(number)})
		assert.Assert(t, isKnown, "the earlier release doesn't know change %d", number)
	}
	base := state.Generation
	for number := range 5 {
		payload, _ = applyAsEarlierRelease(t, payload, base+1+int64(number), ChangeID{2, byte(number)})
	}
	state, err = decodeState(payload)
	assert.NilError(t, err)
	for number := range 5 {
		assert.Equal(t, state.ChangeStatus(base+int64(number), ChangeID{2, byte(number)}), ChangeApplied)
	}
	for number := range maxAppliedChanges {
		assert.Equal(t, state.ChangeStatus(int64(9+number), ChangeID{1, byte(number)}), ChangeApplied, "change %d", number)
	}
	assert.Equal(t, state.ChangeStatus(base+2, ChangeID{3}), ChangeForgotten, "the earlier release may have applied more changes than it lists")
	assert.Equal(t, state.ChangeStatus(state.Generation, ChangeID{3}), ChangeUnknown)
}

// TestNewerFormatIsRejected checks that a release does not use a state whose format it does not support.
func TestNewerFormatIsRejected(t *testing.T) {
	payload := func(required int) []byte {
		encoded, err := msgpack.Marshal(map[string]any{fieldRevision: 4, fieldGeneration: 9, fieldRequiredFormat: required})
		assert.NilError(t, err)
		return encoded
	}
	_, err := decodeState(payload(stateFormat))
	assert.NilError(t, err)
	_, err = decodeState(payload(stateFormat + 1))
	assert.DeepEqual(t, err, NewerFormatError{Required: stateFormat + 1})
}
