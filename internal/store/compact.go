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

// Compact replaces the records before revision keep with a snapshot of the state at the snapshot's revision; records from
// keep up to the snapshot stay as history. It writes a new file and renames it over the old one, so the file never holds
// unused space from dropped records, and a crash at any point leaves either the old or the new file.
func (s *Store) Compact(snapshot Record, keep uint64) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.ensureWritable(); err != nil {
		return err
	}
	c, err := s.Load()
	if err != nil {
		return &WriteError{Reason: err}
	}
	switch {
	case snapshot.Revision > c.Last():
		err = fmt.Errorf("the snapshot is of revision %d, but the newest revision is %d", snapshot.Revision, c.Last())
	case c.Snapshot != nil && snapshot.Revision < c.Snapshot.Revision:
		err = fmt.Errorf("the snapshot is of revision %d, but the store already has one of revision %d", snapshot.Revision,
			c.Snapshot.Revision)
	case keep > snapshot.Revision+1:
		err = fmt.Errorf("the records from revision %d on are to be kept, but the snapshot covers only those up to %d", keep,
			snapshot.Revision)
	case len(snapshot.Data) > MaxSnapshot:
		err = fmt.Errorf("the snapshot is %d bytes long; the limit is %d", len(snapshot.Data), MaxSnapshot)
	}
	if err != nil {
		return &WriteError{Reason: err}
	}
	c.Snapshot = &snapshot
	for len(c.Records) > 0 && c.Records[0].Revision < keep {
		c.Records = c.Records[1:]
	}
	return s.replaceFile(c)
}

// replaceFile writes contents to a new file, syncs it and renames it over the store's file. Until the rename nothing has
// changed. s.writeMu is held, or Open has not returned yet.
func (s *Store) replaceFile(c Contents) error {
	path := filepath.Join(s.dir, newFileName)
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) { // openBolt would add to a leftover file
		return &WriteError{Reason: err}
	}
	var db *bbolt.DB
	err := catchFaults(func() (err error) {
		if db, err = openBolt(path); err != nil {
			return err
		}
		return writeContents(db, c)
	})
	if err == nil {
		err = os.Rename(path, s.path())
	}
	if err != nil {
		var fault *accessFault
		if db != nil && !errors.As(err, &fault) {
			db.Close()
		}
		os.Remove(path) // if this fails, the next Open removes the file
		return &WriteError{Reason: err}
	}
	s.dbMu.Lock()
	old := s.db
	s.db = db
	s.mu.Lock()
	s.lastDurable = c.Last()
	s.mu.Unlock()
	s.dbMu.Unlock()
	if old != nil {
		old.Close()
	}
	if err := syncDir(s.dir); err != nil {
		// After a crash the name may refer to the old file, so no further change may be acknowledged on the new one.
		s.fatalErr = fmt.Errorf("cannot sync the state folder: %w", err)
		return &WriteError{Reason: s.fatalErr, Uncertain: true}
	}
	return nil
}

func writeContents(db *bbolt.DB, c Contents) error {
	return db.Update(func(tx *bbolt.Tx) error {
		about, err := tx.CreateBucketIfNotExists(bucketAbout)
		if err != nil {
			return err
		}
		records, err := tx.CreateBucketIfNotExists(bucketRecords)
		if err != nil {
			return err
		}
		// The snapshot key is always written: if it could be absent, a damaged key would read as a store without snapshot.
		// Data starts with a 1 if there is a snapshot and is empty if not.
		var snapshot Record
		if c.Snapshot != nil {
			snapshot = Record{Revision: c.Snapshot.Revision, Data: append([]byte{1}, c.Snapshot.Data...)}
		}
		err = errors.Join(about.Put(keyLayout, encodeValue(Record{Data: revisionKey(layoutVersion)})),
			about.Put(keySchema, encodeValue(Record{Data: revisionKey(c.Schema)})),
			about.Put(keySnapshot, append(revisionKey(snapshot.Revision), encodeValue(snapshot)...)))
		records.FillPercent = 0.9
		for _, r := range c.Records {
			if err == nil {
				err = records.Put(revisionKey(r.Revision), encodeValue(r))
			}
		}
		return errors.Join(err, records.SetSequence(uint64(len(c.Records))))
	})
}
