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

// twin knows what the store has said of each key, and what of it was good, in words of its own. What is in force it finds
// by loading all that was accepted anew.
type twin struct {
	filePools  []config.Pool
	fileRoutes []config.Route
	fileTerms  map[string]tenants.Terms

	last map[string]Record // the word that counts for a key, a removal too
	good map[string]Record // the last good one
}

func isGood(r Record) bool {
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
		for _, s := range rule.To {
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

func (w *twin) hear(whole bool, r Record) {
	last, known := w.last[r.Key]
	there := known && !last.Deleted
	switch {
	case !whole && known && r.Revision < last.Revision,
		!whole && known && last.Deleted && r.Revision <= last.Revision,
		there && !r.Deleted && r.Revision == last.Revision && string(r.Value) == string(last.Value):
		return
	case whole && r.Deleted:
		delete(w.last, r.Key)
		delete(w.good, r.Key)
		return
	}
	w.last[r.Key] = r
	if r.Deleted {
		delete(w.good, r.Key)
	} else if isGood(r) {
		w.good[r.Key] = r
	}
}

// anew forgets the removals of a history that has ended.
func (w *twin) anew() {
	maps.DeleteFunc(w.last, func(_ string, r Record) bool { return r.Deleted })
}

// wide is a route that is in force or was wanted to be, with one method at the most.
type wide struct {
	key      string
	revision int64
	rule     routes.Rule
}

// inForce loads all that is accepted: pools by name, the pool for the rest, a table of the routes that hold their calls.
func (w *twin) inForce(t *rapid.T) (pools map[string]config.Pool, rest string, table *routes.Table, names []string, unresolved, shadowed int) {
	pools, ranks := map[string]config.Pool{}, map[string]int64{}
	for _, p := range w.filePools {
		pools[p.Name] = p
	}
	list := map[string]wide{}
	for _, r := range w.fileRoutes {
		rule, _ := r.Rule()
		list["routes/"+r.Name] = wide{"routes/" + r.Name, 0, rule}
	}
	for key, r := range w.good {
		kind, name, _ := strings.Cut(key, "/")
		switch kind {
		case "pools":
			pools[name], _ = config.DecodePool(r.Value, name)
			ranks[name] = r.Revision
		case "routes":
			route, _ := config.DecodeRoute(r.Value, name)
			rule, _ := route.Rule()
			list[key] = wide{key, r.Revision, rule}
		}
	}
	defaults := 0
	for name, p := range pools {
		if p.Default {
			defaults++
		}
		if best := pools[rest]; rest == "" || p.Default && !best.Default ||
			p.Default == best.Default && cmp.Or(cmp.Compare(ranks[name], ranks[rest]), cmp.Compare(name, rest)) < 0 {
			rest = name
		}
	}
	var single []wide
	for _, r := range list {
		if slices.ContainsFunc(r.rule.To, func(s routes.Share) bool { _, ok := pools[s.Pool]; return !ok }) {
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
		for _, m := range r.rule.Methods {
			one := r
			one.rule.Methods = []string{m}
			single = append(single, one)
		}
	}
	slices.SortFunc(single, func(a, b wide) int { return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key, b.key)) })
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
	return pools, rest, table, names, unresolved, len(losers) + max(0, defaults-1)
}

var classes = []string{"read", "book"}

// balancer is whoever uses a catalog: it knows no more than what changes tell.
type balancer struct {
	catalog *Catalog
	table   *tenants.Table
	pools   map[int]config.Pool
	view    *View
	round   uint32 // of reading the files' tenants
}

// read has the files' tenants in the table, as the program does.
func (b *balancer) read(list map[string]tenants.Terms) {
	b.round++
	entries := []config.Tenant{}
	for _, name := range slices.Sorted(maps.Keys(list)) {
		entries = append(entries, config.Tenant{Name: name, Quota: list[name].Quota, Share: list[name].Share})
	}
	told := config.TenantsOf(entries)
	b.catalog.Granted()
	told.IntoBeside(b.table, b.round, b.catalog.Grant)
}

func (b *balancer) take(t *rapid.T, ch Changes) {
	for _, p := range ch.Pools {
		if p.Pool == nil {
			if _, ok := b.pools[p.ID]; !ok {
				t.Fatalf("pool %d goes, and is not there", p.ID)
			}
			delete(b.pools, p.ID)
			continue
		}
		if had, ok := b.pools[p.ID]; ok && had.Name != p.Pool.Name {
			t.Fatalf("pool %d is %q, and becomes %q", p.ID, had.Name, p.Pool.Name)
		}
		b.pools[p.ID] = *p.Pool
	}
	if ch.Routed {
		b.view = b.catalog.View()
	}
	if len(ch.Said) > mostSaid {
		t.Fatalf("%d lines are said", len(ch.Said))
	}
}

// agrees holds a balancer against the naive load.
func (w *twin) agrees(t *rapid.T, b *balancer) {
	c := b.catalog
	keys := map[string]bool{}
	refused := 0
	for key, r := range w.last {
		revision, sum, ok := c.At(key)
		if r.Deleted {
			if ok {
				t.Fatalf("%s is held at %d, and was removed", key, revision)
			}
			continue
		}
		keys[key] = true
		if !isGood(r) {
			refused++
		}
		if !ok || revision != r.Revision || sum != Sum(r.Value) {
			t.Fatalf("%s: held at %d (%v), last told at %d", key, revision, ok, r.Revision)
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
	pools, rest, table, names, unresolved, shadowed := w.inForce(t)
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
			t.Fatalf("the catalog tells of pool %d as %v, and has told %v", p.ID, p.Pool, b.pools[p.ID])
		}
	}
	if id, ok := ids[rest]; b.view.Fallback() != id || !ok || len(all) != len(ids) {
		t.Fatalf("%d has what no route matches, should have %q of %v", b.view.Fallback(), rest, ids)
	}
	for _, host := range []string{"a.x", "b.x", "q"} {
		for _, path := range []string{"/", "/a", "/a/b", "/c"} {
			for _, method := range []string{"GET", "PUT"} {
				for _, class := range classes {
					got, want := b.view.Match(host, path, method, class), table.Match(host, path, method, class)
					if (got == nil) != (want == routes.None) {
						t.Fatalf("%s%s %s %s: %v, the naive load has %d of\n%s", host, path, method, class, got, want, table.Describe())
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
	grants := maps.Clone(w.fileTerms)
	anew := New(classes, new(tenants.Table))
	var good []Record
	for key, r := range w.good {
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
		t.Fatalf("digest %x, that of a whole load is %x", c.Digest(), anew.Digest())
	}
	f := c.Flaws()
	if f.Refused != refused || f.Unresolved != unresolved || f.Shadowed != shadowed {
		t.Fatalf("%+v, should be %d refused, %d unresolved, %d shadowed", f, refused, unresolved, shadowed)
	}
	if len(f.Named) != refused+unresolved+shadowed {
		t.Fatalf("%d flaws are named of %d: %q", len(f.Named), refused+unresolved+shadowed, f.Named)
	}
}

func drawRoute(t *rapid.T, name string) config.Route {
	r := config.Route{Name: name, Host: rapid.SampledFrom([]string{"", "a.x", "A.x", "*.x"}).Draw(t, "host"),
		Path:  rapid.SampledFrom([]string{"", "/", "/a", "/a", "/a/b"}).Draw(t, "path"),
		Class: rapid.SampledFrom([]string{"", "", "read"}).Draw(t, "class")}
	if rapid.Bool().Draw(t, "usual") { // so that some tie
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

// store is what the entries lie in: what it has now, and the words that are still on their way.
type store struct {
	revision int64
	has      map[string]Record
	late     []Record
}

// reading is what a follower tells from comparing: what differs, and what is gone, in parts that may be cut.
func (s *store) reading(t *rapid.T, b *balancer, w *twin, whole bool) {
	var all []Record
	for _, key := range slices.Sorted(maps.Keys(s.has)) {
		if revision, sum, ok := b.catalog.At(key); !ok || revision != s.has[key].Revision || sum != Sum(s.has[key].Value) {
			all = append(all, s.has[key])
		}
	}
	cut := rapid.IntRange(0, 3).Draw(t, "cut") == 0
	for cut || len(all) > 3 {
		n := min(len(all), rapid.IntRange(0, 3).Draw(t, "part"))
		b.take(t, b.catalog.Apply(whole, 0, all[:n]))
		for _, r := range all[:n] {
			w.hear(whole, r)
		}
		all = all[n:]
		if cut {
			return
		}
	}
	for key := range b.catalog.Keys() {
		if _, ok := s.has[key]; !ok {
			all = append(all, Record{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	b.take(t, b.catalog.Apply(whole, s.revision, all))
	for _, r := range all {
		w.hear(whole, r)
	}
	if whole {
		w.anew()
	}
	if b.catalog.Revision() != s.revision {
		t.Fatalf("at revision %d after a reading at %d", b.catalog.Revision(), s.revision)
	}
}

// Ten thousand histories of changes and faults: whatever came in whatever order, what is in force is what a whole load of
// the accepted values comes to.
func TestAnyHistoryComesToWhatWasAccepted(t *testing.T) {
	met := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		table := new(tenants.Table)
		b := &balancer{catalog: New(classes, table), table: table, pools: map[int]config.Pool{}}
		w := &twin{last: map[string]Record{}, good: map[string]Record{}, fileTerms: map[string]tenants.Terms{}}
		files := func() {
			w.filePools, w.fileRoutes = []config.Pool{{Name: "all"}}, nil
			if rapid.Bool().Draw(t, "another pool") {
				w.filePools = append(w.filePools, drawPool(t, "p1"))
			}
			for _, name := range []string{"f", "r1"} {
				if rapid.Bool().Draw(t, name) {
					r := drawRoute(t, name)
					if !slices.ContainsFunc(w.filePools, func(p config.Pool) bool { return p.Name == r.Pool }) {
						r.Pool, r.Split = "all", nil
					}
					w.fileRoutes = append(w.fileRoutes, r)
				}
			}
			ch, err := b.catalog.Files(slices.Clone(w.filePools), slices.Clone(w.fileRoutes))
			if err != nil {
				t.Fatal(err)
			}
			b.take(t, ch)
			w.fileTerms = map[string]tenants.Terms{}
			for i := 1; i <= 2; i++ {
				if name := fmt.Sprint("t", i); rapid.Bool().Draw(t, name) {
					w.fileTerms[name] = tenants.Terms{Quota: float64(100 * rapid.IntRange(1, 5).Draw(t, "quota"))}
				}
			}
			b.read(w.fileTerms)
		}
		files()
		s := &store{revision: 10, has: map[string]Record{}}
		tell := func(records ...Record) {
			b.take(t, b.catalog.Apply(false, s.revision, records))
			for _, r := range records {
				w.hear(false, r)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch what := rapid.SampledFrom([]string{"change", "change", "change", "change", "late", "doubled", "lost", "reading", "another history", "files"}).Draw(t, "what"); what {
			case "change", "lost":
				s.revision++
				r := drawRecord(t, s.revision)
				if r.Deleted {
					delete(s.has, r.Key)
				} else {
					s.has[r.Key] = r
				}
				if what == "change" && rapid.IntRange(0, 4).Draw(t, "late") > 0 {
					tell(r)
				} else if what == "change" {
					s.late = append(s.late, r)
				}
				if what == "change" && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
					s.late = append(s.late, r)
				}
			case "late":
				if len(s.late) > 0 {
					i := rapid.IntRange(0, len(s.late)-1).Draw(t, "which")
					tell(s.late[i])
					s.late = slices.Delete(s.late, i, i+1)
				}
			case "doubled":
				for _, key := range slices.Sorted(maps.Keys(s.has)) {
					tell(s.has[key], s.has[key])
					break
				}
			case "reading":
				s.reading(t, b, w, false)
			case "another history":
				s = &store{revision: int64(rapid.IntRange(1, 30).Draw(t, "revision")), has: map[string]Record{}}
				for range rapid.IntRange(0, 6).Draw(t, "entries") {
					r := drawRecord(t, int64(rapid.IntRange(1, int(s.revision)).Draw(t, "of")))
					if !r.Deleted {
						s.has[r.Key] = r
					}
				}
				s.reading(t, b, w, true)
				s.reading(t, b, w, true) // the first may have been cut
			case "files":
				files()
			}
			if rapid.IntRange(0, 9).Draw(t, "look") == 0 {
				w.agrees(t, b)
			}
		}
		w.agrees(t, b)
		f := b.catalog.Flaws()
		for what, n := range map[string]int{"refused": f.Refused, "unresolved": f.Unresolved, "shadowed": f.Shadowed, "held": b.catalog.Len()} {
			if n > 0 {
				met[what]++
			}
		}
		met["all"]++
	})
	for _, what := range []string{"refused", "unresolved", "shadowed", "held"} {
		if met[what] < met["all"]/10 {
			t.Errorf("%s: met in %d of %d histories: too rare to show anything", what, met[what], met["all"])
		}
	}
	t.Log(met)
}
