package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var floorKeepers = []string{"a", "b", "c"}

// floorModel is one state of a model of a coordinator with floors, three keepers and their disks.
type floorModel struct {
	tracker floorTracker
	store   int
	// ungranted is the amount that has not been granted, whether a coordinator knows of it or not.
	ungranted int
	disks     map[string]FloorTable
	// restartsLeft is how often the whole fleet may still restart.
	restartsLeft int
	tablesMade   int
}

const (
	modelStore       = 2
	modelMaxTables   = 2
	modelMaxRestarts = 2
)

func newFloorModel() *floorModel {
	model := &floorModel{tracker: newFloorTracker(1), store: modelStore, ungranted: modelStore, disks: map[string]FloorTable{}, restartsLeft: modelMaxRestarts}
	model.tracker.keepers = floorKeepers
	for _, keeper := range floorKeepers {
		model.tracker.recordKept(keeper, FloorTable{})
	}
	return model
}

func (m *floorModel) clone() *floorModel {
	next := *m
	next.tracker.candidates = slices.Clone(m.tracker.candidates)
	next.tracker.keptNumbers = map[string]uint64{}
	for keeper, number := range m.tracker.keptNumbers {
		next.tracker.keptNumbers[keeper] = number
	}
	next.tracker.earlierTables = map[string]FloorTable{}
	for keeper, table := range m.tracker.earlierTables {
		next.tracker.earlierTables[keeper] = table
	}
	next.disks = map[string]FloorTable{}
	for keeper, table := range m.disks {
		next.disks[keeper] = table
	}
	return &next
}

func (m *floorModel) key() string {
	return fmt.Sprint(m.tracker.term, m.tracker.candidates, m.tracker.keptNumbers, m.tracker.recovered, m.tracker.newestEarlier, m.tracker.earlierTables, m.store, m.ungranted, m.disks, m.restartsLeft, m.tablesMade)
}

// successors returns the states that may follow: one unit is granted, a table with any floor is made, a keeper writes
// the newest table, a keeper reports its table, or the whole fleet restarts, after which the keepers may report in any
// order.
func (m *floorModel) successors() []*floorModel {
	var next []*floorModel
	step := func(change func(m *floorModel)) {
		follower := m.clone()
		change(follower)
		next = append(next, follower)
	}
	if float64(m.store) > m.tracker.effectiveFloor("t") {
		step(func(m *floorModel) {
			m.store--
			m.ungranted--
		})
	}
	for floor := range m.store + 1 {
		if m.tracker.recovered && m.tablesMade < modelMaxTables {
			step(func(m *floorModel) {
				m.tablesMade++
				m.tracker.addTable(0, []TenantFloor{{Tenant: "t", Floor: float64(floor)}})
			})
		}
	}
	for _, keeper := range floorKeepers {
		if latest := m.tracker.latestTable(); latest.Term == m.tracker.term && latest.After(m.disks[keeper]) {
			step(func(m *floorModel) { m.disks[keeper] = latest })
		}
		step(func(m *floorModel) {
			if m.tracker.recordKept(keeper, m.disks[keeper]) {
				m.store += int(m.tracker.recoveredFloor("t"))
			}
		})
	}
	if m.restartsLeft > 0 {
		step(func(m *floorModel) {
			m.restartsLeft--
			m.tracker = newFloorTracker(m.tracker.term + 1)
			m.tracker.keepers = floorKeepers
			m.store = 0
		})
	}
	return next
}

// maxRecoverable returns the highest floor that a majority of the disks may report after a restart.
func (m *floorModel) maxRecoverable() float64 {
	highest := 0.0
	for left := range floorKeepers {
		var newest FloorTable
		for i, keeper := range floorKeepers {
			if i != left && m.disks[keeper].After(newest) {
				newest = m.disks[keeper]
			}
		}
		highest = max(highest, newest.floor("t"))
	}
	return highest
}

// TestNothingIsFoundTwice explores every order of grants, tables, writes, reports and restarts. Neither the
// coordinator's store nor what a majority of the disks may report ever exceeds the amount that has not been granted;
// otherwise a restart would grant an amount twice.
func TestNothingIsFoundTwice(t *testing.T) {
	seen := map[string]bool{}
	pending := []*floorModel{newFloorModel()}
	for len(pending) > 0 {
		model := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if key := model.key(); seen[key] {
			continue
		} else {
			seen[key] = true
		}
		assert.Assert(t, model.store <= model.ungranted, "%s", model.key())
		assert.Assert(t, model.maxRecoverable() <= float64(model.ungranted), "%s", model.key())
		pending = append(pending, model.successors()...)
	}
	t.Logf("%d states", len(seen))
	assert.Assert(t, len(seen) > 5000)
}

func TestFloorsAreLoweredOnceKept(t *testing.T) {
	book := newFloorTracker(7)
	book.keepers = floorKeepers
	assert.Assert(t, !book.recordKept("a", FloorTable{}))
	assert.Assert(t, !book.recordKept("x", FloorTable{}), "not a keeper")
	assert.Assert(t, book.recordKept("b", FloorTable{Term: 3, Number: 2, Floors: []TenantFloor{{Tenant: "t", Floor: 40}}}))
	assert.Equal(t, book.recoveredFloor("t"), 40.0)
	assert.Equal(t, book.effectiveFloor("t"), 40.0)
	book.addTable(0, []TenantFloor{{Tenant: "t", Floor: 10}})
	lower := book.latestTable()
	assert.Equal(t, lower.Number, uint64(1))
	book.recordKept("a", lower)
	assert.Equal(t, book.effectiveFloor("t"), 40.0, "one of three has it")
	book.recordKept("c", lower)
	assert.Equal(t, book.effectiveFloor("t"), 10.0)
	book.addTable(0, []TenantFloor{{Tenant: "t", Floor: 30}})
	assert.Equal(t, book.effectiveFloor("t"), 30.0, "a higher floor applies at once")
}

// TestFloorOfMinorityTableIsHeld checks that a table that the first majority did not report is held back too, since it
// may be found the next time.
func TestFloorOfMinorityTableIsHeld(t *testing.T) {
	book := newFloorTracker(7)
	book.keepers = floorKeepers
	book.recordKept("a", FloorTable{})
	book.recordKept("b", FloorTable{})
	book.recordKept("c", FloorTable{Term: 3, Number: 2, Floors: []TenantFloor{{Tenant: "t", Floor: 40}}})
	assert.Equal(t, book.effectiveFloor("t"), 40.0)
	assert.Equal(t, book.recoveredFloor("t"), 40.0)
}

func TestFloorsFollowTheStore(t *testing.T) {
	book := newFloorTracker(1)
	book.keepers = []string{"a"}
	book.recordKept("a", FloorTable{})
	assert.Assert(t, book.isDue(raiseInterval, "t", 100), "there is none yet")
	book.addTable(raiseInterval, []TenantFloor{{Tenant: "t", Floor: 35}})
	book.recordKept("a", book.latestTable())
	for store, isDue := range map[float64]bool{100: false, 50: false, 40: true, 0: true, 280: false, 300: true} {
		assert.Equal(t, book.isDue(3*raiseInterval, "t", store), isDue, "store %v", store)
	}
	assert.Assert(t, !book.isDue(raiseInterval+lowerInterval-1, "t", 0))
	assert.Assert(t, !book.isDue(2*raiseInterval-time.Millisecond, "t", 1000))
}
