// Package beside detects other balancer processes that serve the same address, such as an earlier or later version
// during an update. Each process keeps a mark in a shared directory: an empty file under a lock that the kernel releases
// when the process ends, however it ends. The package must never wait for another process, change the mark of a running
// process, or decide what follows from the number of processes.
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

const markSuffix = ".alive"

// Mark is the mark of this process.
type Mark struct {
	dir, prefix, name string   // the prefix is common to all processes of one address
	file              *os.File // holds the lock
}

// Create creates the mark of a balancer at the given listen address in a directory. The file is locked before it gets
// its final name, so that no other process ever finds it unlocked while this one runs.
func Create(dir, address string) (*Mark, error) {
	if dir == "" {
		return nil, errors.New("beside: no directory for the marks of processes")
	}
	h := fnv.New32a()
	h.Write([]byte(address))
	m := &Mark{dir: dir, prefix: fmt.Sprintf("pewterrudder-%08x-", h.Sum32())}
	f, err := os.CreateTemp(dir, "new-"+m.prefix)
	if err != nil {
		return nil, fmt.Errorf("beside: create mark: %w", err)
	}
	m.file = f
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		m.remove(f.Name())
		return nil, fmt.Errorf("beside: lock mark: %w", err)
	}
	m.name = m.prefix + strings.TrimPrefix(filepath.Base(f.Name()), "new-"+m.prefix) + markSuffix
	if err := os.Rename(f.Name(), filepath.Join(dir, m.name)); err != nil {
		m.remove(f.Name())
		return nil, fmt.Errorf("beside: rename mark: %w", err)
	}
	return m, nil
}

// OtherProcesses returns how many other running processes have marks for the same address, and removes the marks of
// processes that have ended. It returns 0 if the directory cannot be read.
func (m *Mark) OtherProcesses() int {
	entries, err := os.ReadDir(m.dir)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range entries {
		if name := e.Name(); name != m.name && strings.HasPrefix(name, m.prefix) && strings.HasSuffix(name, markSuffix) && probeMark(filepath.Join(m.dir, name)) {
			n++
		}
	}
	return n
}

// probeMark reports whether the process of a mark is running, and removes the mark if not. It takes a shared lock, so
// that several processes can probe the same mark at once.
func probeMark(path string) bool {
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

// Close removes the mark.
func (m *Mark) Close() { m.remove(filepath.Join(m.dir, m.name)) }

// remove deletes the file at path and releases the lock.
func (m *Mark) remove(path string) {
	os.Remove(path)
	m.file.Close()
}
