package node

import (
	"path/filepath"

	"pewterrudder/internal/router/disk"
)

// floorDir is the subdirectory of the data directory that stores the quota floors.
const floorDir = "floors"

// floorStore implements shares.FloorStore on disk. Save must be called by the goroutine that called Load.
type floorStore struct {
	dataDir string
	file    *disk.Disk
}

// Load opens the store and returns the content saved last.
func (s *floorStore) Load() ([]byte, error) {
	folder, err := disk.OpenDirectory(filepath.Join(s.dataDir, floorDir))
	if err != nil {
		return nil, err
	}
	file, content, err := disk.Open(folder)
	if err != nil {
		return nil, err
	}
	s.file = file
	return content, nil
}

// Save returns once the content is durable.
func (s *floorStore) Save(content []byte) error { return s.file.Save(content) }
