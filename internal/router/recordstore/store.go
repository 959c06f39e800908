// Package recordstore keeps selected soft-state records on disk. Soft state lives in the memory of the routers and is
// announced again by its sources, but a record on which an acknowledgement rests may have no source any more, and must
// outlast a restart of all routers.
package recordstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/disk"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/softstate"
)

const (
	// retryInterval is the pause after a failed access to the disk.
	retryInterval = 300 * time.Millisecond
	// refreshInterval is the interval at which the ages of the records are saved and old records are dropped.
	refreshInterval = time.Minute
)

// Options configures a Store.
type Options struct {
	// Select reports whether a record must be kept.
	Select func(softstate.Record) bool
	// Retention is how long removed records are kept. The time between two processes does not count.
	Retention time.Duration
	Log       logrus.FieldLogger
}

// entry is a record of the store.
type entry struct {
	record softstate.Record
	// addedAt is the time since which the record is kept, moved back by its age in earlier processes.
	addedAt time.Time
	// change is the number of the change that added the record.
	change uint64
}

// Store holds the newest versions of the selected records, and saves them. It is safe for concurrent use.
type Store struct {
	options Options
	// unsaved wakes the saver after a change.
	unsaved chan struct{}

	mu      sync.Mutex
	entries map[softstate.ID]entry
	// changes counts the changes of the entries; savedChanges is its value at the last successful save.
	changes      uint64
	savedChanges uint64
	// saved is closed and replaced at each successful save.
	saved chan struct{}
}

// New returns an empty store, which accesses no disk before Run.
func New(options Options) *Store {
	return &Store{
		options: options,
		unsaved: make(chan struct{}, 1),
		entries: map[softstate.ID]entry{},
		saved:   make(chan struct{}),
	}
}

// Add passes a record to the store, which keeps it if it is selected, and drops what it supersedes. Add does not wait
// for the disk.
func (s *Store) Add(record softstate.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(record, time.Now())
}

// Persist adds records and returns nil once each is on the disk, unless it is superseded or need not be kept.
func (s *Store) Persist(ctx context.Context, records []softstate.Record) error {
	change := s.addAll(records)
	for {
		saved, isSaved := s.saveState(change)
		if isSaved {
			return nil
		}
		select {
		case <-saved:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "recordstore: the records are not on the disk yet")
		}
	}
}

// addAll adds records and returns the number of the last change that any of them needs on the disk.
func (s *Store) addAll(records []softstate.Record) (change uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, record := range records {
		change = max(change, s.addLocked(record, now))
	}
	return change
}

// saveState reports whether a change has been saved, and returns a channel that is closed at the next save.
func (s *Store) saveState(change uint64) (saved <-chan struct{}, isSaved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saved, s.savedChanges >= change
}

// addLocked adds a record that is kept since addedAt. It returns the number of the change that must be saved for the
// record to be durable, or 0 if the record need not be kept.
func (s *Store) addLocked(record softstate.Record, addedAt time.Time) uint64 {
	held, known := s.entries[record.ID()]
	if known && !record.Supersedes(held.record) {
		return held.change
	}
	// The removal of a kept record is kept as well: without it, the older record would return with a restart.
	if s.options.Select(record) || known && record.Removed {
		s.markChangedLocked()
		s.entries[record.ID()] = entry{record: record, addedAt: addedAt, change: s.changes}
		return s.changes
	}
	if known {
		delete(s.entries, record.ID())
		s.markChangedLocked()
	}
	return 0
}

// markChangedLocked numbers a change and wakes the saver.
func (s *Store) markChangedLocked() {
	s.changes++
	select {
	case s.unsaved <- struct{}{}:
	default:
	}
}

// Run opens the directory, passes the records that an earlier process has saved to restore, and saves changes until the
// context ends. While the disk fails or hangs, Persist does not return.
func (s *Store) Run(ctx context.Context, open func() (disk.FileSystem, error), restore func([]softstate.Record)) {
	file, restored := s.load(ctx, open)
	if file == nil {
		return
	}
	restore(restored)
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			s.refresh(time.Now())
		case <-s.unsaved:
			s.save(ctx, file)
		}
	}
}

// load opens the disk and merges the saved records. It retries until the disk succeeds, and returns nil if the context
// ends first.
func (s *Store) load(ctx context.Context, open func() (disk.FileSystem, error)) (*disk.Disk, []softstate.Record) {
	for ctx.Err() == nil {
		file, content, err := openFile(open)
		if err == nil {
			return file, s.merge(content)
		}
		s.options.Log.WithError(err).Warn("cannot open the record store")
		periodic.Sleep(ctx, retryInterval)
	}
	return nil, nil
}

func openFile(open func() (disk.FileSystem, error)) (*disk.Disk, []byte, error) {
	files, err := open()
	if err != nil {
		return nil, nil, err
	}
	return disk.Open(files)
}

// merge adds the records of a file's content and returns them.
func (s *Store) merge(content []byte) []softstate.Record {
	saved, err := decode(content)
	if err != nil {
		s.options.Log.WithError(err).Error("the record store is unreadable and starts empty")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	records := make([]softstate.Record, len(saved))
	for i, one := range saved {
		records[i] = one.Record
		s.addLocked(one.Record, now.Add(-one.age()))
	}
	return records
}

// refresh drops the removed records that have been kept for the retention time, and has the ages of all others saved.
func (s *Store) refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) == 0 {
		return
	}
	for id, e := range s.entries {
		if e.record.Removed && now.Sub(e.addedAt) >= s.options.Retention {
			delete(s.entries, id)
		}
	}
	s.markChangedLocked()
}

// save writes the entries. After an error it pauses and has them saved again.
func (s *Store) save(ctx context.Context, file *disk.Disk) {
	records, change := s.snapshot(time.Now())
	content, err := encode(records)
	if err == nil {
		err = file.Save(content)
	}
	if err != nil {
		s.options.Log.WithError(err).Warn("cannot save the record store")
		periodic.Sleep(ctx, retryInterval)
	}
	s.finishSave(change, err)
}

// finishSave wakes the callers of Persist after a successful save, and the saver after a failed one.
func (s *Store) finishSave(change uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.markChangedLocked()
		return
	}
	s.savedChanges = change
	close(s.saved)
	s.saved = make(chan struct{})
}

// snapshot returns all records with their ages, and the number of the last change.
func (s *Store) snapshot(now time.Time) ([]savedRecord, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]savedRecord, 0, len(s.entries))
	for _, e := range s.entries {
		records = append(records, savedRecord{Record: e.record, AgeMs: now.Sub(e.addedAt).Milliseconds()})
	}
	return records, s.changes
}
