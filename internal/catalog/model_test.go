package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pewterrudder/internal/config"
	"pewterrudder/internal/lab/walks"
	"pewterrudder/internal/routes"
	"pewterrudder/internal/tenants"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { walks.Main(m, 10_000, 0) }

// model is a reference implementation: it keeps the latest and the latest valid record of each key, and computes the
// entries in force by loading all accepted records from scratch.
type model struct {
	filePools  []config.Pool
	fileRoutes []config.Route
	fileTerms  map[string]tenants.Terms

	latest   map[string]Record // the latest record of a key, also a deletion
	accepted map[string]Record // the latest valid record
}

func isValid(r Record) bool {
	kind, name, _ := strings.Cut(r.Key, "/")
	switch kind {
	case "routes":
		route, err := config.DecodeRoute(r.Value, name)
		if err != nil {
			return false
		}
		rule, err := route.Rule()
		if err != nil {
			return false
		}
		var pools []string
		for _, s := range rule.Shares {
			pools = append(pools, s.Pool)
		}
		_, err = routes.Compile([]routes.Rule{rule}, pools, classes)
		return err == nil
	case "pools":
		_, err := config.DecodePool(r.Value, name)
		return err == nil
	case "tenants":
		_, _, err := config.DecodeTenant(r.Value, name)
		return err == nil
	}
	return false
}

func (m *model) apply(whole bool, r Record) {
	last, known := m.latest[r.Key]
	there := known && !last.Deleted
	switch {
	case !whole && known && r.Revision < last.Revision,
		!whole && known && last.Deleted && r.Revision <= last.Revision,
		there && !r.Deleted && r.Revision == last.Revision && string(r.Value) == string(last.Value):
		return
	case whole && r.Deleted:
		delete(m.latest, r.Key)
		delete(m.accepted, r.Key)
		return
	}
	m.latest[r.Key] = r
	if r.Deleted {
		delete(m.accepted, r.Key)
	} else if isValid(r) {
		m.accepted[r.Key] = r
	}
}

// forgetRemovals drops the deletions of a history that was replaced.
func (m *model) forgetRemovals() {
	maps.DeleteFunc(m.latest, func(_ string, r Record) bool { return r.Deleted })
}

// candidate is a route that competes to be in force, with at most one method.
type candidate struct {
	key      string
	revision int64
	rule     routes.Rule
}

// inForce loads all accepted records: it returns the pools by name, the fallback pool, the table of the routes in force, the
// sorted pool names, and the numbers of unresolved and shadowed entries.
func (m *model) inForce(t *rapid.T) (pools map[string]config.Pool, fallback string, table *routes.Table, names []string, unresolved, shadowed int) {
	pools, ranks := map[string]config.Pool{}, map[string]int64{}
	for _, p := range m.filePools {
		pools[p.Name] = p
	}
	list := map[string]candidate{}
	for _, r := range m.fileRoutes {
		rule, _ := r.Rule()
		list["routes/"+r.Name] = candidate{"routes/" + r.Name, 0, rule}
	}
	for key, r := range m.accepted {
		kind, name, _ := strings.Cut(key, "/")
		switch kind {
		case "pools":
			pools[name], _ = config.DecodePool(r.Value, name)
			ranks[name] = r.Revision
		case "routes":
			route, _ := config.DecodeRoute(r.Value, name)
			rule, _ := route.Rule()
			list[key] = candidate{key, r.Revision, rule}
		}
	}
	defaults := 0
	for name, p := range pools {
		if p.Default {
			defaults++
		}
		if best := pools[fallback]; fallback == "" || p.Default && !best.Default ||
			p.Default == best.Default && cmp.Or(cmp.Compare(ranks[name], ranks[fallback]), cmp.Compare(name, fallback)) < 0 {
			fallback = name
		}
	}
	var single []candidate
	for _, r := range list {
		if slices.ContainsFunc(r.rule.Shares, func(s routes.Share) bool { _, ok := pools[s.Pool]; return !ok }) {
			unresolved++
			continue
		}
		r.rule.Host = strings.ToLower(r.rule.Host)
		if r.rule.Prefix == "/" {
			r.rule.Prefix = ""
		}
		r.rule.Name = ""
		if r.rule.Methods == nil {
			single = append(single, r)
		}
		for _, method := range r.rule.Methods {
			one := r
			one.rule.Methods = []string{method}
			single = append(single, one)
		}
	}
	slices.SortFunc(single, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key, b.key))
	})
	var rules []routes.Rule
	losers := map[string]bool{}
	for _, r := range single {
		if slices.ContainsFunc(rules, func(o routes.Rule) bool {
			return o.Host == r.rule.Host && o.Prefix == r.rule.Prefix && o.Class == r.rule.Class && slices.Equal(o.Methods, r.rule.Methods)
		}) {
			losers[r.key] = true
			continue
		}
		rules = append(rules, r.rule)
	}
	names = slices.Sorted(maps.Keys(pools))
	table, err := routes.Compile(rules, names, nil)
	if err != nil {
		t.Fatal(err)
	}
	return pools, fallback, table, names, unresolved, len(losers) + max(0, defaults-1)
}

