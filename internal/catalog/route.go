package catalog

import (
	"fmt"
	"slices"

	"pewterrudder/internal/config"
	"pewterrudder/internal/routes"
)

// route holds the entries of one route and its state in the tree.
type route struct {
	entry[routes.Claim]
	inTree   *routes.Claim // the claim in the tree, with the IDs of its pools; nil: not in the tree
	indexed  *routes.Claim // the claim that routesByPool was updated for
	resolved bool          // all pools of the route are in force; true without an effective value
}

// decodeClaim decodes a route from the store.
func (c *Catalog) decodeClaim(key, name string, value []byte, revision int64) (*routes.Claim, error) {
	r, err := config.DecodeRoute(value, name)
	if err != nil {
		return nil, err
	}
	return c.newClaim(&r, key, revision)
}

// newClaim returns the claim of a configured route.
func (c *Catalog) newClaim(r *config.Route, key string, revision int64) (*routes.Claim, error) {
	rule, err := r.Rule()
	if err != nil {
		return nil, err
	}
	return routes.NewClaim(rule, key, revision, c.classes)
}

// putRoute decodes a route from the store and puts it in force.
func (c *Catalog) putRoute(key, name string, value []byte, v version, ch *Changes) error {
	claim, err := c.decodeClaim(key, name, value, v.revision)
	if err != nil {
		return err
	}
	r := c.ensureRoute(key, name)
	r.setStored(c, claim, v)
	c.updateRoute(r, ch)
	if !r.resolved {
		ch.addLog(fmt.Sprintf("%s of revision %d waits for pool %q", key, v.revision, c.missingPool(r)))
	}
	return nil
}

// removeRoute removes the store's value of a route.
func (c *Catalog) removeRoute(name string, ch *Changes) {
	r := c.routes[name]
	if r == nil {
		return
	}
	r.setStored(c, nil, version{})
	c.updateRoute(r, ch)
	c.deleteUnusedRoute(name, r)
}

// ensureRoute returns the route of a name, which it creates if there is none.
func (c *Catalog) ensureRoute(key, name string) *route {
	r := c.routes[name]
	if r == nil {
		r = &route{entry: entry[routes.Claim]{key: key}}
		c.routes[name] = r
	}
	return r
}

// deleteUnusedRoute deletes a route that is neither in the store nor in the files.
func (c *Catalog) deleteUnusedRoute(name string, r *route) {
	if r.stored == nil && r.file == nil {
		delete(c.routes, name)
	}
}

// updateRoute puts the effective value of a route into the tree, if all its pools are in force.
func (c *Catalog) updateRoute(r *route, ch *Changes) {
	if r.inTree != nil {
		c.updateTree(r.inTree, false, ch)
		r.inTree = nil
	}
	claim := r.effective()
	if r.indexed != claim {
		c.updatePoolIndex(r, false)
		r.indexed = claim
		c.updatePoolIndex(r, true)
	}
	if r.resolved = true; claim == nil {
		delete(c.unresolved, r)
		return
	}
	resolvedClaim, missing := claim.ResolvePools(c.poolID)
	if r.resolved = missing == ""; !r.resolved {
		c.unresolved[r] = struct{}{}
		return
	}
	delete(c.unresolved, r)
	r.inTree = resolvedClaim
	c.updateTree(resolvedClaim, true, ch)
}

// updateTree adds a claim to the tree or removes it, and updates the ties at its place.
func (c *Catalog) updateTree(claim *routes.Claim, in bool, ch *Changes) {
	var ties []routes.Conflict
	if in {
		c.tree, ties = c.tree.With(claim)
	} else {
		c.tree, ties = c.tree.Without(claim)
	}
	ch.ViewChanged = true
	at := claim.Place()
	had := c.ties[at]
	for i := range had {
		delete(c.shadowed, had[i].Loser.Key)
	}
	for i := range ties {
		key := ties[i].Loser.Key
		if c.shadowed[key] = true; !slices.ContainsFunc(had, func(t routes.Conflict) bool { return t.Loser.Key == key }) {
			ch.addLog(fmt.Sprintf("%s of revision %d is shadowed: %v", key, ties[i].Loser.Revision, ties[i]))
		}
	}
	if len(ties) > 0 {
		c.ties[at] = ties
	} else {
		delete(c.ties, at)
	}
}

// updatePoolIndex adds a route to routesByPool for each pool that it names, or removes it.
func (c *Catalog) updatePoolIndex(r *route, add bool) {
	if r.indexed == nil {
		return
	}
	for _, s := range r.indexed.Shares {
		users := c.routesByPool[s.Pool]
		switch {
		case add && users == nil:
			c.routesByPool[s.Pool] = map[*route]struct{}{r: {}}
		case add:
			users[r] = struct{}{}
		default:
			if delete(users, r); len(users) == 0 {
				delete(c.routesByPool, s.Pool)
			}
		}
	}
}

// missingPool returns the name of a pool that a route waits for; "": none.
func (c *Catalog) missingPool(r *route) string {
	_, pool := r.effective().ResolvePools(c.poolID)
	return pool
}

// poolID returns the ID of a pool, and whether it is in force.
func (c *Catalog) poolID(pool string) (int, bool) {
	p := c.pools[pool]
	if p == nil || !p.inForce {
		return 0, false
	}
	return p.id, true
}
