package prefixcache

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var model = HashName("m")

// referenceCache is a simple, slow implementation of Cache: one slice of blocks, the least recently used first.
type referenceCache struct {
	capacity int64
	routers  int64
	blocks   []referenceBlock
}

type referenceBlock struct {
	key    Key
	weight int64
	uses   int
}

func (r *referenceCache) kept(modelHash uint64, blocks []Block) int {
	for i, block := range blocks {
		if r.find(KeyOf(modelHash, block.ID)) < 0 {
			return i
		}
	}
	return len(blocks)
}

func (r *referenceCache) find(key Key) int {
	return slices.IndexFunc(r.blocks, func(block referenceBlock) bool { return block.key == key })
}

func (r *referenceCache) used(modelHash uint64, blocks []Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		weight := int64(blocks[i].Tokens)
		if i == len(blocks)-1 {
			weight *= r.routers
		}
		r.touch(KeyOf(modelHash, blocks[i].ID), weight, 1)
	}
	r.evict()
}

func (r *referenceCache) heard(key Key, tokens int) {
	uses := 0
	if r.find(key) < 0 {
		uses = 1
	}
	r.touch(key, int64(tokens), uses)
	r.evict()
}

func (r *referenceCache) touch(key Key, weight int64, uses int) {
	touched := referenceBlock{key: key}
	if at := r.find(key); at >= 0 {
		touched = r.blocks[at]
		r.blocks = slices.Delete(r.blocks, at, at+1)
	}
	touched.weight = weight
	touched.uses += uses
	r.blocks = append(r.blocks, touched)
}

func (r *referenceCache) evict() {
	r.evictDownTo(maxUsedOnce, func(block referenceBlock) bool { return block.uses == 1 })
	r.evictDownTo(maxReused, func(block referenceBlock) bool { return block.uses > 1 })
	for r.size() > r.capacity && len(r.blocks) > 0 {
		r.blocks = r.blocks[1:]
	}
}

// evictDownTo removes the least recently used blocks of a class until at most limit of them are left.
func (r *referenceCache) evictDownTo(limit int, inClass func(referenceBlock) bool) {
	count := 0
	for _, block := range r.blocks {
		if inClass(block) {
			count++
		}
	}
	for ; count > limit; count-- {
		at := slices.IndexFunc(r.blocks, inClass)
		r.blocks = slices.Delete(r.blocks, at, at+1)
	}
}

func (r *referenceCache) size() (sum int64) {
	for _, block := range r.blocks {
		sum += block.weight
	}
	return sum
}

func TestCacheMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(0, 3000).Draw(t, "capacity")
		routers := rapid.IntRange(1, 4).Draw(t, "routers")
		cache, reference := New(capacity, routers), &referenceCache{capacity: capacity, routers: int64(routers)}
		blocks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Block {
			return Block{ID: rapid.Uint64Range(0, 12).Draw(t, "id"), Tokens: rapid.IntRange(0, 400).Draw(t, "tokens")}
		}), 0, 5)
		models := rapid.SampledFrom([]uint64{model, HashName("other")})
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				modelHash, chain := models.Draw(t, "model"), blocks.Draw(t, "blocks")
				cache.RecordUse(modelHash, chain)
				reference.used(modelHash, chain)
			},
			"remote use": func(t *rapid.T) {
				key := KeyOf(models.Draw(t, "model"), rapid.Uint64Range(0, 12).Draw(t, "id"))
				tokens := rapid.IntRange(0, 400).Draw(t, "tokens")
				cache.RecordRemoteUse(key, tokens)
				reference.heard(key, tokens)
			},
			"resize": func(t *rapid.T) {
				reference.capacity = rapid.Int64Range(0, 3000).Draw(t, "capacity")
				cache.Resize(reference.capacity, routers)
				reference.evict()
			},
			"": func(t *rapid.T) {
				assert.Equal(t, cache.Len(), len(reference.blocks))
				assert.Equal(t, cache.Size(), reference.size())
				modelHash, chain := models.Draw(t, "model"), blocks.Draw(t, "blocks")
				assert.Equal(t, cache.CachedBlocks(modelHash, chain), reference.kept(modelHash, chain))
				assert.Equal(t, cache.UncachedTokens(modelHash, chain), TotalTokens(chain[reference.kept(modelHash, chain):]))
			},
		})
	})
}