var classes = []string{"read", "book"}

// balancer is a user of a catalog: it learns about pools and routes only from Changes.
type balancer struct {
	catalog *Catalog
	table   *tenants.Table
	pools   map[int]config.Pool
	view    *View
	round   uint32 // number of times that the tenants were read from the files
}

// loadFileTenants puts the tenants from the files into the table, as the daemon does.
func (b *balancer) loadFileTenants(list map[string]tenants.Terms) {
	b.round++
	entries := []config.Tenant{}
	for _, name := range slices.Sorted(maps.Keys(list)) {
		entries = append(entries, config.Tenant{Name: name, Quota: list[name].Quota, Share: list[name].Share})
	}
	told := config.TenantsOf(entries)
	b.catalog.ClearFileTerms()
	told.IntoBeside(b.table, b.round, b.catalog.SetFileTerms)
}

// applyChanges updates the pools and the view from a result of the catalog.
func (b *balancer) applyChanges(t *rapid.T, ch Changes) {
	for _, p := range ch.Pools {
		if p.Pool == nil {
			if _, ok := b.pools[p.ID]; !ok {
				t.Fatalf("pool %d is removed, but does not exist", p.ID)
			}
			delete(b.pools, p.ID)
			continue
		}
		if had, ok := b.pools[p.ID]; ok && had.Name != p.Pool.Name {
			t.Fatalf("pool %d is %q, but changes to %q", p.ID, had.Name, p.Pool.Name)
		}
		b.pools[p.ID] = *p.Pool
	}
	if ch.ViewChanged {
		b.view = b.catalog.View()
	}
	if len(ch.LogLines) > maxLogLines {
		t.Fatalf("%d log lines", len(ch.LogLines))
	}
}

