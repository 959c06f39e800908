package tenants

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// pageSize is the number of entries allocated together. 16 entries of 36 bytes make 576 bytes, a size class of the
	// allocator, so nothing is lost to rounding; a half-empty page in each shard wastes 3 % of the whole table.
	pageSize = 16
	// minIndexSize is the size of the smallest index. An index doubles when it is seven eighths full, because linear
	// probing stays short up to that load factor.
	minIndexSize = 8
	// An arena is compacted when names of removed tenants take more than deadAllowance bytes plus 1/deadFraction of it.
	// Compacting a shard of 300 entries takes a few microseconds and happens about every twenty removals.
	deadFraction, deadAllowance = 16, 64
	// An arena grows by 1/arenaGrowth of its size. Doubling would leave it a quarter empty on average; smaller steps
	// would produce many times the table's size in garbage while a table is filled.
	arenaGrowth = 4
	// maxEntries is the number of entries that a two-byte index can address per shard. Over all shards that is
	// 67 million tenants, more than any process holds.
	maxEntries = 1<<16 - 1
)

// page holds pageSize entries as one array per field, because a struct per entry would be padded to 40 bytes.
type page struct {
	terms      [pageSize]Terms
	revision   [pageSize]int64
	nameOffset [pageSize]uint32 // offset in the arena of the name's length (uvarint) and bytes
	checksum   [pageSize]uint32
	id         [pageSize]uint32
}

// shard holds the tenants of one part of the hash space. Its entries are dense: when one is removed, the last entry
// moves into its position.
type shard struct {
	mu        sync.RWMutex
	pages     []*page
	count     int
	index     []uint16 // open-addressing hash table of 1 + the entry's position; 0: free slot
	arena     []byte
	deadBytes int // bytes of the arena that belong to removed names
}

// entry returns the page of the entry at a position and the entry's offset in that page.
func (s *shard) entry(pos int) (*page, int) { return s.pages[pos/pageSize], pos % pageSize }

// nameOf returns the name of an entry as a slice of the arena.
func (s *shard) nameOf(pos int) []byte {
	p, i := s.entry(pos)
	length, n := binary.Uvarint(s.arena[p.nameOffset[i]:])
	from := int(p.nameOffset[i]) + n
	return s.arena[from : from+int(length)]
}

func (s *shard) hashOf(pos int) uint32 { return uint32(xxhash.Sum64(s.nameOf(pos))) }

// find returns the index slot and the entry position of a name.
func (s *shard) find(name string, hash uint32) (slot, pos int, ok bool) {
	if len(s.index) == 0 {
		return 0, 0, false
	}
	mask := len(s.index) - 1
	for slot = int(hash) & mask; s.index[slot] != 0; slot = (slot + 1) & mask {
		if pos = int(s.index[slot]) - 1; string(s.nameOf(pos)) == name {
			return slot, pos, true
		}
	}
	return 0, 0, false
}

// add appends an entry for a name that is not in the shard yet and returns its position.
func (s *shard) add(name string, hash, id uint32) (pos int) {
	if s.count == maxEntries {
		panic("tenants: too many entries in one shard for its index")
	}
	if 8*(s.count+1) > 7*len(s.index) {
		s.rebuildIndex(max(minIndexSize, 2*len(s.index)))
	}
	if pos = s.count; pos == len(s.pages)*pageSize {
		s.pages = append(s.pages, new(page))
	}
	s.count++
	p, i := s.entry(pos)
	p.nameOffset[i], p.id[i] = s.appendName(name), id
	s.insertIndex(hash, pos)
	return pos
}

// appendName appends a name to the arena and returns its offset.
func (s *shard) appendName(name string) uint32 {
	need := len(s.arena) + binary.MaxVarintLen32 + len(name)
	if need > cap(s.arena) {
		s.arena = append(make([]byte, 0, need+need/arenaGrowth), s.arena...)
	}
	from := len(s.arena)
	s.arena = append(binary.AppendUvarint(s.arena, uint64(len(name))), name...)
	return uint32(from)
}

// insertIndex stores the position of an entry in the first free slot for its hash.
func (s *shard) insertIndex(hash uint32, pos int) {
	mask := len(s.index) - 1
	slot := int(hash) & mask
	for s.index[slot] != 0 {
		slot = (slot + 1) & mask
	}
	s.index[slot] = uint16(pos + 1)
}

// rebuildIndex replaces the index by one of the given size, a power of two.
func (s *shard) rebuildIndex(size int) {
	s.index = make([]uint16, size)
	for pos := range s.count {
		s.insertIndex(s.hashOf(pos), pos)
	}
}

// slotOf returns the index slot that refers to an entry.
func (s *shard) slotOf(pos int) int {
	mask := len(s.index) - 1
	slot := int(s.hashOf(pos)) & mask
	for s.index[slot] != uint16(pos+1) {
		slot = (slot + 1) & mask
	}
	return slot
}

// remove deletes the entry at a position, to which the index slot refers.
func (s *shard) remove(slot, pos int) {
	p, i := s.entry(pos)
	length, prefix := binary.Uvarint(s.arena[p.nameOffset[i]:])
	last := s.count - 1
	if pos != last {
		s.index[s.slotOf(last)] = uint16(pos + 1)
		q, j := s.entry(last)
		p.terms[i], p.revision[i], p.nameOffset[i], p.checksum[i], p.id[i] = q.terms[j], q.revision[j], q.nameOffset[j], q.checksum[j], q.id[j]
	}
	s.count = last
	if used := (s.count + pageSize - 1) / pageSize; used+1 < len(s.pages) { // one empty page is kept for the next insertion
		s.pages[len(s.pages)-1] = nil
		s.pages = s.pages[:len(s.pages)-1]
	}
	s.deleteSlot(slot)
	s.deadBytes += prefix + int(length)
	if s.deadBytes > deadAllowance+len(s.arena)/deadFraction {
		s.compactArena()
	}
}

// deleteSlot empties an index slot and moves back the entries after it that collisions had pushed past it.
func (s *shard) deleteSlot(slot int) {
	mask := len(s.index) - 1
	for next := (slot + 1) & mask; s.index[next] != 0; next = (next + 1) & mask {
		home := int(s.hashOf(int(s.index[next])-1)) & mask
		if (next-home)&mask >= (next-slot)&mask {
			s.index[slot], slot = s.index[next], next
		}
	}
	s.index[slot] = 0
}

// compactArena copies the names still in use to a new arena.
func (s *shard) compactArena() {
	room := len(s.arena) - s.deadBytes
	live := make([]byte, 0, room+room/deadFraction)
	for pos := range s.count {
		name := s.nameOf(pos)
		p, i := s.entry(pos)
		p.nameOffset[i] = uint32(len(live))
		live = append(binary.AppendUvarint(live, uint64(len(name))), name...)
	}
	s.arena, s.deadBytes = live, 0
}

// appendTo appends the name and the tenant of each entry to the two slices and returns them.
func (s *shard) appendTo(names []string, tenants []Tenant) ([]string, []Tenant) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for pos := range s.count {
		p, i := s.entry(pos)
		names, tenants = append(names, string(s.nameOf(pos))), append(tenants, Tenant{ID: int(p.id[i]), Terms: p.terms[i]})
	}
	return names, tenants
}
