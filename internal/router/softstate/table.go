package softstate

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets into which the keys of a kind are hashed.
const Buckets = 64

// TombstoneAdvertisedFor is how long a removed record is advertised to other tables. It is kept for twice as long, so
// that a table that no longer advertises it does not accept it again from one that learned it later.
const TombstoneAdvertisedFor = 5 * time.Minute

// recentHashCount is the number of latest changes whose table hashes are remembered.
const recentHashCount = 32

const tombstoneRetention = 2 * TombstoneAdvertisedFor

type entry struct {
	record    Record
	hash      uint64
	mergedAt  time.Time
	withdrawn bool // a tombstone that is kept but no longer advertised
}

// bucket holds the records of a kind whose keys have the same hash modulo Buckets.
type bucket struct {
	entries map[string]*entry
	hash    uint64 // exclusive or of the hashes of the advertised entries
}

type kindTable struct {
	buckets [Buckets]bucket
	hash    uint64
}

// Table is a set of records. It is not safe for concurrent use.
type Table struct {
	kinds          map[Kind]*kindTable
	hash           uint64
	count          int
	tombstones     map[ID]*entry
	lastChange     time.Time
	recentHashes   [recentHashCount]uint64 // ring buffer of the latest hashes
	hashesRecorded int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{kinds: make(map[Kind]*kindTable), tombstones: make(map[ID]*entry)}
}

// Merge stores the record if it supersedes the present one of its key, and reports whether it did.
func (t *Table) Merge(record Record, now time.Time) bool {
	table := t.kind(record.Kind)
	b := &table.buckets[bucketOf(record.Key)]
	held := b.entries[record.Key]
	if held != nil && !record.Supersedes(held.record) {
		return false
	}
	if held != nil {
		t.removeFromHashes(table, b, held)
	} else {
		t.count++
	}
	added := &entry{record: record, hash: record.hash(), mergedAt: now}
	if b.entries == nil {
		b.entries = make(map[string]*entry)
	}
	b.entries[record.Key] = added
	t.toggleHash(table, b, added.hash)
	t.updateTombstones(added)
	t.lastChange = now
	t.recentHashes[t.hashesRecorded%recentHashCount] = t.hash
	t.hashesRecorded++
	return true
}

func (t *Table) kind(kind Kind) *kindTable {
	table := t.kinds[kind]
	if table == nil {
		table = &kindTable{}
		t.kinds[kind] = table
	}
	return table
}

func (t *Table) updateTombstones(e *entry) {
	if e.record.Removed {
		t.tombstones[e.record.ID()] = e
		return
	}
	delete(t.tombstones, e.record.ID())
}

// removeFromHashes removes an entry from the hashes if they include it.
func (t *Table) removeFromHashes(table *kindTable, b *bucket, e *entry) {
	if !e.withdrawn {
		t.toggleHash(table, b, e.hash)
	}
}

func (t *Table) toggleHash(table *kindTable, b *bucket, hash uint64) {
	b.hash ^= hash
	table.hash ^= hash
	t.hash ^= hash
}

// Expire stops advertising tombstones that were merged TombstoneAdvertisedFor ago or earlier, and drops those merged
// tombstoneRetention ago or earlier.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.tombstones {
		age := now.Sub(e.mergedAt)
		if age < TombstoneAdvertisedFor {
			continue
		}
		table := t.kinds[id.Kind]
		b := &table.buckets[bucketOf(id.Key)]
		t.removeFromHashes(table, b, e)
		e.withdrawn = true
		if age >= tombstoneRetention {
			delete(b.entries, id.Key)
			delete(t.tombstones, id)
			t.count--
		}
	}
}

// Get returns the record of a key, even if it is a removed one.
func (t *Table) Get(kind Kind, key string) (Record, bool) {
	table := t.kinds[kind]
	if table == nil {
		return Record{}, false
	}
	e := table.buckets[bucketOf(key)].entries[key]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}

// Records returns the records of a kind that are not removed, sorted by key.
func (t *Table) Records(kind Kind) []Record {
	var list []Record
	for e := range t.entries(kind) {
		if !e.record.Removed {
			list = append(list, e.record)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// MergedAt returns the time at which the record of a key was merged.
func (t *Table) MergedAt(id ID) (at time.Time, known bool) {
	e := t.lookup(id)
	if e == nil {
		return time.Time{}, false
	}
	return e.mergedAt, true
}

// HadRecentHash reports whether the table had the hash after one of its latest changes.
func (t *Table) HadRecentHash(hash uint64) bool { return slices.Contains(t.recentHashes[:], hash) }

// LastChange returns the time at which a record was last merged.
func (t *Table) LastChange() time.Time { return t.lastChange }

func (t *Table) entries(kind Kind) func(yield func(*entry) bool) {
	return func(yield func(*entry) bool) {
		table := t.kinds[kind]
		if table == nil {
			return
		}
		for i := range table.buckets {
			for _, e := range table.buckets[i].entries {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// Len returns the number of records, including tombstones.
func (t *Table) Len() int { return t.count }

func bucketOf(key string) uint8 { return uint8(xxhash.Sum64String(key) % Buckets) }