// checkBalancer compares a balancer and its catalog with the model.
func (m *model) checkBalancer(t *rapid.T, b *balancer) {
	c := b.catalog
	keys := map[string]bool{}
	refused := 0
	for key, r := range m.latest {
		revision, sum, ok := c.Version(key)
		if r.Deleted {
			if ok {
				t.Fatalf("%s is held at revision %d, but was deleted", key, revision)
			}
			continue
		}
		keys[key] = true
		if !isValid(r) {
			refused++
		}
		if !ok || revision != r.Revision || sum != Sum(r.Value) {
			t.Fatalf("%s: held at revision %d (%v), latest record has revision %d", key, revision, ok, r.Revision)
		}
	}
	var held []string
	for key := range c.Keys() {
		held = append(held, key)
	}
	slices.Sort(held)
	if want := slices.Sorted(maps.Keys(keys)); !slices.Equal(held, want) || c.Len() != len(want) {
		t.Fatalf("%d keys, %q, should be %q", c.Len(), held, want)
	}
	pools, fallback, table, names, unresolved, shadowed := m.inForce(t)
	if len(b.pools) != len(pools) {
		t.Fatalf("pools %v, should be %v", b.pools, pools)
	}
	ids := map[string]int{}
	for id, p := range b.pools {
		ids[p.Name] = id
		if !reflect.DeepEqual(p, pools[p.Name]) {
			t.Fatalf("pool %d is %v, should be %v", id, p, pools[p.Name])
		}
	}
	all := c.Pools()
	for i, p := range all {
		if !reflect.DeepEqual(*p.Pool, b.pools[p.ID]) || i > 0 && all[i-1].ID >= p.ID {
			t.Fatalf("Pools returned pool %d as %v, Changes had %v", p.ID, p.Pool, b.pools[p.ID])
		}
	}
	if id, ok := ids[fallback]; b.view.Fallback() != id || !ok || len(all) != len(ids) {
		t.Fatalf("the fallback pool is %d, should be %q of %v", b.view.Fallback(), fallback, ids)
	}
	for _, host := range []string{"a.x", "b.x", "q"} {
		for _, path := range []string{"/", "/a", "/a/b", "/c"} {
			for _, method := range []string{"GET", "PUT"} {
				for _, class := range classes {
					got, want := b.view.Match(host, path, method, class), table.Match(host, path, method, class)
					if (got == nil) != (want == routes.None) {
						t.Fatalf("%s%s %s %s: %v, the model has %d of\n%s", host, path, method, class, got, want, table.Describe())
					}
					for key := uint64(0); got != nil && key < 4; key++ {
						if at, should := got.Pool(key), names[table.Pool(want, key)]; at != ids[should] {
							t.Fatalf("%s%s %s %s goes to %d, should go to %q of %v", host, path, method, class, at, should, ids)
						}
					}
				}
			}
		}
	}
	grants := maps.Clone(m.fileTerms)
	anew := New(classes, new(tenants.Table))
	var good []Record
	for key, r := range m.accepted {
		good = append(good, r)
		if name, ok := strings.CutPrefix(key, "tenants/"); ok {
			quota, share, _ := config.DecodeTenant(r.Value, name)
			grants[name] = tenants.Terms{Quota: quota, Share: share}
		}
	}
	if b.table.Len() != len(grants) {
		t.Fatalf("%d tenants, should be %v", b.table.Len(), grants)
	}
	for name, terms := range grants {
		if got, ok := b.table.Find(name); !ok || got.Terms != terms {
			t.Fatalf("tenant %s: %v (%v), should be %v", name, got, ok, terms)
		}
	}
	anew.Apply(true, 1, good)
	if anew.Digest() != c.Digest() {
		t.Fatalf("digest %x, that of a full load is %x", c.Digest(), anew.Digest())
	}
	f := c.Flaws()
	if f.Refused != refused || f.Unresolved != unresolved || f.Shadowed != shadowed {
		t.Fatalf("%+v, should be %d refused, %d unresolved, %d shadowed", f, refused, unresolved, shadowed)
	}
	if len(f.Named) != refused+unresolved+shadowed {
		t.Fatalf("%d flaws are named, should be %d: %q", len(f.Named), refused+unresolved+shadowed, f.Named)
	}
}

