package prefixcache

// maxUsedOnce is the maximum number of entries for blocks that were used once. Most of these blocks are the unique last
// block of a request and are never used again.
const maxUsedOnce = 256

// maxReused is the maximum number of entries for blocks that were used more than once.
const maxReused = 2048

// Key identifies a block in the prefix cache of a model.
type Key uint64

// KeyOf returns the key of a block of a model, which is given by its HashName value.
func KeyOf(modelHash uint64, blockID uint64) Key { return Key(mix(modelHash ^ mix(blockID))) }

// HashName returns the 64-bit FNV-1a hash of a model's name.
func HashName(model string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := 0; i < len(model); i++ {
		hash = (hash ^ uint64(model[i])) * prime
	}
	return hash
}

// mix scrambles the bits of x with the output function of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Cache models the prefix cache of one instance: an LRU cache of blocks with a capacity in tokens. Blocks used once and
// reused blocks have separate lists, each with a maximum length, so that many blocks that are used only once don't
// evict reused ones as long as the capacity is not exceeded.
type Cache struct {
	capacity    int64
	routers     int64
	size        int64 // sum of the weights of the entries, in tokens
	useCount    uint64
	index       map[Key]int32
	entries     []entry
	freeEntries []int32
	usedOnce    lruList
	reused      lruList
}

type entry struct {
	key      Key
	lastUse  uint64 // value of Cache.useCount at the last use
	weight   int64  // tokens charged against the capacity
	newer    int32
	older    int32
	isReused bool
}

// New returns an empty cache for an instance that can hold capacity tokens and receives requests from the given number
// of routers.
func New(capacity int64, routers int) *Cache {
	return &Cache{
		capacity: max(0, capacity),
		routers:  int64(max(1, routers)),
		index:    map[Key]int32{},
		usedOnce: newLRUList(maxUsedOnce),
		reused:   newLRUList(maxReused),
	}
}

// Resize sets the number of tokens that the instance can hold in addition to its running requests, and the number of
// routers. It evicts blocks that no longer fit.
func (c *Cache) Resize(capacity int64, routers int) {
	c.capacity = max(0, capacity)
	c.routers = int64(max(1, routers))
	c.evict()
}

// CachedBlocks returns the number of leading blocks of a prompt that the instance is estimated to hold.
func (c *Cache) CachedBlocks(modelHash uint64, blocks []Block) int {
	for i, block := range blocks {
		if _, ok := c.index[KeyOf(modelHash, block.ID)]; !ok {
			return i
		}
	}
	return len(blocks)
}

// UncachedTokens returns the number of tokens in the blocks that the instance would have to compute (prefill).
func (c *Cache) UncachedTokens(modelHash uint64, blocks []Block) int {
	return TotalTokens(blocks[c.CachedBlocks(modelHash, blocks):])
}

// RecordUse records that this router sent a prompt of these blocks to the instance. Each of the other routers is
// assumed to send as many requests, whose last blocks are unknown here, so the last block is charged once for each
// router. The shared blocks are the same for all routers and are charged once.
func (c *Cache) RecordUse(modelHash uint64, blocks []Block) {
	// From the last block to the first, so that the later blocks of a prompt, which are useless without the earlier
	// ones, are evicted first.
	for i := len(blocks) - 1; i >= 0; i-- {
		weight := int64(blocks[i].Tokens)
		if i == len(blocks)-1 {
			weight *= c.routers
		}
		c.touch(KeyOf(modelHash, blocks[i].ID), weight, true)
	}
	c.evict()
}

// RecordRemoteUse records that another router sent a block to the instance. It doesn't make a known block a reused one,
// because the same use may be reported more than once; only this router's own requests do.
func (c *Cache) RecordRemoteUse(key Key, tokens int) {
	c.touch(key, int64(tokens), false)
	c.evict()
}

// Len returns the number of blocks in the cache.
func (c *Cache) Len() int { return len(c.index) }

// Size returns the number of tokens charged against the capacity.
func (c *Cache) Size() int64 { return c.size }

// touch makes a block the most recently used one and sets its weight; it inserts the block if necessary. An own use of
// a block that is already present marks the block as reused.
func (c *Cache) touch(key Key, weight int64, isOwnUse bool) {
	c.useCount++
	position, known := c.index[key]
	if !known {
		position = c.insert(key)
	} else {
		c.unlink(position)
		c.entries[position].isReused = c.entries[position].isReused || isOwnUse
	}
	touched := &c.entries[position]
	if touched.isReused {
		c.pushNewest(&c.reused, position)
	} else {
		c.pushNewest(&c.usedOnce, position)
	}
	c.size += weight - touched.weight
	touched.weight = weight
	touched.lastUse = c.useCount
}

func (c *Cache) insert(key Key) int32 {
	var position int32
	if last := len(c.freeEntries) - 1; last >= 0 {
		position = c.freeEntries[last]
		c.freeEntries = c.freeEntries[:last]
		c.entries[position] = entry{key: key}
	} else {
		position = int32(len(c.entries))
		c.entries = append(c.entries, entry{key: key})
	}
	c.index[key] = position
	return position
}

// evict removes the least recently used blocks until both list lengths and the capacity are within their limits.
func (c *Cache) evict() {
	for c.usedOnce.count > c.usedOnce.maxCount {
		c.remove(c.usedOnce.oldest)
	}
	for c.reused.count > c.reused.maxCount {
		c.remove(c.reused.oldest)
	}
	for c.size > c.capacity && len(c.index) > 0 {
		c.remove(c.leastRecentlyUsed())
	}
}

func (c *Cache) leastRecentlyUsed() int32 {
	oldestOnce, oldestReused := c.usedOnce.oldest, c.reused.oldest
	if oldestOnce == noEntry {
		return oldestReused
	}
	if oldestReused == noEntry {
		return oldestOnce
	}
	if c.entries[oldestOnce].lastUse < c.entries[oldestReused].lastUse {
		return oldestOnce
	}
	return oldestReused
}

func (c *Cache) remove(position int32) {
	c.unlink(position)
	c.size -= c.entries[position].weight
	delete(c.index, c.entries[position].key)
	c.freeEntries = append(c.freeEntries, position)
}
