// Package catalog owns what operators configure entry by entry: routes, pools and tenants, each a key with a revision, and
// which of them are in force. A change costs itself, and not the entries beside it. It reads entries by internal/config,
// keeps routes in an internal/routes tree and tenants in an internal/tenants table, and must never know a store, a socket,
// a clock, a call or an app node.
//
// # What is in force
//
// An entry is told by the store, by the files, or by both; the store's goes before the files', which count as of revision
// 0. What the store says of a key goes before what it said at a lower revision, in whatever order they come. A value that
// makes no sense refuses itself alone: it is named, and the last good value of its key stays in force in this process, or
// the files'.
//
// A route leads somewhere only while every pool that it names is there; until then it is unresolved, named, and out of
// force. Of two routes that match the same calls with equal precedence, the lower revision holds them, then the lower key;
// the other is shadowed, named, and takes over when the first goes. Of several default pools the same goes for calls that
// no route matches; where none is the default, the pool with the best rank has them. So what is in force is a function of
// the values accepted alone.
//
// # What a change costs
//
// A route: the way to it in the tree, and the routes that lie at the same host and path. A pool that comes or goes: the
// routes that name it. A tenant: its place in the table. Entries that are refused cost 16 bytes beside their key.
package catalog

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/internal/config"
	"pewterrudder/internal/routes"
	"pewterrudder/internal/tenants"
)

// Record is what the store says of a key: routes/NAME, pools/NAME or tenants/NAME.
type Record struct {
	Key      string
	Value    []byte // JSON, the same object as in the files
	Revision int64  // that wrote or deleted it, above 0
	Deleted  bool
}

// The kinds of entries, which are the beginnings of their keys.
const (
	routeKey  = "routes/"
	poolKey   = "pools/"
	tenantKey = "tenants/"
)

// Catalog is one balancer's entries. It is no more than one goroutine's at a time; what View and the tenants' table give
// may be read from anywhere.
type Catalog struct {
	classes []string
	tenants *tenants.Table
	under   map[string]tenants.Terms // granted by the files to tenants of whom the store speaks

	routes   map[string]*route
	pools    map[string]*pool
	order    []*pool                        // in force: the first has what no route matches
	users    map[string]map[*route]struct{} // the routes that name a pool, by its name
	ids      idle
	tree     routes.Tree
	shadowed map[string][]routes.Tie // by the place where they lie
	lost     map[string]bool         // the keys of routes that have lost calls to others
	lacking  map[*route]struct{}     // routes that name a pool which is not there

	refused  map[string]word
	why      map[string]reason // of some that are refused
	gone     removed
	held     int // keys of the store
	revision int64
	digest   uint64
}

// word of the store about a key.
type word struct {
	revision int64
	sum      uint32
}

// New makes a catalog without entries, that fills a table of tenants. classes are all that calls can have.
func New(classes []string, table *tenants.Table) *Catalog {
	return &Catalog{classes: classes, tenants: table, under: map[string]tenants.Terms{}, routes: map[string]*route{},
		pools: map[string]*pool{}, users: map[string]map[*route]struct{}{}, shadowed: map[string][]routes.Tie{},
		lost: map[string]bool{}, lacking: map[*route]struct{}{}, refused: map[string]word{}, why: map[string]reason{},
		gone: removed{at: map[string]int64{}}}
}

// Classes has calls be of other classes from now on. Routes that were refused are looked at again, as far as their values
// are kept; another waits until the store tells it anew. Those accepted stay, and match no call of a class that is gone.
func (c *Catalog) Classes(classes []string) Changes {
	var ch Changes
	c.classes = classes
	for _, key := range slices.Sorted(maps.Keys(c.why)) {
		if kind, _ := split(key); kind == routeKey && c.why[key].value != nil {
			w := c.refused[key]
			if c.put(key, c.why[key].value, w, &ch) == nil {
				delete(c.refused, key)
				delete(c.why, key)
			}
		}
	}
	return ch
}

// Changes are what a call of the catalog has come to.
type Changes struct {
	Pools  []PoolChange // in their order
	Routed bool         // View is another one
	Said   []string     // for the log
}