func drawRoute(t *rapid.T, name string) config.Route {
	r := config.Route{Name: name, Host: rapid.SampledFrom([]string{"", "a.x", "A.x", "*.x"}).Draw(t, "host"),
		Path:  rapid.SampledFrom([]string{"", "/", "/a", "/a", "/a/b"}).Draw(t, "path"),
		Class: rapid.SampledFrom([]string{"", "", "read"}).Draw(t, "class")}
	if rapid.Bool().Draw(t, "usual") { // so that some routes tie
		r.Host, r.Path, r.Class = "", "/a", ""
	}
	if rapid.IntRange(0, 2).Draw(t, "methods") == 0 {
		r.Methods = rapid.SampledFrom([][]string{{"GET"}, {"PUT", "GET"}, {"PUT"}}).Draw(t, "of")
	}
	pool := rapid.SampledFrom([]string{"all", "p1", "p2", "p3"})
	if r.Pool = pool.Draw(t, "pool"); rapid.IntRange(0, 3).Draw(t, "split") == 0 {
		r.Split = []config.Share{{Pool: r.Pool, Weight: 1}}
		if other := pool.Draw(t, "other"); other != r.Pool {
			r.Split = append(r.Split, config.Share{Pool: other, Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight"))})
		}
		r.Pool = ""
	}
	return r
}

func drawPool(t *rapid.T, name string) config.Pool {
	return config.Pool{Name: name, Default: rapid.IntRange(0, 2).Draw(t, "default") == 0, MaxOpen: rapid.IntRange(0, 1).Draw(t, "open")}
}

var badValues = []string{``, `{`, `null`, `[]`, `{"name":"another"}`, `{"paths":"/a"}`, `{} {}`, `{"pool":"all","split":[]}`,
	`{"pool":"all","path":"a"}`, `{"pool":"all","host":"a*.x"}`, `{"pool":"all","methods":["get"]}`, `{"pool":"all","class":"bulk"}`,
	`{"split":[{"pool":"all","weight":-1}]}`, `{"split":[{"pool":"all","weight":0}]}`, `{"max_open":-1}`, `{"members":{"ids":["a**"]}}`,
	`{"members":{"zones":[]}}`, `{"quota_per_s":-1}`, `{"quota_per_s":"7"}`, `{"share":-0.5}`}

func drawRecord(t *rapid.T, revision int64) Record {
	kind := rapid.SampledFrom([]string{"routes/r", "routes/r", "pools/p", "tenants/t", "pools/all", "routes/f", "other/x"}).Draw(t, "kind")
	r := Record{Key: kind, Revision: revision}
	if len(kind) > 2 && kind[len(kind)-2] == '/' && !strings.HasSuffix(kind, "/f") {
		r.Key += fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "name"))
	}
	if r.Deleted = rapid.IntRange(0, 5).Draw(t, "removed") == 0; r.Deleted {
		return r
	}
	_, name, _ := strings.Cut(r.Key, "/")
	var v any
	switch {
	case rapid.IntRange(0, 6).Draw(t, "bad") == 0:
		r.Value = []byte(rapid.SampledFrom(badValues).Draw(t, "value"))
		return r
	case strings.HasPrefix(kind, "routes"):
		v = drawRoute(t, name)
	case strings.HasPrefix(kind, "pools"):
		v = drawPool(t, name)
	default:
		v = map[string]int{"quota_per_s": rapid.IntRange(0, 3).Draw(t, "quota"), "share": rapid.IntRange(0, 3).Draw(t, "share")}
	}
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	for _, without := range []string{`"methods":null,`, `,"split":null`, `,"members":{"zones":null,"kinds":null,"cells":null,"ids":null}`} {
		raw = []byte(strings.ReplaceAll(string(raw), without, ""))
	}
	r.Value = raw
	return r
}

// store simulates the store: its current records, and those not delivered yet.
type store struct {
	revision int64
	records  map[string]Record
	pending  []Record
}

