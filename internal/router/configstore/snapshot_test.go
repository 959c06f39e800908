package configstore

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// snapshotState returns a state with two applied changes.
func snapshotState() State {
	state := State{}.WithChange([]byte(`{"generation":7}`), 7, ChangeID{1})
	state.Revision = 1
	state = state.WithChange([]byte(`{"generation":9}`), 9, ChangeID{2})
	state.Revision = 2
	return state
}

func TestSnapshotRoundTrip(t *testing.T) {
	state := snapshotState()
	encoded, err := EncodeSnapshot(state)
	assert.NilError(t, err)
	decoded, err := DecodeSnapshot(encoded)
	assert.NilError(t, err)
	assert.Assert(t, decoded.hasSameContent(state))
	assert.Equal(t, decoded.Revision, state.Revision)
	assert.Equal(t, decoded.ChangeStatus(7, ChangeID{2}), ChangeApplied)
}

// TestCorruptSnapshotIsRejected changes each byte of a snapshot in turn, truncates it at each offset, and changes
// each field. Decoding must fail or return the original state.
func TestCorruptSnapshotIsRejected(t *testing.T) {
	state := snapshotState()
	encoded, err := EncodeSnapshot(state)
	assert.NilError(t, err)
	checkDecode := func(corrupt []byte, what string, offset int) {
		t.Helper()
		decoded, err := DecodeSnapshot(corrupt)
		assert.Assert(t, err != nil || decoded.hasSameContent(state) && decoded.Revision == state.Revision, "%s at %d", what, offset)
	}
	for offset := range encoded {
		corrupt := bytes.Clone(encoded)
		corrupt[offset] ^= 1
		checkDecode(corrupt, "changed byte", offset)
		checkDecode(encoded[:offset], "truncated", offset)
	}
	for _, change := range []func(*snapshotFile){
		func(f *snapshotFile) { f.Revision++ },
		func(f *snapshotFile) { f.Generation++ },
		func(f *snapshotFile) { f.State[10]++ },
		func(f *snapshotFile) { f.Format = 0 },
		func(f *snapshotFile) { f.SHA256 = "" },
		func(f *snapshotFile) { f.State, f.SHA256 = nil, sha256Hex(nil) },
	} {
		var file snapshotFile
		assert.NilError(t, json.Unmarshal(encoded, &file))
		change(&file)
		corrupt, err := json.Marshal(file)
		assert.NilError(t, err)
		_, err = DecodeSnapshot(corrupt)
		assert.ErrorIs(t, err, ErrCorruptSnapshot)
	}
	_, err = DecodeSnapshot([]byte(`{"format":2}`))
	assert.DeepEqual(t, err, NewerFormatError{Required: 2})
}

// TestOutdatedSnapshotIsRejected restores a snapshot on states that are older, equal, different under the same
// revision, and newer.
func TestOutdatedSnapshotIsRejected(t *testing.T) {
	snapshot := snapshotState()
	other := snapshot.WithChange([]byte("other"), 11, ChangeID{3})
	sameRevision := other
	sameRevision.Revision = snapshot.Revision
	later := other
	later.Revision = 3
	fewerRevisions := other
	fewerRevisions.Revision = 1
	for name, c := range map[string]struct {
		current  State
		rejected bool
	}{
		"an empty register":                        {current: State{}},
		"an older state":                           {current: State{Revision: 1, Generation: 7}},
		"the same state":                           {current: snapshot},
		"another state under the same revision":    {current: sameRevision, rejected: true},
		"a later state":                            {current: later, rejected: true},
		"a later generation under fewer revisions": {current: fewerRevisions, rejected: true},
	} {
		t.Run(name, func(t *testing.T) {
			next, err := c.current.WithSnapshot(snapshot)
			if c.rejected {
				_, isOutdated := err.(SnapshotOutdatedError) //nolint:errorlint // the error is returned unwrapped
				assert.Assert(t, isOutdated, "%v", err)
				return
			}
			assert.NilError(t, err)
			next = withNextRevision(c.current, next)
			assert.Assert(t, next.hasSameContent(snapshot))
			assert.Equal(t, next.Revision, snapshot.Revision)
		})
	}
}
