package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

const lockName = "lock"

// Held says which process has the folder.
type Held struct{ Dir, By string }

func (h *Held) Error() string {
	return fmt.Sprintf("the state folder %s is in use by %s: stop that one, or name another folder", h.Dir, h.By)
}

// hold takes the folder. The lock is on a file of its own, since the store's file is exchanged as it is compacted, and
// the kernel ends it with the process, whatever ends that.
func hold(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer f.Close()
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", f.Name(), err)
		}
		name := make([]byte, 256)
		n, _ := f.ReadAt(name, 0)
		by := strings.TrimSpace(string(name[:n]))
		if by == "" { // it has the lock and is about to say so
			by = "another process"
		}
		return nil, &Held{Dir: dir, By: by}
	}
	// Only for the message above: a disk too full to take the name is no reason to refuse the folder.
	if f.Truncate(0) == nil {
		fmt.Fprintf(f, "%s, process %d\n", filepath.Base(os.Args[0]), os.Getpid())
	}
	return f, nil
}

// release ends the lock itself, since a process that is just being started may hold a copy of the descriptor.
func release(f *os.File) error {
	return errors.Join(syscall.Flock(int(f.Fd()), syscall.LOCK_UN), f.Close())
}
