// Package tenants owns the table of tenants: who they are by name, what each is granted, and the revision that said so. It
// is made for hundreds of thousands of them in one process, read by every call and changed one entry at a time. It must
// never count what a tenant asks for, decide what an excess costs, or read settings and stores itself.
//
// The names are spread over shards, each with a lock of its own, and whatever a change has to do besides itself (growing an
// index, clearing names that were removed) it does in its own shard alone: readers wait for some microseconds at most.
// shard.go holds one shard.
package tenants

import (
	"iter"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Terms are what a tenant is granted.
type Terms struct {
	Quota float64 // requests per second over the whole fleet; 0: without bound
	Share float64 // of the fleet
}

// Tenant is an entry as a call sees it. The ID stays for as long as the entry does, and is never given to another.
type Tenant struct {
	ID int
	Terms
}

// shards keep a shard of 300,000 tenants at 300 entries, so that to index one anew or to clear it of removed names is a
// matter of microseconds; an empty table costs 8 KB.
const (
	shardBits = 10
	shards    = 1 << shardBits
)

// Table holds tenants by name. The zero value is empty and ready; any goroutine may use it.
type Table struct {
	shards [shards]atomic.Pointer[shard] // made on first use: most tables are small
	lastID atomic.Uint32
	count  atomic.Int64
}

// of gives the shard that a hash belongs to; nil: nothing was ever put there. The shard's index uses the lower bits.
func (t *Table) of(hash uint64) *shard { return t.shards[hash>>(64-shardBits)].Load() }

// Find says what a tenant is granted. It allocates nothing.
func (t *Table) Find(name string) (Tenant, bool) {
	hash := xxhash.Sum64String(name)
	s := t.of(hash)
	if s == nil {
		return Tenant{}, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, at, ok := s.find(name, uint32(hash))
	if !ok {
		return Tenant{}, false
	}
	p, i := s.entry(at)
	return Tenant{ID: int(p.id[i]), Terms: p.terms[i]}, true
}

// At says which revision of an entry is held, and the sum of its text.
func (t *Table) At(name string) (revision int64, sum uint32, ok bool) {
	hash := xxhash.Sum64String(name)
	s := t.of(hash)
	if s == nil {
		return 0, 0, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, at, ok := s.find(name, uint32(hash))
	if !ok {
		return 0, 0, false
	}
	p, i := s.entry(at)
	return p.revision[i], p.sum[i], true
}

// Put enters a tenant, or gives the one of that name other terms.
func (t *Table) Put(name string, terms Terms, revision int64, sum uint32) {
	hash := xxhash.Sum64String(name)
	s := t.of(hash)
	if s == nil {
		t.shards[hash>>(64-shardBits)].CompareAndSwap(nil, new(shard))
		s = t.of(hash)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, at, ok := s.find(name, uint32(hash))
	if !ok {
		at = s.add(name, uint32(hash), t.lastID.Add(1)-1)
		t.count.Add(1)
	}
	p, i := s.entry(at)
	p.terms[i], p.revision[i], p.sum[i] = terms, revision, sum
}

// Delete takes a tenant out and says whether there was one.
func (t *Table) Delete(name string) bool {
	hash := xxhash.Sum64String(name)
	s := t.of(hash)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, at, ok := s.find(name, uint32(hash))
	if ok {
		s.remove(slot, at)
		t.count.Add(-1)
	}
	return ok
}

// Len is how many there are.
func (t *Table) Len() int { return int(t.count.Load()) }

// All gives every tenant, shard by shard: what changes meanwhile may be given as it was. The table may be changed from
// within the loop.
func (t *Table) All() iter.Seq2[string, Tenant] {
	return func(yield func(string, Tenant) bool) {
		var names []string
		var held []Tenant
		for i := range t.shards {
			s := t.shards[i].Load()
			if s == nil {
				continue
			}
			names, held = s.list(names[:0], held[:0])
			for k := range names {
				if !yield(names[k], held[k]) {
					return
				}
			}
		}
	}
}
