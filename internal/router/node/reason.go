package node

// Reasons reported in the status of a router that is not ready. Operators' documentation quotes them.
const (
	reasonStarting        = "starting"
	reasonNoConfiguration = "waiting for a configuration that a quorum of the acceptors confirms"
	reasonNoInstances     = "waiting for instances of the configured services"
	reasonDraining        = "draining"
	reasonIsolated        = "no quorum of the acceptors has answered for isolation.not_ready_after_s"
)

// setWaitReason records what the starting router is waiting for.
func (r *readiness) setWaitReason(reason string) { r.waitReason.Store(&reason) }

// isReady reports whether the readiness endpoint answers with success.
func (r *readiness) isReady() bool { return r.ready.Load() && !r.draining.Load() && !r.isIsolated() }

// isIsolated reports whether no quorum of the acceptors has answered for the configured time.
func (r *readiness) isIsolated() bool { return r.isolated != nil && r.isolated() }

// reason returns why the router is not ready, or the empty string if it is ready.
func (r *readiness) reason() string {
	if r.draining.Load() {
		return reasonDraining
	}
	if r.isReady() {
		return ""
	}
	if r.ready.Load() {
		return reasonIsolated
	}
	if awaiting := r.waitReason.Load(); awaiting != nil {
		return *awaiting
	}
	return reasonStarting
}
