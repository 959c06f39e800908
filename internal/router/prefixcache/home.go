package prefixcache

// RendezvousWeight returns the weight of an instance for a shared block in rendezvous hashing; the instance with the
// highest weight is the block's home. Routers that know the same instances choose the same home without communication,
// so that requests are sent to the same instance even for a block that each router rarely sees.
func RendezvousWeight(instanceHash uint64, key Key) uint64 { return mix(instanceHash ^ uint64(key)) }

// HomeKey returns the key that determines a prompt's home: that of its last shared block. It reports false for a prompt
// without shared blocks.
func HomeKey(modelHash uint64, blocks []Block) (Key, bool) {
	shared := SharedBlocks(blocks)
	if len(shared) == 0 {
		return 0, false
	}
	return KeyOf(modelHash, shared[len(shared)-1].ID), true
}
