package softstate

import "slices"

// Two tables are compared in three steps, each of which covers only what differed in the one before: Digest (a hash for
// each kind), BucketHashes (a hash for each bucket of some kinds) and Summaries (the versions in some buckets).

// KindHash is the hash of all advertised records of a kind. It is encoded as an array: the order of its fields is part
// of the format.
type KindHash struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     Kind
	Hash     uint64
}

// KindBuckets holds the hashes of a kind's buckets, by bucket; an empty list means that all buckets are empty. It is
// encoded as an array.
type KindBuckets struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     Kind
	Hashes   []uint64
}

// BucketID identifies a bucket of a kind. It is encoded as an array.
type BucketID struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     Kind
	Bucket   uint8
}

// Summary identifies a record and its version without the payload. Hash covers the whole record.
type Summary struct {
	Kind    Kind
	Key     string
	Version Version
	Hash    uint64
}

// ID returns the ID of the summarized record.
func (s Summary) ID() ID { return ID{Kind: s.Kind, Key: s.Key} }

// Hash returns the hash of all advertised records. Tables with the same records have equal hashes; an empty table has
// zero.
func (t *Table) Hash() uint64 { return t.hash }

// Digest returns the hash of each kind that has advertised records, sorted by kind.
func (t *Table) Digest() []KindHash {
	list := make([]KindHash, 0, len(t.kinds))
	for kind, table := range t.kinds {
		if table.hash != 0 {
			list = append(list, KindHash{Kind: kind, Hash: table.hash})
		}
	}
	slices.SortFunc(list, func(a, b KindHash) int { return int(a.Kind) - int(b.Kind) })
	return list
}

// DifferingKinds returns the kinds whose hashes differ from those of the other table.
func (t *Table) DifferingKinds(other []KindHash) []Kind {
	var list []Kind
	seen := make(map[Kind]bool, len(other))
	for _, theirs := range other {
		seen[theirs.Kind] = true
		if table := t.kinds[theirs.Kind]; table == nil || table.hash != theirs.Hash {
			list = append(list, theirs.Kind)
		}
	}
	for kind, table := range t.kinds {
		if table.hash != 0 && !seen[kind] {
			list = append(list, kind)
		}
	}
	slices.Sort(list)
	return list
}

// BucketHashes returns the hashes of the buckets of the given kinds.
func (t *Table) BucketHashes(kinds []Kind) []KindBuckets {
	list := make([]KindBuckets, 0, len(kinds))
	for _, kind := range kinds {
		list = append(list, KindBuckets{Kind: kind, Hashes: t.bucketHashes(kind)})
	}
	return list
}

func (t *Table) bucketHashes(kind Kind) []uint64 {
	table := t.kinds[kind]
	if table == nil || table.hash == 0 {
		return nil
	}
	hashes := make([]uint64, Buckets)
	for i := range table.buckets {
		hashes[i] = table.buckets[i].hash
	}
	return hashes
}

// DifferingBuckets returns the buckets whose hashes differ from those of the other table.
func (t *Table) DifferingBuckets(other []KindBuckets) []BucketID {
	var list []BucketID
	for _, theirs := range other {
		ours := t.bucketHashes(theirs.Kind)
		for i := range Buckets {
			if hashAt(ours, i) != hashAt(theirs.Hashes, i) {
				list = append(list, BucketID{Kind: theirs.Kind, Bucket: uint8(i)})
			}
		}
	}
	return list
}

func hashAt(hashes []uint64, i int) uint64 {
	if i < len(hashes) {
		return hashes[i]
	}
	return 0
}

// AllBuckets returns every bucket that holds a record.
func (t *Table) AllBuckets() []BucketID {
	var list []BucketID
	for kind, table := range t.kinds {
		for i := range table.buckets {
			if len(table.buckets[i].entries) > 0 {
				list = append(list, BucketID{Kind: kind, Bucket: uint8(i)})
			}
		}
	}
	return list
}

// Summaries returns the summaries of the advertised records in the buckets.
func (t *Table) Summaries(buckets []BucketID) []Summary {
	var list []Summary
	for _, id := range buckets {
		for _, e := range t.bucket(id) {
			if !e.withdrawn {
				list = append(list, e.summary())
			}
		}
	}
	return list
}

func (t *Table) bucket(id BucketID) map[string]*entry {
	table := t.kinds[id.Kind]
	if table == nil || id.Bucket >= Buckets {
		return nil
	}
	return table.buckets[id.Bucket].entries
}

func (e *entry) summary() Summary {
	return Summary{Kind: e.record.Kind, Key: e.record.Key, Version: e.record.Version, Hash: e.hash}
}

// Difference compares the buckets with the summaries that another table gave of them. It returns the records that the
// other table lacks or holds in an older version, and the IDs of those that it holds in a newer one. Records of equal
// version and different content are in both lists.
func (t *Table) Difference(buckets []BucketID, theirs []Summary) (newer []Record, wanted []ID) {
	known := make(map[ID]bool, len(theirs))
	for _, summary := range theirs {
		known[summary.ID()] = true
		e := t.lookup(summary.ID())
		if e == nil {
			wanted = append(wanted, summary.ID())
			continue
		}
		order := e.record.Version.Compare(summary.Version)
		differs := e.hash != summary.Hash
		if order < 0 || order == 0 && differs {
			wanted = append(wanted, summary.ID())
		}
		if order > 0 || order == 0 && differs {
			newer = append(newer, e.record)
		}
	}
	return append(newer, t.recordsMissingFrom(known, buckets)...), wanted
}

func (t *Table) lookup(id ID) *entry {
	table := t.kinds[id.Kind]
	if table == nil {
		return nil
	}
	return table.buckets[bucketOf(id.Key)].entries[id.Key]
}

func (t *Table) recordsMissingFrom(known map[ID]bool, buckets []BucketID) []Record {
	var list []Record
	for _, id := range buckets {
		for _, e := range t.bucket(id) {
			if !e.withdrawn && !known[e.record.ID()] {
				list = append(list, e.record)
			}
		}
	}
	return list
}

// Select returns the records of the given IDs that the table holds.
func (t *Table) Select(ids []ID) []Record {
	list := make([]Record, 0, len(ids))
	for _, id := range ids {
		if record, ok := t.Get(id.Kind, id.Key); ok {
			list = append(list, record)
		}
	}
	return list
}
