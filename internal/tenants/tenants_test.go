package tenants

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// announcedSize is the number of tenants that the project promises to support.
const announcedSize = 300_000

// tenantName returns a name of sixteen bytes.
func tenantName(i int) string { return fmt.Sprintf("tenant-%09d", i) }

func tenantTerms(i int) Terms { return Terms{Quota: float64(i%997) + 0.5, Share: 1 / float64(i+1)} }

func newTable(n int) *Table {
	t := new(Table)
	for i := range n {
		t.Put(tenantName(i), tenantTerms(i), int64(i), uint32(i))
	}
	return t
}

// modelEntry is an entry of the map that the table is compared with.
type modelEntry struct {
	id int
	Terms
	revision int64
	checksum uint32
}

// checkAgainstModel compares the table with the model: each name by lookup, and all entries by iteration.
func checkAgainstModel(t rapid.TB, table *Table, model map[string]modelEntry, names []string) {
	for _, name := range names {
		want, there := model[name]
		got, ok := table.Find(name)
		revision, checksum, hasVersion := table.Version(name)
		if ok != there || hasVersion != there || there && (got != Tenant{want.id, want.Terms} || revision != want.revision || checksum != want.checksum) {
			t.Fatalf("%q: %v %v, revision %d, checksum %d; the model has %v %v", name, got, ok, revision, checksum, want, there)
		}
	}
	if table.Len() != len(model) {
		t.Fatalf("%d tenants, the model has %d", table.Len(), len(model))
	}
	seen := map[string]bool{}
	for name, got := range table.All() {
		if want, ok := model[name]; !ok || seen[name] || got != (Tenant{want.id, want.Terms}) {
			t.Fatalf("All returned %q %v, the model has %v; returned before: %v", name, got, want, seen[name])
		}
		seen[name] = true
	}
	if len(seen) != len(model) {
		t.Fatalf("All returned %d tenants of %d", len(seen), len(model))
	}
}

// The same random steps on a table and on a map must give the same contents, and IDs must never be reused.
func TestTableMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names []string
		for i := range rapid.IntRange(1, 200).Draw(t, "names") {
			names = append(names, strings.Repeat("n", i%3*100)+fmt.Sprint(i))
		}
		names = append(names, "", strings.Repeat("long", 1000))
		table, model, given := new(Table), map[string]modelEntry{}, map[int]bool{}
		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				_, there := model[name]
				if got := table.Delete(name); got != there {
					t.Fatalf("Delete(%q) = %v, want %v", name, got, there)
				}
				delete(model, name)
				continue
			}
			e := modelEntry{Terms: tenantTerms(step), revision: int64(step), checksum: uint32(step)}
			table.Put(name, e.Terms, e.revision, e.checksum)
			got, _ := table.Find(name)
			if old, there := model[name]; there && got.ID != old.id || !there && given[got.ID] {
				t.Fatalf("%q has the ID %d; it had %d before; IDs in use so far: %v", name, got.ID, old.id, given)
			}
			e.id, given[got.ID] = got.ID, true
			model[name] = e
		}
		checkAgainstModel(t, table, model, names)
	})
}

// Drives one shard through growing and shrinking its pages, growing its index and compacting its arena, and checks its
// invariants after each step.
func TestShardInvariantsUnderManyChanges(t *testing.T) {
	var s shard
	rng := rand.New(rand.NewPCG(3, 3))
	expected, ids := map[string]uint32{}, uint32(0)
	most := 0
	for step := range 60_000 {
		name := tenantName(rng.IntN(800))
		hash := uint32(xxhash.Sum64String(name))
		slot, pos, ok := s.find(name, hash)
		if _, want := expected[name]; want != ok {
			t.Fatalf("step %d: find(%q) = %v", step, name, ok)
		}
		grow := step/10_000%2 == 0
		switch {
		case ok && (!grow || rng.IntN(3) == 0):
			s.remove(slot, pos)
			delete(expected, name)
		case !ok && (grow || rng.IntN(4) == 0):
			s.add(name, hash, ids)
			expected[name] = ids
			ids++
		}
		if s.count != len(expected) || s.count > len(s.pages)*pageSize || (len(s.pages)-1)*pageSize > s.count+pageSize {
			t.Fatalf("step %d: %d entries in %d pages, want %d entries", step, s.count, len(s.pages), len(expected))
		}
		if s.deadBytes > deadAllowance+len(s.arena)/deadFraction {
			t.Fatalf("step %d: %d of %d bytes of the arena belong to removed names", step, s.deadBytes, len(s.arena))
		}
		most = max(most, s.count)
	}
	for name, id := range expected {
		_, pos, ok := s.find(name, uint32(xxhash.Sum64String(name)))
		if p, i := s.entry(pos); !ok || p.id[i] != id {
			t.Errorf("%q: found %v, want the entry with ID %d", name, ok, id)
		}
	}
	used := 0
	for pos := range s.count {
		used += len(s.nameOf(pos)) + 1
	}
	if used+s.deadBytes != len(s.arena) || most < 400 {
		t.Errorf("arena: %d bytes in use and %d of removed names, %d in all; at most %d entries", used, s.deadBytes, len(s.arena), most)
	}
}