// PoolChange is a pool that came, changed or went. Its ID is another pool's only after it has gone.
type PoolChange struct {
	ID   int
	Pool *config.Pool // nil: gone
}

// mostSaid bounds the log of one call: a store full of faults must not fill it.
const mostSaid = 20

func (ch *Changes) say(text string) {
	switch len(ch.Said) {
	case mostSaid:
	case mostSaid - 1:
		ch.Said = append(ch.Said, "catalog: there is more to say")
	default:
		ch.Said = append(ch.Said, "catalog: "+text)
	}
}

// Apply takes what the store says of some keys, in any order. The revision is that at which the store says just what is
// held then; 0: there is more to come until then. whole has it take the word of a history that is not the one followed
// until now: no revision held says anything against it. What such a history lacks is told as deleted.
func (c *Catalog) Apply(whole bool, revision int64, records []Record) Changes {
	var ch Changes
	before := c.View()
	for i := range records {
		c.take(whole, &records[i], &ch)
	}
	if revision > 0 {
		if c.revision = revision; whole {
			c.gone.clear() // of another history
		}
	}
	ch.Routed = ch.Routed || before.fallback != c.View().fallback
	return ch
}

func (c *Catalog) take(whole bool, r *Record, ch *Changes) {
	revision, sum, ok := c.At(r.Key)
	said := word{r.Revision, Sum(r.Value)}
	switch {
	case ok && !r.Deleted && said == word{revision, sum}:
		return // told again
	case !whole && (ok && r.Revision < revision || !ok && r.Revision <= c.gone.at[r.Key]):
		return // overtaken
	case r.Deleted && ok:
		c.remove(r.Key, ch)
		c.held--
	case !r.Deleted:
		if !ok {
			c.held++
		}
		if err := c.put(r.Key, r.Value, said, ch); err != nil {
			c.refuse(r, said, err, ch)
		} else if len(c.refused) > 0 {
			delete(c.refused, r.Key)
			delete(c.why, r.Key)
		}
	}
	if r.Deleted && !whole {
		c.gone.note(r.Key, r.Revision)
	}
}

// put has a value take the place of what its key held.
func (c *Catalog) put(key string, value []byte, said word, ch *Changes) error {
	kind, name := split(key)
	switch kind {
	case routeKey:
		return c.putRoute(key, name, value, said, ch)
	case poolKey:
		return c.putPool(key, name, value, said, ch)
	case tenantKey:
		return c.putTenant(key, name, value, said)
	}
	return errNoKind
}

// remove takes back what the store said of a key.
func (c *Catalog) remove(key string, ch *Changes) {
	delete(c.refused, key)
	delete(c.why, key)
	switch kind, name := split(key); kind {
	case routeKey:
		c.removeRoute(name, ch)
	case poolKey:
		c.removePool(name, ch)
	case tenantKey:
		c.removeTenant(key, name)
	}
}

// split a key in its kind and its name; without a kind that is known both are empty.
func split(key string) (kind, name string) {
	for _, kind := range [...]string{tenantKey, routeKey, poolKey} {
		if name, ok := strings.CutPrefix(key, kind); ok && name != "" {
			return kind, name
		}
	}
	return "", ""
}

// At gives the revision of the store's last word on a key and the Sum of its value, whether that was refused or not.
func (c *Catalog) At(key string) (revision int64, sum uint32, ok bool) {
	if w, ok := c.refused[key]; ok {
		return w.revision, w.sum, true
	}
	w := c.accepted(key)
	return w.revision, w.sum, w.revision > 0
}

// accepted is the word in force of the store's on a key; revision 0: none.
func (c *Catalog) accepted(key string) word {
	switch kind, name := split(key); kind {
	case routeKey:
		if r := c.routes[name]; r != nil {
			return r.at
		}
	case poolKey:
		if p := c.pools[name]; p != nil {
			return p.at
		}
	case tenantKey:
		revision, sum, _ := c.tenants.At(name)
		return word{revision, sum}
	}
	return word{}
}

// Len is the number of keys of the store that are held, those refused among them.
func (c *Catalog) Len() int { return c.held }

