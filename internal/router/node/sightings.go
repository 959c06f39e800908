package node

import (
	"context"
	"path/filepath"
	"time"

	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/selection"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/sightings"
)

// sightingsTimeout is how long a starting router waits for other routers' recent sightings.
const sightingsTimeout = 250 * time.Millisecond

// sightingsDir is the subdirectory of the data directory that stores recent sightings.
const sightingsDir = "sightings"

// blockSightings exchanges sightings with the other routers. A sighting records to which instance a shared prompt block
// was sent.
type blockSightings struct {
	exchange        *sightings.Exchange
	store           *sightings.Store
	duplicateWindow time.Duration
}

// newSightings returns nil if the settings do not define the time within which processing a block again is wasteful
// (bounds.again_s): sightings are then not exchanged.
func (n *Node) newSightings(s *settings.Settings) *blockSightings {
	duplicateWindow := settings.Seconds(s.Bounds.AgainS)
	if duplicateWindow <= 0 {
		return nil
	}
	created := &blockSightings{store: sightings.NewStore(duplicateWindow / 2), duplicateWindow: duplicateWindow}
	created.exchange = sightings.NewExchange(sightings.Options{
		Node:      s.Node,
		Kind:      messageSightings,
		Messenger: n.transport,
		View:      n.view,
		OnReceive: func(now time.Time, list []sightings.Sighting) {
			n.selector.RecordRemoteSightings(now, list)
			created.store.Add(now, list)
		},
		Recent: created.store.Recent,
		Log:    n.log,
	})
	return created
}

// selectionOptions connects the selector to the exchange. A nil receiver yields nil, which disables sightings.
func (b *blockSightings) selectionOptions() *selection.SightingOptions {
	if b == nil {
		return nil
	}
	return &selection.SightingOptions{Announce: b.exchange.Announce, IsCurrent: b.exchange.IsCurrent, Recent: b.store.Recent, DuplicateWindow: b.duplicateWindow}
}

// awaitSightings returns once the router has received the recent sightings, or after sightingsTimeout.
func (n *Node) awaitSightings(ctx context.Context) {
	if n.sightings == nil {
		return
	}
	for begin := time.Now(); time.Since(begin) < sightingsTimeout && ctx.Err() == nil; {
		if n.sightings.exchange.Synchronized() {
			return
		}
		periodic.Sleep(ctx, readinessPollInterval/5)
	}
	n.sightings.exchange.SetSynchronized()
}

// startSightings runs the exchange, and stores sightings if there is a data directory.
func (n *Node) startSightings(ctx context.Context, s *settings.Settings) {
	current := n.sightings
	if current == nil {
		return
	}
	n.transport.HandleInline(messageSightings, current.exchange.Handle)
	go current.exchange.Run(ctx)
	if s.DataDir != "" { // Stop does not wait for it, since the disk may hang
		go current.store.Run(ctx, filepath.Join(s.DataDir, sightingsDir), current.exchange.Restore, n.log)
	}
}
