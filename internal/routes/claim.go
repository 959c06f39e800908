package routes

import (
	"cmp"
	"fmt"
	"strings"
)

// Claim is one validated rule with a key and a revision. Among claims that match the same calls with equal precedence,
// the one with the lower revision wins, then the one with the lower key. A Claim is immutable.
type Claim struct {
	Key      string
	Revision int64

	entry
}

// NewClaim validates a rule, except that its pools exist, which ResolvePools checks. classes are those that calls can
// have, as for Compile.
func NewClaim(r Rule, key string, revision int64, classes []string) (*Claim, error) {
	c := &Claim{Key: key, Revision: revision, entry: entry{Rule: r}}
	if err := c.validate(nil, classes); err != nil {
		return nil, err
	}
	return c, nil
}

// ResolvePools returns a copy of the claim with the indexes of its pools, as indexOf gives them. If a pool has none,
// resolved is nil and missing is the pool's name.
func (c *Claim) ResolvePools(indexOf func(pool string) (int, bool)) (resolved *Claim, missing string) {
	resolved = new(Claim)
	*resolved = *c
	resolved.shares = make([]share, 0, len(c.shares))
	next := 0
	for _, s := range c.Shares {
		pool, ok := indexOf(s.Pool)
		if !ok {
			return nil, s.Pool
		}
		if s.Weight > 0 {
			resolvedShare := c.shares[next]
			resolvedShare.pool = pool
			resolved.shares = append(resolved.shares, resolvedShare)
			next++
		}
	}
	return resolved, ""
}

// Pool returns the index of the pool that a key belongs to, chosen as by Table.Pool.
func (c *Claim) Pool(key uint64) int { return c.pool(key) }

// compareRank orders claims of equal precedence.
func (c *Claim) compareRank(d *Claim) int {
	return cmp.Or(cmp.Compare(c.Revision, d.Revision), cmp.Compare(c.Key, d.Key))
}

// Place identifies the host and path of a claim. Claims with different places never match the same call with equal
// precedence.
func (c *Claim) Place() string { return string(rune('0'+c.kind)) + c.domain + c.Prefix }

// String describes what the claim matches.
func (c *Claim) String() string { return c.describe() }

// Conflict is a claim that loses calls to another one, which matches them with equal precedence and comes first by
// revision and key.
type Conflict struct {
	Loser, Winner *Claim
	Methods       []string // for which Loser loses its calls; nil: it loses all calls
}

func (t Conflict) String() string {
	if t.Methods == nil {
		return fmt.Sprintf("%s: held by %s of revision %d", t.Loser, t.Winner.Key, t.Winner.Revision)
	}
	return fmt.Sprintf("%s: %s held by %s of revision %d", t.Loser, strings.Join(t.Methods, "|"), t.Winner.Key, t.Winner.Revision)
}
