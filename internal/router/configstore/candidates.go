package configstore

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pewterrudder/internal/router/casregister"
)

// acceptorRetention is how long an acceptor that membership no longer lists, or that has ended, is kept in memory.
const acceptorRetention = time.Hour

// candidateTracker keeps the candidates as membership last listed them. One that is no longer listed counts as silent
// from its last listing.
type candidateTracker struct {
	mutex   sync.Mutex
	tracked map[casregister.AcceptorID]trackedCandidate
}

// trackedCandidate is a candidate, and the time to which its SilentFor refers.
type trackedCandidate struct {
	candidate Candidate
	updatedAt time.Time
}

func (tracker *candidateTracker) update(candidates []Candidate, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.ensureMap()
	for id, entry := range tracker.tracked {
		entry.candidate.Reachable = false
		tracker.tracked[id] = entry
		if now.Sub(entry.updatedAt) > acceptorRetention {
			delete(tracker.tracked, id)
		}
	}
	for _, candidate := range candidates {
		tracker.tracked[candidate.Acceptor.ID] = trackedCandidate{candidate: candidate, updatedAt: now}
	}
}

// addUnlisted adds the voters that membership has never listed. They count as silent from now on.
func (tracker *candidateTracker) addUnlisted(voters []casregister.Acceptor, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.ensureMap()
	for _, voter := range voters {
		if _, isKnown := tracker.tracked[voter.ID]; !isKnown {
			tracker.tracked[voter.ID] = trackedCandidate{candidate: Candidate{Acceptor: voter, Unlisted: true}, updatedAt: now}
		}
	}
}

func (tracker *candidateTracker) ensureMap() {
	if tracker.tracked == nil {
		tracker.tracked = make(map[casregister.AcceptorID]trackedCandidate)
	}
}

// list returns the candidates ordered by identity, with SilentFor extended up to now.
func (tracker *candidateTracker) list(now time.Time) []Candidate {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	candidates := make([]Candidate, 0, len(tracker.tracked))
	for _, entry := range tracker.tracked {
		candidate := entry.candidate
		if !candidate.Reachable {
			candidate.SilentFor += now.Sub(entry.updatedAt)
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(left, right Candidate) int {
		return cmp.Compare(left.Acceptor.ID, right.Acceptor.ID)
	})
	return candidates
}
