package store

import (
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

var errReplacedByImport = errors.New("an import replaced the contents of the store")

// pendingAppend is an Append call that waits in the queue.
type pendingAppend struct {
	records     []Record
	done        chan error
	importCount int // Store.importCount when the append was queued
}

// WriteError reports an append, a compaction or an import that was not carried out.
type WriteError struct {
	Reason error
	// Uncertain is set when the disk failed after it may have stored the change, and the change could not be rolled back
	// yet. The store hides the change and accepts no other until the rollback succeeds. After a crash before that, the
	// change may be present.
	Uncertain bool
}

func (r *WriteError) Error() string {
	if r.Uncertain {
		return fmt.Sprintf("the change may or may not have been saved: %v (it may be present after a restart)", r.Reason)
	}
	return fmt.Sprintf("not saved, nothing was changed: %v", r.Reason)
}

func (r *WriteError) Unwrap() error { return r.Reason }

// Append writes all records or none, and returns once they are on the disk. Their revisions must continue from Last
// without gaps; the first revision of a store is 1. A failure is a *WriteError and has changed nothing unless Uncertain is
// set.
func (s *Store) Append(records ...Record) error { return <-s.Queue(records...) }

// Queue is an asynchronous Append: the order is fixed when it returns, and the result arrives on the channel. Appends
// queued during a sync share the next one. When an append fails, all appends queued after it fail too, as they may depend
// on it.
func (s *Store) Queue(records ...Record) <-chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := pendingAppend{records: records, done: make(chan error, 1), importCount: s.importCount}
	if err := s.validate(records); err != nil {
		w.done <- err
		return w.done
	}
	if len(records) == 0 {
		w.done <- nil
		return w.done
	}
	s.lastQueued = records[len(records)-1].Revision
	s.queue = append(s.queue, w)
	if !s.committing {
		s.committing = true
		go s.commitLoop()
	}
	return w.done
}

func (s *Store) validate(records []Record) error {
	if s.closed {
		return &WriteError{Reason: ErrClosed}
	}
	if len(s.queue) >= MaxQueue {
		return &WriteError{Reason: fmt.Errorf("%d appends are already waiting for the disk", len(s.queue))}
	}
	prev := s.lastQueued
	for _, r := range records {
		if r.Revision != prev+1 { // an append that was prepared behind one that has failed must not take its place
			return &WriteError{Reason: fmt.Errorf("revision %d does not follow revision %d", r.Revision, prev)}
		}
		if len(r.Data) > MaxRecord {
			return &WriteError{Reason: fmt.Errorf("revision %d is %d bytes long; the limit is %d", r.Revision, len(r.Data),
				MaxRecord)}
		}
		prev = r.Revision
	}
	return nil
}

// commitLoop writes queued appends until the queue is empty, and then ends, so that an idle store has no goroutine.
func (s *Store) commitLoop() {
	for {
		s.mu.Lock()
		batch := s.queue
		s.queue = nil
		if len(batch) == 0 {
			s.committing = false
			s.idle.Broadcast()
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()

		s.writeMu.Lock()
		err := s.writeBatch(batch)
		s.mu.Lock()
		if err == nil {
			s.lastDurable = batch[len(batch)-1].records[len(batch[len(batch)-1].records)-1].Revision
		} else if !errors.Is(err, errReplacedByImport) {
			for _, w := range s.queue {
				w.done <- &WriteError{Reason: fmt.Errorf("an earlier append failed: %w", errors.Unwrap(err))}
			}
			s.queue, s.lastQueued = nil, s.lastDurable
		}
		s.mu.Unlock()
		s.writeMu.Unlock()
		for _, w := range batch {
			w.done <- err
		}
	}
}

// writeBatch commits a batch in one transaction. s.writeMu is held.
func (s *Store) writeBatch(batch []pendingAppend) error {
	if err := s.ensureWritable(); err != nil {
		return err
	}
	if batch[0].importCount != s.importCount { // dequeued before an import, so it does not apply to the imported contents
		return &WriteError{Reason: errReplacedByImport}
	}
	err := s.update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketRecords)
		b.FillPercent = 0.9 // keys only increase, so the left half of a split page never gets more
		n := b.Sequence()
		for _, w := range batch {
			for _, r := range w.records {
				if err := b.Put(revisionKey(r.Revision), encodeValue(r)); err != nil {
					return err
				}
				n++
			}
		}
		return b.SetSequence(n)
	})
	if err == nil {
		return nil
	}
	s.log.Error("store_append_failed", "dir", s.dir, "reason", err.Error())
	s.commitErr = err
	return &WriteError{Reason: err, Uncertain: s.rollBackFailedCommit() != nil}
}

// ensureWritable returns a *WriteError while an earlier failure prevents changes. s.writeMu is held.
func (s *Store) ensureWritable() error {
	if s.fatalErr != nil {
		return &WriteError{Reason: fmt.Errorf("the store accepts no changes until the process is restarted: %w", s.fatalErr)}
	}
	if err := s.rollBackFailedCommit(); err != nil {
		return &WriteError{Reason: fmt.Errorf("an earlier write failed (%w), and recovery fails too: %w", s.commitErr, err)}
	}
	return nil
}

// rollBackFailedCommit removes the records that a failed commit may have left. bbolt writes the meta page that publishes a
// commit and only then syncs it, so a commit whose last sync fails is readable and may or may not survive a crash.
// s.writeMu is held.
func (s *Store) rollBackFailedCommit() error {
	if s.fatalErr != nil {
		return s.fatalErr
	}
	if s.commitErr == nil {
		return nil
	}
	s.dbMu.Lock() // wait for readers from before the failure: the pages that they see may now count as free
	s.dbMu.Unlock()
	if err := rewriteMetaPages(s.path()); err != nil {
		return err
	}
	last := revisionKey(s.Last())
	var leftover bool
	err := catchFaults(func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(bucketRecords).Cursor().Last()
			leftover = string(k) > string(last)
			return nil
		})
	})
	if err == nil && leftover {
		err = s.update(func(tx *bbolt.Tx) error {
			b := tx.Bucket(bucketRecords)
			n := b.Sequence()
			for k, _ := b.Cursor().Last(); k != nil && string(k) > string(last); k, _ = b.Cursor().Last() {
				if err := b.Delete(k); err != nil {
					return err
				}
				n--
			}
			return b.SetSequence(n)
		})
	}
	if err != nil {
		return err
	}
	s.log.Warn("store_works_again", "dir", s.dir, "after", s.commitErr.Error())
	s.commitErr = nil
	return nil
}

// update runs a bbolt write transaction. After a panic in it the store accepts no more changes, since bbolt may never
// release its writer lock.
func (s *Store) update(f func(tx *bbolt.Tx) error) error {
	err := catchFaults(func() error { return s.db.Update(f) })
	var fault *accessFault
	if errors.As(err, &fault) {
		s.fatalErr = err
	}
	return err
}