func TestBlockCountsOnlyAfterItsPredecessors(t *testing.T) {
	cache := New(1000, 1)
	cache.RecordUse(model, []Block{{2, 100}, {3, 100}})
	assert.Equal(t, cache.UncachedTokens(model, []Block{{1, 50}, {2, 100}, {3, 100}}), 250)
	cache.RecordUse(model, []Block{{1, 50}})
	assert.Equal(t, cache.UncachedTokens(model, []Block{{1, 50}, {2, 100}, {3, 100}}), 0)
}

func TestBlocksOfAnotherModelDoNotCount(t *testing.T) {
	cache := New(1000, 1)
	cache.RecordUse(model, []Block{{1, 50}})
	assert.Equal(t, cache.UncachedTokens(HashName("other"), []Block{{1, 50}}), 50)
}

func TestLaterBlocksAreEvictedFirst(t *testing.T) {
	cache := New(300, 1)
	cache.RecordUse(model, []Block{{1, 100}, {2, 100}, {3, 100}})
	cache.RecordUse(model, []Block{{4, 100}})
	assert.Equal(t, cache.CachedBlocks(model, []Block{{1, 100}, {2, 100}, {3, 100}}), 2)
}

func TestLastBlockIsChargedForEachRouter(t *testing.T) {
	cache := New(1000, 9)
	cache.RecordUse(model, []Block{{1, 100}, {2, 50}})
	assert.Equal(t, cache.Size(), int64(100+9*50))
}

func TestUniqueBlocksDoNotEvictReusedOnes(t *testing.T) {
	cache := New(1<<40, 1)
	for unique := range uint64(100_000) {
		cache.RecordUse(model, []Block{{unique % 100, 10}, {1000 + unique, 10}})
	}
	assert.Assert(t, cache.Len() <= maxUsedOnce+100)
	assert.Assert(t, len(cache.entries) <= maxUsedOnce+102)
	for shared := range uint64(100) {
		assert.Equal(t, cache.CachedBlocks(model, []Block{{shared, 10}}), 1)
	}
}

// TestRemoteUsesDoNotMakeABlockReused guards against counting one use by another router, which may be reported more
// than once, as several uses: such blocks would evict those that this router reuses.
func TestRemoteUsesDoNotMakeABlockReused(t *testing.T) {
	cache := New(1<<40, 1)
	for block := range uint64(10 * maxUsedOnce) {
		cache.RecordRemoteUse(KeyOf(model, block), 10)
		cache.RecordRemoteUse(KeyOf(model, block), 10)
	}
	assert.Equal(t, cache.Len(), maxUsedOnce)
	assert.Equal(t, cache.Size(), int64(10*maxUsedOnce))
}

func TestHomesAreEvenAndStable(t *testing.T) {
	const instances, keys = 12, 12_000
	counts := make([]int, instances)
	moved := 0
	for key := range uint64(keys) {
		before := homeAmong(instances, KeyOf(model, key))
		counts[before]++
		after := homeAmong(instances-1, KeyOf(model, key))
		if before != after {
			moved++
			assert.Equal(t, before, instances-1, "only keys of the removed instance may move")
		}
	}
	for _, count := range counts {
		assert.Assert(t, count > keys/instances*8/10 && count < keys/instances*12/10, "%v", counts)
	}
	assert.Equal(t, moved, counts[instances-1])
}

func homeAmong(instances int, key Key) int {
	home, best := 0, uint64(0)
	for i := range instances {
		if weight := RendezvousWeight(mix(uint64(i)), key); weight > best {
			home, best = i, weight
		}
	}
	return home
}

func TestHomeKeyIsTheLastSharedBlock(t *testing.T) {
	_, ok := HomeKey(model, []Block{{1, 10}})
	assert.Assert(t, !ok)
	one, ok := HomeKey(model, []Block{{1, 10}, {2, 10}, {3, 10}})
	assert.Assert(t, ok)
	other, _ := HomeKey(model, []Block{{1, 10}, {2, 10}, {4, 10}})
	assert.Equal(t, one, other)
	assert.Equal(t, one, KeyOf(model, 2))
}

func BenchmarkUsed(b *testing.B) {
	cache := New(1_000_000, 9)
	next := uint64(1 << 32)
	for b.Loop() {
		next++
		cache.RecordUse(model, []Block{{next % 4, 2520}, {100 + next%742, 3780}, {next, 2890}})
	}
}
