package node

import (
	"context"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/disk"
)

const (
	// settledSetDir is the subdirectory of the data directory that stores the epoch of the last settled acceptor set.
	settledSetDir = "settled"
	// acceptorSettleTime is how long a set of acceptors must have been in force to count as settled: twice the duration
	// of a lease that earlier acceptors may have granted.
	acceptorSettleTime = 4 * time.Second
	// settledPollInterval is the interval between two checks of the set, settledPollIntervalDiskless that on a router
	// that cannot store the result.
	settledPollInterval         = 250 * time.Millisecond
	settledPollIntervalDiskless = time.Second
)

// errNoDataDir is returned when the settings name no data directory.
var errNoDataDir = errors.New("node: no data directory is configured")

// settledTracker determines, also across restarts of the process, whether the acceptors have been at their addresses
// for acceptorSettleTime. If so, no lease granted by earlier acceptors is still valid. The first set (epoch zero) has
// no predecessor and is always settled.
type settledTracker struct {
	// currentEpoch returns the epoch at which the acceptors' addresses last changed, and false while that is unknown or
	// about to change.
	currentEpoch func() (uint64, bool)
	// settled is the epoch of the last settled set plus one, or zero if there is none.
	settled atomic.Uint64
}

// isSettled reports whether no lease granted by a set before the one in force is still valid.
func (s *settledTracker) isSettled() bool {
	epoch, known := s.currentEpoch()
	return known && (epoch == 0 || s.settled.Load() == epoch+1)
}

// isKnown reports whether the set in force is known, is not joint, and no newer one has been heard of.
func (s *settledTracker) isKnown() bool {
	_, known := s.currentEpoch()
	return known
}

// run checks the set periodically and stores the epoch once it has settled. If the disk fails or hangs, only the result
// of the previous process is lost.
func (s *settledTracker) run(ctx context.Context, directory string, log logrus.FieldLogger) {
	file, err := s.load(directory)
	if err != nil && !errors.Is(err, errNoDataDir) {
		log.WithError(err).Info("cannot open the settled acceptor set store: the settled set will not survive a restart")
	}
	interval := settledPollInterval
	if file == nil {
		interval = settledPollIntervalDiskless
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var timer stabilityTimer
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			epoch, known := s.currentEpoch()
			if !timer.observe(now, epoch, known) || s.settled.Swap(epoch+1) == epoch+1 || file == nil {
				continue
			}
			if err := file.Save([]byte(strconv.FormatUint(epoch+1, 10))); err != nil {
				log.WithError(err).Debug("cannot save the settled acceptor set")
			}
		}
	}
}

// load opens the store and reads the epoch that an earlier process saved.
func (s *settledTracker) load(directory string) (*disk.Disk, error) {
	if directory == "" {
		return nil, errNoDataDir
	}
	folder, err := disk.OpenDirectory(filepath.Join(directory, settledSetDir))
	if err != nil {
		return nil, err
	}
	file, content, err := disk.Open(folder)
	if err != nil {
		return nil, err
	}
	if settled, err := strconv.ParseUint(string(content), 10, 64); err == nil {
		s.settled.CompareAndSwap(0, settled)
	}
	return file, nil
}

// stabilityTimer measures how long the same set has been in force.
type stabilityTimer struct {
	epoch uint64
	known bool
	since time.Time
}

// observe records the current set and reports whether it has been unchanged for acceptorSettleTime.
func (w *stabilityTimer) observe(now time.Time, epoch uint64, known bool) bool {
	if known != w.known || epoch != w.epoch {
		*w = stabilityTimer{epoch: epoch, known: known, since: now}
	}
	return known && now.Sub(w.since) >= acceptorSettleTime
}
