package store

import (
	"encoding/binary"
	"errors"
	"iter"

	"go.etcd.io/bbolt"
)

// chunk is how many records Records takes in one look: bbolt cannot grow its map while someone looks, so a slow reader
// must not.
const chunk = 256

// Load reads all that is on the disk, at one moment.
func (s *Store) Load() (c Contents, err error) {
	err = s.view(func(db *bbolt.DB, last uint64) error {
		c, err = contents(db, last)
		return err
	})
	return c, err
}

// Records gives the kept records from a revision on, in order, and ends after an error. Nothing is held between two of
// them: records that are appended meanwhile come too, and those that a compaction drops may be missing.
func (s *Store) Records(from uint64) iter.Seq2[Record, error] {
	return func(yield func(Record, error) bool) {
		for {
			var some []Record
			err := s.view(func(db *bbolt.DB, last uint64) error {
				return db.View(func(tx *bbolt.Tx) error {
					c := tx.Bucket(bucketRecords).Cursor()
					for k, v := c.Seek(key(from)); k != nil && len(some) < chunk; k, v = c.Next() {
						r, err := decode(binary.BigEndian.Uint64(k), v)
						if err != nil {
							return err
						}
						if r.Revision > last {
							return nil
						}
						some = append(some, r)
					}
					return nil
				})
			})
			for _, r := range some {
				if !yield(r, nil) {
					return
				}
			}
			if err != nil {
				yield(Record{}, err)
				return
			}
			if len(some) == 0 {
				return
			}
			from = some[len(some)-1].Revision + 1
		}
	}
}

// view reads no further than the newest revision that is known to be on the disk: bbolt shows a commit before its sync.
func (s *Store) view(read func(db *bbolt.DB, last uint64) error) error {
	s.views.RLock()
	defer s.views.RUnlock()
	if s.db == nil {
		return ErrClosed
	}
	last := s.Last()
	return guarded(func() error { return read(s.db, last) })
}

// contents reads and checks all up to a revision.
func contents(db *bbolt.DB, last uint64) (c Contents, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		about, records := tx.Bucket(bucketAbout), tx.Bucket(bucketRecords)
		if about == nil || records == nil {
			return damaged("a bucket is missing")
		}
		kind, err := number(about, keyLayout)
		if err != nil {
			return err
		}
		if kind > layout {
			return &Newer{Path: db.Path(), Have: kind, Wanted: layout}
		}
		if c.Schema, err = number(about, keySchema); err != nil {
			return err
		}
		v := about.Get(keySnapshot)
		if len(v) < 8 {
			return damaged("the snapshot's place is missing")
		}
		r, err := decode(binary.BigEndian.Uint64(v), v[8:])
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
				return damaged("the key %x is no revision", k)
			}
			r, err := decode(binary.BigEndian.Uint64(k), v)
			if err != nil {
				return err
			}
			if r.Revision <= last {
				c.Records = append(c.Records, r)
			}
		}
		if n != records.Sequence() {
			return damaged("%d records are there of %d", n, records.Sequence())
		}
		if err := c.gaps(); err != nil {
			return damaged("%v", err)
		}
		return nil
	})
	if errors.Is(err, bbolt.ErrInvalid) || errors.Is(err, bbolt.ErrChecksum) || errors.Is(err, bbolt.ErrVersionMismatch) {
		err = damaged("%v", err)
	}
	return c, err
}

func number(about *bbolt.Bucket, name []byte) (uint64, error) {
	r, err := decode(0, about.Get(name))
	if err != nil || len(r.Data) != 8 {
		return 0, damaged("its %s is not whole", name)
	}
	return binary.BigEndian.Uint64(r.Data), nil
}
