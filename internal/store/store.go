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
	fileName = "state.db"
	newName  = "state.db.new" // being built; worth nothing until it is renamed, so what a crash leaves of it is removed
	layout   = 1              // of buckets and values here; the records' own version is Options.Schema

	// Fixed, so that a folder that is carried to a machine with larger memory pages opens there, and the walk in
	// sound.go knows where the second meta page lies.
	pageSize = 4096

	// MaxRecord: an edit is typed by a person or a script; 1 MiB holds a pool of 10,000 members with room to spare.
	MaxRecord = 1 << 20
	// MaxSnapshot: the state that 10,000 such edits make; Import reads no document larger than four times that.
	MaxSnapshot = 64 << 20
	// MaxQueue bounds what waits for a disk that has stalled.
	MaxQueue = 1024
)

var (
	bucketAbout   = []byte("about")
	bucketRecords = []byte("records") // its sequence is the number of records in it: one that is missing is noticed
	keyLayout     = []byte("layout")
	keySchema     = []byte("schema")
	keySnapshot   = []byte("snapshot")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Record is a revision's bytes. The store never looks into Data.
type Record struct {
	Revision uint64
	Data     []byte
}

// Contents is all that a store holds: the newest snapshot, and every record that was kept, those that the snapshot
// covers among them (they are the history). Replaying the records above the snapshot gives the state.
type Contents struct {
	Schema   uint64
	Snapshot *Record
	Records  []Record
}

// Last is the newest revision, 0 if there is none.
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

// gaps says what is missing for the contents to be a history.
func (c Contents) gaps() error {
	first := uint64(1) // or, with a snapshot, any up to the one that follows it
	if c.Snapshot != nil && len(c.Records) > 0 && c.Records[0].Revision > 0 {
		first = min(c.Records[0].Revision, c.Snapshot.Revision+1)
	}
	for i, r := range c.Records {
		if want := first + uint64(i); r.Revision != want {
			return fmt.Errorf("revision %d stands where %d should", r.Revision, want)
		}
	}
	if n := len(c.Records); n > 0 && c.Records[n-1].Revision < c.Last() {
		return fmt.Errorf("the records end at revision %d, before the snapshot of %d", c.Records[n-1].Revision, c.Last())
	}
	return nil
}

// Options of Open.
type Options struct {
	// Schema is the version of the records' and the snapshot's format, from 1 on. A store of a newer one is refused
	// (*Newer) and left as it is.
	Schema uint64
	// Migrate brings what an older program wrote to Schema, all of it or nothing; the older file stays beside it.
	Migrate func(from uint64, c Contents) (Contents, error)
	// Log hears what an operator must know: a store put aside, a migration, a disk that fails and one that works again.
	Log *slog.Logger
}

// Newer says that a newer program wrote the store.
type Newer struct {
	Path         string
	Have, Wanted uint64
}

func (n *Newer) Error() string {
	return fmt.Sprintf("%s is of schema %d, and this program knows no newer one than %d: start the newer program, or export "+
		"with it and import here", n.Path, n.Have, n.Wanted)
}

// ErrClosed is what a closed store answers.
var ErrClosed = errors.New("the store is closed")

// Damage says what in a store's file cannot be.
type Damage struct{ What string }

func (d *Damage) Error() string { return d.What }

func damaged(format string, args ...any) error { return &Damage{fmt.Sprintf(format, args...)} }

// Store is an open state folder. Its methods may be called from any goroutine.
type Store struct {
	dir     string
	schema  uint64
	step    func(from uint64, c Contents) (Contents, error)
	log     *slog.Logger
	lock    *os.File
	aside   string
	because error

	// views is held for reading while bbolt is read, and for writing when db is exchanged, or when pages that a reader of
	// a failed commit may still see are about to be free again.
	views sync.RWMutex
	db    *bbolt.DB

	writer sync.Mutex // one change of the file at a time
	sick   error      // why the file must be settled before the next change; under writer
	broken error      // why there is no next change until a restart; under writer

	mu         sync.Mutex
	idle       *sync.Cond
	imports    int    // changed under writer too
	last       uint64 // newest revision that is known to be on the disk
	queued     uint64 // newest revision that was taken into the queue
	queue      []waiting
	committing bool
	closed     bool
}

// Open takes the folder for this process and opens the store in it, made if there is none. A damaged one is put aside
// under another name, which Aside tells, and an empty one takes its place. What the disk itself refuses (a folder that
// cannot be written, a read error) is an error and nothing is moved: the same disk may work tomorrow.
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
	lock, err := hold(dir)
	if err != nil {
		return nil, err
	}
	s := &Store{dir: dir, schema: o.Schema, step: o.Migrate, log: o.Log, lock: lock}
	s.idle = sync.NewCond(&s.mu)
	if err := s.open(o); err != nil {
		if s.db != nil {
			s.db.Close()
		}
		release(lock)
		return nil, err
	}
	return s, nil
}

