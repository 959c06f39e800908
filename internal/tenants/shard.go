package tenants

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// pageSize is how many entries are allocated together: 16 of 36 bytes are 576, which the allocator hands out without
	// waste, and a page half empty in each shard is 3 % of the whole.
	pageSize = 16
	// indexLeast is the smallest index, and an index is doubled once seven eighths of its places are taken: linear probing
	// looks at few places up to there.
	indexLeast = 8
	// deadMost is the share of an arena, as a divisor, that names of removed tenants may take, beside deadFree bytes: to clear
	// a shard of 300 takes some microseconds, after some twenty removals.
	deadMost, deadFree = 16, 64
	// spare is by how much an arena grows, as a divisor: doubled, it would be a quarter empty, and with less, what filling a
	// table leaves to the collector is many times the table.
	spare = 4
	// entriesMost is what an index of two bytes can tell apart, which is 67 million tenants in all: no process holds so many.
	entriesMost = 1<<16 - 1
)

// page is a run of entries, field by field, since a struct of each would be rounded up to 40 bytes.
type page struct {
	terms    [pageSize]Terms
	revision [pageSize]int64
	name     [pageSize]uint32 // where it begins in the arena: its length, then its bytes
	sum      [pageSize]uint32
	id       [pageSize]uint32
}

// shard is the tenants of one part of the hashes. Its entries lie densely: the last takes the place of one that goes.
type shard struct {
	mu    sync.RWMutex
	pages []*page
	count int
	index []uint16 // by hash: 1 + the place of an entry; 0: free
	arena []byte
	dead  int // bytes of the arena that nobody's name is in
}

func (s *shard) entry(at int) (*page, int) { return s.pages[at/pageSize], at % pageSize }

// nameOf gives the bytes of an entry's name in the arena.
func (s *shard) nameOf(at int) []byte {
	p, i := s.entry(at)
	length, n := binary.Uvarint(s.arena[p.name[i]:])
	from := int(p.name[i]) + n
	return s.arena[from : from+int(length)]
}

func (s *shard) hashOf(at int) uint32 { return uint32(xxhash.Sum64(s.nameOf(at))) }

// find gives the place of a name in the index and of its entry.
func (s *shard) find(name string, hash uint32) (slot, at int, ok bool) {
	if len(s.index) == 0 {
		return 0, 0, false
	}
	mask := len(s.index) - 1
	for slot = int(hash) & mask; s.index[slot] != 0; slot = (slot + 1) & mask {
		if at = int(s.index[slot]) - 1; string(s.nameOf(at)) == name {
			return slot, at, true
		}
	}
	return 0, 0, false
}

// add makes an entry for a name that has none.
func (s *shard) add(name string, hash, id uint32) (at int) {
	if s.count == entriesMost {
		panic("tenants: more than an index can tell apart")
	}
	if 8*(s.count+1) > 7*len(s.index) {
		s.indexAnew(max(indexLeast, 2*len(s.index)))
	}
	if at = s.count; at == len(s.pages)*pageSize {
		s.pages = append(s.pages, new(page))
	}
	s.count++
	p, i := s.entry(at)
	p.name[i], p.id[i] = s.write(name), id
	s.point(hash, at)
	return at
}

// write puts a name at the end of the arena.
func (s *shard) write(name string) uint32 {
	need := len(s.arena) + binary.MaxVarintLen32 + len(name)
	if need > cap(s.arena) {
		s.arena = append(make([]byte, 0, need+need/spare), s.arena...)
	}
	from := len(s.arena)
	s.arena = append(binary.AppendUvarint(s.arena, uint64(len(name))), name...)
	return uint32(from)
}

// point has the index lead from a hash to an entry.
func (s *shard) point(hash uint32, at int) {
	mask := len(s.index) - 1
	slot := int(hash) & mask
	for s.index[slot] != 0 {
		slot = (slot + 1) & mask
	}
	s.index[slot] = uint16(at + 1)
}

func (s *shard) indexAnew(size int) {
	s.index = make([]uint16, size)
	for at := range s.count {
		s.point(s.hashOf(at), at)
	}
}

// slotOf is where the index leads to an entry.
func (s *shard) slotOf(at int) int {
	mask := len(s.index) - 1
	slot := int(s.hashOf(at)) & mask
	for s.index[slot] != uint16(at+1) {
		slot = (slot + 1) & mask
	}
	return slot
}

// remove takes out the entry at a place that slot leads to.
func (s *shard) remove(slot, at int) {
	p, i := s.entry(at)
	length, prefix := binary.Uvarint(s.arena[p.name[i]:])
	last := s.count - 1
	if at != last {
		s.index[s.slotOf(last)] = uint16(at + 1)
		q, j := s.entry(last)
		p.terms[i], p.revision[i], p.name[i], p.sum[i], p.id[i] = q.terms[j], q.revision[j], q.name[j], q.sum[j], q.id[j]
	}
	s.count = last
	if used := (s.count + pageSize - 1) / pageSize; used+1 < len(s.pages) { // one is kept for the next to come
		s.pages[len(s.pages)-1] = nil
		s.pages = s.pages[:len(s.pages)-1]
	}
	s.free(slot)
	s.dead += prefix + int(length)
	if s.dead > deadFree+len(s.arena)/deadMost {
		s.clearDead()
	}
}

// free empties a place of the index and moves up those behind it that were kept from theirs.
func (s *shard) free(slot int) {
	mask := len(s.index) - 1
	for next := (slot + 1) & mask; s.index[next] != 0; next = (next + 1) & mask {
		home := int(s.hashOf(int(s.index[next])-1)) & mask
		if (next-home)&mask >= (next-slot)&mask {
			s.index[slot], slot = s.index[next], next
		}
	}
	s.index[slot] = 0
}

// clearDead writes the names that are in use to an arena of their own.
func (s *shard) clearDead() {
	room := len(s.arena) - s.dead
	live := make([]byte, 0, room+room/deadMost)
	for at := range s.count {
		name := s.nameOf(at)
		p, i := s.entry(at)
		p.name[i] = uint32(len(live))
		live = append(binary.AppendUvarint(live, uint64(len(name))), name...)
	}
	s.arena, s.dead = live, 0
}

// list appends what the shard holds.
func (s *shard) list(names []string, held []Tenant) ([]string, []Tenant) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for at := range s.count {
		p, i := s.entry(at)
		names, held = append(names, string(s.nameOf(at))), append(held, Tenant{ID: int(p.id[i]), Terms: p.terms[i]})
	}
	return names, held
}
