package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// snapshotFormat is the version of the snapshot file format.
const snapshotFormat = 1

// ErrCorruptSnapshot is returned for a file that is not a snapshot, or that was modified after it was written.
var ErrCorruptSnapshot = errors.New("configstore: corrupt snapshot")

// SnapshotOutdatedError rejects a snapshot that is older than the register's state, or that has the same revision but
// other content.
type SnapshotOutdatedError struct {
	Revision          uint64
	Generation        int64
	CurrentRevision   uint64
	CurrentGeneration int64
}

func (e SnapshotOutdatedError) Error() string {
	return fmt.Sprintf("the current state has revision %d and generation %d, but the snapshot has revision %d and generation %d",
		e.CurrentRevision, e.CurrentGeneration, e.Revision, e.Generation)
}

// snapshotFile is the JSON representation of a state.
type snapshotFile struct {
	Format     int    `json:"format"`
	Revision   uint64 `json:"revision"`
	Generation int64  `json:"generation"`
	// State is the state as encoded in the register's payload.
	State []byte `json:"state"`
	// SHA256 is the hash of State in hexadecimal.
	SHA256 string `json:"sha256"`
}

// EncodeSnapshot returns the snapshot file of a state. It contains the whole state, including the applied changes by
// which repeated requests are recognised.
func EncodeSnapshot(state State) ([]byte, error) {
	payload, err := encodeState(state)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(snapshotFile{
		Format:     snapshotFormat,
		Revision:   state.Revision,
		Generation: state.Generation,
		State:      payload,
		SHA256:     sha256Hex(payload),
	}, "", "  ")
}

// DecodeSnapshot decodes a snapshot file. Its error is ErrCorruptSnapshot, a NewerFormatError, or that of decoding the
// state.
func DecodeSnapshot(encoded []byte) (State, error) {
	var file snapshotFile
	if err := json.Unmarshal(encoded, &file); err != nil {
		return State{}, errors.Wrap(ErrCorruptSnapshot, err.Error())
	}
	if file.Format > snapshotFormat {
		return State{}, NewerFormatError{Required: file.Format}
	}
	if file.Format != snapshotFormat || file.SHA256 != sha256Hex(file.State) {
		return State{}, errors.Wrap(ErrCorruptSnapshot, "format or hash mismatch")
	}
	state, err := decodeState(file.State)
	if err != nil {
		return State{}, err
	}
	if state.Revision != file.Revision || state.Generation != file.Generation || state.Revision == 0 {
		return State{}, errors.Wrap(ErrCorruptSnapshot, "revision or generation mismatch")
	}
	return state, nil
}

func sha256Hex(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// WithSnapshot returns the state after a snapshot has been restored on top of it. A snapshot that is older than the
// state is rejected, so that a restore never reverts an acknowledged change. A snapshot of the state itself changes
// nothing.
func (state State) WithSnapshot(snapshot State) (State, error) {
	outdated := SnapshotOutdatedError{
		Revision:          snapshot.Revision,
		Generation:        snapshot.Generation,
		CurrentRevision:   state.Revision,
		CurrentGeneration: state.Generation,
	}
	switch {
	case snapshot.hasSameContent(state):
		return state, nil
	case snapshot.Revision <= state.Revision, snapshot.Generation < state.Generation:
		return state, outdated
	default:
		return snapshot, nil
	}
}
