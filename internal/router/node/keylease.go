package node

import (
	"context"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/configlease"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/steadyclock"
)

const (
	// coordinatorReadShare is the fraction of the key lease after which the coordinator reads the register again.
	coordinatorReadShare = 0.1
	// fallbackReadShare is the fraction of the key lease after which a router that has received no newer confirmation
	// reads the register itself.
	fallbackReadShare = 0.5
	// registerReadTimeout bounds one read.
	registerReadTimeout = 400 * time.Millisecond
)

// keyLease bounds the time for which this router accepts API keys that may have been revoked meanwhile. The coordinator
// of the shares reads the register, without writing, several times per lease, and its answers to other routers carry
// the age of its last read. A router that receives no such answer reads the register itself.
type keyLease struct {
	lease            *configlease.Lease
	clock            *steadyclock.Clock
	readRegister     func(ctx context.Context) (revision uint64, err error)
	isCoordinator    func() bool // reports whether this router is the coordinator
	usesKeys         func() bool // reports whether requests need API keys
	nextFallbackRead time.Time   // earliest time of this router's next read of its own
}

// startKeyLease creates the key lease if the settings bound the time until a revocation takes effect
// (bounds.revoke_ms).
func (n *Node) startKeyLease(_ context.Context, s *settings.Settings) error {
	if !s.Bounds.Closed || s.Bounds.RevokeMs <= 0 {
		return nil
	}
	n.keyLease = &keyLease{
		lease:         configlease.New(settings.Milliseconds(s.Bounds.RevokeMs)),
		clock:         n.clock,
		readRegister:  n.store.ReadRevision,
		isCoordinator: func() bool { return n.shares.IsCoordinator() },
		usesKeys:      n.usesKeys,
	}
	return nil
}

// usesKeys reports whether requests need API keys by the configuration in force.
func (n *Node) usesKeys() bool {
	table := n.table.Load()
	return table != nil && table.UsesKeys()
}

// keyLeaseCheck returns the function by which the front checks that the key lease holds, or nil if revocations have no
// time bound.
func (n *Node) keyLeaseCheck() func() bool {
	if n.keyLease == nil {
		return nil
	}
	return func() bool { return n.keyLease.lease.IsValid(n.clock.Now()) }
}

// applyRevision records that a revision is in force. A nil receiver is a no-op.
func (k *keyLease) applyRevision(revision uint64) {
	if k != nil {
		k.lease.Apply(revision)
	}
}

// recordConfirmation records that a read started at askedAt returned the given revision. A nil receiver is a no-op.
func (k *keyLease) recordConfirmation(askedAt time.Duration, revision uint64) {
	if k != nil {
		k.Add(askedAt, configlease.Confirmation{Revision: revision})
	}
}

// Latest implements shares.Confirmations.
func (k *keyLease) Latest() (configlease.Confirmation, bool) {
	return k.lease.LatestConfirmation(k.clock.Now())
}

// Add implements shares.Confirmations.
func (k *keyLease) Add(askedAt time.Duration, confirmation configlease.Confirmation) {
	k.lease.AddConfirmation(askedAt, confirmation)
}

// run reads the register whenever a read is due, until the context ends.
func (k *keyLease) run(ctx context.Context) {
	interval := time.Duration(coordinatorReadShare * float64(k.lease.Duration()))
	for ctx.Err() == nil {
		if k.usesKeys() && k.isDue() {
			k.renew(ctx)
		}
		periodic.Sleep(ctx, interval)
	}
}

// isDue reports whether this router should read the register now. Routers other than the coordinator wait for a random
// part of the fallback time between reads, so that they do not all read at once.
func (k *keyLease) isDue() bool {
	if k.isCoordinator() {
		return true
	}
	age, known := k.lease.Age(k.clock.Now())
	fallbackAge := time.Duration(fallbackReadShare * float64(k.lease.Duration()))
	if known && age < fallbackAge || time.Now().Before(k.nextFallbackRead) {
		return false
	}
	k.nextFallbackRead = time.Now().Add(time.Duration(rand.Float64() * float64(fallbackAge)))
	return true
}

// renew reads the register once and extends the lease if a quorum answered.
func (k *keyLease) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerReadTimeout)
	defer cancel()
	askedAt := k.clock.Now()
	if revision, err := k.readRegister(ctx); err == nil {
		k.recordConfirmation(askedAt, revision)
	}
}
