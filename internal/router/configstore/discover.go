package configstore

import (
	"context"
	"time"

	"pewterrudder/internal/router/periodic"
)

const (
	// discoverInterval is the average pause between two queries of all seeds.
	discoverInterval = 150 * time.Millisecond
	// discoverTimeout bounds one query to a seed.
	discoverTimeout = 500 * time.Millisecond
)

// discoverState queries the seeds for the newest state that they know, for as long as this process knows no acceptor
// set, and whenever a proposal found no quorum.
func (store *Store) discoverState(ctx context.Context) {
	for ctx.Err() == nil {
		if !store.startingSet().IsZero() {
			waitForWake(ctx, store.wakeDiscover)
		}
		for _, address := range store.options.Seeds {
			go store.queryKnownState(ctx, address)
		}
		periodic.Sleep(ctx, jitter(discoverInterval))
	}
}

func (store *Store) queryKnownState(ctx context.Context, address string) {
	if store.options.Self != nil && store.options.Self.Address == address {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	answer, err := store.call(ctx, address, envelope{KnownStateQuery: true})
	if err != nil {
		return
	}
	if answer.Chosen != nil {
		store.Learn(answer.Chosen)
	}
	if answer.NewestSet != nil {
		store.raiseNewestSet(*answer.NewestSet)
	}
}
