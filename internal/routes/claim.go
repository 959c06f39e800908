package routes

import (
	"cmp"
	"fmt"
	"strings"
)

// Claim is one rule that has been checked, with its rank among others that match the same calls with equal precedence:
// the lower revision goes first, then the lower key. It never changes.
type Claim struct {
	Key      string
	Revision int64

	entry
}

// NewClaim checks a rule, but for whether its pools are there: that is Lead's to tell. classes are those that calls can
// have, as for Compile.
func NewClaim(r Rule, key string, revision int64, classes []string) (*Claim, error) {
	c := &Claim{Key: key, Revision: revision, entry: entry{Rule: r}}
	if err := c.check(nil, classes); err != nil {
		return nil, err
	}
	return c, nil
}

// Lead gives the claim with the places of its pools; where one has none, its name.
func (c *Claim) Lead(place func(pool string) (int, bool)) (led *Claim, missing string) {
	led = new(Claim)
	*led = *c
	led.shares = make([]share, 0, len(c.shares))
	at := 0
	for _, s := range c.To {
		pool, ok := place(s.Pool)
		if !ok {
			return nil, s.Pool
		}
		if s.Weight > 0 {
			from := c.shares[at]
			from.pool = pool
			led.shares = append(led.shares, from)
			at++
		}
	}
	return led, ""
}

// Pool is the place of the pool that a key is led to, by the draw of Table.Pool.
func (c *Claim) Pool(key uint64) int { return c.pool(key) }

func (c *Claim) rank(d *Claim) int {
	return cmp.Or(cmp.Compare(c.Revision, d.Revision), cmp.Compare(c.Key, d.Key))
}

// Place names the host and path of a claim: none of another place matches the same calls with equal precedence.
func (c *Claim) Place() string { return string(rune('0'+c.kind)) + c.domain + c.Prefix }

// String is what the claim matches, in words.
func (c *Claim) String() string { return c.wants() }

// Tie is a claim that has lost calls to another, which matches them with equal precedence and has the better rank.
type Tie struct {
	Lost, To *Claim
	Methods  []string // that it lost; nil: all calls
}

func (t Tie) String() string {
	if t.Methods == nil {
		return fmt.Sprintf("%s: held by %s of revision %d", t.Lost, t.To.Key, t.To.Revision)
	}
	return fmt.Sprintf("%s: %s held by %s of revision %d", t.Lost, strings.Join(t.Methods, "|"), t.To.Key, t.To.Revision)
}
