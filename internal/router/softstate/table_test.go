package softstate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recordGenerator returns a generator of records with few kinds, keys and versions, so that drawn records often share a
// key.
func recordGenerator() *rapid.Generator[Record] {
	return rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Kind:    Kind(rapid.IntRange(0, 2).Draw(t, "kind")),
			Key:     fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "key")),
			Version: Version{Epoch: rapid.Uint64Range(1, 3).Draw(t, "epoch"), Sequence: rapid.Uint64Range(0, 2).Draw(t, "sequence")},
			Payload: []byte(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "payload")),
			Removed: rapid.Bool().Draw(t, "removed"),
		}
	})
}

// expectedRecords is a slow reference model: for each key, the record that no other supersedes.
func expectedRecords(records []Record) map[ID]Record {
	model := make(map[ID]Record)
	for _, record := range records {
		best := true
		for _, other := range records {
			if other.ID() == record.ID() && other.Supersedes(record) {
				best = false
			}
		}
		if best {
			model[record.ID()] = record
		}
	}
	return model
}

func mergeAll(table *Table, records []Record) {
	for _, record := range records {
		table.Merge(record, startTime)
	}
}

// TestMergeInAnyOrder checks that tables agree with the model and with each other, whatever the order and the
// repetitions of records.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(recordGenerator()).Draw(t, "records")
		one, other := NewTable(), NewTable()
		mergeAll(one, records)
		mergeAll(other, rapid.Permutation(records).Draw(t, "order"))
		mergeAll(other, records)
		assert.Equal(t, one.Hash(), other.Hash())
		model := expectedRecords(records)
		assert.Equal(t, one.Len(), len(model))
		for id, want := range model {
			got, known := one.Get(id.Kind, id.Key)
			assert.Assert(t, known)
			assert.DeepEqual(t, got, want)
		}
		for kind := range Kind(3) {
			for _, record := range one.Records(kind) {
				assert.Assert(t, !record.Removed)
			}
		}
	})
}

// synchronize compares two tables, and stores in each what the other holds newer.
func synchronize(one, other *Table) {
	kinds := other.DifferingKinds(one.Digest())
	buckets := one.DifferingBuckets(other.BucketHashes(kinds))
	newer, wanted := other.Difference(buckets, one.Summaries(buckets))
	pushed := one.Select(wanted)
	mergeAll(one, newer)
	mergeAll(other, pushed)
}

func TestExchangeFindsAllDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.SliceOf(recordGenerator()).Draw(t, "first")
		second := rapid.SliceOf(recordGenerator()).Draw(t, "second")
		one, other, both := NewTable(), NewTable(), NewTable()
		mergeAll(one, first)
		mergeAll(other, second)
		mergeAll(both, append(first, second...))
		synchronize(one, other)
		assert.Equal(t, one.Hash(), both.Hash())
		assert.Equal(t, other.Hash(), both.Hash())
		assert.Equal(t, len(other.DifferingKinds(one.Digest())), 0)
	})
}

func TestEmptyTableReceivesAllRecords(t *testing.T) {
	full, empty := NewTable(), NewTable()
	for i := range 500 {
		full.Merge(Record{Kind: Kind(i % 5), Key: fmt.Sprint(i), Version: Version{Epoch: 1}}, startTime)
	}
	newer, wanted := full.Difference(full.AllBuckets(), nil)
	mergeAll(empty, newer)
	assert.Equal(t, len(wanted), 0)
	assert.Equal(t, empty.Hash(), full.Hash())
}

// TestDigestIsSmall checks the size of what is exchanged to compare equal tables, and nearly equal ones.
func TestDigestIsSmall(t *testing.T) {
	one, other := NewTable(), NewTable()
	for i := range 500 {
		record := Record{Kind: Kind(i % 6), Key: fmt.Sprintf("some-longer-key-%d", i), Version: Version{Epoch: rand.Uint64()}}
		mergeAll(one, []Record{record})
		mergeAll(other, []Record{record})
	}
	assert.Assert(t, encodedSize(t, one.Digest()) < 200)
	assert.Equal(t, len(other.DifferingKinds(one.Digest())), 0)

	mergeAll(one, []Record{{Kind: 3, Key: "new", Version: Version{Epoch: 1}}})
	kinds := other.DifferingKinds(one.Digest())
	hashes := other.BucketHashes(kinds)
	assert.Assert(t, encodedSize(t, hashes) < 700)
	summaries := one.Summaries(one.DifferingBuckets(hashes))
	assert.Assert(t, len(summaries) < 20)
}

func encodedSize(t *testing.T, value any) int {
	body, err := msgpack.Marshal(value)
	assert.NilError(t, err)
	return len(body)
}

// TestTombstone checks that a removal supersedes older records, is advertised for a limited time, and is dropped in the
// end.
func TestTombstone(t *testing.T) {
	table := NewTable()
	older := Record{Kind: 1, Key: "key", Version: Version{Epoch: 1}}
	removal := Record{Kind: 1, Key: "key", Version: Version{Epoch: 2}, Removed: true}
	assert.Assert(t, table.Merge(removal, startTime))
	assert.Assert(t, !table.Merge(older, startTime))
	assert.Equal(t, len(table.Summaries(table.AllBuckets())), 1)

	table.Expire(startTime.Add(TombstoneAdvertisedFor))
	assert.Equal(t, table.Hash(), uint64(0))
	assert.Equal(t, len(table.Summaries(table.AllBuckets())), 0)
	assert.Assert(t, !table.Merge(older, startTime))

	// a table that missed the removal still learns of it
	behind := NewTable()
	mergeAll(behind, []Record{older})
	synchronize(behind, table)
	assert.Equal(t, len(behind.Records(1)), 0)

	table.Expire(startTime.Add(tombstoneRetention))
	assert.Equal(t, table.Len(), 0)
}

// TestRecordReplacingTombstoneIsKept checks that a record that replaced a tombstone is not dropped when the tombstone
// would expire.
func TestRecordReplacingTombstoneIsKept(t *testing.T) {
	table, want := NewTable(), NewTable()
	back := Record{Kind: 1, Key: "key", Version: Version{Epoch: 3}}
	mergeAll(table, []Record{{Kind: 1, Key: "key", Version: Version{Epoch: 2}, Removed: true}})
	table.Expire(startTime.Add(TombstoneAdvertisedFor))
	mergeAll(table, []Record{back})
	table.Expire(startTime.Add(tombstoneRetention))
	mergeAll(want, []Record{back})
	assert.Equal(t, table.Hash(), want.Hash())
	assert.Equal(t, table.Len(), 1)
}

func TestEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := recordGenerator().Draw(t, "record")
		body, err := msgpack.Marshal(&record)
		assert.NilError(t, err)
		var decoded Record
		assert.NilError(t, msgpack.Unmarshal(body, &decoded))
		assert.DeepEqual(t, decoded, record)

		table := NewTable()
		mergeAll(table, []Record{record})
		summaries := table.Summaries(table.AllBuckets())
		body, err = msgpack.Marshal(summaries)
		assert.NilError(t, err)
		var decodedSummaries []Summary
		assert.NilError(t, msgpack.Unmarshal(body, &decodedSummaries))
		assert.DeepEqual(t, decodedSummaries, summaries)
	})
}
