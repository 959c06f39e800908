// Package tenants holds the table of tenants: for each name, what the tenant is granted and the revision that granted
// it. The table is built for hundreds of thousands of tenants in one process; every call reads it, and changes come one
// entry at a time. The package must never count requests, decide what happens to a tenant over its quota, or read
// settings and stores itself.
//
// Names are spread over shards (shard.go), each with its own lock. The upkeep that a change causes (growing an index,
// compacting an arena) stays within one shard, so that readers wait for a few microseconds at most.
package tenants

import (
	"iter"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Terms is what a tenant is granted.
type Terms struct {
	Quota float64 // requests per second over the whole fleet; 0: unlimited
	Share float64 // fraction of the fleet
}

// Tenant is an entry as lookups return it. The ID stays the same as long as the entry exists and is never reused.
type Tenant struct {
	ID int
	Terms
}

// With 1024 shards, a table of 300,000 tenants has some 300 entries in each, so that rebuilding an index or compacting
// an arena takes microseconds. An empty table takes 8 KB.
const (
	shardBits = 10
	shards    = 1 << shardBits
)

// Table maps names to tenants. The zero value is an empty table ready for use. It is safe for concurrent use.
type Table struct {
	shards [shards]atomic.Pointer[shard] // allocated on first use, since most tables are small
	lastID atomic.Uint32
	count  atomic.Int64
}

// shardOf returns the shard for a hash, chosen by its upper bits; the shard's index uses the lower ones. It is nil if
// nothing was ever put there.
func (t *Table) shardOf(hash uint64) *shard { return t.shards[hash>>(64-shardBits)].Load() }

// Find returns the tenant of a name. It does not allocate.
func (t *Table) Find(name string) (Tenant, bool) {
	hash := xxhash.Sum64String(name)
	s := t.shardOf(hash)
	if s == nil {
		return Tenant{}, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, pos, ok := s.find(name, uint32(hash))
	if !ok {
		return Tenant{}, false
	}
	p, i := s.entry(pos)
	return Tenant{ID: int(p.id[i]), Terms: p.terms[i]}, true
}

// Version returns the revision of an entry and the checksum of its text, as given to Put.
func (t *Table) Version(name string) (revision int64, checksum uint32, ok bool) {
	hash := xxhash.Sum64String(name)
	s := t.shardOf(hash)
	if s == nil {
		return 0, 0, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, pos, ok := s.find(name, uint32(hash))
	if !ok {
		return 0, 0, false
	}
	p, i := s.entry(pos)
	return p.revision[i], p.checksum[i], true
}

// Put adds a tenant, or replaces the terms, revision and checksum of the one with that name.
func (t *Table) Put(name string, terms Terms, revision int64, checksum uint32) {
	hash := xxhash.Sum64String(name)
	s := t.shardOf(hash)
	if s == nil {
		t.shards[hash>>(64-shardBits)].CompareAndSwap(nil, new(shard))
		s = t.shardOf(hash)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, pos, ok := s.find(name, uint32(hash))
	if !ok {
		pos = s.add(name, uint32(hash), t.lastID.Add(1)-1)
		t.count.Add(1)
	}
	p, i := s.entry(pos)
	p.terms[i], p.revision[i], p.checksum[i] = terms, revision, checksum
}

// Delete removes a tenant and reports whether there was one.
func (t *Table) Delete(name string) bool {
	hash := xxhash.Sum64String(name)
	s := t.shardOf(hash)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, pos, ok := s.find(name, uint32(hash))
	if ok {
		s.remove(slot, pos)
		t.count.Add(-1)
	}
	return ok
}

// Len returns the number of tenants.
func (t *Table) Len() int { return int(t.count.Load()) }

// All iterates over the tenants, shard by shard. Each shard is copied when the iteration reaches it, so that a later
// change may not be seen. The table may be changed from within the loop.
func (t *Table) All() iter.Seq2[string, Tenant] {
	return func(yield func(string, Tenant) bool) {
		var names []string
		var tenants []Tenant
		for i := range t.shards {
			s := t.shards[i].Load()
			if s == nil {
				continue
			}
			names, tenants = s.appendTo(names[:0], tenants[:0])
			for k := range names {
				if !yield(names[k], tenants[k]) {
					return
				}
			}
		}
	}
}
