package store

import (
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

var errImported = errors.New("an import has put other contents in their place")

type waiting struct {
	records []Record
	done    chan error
	imports int // how many imports there had been
}

// Refused is an append, a compaction or an import that was not made, and why.
type Refused struct {
	Reason error
	// Doubt: the disk failed after it may have taken the change and before it could be taken back. The store does not
	// show it and takes nothing else until it is taken back; after a crash in that state it may be there.
	Doubt bool
}

func (r *Refused) Error() string {
	if r.Doubt {
		return fmt.Sprintf("not saved, or not surely: %v (after a restart of the box it may turn out to be there)", r.Reason)
	}
	return fmt.Sprintf("not saved, nothing was changed: %v", r.Reason)
}

func (r *Refused) Unwrap() error { return r.Reason }

// Append writes records, all or none, and returns once they are on the disk. Their revisions follow Last one by one, the
// first of all is 1. A refusal is a *Refused and has changed nothing, unless it says that it is in doubt.
func (s *Store) Append(records ...Record) error { return <-s.Queue(records...) }

// Queue is Append for a caller that cannot wait: its order is settled as it returns, and the answer comes on the
// channel. What is queued while a sync goes on shares the next one. When an append fails, so does all that was queued
// behind it, which may rest on it.
func (s *Store) Queue(records ...Record) <-chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := waiting{records: records, done: make(chan error, 1), imports: s.imports}
	if err := s.admit(records); err != nil {
		w.done <- err
		return w.done
	}
	if len(records) == 0 {
		w.done <- nil
		return w.done
	}
	s.queued = records[len(records)-1].Revision
	s.queue = append(s.queue, w)
	if !s.committing {
		s.committing = true
		go s.commit()
	}
	return w.done
}

func (s *Store) admit(records []Record) error {
	if s.closed {
		return &Refused{Reason: ErrClosed}
	}
	if len(s.queue) >= MaxQueue {
		return &Refused{Reason: fmt.Errorf("%d changes wait for the disk already", len(s.queue))}
	}
	before := s.queued
	for _, r := range records {
		if r.Revision != before+1 { // so what was asked behind one that has failed since cannot take its place
			return &Refused{Reason: fmt.Errorf("revision %d does not follow revision %d", r.Revision, before)}
		}
		if len(r.Data) > MaxRecord {
			return &Refused{Reason: fmt.Errorf("revision %d is %d bytes long, and at most %d are taken", r.Revision, len(r.Data),
				MaxRecord)}
		}
		before = r.Revision
	}
	return nil
}

// commit writes what is queued until nothing is, and ends: a store that nobody edits has no goroutine.
func (s *Store) commit() {
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

		s.writer.Lock()
		err := s.write(batch)
		s.mu.Lock()
		if err == nil {
			s.last = batch[len(batch)-1].records[len(batch[len(batch)-1].records)-1].Revision
		} else if !errors.Is(err, errImported) {
			for _, w := range s.queue {
				w.done <- &Refused{Reason: fmt.Errorf("the change before it failed: %w", errors.Unwrap(err))}
			}
			s.queue, s.queued = nil, s.last
		}
		s.mu.Unlock()
		s.writer.Unlock()
		for _, w := range batch {
			w.done <- err
		}
	}
}

// write makes one transaction of a batch. The writer's lock is held.
func (s *Store) write(batch []waiting) error {
	if err := s.ready(); err != nil {
		return err
	}
	if batch[0].imports != s.imports { // it was taken off the queue before the import, and is written to what came after
		return &Refused{Reason: errImported}
	}
	err := s.update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketRecords)
		b.FillPercent = 0.9 // revisions only rise, so a page that is split is never filled up later
		n := b.Sequence()
		for _, w := range batch {
			for _, r := range w.records {
				if err := b.Put(key(r.Revision), encode(r)); err != nil {
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
	s.sick = err
	return &Refused{Reason: err, Doubt: s.heal() != nil}
}

// ready refuses while the disk does not do what it must.
func (s *Store) ready() error {
	if s.broken != nil {
		return &Refused{Reason: fmt.Errorf("the store takes no changes until the box is restarted: %w", s.broken)}
	}
	if err := s.heal(); err != nil {
		return &Refused{Reason: fmt.Errorf("the store has failed (%w) and still does: %w", s.sick, err)}
	}
	return nil
}

// heal takes back what a failed commit may have left: bbolt writes the meta page that makes a commit hold, and syncs it
// then, so that a commit whose last sync fails can be read, and may or may not outlive a crash.
func (s *Store) heal() error {
	if s.broken != nil {
		return s.broken
	}
	if s.sick == nil {
		return nil
	}
	s.views.Lock() // the pages that a reader of before the failure sees may now count as free
	s.views.Unlock()
	if err := settle(s.path()); err != nil {
		return err
	}
	last := key(s.Last())
	var left bool
	err := guarded(func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(bucketRecords).Cursor().Last()
			left = string(k) > string(last)
			return nil
		})
	})
	if err == nil && left {
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
	s.log.Warn("store_works_again", "dir", s.dir, "after", s.sick.Error())
	s.sick = nil
	return nil
}

// update is bbolt's, except that a panic in it ends the store's changes: bbolt may hold its writer's lock for good.
func (s *Store) update(f func(tx *bbolt.Tx) error) error {
	err := guarded(func() error { return s.db.Update(f) })
	var fault *fault
	if errors.As(err, &fault) {
		s.broken = err
	}
	return err
}
