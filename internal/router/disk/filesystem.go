package disk

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const (
	directoryPermissions = 0o755
	filePermissions      = 0o644
)

// FileSystem is the set of operations on one directory that the package needs. Names are file names without a path.
// SyncDirectory makes created, renamed and removed names durable.
type FileSystem interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates a file for writing, or truncates an existing one.
	Create(name string) (File, error)
	// Open opens an existing file, to sync it.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDirectory() error
}

// File is an open file of a FileSystem.
type File interface {
	Write(content []byte) (int, error)
	Sync() error
	Close() error
}

// Directory is a directory of the operating system's file system. It implements FileSystem.
type Directory struct {
	path string
}

// OpenDirectory returns the directory with the given path, which it creates if it does not exist.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, directoryPermissions); err != nil {
		return nil, errors.WithStack(err)
	}
	return &Directory{path: path}, nil
}

// List returns the names in the directory.
func (directory *Directory) List() ([]string, error) {
	entries, err := os.ReadDir(directory.path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read returns the content of a file.
func (directory *Directory) Read(name string) ([]byte, error) {
	content, err := os.ReadFile(directory.pathOf(name))
	return content, errors.WithStack(err)
}

// Create creates a file for writing, or truncates an existing one.
func (directory *Directory) Create(name string) (File, error) {
	return directory.open(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC)
}

// Open opens an existing file, to sync it.
func (directory *Directory) Open(name string) (File, error) {
	return directory.open(name, os.O_RDWR)
}

func (directory *Directory) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(directory.pathOf(name), flags, filePermissions)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return file, nil
}

// Rename renames a file.
func (directory *Directory) Rename(from, to string) error {
	return errors.WithStack(os.Rename(directory.pathOf(from), directory.pathOf(to)))
}

// Remove removes a file.
func (directory *Directory) Remove(name string) error {
	return errors.WithStack(os.Remove(directory.pathOf(name)))
}

// SyncDirectory makes created, renamed and removed names durable.
func (directory *Directory) SyncDirectory() error {
	file, err := os.Open(directory.path)
	if err != nil {
		return errors.WithStack(err)
	}
	return syncAndClose(file)
}

func (directory *Directory) pathOf(name string) string { return filepath.Join(directory.path, name) }

func syncAndClose(file File) error {
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return errors.WithStack(err)
	}
	return errors.WithStack(file.Close())
}
