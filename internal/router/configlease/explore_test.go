package configlease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The exploration visits all reachable states of a small model: an operator revokes a key, a coordinator reads the register and
// answers a router with its confirmation, messages take any time or are lost, and revisions reach both at any time or never. In
// each state a request with the revoked key may arrive at the router.

const (
	tickDuration       = time.Second
	revocationBound    = 3 * tickDuration
	lastTick           = 7
	revisionWithoutKey = 2 // the revision that revokes the key
)

// fault is a fault planted in the model, which the exploration must find.
type fault int

const (
	noFault fault = iota
	ageCountedFromArrival
	relayResetsAge
	clockSetBack
	countedBeforeApplied
	readCountedFromItsEnd
)

// state is one state of the model. Times are in ticks; -1 means not yet, or no read or request in progress.
type state struct {
	now                 int
	revokedAt           int
	coordinator, router leaseState
	readAt              int // when the coordinator began its read
	requestedAt         int // when the router sent its request
	answer              Confirmation
	isAnswered          bool
}

// leaseState is the state of a Lease as a comparable value. At most one confirmation, of revision 2, is pending.
type leaseState struct {
	appliedRevision uint64
	isConfirmed     bool
	confirmedAt     time.Duration
	hasPending      bool
	pendingAt       time.Duration
}

func (l leaseState) lease() *Lease {
	lease := New(revocationBound)
	lease.appliedRevision, lease.isConfirmed, lease.confirmedAt = l.appliedRevision, l.isConfirmed, l.confirmedAt
	if l.hasPending {
		lease.pending = []localConfirmation{{revision: revisionWithoutKey, at: l.pendingAt}}
	}
	return lease
}

func captureState(lease *Lease) leaseState {
	l := leaseState{appliedRevision: lease.appliedRevision, isConfirmed: lease.isConfirmed, confirmedAt: lease.confirmedAt}
	for _, confirmation := range lease.pending {
		if !l.hasPending || confirmation.at > l.pendingAt {
			l.hasPending, l.pendingAt = true, confirmation.at
		}
	}
	return l
}

func (s *state) elapsed() time.Duration { return time.Duration(s.now) * tickDuration }

// newest returns the newest revision in the register.
func (s *state) newest() uint64 {
	if s.revokedAt >= 0 {
		return revisionWithoutKey
	}
	return revisionWithoutKey - 1
}

// explore visits every reachable state once. It returns the first one in which a revoked key is accepted, or nil, and the number
// of states.
func explore(planted fault) (violation *state, states int) {
	start := state{revokedAt: -1, readAt: -1, requestedAt: -1}
	start.coordinator.appliedRevision, start.router.appliedRevision = revisionWithoutKey-1, revisionWithoutKey-1
	visited := map[state]bool{start: true}
	waiting := []state{start}
	for len(waiting) > 0 {
		at := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		if at.admitsRevokedKey(planted) {
			return &at, len(visited)
		}
		for _, next := range at.successors(planted) {
			if !visited[next] {
				visited[next] = true
				waiting = append(waiting, next)
			}
		}
	}
	return nil, len(visited)
}

// admitsRevokedKey reports whether a request with the key would run now although the key was revoked longer ago than the bound.
func (s *state) admitsRevokedKey(planted fault) bool {
	if s.revokedAt < 0 || s.elapsed()-time.Duration(s.revokedAt)*tickDuration <= revocationBound {
		return false
	}
	clock := s.elapsed()
	if planted == clockSetBack {
		clock -= 2 * tickDuration // the time of day was set back
	}
	return s.router.appliedRevision < revisionWithoutKey && s.router.lease().IsValid(clock)
}

// successors returns all states that may follow.
func (s *state) successors(planted fault) []state {
	var next []state
	step := func(change func(*state)) {
		changed := *s
		change(&changed)
		next = append(next, changed)
	}
	if s.now < lastTick {
		step(func(c *state) { c.now++ })
	}
	if s.revokedAt < 0 {
		step(func(c *state) { c.revokedAt = c.now })
	}
	if s.readAt < 0 {
		step(func(c *state) { c.readAt = c.now })
	} else {
		step(func(c *state) { c.finishRead(planted) })
		step(func(c *state) { c.readAt = -1 })
	}
	for _, of := range []func(*state) *leaseState{(*state).coordinatorState, (*state).routerState} {
		if of(s).appliedRevision < s.newest() {
			step(func(c *state) { of(c).update(func(lease *Lease) { lease.Apply(c.newest()) }) })
		}
	}
	switch {
	case s.requestedAt < 0:
		step(func(c *state) { c.requestedAt = c.now })
	case !s.isAnswered:
		step(func(c *state) { c.answerRouter(planted) })
	default:
		step(func(c *state) { c.receiveAnswer(planted) })
	}
	return next
}

func (s *state) coordinatorState() *leaseState { return &s.coordinator }
func (s *state) routerState() *leaseState      { return &s.router }

func (l *leaseState) update(change func(*Lease)) {
	lease := l.lease()
	change(lease)
	*l = captureState(lease)
}

// finishRead completes a read. It finds the revision that was the newest when the read began, the oldest one it may return.
func (s *state) finishRead(planted fault) {
	began := s.readAt
	s.readAt = -1
	found := uint64(revisionWithoutKey - 1)
	if s.revokedAt >= 0 && s.revokedAt <= began {
		found = revisionWithoutKey
	}
	if planted == readCountedFromItsEnd {
		began = s.now
	}
	s.coordinator.update(func(lease *Lease) {
		lease.AddConfirmation(time.Duration(began)*tickDuration, Confirmation{Revision: found})
	})
}

// answerRouter has the coordinator answer the router's request.
func (s *state) answerRouter(planted fault) {
	confirmation, ok := s.coordinator.lease().LatestConfirmation(s.elapsed())
	if !ok {
		s.requestedAt = -1
		return
	}
	if planted == relayResetsAge {
		confirmation.Age = 0
	}
	s.answer, s.isAnswered = confirmation, true
}

// receiveAnswer has the coordinator's answer arrive at the router.
func (s *state) receiveAnswer(planted fault) {
	sentAt := time.Duration(s.requestedAt) * tickDuration
	if planted == ageCountedFromArrival {
		sentAt = s.elapsed()
	}
	confirmation := s.answer
	if planted == countedBeforeApplied {
		confirmation.Revision = 0
	}
	s.router.update(func(lease *Lease) { lease.AddConfirmation(sentAt, confirmation) })
	s.requestedAt, s.answer, s.isAnswered = -1, Confirmation{}, false
}

func TestNoStateAdmitsRevokedKey(t *testing.T) {
	violation, states := explore(noFault)
	assert.Assert(t, violation == nil, "%+v", violation)
	assert.Assert(t, states > 100_000, "%d states", states)
}

func TestExplorationFindsPlantedFaults(t *testing.T) {
	for name, planted := range map[string]fault{
		"age counted from arrival": ageCountedFromArrival, "passing on resets the age": relayResetsAge, "clock set back": clockSetBack,
		"counted before the revision is applied": countedBeforeApplied, "read counted from its end": readCountedFromItsEnd,
	} {
		t.Run(name, func(t *testing.T) {
			violation, states := explore(planted)
			assert.Assert(t, violation != nil, "not found in %d states", states)
			t.Log(fmt.Sprintf("found after %d states: %+v", states, *violation))
		})
	}
}
