package registry

import "pewterrudder/internal/router/instances"

// Registrations lists the registered instances and the routers that hold them, ordered by instance id.
func (r *Registry) Registrations() []instances.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Registrations()
}
