// Package configlease decides whether a router may act on the configuration that it has. A revision that was acknowledged revokes
// keys also at routers that cannot receive it: a router accepts keys only for a limited time after it last knew that its
// configuration was the newest.
//
// A confirmation says that a revision was the newest at a quorum of the acceptors at some time. It is passed on with its age,
// to which each router adds by its own steady clock, counted from before it sent its request. So a confirmation may appear
// older than it is, but never younger. The package reads no clock: times are given as steady time since the router's start.
package configlease

import (
	"sync"
	"time"
)

const (
	// driftFraction is the fraction by which the rates of two steady clocks may differ.
	driftFraction = 0.02
	// marginFraction is the fraction of the bound that is reserved for the time a request still takes to reach an instance.
	marginFraction = 0.1
	// maxPending is the maximum number of stored confirmations of revisions that are not applied yet.
	maxPending = 8
)

// Confirmation says that a revision was known to be the newest, and how long ago that was.
type Confirmation struct {
	Revision uint64        `msgpack:"revision"`
	Age      time.Duration `msgpack:"age"`
}

// Lease is a router's permission to act on its configuration for a limited time. It is safe for concurrent use.
type Lease struct {
	duration time.Duration

	mu              sync.Mutex
	appliedRevision uint64
	isConfirmed     bool                // an applied revision was confirmed at some time
	confirmedAt     time.Duration       // when the applied revision was last known to be the newest
	pending         []localConfirmation // of revisions that are not applied yet
}

// localConfirmation is a confirmation with its time by this router's clock.
type localConfirmation struct {
	revision uint64
	at       time.Duration
}

// New returns a lease without a confirmation, which does not hold. The bound is the time after which no router may act on a
// revision that has been superseded.
func New(bound time.Duration) *Lease {
	return &Lease{duration: time.Duration((1 - marginFraction) * float64(bound))}
}

// Duration returns how long the lease holds after a confirmation.
func (l *Lease) Duration() time.Duration { return l.duration }

// Apply notes that this router has applied a revision.
func (l *Lease) Apply(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appliedRevision = max(l.appliedRevision, revision)
	remaining := l.pending[:0]
	for _, local := range l.pending {
		if !l.record(local) {
			remaining = append(remaining, local)
		}
	}
	l.pending = remaining
}

// AddConfirmation adds a confirmation that answers a request sent at askedAt. It takes effect once its revision is
// applied; its age counts in any case.
func (l *Lease) AddConfirmation(askedAt time.Duration, confirmation Confirmation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := confirmation.Age + time.Duration(driftFraction*float64(confirmation.Age))
	local := localConfirmation{revision: confirmation.Revision, at: askedAt - age}
	if l.record(local) {
		return
	}
	if len(l.pending) == maxPending {
		l.pending = l.pending[:maxPending-1]
	}
	l.pending = append(l.pending, local)
}

// record applies a confirmation to the lease. It returns false if the revision is not applied yet.
func (l *Lease) record(local localConfirmation) bool {
	if local.revision > l.appliedRevision {
		return false
	}
	if !l.isConfirmed || local.at > l.confirmedAt {
		l.isConfirmed, l.confirmedAt = true, local.at
	}
	return true
}

// Age returns the time since the applied revision was last known to be the newest; false if it never was.
func (l *Lease) Age(now time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now - l.confirmedAt, l.isConfirmed
}

// IsValid reports whether the router may act on the configuration now.
func (l *Lease) IsValid(now time.Duration) bool {
	age, known := l.Age(now)
	return known && age < l.duration
}

// LatestConfirmation returns the confirmation for another router; false if the lease does not hold.
func (l *Lease) LatestConfirmation(now time.Duration) (Confirmation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := now - l.confirmedAt
	if !l.isConfirmed || age >= l.duration {
		return Confirmation{}, false
	}
	return Confirmation{Revision: l.appliedRevision, Age: age}, true
}
