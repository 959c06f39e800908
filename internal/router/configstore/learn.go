package configstore

import (
	"context"
	"slices"

	"pewterrudder/internal/router/casregister"
)

// Learn adopts an encoded chosen state received from another router if it is newer than the current one.
func (store *Store) Learn(encoded []byte) {
	chosen, err := DecodeChosen(encoded)
	if err != nil {
		store.log.WithError(err).Warn("cannot decode a chosen state received from another router")
		return
	}
	store.adopt(chosen)
}

// OnChosen registers a listener that is called for each newer chosen state with other content, in order, from one
// goroutine and without a lock held. It is also called with a current state that was known before. It must not block
// for long, since it delays the other listeners.
func (store *Store) OnChosen(listener func(*Chosen)) {
	store.adoptMutex.Lock()
	defer store.adoptMutex.Unlock()
	current := store.Current()
	store.listeners = append(store.listeners, listener)
	if current != nil && len(store.pendingAnnouncements) == 0 {
		store.pendingAnnouncements = append(store.pendingAnnouncements, current)
		wake(store.wakeAnnounce)
	}
}

// adoptRegisterState adopts a state of the register that is known to be chosen.
func (store *Store) adoptRegisterState(register casregister.State) (*Chosen, error) {
	if current := store.Current(); current != nil && current.register.Ballot == register.Ballot {
		return current, nil
	}
	chosen, err := newChosen(register)
	if err != nil {
		return nil, err
	}
	store.adopt(chosen)
	return chosen, nil
}

// adopt makes a chosen state the current one if it is newer, and queues an announcement if its content differs.
func (store *Store) adopt(chosen *Chosen) {
	store.adoptMutex.Lock()
	defer store.adoptMutex.Unlock()
	current := store.Current()
	if !chosen.IsNewerThan(current) {
		return
	}
	store.current.Store(chosen)
	if !chosen.hasOtherContent(current) {
		return
	}
	store.pendingAnnouncements = append(store.pendingAnnouncements, chosen)
	wake(store.wakeAnnounce)
	wake(store.wakeMembers)
}

// announce calls the listeners for each queued state until the context is done.
func (store *Store) announce(ctx context.Context) {
	for {
		select {
		case <-store.wakeAnnounce:
		case <-ctx.Done():
			return
		}
		pending, listeners := store.takeAnnouncements()
		for _, chosen := range pending {
			for _, listener := range listeners {
				listener(chosen)
			}
		}
	}
}

func (store *Store) takeAnnouncements() ([]*Chosen, []func(*Chosen)) {
	store.adoptMutex.Lock()
	defer store.adoptMutex.Unlock()
	pending := store.pendingAnnouncements
	store.pendingAnnouncements = nil
	return pending, slices.Clone(store.listeners)
}
