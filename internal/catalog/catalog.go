// Package catalog holds the configuration that operators edit entry by entry: routes, pools and tenants, each stored under
// a key with a revision. It determines which entries are in force. The cost of a change does not depend on the number of
// unrelated entries. The package decodes entries with internal/config and keeps routes in an internal/routes tree and
// tenants in an internal/tenants table. It must not access a store, a socket, a clock, calls or app nodes.
//
// # Which entries are in force
//
// An entry comes from the store, from the configuration files, or from both. The store takes precedence over the files,
// whose entries have revision 0. For one key, a higher revision takes precedence over a lower one, in whatever order they
// arrive. An invalid value affects only its own key: it is refused and reported as a flaw, and the last valid value that
// this process received for the key, or the one from the files, stays in force.
//
// A route is in force only while every pool that it names exists; until then it is unresolved, and reported. Of two routes
// that match the same calls with equal precedence, the one with the lower revision wins, then the one with the lower key;
// the other is shadowed, reported, and takes over when the first is removed. The same order chooses between several
// default pools for calls that no route matches, and between all pools if none is a default. So what is in force depends
// only on the accepted values.
//
// # Cost of a change
//
// A route costs the path to it in the tree and the routes at the same host and path. A pool that appears or disappears
// costs the routes that name it. A tenant costs its slot in the table. A refused entry takes 16 bytes in addition to its
// key.
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

// Record is the state of a key in the store. Keys are routes/NAME, pools/NAME and tenants/NAME.
type Record struct {
	Key      string
	Value    []byte // JSON object, as in the configuration files
	Revision int64  // revision of the write or deletion, above 0
	Deleted  bool
}

// Key prefixes of the kinds of entries.
const (
	routeKey  = "routes/"
	poolKey   = "pools/"
	tenantKey = "tenants/"
)

// Catalog holds the entries of one balancer. It is not safe for concurrent use; the results of View and the tenants table
// may be read concurrently.
type Catalog struct {
	classes   []string
	tenants   *tenants.Table
	fileTerms map[string]tenants.Terms // granted by the files to tenants that the store contains as well

	routes       map[string]*route
	pools        map[string]*pool
	poolOrder    []*pool                        // pools in force; the first takes the calls that no route matches
	routesByPool map[string]map[*route]struct{} // routes that name a pool, by its name
	poolIDs      idAllocator
	tree         routes.Tree
	ties         map[string][]routes.Conflict // by routes.Claim.Place
	shadowed     map[string]bool              // keys of routes that lose calls to others
	unresolved   map[*route]struct{}          // routes that name a pool that does not exist

	refused    map[string]version // latest version of each key whose latest value was refused
	reasons    map[string]reason  // of at most maxNamedFlaws refused entries
	tombstones tombstoneSet
	keyCount   int // keys of the store, refused ones included
	revision   int64
	digest     uint64
}

// version identifies a value of a key in the store; revision 0: there is none.
type version struct {
	revision int64
	sum      uint32
}

// New returns a catalog without entries that keeps its tenants in table. classes are the classes that calls can have.
func New(classes []string, table *tenants.Table) *Catalog {
	return &Catalog{classes: classes, tenants: table, fileTerms: map[string]tenants.Terms{}, routes: map[string]*route{},
		pools: map[string]*pool{}, routesByPool: map[string]map[*route]struct{}{}, ties: map[string][]routes.Conflict{},
		shadowed: map[string]bool{}, unresolved: map[*route]struct{}{}, refused: map[string]version{}, reasons: map[string]reason{},
		tombstones: tombstoneSet{revisions: map[string]int64{}}}
}

// SetClasses replaces the classes that calls can have. Refused routes are checked again if their values were kept;
// others stay refused until the store sends them again. Accepted routes stay, and match no calls of removed classes.
func (c *Catalog) SetClasses(classes []string) Changes {
	var ch Changes
	c.classes = classes
	for _, key := range slices.Sorted(maps.Keys(c.reasons)) {
		if kind, _ := splitKey(key); kind == routeKey && c.reasons[key].value != nil {
			v := c.refused[key]
			if c.put(key, c.reasons[key].value, v, &ch) == nil {
				delete(c.refused, key)
				delete(c.reasons, key)
			}
		}
	}
	return ch
}

// Changes is the result of a call that modifies the catalog.
type Changes struct {
	Pools       []PoolChange // in the order in which they took effect
	ViewChanged bool         // View returns a different view than before
	LogLines    []string     // lines for the log
}

// PoolChange is a pool that was added, changed or removed. Its ID is reused for another pool only after its removal.
type PoolChange struct {
	ID   int
	Pool *config.Pool // nil: removed
}

