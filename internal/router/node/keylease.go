package node

import (
	"context"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/configlease"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/steadyclock"
)

const (
	// confirmShare is the share of the key lease after which the coordinator reads the register again.
	confirmShare = 0.1
	// confirmAloneShare is the share after which a router that has heard of no newer confirmation reads the register itself.
	confirmAloneShare = 0.5
	// confirmTimeout bounds one read.
	confirmTimeout = 400 * time.Millisecond
)

// keyLease bounds the time for which this router lets keys in that may have been taken away meanwhile. The coordinator of the shares
// reads the register several times in a lease, writing nothing, and its answers carry the age of its last read; a router that hears
// nothing reads for itself.
type keyLease struct {
	lease     *configlease.Lease
	clock     *steadyclock.Clock
	read      func(ctx context.Context) (revision uint64, err error)
	leads     func() bool // this router is the coordinator
	isNeeded  func() bool // the configuration has keys
	nextAlone time.Time   // when this router may read for itself again
}

// startKeyLease prepares a lease where the platform asks for one.
func (n *Node) startKeyLease(_ context.Context, s *settings.Settings) error {
	if !s.Bounds.Closed || s.Bounds.RevokeMs <= 0 {
		return nil
	}
	n.keys = &keyLease{
		lease:    configlease.New(settings.Milliseconds(s.Bounds.RevokeMs)),
		clock:    n.clock,
		read:     n.store.Confirm,
		leads:    func() bool { return n.shares.Holds() },
		isNeeded: n.hasTenants,
	}
	return nil
}

// hasTenants tells whether the configuration in force has keys.
func (n *Node) hasTenants() bool {
	parsed := n.document.Load()
	return parsed != nil && len(parsed.Tenants) > 0
}

// keysHold is what the front asks; nil: the platform sets no bound.
func (n *Node) keysHold() func() bool {
	if n.keys == nil {
		return nil
	}
	return func() bool { return n.keys.lease.Holds(n.clock.Now()) }
}

// apply notes that a revision is in force. The receiver may be nil, as below.
func (k *keyLease) apply(revision uint64) {
	if k != nil {
		k.lease.Apply(revision)
	}
}

// confirmed notes that a read that began at the given time has found a revision.
func (k *keyLease) confirmed(askedAt time.Duration, revision uint64) {
	if k != nil {
		k.Take(askedAt, configlease.Confirmation{Revision: revision})
	}
}

// Tell implements shares.Confirmations.
func (k *keyLease) Tell() (configlease.Confirmation, bool) { return k.lease.Tell(k.clock.Now()) }

// Take implements shares.Confirmations.
func (k *keyLease) Take(askedAt time.Duration, told configlease.Confirmation) {
	k.lease.Confirm(askedAt, told)
}

// run reads the register whenever that is due.
func (k *keyLease) run(ctx context.Context) {
	every := time.Duration(confirmShare * float64(k.lease.Duration()))
	for ctx.Err() == nil {
		if k.isNeeded() && k.isDue() {
			k.confirm(ctx)
		}
		pause(ctx, every)
	}
}

// isDue tells whether this router reads the register now. Routers that read for themselves do so at different times.
func (k *keyLease) isDue() bool {
	if k.leads() {
		return true
	}
	age, known := k.lease.Age(k.clock.Now())
	alone := time.Duration(confirmAloneShare * float64(k.lease.Duration()))
	if known && age < alone || time.Now().Before(k.nextAlone) {
		return false
	}
	k.nextAlone = time.Now().Add(time.Duration(rand.Float64() * float64(alone)))
	return true
}

// confirm makes one read.
func (k *keyLease) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	askedAt := k.clock.Now()
	if revision, err := k.read(ctx); err == nil {
		k.confirmed(askedAt, revision)
	}
}
