// Package chance owns every random draw of the lab: one seed gives any number of named streams, so that a part of
// the world that draws more or less changes no draw of another. It also holds the distributions and the arrival
// processes that are drawn. It must never read a clock or share a stream between two names.
package chance

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Source is a seed from which streams are named.
type Source struct{ seed uint64 }

// New makes the source of a run.
func New(seed uint64) Source { return Source{seed} }

// Stream gives the stream of a name, at its beginning. Equal seeds and names give equal streams.
func (s Source) Stream(name string) *rand.Rand {
	return rand.New(rand.NewPCG(s.hash(name, 0), s.hash(name, 1)))
}

// Number gives one draw that belongs to a name: the seed of something that keeps its own source.
func (s Source) Number(name string) uint64 { return s.hash(name, 2) }

// Under gives a source whose names stand under a common one.
func (s Source) Under(name string) Source { return Source{s.hash(name, 3)} }

// hash mixes seed, purpose and name. The two halves of a PCG seed come from different purposes.
func (s Source) hash(name string, purpose byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var head [9]byte
	binary.LittleEndian.PutUint64(head[:], s.seed)
	head[8] = purpose
	d.Write(head[:])
	d.WriteString(name)
	return d.Sum64()
}
