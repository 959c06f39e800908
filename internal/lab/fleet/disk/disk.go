// Package disk owns what befalls a process's folder. disk.go has what happens while no process has it open: it is as it was
// before, another one's, cut off at the end, or has bits that nobody wrote. served.go is the disk under a process that runs,
// one that asks it: slow, standing still, read-only, lying about its syncs, and without power. What a disk may hold after a
// crash at each single write is the business of internal/store/crashdisk. It must never touch a folder that it was not given.
package disk

import (
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
)

// files are the plain files of a folder, in order; sockets and what else a process makes anew are not what a disk keeps.
func files(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Copy puts the files of a folder, as they are, into a new one. The process that writes them has to stand still.
func Copy(from, to string) error {
	names, err := files(from)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	for _, name := range names {
		if err := copyFile(filepath.Join(from, name), filepath.Join(to, name)); err != nil {
			return err
		}
	}
	return nil
}

func copyFile(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := os.OpenFile(to, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := io.Copy(out, in); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

// Restore has a folder hold what another one holds, and nothing else.
func Restore(dir, from string) error {
	names, err := files(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return Copy(from, dir)
}

// Swap exchanges two folders.
func Swap(a, b string) error {
	aside := a + ".aside"
	if err := os.Rename(a, aside); err != nil {
		return err
	}
	if err := os.Rename(b, a); err != nil {
		return err
	}
	return os.Rename(aside, b)
}

// Flip turns so many bits of a folder's files over, drawn over all of their bytes.
func Flip(dir string, bits int, rng *rand.Rand) error {
	return change(dir, func(f *os.File, size int64) error {
		one := make([]byte, 1)
		for range bits {
			at := rng.Int64N(size)
			if _, err := f.ReadAt(one, at); err != nil {
				return err
			}
			one[0] ^= 1 << rng.IntN(8)
			if _, err := f.WriteAt(one, at); err != nil {
				return err
			}
		}
		return nil
	})
}

// Cut takes so many bytes off the end of each file, as a disk does that has grown a file and not written it.
func Cut(dir string, bytes int64) error {
	return change(dir, func(f *os.File, size int64) error { return f.Truncate(max(0, size-bytes)) })
}

// change does something to each file that has bytes. A folder without any is an error: the fault would not bite.
func change(dir string, do func(f *os.File, size int64) error) error {
	names, err := files(dir)
	if err != nil {
		return err
	}
	done := 0
	for _, name := range names {
		f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR, 0)
		if err != nil {
			return err
		}
		info, err := f.Stat()
		if err == nil && info.Size() > 0 {
			done++
			err = do(f, info.Size())
		}
		if e := f.Close(); err == nil {
			err = e
		}
		if err != nil {
			return err
		}
	}
	if done == 0 {
		return fmt.Errorf("%s: %w", dir, fs.ErrNotExist)
	}
	return nil
}

// Largest is the size of the largest file.
func Largest(dir string) (most int64, err error) {
	names, err := files(dir)
	for _, name := range names {
		if info, err := os.Stat(filepath.Join(dir, name)); err == nil {
			most = max(most, info.Size())
		}
	}
	return most, err
}
