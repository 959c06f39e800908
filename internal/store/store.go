package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"go.etcd.io/bbolt"
)

const (
	fileName      = "state.db"
	newFileName   = "state.db.new" // under construction until it is renamed; Open removes one that a crash left
	layoutVersion = 1              // version of the buckets and values; Options.Schema is that of the records

	// pageSize is fixed so that a folder copied to a machine with larger memory pages opens there, and so that
	// verify.go knows where the second meta page is.
	pageSize = 4096

	// MaxRecord is the largest Record.Data, in bytes. An edit comes from a person or a script; 1 MiB easily holds a pool of
	// 10,000 members.
	MaxRecord = 1 << 20
	// MaxSnapshot is the largest snapshot, in bytes: the state after 10,000 such edits. Import reads no document larger than
	// four times that.
	MaxSnapshot = 64 << 20
	// MaxQueue is how many appends may wait for a stalled disk.
	MaxQueue = 1024
)

var (
	bucketAbout   = []byte("about")
	bucketRecords = []byte("records") // its sequence is the number of its records, to detect a missing one
	keyLayout     = []byte("layout")
	keySchema     = []byte("schema")
	keySnapshot   = []byte("snapshot")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Record is the payload of one revision. The store never interprets Data.
type Record struct {
	Revision uint64
	Data     []byte
}

// Contents is all that a store holds: the newest snapshot (nil if there is none) and every record that was kept, including
// those that the snapshot covers, which serve as history. Replaying the records after the snapshot gives the state.
type Contents struct {
	Schema   uint64
	Snapshot *Record
	Records  []Record
}

// Last returns the newest revision, 0 if there is none.
func (c Contents) Last() uint64 {
	var last uint64
	if c.Snapshot != nil {
		last = c.Snapshot.Revision
	}
	if n := len(c.Records); n > 0 && c.Records[n-1].Revision > last {
		last = c.Records[n-1].Revision
	}
	return last
}

// checkContinuity returns an error if the records have gaps or end before the snapshot.
func (c Contents) checkContinuity() error {
	first := uint64(1) // with a snapshot: any revision up to the one that follows it
	if c.Snapshot != nil && len(c.Records) > 0 && c.Records[0].Revision > 0 {
		first = min(c.Records[0].Revision, c.Snapshot.Revision+1)
	}
	for i, r := range c.Records {
		if want := first + uint64(i); r.Revision != want {
			return fmt.Errorf("found revision %d where %d was expected", r.Revision, want)
		}
	}
	if n := len(c.Records); n > 0 && c.Records[n-1].Revision < c.Last() {
		return fmt.Errorf("the records end at revision %d, before the snapshot of revision %d", c.Records[n-1].Revision, c.Last())
	}
	return nil
}

// Options configure Open.
type Options struct {
	// Schema is the version of the format of records and snapshots, 1 or higher. Open rejects a store with a newer schema
	// (*NewerVersionError) and leaves it unchanged.
	Schema uint64
	// Migrate converts contents of an older schema to Schema, all or nothing; the old file is kept beside the new one. If
	// nil, contents of an older schema are rejected.
	Migrate func(from uint64, c Contents) (Contents, error)
	// Log receives the events that concern operators: a quarantined store, a migration, a disk failure and its end. Nil
	// discards them.
	Log *slog.Logger
}

// NewerVersionError reports that a newer program wrote the store or the document. Have and Supported are versions of the
// layout or of the schema.
type NewerVersionError struct {
	Path            string
	Have, Supported uint64
}

func (n *NewerVersionError) Error() string {
	return fmt.Sprintf("%s has schema %d, and this program supports none newer than %d: start the newer program, or export "+
		"with it and import here", n.Path, n.Have, n.Supported)
}

// ErrClosed is returned by the methods of a closed store.
var ErrClosed = errors.New("the store is closed")

// CorruptionError describes how a store's file is invalid.
type CorruptionError struct{ Description string }

func (d *CorruptionError) Error() string { return d.Description }

func corruptf(format string, args ...any) error {
	return &CorruptionError{fmt.Sprintf(format, args...)}
}

// Store is an open state folder. Its methods may be called from any goroutine.
type Store struct {
	dir              string
	schema           uint64
	migrateFn        func(from uint64, c Contents) (Contents, error)
	log              *slog.Logger
	lock             *os.File
	quarantinePath   string
	quarantineReason error

	// dbMu is held for reading while bbolt is read. It is held for writing when db is replaced, and to wait for readers
	// before pages that they may see through a failed commit become free again.
	dbMu sync.RWMutex
	db   *bbolt.DB

	writeMu   sync.Mutex // serializes changes of the file
	commitErr error      // failed commit to be rolled back before the next change; guarded by writeMu
	fatalErr  error      // why no change is possible until a restart; guarded by writeMu

	mu          sync.Mutex
	idle        *sync.Cond
	importCount int    // changed with writeMu held too
	lastDurable uint64 // newest revision that is known to be on the disk
	lastQueued  uint64 // newest revision that was queued
	queue       []pendingAppend
	committing  bool
	closed      bool
}

// Open locks the folder for this process and opens the store in it, creating one if there is none. A damaged store is
// renamed, which Quarantined reports, and replaced by an empty one. If the disk itself fails (a folder that cannot be
// written, a read error), Open returns an error and renames nothing, since the disk may work again later.
func Open(dir string, o Options) (*Store, error) {
	if o.Schema == 0 {
		return nil, errors.New("store: Options.Schema must be 1 or more")
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	if err := makeDir(dir); err != nil {
		return nil, err
	}
	lock, err := lockDir(dir)
	if err != nil {
		return nil, err
	}
	s := &Store{dir: dir, schema: o.Schema, migrateFn: o.Migrate, log: o.Log, lock: lock}
	s.idle = sync.NewCond(&s.mu)
	if err := s.open(o); err != nil {
		if s.db != nil {
			s.db.Close()
		}
		unlockDir(lock)
		return nil, err
	}
	return s, nil
}

func (s *Store) open(o Options) error {
	path := filepath.Join(s.dir, fileName)
	if err := os.Remove(filepath.Join(s.dir, newFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	c, err := s.openExisting(path)
	var damage *CorruptionError
	switch {
	case errors.Is(err, fs.ErrNotExist):
		c = Contents{Schema: o.Schema}
		err = s.replaceFile(c)
	case errors.As(err, &damage):
		if s.quarantinePath, err = quarantine(s.dir); err != nil {
			return fmt.Errorf("%s is damaged (%w) and cannot be renamed: %w", path, damage, err)
		}
		s.quarantineReason = damage
		s.log.Error("store_aside", "file", path, "aside", s.quarantinePath, "reason", damage.Error())
		c = Contents{Schema: o.Schema}
		err = s.replaceFile(c)
	}
	if err != nil {
		return err
	}
	s.lastDurable, s.lastQueued = c.Last(), c.Last()
	switch {
	case c.Schema > o.Schema:
		return &NewerVersionError{Path: path, Have: c.Schema, Supported: o.Schema}
	case c.Schema < o.Schema:
		return s.migrate(c, o)
	}
	return nil
}

func (s *Store) migrate(c Contents, o Options) error {
	path := filepath.Join(s.dir, fileName)
	if o.Migrate == nil {
		return fmt.Errorf("%s has schema %d, and this program cannot migrate it to schema %d", path, c.Schema, o.Schema)
	}
	from := c.Schema
	c, err := o.Migrate(from, c)
	if err != nil {
		return fmt.Errorf("cannot migrate %s from schema %d to %d: %w", path, from, o.Schema, err)
	}
	if err := c.checkContinuity(); err != nil {
		return fmt.Errorf("cannot migrate %s from schema %d to %d: %w", path, from, o.Schema, err)
	}
	c.Schema = o.Schema
	backup := fmt.Sprintf("%s.schema-%d", path, from)
	if err := os.Remove(backup); err != nil && !errors.Is(err, fs.ErrNotExist) { // left by an attempt that a crash interrupted
		return err
	}
	if err := os.Link(path, backup); err != nil {
		return err
	}
	if err := s.replaceFile(c); err != nil {
		return fmt.Errorf("cannot migrate %s from schema %d to %d: %w", path, from, o.Schema, err)
	}
	s.log.Warn("store_migrated", "file", path, "from", from, "to", o.Schema, "kept", backup)
	return nil
}

// openExisting makes the file durable, verifies it and reads all of it before any of it is used.
func (s *Store) openExisting(path string) (Contents, error) {
	var c Contents
	// What an earlier process wrote and did not sync can be readable now and gone after a crash.
	if err := rewriteMetaPages(path); err != nil {
		return c, err
	}
	if err := syncDir(s.dir); err != nil {
		return c, err
	}
	validMetas, err := verifyFile(path)
	if err != nil {
		return c, err
	}
	if validMetas < 2 {
		s.log.Warn("store_head_lost", "file", path, "reason", "one of the file's two meta pages is invalid: a crash in the middle "+
			"of a change causes this, and that change was not acknowledged; if there was no crash, the last change is lost")
	}
	err = catchFaults(func() (err error) {
		if s.db, err = openBolt(path); err != nil {
			return err
		}
		c, err = readContents(s.db, ^uint64(0))
		return err
	})
	var fault *accessFault
	if errors.As(err, &fault) { // bbolt may never release its locks: leave the file open until the process ends
		s.db = nil
		return c, corruptf("%v", fault)
	}
	if err != nil && s.db != nil {
		s.db.Close()
		s.db = nil
	}
	return c, err
}

// openBolt opens a bbolt file. It waits only 1 s for bbolt's own lock: as the folder is locked, only a tool that ignores
// that lock can hold it.
func openBolt(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, PageSize: pageSize, NoStatistics: true,
		FreelistType: bbolt.FreelistMapType})
}

// Quarantined returns the path to which Open renamed a damaged store, and what was wrong with it; "" and nil if there was
// none.
func (s *Store) Quarantined() (path string, reason error) {
	return s.quarantinePath, s.quarantineReason
}

// Last returns the newest revision on the disk, 0 if there is none.
func (s *Store) Last() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastDurable
}

// Close waits for queued appends, closes the store and unlocks the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	s.closed = true
	for s.committing {
		s.idle.Wait()
	}
	s.mu.Unlock()
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.dbMu.Lock()
	defer s.dbMu.Unlock()
	var err error
	var f *accessFault
	if !errors.As(s.fatalErr, &f) { // after a fault bbolt may hold its locks, and its Close would block forever
		err = s.db.Close()
	}
	s.db = nil
	return errors.Join(err, unlockDir(s.lock))
}