// maxLogLines limits the log lines of one call, so that a store full of invalid entries does not flood the log.
const maxLogLines = 20

// addLog adds a log line, up to maxLogLines.
func (ch *Changes) addLog(text string) {
	switch len(ch.LogLines) {
	case maxLogLines:
	case maxLogLines - 1:
		ch.LogLines = append(ch.LogLines, "catalog: further messages are omitted")
	default:
		ch.LogLines = append(ch.LogLines, "catalog: "+text)
	}
}

// Apply applies records from the store, in any order. revision is the store revision that the catalog corresponds to after
// this call; 0 means that more records follow. whole means that the records belong to another history than the one
// followed so far, so that stored revisions do not override them; keys absent from the new history are passed as deleted.
func (c *Catalog) Apply(whole bool, revision int64, records []Record) Changes {
	var ch Changes
	before := c.View()
	for i := range records {
		c.applyRecord(whole, &records[i], &ch)
	}
	if revision > 0 {
		if c.revision = revision; whole {
			c.tombstones.clear() // they belong to the previous history
		}
	}
	ch.ViewChanged = ch.ViewChanged || before.fallback != c.View().fallback
	return ch
}

// applyRecord applies one record unless it is a duplicate or older than the stored one.
func (c *Catalog) applyRecord(whole bool, r *Record, ch *Changes) {
	revision, sum, ok := c.Version(r.Key)
	received := version{r.Revision, Sum(r.Value)}
	switch {
	case ok && !r.Deleted && received == version{revision, sum}:
		return // duplicate
	case !whole && (ok && r.Revision < revision || !ok && r.Revision <= c.tombstones.revisions[r.Key]):
		return // older than the stored value or deletion
	case r.Deleted && ok:
		c.remove(r.Key, ch)
		c.keyCount--
	case !r.Deleted:
		if !ok {
			c.keyCount++
		}
		if err := c.put(r.Key, r.Value, received, ch); err != nil {
			c.refuse(r, received, err, ch)
		} else if len(c.refused) > 0 {
			delete(c.refused, r.Key)
			delete(c.reasons, r.Key)
		}
	}
	if r.Deleted && !whole {
		c.tombstones.add(r.Key, r.Revision)
	}
}

// put replaces the stored value of a key, or returns an error if the value is invalid.
func (c *Catalog) put(key string, value []byte, v version, ch *Changes) error {
	kind, name := splitKey(key)
	switch kind {
	case routeKey:
		return c.putRoute(key, name, value, v, ch)
	case poolKey:
		return c.putPool(key, name, value, v, ch)
	case tenantKey:
		return c.putTenant(key, name, value, v)
	}
	return errUnknownKind
}

// remove removes the stored value of a key.
func (c *Catalog) remove(key string, ch *Changes) {
	delete(c.refused, key)
	delete(c.reasons, key)
	switch kind, name := splitKey(key); kind {
	case routeKey:
		c.removeRoute(name, ch)
	case poolKey:
		c.removePool(name, ch)
	case tenantKey:
		c.removeTenant(key, name)
	}
}

// splitKey splits a key into its kind and name. Both are empty if the kind is unknown or the name is missing.
func splitKey(key string) (kind, name string) {
	for _, kind := range [...]string{tenantKey, routeKey, poolKey} {
		if name, ok := strings.CutPrefix(key, kind); ok && name != "" {
			return kind, name
		}
	}
	return "", ""
}

// Version returns the revision and Sum of the latest value of a key in the store, whether it was accepted or refused.
func (c *Catalog) Version(key string) (revision int64, sum uint32, ok bool) {
	if v, ok := c.refused[key]; ok {
		return v.revision, v.sum, true
	}
	v := c.acceptedVersion(key)
	return v.revision, v.sum, v.revision > 0
}

// acceptedVersion returns the version of the accepted value of a key in the store; revision 0: there is none.
func (c *Catalog) acceptedVersion(key string) version {
	switch kind, name := splitKey(key); kind {
	case routeKey:
		if r := c.routes[name]; r != nil {
			return r.version
		}
	case poolKey:
		if p := c.pools[name]; p != nil {
			return p.version
		}
	case tenantKey:
		revision, sum, _ := c.tenants.Version(name)
		return version{revision, sum}
	}
	return version{}
}

// Len returns the number of keys held from the store, refused ones included.
func (c *Catalog) Len() int { return c.keyCount }

