package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a detector with a simulated clock.
type fixture struct {
	t        *testing.T
	detector *Detector
	now      time.Time
}

// newFixture returns a detector of the node "self" that knows the other nodes. It monitors all of them if there are at
// most three.
func newFixture(t *testing.T, others ...string) *fixture {
	f := &fixture{t: t, detector: NewDetector(Member{Node: "self", Incarnation: 7}, start), now: start}
	for _, node := range others {
		f.detector.Merge(aliveEntry(node, 1), f.now)
	}
	f.detector.Refresh(f.now)
	return f
}

func aliveEntry(node string, incarnation uint64) Entry {
	return Entry{Member: Member{Node: node, Incarnation: incarnation}, By: node}
}

func withStatus(entry Entry, status Status, by string) Entry {
	entry.Status, entry.By = status, by
	return entry
}

// tick advances the clock by one heartbeat interval and merges the entries that the detector publishes.
func (f *fixture) tick() Actions {
	f.now = f.now.Add(HeartbeatEvery)
	actions := f.detector.Tick(f.now)
	for _, entry := range actions.Publish {
		f.detector.Merge(entry, f.now)
	}
	f.detector.Refresh(f.now)
	return actions
}

// ticksUntil returns the number of ticks until an entry with the status is published.
func (f *fixture) ticksUntil(status Status) int {
	for count := 1; count < 100; count++ {
		for _, entry := range f.tick().Publish {
			if entry.Status == status {
				return count
			}
		}
	}
	f.t.Fatalf("no entry with status %v was published", status)
	return 0
}

// expectNoPublication fails the test if anything is published within the duration, while the given nodes send heartbeats.
func (f *fixture) expectNoPublication(duration time.Duration, heard ...string) {
	f.t.Helper()
	for end := f.now.Add(duration); f.now.Before(end); {
		for _, node := range heard {
			f.detector.RecordAlive(node, 1, f.now)
		}
		assert.Equal(f.t, len(f.tick().Publish), 0)
	}
}

func (f *fixture) isLive(node string) bool {
	_, live := f.detector.View().Get(node)
	return live
}

func TestSilentMemberFails(t *testing.T) {
	f := newFixture(t, "other")
	suspected := f.ticksUntil(Suspect)
	assert.Equal(t, time.Duration(suspected)*HeartbeatEvery, 1250*time.Millisecond)
	assert.Assert(t, f.isLive("other"))
	failed := f.ticksUntil(Failed)
	assert.Equal(t, time.Duration(failed)*HeartbeatEvery, time.Second)
	assert.Assert(t, !f.isLive("other"))
	failedMember, _ := f.detector.View().GetFailed("other")
	assert.Equal(t, failedMember.Silence(f.now), 2250*time.Millisecond)
}

func TestHeartbeatsKeepMemberAlive(t *testing.T) {
	f := newFixture(t, "other")
	f.expectNoPublication(10*time.Second, "other")
}

// TestProbeComesBeforeSuspicion checks that a silent member is probed, and that a reply to the probe counts like a
// heartbeat.
func TestProbeComesBeforeSuspicion(t *testing.T) {
	f := newFixture(t, "other")
	for range 40 {
		actions := f.tick()
		assert.Equal(t, len(actions.Publish), 0)
		for _, member := range actions.Probe {
			f.detector.RecordAlive(member.Node, 1, f.now)
		}
	}
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.detector.Merge(aliveEntry("other", 5), f.now)
	f.detector.Refresh(f.now)
	for range 3 {
		f.tick()
		f.detector.RecordAlive("other", 4, f.now)
	}
	f.ticksUntil(Suspect)
}

func TestSecondMonitorFailsEarlier(t *testing.T) {
	f := newFixture(t, "other", "monitor")
	for range 4 {
		f.tick()
		f.detector.RecordAlive("monitor", 1, f.now)
	}
	f.detector.Merge(withStatus(aliveEntry("other", 1), Suspect, "monitor"), f.now)
	failed := f.ticksUntil(Failed)
	assert.Assert(t, time.Duration(failed)*HeartbeatEvery < refutationTimeout)
}

// TestMonitorThatHearsMemberDoesNotFailIt checks that a monitor that receives heartbeats from a member does not fail it
// because of another monitor's suspicion.
func TestMonitorThatHearsMemberDoesNotFailIt(t *testing.T) {
	f := newFixture(t, "other", "monitor")
	f.expectNoPublication(time.Second, "other", "monitor")
	f.detector.Merge(withStatus(aliveEntry("other", 1), Suspect, "monitor"), f.now)
	f.expectNoPublication(5*time.Second, "other", "monitor")
}

