package node

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/settings"
)

const (
	// readinessPollInterval is the interval between two checks while the router is not ready.
	readinessPollInterval = 50 * time.Millisecond
	// quorumReadTimeout bounds one quorum read at startup.
	quorumReadTimeout = 700 * time.Millisecond
	// quorumReadPeriod is how long a starting router insists on a quorum read. After that, a configuration received
	// from other routers is sufficient.
	quorumReadPeriod = 3 * time.Second
	// instanceWaitHeartbeats is the number of heartbeat intervals for which a starting router waits for instances.
	instanceWaitHeartbeats = 2
)

// readiness is the state behind the readiness endpoint, by which the platform decides whether to send clients here.
type readiness struct {
	ready    atomic.Bool
	draining atomic.Bool
	// isolated reports that no quorum has answered within the configured time; nil: isolation does not affect
	// readiness.
	isolated func() bool
	// becameReady is closed when the router becomes ready for the first time.
	becameReady chan struct{}
	// waitReason describes what a starting router is waiting for.
	waitReason atomic.Pointer[string]
}

// handleReady serves the readiness endpoint.
func (r *readiness) handleReady(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() {
		resultcode.Write(w, resultcode.New(resultcode.ShuttingDown, ""))
		return
	}
	if !r.isReady() {
		resultcode.Write(w, resultcode.New(resultcode.NotReady, ""))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// startReadiness serves the readiness endpoint, if the settings name an address, and starts waiting for the router to
// become ready.
func (n *Node) startReadiness(ctx context.Context, s *settings.Settings) error {
	n.readiness.setWaitReason(reasonNoConfiguration)
	go n.becomeReady(ctx, s)
	if s.Listen.Ready == "" {
		return nil
	}
	router := mux.NewRouter()
	router.HandleFunc(protocol.PathReady, n.readiness.handleReady).Methods(http.MethodGet)
	return n.startHTTPServer(s.Listen.Ready, router)
}

// becomeReady waits for a configuration as new as the acceptors', for instances of its backends, and for recent
// sightings, and then marks the router as ready.
func (n *Node) becomeReady(ctx context.Context, s *settings.Settings) {
	n.awaitConfiguration(ctx)
	if ctx.Err() != nil {
		return
	}
	n.readiness.setWaitReason(reasonNoInstances)
	n.awaitInstances(ctx, instanceWaitHeartbeats*settings.Milliseconds(s.HeartbeatMs))
	if ctx.Err() != nil {
		return
	}
	n.awaitSightings(ctx)
	n.readiness.ready.Store(true)
	close(n.readiness.becameReady)
	n.log.Info("ready")
}

// awaitConfiguration returns once a quorum read has confirmed the configuration. If no quorum answers for
// quorumReadPeriod, it settles for a configuration received from another router.
func (n *Node) awaitConfiguration(ctx context.Context) {
	begin := time.Now()
	confirmed := false
	for ctx.Err() == nil {
		if !confirmed {
			confirmed = n.readFromQuorum(ctx)
		}
		enough := confirmed || time.Since(begin) > quorumReadPeriod
		if enough && n.table.Load() != nil {
			return
		}
		periodic.Sleep(ctx, readinessPollInterval)
	}
}

// readFromQuorum reads the configuration from a quorum of the acceptors and reports whether that succeeded.
func (n *Node) readFromQuorum(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quorumReadTimeout)
	defer cancel()
	askedAt := n.clock.Now()
	state, err := n.store.Read(ctx)
	if err != nil {
		return false
	}
	n.keyLease.recordConfirmation(askedAt, state.Revision)
	return true
}

// awaitInstances returns once every backend has a ready instance, or after the timeout.
func (n *Node) awaitInstances(ctx context.Context, timeout time.Duration) {
	for begin := time.Now(); time.Since(begin) < timeout && ctx.Err() == nil; {
		if n.everyBackendHasInstances() {
			return
		}
		periodic.Sleep(ctx, readinessPollInterval)
	}
}

// everyBackendHasInstances reports whether each configured backend has at least one ready instance.
func (n *Node) everyBackendHasInstances() bool {
	snapshot := n.registry.Snapshot()
	for _, backend := range n.table.Load().Backends() {
		if !slices.ContainsFunc(snapshot.Backend(backend.Name), (*instances.Instance).Ready) {
			return false
		}
	}
	return true
}
