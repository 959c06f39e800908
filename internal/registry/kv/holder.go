package kv

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Record is what the store says of a key.
type Record struct {
	Key      string
	Value    []byte // the holder's own
	Revision int64  // that wrote or deleted it
	Deleted  bool
}

// Holder holds the records below a prefix. A follower keeps no list of its own: what it knows of a key it asks here. All
// calls come from the follower's goroutine, one at a time.
type Holder interface {
	// Len is the number of keys that are held, those among them whose values were refused.
	Len() int
	// At gives the revision that a held key was last told with, and the Sum of that value, refused or not.
	At(key string) (revision int64, sum uint32, ok bool)
	// Keys are all that are held, in any order.
	Keys() iter.Seq[string]
	// Begin starts a reading. Parts of an earlier one that has not come to its end are told again where they differ from
	// what At says then.
	Begin()
	// Apply takes what differs from what is held, in order; a key may be told twice. The revision is that of the store at
	// which all is held with these records in; 0 is a part of a reading of which more follows. A holder may put the parts in
	// force as they come, or keep them until the last, and then say the old of them until it. Where whole is set the store
	// begins a history that is not the one followed until now: the revisions that are held say nothing against its records,
	// though they be lower, and what it lacks (told as deleted, in the last part) has not been removed by anybody. A whole
	// reading ends with a last part also where that is empty; the first reading of all is whole.
	Apply(whole bool, revision int64, records []Record)
}

// Health takes the signs of life beside what Apply tells, which is one.
type Health interface {
	// Heard is a sign of life without news.
	Heard()
	// Broke says that an attempt failed or a watch ended. What is held stays; attempts go on.
	Broke(error)
}

// Sum of a value, by which a holder and the store are compared: the lower half of its xxhash.
func Sum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }
