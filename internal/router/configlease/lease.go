// Package configlease decides whether a router may act on the configuration that it has. A revision that was acknowledged takes keys
// away at routers that cannot hear of it too: a router acts on keys only for so long after it was last sure that its configuration
// was the newest.
//
// A confirmation says that a revision was the newest at a quorum of the acceptors at some moment. It is told by its age, which each
// router adds to by its own steady clock, counted from before it asked: so a confirmation can look older than it is, and never
// younger. The package is pure: time comes in as the steady time since the router's start.
package configlease

import (
	"sync"
	"time"
)

const (
	// driftShare is the share by which two steady clocks may differ.
	driftShare = 0.02
	// marginShare is the share of the bound that is left for what a request still takes on its way to an instance.
	marginShare = 0.1
	// maxWaiting bounds the confirmations of revisions that are not applied yet.
	maxWaiting = 8
)

// Confirmation says that a revision was the newest so long ago.
type Confirmation struct {
	Revision uint64        `msgpack:"revision"`
	Age      time.Duration `msgpack:"age"`
}

// Lease is a router's permission to act on its configuration. Its methods may be called from any goroutine.
type Lease struct {
	duration time.Duration

	mu      sync.Mutex
	applied uint64
	holds   bool
	from    time.Duration // when the applied revision was last known to be the newest
	waiting []confirmed
}

// confirmed is a confirmation in this router's time.
type confirmed struct {
	revision uint64
	at       time.Duration
}

// New returns a lease that does not hold. The bound is the time after which no router may act on a revision that another one has
// followed.
func New(bound time.Duration) *Lease {
	return &Lease{duration: time.Duration((1 - marginShare) * float64(bound))}
}

// Duration is how long the lease lasts from a confirmation on.
func (l *Lease) Duration() time.Duration { return l.duration }

// Apply notes that a revision is in force here.
func (l *Lease) Apply(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied = max(l.applied, revision)
	still := l.waiting[:0]
	for _, known := range l.waiting {
		if !l.take(known) {
			still = append(still, known)
		}
	}
	l.waiting = still
}

// Confirm takes a confirmation that was asked for at the given time. It counts from the moment at which its revision is applied, but is as
// old as it is.
func (l *Lease) Confirm(askedAt time.Duration, told Confirmation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := told.Age + time.Duration(driftShare*float64(told.Age))
	known := confirmed{revision: told.Revision, at: askedAt - age}
	if l.take(known) {
		return
	}
	if len(l.waiting) == maxWaiting {
		l.waiting = l.waiting[:maxWaiting-1]
	}
	l.waiting = append(l.waiting, known)
}

// take counts a confirmation if its revision is applied.
func (l *Lease) take(known confirmed) bool {
	if known.revision > l.applied {
		return false
	}
	if !l.holds || known.at > l.from {
		l.holds, l.from = true, known.at
	}
	return true
}

// Age is the time since the applied revision was last known to be the newest; false: it never was.
func (l *Lease) Age(now time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now - l.from, l.holds
}

// Holds tells whether the router may act on the configuration now.
func (l *Lease) Holds(now time.Duration) bool {
	age, known := l.Age(now)
	return known && age < l.duration
}

// Tell is the confirmation to be told to another router, if there is one that is worth telling.
func (l *Lease) Tell(now time.Duration) (Confirmation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := now - l.from
	if !l.holds || age >= l.duration {
		return Confirmation{}, false
	}
	return Confirmation{Revision: l.applied, Age: age}, true
}
