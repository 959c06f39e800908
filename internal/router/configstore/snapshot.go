package configstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// snapshotFormat is the version of a snapshot's file.
const snapshotFormat = 1

// ErrSnapshotDamaged is the error of a file that is no snapshot, or not as it was written.
var ErrSnapshotDamaged = errors.New("configstore: damaged snapshot")

// SnapshotOutdatedError refuses a snapshot that the register is ahead of, or that holds something else under the same revision.
type SnapshotOutdatedError struct {
	Revision          uint64
	Generation        int64
	CurrentRevision   uint64
	CurrentGeneration int64
}

func (e SnapshotOutdatedError) Error() string {
	return fmt.Sprintf("revision %d with generation %d is in force, and the snapshot holds revision %d with generation %d",
		e.CurrentRevision, e.CurrentGeneration, e.Revision, e.Generation)
}

// snapshotFile is a state outside of the register, in JSON.
type snapshotFile struct {
	Format     int    `json:"format"`
	Revision   uint64 `json:"revision"`
	Generation int64  `json:"generation"`
	// State is the register's payload.
	State []byte `json:"state"`
	// SHA256 is the hash of the payload in hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// EncodeSnapshot returns the file of a state: configuration, revision, and the orders by which repeats are recognised.
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
		SHA256:     hashOf(payload),
	}, "", "  ")
}

// DecodeSnapshot reads such a file. Its error is ErrSnapshotDamaged, or a NewerFormatError.
func DecodeSnapshot(encoded []byte) (State, error) {
	var file snapshotFile
	if err := json.Unmarshal(encoded, &file); err != nil {
		return State{}, errors.Wrap(ErrSnapshotDamaged, err.Error())
	}
	if file.Format > snapshotFormat {
		return State{}, NewerFormatError{Needs: file.Format}
	}
	if file.Format != snapshotFormat || file.SHA256 != hashOf(file.State) {
		return State{}, errors.Wrap(ErrSnapshotDamaged, "its hash is another")
	}
	state, err := decodeState(file.State)
	if err != nil {
		return State{}, err
	}
	if state.Revision != file.Revision || state.Generation != file.Generation || state.Revision == 0 {
		return State{}, errors.Wrap(ErrSnapshotDamaged, "its revision is another")
	}
	return state, nil
}

func hashOf(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// WithSnapshot is the state after a snapshot was put in force on top of it. What is older than the state is refused, so that a snapshot
// takes nothing back that was acknowledged; the state's own snapshot changes nothing.
func (state State) WithSnapshot(snapshot State) (State, error) {
	outdated := SnapshotOutdatedError{
		Revision:          snapshot.Revision,
		Generation:        snapshot.Generation,
		CurrentRevision:   state.Revision,
		CurrentGeneration: state.Generation,
	}
	switch {
	case snapshot.isSame(state):
		return state, nil
	case snapshot.Revision <= state.Revision, snapshot.Generation < state.Generation:
		return state, outdated
	default:
		return snapshot, nil
	}
}