// accessFault is a panic in bbolt, or a page of its memory map that cannot be read (SIGBUS).
type accessFault struct{ message string }

func (f *accessFault) Error() string { return f.message }

// catchFaults calls f and turns a panic or a memory fault into an *accessFault, since bbolt maps its file into memory and
// panics on data that it does not expect.
func catchFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &accessFault{fmt.Sprintf("accessing the file failed: %v", p)}
		}
	}()
	return f()
}

func makeDir(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return syncDir(filepath.Dir(dir))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// quarantine renames a damaged file to the first free name, so that it can be examined.
func quarantine(dir string) (string, error) {
	path := filepath.Join(dir, fileName)
	for i := 1; ; i++ {
		name := fmt.Sprintf("%s.damaged-%d", path, i)
		if _, err := os.Lstat(name); errors.Is(err, fs.ErrNotExist) {
			if err := os.Rename(path, name); err != nil {
				return "", err
			}
			return name, syncDir(dir)
		} else if err != nil {
			return "", err
		}
	}
}

// rewriteMetaPages makes the disk match what can be read from the file. After a failed sync the kernel's cache may hold a
// meta page that it never writes again on its own (Rebello et al., "Can Applications Recover from fsync Failures?", ATC
// 2020), and bbolt's next commit would build on it. So both meta pages are written again and the file is synced.
func rewriteMetaPages(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	metas := make([]byte, 2*pageSize)
	if _, err := f.ReadAt(metas, 0); err == nil {
		if _, err := f.WriteAt(metas, 0); err != nil {
			return err
		}
	} else if err != io.EOF { // verifyPages reports a file that is too short
		return err
	}
	return f.Sync()
}

// encodeValue returns a checksum over revision and data, followed by the data. bbolt itself has checksums only on its two
// meta pages.
func encodeValue(r Record) []byte {
	v := make([]byte, 4, 4+len(r.Data))
	binary.BigEndian.PutUint32(v, checksum(r))
	return append(v, r.Data...)
}

func decodeValue(revision uint64, v []byte) (Record, error) {
	r := Record{Revision: revision}
	if len(v) < 4 {
		return r, corruptf("revision %d has no checksum", revision)
	}
	r.Data = append([]byte{}, v[4:]...) // v points into the memory map and is valid only during the transaction
	if binary.BigEndian.Uint32(v) != checksum(r) {
		return r, corruptf("revision %d does not match its checksum", revision)
	}
	return r, nil
}

func checksum(r Record) uint32 {
	return crc32.Update(crc32.Checksum(revisionKey(r.Revision), castagnoli), castagnoli, r.Data)
}

func revisionKey(revision uint64) []byte { return binary.BigEndian.AppendUint64(nil, revision) }
