package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"pewterrudder/internal/config"
)

// pool is what is said of one name.
type pool struct {
	said[config.Pool]
	now  *config.Pool // that is in force
	rank rank
	in   bool // in force, under an ID
	id   int
}

func (c *Catalog) putPool(key, name string, value []byte, now word, ch *Changes) error {
	told, err := config.DecodePool(value, name)
	if err != nil {
		return err
	}
	p := c.poolOf(key, name)
	p.tell(c, &told, now)
	c.settle(name, p, ch)
	return nil
}

func (c *Catalog) removePool(name string, ch *Changes) {
	p := c.pools[name]
	if p == nil {
		return
	}
	p.tell(c, nil, word{})
	c.settle(name, p, ch)
}

func (c *Catalog) poolOf(key, name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{said: said[config.Pool]{key: key}}
		c.pools[name] = p
	}
	return p
}

// settle puts in force what a name is to be, and the routes that have waited for it, or leaves them waiting.
func (c *Catalog) settle(name string, p *pool, ch *Changes) {
	want := p.wanted()
	if p.in {
		at, _ := slices.BinarySearchFunc(c.order, p, (*pool).compare)
		c.order = slices.Delete(c.order, at, at+1)
	}
	was, had := p.in, p.now
	p.now, p.rank, p.in = want, rank{p.at.revision, p.key}, want != nil
	if p.in {
		if !was {
			p.id = c.ids.take()
		}
		at, _ := slices.BinarySearchFunc(c.order, p, (*pool).compare)
		c.order = slices.Insert(c.order, at, p)
	}
	switch {
	case p.in && !(was && reflect.DeepEqual(had, want)):
		ch.Pools = append(ch.Pools, PoolChange{p.id, want})
	case was && !p.in:
		ch.Pools = append(ch.Pools, PoolChange{p.id, nil})
		c.ids.give(p.id)
		delete(c.pools, name)
	}
	if was == p.in {
		return
	}
	users := slices.SortedFunc(maps.Keys(c.users[name]), func(a, b *route) int { return strings.Compare(a.key, b.key) })
	for _, r := range users {
		if c.place(r, ch); !r.resolved {
			ch.say(fmt.Sprintf("%s waits for pool %q", r.key, c.missing(r)))
		}
	}
}

// compare has default pools first, by rank.
func (p *pool) compare(o *pool) int {
	first := func(p *pool) int {
		if p.now.Default {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(first(p), first(o)), p.rank.compare(o.rank))
}

// Pools are all that are in force, by their IDs.
func (c *Catalog) Pools() []PoolChange {
	all := make([]PoolChange, 0, len(c.order))
	for _, p := range c.order {
		all = append(all, PoolChange{p.id, p.now})
	}
	slices.SortFunc(all, func(a, b PoolChange) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
