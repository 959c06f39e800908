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

// filled is a catalog of a size, as a whole reading in parts leaves it.
func filled(t testing.TB, routes, pools, tenantsThere int) *Catalog {
	c := New([]string{"read", "book"}, new(tenants.Table))
	if _, err := c.Files([]config.Pool{{Name: "all"}}, nil); err != nil {
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
	for i := range routes { // before their pools, as the keys are ordered otherwise
		revision++
		put(routeAt(i, pools, revision))
	}
	for i := range pools {
		revision++
		put(poolAt(i, revision))
	}
	for i := range tenantsThere {
		revision++
		put(tenantAt(i, revision))
	}
	c.Apply(true, revision, part)
	if f := c.Flaws(); f.Refused+f.Unresolved+f.Shadowed > 0 || c.Len() != routes+pools+tenantsThere {
		t.Fatalf("%d held, %+v", c.Len(), f)
	}
	return c
}

// cases of one change each.
func changes(c *Catalog, pools int) map[string]func() {
	revision := c.Revision()
	change := func(r Record) func() {
		return func() {
			revision++
			r.Revision = revision
			c.Apply(false, revision, []Record{r})
		}
	}
	goes := poolAt(3, 0)
	goes.Deleted, goes.Value = true, nil
	comes := poolAt(3, 0)
	return map[string]func(){
		"route":  change(routeAt(17, pools, 0)),
		"pool":   change(poolAt(4, 0)),
		"tenant": change(tenantAt(5, 0)),
		"pool that goes and comes, with its routes": func() { change(goes)(); change(comes)() },
	}
}

// What a change allocates is what it costs, and does not grow with the entries beside it.
func TestAChangeCostsItself(t *testing.T) {
	for _, size := range []struct{ routes, pools, tenants int }{{1000, 55, 3000}, {10_000, 550, 30_000}} {
		c := filled(t, size.routes, size.pools, size.tenants)
		for what, do := range changes(c, size.pools) {
			least := uint64(1 << 62)
			for range 5 {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				do()
				runtime.ReadMemStats(&after)
				least = min(least, after.TotalAlloc-before.TotalAlloc)
			}
			most := uint64(24_000) // of a route, out and in: four slices of ways, the entry's text
			if strings.HasPrefix(what, "pool that") {
				most *= 20 // each pool has about eighteen routes
			}
			if least > most {
				t.Errorf("among %d routes a %s takes %d bytes, more than %d", size.routes, what, least, most)
			}
		}
	}
}

func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{1000, 10_000} {
		c := filled(b, routes, 550, 10*routes)
		for what, do := range changes(c, 550) {
			b.Run(fmt.Sprintf("%s/%d", strings.ReplaceAll(what, " ", "_"), routes), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					do()
				}
			})
		}
	}
}

// The announced size, read whole in parts.
func BenchmarkWholeReading(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := filled(b, 10_000, 550, 300_000)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
		runtime.KeepAlive(c)
	}
}
