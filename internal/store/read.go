package store

import (
	"encoding/binary"
	"errors"
	"iter"

	"go.etcd.io/bbolt"
)

// recordsPerRead is how many records Records reads in one transaction. bbolt cannot grow its memory map during a read
// transaction, so a slow consumer must not keep one open.
const recordsPerRead = 256

// Load reads a consistent copy of all that is on the disk.
func (s *Store) Load() (c Contents, err error) {
	err = s.view(func(db *bbolt.DB, last uint64) error {
		c, err = readContents(db, last)
		return err
	})
	return c, err
}

// Records yields the stored records from a revision on, in order, and ends after an error. No lock or transaction is held
// while the caller handles a record: records appended meanwhile are included, and records that a compaction drops may be
// missing.
func (s *Store) Records(from uint64) iter.Seq2[Record, error] {
	return func(yield func(Record, error) bool) {
		for {
			var batch []Record
			err := s.view(func(db *bbolt.DB, last uint64) error {
				return db.View(func(tx *bbolt.Tx) error {
					c := tx.Bucket(bucketRecords).Cursor()
					for k, v := c.Seek(revisionKey(from)); k != nil && len(batch) < recordsPerRead; k, v = c.Next() {
						r, err := decodeValue(binary.BigEndian.Uint64(k), v)
						if err != nil {
							return err
						}
						if r.Revision > last {
							return nil
						}
						batch = append(batch, r)
					}
					return nil
				})
			})
			for _, r := range batch {
				if !yield(r, nil) {
					return
				}
			}
			if err != nil {
				yield(Record{}, err)
				return
			}
			if len(batch) == 0 {
				return
			}
			from = batch[len(batch)-1].Revision + 1
		}
	}
}

// view calls read with the newest revision that is known to be on the disk. Readers must ignore later records, because
// bbolt makes a commit readable before its last sync.
func (s *Store) view(read func(db *bbolt.DB, last uint64) error) error {
	s.dbMu.RLock()
	defer s.dbMu.RUnlock()
	if s.db == nil {
		return ErrClosed
	}
	last := s.Last()
	return catchFaults(func() error { return read(s.db, last) })
}

// readContents reads and checks the whole file and returns the records up to revision last.
func readContents(db *bbolt.DB, last uint64) (c Contents, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		about, records := tx.Bucket(bucketAbout), tx.Bucket(bucketRecords)
		if about == nil || records == nil {
			return corruptf("a bucket is missing")
		}
		fileLayout, err := readNumber(about, keyLayout)
		if err != nil {
			return err
		}
		if fileLayout > layoutVersion {
			return &NewerVersionError{Path: db.Path(), Have: fileLayout, Supported: layoutVersion}
		}
		if c.Schema, err = readNumber(about, keySchema); err != nil {
			return err
		}
		v := about.Get(keySnapshot)
		if len(v) < 8 {
			return corruptf("the snapshot entry is missing")
		}
		r, err := decodeValue(binary.BigEndian.Uint64(v), v[8:])
		if err != nil {
			return err
		}
		if len(r.Data) > 0 {
			c.Snapshot = &Record{Revision: r.Revision, Data: r.Data[1:]}
		}
		var n uint64
		cursor := records.Cursor()
		for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
			if n++; len(k) != 8 || v == nil {
				return corruptf("key %x is not a revision", k)
			}
			r, err := decodeValue(binary.BigEndian.Uint64(k), v)
			if err != nil {
				return err
			}
			if r.Revision <= last {
				c.Records = append(c.Records, r)
			}
		}
		if n != records.Sequence() {
			return corruptf("found %d records, expected %d", n, records.Sequence())
		}
		if err := c.checkContinuity(); err != nil {
			return corruptf("%v", err)
		}
		return nil
	})
	if errors.Is(err, bbolt.ErrInvalid) || errors.Is(err, bbolt.ErrChecksum) || errors.Is(err, bbolt.ErrVersionMismatch) {
		err = corruptf("%v", err)
	}
	return c, err
}

func readNumber(about *bbolt.Bucket, name []byte) (uint64, error) {
	r, err := decodeValue(0, about.Get(name))
	if err != nil || len(r.Data) != 8 {
		return 0, corruptf("its %s entry is missing or invalid", name)
	}
	return binary.BigEndian.Uint64(r.Data), nil
}
