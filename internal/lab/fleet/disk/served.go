package disk

import (
	"bufio"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Mood is how a disk behaves. The zero value is a sound one.
type Mood struct {
	Lies     bool          // syncs are answered and not done
	Slow     time.Duration // more, for each sync
	Stands   bool          // no write and no sync comes to an end
	ReadOnly bool          // no write and no sync is taken
}

// Served is the disk under one folder. The test build of the balancer (internal/lab/fleet/shaky) asks it before each write and
// sync of its store's files, over a unix socket, and so meets what the disk does; and the disk knows what is on it for good: what
// was whole when a sync of it ended. Power leaves that, and of all else a share.
//
// A name is on it for good once the folder has been synced since, as POSIX has it; most file systems are kinder. The lock file
// is never synced and holds nothing that outlives its process.
type Served struct {
	folder string
	lis    net.Listener
	heard  func(event string)

	mu      sync.Mutex
	mood    Mood
	changed chan struct{} // closed at each change of the mood
	images  map[uint64][]byte
	names   map[string]uint64 // files by number, as the last sync of the folder left them
	open    map[net.Conn]struct{}
	over    bool
	work    sync.WaitGroup
}

// Serve has a disk under a folder answer at a path. heard is told "sync_began" and "sync_done"; the process waits until it returns.
func Serve(folder, at string, heard func(event string)) (*Served, error) {
	lis, err := net.Listen("unix", at)
	if err != nil {
		return nil, err
	}
	s := &Served{folder: folder, lis: lis, heard: heard, changed: make(chan struct{}), images: map[uint64][]byte{},
		names: map[string]uint64{}, open: map[net.Conn]struct{}{}}
	s.work.Go(s.accept)
	return s, nil
}

// Set changes the mood; what waits is judged again by it.
func (s *Served) Set(m Mood) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mood = m
	close(s.changed)
	s.changed = make(chan struct{})
}

// Close lets go of what waits.
func (s *Served) Close() {
	s.mu.Lock()
	s.over = true
	for nc := range s.open {
		nc.Close()
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.lis.Close()
	s.work.Wait()
}

func (s *Served) accept() {
	for {
		nc, err := s.lis.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		over := s.over
		if !over {
			s.open[nc] = struct{}{}
		}
		s.mu.Unlock()
		if over {
			nc.Close()
			return
		}
		s.work.Go(func() {
			s.serve(nc)
			s.mu.Lock()
			delete(s.open, nc)
			s.mu.Unlock()
			nc.Close()
		})
	}
}

// serve answers one operation: "write NUMBER" or "sync NUMBER", of a file, or "/" for the folder, is answered "do", "skip" or "refuse", and a sync that was done is
// told as "done", which "ok" answers once the disk has it.
func (s *Served) serve(nc net.Conn) {
	in := bufio.NewScanner(nc)
	if !in.Scan() {
		return
	}
	what, name, _ := strings.Cut(in.Text(), " ")
	if what == "sync" {
		s.heard("sync_began")
	}
	word, ok := s.judge(what)
	if !ok {
		return
	}
	if _, err := fmt.Fprintln(nc, word); err != nil || what != "sync" || word == "refuse" {
		return
	}
	if word == "do" {
		if !in.Scan() { // killed before its sync had ended
			return
		}
		if err := s.keep(name); err != nil {
			fmt.Fprintln(nc, err)
			return
		}
	}
	s.heard("sync_done")
	fmt.Fprintln(nc, "ok")
}

// judge waits for as long as the disk stands still. False: the end has come.
func (s *Served) judge(what string) (word string, ok bool) {
	slowed := false
	for {
		s.mu.Lock()
		m, changed, over := s.mood, s.changed, s.over
		s.mu.Unlock()
		switch {
		case over:
			return "", false
		case m.Stands:
			<-changed
		case m.ReadOnly:
			return "refuse", true
		case what == "write":
			return "do", true
		case m.Slow > 0 && !slowed:
			slowed = true
			select {
			case <-time.After(m.Slow):
			case <-changed:
			}
		case m.Lies:
			return "skip", true
		default:
			return "do", true
		}
	}
}

// keep takes down what a sync has made last: a file's bytes, or the folder's names ("/").
func (s *Served) keep(name string) error {
	if name == "/" {
		names, err := s.numbers()
		if err != nil {
			return err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.names = names
		return nil
	}
	numbers, err := s.numbers()
	if err != nil {
		return err
	}
	for path, number := range numbers {
		if fmt.Sprint(number) != name {
			continue
		}
		raw, err := os.ReadFile(filepath.Join(s.folder, path))
		if err != nil {
			return err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.images[number] = raw
		return nil
	}
	return nil // it has no name any more, and is nobody's after a crash
}

func inode(path string) (uint64, error) {
	var st syscall.Stat_t
	if err := syscall.Stat(path, &st); err != nil {
		return 0, &fs.PathError{Op: "stat", Path: path, Err: err}
	}
	return st.Ino, nil
}

// numbers are the folder's files by name.
func (s *Served) numbers() (map[string]uint64, error) {
	names, err := files(s.folder)
	if err != nil {
		return nil, err
	}
	numbers := map[string]uint64{}
	for _, name := range names {
		if numbers[name], err = inode(filepath.Join(s.folder, name)); err != nil {
			return nil, err
		}
	}
	return numbers, nil
}

// sector is what a disk writes whole.
const sector = 512

// Power has the folder hold what a loss of power leaves of it, its process having ended: what was synced, and of the sectors and
// names that have changed since a share, drawn.
func (s *Served) Power(share float64, rng *rand.Rand) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, err := s.numbers()
	if err != nil {
		return err
	}
	cached := map[uint64][]byte{}
	for name, number := range now {
		if cached[number], err = os.ReadFile(filepath.Join(s.folder, name)); err != nil {
			return err
		}
	}
	names := s.names
	if rng.Float64() < share {
		names = now
	}
	for name := range now {
		if err := os.Remove(filepath.Join(s.folder, name)); err != nil {
			return err
		}
	}
	s.names = map[string]uint64{}
	left := map[uint64][]byte{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		number := names[name]
		raw := s.images[number]
		if latest, there := cached[number]; there {
			raw = mix(raw, latest, share, rng)
		}
		path := filepath.Join(s.folder, name)
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			return err
		}
		if s.names[name], err = inode(path); err != nil {
			return err
		}
		left[s.names[name]] = raw
	}
	s.images = left // what is there now is there for good
	return nil
}

// mix gives old bytes with a share of the sectors that differ taken from the latest ones.
func mix(old, latest []byte, share float64, rng *rand.Rand) []byte {
	size := len(old)
	if len(latest) != len(old) && rng.Float64() < share {
		size = len(latest)
	}
	out := make([]byte, size)
	copy(out, old)
	for at := 0; at < min(size, len(latest)); at += sector {
		end := min(at+sector, size, len(latest))
		if string(out[at:end]) != string(latest[at:end]) && rng.Float64() < share {
			copy(out[at:end], latest[at:end])
		}
	}
	return out
}
