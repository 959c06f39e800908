package catalog

import (
	"fmt"
	"reflect"
	"strconv"

	"pewterrudder/internal/config"
)

// ApplyFiles replaces the routes and pools from the configuration files. New pools get the lowest free IDs in the order
// given, so on the first call the IDs are the indexes in the list. If a route is invalid, nothing is changed.
func (c *Catalog) ApplyFiles(pools []config.Pool, list []config.Route) (Changes, error) {
	var ch Changes
	before := c.View()
	names, listed := make([]string, len(list)), map[string]int{}
	for i := range list {
		if names[i] = list[i].Name; names[i] == "" {
			names[i] = "#" + strconv.Itoa(i) // keys in the store are not expected to have such names
		}
		if _, err := c.newClaim(&list[i], routeKey+names[i], 0); err != nil {
			return ch, fmt.Errorf("routes[%d]: %w", i, err)
		}
		listed[names[i]] = i
	}
	present := map[string]bool{}
	for i := range pools {
		present[pools[i].Name] = true
		p := c.ensurePool(poolKey+pools[i].Name, pools[i].Name)
		p.file = &pools[i]
		c.updatePool(pools[i].Name, p, &ch)
	}
	for i := range list {
		claim, _ := c.newClaim(&list[i], routeKey+names[i], 0)
		r := c.ensureRoute(routeKey+names[i], names[i])
		if r.file != nil && reflect.DeepEqual(r.file.Rule, claim.Rule) {
			continue
		}
		if r.file = claim; r.stored == nil {
			c.updateRoute(r, &ch)
		}
	}
	for name, r := range c.routes {
		if _, ok := listed[name]; r.file != nil && !ok {
			if r.file = nil; r.stored == nil {
				c.updateRoute(r, &ch)
			}
			c.deleteUnusedRoute(name, r)
		}
	}
	for name, p := range c.pools {
		if p.file != nil && !present[name] {
			p.file = nil
			c.updatePool(name, p, &ch)
		}
	}
	ch.ViewChanged = ch.ViewChanged || before.fallback != c.View().fallback
	return ch, nil
}
