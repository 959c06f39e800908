package flowrig

import (
	"hash"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Content makes a body of n bytes that no other seed makes: a byte that comes from another answer, or from another
// place of the same one, shows in the hash. ChaCha8 fills gigabytes a second and repeats nothing.
func Content(seed uint64, n int) []byte {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(seed >> (8 * i))
	}
	body := make([]byte, n)
	rand.NewChaCha8(key).Read(body)
	return body
}

// Sum is the hash that bodies are compared by.
func Sum(body []byte) uint64 { return xxhash.Sum64(body) }

// Named is a seed from a name.
func Named(name string) uint64 { return xxhash.Sum64String(name) }

func newSum() hash.Hash64 { return xxhash.New() }