// sync applies what a follower finds by comparing the catalog with the store: different and deleted records, in parts. It
// may stop after the first.
func (s *store) sync(t *rapid.T, b *balancer, m *model, whole bool) {
	var all []Record
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if revision, sum, ok := b.catalog.Version(key); !ok || revision != s.records[key].Revision || sum != Sum(s.records[key].Value) {
			all = append(all, s.records[key])
		}
	}
	cut := rapid.IntRange(0, 3).Draw(t, "cut") == 0
	for cut || len(all) > 3 {
		n := min(len(all), rapid.IntRange(0, 3).Draw(t, "part"))
		b.applyChanges(t, b.catalog.Apply(whole, 0, all[:n]))
		for _, r := range all[:n] {
			m.apply(whole, r)
		}
		all = all[n:]
		if cut {
			return
		}
	}
	for key := range b.catalog.Keys() {
		if _, ok := s.records[key]; !ok {
			all = append(all, Record{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	b.applyChanges(t, b.catalog.Apply(whole, s.revision, all))
	for _, r := range all {
		m.apply(whole, r)
	}
	if whole {
		m.forgetRemovals()
	}
	if b.catalog.Revision() != s.revision {
		t.Fatalf("at revision %d after a sync at revision %d", b.catalog.Revision(), s.revision)
	}
}

// For 10,000 random sequences of late, duplicated and lost records, full loads and changed files, the entries in force are
// the same as after a full load of the accepted records.
func TestMatchesFullLoadOfAcceptedRecords(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		table := new(tenants.Table)
		b := &balancer{catalog: New(classes, table), table: table, pools: map[int]config.Pool{}}
		m := &model{latest: map[string]Record{}, accepted: map[string]Record{}, fileTerms: map[string]tenants.Terms{}}
		files := func() {
			m.filePools, m.fileRoutes = []config.Pool{{Name: "all"}}, nil
			if rapid.Bool().Draw(t, "another pool") {
				m.filePools = append(m.filePools, drawPool(t, "p1"))
			}
			for _, name := range []string{"f", "r1"} {
				if rapid.Bool().Draw(t, name) {
					r := drawRoute(t, name)
					if !slices.ContainsFunc(m.filePools, func(p config.Pool) bool { return p.Name == r.Pool }) {
						r.Pool, r.Split = "all", nil
					}
					m.fileRoutes = append(m.fileRoutes, r)
				}
			}
			ch, err := b.catalog.ApplyFiles(slices.Clone(m.filePools), slices.Clone(m.fileRoutes))
			if err != nil {
				t.Fatal(err)
			}
			b.applyChanges(t, ch)
			m.fileTerms = map[string]tenants.Terms{}
			for i := 1; i <= 2; i++ {
				if name := fmt.Sprint("t", i); rapid.Bool().Draw(t, name) {
					m.fileTerms[name] = tenants.Terms{Quota: float64(100 * rapid.IntRange(1, 5).Draw(t, "quota"))}
				}
			}
			b.loadFileTenants(m.fileTerms)
		}
		files()
		s := &store{revision: 10, records: map[string]Record{}}
		tell := func(records ...Record) {
			b.applyChanges(t, b.catalog.Apply(false, s.revision, records))
			for _, r := range records {
				m.apply(false, r)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch what := rapid.SampledFrom([]string{"change", "change", "change", "change", "late", "doubled", "lost", "reading", "another history", "files"}).Draw(t, "what"); what {
			case "change", "lost":
				s.revision++
				r := drawRecord(t, s.revision)
				if r.Deleted {
					delete(s.records, r.Key)
				} else {
					s.records[r.Key] = r
				}
				if what == "change" && rapid.IntRange(0, 4).Draw(t, "late") > 0 {
					tell(r)
				} else if what == "change" {
					s.pending = append(s.pending, r)
				}
				if what == "change" && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
					s.pending = append(s.pending, r)
				}
			case "late":
				if len(s.pending) > 0 {
					i := rapid.IntRange(0, len(s.pending)-1).Draw(t, "which")
					tell(s.pending[i])
					s.pending = slices.Delete(s.pending, i, i+1)
				}
			case "doubled":
				for _, key := range slices.Sorted(maps.Keys(s.records)) {
					tell(s.records[key], s.records[key])
					break
				}
			case "reading":
				s.sync(t, b, m, false)
			case "another history":
				s = &store{revision: int64(rapid.IntRange(1, 30).Draw(t, "revision")), records: map[string]Record{}}
				for range rapid.IntRange(0, 6).Draw(t, "entries") {
					r := drawRecord(t, int64(rapid.IntRange(1, int(s.revision)).Draw(t, "of")))
					if !r.Deleted {
						s.records[r.Key] = r
					}
				}
				s.sync(t, b, m, true)
				s.sync(t, b, m, true) // the first may have stopped early
			case "files":
				files()
			}
			if rapid.IntRange(0, 9).Draw(t, "look") == 0 {
				m.checkBalancer(t, b)
			}
		}
		m.checkBalancer(t, b)
		f := b.catalog.Flaws()
		for what, n := range map[string]int{"refused": f.Refused, "unresolved": f.Unresolved, "shadowed": f.Shadowed, "held": b.catalog.Len()} {
			if n > 0 {
				counts[what]++
			}
		}
		counts["all"]++
	})
	for _, what := range []string{"refused", "unresolved", "shadowed", "held"} {
		if counts[what] < counts["all"]/10 {
			t.Errorf("%s: occurred in %d of %d sequences, which is too rare to test it", what, counts[what], counts["all"])
		}
	}
	t.Log(counts)
}