// Keys are all of the store's that are held, in no order.
func (c *Catalog) Keys() iter.Seq[string] {
	return func(yield func(string) bool) {
		for key := range c.refused {
			if !yield(key) {
				return
			}
		}
		told := func(key string, revision int64) bool { // and was not given yet
			_, refused := c.refused[key]
			return refused || revision == 0 || yield(key)
		}
		for name, r := range c.routes {
			if !told(routeKey+name, r.at.revision) {
				return
			}
		}
		for name, p := range c.pools {
			if !told(poolKey+name, p.at.revision) {
				return
			}
		}
		for name := range c.tenants.All() {
			if revision, _, _ := c.tenants.At(name); !told(tenantKey+name, revision) {
				return
			}
		}
	}
}

// Revision of the store at which it said just what is held; 0: never yet.
func (c *Catalog) Revision() int64 { return c.revision }

// Digest is the same for catalogs that have the same of the store's entries in force: the same keys, each with the revision
// and the value accepted. What is refused tells in it where another process still has a good value, or none.
func (c *Catalog) Digest() uint64 { return c.digest }

// count takes a key's accepted word in the digest in place of the one before. The sum has no order, and is undone by its
// difference.
func (c *Catalog) count(key string, before, now word) {
	c.digest += mark(key, now) - mark(key, before)
}

func mark(key string, w word) uint64 {
	if w.revision == 0 {
		return 0
	}
	// 2^64 over the golden ratio, so that neighbouring revisions do not stand in for sums (Knuth, volume 3, section 6.4)
	h := xxhash.Sum64String(key) ^ (uint64(w.revision)<<32|uint64(w.sum))*0x9e3779b97f4a7c15 ^ uint64(w.revision)>>32
	h ^= h >> 29
	return h * 0xbf58476d1ce4e5b9 // of the finalizer of SplitMix64 (Steele, Lea, Flood 2014)
}

// Sum of a value, by which it is told from others of its key: the lower half of its xxhash, as a follower compares it.
func Sum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }

// View is how calls find their pools. It never changes; the next one has what changes later.
type View struct {
	tree     routes.Tree
	fallback int
}

// View of what is in force.
func (c *Catalog) View() *View {
	v := &View{tree: c.tree, fallback: -1}
	if len(c.order) > 0 {
		v.fallback = c.order[0].id
	}
	return v
}

// Match gives the route of a call, or nil.
func (v *View) Match(host, path, method, class string) *routes.Claim {
	return v.tree.Match(host, path, method, class)
}

// Fallback is the ID of the pool that takes what no route matches; -1: there is no pool at all.
func (v *View) Fallback() int { return v.fallback }

// mostRemoved is how many removals are kept, against older words that come after them. A store tells the changes of a key in
// their order, so that those words are rare; one that comes behind more removals than this is found by the follower's look.
const mostRemoved = 1024

// removed keys, by the revisions that did it.
type removed struct {
	at   map[string]int64
	line []struct {
		key      string
		revision int64
	}
}

func (g *removed) note(key string, revision int64) {
	if g.at[key] >= revision {
		return
	}
	g.at[key] = revision
	g.line = append(g.line, struct {
		key      string
		revision int64
	}{key, revision})
	if len(g.line) <= mostRemoved {
		return
	}
	if first := g.line[0]; g.at[first.key] == first.revision {
		delete(g.at, first.key)
	}
	g.line = append(g.line[:0:0], g.line[1:]...)
}

func (g *removed) clear() { clear(g.at); g.line = nil }

// idle are the pools' IDs that are free below the first that was never given.
type idle struct {
	free []int
	next int
}

// take gives the lowest, so that they stay few.
func (f *idle) take() int {
	if len(f.free) == 0 {
		f.next++
		return f.next - 1
	}
	i := slices.Index(f.free, slices.Min(f.free))
	id := f.free[i]
	f.free = slices.Delete(f.free, i, i+1)
	return id
}

func (f *idle) give(id int) { f.free = append(f.free, id) }

// rank among entries that stand in each other's way.
type rank struct {
	revision int64
	key      string
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key, b.key))
}
