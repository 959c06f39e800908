package catalog

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pewterrudder/internal/config"
	"pewterrudder/internal/tenants"
)

func routeAt(i, pools int, revision int64) Record {
	return Record{Key: fmt.Sprintf("routes/r%d", i), Revision: revision,
		Value: fmt.Appendf(nil, `{"host":"shop-%d.yard.example","path":"/team-%d/v1","pool":"p%d"}`, i/7, i, i%pools)}
}

func poolAt(i int, revision int64) Record {
	return Record{Key: fmt.Sprintf("pools/p%d", i), Revision: revision, Value: fmt.Appendf(nil, `{"members":{"cells":[%d]}}`, i)}
}

func tenantAt(i int, revision int64) Record {
	return Record{Key: fmt.Sprintf("tenants/tenant-%09d", i), Revision: revision, Value: fmt.Appendf(nil, `{"quota_per_s":%d,"share":0.5}`, i%9)}
}

// newFilledCatalog returns a catalog of the given size, filled as by a full load from the store in parts.
func newFilledCatalog(t testing.TB, routes, pools, tenantCount int) *Catalog {
	c := New([]string{"read", "book"}, new(tenants.Table))
	if _, err := c.ApplyFiles([]config.Pool{{Name: "all"}}, nil); err != nil {
		t.Fatal(err)
	}
	var part []Record
	revision := int64(0)
	put := func(r Record) {
		if part = append(part, r); len(part) == 1000 {
			c.Apply(true, 0, part)
			part = part[:0]
		}
	}
	for i := range routes { // before their pools, although the store orders the keys the other way round
		revision++
		put(routeAt(i, pools, revision))
	}
	for i := range pools {
		revision++
		put(poolAt(i, revision))
	}
	for i := range tenantCount {
		revision++
		put(tenantAt(i, revision))
	}
	c.Apply(true, revision, part)
	if f := c.Flaws(); f.Refused+f.Unresolved+f.Shadowed > 0 || c.Len() != routes+pools+tenantCount {
		t.Fatalf("%d held, %+v", c.Len(), f)
	}
	return c
}

// singleChanges returns functions that apply one change each, by name.
func singleChanges(c *Catalog, pools int) map[string]func() {
	revision := c.Revision()
	change := func(r Record) func() {
		return func() {
			revision++
			r.Revision = revision
			c.Apply(false, revision, []Record{r})
		}
	}
	removal := poolAt(3, 0)
	removal.Deleted, removal.Value = true, nil
	addition := poolAt(3, 0)
	return map[string]func(){
		"route":  change(routeAt(17, pools, 0)),
		"pool":   change(poolAt(4, 0)),
		"tenant": change(tenantAt(5, 0)),
		"pool that goes and comes, with its routes": func() { change(removal)(); change(addition)() },
	}
}

// The cost of a change, measured by the bytes it allocates, must not grow with the number of unrelated entries.
func TestChangeCostIsIndependentOfSize(t *testing.T) {
	for _, size := range []struct{ routes, pools, tenants int }{{1000, 55, 3000}, {10_000, 550, 30_000}} {
		c := newFilledCatalog(t, size.routes, size.pools, size.tenants)
		for what, do := range singleChanges(c, size.pools) {
			least := uint64(1 << 62)
			for range 5 {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				do()
				runtime.ReadMemStats(&after)
				least = min(least, after.TotalAlloc-before.TotalAlloc)
			}
			most := uint64(24_000) // for a route that is removed and added: four slices of tree nodes, and the decoded entry
			if strings.HasPrefix(what, "pool that") {
				most *= 20 // each pool has about 18 routes
			}
			if least > most {
				t.Errorf("with %d routes, a change of a %s allocates %d bytes, more than %d", size.routes, what, least, most)
			}
		}
	}
}

func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{1000, 10_000} {
		c := newFilledCatalog(b, routes, 550, 10*routes)
		for what, do := range singleChanges(c, 550) {
			b.Run(fmt.Sprintf("%s/%d", strings.ReplaceAll(what, " ", "_"), routes), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					do()
				}
			})
		}
	}
}

// A full load in parts, with 10,000 routes, 550 pools and 300,000 tenants: the size that was announced.
func BenchmarkWholeReading(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newFilledCatalog(b, 10_000, 550, 300_000)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
		runtime.KeepAlive(c)
	}
}
