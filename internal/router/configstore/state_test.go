package configstore

import (
	"bytes"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

func TestUnknownFieldsSurvive(t *testing.T) {
	packed, err := compress([]byte("x"))
	assert.NilError(t, err)
	newer, err := msgpack.Marshal(map[string]any{
		fieldRevision: 4, fieldDocument: packed, fieldGeneration: 9, "later": []string{"kept"},
	})
	assert.NilError(t, err)
	state, err := decodeState(newer)
	assert.NilError(t, err)
	assert.Equal(t, state.Revision, uint64(4))
	assert.Equal(t, string(state.Document), "x")
	next := follow(state, state.WithChange([]byte("y"), 10, ChangeID{1}))
	assert.Equal(t, next.Revision, uint64(5))
	payload, err := encodeState(next)
	assert.NilError(t, err)
	var fields map[string]any
	assert.NilError(t, msgpack.Unmarshal(payload, &fields))
	assert.DeepEqual(t, fields["later"], []any{"kept"})
	decoded, err := decodeState(payload)
	assert.NilError(t, err)
	assert.Assert(t, decoded.isSame(next))
	assert.Assert(t, decoded.HasChange(ChangeID{1}))
}

func TestOldestChangesAreDropped(t *testing.T) {
	state := State{}
	for number := range keptOrders + 10 {
		state = follow(state, state.WithChange(nil, int64(number+1), ChangeID{byte(number), byte(number >> 8), 1}))
	}
	assert.Equal(t, len(state.Orders), keptOrders)
	assert.Equal(t, state.Revision, uint64(keptOrders+10))
	assert.Assert(t, !state.HasChange(ChangeID{9, 0, 1}))
	assert.Assert(t, state.HasChange(ChangeID{10, 0, 1}))
	assert.Equal(t, follow(state, state).Revision, state.Revision, "no change, no revision")
}

func TestDamagedPayloadIsAnError(t *testing.T) {
	for _, payload := range []string{"\xff", "rubbish", "\x81\xb0document_deflate\x07", "\x81\xb0document_deflate\xc4\x03xyz"} {
		_, err := decodeState([]byte(payload))
		assert.Assert(t, err != nil, "%q", payload)
	}
}

func TestFindTellsTakenFromForgotten(t *testing.T) {
	state := State{}
	id := func(number int) ChangeID { return ChangeID{byte(number), byte(number >> 8), 1} }
	for number := range keptOrders + 10 {
		state = follow(state, state.WithChange(nil, int64(2*number+2), id(number)))
	}
	payload, err := encodeState(state)
	assert.NilError(t, err)
	decoded, err := decodeState(payload)
	assert.NilError(t, err)
	assert.Assert(t, decoded.isSame(state))
	for number := range keptOrders + 10 {
		expected := OrderTaken
		if number < 10 {
			expected = OrderForgotten
		}
		assert.Equal(t, decoded.Find(int64(2*number), id(number)), expected, "order %d", number)
	}
	assert.Equal(t, decoded.Find(18, ChangeID{7}), OrderForgotten)
	assert.Equal(t, decoded.Find(20, ChangeID{7}), OrderUnknown)
	assert.Equal(t, decoded.Find(state.Generation, ChangeID{7}), OrderUnknown)
}

// TestOrdersOfAnEarlierRelease come without their bases: what is not among them may have been forgotten.
func TestOrdersOfAnEarlierRelease(t *testing.T) {
	taken := ChangeID{1, 2, 3}
	payload, err := msgpack.Marshal(map[string]any{fieldRevision: 4, fieldGeneration: 9, fieldChanges: taken[:]})
	assert.NilError(t, err)
	state, err := decodeState(payload)
	assert.NilError(t, err)
	assert.Equal(t, state.Find(5, taken), OrderTaken)
	assert.Equal(t, state.Find(5, ChangeID{4}), OrderForgotten)
	assert.Equal(t, state.Find(9, ChangeID{4}), OrderUnknown)
	for number := range keptOrders {
		state = state.WithChange(nil, int64(10+number), ChangeID{9, byte(number)})
	}
	assert.Equal(t, state.Find(8, ChangeID{4}), OrderForgotten, "what was forgotten stays so")
}

// earlierRelease takes an order as the release before orders had bases did: it knows identities alone, and keeps what it doesn't know.
func earlierRelease(t *testing.T, payload []byte, generation int64, id ChangeID) (next []byte, knew bool) {
	t.Helper()
	var fields map[string]msgpack.RawMessage
	assert.NilError(t, msgpack.Unmarshal(payload, &fields))
	var changes []byte
	assert.NilError(t, msgpack.Unmarshal(fields[fieldChanges], &changes))
	for chunk := range slices.Chunk(changes, len(id)) {
		knew = knew || bytes.Equal(chunk, id[:])
	}
	set := func(name string, value any) {
		raw, err := msgpack.Marshal(value)
		assert.NilError(t, err)
		fields[name] = raw
	}
	set(fieldChanges, append(changes, id[:]...))
	set(fieldGeneration, generation)
	next, err := msgpack.Marshal(fields)
	assert.NilError(t, err)
	return next, knew
}

// TestRollbackForgetsNoOrder rolls the fleet back to an earlier release and forward again. Each release knows the newest orders of the
// other, and refuses none of them.
func TestRollbackForgetsNoOrder(t *testing.T) {
	state := State{}
	for number := range keptOrders {
		state = state.WithChange([]byte("document"), int64(10+number), ChangeID{1, byte(number)})
	}
	payload, err := encodeState(state)
	assert.NilError(t, err)
	for number := keptOrders - keptChanges; number < keptOrders; number++ {
		_, knew := earlierRelease(t, payload, 0, ChangeID{1, byte(number)})
		assert.Assert(t, knew, "the earlier release doesn't know order %d", number)
	}
	base := state.Generation
	for number := range 5 {
		payload, _ = earlierRelease(t, payload, base+1+int64(number), ChangeID{2, byte(number)})
	}
	state, err = decodeState(payload)
	assert.NilError(t, err)
	for number := range 5 {
		assert.Equal(t, state.Find(base+int64(number), ChangeID{2, byte(number)}), OrderTaken)
	}
	for number := range keptOrders {
		assert.Equal(t, state.Find(int64(9+number), ChangeID{1, byte(number)}), OrderTaken, "order %d", number)
	}
	assert.Equal(t, state.Find(base+2, ChangeID{3}), OrderForgotten, "the earlier release may have taken more than it remembers")
	assert.Equal(t, state.Find(state.Generation, ChangeID{3}), OrderUnknown)
}

// TestStateOfANewerFormatIsRefused: a release must not act on what it doesn't understand.
func TestStateOfANewerFormatIsRefused(t *testing.T) {
	payload := func(needs int) []byte {
		encoded, err := msgpack.Marshal(map[string]any{fieldRevision: 4, fieldGeneration: 9, fieldNeeds: needs})
		assert.NilError(t, err)
		return encoded
	}
	_, err := decodeState(payload(format))
	assert.NilError(t, err)
	_, err = decodeState(payload(format + 1))
	assert.DeepEqual(t, err, NewerFormatError{Needs: format + 1})
}