// 300,000 tenants with revisions and checksums must take at most 20 MB, also after half of them were replaced by others.
func TestAnnouncedSizeFitsInTwentyMB(t *testing.T) {
	const bound = 20_000_000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	table := newTable(announcedSize)
	after := heap()
	t.Logf("%d tenants take %.2f MB", table.Len(), float64(after-before)/1e6)
	if after-before > bound {
		t.Errorf("%d tenants take %d bytes, over %d", announcedSize, after-before, bound)
	}
	for i := range announcedSize / 2 {
		table.Delete(tenantName(i))
		table.Put(tenantName(announcedSize+i), tenantTerms(i), 1, 1)
	}
	after = heap()
	t.Logf("with half of them replaced: %.2f MB", float64(after-before)/1e6)
	if after-before > bound || table.Len() != announcedSize {
		t.Errorf("%d tenants, half of them replaced, take %d bytes, over %d", table.Len(), after-before, bound)
	}
	runtime.KeepAlive(table)
}

func TestLookupsDoNotAllocate(t *testing.T) {
	table, found := newTable(10_000), 0
	names := []string{tenantName(17), tenantName(9_999), "nobody"}
	if n := testing.AllocsPerRun(1000, func() {
		for _, name := range names {
			if _, ok := table.Find(name); ok {
				found++
			}
			if _, _, ok := table.Version(name); ok {
				found++
			}
		}
	}); n != 0 || found == 0 {
		t.Errorf("%v allocations, %d found", n, found)
	}
}

// A change must not cost more as the table grows: at the announced size, the median and the mean of all changes must be
// under 20 microseconds; the mean includes the occasional index growth and compaction. The mean is of CPU time, because
// on a busy machine a single change was seen to lose half a second to other processes.
func TestChangeCostIsBounded(t *testing.T) {
	table := newTable(announcedSize)
	const most = 20 * time.Microsecond
	took := make([]time.Duration, 0, 40_000)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begin := threadCPUTime(t)
	for i := range cap(took) / 2 {
		from := time.Now()
		table.Delete(tenantName(i * 7))
		took = append(took, time.Since(from))
		from = time.Now()
		table.Put(tenantName(announcedSize+i), tenantTerms(i), 1, 1)
		took = append(took, time.Since(from))
	}
	mean := (threadCPUTime(t) - begin) / time.Duration(len(took))
	slices.Sort(took)
	median := took[len(took)/2]
	t.Logf("median %v, 99.9 %% %v, longest %v, mean %v", median, took[len(took)*999/1000], took[len(took)-1], mean)
	if median > most || mean > most {
		t.Errorf("a change takes %v in the median and %v in the mean, want at most %v", median, mean, most)
	}
}

// threadCPUTime returns the CPU time that this thread has used.
func threadCPUTime(t *testing.T) time.Duration {
	t.Helper()
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at); err != nil {
		t.Fatal(err)
	}
	return time.Duration(at.Nano())
}

// A reader must see an entry as it was before or after a change, never a mix of both, whatever a concurrent writer does
// to it and its neighbours.
func TestConcurrentReadersDuringWrites(t *testing.T) {
	table := newTable(2_000)
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for r := range 3 {
		readers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(r), 1))
			for {
				select {
				case <-stop:
					return
				default:
				}
				i := rng.IntN(4_000)
				if got, ok := table.Find(tenantName(i)); ok && got.Quota != -got.Share && got.Terms != tenantTerms(i) {
					t.Errorf("%q was read as %v", tenantName(i), got)
					return
				} else if !ok && i < 1_000 {
					t.Errorf("%q is not found, though it is never deleted", tenantName(i))
					return
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(9, 9))
	for step := range 60_000 {
		i := rng.IntN(4_000)
		if i >= 1_000 && rng.IntN(2) == 0 {
			table.Delete(tenantName(i))
		} else {
			q := float64(step + 1)
			table.Put(tenantName(i), Terms{Quota: q, Share: -q}, int64(step), 0)
		}
	}
	close(stop)
	readers.Wait()
}

// Entries may be deleted and replaced inside a loop over All.
func TestTableMayChangeDuringAll(t *testing.T) {
	table := newTable(5_000)
	names := map[string]bool{}
	for name, tenant := range table.All() {
		names[name] = true
		if tenant.ID%2 == 0 {
			table.Delete(name)
		} else {
			table.Put(name, Terms{}, 1, 1)
		}
	}
	if len(names) != 5_000 || table.Len() != 2_500 {
		t.Errorf("%d iterated, %d left", len(names), table.Len())
	}
	for range table.All() {
		break
	}
	if left := maps.Collect(table.All()); len(left) != 2_500 || left[tenantName(1)].Terms != (Terms{}) {
		t.Errorf("%d left, terms of one that was replaced: %v", len(left), left[tenantName(1)])
	}
}

func BenchmarkFind(b *testing.B) {
	table := newTable(announcedSize)
	names := make([]string, 4096)
	for i := range names {
		names[i] = tenantName(rand.IntN(announcedSize))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Find(names[i%len(names)])
	}
}

func BenchmarkReplace(b *testing.B) {
	table := newTable(announcedSize)
	names := make([]string, 4096)
	for i := range names {
		names[i] = tenantName(i)
	}
	for i := 0; b.Loop(); i++ {
		table.Delete(names[i%len(names)])
		table.Put(names[i%len(names)], Terms{}, int64(i), 0)
	}
}
