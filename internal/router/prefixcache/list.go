package prefixcache

// noEntry is the position that marks the end of a list.
const noEntry int32 = -1

// lruList is a doubly linked list of positions in Cache.entries, ordered by last use.
type lruList struct {
	newest   int32
	oldest   int32
	count    int
	maxCount int
}

func newLRUList(maxCount int) lruList {
	return lruList{newest: noEntry, oldest: noEntry, maxCount: maxCount}
}

func (c *Cache) listOf(position int32) *lruList {
	if c.entries[position].isReused {
		return &c.reused
	}
	return &c.usedOnce
}

func (c *Cache) pushNewest(to *lruList, position int32) {
	pushed := &c.entries[position]
	pushed.newer, pushed.older = noEntry, to.newest
	if to.newest != noEntry {
		c.entries[to.newest].newer = position
	} else {
		to.oldest = position
	}
	to.newest = position
	to.count++
}

func (c *Cache) unlink(position int32) {
	from, removed := c.listOf(position), &c.entries[position]
	if removed.newer != noEntry {
		c.entries[removed.newer].older = removed.older
	} else {
		from.newest = removed.older
	}
	if removed.older != noEntry {
		c.entries[removed.older].newer = removed.newer
	} else {
		from.oldest = removed.newer
	}
	from.count--
}
