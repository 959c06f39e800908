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

// LockedError reports that another process has locked the state folder.
type LockedError struct{ Dir, Holder string }

func (h *LockedError) Error() string {
	return fmt.Sprintf("the state folder %s is in use by %s: stop that process, or use another folder", h.Dir, h.Holder)
}

// lockDir locks the folder for this process. The lock is on a separate file because compaction replaces the store's file.
// The kernel releases it when the process ends, however it ends.
func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer f.Close()
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", f.Name(), err)
		}
		owner := make([]byte, 256)
		n, _ := f.ReadAt(owner, 0)
		holder := strings.TrimSpace(string(owner[:n]))
		if holder == "" { // the other process has the lock and has not written its name yet
			holder = "another process"
		}
		return nil, &LockedError{Dir: dir, Holder: holder}
	}
	// The name is only used in LockedError, so a disk that is too full to store it must not make lockDir fail.
	if f.Truncate(0) == nil {
		fmt.Fprintf(f, "%s, process %d\n", filepath.Base(os.Args[0]), os.Getpid())
	}
	return f, nil
}

// unlockDir releases the lock explicitly, since a child process that is being started may still hold a copy of the
// descriptor, and closing ours would then not release it.
func unlockDir(f *os.File) error {
	return errors.Join(syscall.Flock(int(f.Fd()), syscall.LOCK_UN), f.Close())
}
