package node

import (
	"context"
	"path/filepath"

	"pewterrudder/internal/router/disk"
	"pewterrudder/internal/router/recordstore"
	"pewterrudder/internal/router/registry"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/softstate"
)

// departuresDir is the subdirectory of the data directory that stores the departures of instances.
const departuresDir = "departures"

// newDepartureStore returns the store of the departures that this router holds, or nil on a router without a disk.
func (n *Node) newDepartureStore(s *settings.Settings) *recordstore.Store {
	if s.DataDir == "" {
		return nil
	}
	return recordstore.New(recordstore.Options{
		Select: func(record softstate.Record) bool {
			return record.Kind == recordInstance && registry.IsDeparture(record)
		},
		Retention: softstate.TombstoneAdvertisedFor,
		Log:       n.log,
	})
}

// startDepartures restores the departures that an earlier process has saved, and saves new ones from now on.
func (n *Node) startDepartures(ctx context.Context, s *settings.Settings) {
	if n.departures == nil {
		return
	}
	open := func() (disk.FileSystem, error) { return disk.OpenDirectory(filepath.Join(s.DataDir, departuresDir)) }
	go n.departures.Run(ctx, open, n.cluster.Restore) // Stop does not wait for it, since the disk may hang
}
