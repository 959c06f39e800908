package configlease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The explorer goes through all orders of a small world: an operator takes a key away, a coordinator reads the register and tells a
// router what it knows, messages take any time or are lost, and revisions reach both whenever they like or never. At each
// moment a request with the key that was taken away may come to the router.

const (
	tick       = time.Second
	worldBound = 3 * tick
	worldEnd   = 7
	without    = 2 // the revision that has the key no more
)

// fault is a planted one.
type fault int

const (
	none fault = iota
	ageAtArrival
	relayRenews
	clockStep
	countedBeforeApplied
	readCountsAtItsEnd
)

// world is one state. Times are ticks; -1 is never.
type world struct {
	now                 int
	revokedAt           int
	coordinator, router member
	readAt              int // when the coordinator began its read
	askedAt             int // when the router asked
	answer              Confirmation
	isAnswered          bool
}

// member is a lease's state in plain values. A confirmation of revision 2 may wait.
type member struct {
	applied   uint64
	holds     bool
	from      time.Duration
	waits     bool
	waitsFrom time.Duration
}

func (m member) lease() *Lease {
	lease := New(worldBound)
	lease.applied, lease.holds, lease.from = m.applied, m.holds, m.from
	if m.waits {
		lease.waiting = []confirmed{{revision: without, at: m.waitsFrom}}
	}
	return lease
}

func memberOf(lease *Lease) member {
	m := member{applied: lease.applied, holds: lease.holds, from: lease.from}
	for _, known := range lease.waiting {
		if !m.waits || known.at > m.waitsFrom {
			m.waits, m.waitsFrom = true, known.at
		}
	}
	return m
}

func (w *world) time() time.Duration { return time.Duration(w.now) * tick }

// newest is the register's revision.
func (w *world) newest() uint64 {
	if w.revokedAt >= 0 {
		return without
	}
	return without - 1
}

// explore visits every state once and returns the first in which a request runs that must not.
func explore(planted fault) (violation *world, states int) {
	start := world{revokedAt: -1, readAt: -1, askedAt: -1}
	start.coordinator.applied, start.router.applied = without-1, without-1
	visited := map[world]bool{start: true}
	waiting := []world{start}
	for len(waiting) > 0 {
		at := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		if at.runsTooLate(planted) {
			return &at, len(visited)
		}
		for _, next := range at.steps(planted) {
			if !visited[next] {
				visited[next] = true
				waiting = append(waiting, next)
			}
		}
	}
	return nil, len(visited)
}

// runsTooLate tells whether a request with the key that was taken away would run now although it must not.
func (w *world) runsTooLate(planted fault) bool {
	if w.revokedAt < 0 || w.time()-time.Duration(w.revokedAt)*tick <= worldBound {
		return false
	}
	clock := w.time()
	if planted == clockStep {
		clock -= 2 * tick // the time of day was set back
	}
	return w.router.applied < without && w.router.lease().Holds(clock)
}

// steps are all the states that may follow.
func (w *world) steps(planted fault) []world {
	var next []world
	step := func(change func(*world)) {
		changed := *w
		change(&changed)
		next = append(next, changed)
	}
	if w.now < worldEnd {
		step(func(c *world) { c.now++ })
	}
	if w.revokedAt < 0 {
		step(func(c *world) { c.revokedAt = c.now })
	}
	if w.readAt < 0 {
		step(func(c *world) { c.readAt = c.now })
	} else {
		step(func(c *world) { c.finishRead(planted) })
		step(func(c *world) { c.readAt = -1 })
	}
	for _, of := range []func(*world) *member{(*world).theCoordinator, (*world).theRouter} {
		if of(w).applied < w.newest() {
			step(func(c *world) { of(c).change(func(lease *Lease) { lease.Apply(c.newest()) }) })
		}
	}
	switch {
	case w.askedAt < 0:
		step(func(c *world) { c.askedAt = c.now })
	case !w.isAnswered:
		step(func(c *world) { c.tell(planted) })
	default:
		step(func(c *world) { c.hear(planted) })
	}
	return next
}

func (w *world) theCoordinator() *member { return &w.coordinator }
func (w *world) theRouter() *member      { return &w.router }

func (m *member) change(change func(*Lease)) {
	lease := m.lease()
	change(lease)
	*m = memberOf(lease)
}

// finishRead ends a read, which has found what was the newest at its begin, or later.
func (w *world) finishRead(planted fault) {
	begun := w.readAt
	w.readAt = -1
	found := uint64(without - 1)
	if w.revokedAt >= 0 && w.revokedAt <= begun {
		found = without
	}
	if planted == readCountsAtItsEnd {
		begun = w.now
	}
	w.coordinator.change(func(lease *Lease) { lease.Confirm(time.Duration(begun)*tick, Confirmation{Revision: found}) })
}

// tell has the coordinator answer the router.
func (w *world) tell(planted fault) {
	told, ok := w.coordinator.lease().Tell(w.time())
	if !ok {
		w.askedAt = -1
		return
	}
	if planted == relayRenews {
		told.Age = 0
	}
	w.answer, w.isAnswered = told, true
}

// hear has the answer arrive.
func (w *world) hear(planted fault) {
	asked := time.Duration(w.askedAt) * tick
	if planted == ageAtArrival {
		asked = w.time()
	}
	told := w.answer
	if planted == countedBeforeApplied {
		told.Revision = 0
	}
	w.router.change(func(lease *Lease) { lease.Confirm(asked, told) })
	w.askedAt, w.answer, w.isAnswered = -1, Confirmation{}, false
}

func TestNoOrderRunsARequestWithAKeyThatWasTakenAway(t *testing.T) {
	violation, states := explore(none)
	assert.Assert(t, violation == nil, "%+v", violation)
	assert.Assert(t, states > 100_000, "%d states", states)
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for name, planted := range map[string]fault{
		"age taken at arrival": ageAtArrival, "relay that renews by itself": relayRenews, "clock step": clockStep,
		"counted before its revision is applied": countedBeforeApplied, "read that counts at its end": readCountsAtItsEnd,
	} {
		t.Run(name, func(t *testing.T) {
			violation, states := explore(planted)
			assert.Assert(t, violation != nil, "not found in %d states", states)
			t.Log(fmt.Sprintf("found after %d states: %+v", states, *violation))
		})
	}
}
