package document

import (
	"strings"

	"pewterrudder/internal/router/resultcode"
)

// CheckSuccessor returns an error unless the configuration's generation is above that of its base. base is nil if there
// is no configuration yet.
func (c *Configuration) CheckSuccessor(base *Configuration) error {
	var current int64
	if base != nil {
		current = base.Generation
	}
	if c.Generation <= current {
		return resultcode.New(resultcode.GenerationNotAbove, "generation %d, current %d", c.Generation, current)
	}
	return nil
}

// checkConsistency checks the constraints between items: unique names, routes and API keys, and valid references.
func (c *Configuration) checkConsistency() error {
	if err := checkUniqueNames(fieldRoutes, c.Routes); err != nil {
		return err
	}
	if err := checkUniqueNames(fieldBackends, c.Backends); err != nil {
		return err
	}
	if err := checkUniqueNames(fieldTenants, c.Tenants); err != nil {
		return err
	}
	if err := c.checkDestinations(); err != nil {
		return err
	}
	if err := c.checkUniqueRoutes(); err != nil {
		return err
	}
	return c.checkUniqueAPIKeys()
}

func checkUniqueNames[T any, P item[T]](list string, items []T) error {
	seen := make(map[string]struct{}, len(items))
	for index := range items {
		name := P(&items[index]).itemName()
		if _, taken := seen[name]; taken {
			return resultcode.New(resultcode.DuplicateName, "%s: %q", list, name)
		}
		seen[name] = struct{}{}
	}
	return nil
}

// checkDestinations rejects routes to unknown services, and splits whose weights are all zero.
func (c *Configuration) checkDestinations() error {
	known := make(map[string]struct{}, len(c.Backends))
	for index := range c.Backends {
		known[c.Backends[index].Name] = struct{}{}
	}
	for index := range c.Routes {
		if err := c.Routes[index].checkDestination(known); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) checkDestination(known map[string]struct{}) error {
	if r.Backend != "" || len(r.Split) == 0 {
		if _, found := known[r.Backend]; !found {
			return resultcode.New(resultcode.UnknownBackend, "route %q: %q", r.Name, r.Backend)
		}
	}
	var sum float64
	for _, share := range r.Split {
		if _, found := known[share.Backend]; !found {
			return resultcode.New(resultcode.UnknownBackend, "route %q: %q", r.Name, share.Backend)
		}
		sum += share.Weight
	}
	if len(r.Split) > 0 && sum <= 0 {
		return resultcode.New(resultcode.ZeroWeight, "route %q", r.Name)
	}
	return nil
}

// checkUniqueRoutes rejects two routes with the same hostname, ignoring case, and path prefix.
func (c *Configuration) checkUniqueRoutes() error {
	type routeMatch struct{ host, prefix string }
	taken := make(map[routeMatch]string, len(c.Routes))
	for index := range c.Routes {
		route := &c.Routes[index]
		key := routeMatch{strings.ToLower(route.Hostname), route.PathPrefix}
		if other, found := taken[key]; found {
			return resultcode.New(resultcode.DuplicateRoute, "routes %q and %q", other, route.Name)
		}
		taken[key] = route.Name
	}
	return nil
}

// checkUniqueAPIKeys rejects an API key that two tenants share. A key may occur twice within one tenant.
func (c *Configuration) checkUniqueAPIKeys() error {
	tenantOf := make(map[string]string)
	for index := range c.Tenants {
		tenant := &c.Tenants[index]
		for _, key := range tenant.APIKeys {
			if other, found := tenantOf[key]; found && other != tenant.Name {
				return resultcode.New(resultcode.SharedKey, "tenants %q and %q", other, tenant.Name)
			}
			tenantOf[key] = tenant.Name
		}
	}
	return nil
}
