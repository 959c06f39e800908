package instances

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/protocol"
)

const (
	testTimeout     = 3 * time.Second
	testForgetAfter = 20 * time.Second
)

var (
	testIDs       = []string{"i-1", "i-2", "i-3"}
	testNodes     = []string{"self", "other-1", "other-2"}
	testAddresses = []string{"10.0.0.1:80", "10.0.0.2:80"}
)

// tableStateMachine applies the same steps to a table and to the reference.
type tableStateMachine struct {
	now       time.Duration
	table     *Table
	reference referenceTable
}

func newTableStateMachine() *tableStateMachine {
	return &tableStateMachine{table: NewTable("self"), reference: referenceTable{self: "self"}}
}

func drawInstance(t *rapid.T) *Instance {
	return &Instance{
		ID:      rapid.SampledFrom(testIDs).Draw(t, "id"),
		Address: rapid.SampledFrom(testAddresses).Draw(t, "address"),
		State:   rapid.SampledFrom(testStates).Draw(t, "state"),
		Seq:     rapid.Int64Range(0, 12).Draw(t, "seq"),
	}
}

// heartbeat receives a heartbeat at this router, possibly out of order or repeated.
func (m *tableStateMachine) heartbeat(t *rapid.T) {
	instance := drawInstance(t)
	expected := m.reference.heartbeatResult(instance)
	assert.Equal(t, m.table.CheckHeartbeat(m.now, instance), expected)
	if expected == Stale {
		return
	}
	version := AliveVersion(instance.Seq)
	m.reference.add(referenceEvent{at: m.now, id: instance.ID, version: version, instance: instance, holder: "self"})
	if expected == Changed {
		m.table.Register(m.now, version, Registration{Instance: *instance, Holder: "self"})
	}
}

// receiveRegistration applies a registration of any holder.
func (m *tableStateMachine) receiveRegistration(t *rapid.T) {
	instance := drawInstance(t)
	holder := rapid.SampledFrom(testNodes).Draw(t, "holder")
	version := AliveVersion(instance.Seq)
	m.table.Register(m.now, version, Registration{Instance: *instance, Holder: holder})
	m.reference.add(referenceEvent{at: m.now, id: instance.ID, version: version, instance: instance, holder: holder})
}

// remove applies a deregistration or the expiry by another router.
func (m *tableStateMachine) remove(t *rapid.T) {
	id := rapid.SampledFrom(testIDs).Draw(t, "id")
	version := DeregisteredVersion()
	if rapid.IntRange(0, 3).Draw(t, "expiry") > 0 {
		version = Version{Heartbeat: rapid.Uint64Range(1, 13).Draw(t, "after"), Expired: expiredBySilence}
	}
	m.table.Remove(m.now, version, id)
	m.reference.add(referenceEvent{at: m.now, id: id, version: version})
}

// expireSilent expires the silent instances.
func (m *tableStateMachine) expireSilent(t *rapid.T) {
	live := map[string]bool{"self": true, "other-1": rapid.Bool().Draw(t, "1"), "other-2": rapid.Bool().Draw(t, "2")}
	forLostHolders := rapid.Bool().Draw(t, "for lost holders")
	m.reference.add(referenceEvent{at: m.now, liveNodes: live})
	expected := m.reference.expired(testIDs, m.now, testTimeout, live, forLostHolders)
	ended := sortByID(m.table.Expired(m.now, testTimeout, func(node string) bool { return live[node] }, forLostHolders))
	assert.DeepEqual(t, ended, expected)
	for _, expiry := range ended {
		m.table.Remove(m.now, expiry.Version, expiry.ID)
		m.reference.add(referenceEvent{at: m.now, id: expiry.ID, version: expiry.Version})
	}
}

func (m *tableStateMachine) wait(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
}

// pauseRouter lets time pass in which the router does not run. A heartbeat may be processed before the router notices.
func (m *tableStateMachine) pauseRouter(t *rapid.T) {
	span := time.Duration(rapid.IntRange(1, 10).Draw(t, "s")) * time.Second
	m.now += span
	if rapid.Bool().Draw(t, "heartbeat first") {
		m.heartbeat(t)
	}
	m.table.ExtendLiveness(m.now, span)
	m.reference.add(referenceEvent{at: m.now, pausedFor: span})
}

func (m *tableStateMachine) forget(*rapid.T) {
	m.table.Forget(m.now, testForgetAfter)
	m.reference.add(referenceEvent{at: m.now, forgetAfter: testForgetAfter})
}

