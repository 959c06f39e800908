package configstore

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// snapshotState is a state with two orders.
func snapshotState() State {
	state := State{}.WithChange([]byte(`{"generation":7}`), 7, ChangeID{1})
	state.Revision = 1
	state = state.WithChange([]byte(`{"generation":9}`), 9, ChangeID{2})
	state.Revision = 2
	return state
}

func TestSnapshotHoldsTheWholeState(t *testing.T) {
	state := snapshotState()
	encoded, err := EncodeSnapshot(state)
	assert.NilError(t, err)
	decoded, err := DecodeSnapshot(encoded)
	assert.NilError(t, err)
	assert.Assert(t, decoded.isSame(state))
	assert.Equal(t, decoded.Revision, state.Revision)
	assert.Equal(t, decoded.Find(7, ChangeID{2}), OrderTaken)
}

// TestDamagedSnapshotIsRefused changes each byte of a snapshot in turn, cuts it short at each place, and changes each field. What is read
// is the state that was written, or nothing.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	state := snapshotState()
	encoded, err := EncodeSnapshot(state)
	assert.NilError(t, err)
	check := func(damaged []byte, what string, at int) {
		t.Helper()
		decoded, err := DecodeSnapshot(damaged)
		assert.Assert(t, err != nil || decoded.isSame(state) && decoded.Revision == state.Revision, "%s at %d", what, at)
	}
	for at := range encoded {
		damaged := bytes.Clone(encoded)
		damaged[at] ^= 1
		check(damaged, "a byte", at)
		check(encoded[:at], "cut short", at)
	}
	for _, change := range []func(*snapshotFile){
		func(f *snapshotFile) { f.Revision++ },
		func(f *snapshotFile) { f.Generation++ },
		func(f *snapshotFile) { f.State[10]++ },
		func(f *snapshotFile) { f.Format = 0 },
		func(f *snapshotFile) { f.SHA256 = "" },
		func(f *snapshotFile) { f.State, f.SHA256 = nil, hashOf(nil) },
	} {
		var file snapshotFile
		assert.NilError(t, json.Unmarshal(encoded, &file))
		change(&file)
		damaged, err := json.Marshal(file)
		assert.NilError(t, err)
		_, err = DecodeSnapshot(damaged)
		assert.ErrorIs(t, err, ErrSnapshotDamaged)
	}
	_, err = DecodeSnapshot([]byte(`{"format":2}`))
	assert.DeepEqual(t, err, NewerFormatError{Needs: 2})
}

// TestSnapshotTakesNothingBack puts a snapshot on states before it, beside it and after it.
func TestSnapshotTakesNothingBack(t *testing.T) {
	snapshot := snapshotState()
	other := snapshot.WithChange([]byte("other"), 11, ChangeID{3})
	beside := other
	beside.Revision = snapshot.Revision
	later := other
	later.Revision = 3
	fewerRevisions := other
	fewerRevisions.Revision = 1
	for name, c := range map[string]struct {
		current State
		refused bool
	}{
		"an empty register":                        {current: State{}},
		"the state before":                         {current: State{Revision: 1, Generation: 7}},
		"the same state":                           {current: snapshot},
		"another state under the same revision":    {current: beside, refused: true},
		"a later state":                            {current: later, refused: true},
		"a later generation under fewer revisions": {current: fewerRevisions, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			next, err := c.current.WithSnapshot(snapshot)
			if c.refused {
				_, isOutdated := err.(SnapshotOutdatedError) //nolint:errorlint // it is returned as it is
				assert.Assert(t, isOutdated, "%v", err)
				return
			}
			assert.NilError(t, err)
			next = follow(c.current, next)
			assert.Assert(t, next.isSame(snapshot))
			assert.Equal(t, next.Revision, snapshot.Revision)
		})
	}
}