func (s *Store) open(o Options) error {
	path := filepath.Join(s.dir, fileName)
	if err := os.Remove(filepath.Join(s.dir, newName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	c, err := s.openFile(path)
	var damage *Damage
	switch {
	case errors.Is(err, fs.ErrNotExist):
		c = Contents{Schema: o.Schema}
		err = s.replace(c)
	case errors.As(err, &damage):
		if s.aside, err = putAside(s.dir); err != nil {
			return fmt.Errorf("%s is damaged (%w) and cannot be put aside: %w", path, damage, err)
		}
		s.because = damage
		s.log.Error("store_aside", "file", path, "aside", s.aside, "reason", damage.Error())
		c = Contents{Schema: o.Schema}
		err = s.replace(c)
	}
	if err != nil {
		return err
	}
	s.last, s.queued = c.Last(), c.Last()
	switch {
	case c.Schema > o.Schema:
		return &Newer{Path: path, Have: c.Schema, Wanted: o.Schema}
	case c.Schema < o.Schema:
		return s.migrate(c, o)
	}
	return nil
}

func (s *Store) migrate(c Contents, o Options) error {
	path := filepath.Join(s.dir, fileName)
	if o.Migrate == nil {
		return fmt.Errorf("%s is of schema %d, and this program has no way from there to %d", path, c.Schema, o.Schema)
	}
	from := c.Schema
	c, err := o.Migrate(from, c)
	if err != nil {
		return fmt.Errorf("%s from schema %d to %d: %w", path, from, o.Schema, err)
	}
	if err := c.gaps(); err != nil {
		return fmt.Errorf("%s from schema %d to %d: %w", path, from, o.Schema, err)
	}
	c.Schema = o.Schema
	kept := fmt.Sprintf("%s.schema-%d", path, from)
	if err := os.Remove(kept); err != nil && !errors.Is(err, fs.ErrNotExist) { // from an attempt that a crash cut off
		return err
	}
	if err := os.Link(path, kept); err != nil {
		return err
	}
	if err := s.replace(c); err != nil {
		return fmt.Errorf("%s from schema %d to %d: %w", path, from, o.Schema, err)
	}
	s.log.Warn("store_migrated", "file", path, "from", from, "to", o.Schema, "kept", kept)
	return nil
}

// openFile makes sure of what the file says before anything is answered from it, and reads it whole.
func (s *Store) openFile(path string) (Contents, error) {
	var c Contents
	// What an earlier process wrote and never synced can be read now and be gone after a crash.
	if err := settle(path); err != nil {
		return c, err
	}
	if err := syncDir(s.dir); err != nil {
		return c, err
	}
	heads, err := soundFile(path)
	if err != nil {
		return c, err
	}
	if heads < 2 {
		s.log.Warn("store_head_lost", "file", path, "reason", "one of the file's two heads is not whole: a crash in the middle of "+
			"a change does that, and the change was not answered then; if there was no crash, the last change is lost")
	}
	err = guarded(func() (err error) {
		if s.db, err = openBolt(path); err != nil {
			return err
		}
		c, err = contents(s.db, ^uint64(0))
		return err
	})
	var fault *fault
	if errors.As(err, &fault) { // its locks may be held for good: leave it to the process's end
		s.db = nil
		return c, damaged("%v", fault)
	}
	if err != nil && s.db != nil {
		s.db.Close()
		s.db = nil
	}
	return c, err
}

// openBolt waits for bbolt's own lock for a moment only: ours is held, so nobody but a stray tool can have it.
func openBolt(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, PageSize: pageSize, NoStatistics: true,
		FreelistType: bbolt.FreelistMapType})
}

// Aside tells under which name a damaged store was put aside as this one was opened, and what was wrong with it.
func (s *Store) Aside() (path string, reason error) { return s.aside, s.because }

// Last is the newest revision on the disk, 0 if there is none.
func (s *Store) Last() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Close waits for what is queued and gives the folder back.
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
	s.writer.Lock()
	defer s.writer.Unlock()
	s.views.Lock()
	defer s.views.Unlock()
	var err error
	var f *fault
	if !errors.As(s.broken, &f) { // after a fault bbolt may hold its locks, and Close would wait for ever
		err = s.db.Close()
	}
	s.db = nil
	return errors.Join(err, release(s.lock))
}

// fault is a panic out of bbolt, or a page of its map that the disk would not give (SIGBUS).
type fault struct{ what string }

func (f *fault) Error() string { return f.what }

// guarded turns a panic and a memory fault in f into an error: bbolt maps its file, and asserts what it reads.
func guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &fault{fmt.Sprintf("reading the file failed: %v", p)}
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

// putAside keeps a damaged file under the first free name, for whoever wants to look into it.
func putAside(dir string) (string, error) {
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

// settle makes the disk agree with what the file reads as. A sync that failed leaves a meta page in the kernel's cache
// that may never be written by itself (Rebello et al., "Can Applications Recover from fsync Failures?", ATC 2020), and
// bbolt's next commit would rest on it: so both are written once more, then synced.
func settle(path string) error {
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
	} else if err != io.EOF { // too short is for sound to say
		return err
	}
	return f.Sync()
}

// A value is a checksum over revision and data, then the data: bbolt has checksums of its two meta pages only.
func encode(r Record) []byte {
	v := make([]byte, 4, 4+len(r.Data))
	binary.BigEndian.PutUint32(v, checksum(r))
	return append(v, r.Data...)
}

func decode(revision uint64, v []byte) (Record, error) {
	r := Record{Revision: revision}
	if len(v) < 4 {
		return r, damaged("revision %d has no checksum", revision)
	}
	r.Data = append([]byte{}, v[4:]...) // v lies in the map, and is another page's once the transaction is over
	if binary.BigEndian.Uint32(v) != checksum(r) {
		return r, damaged("revision %d does not match its checksum", revision)
	}
	return r, nil
}

func checksum(r Record) uint32 {
	return crc32.Update(crc32.Checksum(key(r.Revision), castagnoli), castagnoli, r.Data)
}

func key(revision uint64) []byte { return binary.BigEndian.AppendUint64(nil, revision) }
