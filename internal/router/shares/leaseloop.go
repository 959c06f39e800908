package shares

import (
	"context"
	"slices"
	"time"

	"pewterrudder/internal/router/lease"
)

const (
	// ineligibleInterval is how often a router that may not compete for the lease checks whether it now may.
	ineligibleInterval = time.Second
	// noGrantorsInterval replaces ineligibleInterval while no grantors are known yet.
	noGrantorsInterval = 50 * time.Millisecond
	// leaseCallTimeout bounds one call to a grantor.
	leaseCallTimeout = leaseDuration / 4
	// minLeasePause and maxLeasePause bound the pause between two steps of the lease loop.
	minLeasePause = 10 * time.Millisecond
	maxLeasePause = 500 * time.Millisecond
	// shutdownTimeout bounds the messages that a stopping router sends.
	shutdownTimeout = 200 * time.Millisecond
)

// runLease competes for the coordinator lease and renews it until the context ends, and then releases it.
func (s *Shares) runLease(ctx context.Context) {
	var wasHeld bool
	var suspended time.Duration
	for {
		pause := s.stepLease(ctx)
		suspended = s.logSuspension(suspended)
		wasHeld = s.logLeaseChange(wasHeld)
		if !s.waitForNextLeaseStep(ctx, pause) {
			s.resign(ctx)
			return
		}
	}
}

// stepLease sends the lease messages that are due and returns the pause until the next step. A router that is not a grantor
// gives up a lease that it holds.
func (s *Shares) stepLease(ctx context.Context) time.Duration {
	grantors := s.refreshGrantors()
	now := s.now()
	s.coordination.Lock()
	candidate := s.coordination.candidate
	if !s.options.MayCoordinate || !slices.Contains(grantors, s.options.Address) {
		candidate.Resign(now)
		messages := candidate.TakeReleases()
		s.coordination.Unlock()
		s.sendLeaseRequests(ctx, messages)
		return ineligiblePause(grantors)
	}
	messages := candidate.Tick(now, lease.Term(time.Now().UnixMilli()))
	next := candidate.NextAt(now)
	s.coordination.Unlock()
	s.sendLeaseRequests(ctx, messages)
	return min(max(next-now, minLeasePause), maxLeasePause)
}

// refreshGrantors applies the acceptors in force, and returns the ones that act as grantors. All acceptors store quota floors.
func (s *Shares) refreshGrantors() []string {
	known, settled := s.options.OnlyCurrentGrantorsKnown(), s.options.GrantorsSettled()
	voters, previous := s.options.Grantors()
	grantors, previousGrantors := lease.OddSubset(voters), lease.OddSubset(previous)
	s.coordination.Lock()
	defer s.coordination.Unlock()
	s.coordination.grantor.SetGrantors(grantors, previousGrantors)
	s.coordination.candidate.SetGrantors(s.now(), grantors, previousGrantors)
	s.coordination.candidate.AllowProof(settled && len(previous) == 0)
	s.coordination.candidate.SetOnlyCurrentGrantorsKnown(known)
	s.coordination.floorKeepers = voters
	if s.coordination.quota != nil {
		s.coordination.quota.SetFloorKeepers(voters)
	}
	return grantors
}

// ineligiblePause returns the pause of a router that may not compete for the lease.
func ineligiblePause(grantors []string) time.Duration {
	if len(grantors) == 0 {
		return noGrantorsInterval
	}
	return ineligibleInterval
}

func (s *Shares) sendLeaseRequests(ctx context.Context, messages []lease.Message) {
	for _, message := range messages {
		s.leaseCalls.Go(func() { s.sendLeaseRequest(ctx, message) })
	}
}

func (s *Shares) sendLeaseRequest(ctx context.Context, message lease.Message) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	reply, err := s.call(ctx, message.To, request{Lease: &message.Request})
	if err != nil || reply.Lease == nil {
		return
	}
	s.coordination.Lock()
	defer s.coordination.Unlock()
	now := s.now()
	s.coordination.candidate.Receive(now, message.To, *reply.Lease)
	if s.coordination.candidate.NextAt(now) <= now {
		s.wakeLease()
	}
}

func (s *Shares) wakeLease() {
	select {
	case s.leaseWake <- struct{}{}:
	default:
	}
}

// waitForNextLeaseStep waits for the pause or until leaseWake is signalled. It returns false if the context has ended.
func (s *Shares) waitForNextLeaseStep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.leaseWake:
		return true
	case <-timer.C:
		return true
	}
}

// resign releases the lease when the router stops, so that another router need not wait until it expires.
func (s *Shares) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	s.coordination.Lock()
	s.coordination.candidate.Resign(s.now())
	messages := s.coordination.candidate.TakeReleases()
	s.coordination.Unlock()
	s.sendLeaseRequests(ctx, messages)
	s.leaseCalls.Wait()
}

// minLoggedSuspension is the shortest suspension of the machine that is logged.
const minLoggedSuspension = 100 * time.Millisecond

// logSuspension logs how much longer the machine has been suspended in total than the total logged before. It returns the
// total logged by now.
func (s *Shares) logSuspension(before time.Duration) time.Duration {
	now := s.clock.Suspended()
	if now-before < minLoggedSuspension {
		return before
	}
	s.options.Log.WithField("seconds", (now - before).Seconds()).Warn("the machine was suspended: leases have run out meanwhile")
	return now
}

// logLeaseChange logs when this router acquires or loses the lease, and returns whether it holds it now.
func (s *Shares) logLeaseChange(wasHeld bool) bool {
	s.coordination.Lock()
	term, held := s.coordination.candidate.Held(s.now())
	s.coordination.Unlock()
	switch {
	case held && !wasHeld:
		s.options.Log.WithField("term", uint64(term)).Info("coordinator lease acquired")
	case wasHeld && !held:
		s.options.Log.Info("coordinator lease lost")
	}
	return held
}
