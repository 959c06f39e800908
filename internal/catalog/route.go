package catalog

import (
	"fmt"
	"slices"

	"pewterrudder/internal/config"
	"pewterrudder/internal/routes"
)

// route is what is said of one name.
type route struct {
	said[routes.Claim]
	in       *routes.Claim // that is in the tree, with the places of its pools
	named    *routes.Claim // whose pools know of it
	resolved bool
}

func (c *Catalog) claim(key, name string, value []byte, revision int64) (*routes.Claim, error) {
	r, err := config.DecodeRoute(value, name)
	if err != nil {
		return nil, err
	}
	return c.claimOf(&r, key, revision)
}

func (c *Catalog) claimOf(r *config.Route, key string, revision int64) (*routes.Claim, error) {
	rule, err := r.Rule()
	if err != nil {
		return nil, err
	}
	return routes.NewClaim(rule, key, revision, c.classes)
}

func (c *Catalog) putRoute(key, name string, value []byte, now word, ch *Changes) error {
	claim, err := c.claim(key, name, value, now.revision)
	if err != nil {
		return err
	}
	r := c.routeOf(key, name)
	r.tell(c, claim, now)
	c.place(r, ch)
	if !r.resolved {
		ch.say(fmt.Sprintf("%s of revision %d waits for pool %q", key, now.revision, c.missing(r)))
	}
	return nil
}

func (c *Catalog) removeRoute(name string, ch *Changes) {
	r := c.routes[name]
	if r == nil {
		return
	}
	r.tell(c, nil, word{})
	c.place(r, ch)
	c.dropRoute(name, r)
}

func (c *Catalog) routeOf(key, name string) *route {
	r := c.routes[name]
	if r == nil {
		r = &route{said: said[routes.Claim]{key: key}}
		c.routes[name] = r
	}
	return r
}

// dropRoute forgets a name of which nobody says anything.
func (c *Catalog) dropRoute(name string, r *route) {
	if r.told == nil && r.file == nil {
		delete(c.routes, name)
	}
}

// place has the tree hold a route as it is wanted, where its pools are.
func (c *Catalog) place(r *route, ch *Changes) {
	if r.in != nil {
		c.swap(r.in, false, ch)
		r.in = nil
	}
	want := r.wanted()
	if r.named != want {
		c.know(r, false)
		r.named = want
		c.know(r, true)
	}
	if r.resolved = true; want == nil {
		delete(c.lacking, r)
		return
	}
	led, missing := want.Lead(c.idOf)
	if r.resolved = missing == ""; !r.resolved {
		c.lacking[r] = struct{}{}
		return
	}
	delete(c.lacking, r)
	r.in = led
	c.swap(led, true, ch)
}

// swap puts a claim into the tree or takes it out, and keeps account of the ties where it lies.
func (c *Catalog) swap(claim *routes.Claim, in bool, ch *Changes) {
	var ties []routes.Tie
	if in {
		c.tree, ties = c.tree.With(claim)
	} else {
		c.tree, ties = c.tree.Without(claim)
	}
	ch.Routed = true
	at := claim.Place()
	had := c.shadowed[at]
	for i := range had {
		delete(c.lost, had[i].Lost.Key)
	}
	for i := range ties {
		key := ties[i].Lost.Key
		if c.lost[key] = true; !slices.ContainsFunc(had, func(t routes.Tie) bool { return t.Lost.Key == key }) {
			ch.say(fmt.Sprintf("%s of revision %d is shadowed: %v", key, ties[i].Lost.Revision, ties[i]))
		}
	}
	if len(ties) > 0 {
		c.shadowed[at] = ties
	} else {
		delete(c.shadowed, at)
	}
}

// know has the pools that a route names know of it, or forget it.
func (c *Catalog) know(r *route, it bool) {
	if r.named == nil {
		return
	}
	for _, s := range r.named.To {
		users := c.users[s.Pool]
		switch {
		case it && users == nil:
			c.users[s.Pool] = map[*route]struct{}{r: {}}
		case it:
			users[r] = struct{}{}
		default:
			if delete(users, r); len(users) == 0 {
				delete(c.users, s.Pool)
			}
		}
	}
}

// missing names a pool that a route waits for; "": none.
func (c *Catalog) missing(r *route) string {
	_, pool := r.wanted().Lead(c.idOf)
	return pool
}

func (c *Catalog) idOf(pool string) (int, bool) {
	p := c.pools[pool]
	if p == nil || !p.in {
		return 0, false
	}
	return p.id, true
}
