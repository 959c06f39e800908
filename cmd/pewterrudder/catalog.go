package main

import (
	"fmt"
	"iter"
	"log"
	"slices"
	"sync"
	"time"

	"pewterrudder/internal/catalog"
	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/registry/kv"
	"pewterrudder/internal/tenants"
	"pewterrudder/internal/zones"
)

// entries follows the store that tells routes, pools and tenants one by one, holds its words in the catalog, and posts what
// they change. The follower's goroutine writes, and the main one at a reload; whoever reads figures reads beside them.
type entries struct {
	post   func(reducer.Event)
	prefix string

	mu      sync.Mutex
	catalog *catalog.Catalog
	zoned   *zones.Settings
	pools   []reducer.PoolChange // to be posted
	routed  bool                 // so are the routes
	silent  bool                 // the last attempt at the store failed

	said     herald
	follower *kv.Client
}

// saidEach is how often the log says what is in force while changes come one after another.
const saidEach = time.Second

// herald says the last of several texts that come close together. It has a lock of its own, since who drives the reducer
// must not wait for entries that wait to be posted.
type herald struct {
	mu    sync.Mutex
	text  string // to be said; "": none
	last  time.Time
	timer *time.Timer
}

func (h *herald) say(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	waits := h.text != ""
	if h.text = text; waits {
		return
	}
	h.timer = time.AfterFunc(saidEach-min(saidEach, time.Since(h.last)), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		log.Print(h.text)
		h.text, h.last = "", time.Now()
	})
}

func (h *herald) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer != nil {
		h.timer.Stop()
	}
}

// enter makes a catalog of what the files say, where a store is to be followed; nil: none is. The layout's routes are
// then the catalog's.
func enter(cfg *config.Config, table *tenants.Table, divided *reducer.Layout, post func(reducer.Event)) (*entries, error) {
	if !cfg.Service.Catalog.On() {
		return nil, nil
	}
	e := &entries{post: post, prefix: cfg.Service.Catalog.Prefix, catalog: catalog.New(classNames(cfg), table)}
	if err := e.files(cfg); err != nil {
		return nil, err
	}
	e.pools, e.routed = nil, false // the layout has them
	divided.Route = routeBy(e.catalog.View())
	return e, nil
}

// files takes what the files say of routes and pools.
func (e *entries) files(cfg *config.Config) error {
	zoned, err := cfg.Service.Zones.In(&cfg.Brain)
	if err != nil {
		return err
	}
	pools := slices.Clone(cfg.Service.PoolsInForce())
	if len(cfg.Service.Pools) == 0 {
		pools[0].Default = false // it has what no route matches, until an entry says that another has
	}
	ch, err := e.catalog.ApplyFiles(pools, cfg.Service.Routes)
	if err != nil {
		return err
	}
	e.zoned = zoned
	e.take(ch)
	return nil
}

// take notes what has changed until it is posted.
func (e *entries) take(ch catalog.Changes) {
	for _, text := range ch.LogLines {
		log.Print(text)
	}
	for _, p := range ch.Pools {
		e.pools = append(e.pools, e.spec(p))
	}
	e.routed = e.routed || ch.ViewChanged
}

func (e *entries) spec(p catalog.PoolChange) reducer.PoolChange {
	c := reducer.PoolChange{ID: p.ID}
	if p.Pool != nil {
		s := specOf(p.Pool, e.zoned)
		c.Spec = &s
	}
	return c
}

// put posts what was noted. It is said when it is in force; tenants are at once.
func (e *entries) put() {
	text := e.line()
	if !e.routed && len(e.pools) == 0 {
		e.said.say(text)
		return
	}
	ev := reducer.PoolsChanged{Pools: e.pools, Done: func() { e.said.say(text) }}
	if e.routed {
		ev.Route = routeBy(e.catalog.View())
	}
	e.pools, e.routed = nil, false
	e.post(ev)
}

func (e *entries) line() string {
	f := e.catalog.Flaws()
	return fmt.Sprintf("catalog: revision %d is in force: %d entries, digest %016x; %d refused, %d unresolved, %d shadowed",
		e.catalog.Revision(), e.catalog.Len(), e.catalog.Digest(), f.Refused, f.Unresolved, f.Shadowed)
}

