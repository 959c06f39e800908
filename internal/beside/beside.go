// Package beside owns a process's mark in the folder that it shares with an earlier or a later version of itself, and
// counts the others' marks. A mark is an empty file under a lock that ends with its process, however that ends. It must
// never wait for another process, touch a mark that is alive, or decide what company leads to.
package beside

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

const suffix = ".alive"

// Mark is this process's.
type Mark struct {
	dir, prefix, name string
	file              *os.File
}

// Leave puts a mark in a folder, for a balancer at an address. It is locked before it has its name, so that nobody ever
// sees it unlocked while its process runs.
func Leave(dir, address string) (*Mark, error) {
	if dir == "" {
		return nil, errors.New("beside: no folder")
	}
	h := fnv.New32a()
	h.Write([]byte(address))
	m := &Mark{dir: dir, prefix: fmt.Sprintf("pewterrudder-%08x-", h.Sum32())}
	f, err := os.CreateTemp(dir, "new-"+m.prefix)
	if err != nil {
		return nil, fmt.Errorf("beside: %w", err)
	}
	m.file = f
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		m.drop(f.Name())
		return nil, fmt.Errorf("beside: lock: %w", err)
	}
	m.name = m.prefix + strings.TrimPrefix(filepath.Base(f.Name()), "new-"+m.prefix) + suffix
	if err := os.Rename(f.Name(), filepath.Join(dir, m.name)); err != nil {
		m.drop(f.Name())
		return nil, fmt.Errorf("beside: %w", err)
	}
	return m, nil
}

// Others is how many other processes have their marks there now. The marks of those that have ended are taken away.
func (m *Mark) Others() int {
	entries, err := os.ReadDir(m.dir)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range entries {
		if name := e.Name(); name != m.name && strings.HasPrefix(name, m.prefix) && strings.HasSuffix(name, suffix) && alive(filepath.Join(m.dir, name)) {
			n++
		}
	}
	return n
}

// alive looks at a mark with a lock that others who look may have as well.
func alive(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer f.Close()
	if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil {
		return true
	}
	os.Remove(path)
	return false
}

// Close takes the mark away.
func (m *Mark) Close() { m.drop(filepath.Join(m.dir, m.name)) }

func (m *Mark) drop(path string) {
	os.Remove(path)
	m.file.Close()
}
