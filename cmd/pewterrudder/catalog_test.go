package main

import (
	"fmt"
	"maps"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"pewterrudder/internal/catalog"
	"pewterrudder/internal/config"
	"pewterrudder/internal/lab/kvd"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/tenants"
)

// shelf is a store of entries below /e/.
type shelf struct {
	t *testing.T
	*kvd.Server
	addr string
}

func newShelf(t *testing.T) *shelf {
	s := &shelf{t: t, Server: kvd.New(kvd.Options{})}
	t.Cleanup(s.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addr = l.Addr().String()
	go s.Serve(l)
	return s
}

func (s *shelf) put(key, value string) {
	s.t.Helper()
	if _, err := s.Put(&pb.PutRequest{Key: []byte("/e/" + key), Value: []byte(value)}); err != nil {
		s.t.Fatal(err)
	}
}

func (s *shelf) remove(key string) {
	s.t.Helper()
	if _, err := s.DeleteRange(&pb.DeleteRangeRequest{Key: []byte("/e/" + key)}); err != nil {
		s.t.Fatal(err)
	}
}

// A route, a pool and a bad entry of a store are in force, or refused, one by one and without a reload; a store that is away
// changes nothing, and what has changed meanwhile follows. What the file says holds where the store is silent, and comes
// back when an entry goes.
func TestEntriesOfAStoreAreInForceOneByOne(t *testing.T) {
	front, office := named("front"), named("office")
	defer front.Close()
	defer office.Close()
	store := newShelf(t)
	text := fmt.Sprintf(file, "%s", "127.0.0.1:1", "x")
	known := fmt.Sprintf(`"members":[{"id":"s-1","host_port":"%s","locality":"a","flavor":"m2","phase":"Ready","size":1},`+
		`{"id":"s-2","host_port":"%s","locality":"a","flavor":"office","phase":"Ready","size":1}]}`, front.Listener.Addr(), office.Listener.Addr())
	text = text[:strings.Index(text, `"members":`)] + known + text[strings.Index(text, ",\n\"settings\""):]
	service := func(more string) string {
		return fmt.Sprintf(`{"catalog": {"addresses": ["http://%s"], "prefix": "/e/"},
			"routes": [{"name": "own", "path": "/own", "pool": "front"}%s],
			"pools": [{"name": "front", "default": true, "members": {"kinds": ["m*"]}}, {"name": "spare", "members": {"kinds": ["office"]}}]}`, store.addr, more)
	}
	more := `, {"name": "spare", "path": "/spare", "pool": "spare"}`
	s := withConfig(t, text, service(more))
	defer s.kill()
	at := func(path, want string) {
		t.Helper()
		s.untilAt(path, path+" goes to "+want, func(got string) bool { return got == "200 "+want })
	}
	at("/lookup/x", "front")
	store.put("routes/office", `{"path": "/lookup", "pool": "office"}`)
	s.log.until(t, `waits for pool "office"`)
	if got := s.ask("/lookup/x"); got != "200 front" {
		t.Errorf("a route without its pool: %s", got)
	}
	store.put("pools/office", `{"members": {"kinds": ["office"]}}`)
	at("/lookup/x", "office")
	at("/else", "front")
	store.put("routes/office", `{"path": "lookup", "pool": "front"}`)
	s.log.until(t, `"routes/office" of revision 4 is refused: path: "lookup" does not begin with a slash`)
	store.put("routes/else", `{"path": "/else", "pool": "office"}`)
	at("/else", "office")
	if got := s.ask("/lookup/x"); got != "200 office" {
		t.Errorf("with a bad value: %s", got)
	}
	store.put("routes/own", `{"path": "/own", "pool": "office"}`) // in the place of the file's
	at("/own", "office")
	at("/later", "front")
	s.hup(service(more + `, {"name": "later", "path": "/later", "pool": "spare"}`)) // of the file, below the store's
	at("/later", "office")
	at("/own", "office")
	at("/lookup/x", "office")

	store.Down()
	store.put("routes/office", `{"path": "/lookup", "pool": "front"}`)
	store.remove("routes/own")
	store.remove("routes/else")
	for range 20 {
		if got := s.ask("/lookup/x"); got != "200 office" {
			t.Errorf("while the store is away: %s", got)
		}
	}
	if err := store.Compact(store.Revision()); err != nil {
		t.Fatal(err)
	}
	store.Up()
	at("/lookup/x", "front")
	at("/own", "front")
	at("/else", "front")
	s.log.until(t, "revision 9 is in force: 2 entries")
	s.end()
}

// shelved is the catalog's wiring without the rest of the program.
type shelved struct {
	t     *testing.T
	store *shelf
	table *tenants.Table
	*entries

	now   sync.Mutex
	pools map[int]string // as posted
	route func(*reducer.Call) int
}

func onShelf(t *testing.T, store *shelf, service config.Service) *shelved {
	s := &shelved{t: t, store: store, table: new(tenants.Table), pools: map[int]string{}}
	service.Catalog = config.Catalog{Addresses: []string{"http://" + store.addr}, Prefix: "/e/"}
	cfg := &config.Config{Service: service}
	s.table.Put("both", tenants.Terms{Quota: 3}, 0, 1)
	var divided reducer.Layout
	var err error
	if s.entries, err = enter(cfg, s.table, &divided, s.posted); err != nil {
		t.Fatal(err)
	}
	for _, p := range s.catalog.Pools() {
		s.pools[p.ID] = p.Pool.Name
	}
	if err := s.follow(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return s
}

func (s *shelved) posted(ev reducer.Event) {
	s.now.Lock()
	defer s.now.Unlock()
	e := ev.(reducer.PoolsChanged)
	for _, p := range e.Pools {
		if p.Spec == nil {
			delete(s.pools, p.ID)
		} else {
			s.pools[p.ID] = p.Spec.Name
		}
	}
	if e.Route != nil {
		s.route = e.Route
	}
}

// differs says how what is held is not what the store has.
func (s *shelved) differs() string {
	a, err := s.store.Range(&pb.RangeRequest{Key: []byte("/e/"), RangeEnd: []byte("/e0")})
	if err != nil {
		s.t.Fatal(err)
	}
	if s.Len() != len(a.Kvs) {
		return fmt.Sprintf("%d held of %d", s.Len(), len(a.Kvs))
	}
	for _, kv := range a.Kvs {
		if revision, sum, ok := s.At(string(kv.Key)); !ok || revision != kv.ModRevision || sum != catalog.Sum(kv.Value) {
			return fmt.Sprintf("%s is held at %d, and has %d", kv.Key, revision, kv.ModRevision)
		}
	}
	s.now.Lock()
	defer s.now.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := map[int]string{}
	for _, p := range s.catalog.Pools() {
		pools[p.ID] = p.Pool.Name
	}
	if !maps.Equal(pools, s.pools) {
		return fmt.Sprintf("pools %v are in force, and %v were posted", pools, s.pools)
	}
	return ""
}

func (s *shelved) until(what string, also func() bool) {
	s.t.Helper()
	last := "it does not"
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if last = s.differs(); last == "" && (also == nil || also()) {
			return
		}
	}
	s.t.Fatalf("%s: %s", what, last)
}

func (s *shelved) quota(name string) float64 {
	t, ok := s.table.Find(name)
	if !ok {
		return -1
	}
	return t.Quota
}

// Through restarts with the same, older and no data, a compaction, a stall and half lines, what is held comes to what the
// store has, and what the files say comes back where it has nothing. Tenants go straight into the table that calls read.
func TestWhatIsHeldFollowsTheStoreThroughItsFaults(t *testing.T) {
	store := newShelf(t)
	store.put("routes/a", `{"path": "/a", "pool": "p"}`)
	store.put("pools/p", `{}`)
	store.put("pools/q", `{"max_open": -1}`)
	store.put("tenants/both", `{"quota_per_s": 7}`)
	store.put("tenants/own", `{"quota_per_s": 8, "share": 0.5}`)
	service := config.DefaultService()
	service.Pools = []config.Pool{{Name: "all", Default: true}}
	s := onShelf(t, store, service)
	s.until("the first reading", func() bool { return s.quota("both") == 7 && s.quota("own") == 8 })
	early := store.Save()

	store.put("tenants/own", `{"quota_per_s": 9, "share": 0.5}`)
	s.until("one tenant", func() bool { return s.quota("own") == 9 })
	store.put("tenants/own", `{"quota_per_s": "9"}`)
	s.until("a bad value", func() bool { return s.quota("own") == 9 })
	store.remove("tenants/both")
	s.until("the file's terms come back", func() bool { return s.quota("both") == 3 })

	store.Down()
	store.remove("pools/p")
	store.put("pools/q", `{}`)
	if err := store.Compact(store.Revision()); err != nil {
		t.Fatal(err)
	}
	store.Up()
	s.until("away, with a removal and a compaction", nil)
	if got := s.pools; len(got) != 2 || got[0] != "all" {
		t.Errorf("pools %v", got)
	}

	store.Restart(nil)
	store.put("pools/p", `{}`)
	s.until("a restart with the same data", nil)

	store.Restart(early)
	s.until("a restart with older data", func() bool { return s.quota("own") == 8 && s.quota("both") == 7 })

	store.Set(kvd.Stall, 1)
	store.put("tenants/own", `{"quota_per_s": 11}`)
	store.Set(kvd.Stall, 0)
	s.until("a stall", func() bool { return s.quota("own") == 11 })

	store.Set(kvd.HangLine, 1)
	store.put("tenants/own", `{"quota_per_s": 12}`)
	store.Heal()
	s.until("half a line", func() bool { return s.quota("own") == 12 })

	store.Wipe()
	s.until("a store without data", func() bool { return s.quota("own") == -1 && s.quota("both") == 3 })
	if got := s.pools; !reflect.DeepEqual(got, map[int]string{0: "all"}) {
		t.Errorf("pools %v", got)
	}
}

// A reload brings the files' entries as those of revision 0: what the store says goes before them, and the new ones hold
// when it says it no more.
func TestAReloadBringsEntriesBelowTheStores(t *testing.T) {
	store := newShelf(t)
	store.put("pools/p", `{"max_open": 5}`)
	store.put("tenants/both", `{"quota_per_s": 7}`)
	service := config.DefaultService()
	service.Pools = []config.Pool{{Name: "all", Default: true}}
	s := onShelf(t, store, service)
	s.until("the first reading", nil)
	next := config.Config{Service: service}
	next.Service.Pools = []config.Pool{{Name: "all", Default: true}, {Name: "p"}, {Name: "r"}}
	next.Service.Routes = []config.Route{{Path: "/r", Pool: "r"}, {Path: "/p", Pool: "p"}}
	if err := s.reload(&next); err != nil {
		t.Fatal(err)
	}
	list := config.TenantsOf([]config.Tenant{{Name: "both", Quota: 4}, {Name: "late", Quota: 5}})
	s.read(&list, s.table, 2)
	s.until("the store's words stay", func() bool { return s.quota("both") == 7 && s.quota("late") == 5 && len(s.pools) == 3 })
	open := func() (most int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, p := range s.catalog.Pools() {
			most = max(most, p.Pool.MaxOpen)
		}
		return most
	}
	if open() != 5 {
		t.Error("the file's pool has taken the place of the store's")
	}
	store.remove("pools/p")
	store.remove("tenants/both")
	s.until("the file's come back", func() bool { return s.quota("both") == 4 && len(s.pools) == 3 && open() == 0 })
}
