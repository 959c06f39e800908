package routes

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// share is a Share in the form that pool uses.
type share struct {
	pool   int    // index
	salt   uint64 // hash of the pool's name
	weight float64
}

// Bounds of a weight. Within them, the draws keep far from the limits of float64 precision.
const (
	minWeight = 1e-6
	maxWeight = 1e6
)

// Key returns the key by which a call sticks to a pool: a hash of its Idempotency-Key; if that is empty, of the key of
// the object that it concerns; else of the client's ID for it. The first two are the same on each retry of a client,
// the last only if the client keeps it. The seed of the hash is fixed, so that all balancers choose the same pool
// without communication, also after a restart.
func Key(idempotency, request, client string) uint64 {
	switch {
	case idempotency != "":
		return xxhash.Sum64String(idempotency)
	case request != "":
		return xxhash.Sum64String(request)
	}
	return xxhash.Sum64String(client)
}

// Pool returns the index of the pool that a key belongs to under an entry. Each share draws an exponentially
// distributed time, with its weight as the rate, from the key and the pool's name alone; the earliest wins.
func (t *Table) Pool(entry int, key uint64) int { return t.entries[entry].pool(key) }

func (e *entry) pool(key uint64) int {
	shares := e.shares
	best, earliest := shares[0].pool, math.Inf(1)
	if len(shares) == 1 {
		return best
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	for i := range shares {
		s := &shares[i]
		binary.LittleEndian.PutUint64(b[8:], s.salt)
		u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) * 0x1p-53 // between 0 and 1, both excluded
		if at := -math.Log(u) / s.weight; at < earliest {
			best, earliest = s.pool, at
		}
	}
	return best
}

// checkShares validates the shares and, unless poolIndexes is nil, that their pools exist. It fills e.shares.
func (e *entry) checkShares(poolIndexes map[string]int) error {
	if len(e.Shares) == 0 {
		return errors.New("leads to no pool")
	}
	seen := map[string]bool{}
	for _, s := range e.Shares {
		index, ok := poolIndexes[s.Pool]
		switch {
		case poolIndexes != nil && !ok:
			return fmt.Errorf("pool: there is none named %q", s.Pool)
		case seen[s.Pool]:
			return fmt.Errorf("pool: %q is listed twice", s.Pool)
		case s.Weight != 0 && !(s.Weight >= minWeight && s.Weight <= maxWeight): // NaN fails both
			return fmt.Errorf("weight: %v of %q is not in %v to %v", s.Weight, s.Pool, minWeight, float64(maxWeight))
		}
		seen[s.Pool] = true
		if s.Weight > 0 {
			e.shares = append(e.shares, share{index, xxhash.Sum64String(s.Pool), s.Weight})
		}
	}
	if len(e.shares) == 0 {
		return errors.New("weight: all are 0, so that no pool is left")
	}
	return nil
}
