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

// pool holds the entries of one pool and its state in force.
type pool struct {
	entry[config.Pool]
	current    *config.Pool // the value in force; nil: none
	precedence precedence
	inForce    bool // whether it has a value in force and an ID
	id         int
}

// putPool decodes a pool from the store and puts it in force.
func (c *Catalog) putPool(key, name string, value []byte, v version, ch *Changes) error {
	decoded, err := config.DecodePool(value, name)
	if err != nil {
		return err
	}
	p := c.ensurePool(key, name)
	p.setStored(c, &decoded, v)
	c.updatePool(name, p, ch)
	return nil
}

// removePool removes the store's value of a pool.
func (c *Catalog) removePool(name string, ch *Changes) {
	p := c.pools[name]
	if p == nil {
		return
	}
	p.setStored(c, nil, version{})
	c.updatePool(name, p, ch)
}

// ensurePool returns the pool of a name, which it creates if there is none.
func (c *Catalog) ensurePool(key, name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{entry: entry[config.Pool]{key: key}}
		c.pools[name] = p
	}
	return p
}

// updatePool puts the effective value of a pool in force. If the pool appears or disappears, it updates the routes that
// name it.
func (c *Catalog) updatePool(name string, p *pool, ch *Changes) {
	next := p.effective()
	if p.inForce {
		at, _ := slices.BinarySearchFunc(c.poolOrder, p, (*pool).compare)
		c.poolOrder = slices.Delete(c.poolOrder, at, at+1)
	}
	was, previous := p.inForce, p.current
	p.current, p.precedence, p.inForce = next, precedence{p.version.revision, p.key}, next != nil
	if p.inForce {
		if !was {
			p.id = c.poolIDs.alloc()
		}
		at, _ := slices.BinarySearchFunc(c.poolOrder, p, (*pool).compare)
		c.poolOrder = slices.Insert(c.poolOrder, at, p)
	}
	switch {
	case p.inForce && !(was && reflect.DeepEqual(previous, next)):
		ch.Pools = append(ch.Pools, PoolChange{p.id, next})
	case was && !p.inForce:
		ch.Pools = append(ch.Pools, PoolChange{p.id, nil})
		c.poolIDs.release(p.id)
		delete(c.pools, name)
	}
	if was == p.inForce {
		return
	}
	users := slices.SortedFunc(maps.Keys(c.routesByPool[name]), func(a, b *route) int { return strings.Compare(a.key, b.key) })
	for _, r := range users {
		if c.updateRoute(r, ch); !r.resolved {
			ch.addLog(fmt.Sprintf("%s waits for pool %q", r.key, c.missingPool(r)))
		}
	}
}

// compare orders pools in force: default pools first, then by precedence.
func (p *pool) compare(o *pool) int {
	first := func(p *pool) int {
		if p.current.Default {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(first(p), first(o)), p.precedence.compare(o.precedence))
}

// Pools returns all pools in force, sorted by ID.
func (c *Catalog) Pools() []PoolChange {
	all := make([]PoolChange, 0, len(c.poolOrder))
	for _, p := range c.poolOrder {
		all = append(all, PoolChange{p.id, p.current})
	}
	slices.SortFunc(all, func(a, b PoolChange) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
