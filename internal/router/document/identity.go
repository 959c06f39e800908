package document

import (
	"crypto/sha256"
	"encoding/binary"
)

// Identity returns an identifier of an operator's request, derived from the operation, the base revision and the body.
// Equal requests have equal identifiers; different ones differ except for hash collisions.
func Identity(operation string, base int64, body []byte) [16]byte {
	hash := sha256.New()
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(len(operation)))
	hash.Write(buffer[:])
	hash.Write([]byte(operation))
	binary.BigEndian.PutUint64(buffer[:], uint64(base))
	hash.Write(buffer[:])
	hash.Write(body)
	return [16]byte(hash.Sum(nil)[:16])
}
