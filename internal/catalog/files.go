package catalog

import (
	"fmt"
	"reflect"
	"strconv"

	"pewterrudder/internal/config"
)

// Files takes the routes and pools of the files, in the place of those that they had before. A pool that is new has the
// next free ID, in the order given: at the start these are its places. Nothing is taken where a route makes no sense.
func (c *Catalog) Files(pools []config.Pool, list []config.Route) (Changes, error) {
	var ch Changes
	before := c.View()
	names, wanted := make([]string, len(list)), map[string]int{}
	for i := range list {
		if names[i] = list[i].Name; names[i] == "" {
			names[i] = "#" + strconv.Itoa(i) // no key of a store need bear such a name
		}
		if _, err := c.claimOf(&list[i], routeKey+names[i], 0); err != nil {
			return ch, fmt.Errorf("routes[%d]: %w", i, err)
		}
		wanted[names[i]] = i
	}
	there := map[string]bool{}
	for i := range pools {
		there[pools[i].Name] = true
		p := c.poolOf(poolKey+pools[i].Name, pools[i].Name)
		p.file = &pools[i]
		c.settle(pools[i].Name, p, &ch)
	}
	for i := range list {
		claim, _ := c.claimOf(&list[i], routeKey+names[i], 0)
		r := c.routeOf(routeKey+names[i], names[i])
		if r.file != nil && reflect.DeepEqual(r.file.Rule, claim.Rule) {
			continue
		}
		if r.file = claim; r.told == nil {
			c.place(r, &ch)
		}
	}
	for name, r := range c.routes {
		if _, ok := wanted[name]; r.file != nil && !ok {
			if r.file = nil; r.told == nil {
				c.place(r, &ch)
			}
			c.dropRoute(name, r)
		}
	}
	for name, p := range c.pools {
		if p.file != nil && !there[name] {
			p.file = nil
			c.settle(name, p, &ch)
		}
	}
	ch.Routed = ch.Routed || before.fallback != c.View().fallback
	return ch, nil
}
