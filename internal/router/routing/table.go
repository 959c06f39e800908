// Package routing builds immutable routing tables from configurations: the route of a host and a path, the tenant of an
// API key, and the backends. It has no clock, no goroutines and no I/O.
package routing

import (
	"pewterrudder/internal/router/document"
)

// Table is the routing table of one configuration. It is immutable and safe for concurrent use; a new configuration
// needs a new table.
type Table struct {
	generation     int64
	hosts          map[string]*hostRoutes
	routes         []*Route
	tenantsByKey   map[string]*Tenant // by API key
	usesKeys       bool
	backends       []*Backend
	backendsByName map[string]*Backend
	limits         document.Limits
}

// Options are properties of the deployment that a configuration does not hold.
type Options struct {
	// HasTenants means that the clients of the deployment are tenants, even if a configuration has no list of them.
	HasTenants bool
}

// Build returns the table of a configuration, which must be valid.
func Build(c *document.Configuration, options Options) *Table {
	table := &Table{generation: c.Generation, limits: c.Limits, usesKeys: options.HasTenants || c.Tenants != nil}
	table.addRoutes(c.Routes)
	table.addBackends(c.Backends)
	table.addTenants(c.Tenants)
	return table
}

func (t *Table) addRoutes(routes []document.Route) {
	t.hosts = make(map[string]*hostRoutes)
	t.routes = make([]*Route, 0, len(routes))
	for index := range routes {
		route := newRoute(&routes[index])
		t.routes = append(t.routes, route)
		t.ensureHost(route.Hostname).add(route)
	}
}

func (t *Table) addBackends(backends []document.Backend) {
	t.backends = make([]*Backend, 0, len(backends))
	t.backendsByName = make(map[string]*Backend, len(backends))
	for index := range backends {
		backend := newBackend(&backends[index])
		t.backends = append(t.backends, backend)
		t.backendsByName[backend.Name] = backend
	}
}

func (t *Table) addTenants(tenants []document.Tenant) {
	t.tenantsByKey = make(map[string]*Tenant)
	for index := range tenants {
		tenant := newTenant(&tenants[index])
		for _, key := range tenants[index].APIKeys {
			t.tenantsByKey[key] = tenant
		}
	}
}

// Generation returns the generation of the table's configuration.
func (t *Table) Generation() int64 { return t.generation }

// Limits returns the limits on the size and the duration of clients' requests.
func (t *Table) Limits() document.Limits { return t.limits }

// Routes returns all routes in the order of the configuration. The caller must not change the slice.
func (t *Table) Routes() []*Route { return t.routes }

// Backends returns all backends in the order of the configuration. The caller must not change the slice.
func (t *Table) Backends() []*Backend { return t.backends }

// Backend returns the backend of the given name, nil if there is none.
func (t *Table) Backend(name string) *Backend { return t.backendsByName[name] }

// Tenant returns the tenant of an API key, nil if no tenant has the key.
func (t *Table) Tenant(key string) *Tenant { return t.tenantsByKey[key] }

// UsesKeys reports whether requests need an API key, except on public routes. An empty list of tenants means that no key
// is valid, not that none is needed: the removal of the last tenant must not open the services.
func (t *Table) UsesKeys() bool { return t.usesKeys }

// RequiresKey reports whether requests of a route need an API key.
func (t *Table) RequiresKey(r *Route) bool { return t.usesKeys && !r.Public }
