package node

import (
	"context"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/disk"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/periodic"
)

const (
	// fleetSizeDir is the subdirectory of the data directory that stores the size of the fleet.
	fleetSizeDir = "fleet"
	// fleetSizeSaveInterval is the interval at which the size is compared with the stored one.
	fleetSizeSaveInterval = 2 * time.Second
)

// fleetSizeStore keeps the number of routers on disk. After a restart of the whole fleet the number is then known
// before all routers have been discovered.
type fleetSizeStore struct {
	// currentSize returns the number of live routers, and false while that number is not reliable.
	currentSize func() (int, bool)
	// onLoaded is called with the number stored by an earlier process.
	onLoaded  func(size int)
	lastSaved int
}

// run loads the stored size and keeps it up to date. If the disk fails or hangs, only the stored size is lost.
func (s *fleetSizeStore) run(ctx context.Context, directory string, log logrus.FieldLogger) {
	file, err := s.load(directory)
	if err != nil {
		log.WithError(err).Info("cannot open the fleet size store: the size of the fleet will not survive a restart")
		return
	}
	periodic.Run(ctx, fleetSizeSaveInterval, func() { s.saveIfChanged(file, log) })
}

// load opens the store and reads the size that an earlier process saved.
func (s *fleetSizeStore) load(directory string) (*disk.Disk, error) {
	folder, err := disk.OpenDirectory(filepath.Join(directory, fleetSizeDir))
	if err != nil {
		return nil, err
	}
	file, content, err := disk.Open(folder)
	if err != nil {
		return nil, err
	}
	if size, err := strconv.Atoi(string(content)); err == nil && size > 0 {
		s.lastSaved = size
		s.onLoaded(size)
	}
	return file, nil
}

// saveIfChanged writes the size if it differs from the last one saved.
func (s *fleetSizeStore) saveIfChanged(file *disk.Disk, log logrus.FieldLogger) {
	size, known := s.currentSize()
	if !known || size == s.lastSaved {
		return
	}
	if err := file.Save([]byte(strconv.Itoa(size))); err != nil {
		log.WithError(err).Debug("cannot save the size of the fleet")
		return
	}
	s.lastSaved = size
}

// fleetSettleDelay is the time from the first synchronization with another router until this router assumes that it
// knows all others. When all routers start at once, the first one it meets may itself know only a few.
const fleetSettleDelay = time.Second

// fleetDiscovery tracks how reliable the known number of routers is.
type fleetDiscovery struct {
	// synchronized is set once this router has received the state of another one, settled fleetSettleDelay later, when it
	// has had time to discover all others.
	synchronized atomic.Bool
	settled      atomic.Bool
}

// run sets both flags when they become true, and calls onChange after each.
func (d *fleetDiscovery) run(ctx context.Context, synchronized <-chan struct{}, onChange func()) {
	select {
	case <-synchronized:
	case <-ctx.Done():
		return
	}
	d.synchronized.Store(true)
	onChange()
	periodic.Sleep(ctx, fleetSettleDelay)
	d.settled.Store(ctx.Err() == nil)
	onChange()
}

// announcedFleetSize returns the largest fleet size that a live router has loaded from its disk, or zero if none has.
func announcedFleetSize(view *membership.View) int {
	size := 0
	for _, member := range view.Live() {
		size = max(size, member.FleetSize)
	}
	return size
}
