package sightings

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/disk"
	"pewterrudder/internal/router/periodic"
)

const (
	// saveInterval is the time between two checks for new sightings to save.
	saveInterval = time.Second
	// maxSaved is the maximum number of sightings that are saved.
	maxSaved = 1 << 13
)

// Store saves recent sightings on disk. If all routers restart at once, no running router can tell them which blocks
// the instances have computed shortly before. It is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	recent  *WindowCounter[Sighting]
	changed bool
}

// NewStore returns a store that forgets sightings when they are between one and two periods old.
func NewStore(period time.Duration) *Store {
	return &Store{recent: NewWindowCounter[Sighting](period, maxSaved)}
}

// Add adds sightings.
func (k *Store) Add(now time.Time, sightings []Sighting) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, sighting := range sightings {
		k.recent.Add(now, sighting)
	}
	k.changed = k.changed || len(sightings) > 0
}

// Recent returns the recent sightings.
func (k *Store) Recent(now time.Time) []Sighting {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.recent.Members(now)
}

// Run passes the sightings that an earlier process has saved to restore, and then saves new ones until the context is
// canceled. If the disk fails or hangs, sightings don't survive a restart; nothing else is affected.
func (k *Store) Run(ctx context.Context, directory string, restore func([]Sighting), log logrus.FieldLogger) {
	folder, err := disk.OpenDirectory(directory)
	if err != nil {
		log.WithError(err).Info("sightings of prompt blocks aren't kept across restarts")
		return
	}
	store, content, err := disk.Open(folder)
	if err != nil {
		log.WithError(err).Info("sightings of prompt blocks aren't kept across restarts")
		return
	}
	if content != nil {
		restoreSaved(content, restore, log)
	}
	periodic.Run(ctx, saveInterval, func() {
		if err := k.save(store, time.Now()); err != nil {
			log.WithError(err).Debug("cannot save sightings of prompt blocks")
		}
	})
}

func restoreSaved(content []byte, restore func([]Sighting), log logrus.FieldLogger) {
	_, saved, err := decode(content)
	if err != nil {
		log.WithError(err).Info("cannot decode the saved sightings of prompt blocks")
		return
	}
	restore(saved)
}

func (k *Store) save(to *disk.Disk, now time.Time) error {
	list, changed := k.snapshot(now)
	if !changed {
		return nil
	}
	content, err := encode(toMembers, list)
	if err != nil {
		return err
	}
	return errors.Wrap(to.Save(content), "sightings: save")
}

// snapshot returns the recent sightings if any were added since the last call; otherwise changed is false.
func (k *Store) snapshot(now time.Time) (list []Sighting, changed bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	changed = k.changed
	k.changed = false
	if !changed {
		return nil, false
	}
	return k.recent.Members(now), true
}
