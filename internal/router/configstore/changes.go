package configstore

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
)

// maxAppliedChanges is how many of the newest changes a state lists: several times what an operator has in progress at
// once, but no more, since each change sends the list to all routers.
const maxAppliedChanges = 128

// ChangeID identifies an operator's change, so that a repeated request for the same change is recognised.
type ChangeID [16]byte

// AppliedChange is a change that has been applied. Base is the generation that it was made on.
type AppliedChange struct {
	Base int64
	ID   ChangeID
}

// ChangeStatus is what a state knows about a change.
type ChangeStatus uint8

// The values of ChangeStatus.
const (
	// ChangeUnknown means that the change has not been applied.
	ChangeUnknown ChangeStatus = iota
	// ChangeApplied means that the change has been applied.
	ChangeApplied
	// ChangeForgotten means that changes on its base are no longer listed, so that it may have been applied or not.
	ChangeForgotten
)

// ChangeStatus returns what the state knows about a change on the generation base. A generation is the base of at most
// one applied change, and bases increase. A change that is not listed has therefore not been applied, unless its base
// is below ForgottenBelow.
func (state State) ChangeStatus(base int64, id ChangeID) ChangeStatus {
	switch {
	case state.HasChange(id):
		return ChangeApplied
	case base >= 0 && base < state.ForgottenBelow:
		return ChangeForgotten
	default:
		return ChangeUnknown
	}
}

// HasChange reports whether the change is among the listed applied changes.
func (state State) HasChange(id ChangeID) bool {
	return slices.ContainsFunc(state.AppliedChanges, func(change AppliedChange) bool { return change.ID == id })
}

// addAppliedChange appends a change to the list, and drops the oldest ones beyond maxAppliedChanges.
func (state *State) addAppliedChange(applied AppliedChange) {
	changes := append(slices.Clone(state.AppliedChanges), applied)
	if excess := len(changes) - maxAppliedChanges; excess > 0 {
		state.ForgottenBelow = max(state.ForgottenBelow, changes[excess-1].Base+1)
		changes = slices.Clone(changes[excess:])
	}
	state.AppliedChanges = changes
}

// encodedChangeSize is the size in bytes of an applied change in a payload: its base and its ID.
const encodedChangeSize = 8 + len(ChangeID{})

// errTruncatedChanges is returned for an encoded list of applied changes that is truncated.
var errTruncatedChanges = errors.New("configstore: truncated list of applied changes")

func encodeAppliedChanges(changes []AppliedChange) []byte {
	encoded := make([]byte, 0, len(changes)*encodedChangeSize)
	for _, applied := range changes {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(applied.Base))
		encoded = append(encoded, applied.ID[:]...)
	}
	return encoded
}

func decodeAppliedChanges(encoded []byte) ([]AppliedChange, error) {
	if len(encoded)%encodedChangeSize != 0 {
		return nil, errTruncatedChanges
	}
	var changes []AppliedChange
	for chunk := range slices.Chunk(encoded, encodedChangeSize) {
		change := AppliedChange{Base: int64(binary.BigEndian.Uint64(chunk))}
		copy(change.ID[:], chunk[8:])
		changes = append(changes, change)
	}
	return changes, nil
}

// maxLegacyChangeIDs is how many IDs are written for earlier releases, to which the fleet may be rolled back: several
// times what an operator has in progress at once.
const maxLegacyChangeIDs = 32

// encodeLegacyChangeIDs returns the IDs of the newest changes, as earlier releases read them.
func encodeLegacyChangeIDs(changes []AppliedChange) []byte {
	newest := changes[max(0, len(changes)-maxLegacyChangeIDs):]
	encoded := make([]byte, 0, len(newest)*len(ChangeID{}))
	for _, applied := range newest {
		encoded = append(encoded, applied.ID[:]...)
	}
	return encoded
}

// mergeLegacyChangeIDs adds the changes that earlier releases have applied: IDs that are missing from this release's
// list, without their bases. Earlier releases may have applied and dropped others, so that all bases below the
// current generation count as forgotten then.
func (state *State) mergeLegacyChangeIDs(encoded []byte) {
	for chunk := range slices.Chunk(encoded, len(ChangeID{})) {
		change := AppliedChange{Base: unknownBase}
		copy(change.ID[:], chunk)
		if !state.HasChange(change.ID) {
			state.AppliedChanges = append(state.AppliedChanges, change)
			state.ForgottenBelow = state.Generation
		}
	}
}

// unknownBase stands for the base of a change that an earlier release applied.
const unknownBase = -1