// Keys iterates over all keys held from the store, unordered.
func (c *Catalog) Keys() iter.Seq[string] {
	return func(yield func(string) bool) {
		for key := range c.refused {
			if !yield(key) {
				return
			}
		}
		yieldStored := func(key string, revision int64) bool { // false: stop; refused keys were yielded already
			_, refused := c.refused[key]
			return refused || revision == 0 || yield(key)
		}
		for name, r := range c.routes {
			if !yieldStored(routeKey+name, r.version.revision) {
				return
			}
		}
		for name, p := range c.pools {
			if !yieldStored(poolKey+name, p.version.revision) {
				return
			}
		}
		for name := range c.tenants.All() {
			if revision, _, _ := c.tenants.Version(name); !yieldStored(tenantKey+name, revision) {
				return
			}
		}
	}
}

// Revision returns the store revision that the catalog corresponds to; 0: none yet.
func (c *Catalog) Revision() int64 { return c.revision }

// Digest returns a hash of the accepted entries from the store: their keys, revisions and values. Catalogs with the same
// accepted entries have the same digest. After a refused value, digests differ between processes that hold different
// earlier valid values of the key, or none.
func (c *Catalog) Digest() uint64 { return c.digest }

// updateDigest replaces a key's accepted version in the digest. The digest is a sum, so it does not depend on the order of
// changes, and a term is removed by subtracting it.
func (c *Catalog) updateDigest(key string, previous, next version) {
	c.digest += digestTerm(key, next) - digestTerm(key, previous)
}

// digestTerm returns the contribution of a key to the digest; 0 without an accepted version.
func digestTerm(key string, v version) uint64 {
	if v.revision == 0 {
		return 0
	}
	// 2^64 / golden ratio, so that a change of the revision does not cancel one of the sum (Knuth, volume 3, section 6.4)
	h := xxhash.Sum64String(key) ^ (uint64(v.revision)<<32|uint64(v.sum))*0x9e3779b97f4a7c15 ^ uint64(v.revision)>>32
	h ^= h >> 29
	return h * 0xbf58476d1ce4e5b9 // constant of the SplitMix64 finalizer (Steele, Lea, Flood 2014)
}

// Sum returns the lower half of the xxhash of a value. Followers compare it to detect a different value of a key.
func Sum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }

// View maps calls to pools. It is immutable; later changes appear in a new View.
type View struct {
	tree     routes.Tree
	fallback int
}

// View returns a view of the entries in force.
func (c *Catalog) View() *View {
	v := &View{tree: c.tree, fallback: -1}
	if len(c.poolOrder) > 0 {
		v.fallback = c.poolOrder[0].id
	}
	return v
}

// Match returns the route of a call, or nil.
func (v *View) Match(host, path, method, class string) *routes.Claim {
	return v.tree.Match(host, path, method, class)
}

// Fallback returns the ID of the pool that takes the calls that no route matches; -1: there are no pools.
func (v *View) Fallback() int { return v.fallback }

// maxTombstones is how many deletions are kept, to detect older records of the same keys that arrive after them. A store
// sends the changes of a key in order, so such records are rare. One that arrives after more deletions than this is undone
// when the follower next compares the catalog with the store.
const maxTombstones = 1024

// tombstoneSet holds the latest maxTombstones deletions of keys.
type tombstoneSet struct {
	revisions map[string]int64
	queue     []struct {
		key      string
		revision int64
	}
}

// add records a deletion, and drops the oldest one if there are too many.
func (s *tombstoneSet) add(key string, revision int64) {
	if s.revisions[key] >= revision {
		return
	}
	s.revisions[key] = revision
	s.queue = append(s.queue, struct {
		key      string
		revision int64
	}{key, revision})
	if len(s.queue) <= maxTombstones {
		return
	}
	if first := s.queue[0]; s.revisions[first.key] == first.revision {
		delete(s.revisions, first.key)
	}
	s.queue = append(s.queue[:0:0], s.queue[1:]...)
}

// clear removes all tombstones.
func (s *tombstoneSet) clear() { clear(s.revisions); s.queue = nil }

// idAllocator allocates pool IDs. free holds the released IDs, all below next, the lowest ID never used.
type idAllocator struct {
	free []int
	next int
}

// alloc returns the lowest free ID, so that the range of IDs stays small.
func (a *idAllocator) alloc() int {
	if len(a.free) == 0 {
		a.next++
		return a.next - 1
	}
	i := slices.Index(a.free, slices.Min(a.free))
	id := a.free[i]
	a.free = slices.Delete(a.free, i, i+1)
	return id
}

// release frees an ID.
func (a *idAllocator) release(id int) { a.free = append(a.free, id) }

// precedence orders conflicting entries; the lower one wins.
type precedence struct {
	revision int64
	key      string
}

func (a precedence) compare(b precedence) int {
	return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key, b.key))
}
