package shares

import (
	"context"
	"slices"
	"time"

	"pewterrudder/internal/router/lease"
)

const (
	// bystandEvery is how often a router that may not compete looks whether it may.
	bystandEvery = time.Second
	// unknownEvery is the same while the grantors are not known yet.
	unknownEvery = 50 * time.Millisecond
	// leaseCallTimeout bounds the wait for a grantor.
	leaseCallTimeout = leaseDuration / 4
	// leaseLoopLeast and leaseLoopMost bound the pauses of the lease loop.
	leaseLoopLeast = 10 * time.Millisecond
	leaseLoopMost  = 500 * time.Millisecond
	// farewellTimeout bounds the last messages of a router that stops.
	farewellTimeout = 200 * time.Millisecond
)

// runLease competes for the lease and renews it.
func (s *Shares) runLease(ctx context.Context) {
	var wasHeld bool
	var suspended time.Duration
	for {
		pause := s.stepLease(ctx)
		suspended = s.logSuspension(suspended)
		wasHeld = s.logChange(wasHeld)
		if !s.pauseLease(ctx, pause) {
			s.resign(ctx)
			return
		}
	}
}

// stepLease sends the messages that are due and returns the time until the next step.
func (s *Shares) stepLease(ctx context.Context) time.Duration {
	grantors := s.refreshGrantors()
	now := s.now()
	s.role.Lock()
	candidate := s.role.candidate
	if !s.options.MayCoordinate || !slices.Contains(grantors, s.options.Address) {
		candidate.Resign(now)
		messages := candidate.Released()
		s.role.Unlock()
		s.sendLeases(ctx, messages)
		return bystandPause(grantors)
	}
	messages := candidate.Tick(now, lease.Term(time.Now().UnixMilli()))
	next := candidate.NextAt(now)
	s.role.Unlock()
	s.sendLeases(ctx, messages)
	return min(max(next-now, leaseLoopLeast), leaseLoopMost)
}

// refreshGrantors takes over the acceptors in force and returns the grantors among them. All acceptors keep floors.
func (s *Shares) refreshGrantors() []string {
	known, settled := s.options.GrantorsKnown(), s.options.GrantorsSettled()
	voters, previous := s.options.Grantors()
	grantors, before := lease.OddGrantors(voters), lease.OddGrantors(previous)
	s.role.Lock()
	defer s.role.Unlock()
	s.role.grantor.SetGrantors(grantors, before)
	s.role.candidate.SetGrantors(s.now(), grantors, before)
	s.role.candidate.AllowProof(settled && len(previous) == 0)
	s.role.candidate.SetGrantorsKnown(known)
	s.role.keepers = voters
	if s.role.quota != nil {
		s.role.quota.SetKeepers(voters)
	}
	return grantors
}

// bystandPause is the pause of a router that may not compete.
func bystandPause(grantors []string) time.Duration {
	if len(grantors) == 0 {
		return unknownEvery
	}
	return bystandEvery
}

func (s *Shares) sendLeases(ctx context.Context, messages []lease.Message) {
	for _, message := range messages {
		s.calls.Go(func() { s.sendLease(ctx, message) })
	}
}

func (s *Shares) sendLease(ctx context.Context, message lease.Message) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	reply, err := s.call(ctx, message.To, request{Lease: &message.Request})
	if err != nil || reply.Lease == nil {
		return
	}
	s.role.Lock()
	defer s.role.Unlock()
	now := s.now()
	s.role.candidate.Receive(now, message.To, *reply.Lease)
	if s.role.candidate.NextAt(now) <= now {
		s.wakeLease()
	}
}

func (s *Shares) wakeLease() {
	select {
	case s.leaseWake <- struct{}{}:
	default:
	}
}

// pauseLease waits until the next step is due or called for, and tells whether the context still stands.
func (s *Shares) pauseLease(ctx context.Context, pause time.Duration) bool {
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

// resign gives the lease up when the router stops, so that another need not wait for its end.
func (s *Shares) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewellTimeout)
	defer cancel()
	s.role.Lock()
	s.role.candidate.Resign(s.now())
	messages := s.role.candidate.Released()
	s.role.Unlock()
	s.sendLeases(ctx, messages)
	s.calls.Wait()
}

// loggedSuspension is the least suspension of the machine that is logged.
const loggedSuspension = 100 * time.Millisecond

// logSuspension logs that the machine was suspended since the sum given, and returns the sum logged.
func (s *Shares) logSuspension(before time.Duration) time.Duration {
	now := s.clock.Suspended()
	if now-before < loggedSuspension {
		return before
	}
	s.options.Log.WithField("seconds", (now - before).Seconds()).Warn("the machine was suspended: leases have run out meanwhile")
	return now
}

func (s *Shares) logChange(wasHeld bool) bool {
	s.role.Lock()
	term, held := s.role.candidate.Held(s.now())
	s.role.Unlock()
	switch {
	case held && !wasHeld:
		s.options.Log.WithField("term", uint64(term)).Info("coordinator lease acquired")
	case wasHeld && !held:
		s.options.Log.Info("coordinator lease lost")
	}
	return held
}

// sleep waits and tells whether the context still stands.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