func TestRefutation(t *testing.T) {
	f := newFixture(t, "other")
	for _, status := range []Status{Suspect, Failed} {
		entry := withStatus(f.detector.Self(), status, "other")
		actions := f.detector.Merge(entry, f.now)
		assert.Equal(t, len(actions.Publish), 1)
		refutation := actions.Publish[0]
		assert.Equal(t, refutation.Status, Alive)
		assert.Assert(t, refutation.overrides(entry))
	}
	f.detector.Leave()
	actions := f.detector.Merge(withStatus(f.detector.Self(), Failed, "other"), f.now)
	assert.Equal(t, len(actions.Publish), 0)
}

// TestOwnIncarnationExceedsPublishedOne checks that a router whose clock went back continues with an incarnation above
// the one that the fleet knows.
func TestOwnIncarnationExceedsPublishedOne(t *testing.T) {
	f := newFixture(t, "other")
	actions := f.detector.Merge(aliveEntry("self", 100), f.now)
	assert.Equal(t, actions.Publish[0].Member.Incarnation, uint64(101))
	actions = f.detector.Merge(actions.Publish[0], f.now)
	assert.Equal(t, len(actions.Publish), 0)
}

func TestRefutedMemberIsAlive(t *testing.T) {
	f := newFixture(t, "other")
	f.ticksUntil(Failed)
	f.detector.Merge(aliveEntry("other", 2), f.now)
	f.detector.Refresh(f.now)
	assert.Assert(t, f.isLive("other"))
	f.detector.Merge(withStatus(aliveEntry("other", 1), Failed, "x"), f.now)
	f.detector.Refresh(f.now)
	assert.Assert(t, f.isLive("other"))
}

// TestLateTickDelaysSuspicion checks that a router that was itself delayed publishes no suspicion for some time.
func TestLateTickDelaysSuspicion(t *testing.T) {
	f := newFixture(t, "other")
	f.expectNoPublication(time.Second, "other")
	f.now = f.now.Add(5 * time.Second)
	f.expectNoPublication(suspectSilence)
	f.ticksUntil(Suspect)
}

// TestFailureByNonLiveMemberIsDelayed checks that after a network partition, failures published by the other side take
// effect only after the members concerned had time to refute them.
func TestFailureByNonLiveMemberIsDelayed(t *testing.T) {
	f := newFixture(t, "near", "far")
	f.detector.Merge(withStatus(aliveEntry("far", 1), Failed, "self"), f.now)
	f.detector.Merge(withStatus(aliveEntry("near", 1), Failed, "far"), f.now)
	f.detector.Refresh(f.now)
	assert.Assert(t, f.isLive("near"))
	for range nonLiveReporterDelay/HeartbeatEvery + 1 {
		f.tick()
	}
	assert.Assert(t, !f.isLive("near"))

	f.detector.Merge(aliveEntry("near", 2), f.now)
	f.detector.Merge(aliveEntry("far", 2), f.now)
	f.detector.Merge(withStatus(aliveEntry("near", 2), Failed, "far"), f.now)
	f.detector.Refresh(f.now)
	assert.Assert(t, !f.isLive("near"))
}

func TestHeardReportsMemberNotAlive(t *testing.T) {
	f := newFixture(t, "other")
	assert.Assert(t, !f.detector.RecordAlive("other", 1, f.now))
	f.ticksUntil(Failed)
	assert.Assert(t, f.detector.RecordAlive("other", 1, f.now))
}

// TestExpiredMemberIsRemoved checks that the removal of a member that failed long ago is requested, by the next member
// on the ring, and not again after the removal.
func TestExpiredMemberIsRemoved(t *testing.T) {
	f := newFixture(t, "other")
	f.ticksUntil(Failed)
	f.now = f.now.Add(failedRetention)
	actions := f.tick()
	assert.Equal(t, len(actions.Remove), 1)
	f.detector.Remove("other")
	assert.Equal(t, len(f.tick().Remove), 0)
	assert.Assert(t, !f.detector.Knows("other"))
}

func TestReconnect(t *testing.T) {
	f := newFixture(t, "lost", "left")
	f.detector.Merge(withStatus(aliveEntry("lost", 1), Failed, "self"), f.now)
	f.detector.Merge(withStatus(aliveEntry("left", 1), Left, "left"), f.now)
	f.detector.Refresh(f.now)
	reconnect := f.detector.Reconnect()
	assert.Equal(t, len(reconnect), 1)
	assert.Equal(t, reconnect[0].Node, "lost")
}

func TestUpdateSelf(t *testing.T) {
	f := newFixture(t)
	before := f.detector.Self()
	after := f.detector.UpdateSelf(func(m *Member) { m.AcceptorID = "replica" })
	assert.Assert(t, after.overrides(before))
	f.detector.Refresh(f.now)
	assert.Equal(t, f.detector.View().Self().AcceptorID, "replica")
}
