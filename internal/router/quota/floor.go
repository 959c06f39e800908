package quota

import (
	"slices"
	"time"
)

const (
	// floorFraction is the fraction of a tenant's store that the coordinator leaves ungranted until keepers have stored
	// a lower floor.
	floorFraction = 0.35
	// A floor is lowered when it exceeds lowerAbove of the store, and raised when it is below raiseBelow of it.
	lowerAbove = 0.75
	raiseBelow = 0.12
	// The minimum times from one floor table to the next that lowers a floor, or raises one.
	lowerInterval = 60 * time.Millisecond
	raiseInterval = time.Second
	// minFloorFraction is the fraction of the capacity below which a store gets no floor.
	minFloorFraction = 0.05
)

// TenantFloor is a tenant's part of a floor table. It is encoded as an array: the order of its fields is part of the
// format.
type TenantFloor struct {
	_msgpack struct{} `msgpack:",as_array"`
	Tenant   string
	Floor    float64
}

// FloorTable holds the amounts that the coordinator has promised to leave in the stores. Keepers, which are routers
// with a disk, store it, so that after a restart of the whole fleet the next coordinator can recover these amounts.
type FloorTable struct {
	Term   uint64        `msgpack:"term"`
	Number uint64        `msgpack:"number"`
	Floors []TenantFloor `msgpack:"floors,omitempty"`
}

// After reports whether the table is newer than another.
func (t FloorTable) After(other FloorTable) bool {
	return version{term: t.Term, number: t.Number}.after(version{term: other.Term, number: other.Number})
}

func (t FloorTable) floor(tenant string) float64 {
	for _, entry := range t.Floors {
		if entry.Tenant == tenant {
			return entry.Floor
		}
	}
	return 0
}

// floorTracker is the coordinator's knowledge of the floor tables that keepers have stored. A table counts as kept once
// a majority of the keepers has it: reading from any majority then finds it or a later one.
type floorTracker struct {
	term    uint64
	keepers []string
	// candidates are the tables that a majority may report as its newest: the last one kept, and those after it.
	candidates []FloorTable
	// keptNumbers has the number of the last table of this term that each keeper has stored.
	keptNumbers map[string]uint64
	// earlierTables are the tables of earlier terms that keepers have reported.
	earlierTables map[string]FloorTable
	// newestEarlier is the newest of earlierTables once a majority of the keepers has reported, which sets recovered.
	newestEarlier FloorTable
	recovered     bool
	lastTableAt   time.Duration
}

func newFloorTracker(term uint64) floorTracker {
	return floorTracker{term: term, keptNumbers: map[string]uint64{}, earlierTables: map[string]FloorTable{}}
}

// effectiveFloor returns the highest floor of a tenant in any table that a majority of the keepers may report as
// newest.
func (f *floorTracker) effectiveFloor(tenant string) float64 {
	highest := 0.0
	for _, table := range f.candidates {
		highest = max(highest, table.floor(tenant))
	}
	return highest
}

// latestTable returns the last table made, empty if there is none.
func (f *floorTracker) latestTable() FloorTable {
	if len(f.candidates) == 0 {
		return FloorTable{}
	}
	return f.candidates[len(f.candidates)-1]
}

// recordKept records the table that a keeper reports. It returns true when this makes the tables of earlier terms
// known.
func (f *floorTracker) recordKept(keeper string, table FloorTable) bool {
	if keeper == "" || !slices.Contains(f.keepers, keeper) {
		return false
	}
	if table.Term == f.term {
		f.keptNumbers[keeper] = max(f.keptNumbers[keeper], table.Number)
		f.dropSuperseded()
		return false
	}
	if f.recovered {
		f.recordLate(table)
		return false
	}
	f.earlierTables[keeper] = table
	return f.recoverEarlier()
}

// recordLate records an earlier coordinator's table that was not found, because only a minority of keepers has it.
// Until a majority has a table of this term, it may be found the next time.
func (f *floorTracker) recordLate(table FloorTable) {
	if table.After(f.newestEarlier) && f.candidates[0].Term < f.term {
		f.newestEarlier = table
		f.candidates = slices.Insert(f.candidates, 0, table)
	}
}

// dropSuperseded drops the tables before the last one that a majority has.
func (f *floorTracker) dropSuperseded() {
	for len(f.candidates) > 1 && f.isKeptByMajority(f.candidates[1]) {
		f.candidates = f.candidates[1:]
	}
}

func (f *floorTracker) isKeptByMajority(table FloorTable) bool {
	return f.hasMajority(func(keeper string) bool { return f.keptNumbers[keeper] >= table.Number })
}

func (f *floorTracker) hasMajority(has func(keeper string) bool) bool {
	count := 0
	for _, keeper := range f.keepers {
		if has(keeper) {
			count++
		}
	}
	return count > len(f.keepers)/2
}

// recoverEarlier takes over the newest table of earlier terms once a majority of the keepers has reported.
func (f *floorTracker) recoverEarlier() bool {
	hasReported := func(keeper string) bool {
		_, known := f.earlierTables[keeper]
		return known || f.keptNumbers[keeper] > 0
	}
	if f.recovered || !f.hasMajority(hasReported) {
		return false
	}
	f.recovered = true
	for _, table := range f.earlierTables {
		if table.After(f.newestEarlier) {
			f.newestEarlier = table
		}
	}
	f.candidates = []FloorTable{f.newestEarlier}
	return true
}

// recoveredFloor returns the amount that earlier coordinators have left in a tenant's store.
func (f *floorTracker) recoveredFloor(tenant string) float64 { return f.newestEarlier.floor(tenant) }

// isDue reports whether the floor of a store must change.
func (f *floorTracker) isDue(now time.Duration, tenant string, store float64) bool {
	floor := f.effectiveFloor(tenant)
	if floor > lowerAbove*store {
		return now-f.lastTableAt >= lowerInterval
	}
	return floor < raiseBelow*store && now-f.lastTableAt >= raiseInterval
}

// addTable makes the next table.
func (f *floorTracker) addTable(now time.Duration, floors []TenantFloor) {
	f.lastTableAt = now
	f.candidates = append(f.candidates, FloorTable{Term: f.term, Number: f.latestNumber() + 1, Floors: floors})
}

// latestNumber returns the number of the last table of this term, zero if there is none.
func (f *floorTracker) latestNumber() uint64 {
	if latest := f.latestTable(); latest.Term == f.term {
		return latest.Number
	}
	return 0
}
