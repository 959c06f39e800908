package routes

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// share is a pool's part of a route, as it draws.
type share struct {
	pool   int
	salt   uint64
	weight float64
}

// Weights lie between these, which keeps the draws far from what a float64 cannot tell apart.
const (
	leastWeight = 1e-6
	mostWeight  = 1e6
)

// Key is what a call sticks to a pool by: its Idempotency-Key; else the key of what it is about; else the client's id
// for it. The first is the same on each try of a client, the second too, the last only where clients keep it. A hash
// with a fixed seed: balancers that cannot talk, and the next start, come to the same pool.
func Key(idempotency, request, client string) uint64 {
	switch {
	case idempotency != "":
		return xxhash.Sum64String(idempotency)
	case request != "":
		return xxhash.Sum64String(request)
	}
	return xxhash.Sum64String(client)
}

// Pool is the place of the pool that an entry leads a key to. Each share draws a time to its first event at the rate of
// its weight, from the key and the pool's name alone, and the earliest wins.
func (t *Table) Pool(entry int, key uint64) int { return t.entries[entry].pool(key) }

func (e *entry) pool(key uint64) int {
	shares := e.shares
	best, least := shares[0].pool, math.Inf(1)
	if len(shares) == 1 {
		return best
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	for i := range shares {
		s := &shares[i]
		binary.LittleEndian.PutUint64(b[8:], s.salt)
		u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) * 0x1p-53 // within 0 and 1, never at an end
		if at := -math.Log(u) / s.weight; at < least {
			best, least = s.pool, at
		}
	}
	return best
}

// checkShares finds what no pools could mend, and, where places are given, pools that are not there.
func (e *entry) checkShares(places map[string]int) error {
	if len(e.To) == 0 {
		return errors.New("leads to no pool")
	}
	seen := map[string]bool{}
	for _, s := range e.To {
		place, ok := places[s.Pool]
		switch {
		case places != nil && !ok:
			return fmt.Errorf("pool: there is none named %q", s.Pool)
		case seen[s.Pool]:
			return fmt.Errorf("pool: %q is there twice", s.Pool)
		case s.Weight != 0 && !(s.Weight >= leastWeight && s.Weight <= mostWeight): // NaN fails both
			return fmt.Errorf("weight: %v of %q lies outside %v to %v", s.Weight, s.Pool, leastWeight, float64(mostWeight))
		}
		seen[s.Pool] = true
		if s.Weight > 0 {
			e.shares = append(e.shares, share{place, xxhash.Sum64String(s.Pool), s.Weight})
		}
	}
	if len(e.shares) == 0 {
		return errors.New("weight: all are 0, and no pool is left")
	}
	return nil
}