// read has a list of the files' in the table, and no word of the store comes in between.
func (e *entries) read(list *config.Tenants, table *tenants.Table, round uint32) {
	if e == nil {
		list.Into(table, round)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.catalog.ClearFileTerms()
	list.IntoBeside(table, round, e.catalog.SetFileTerms)
}

// reload takes what the files say now of routes and pools.
func (e *entries) reload(cfg *config.Config) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.zoned
	e.take(e.catalog.SetClasses(classNames(cfg)))
	if err := e.files(cfg); err != nil {
		return err
	}
	if before != nil || e.zoned != nil { // each pool has the zones'
		for _, p := range e.catalog.Pools() {
			e.pools = append(e.pools, e.spec(p))
		}
	}
	e.put()
	return nil
}

// follow starts to follow the store.
func (e *entries) follow(cfg *config.Config) error {
	s := &cfg.Service.Catalog
	var err error
	e.follower, err = kv.Follow(kv.Settings{Endpoints: s.Addresses, Prefix: s.Prefix, Seed: cfg.Prng,
		Log: func(text string) { log.Print("catalog: " + text) }}, e, e)
	if err != nil {
		return fmt.Errorf("settings file: catalog: %w", err)
	}
	return nil
}

// stop gives back what follow has opened.
func (e *entries) stop() {
	e.follower.Close()
	e.said.stop()
}

// Len, At, Keys, Begin and Apply are what the follower asks and tells.
func (e *entries) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.catalog.Len()
}

func (e *entries) At(key string) (revision int64, sum uint32, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.catalog.Version(key[min(len(e.prefix), len(key)):])
}

func (e *entries) Keys() iter.Seq[string] {
	return func(yield func(string) bool) {
		e.mu.Lock()
		defer e.mu.Unlock()
		for key := range e.catalog.Keys() {
			if !yield(e.prefix + key) {
				return
			}
		}
	}
}

func (e *entries) Begin() {}

// Apply puts a reading in force when it is whole, but for its tenants; changes at once.
func (e *entries) Apply(whole bool, revision int64, records []kv.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]catalog.Record, len(records))
	for i := range records {
		list[i] = catalog.Record(records[i])
		list[i].Key = list[i].Key[len(e.prefix):]
	}
	e.take(e.catalog.Apply(whole, revision, list))
	e.silent = false
	if revision > 0 && (whole || len(records) > 0 || e.routed || len(e.pools) > 0) {
		e.put()
	}
}

// Heard and Broke are the store's signs of life.
func (e *entries) Heard() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = false
}

func (e *entries) Broke(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.silent {
		log.Printf("catalog: %v; what is held stays", err)
	}
	e.silent = true
}

// figures are the catalog's part of what operators read; nil: there is none.
func (e *entries) figures() any {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.catalog.Flaws()
	return struct {
		Revision   int64    `json:"revision"`
		Digest     string   `json:"digest"`
		Entries    int      `json:"entries"`
		Heard      bool     `json:"heard"`
		Refused    int      `json:"refused"`
		Unresolved int      `json:"unresolved"`
		Shadowed   int      `json:"shadowed"`
		Flaws      []string `json:"flaws,omitempty"`
	}{e.catalog.Revision(), fmt.Sprintf("%016x", e.catalog.Digest()), e.catalog.Len(), !e.silent && e.catalog.Revision() > 0,
		f.Refused, f.Unresolved, f.Shadowed, f.Named}
}

func classNames(cfg *config.Config) (names []string) {
	for i := range cfg.Brain.Classes {
		names = append(names, cfg.Brain.Classes[i].Name)
	}
	return names
}

// routeBy finds the pools of calls by a view of the catalog.
func routeBy(v *catalog.View) func(*reducer.Call) int {
	return func(c *reducer.Call) int {
		route := v.Match(matchedBy(c))
		if route == nil {
			return v.Fallback()
		}
		return route.Pool(stickiness(c))
	}
}
