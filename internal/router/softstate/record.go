// Package softstate holds versioned records that their sources announce again after a loss, and finds the differences
// between two tables of records with little data. It reads no clock: times are arguments.
package softstate

import (
	"bytes"
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Kind is the type of a record. Its values are assigned by the users of the package.
type Kind uint8

// Version orders the records of one key: by epoch, then by sequence.
type Version struct {
	Epoch    uint64
	Sequence uint64
}

// Compare returns -1, 0 or 1 if v is older than, as old as, or newer than other.
func (v Version) Compare(other Version) int {
	if order := cmp.Compare(v.Epoch, other.Epoch); order != 0 {
		return order
	}
	return cmp.Compare(v.Sequence, other.Sequence)
}

// IsZero reports whether the version is unset.
func (v Version) IsZero() bool { return v.Epoch == 0 && v.Sequence == 0 }

// Next returns the smallest version after v within its epoch.
func (v Version) Next() Version { return Version{Epoch: v.Epoch, Sequence: v.Sequence + 1} }

// ID identifies a record by its kind and key. It is encoded as an array: the order of its fields is part of the format.
type ID struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     Kind
	Key      string
}

// Record is one versioned value. A removed record (tombstone) says that the key has been deleted. The payload must not
// be modified after it was passed to a table.
type Record struct {
	Kind    Kind
	Key     string
	Version Version
	Payload []byte
	Removed bool
}

// ID returns the record's ID.
func (r Record) ID() ID { return ID{Kind: r.Kind, Key: r.Key} }

// Supersedes reports whether r replaces other. Of two records with one version, which a correct source never makes, a
// removal wins, then the larger payload, so that all tables agree whatever the order of arrival.
func (r Record) Supersedes(other Record) bool {
	if order := r.Version.Compare(other.Version); order != 0 {
		return order > 0
	}
	if r.Removed != other.Removed {
		return r.Removed
	}
	return bytes.Compare(r.Payload, other.Payload) > 0
}

// hash returns a hash of all fields of the record.
func (r Record) hash() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var fixed [18]byte
	fixed[0] = byte(r.Kind)
	if r.Removed {
		fixed[1] = 1
	}
	binary.LittleEndian.PutUint64(fixed[2:], r.Version.Epoch)
	binary.LittleEndian.PutUint64(fixed[10:], r.Version.Sequence)
	_, _ = digest.Write(fixed[:])
	_, _ = digest.WriteString(r.Key)
	_, _ = digest.Write(r.Payload)
	return digest.Sum64()
}