func (m *tableStateMachine) check(t *rapid.T) {
	assert.DeepEqual(t, describeTable(m.table), m.reference.present(testIDs))
	for _, id := range testIDs {
		_, version, held := m.table.Held(id)
		entry := m.reference.entry(id)
		assert.Equal(t, held, entry.present && entry.holder == "self")
		assert.Assert(t, !held || version == entry.version)
	}
}

func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newTableStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat":        machine.heartbeat,
			"get registration": machine.receiveRegistration,
			"end":              machine.remove,
			"list expired":     machine.expireSilent,
			"wait":             machine.wait,
			"freeze":           machine.pauseRouter,
			"forget":           machine.forget,
			"":                 machine.check,
		})
	})
}

// TestEachVisibleChangeIsReported takes a snapshot only if the table reports a visible change, and checks that it stays
// up to date.
func TestEachVisibleChangeIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable("self")
		seen := describeSnapshot(table, testIDs)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			instance := drawInstance(t)
			var changed bool
			if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				changed = table.Remove(0, Version{Heartbeat: AliveVersion(instance.Seq).Heartbeat, Expired: expiredBySilence}, instance.ID)
			} else {
				changed = table.Register(0, AliveVersion(instance.Seq), Registration{Instance: *instance, Holder: "other-1"})
			}
			if changed {
				seen = describeSnapshot(table, testIDs)
			}
			assert.DeepEqual(t, describeSnapshot(table, testIDs), seen)
		}
	})
}

// register registers an instance at a holder by its first heartbeat.
func register(table *Table, at time.Duration, id, holder string) {
	instance := Instance{ID: id, State: protocol.StateReady, Address: testAddresses[0], Seq: 1}
	table.Register(at, AliveVersion(1), Registration{Instance: instance, Holder: holder})
}

func liveNodes(nodes ...string) func(string) bool {
	return func(node string) bool {
		for _, live := range nodes {
			if node == live {
				return true
			}
		}
		return false
	}
}

// TestTimeoutOfLostHoldersInstancesStartsWithTheLoss guards against a mass expiry when a holder is lost: heartbeats
// without changes were known to it alone, and the router that takes over must not count them as missing.
func TestTimeoutOfLostHoldersInstancesStartsWithTheLoss(t *testing.T) {
	table := NewTable("self")
	register(table, 0, "i-1", "other-1")
	assert.Equal(t, len(table.Expired(time.Hour, testTimeout, liveNodes("self", "other-1"), true)), 0)
	lost := time.Hour + time.Second
	assert.Equal(t, len(table.Expired(lost, testTimeout, liveNodes("self"), true)), 0)
	assert.Equal(t, len(table.Expired(lost+testTimeout, testTimeout, liveNodes("self"), false)), 0)
	assert.Equal(t, len(table.Expired(lost+testTimeout, testTimeout, liveNodes("self"), true)), 1)
}

func TestNextHeartbeatRevivesWronglyExpiredInstance(t *testing.T) {
	table := NewTable("self")
	register(table, 0, "i-1", "other-1")
	table.Remove(0, Version{Heartbeat: AliveVersion(1).Heartbeat, Expired: expiredBySilence}, "i-1")
	assert.Equal(t, table.CheckHeartbeat(0, &Instance{ID: "i-1", Seq: 1}), Stale)
	assert.Equal(t, table.CheckHeartbeat(0, &Instance{ID: "i-1", Seq: 2}), Changed)
}

func TestDeregistrationIsFinal(t *testing.T) {
	table := NewTable("self")
	register(table, 0, "i-1", "self")
	assert.Assert(t, table.Remove(0, DeregisteredVersion(), "i-1"))
	for _, seq := range []int64{2, 1 << 40, 1<<63 - 1} {
		assert.Equal(t, table.CheckHeartbeat(0, &Instance{ID: "i-1", Seq: seq}), Stale)
	}
}

func TestInstanceThatReusesAnAddressSurvivesRemovalOfTheFirst(t *testing.T) {
	table := NewTable("self")
	register(table, 0, "i-1", "self")
	register(table, time.Second, "i-2", "self")
	table.Remove(time.Second, DeregisteredVersion(), "i-1")
	assert.DeepEqual(t, describeTable(table), []string{"i-2 10.0.0.1:80 ready self"})
}

// TestVersionOfAnyHeartbeatIsAboveZero: the cluster would replace a zero version by one above all later heartbeats.
func TestVersionOfAnyHeartbeatIsAboveZero(t *testing.T) {
	for _, seq := range []int64{-1, 0, 1} {
		assert.Assert(t, AliveVersion(seq).Newer(Version{}))
	}
	assert.Assert(t, AliveVersion(1).Newer(AliveVersion(0)))
}
