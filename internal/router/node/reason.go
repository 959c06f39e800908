package node

// Why a router is not ready.
const (
	awaitsStart         = "starting"
	awaitsConfiguration = "waiting for a configuration that a quorum of the acceptors confirms"
	awaitsInstances     = "waiting for instances of the configured services"
	isDraining          = "draining"
	isIsolated          = "no quorum of the acceptors has answered for isolation.not_ready_after_s"
)

// await notes what the starting router waits for.
func (r *readiness) await(reason string) { r.awaiting.Store(&reason) }

// isReady says whether the platform is told to send clients.
func (r *readiness) isReady() bool { return r.ready.Load() && !r.draining.Load() && !r.isIsolated() }

// isIsolated says whether a router that would be ready is not, since it is cut off.
func (r *readiness) isIsolated() bool { return r.isolated != nil && r.isolated() }

// reason says why the router is not ready; empty if it is.
func (r *readiness) reason() string {
	if r.draining.Load() {
		return isDraining
	}
	if r.isReady() {
		return ""
	}
	if r.ready.Load() {
		return isIsolated
	}
	if awaiting := r.awaiting.Load(); awaiting != nil {
		return *awaiting
	}
	return awaitsStart
}
