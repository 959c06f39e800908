package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
)

func (s *Store) path() string { return filepath.Join(s.dir, fileName) }

// Compact puts a snapshot of the state as of its revision in place of the records before keep; those from keep up to
// the snapshot stay as history. The file is written anew and exchanged whole, so it is never larger than what it holds,
// and a crash at any point leaves the one or the other.
func (s *Store) Compact(snapshot Record, keep uint64) error {
	s.writer.Lock()
	defer s.writer.Unlock()
	if err := s.ready(); err != nil {
		return err
	}
	c, err := s.Load()
	if err != nil {
		return &Refused{Reason: err}
	}
	switch {
	case snapshot.Revision > c.Last():
		err = fmt.Errorf("a snapshot of revision %d, and the newest is %d", snapshot.Revision, c.Last())
	case c.Snapshot != nil && snapshot.Revision < c.Snapshot.Revision:
		err = fmt.Errorf("a snapshot of revision %d, and there is one of %d", snapshot.Revision, c.Snapshot.Revision)
	case keep > snapshot.Revision+1:
		err = fmt.Errorf("the records from %d on are to be kept, and the snapshot covers those up to %d only", keep,
			snapshot.Revision)
	case len(snapshot.Data) > MaxSnapshot:
		err = fmt.Errorf("the snapshot is %d bytes long, and at most %d are taken", len(snapshot.Data), MaxSnapshot)
	}
	if err != nil {
		return &Refused{Reason: err}
	}
	c.Snapshot = &snapshot
	for len(c.Records) > 0 && c.Records[0].Revision < keep {
		c.Records = c.Records[1:]
	}
	return s.replace(c)
}

// replace writes contents to a new file, syncs it, and gives it the store's name. Until the rename all is as it was.
// The writer's lock is held, or the store is not yet anyone's.
func (s *Store) replace(c Contents) error {
	path := filepath.Join(s.dir, newName)
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) { // or we would add to what is left there
		return &Refused{Reason: err}
	}
	var db *bbolt.DB
	err := guarded(func() (err error) {
		if db, err = openBolt(path); err != nil {
			return err
		}
		return fill(db, c)
	})
	if err == nil {
		err = os.Rename(path, s.path())
	}
	if err != nil {
		var fault *fault
		if db != nil && !errors.As(err, &fault) {
			db.Close()
		}
		os.Remove(path) // what stays of it is removed by the next Open
		return &Refused{Reason: err}
	}
	s.views.Lock()
	old := s.db
	s.db = db
	s.mu.Lock()
	s.last = c.Last()
	s.mu.Unlock()
	s.views.Unlock()
	if old != nil {
		old.Close()
	}
	if err := syncDir(s.dir); err != nil {
		// After a crash the name may mean the old file, so nothing more may be promised on the new one.
		s.broken = fmt.Errorf("the state folder cannot be synced: %w", err)
		return &Refused{Reason: s.broken, Doubt: true}
	}
	return nil
}

func fill(db *bbolt.DB, c Contents) error {
	return db.Update(func(tx *bbolt.Tx) error {
		about, err := tx.CreateBucketIfNotExists(bucketAbout)
		if err != nil {
			return err
		}
		records, err := tx.CreateBucketIfNotExists(bucketRecords)
		if err != nil {
			return err
		}
		// Always there, or a key that has gone bad would read as a store that never had a snapshot.
		var snapshot Record
		if c.Snapshot != nil {
			snapshot = Record{Revision: c.Snapshot.Revision, Data: append([]byte{1}, c.Snapshot.Data...)}
		}
		err = errors.Join(about.Put(keyLayout, encode(Record{Data: key(layout)})),
			about.Put(keySchema, encode(Record{Data: key(c.Schema)})),
			about.Put(keySnapshot, append(key(snapshot.Revision), encode(snapshot)...)))
		records.FillPercent = 0.9
		for _, r := range c.Records {
			if err == nil {
				err = records.Put(key(r.Revision), encode(r))
			}
		}
		return errors.Join(err, records.SetSequence(uint64(len(c.Records))))
	})
}
