package configstore

import (
	"context"
	"maps"
	"sync"
	"time"

	"pewterrudder/internal/router/casregister"
)

// recoveryDelay is how long a recovery waits after the last proof that it relies on. By then, proposals that were in
// progress when the acceptors ended have finished or timed out, and their results have reached the other routers.
const recoveryDelay = roundTimeout + 300*time.Millisecond

// endedTracker records the volatile acceptors whose process is proven to have ended, so that their state is lost.
type endedTracker struct {
	mutex    sync.Mutex
	provenAt map[casregister.AcceptorID]time.Time
}

// add records that an acceptor has ended, and reports whether this was not known before. It drops entries older than
// acceptorRetention.
func (tracker *endedTracker) add(id casregister.AcceptorID, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if _, isKnown := tracker.provenAt[id]; isKnown {
		return false
	}
	if tracker.provenAt == nil {
		tracker.provenAt = make(map[casregister.AcceptorID]time.Time)
	}
	maps.DeleteFunc(tracker.provenAt, func(_ casregister.AcceptorID, endedAt time.Time) bool { return now.Sub(endedAt) > acceptorRetention })
	tracker.provenAt[id] = now
	return true
}

// provenBefore returns the acceptors whose end was proven before the given time.
func (tracker *endedTracker) provenBefore(cutoff time.Time) casregister.EndedAcceptors {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	ended := make(casregister.EndedAcceptors)
	for id, endedAt := range tracker.provenAt {
		if endedAt.Before(cutoff) {
			ended[id] = true
		}
	}
	return ended
}

// recordEnded records that an acceptor has ended if the reply to a request sent to it proves so.
func (store *Store) recordEnded(asked casregister.Acceptor, reply casregister.Reply) {
	if !reply.ProvesEnd(asked) || !store.endedAcceptors.add(asked.ID, time.Now()) {
		return
	}
	store.log.WithField("acceptor", string(asked.ID)).Info("an acceptor without a disk has ended")
	wake(store.wakeMembers)
}

// endedForRecovery returns the acceptors whose end was proven at least recoveryDelay ago, or nil if the set needs no
// recovery.
func (store *Store) endedForRecovery(set casregister.Set) casregister.EndedAcceptors {
	ended := store.endedAcceptors.provenBefore(time.Now().Add(-recoveryDelay))
	if !set.NeedsRecovery(ended) {
		return nil
	}
	return ended
}

// probeAcceptors queries all members of the set, so that the replies prove which of them have ended.
func (store *Store) probeAcceptors(ctx context.Context) {
	_, _ = store.readQuorum(ctx)
}
