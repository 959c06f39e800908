package commonprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/internal/router/prefixcache"
)

// Key identifies a prompt prefix of a model at a backend.
type Key uint64

// Hash returns the key of the prefix that consists of the given blocks. The seed is random and the same in the whole
// fleet, so that a tenant can't choose blocks whose key collides with that of another tenant's prefix.
func Hash(seed uint64, backend, model string, blocks []prefixcache.Block) Key {
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.WriteString(backend)
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(model)
	_, _ = digest.Write(separator)
	var encoded [8]byte
	for _, block := range blocks {
		binary.LittleEndian.PutUint64(encoded[:], block.ID)
		_, _ = digest.Write(encoded[:])
	}
	return Key(digest.Sum64())
}

// separator ends each name, so that different pairs of names never encode to the same bytes.
var separator = []byte{0}
