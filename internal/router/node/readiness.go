package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/settings"
)

const (
	// readinessEvery is the pause between two checks of a router that is not ready yet.
	readinessEvery = 50 * time.Millisecond
	// freshReadTimeout bounds one quorum read at the start.
	freshReadTimeout = 700 * time.Millisecond
	// freshWithin is how long a starting router insists on a quorum read; after it, what other routers told must do.
	freshWithin = 3 * time.Second
	// instancesWithin is how many heartbeat intervals a starting router waits for the services' instances.
	instancesWithin = 2
)

// readiness says whether the platform shall send clients here.
type readiness struct {
	ready    atomic.Bool
	draining atomic.Bool
	// isolated says that no quorum has answered for too long; nil: that is no reason.
	isolated func() bool
	// started is closed when the router is ready for the first time.
	started chan struct{}
	// awaiting says what a starting router waits for.
	awaiting atomic.Pointer[string]
}

// answer tells the platform.
func (r *readiness) answer(w http.ResponseWriter, _ *http.Request) {
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

// startReadiness serves the platform's question and watches for the moment from which the answer is yes.
func (n *Node) startReadiness(ctx context.Context, s *settings.Settings) error {
	n.readiness.await(awaitsConfiguration)
	go n.becomeReady(ctx, s)
	if s.Listen.Ready == "" {
		return nil
	}
	router := mux.NewRouter()
	router.HandleFunc(protocol.PathReady, n.readiness.answer).Methods(http.MethodGet)
	return n.serve(s.Listen.Ready, router)
}

// becomeReady waits for a configuration as new as the acceptors', and for the instances of its services.
func (n *Node) becomeReady(ctx context.Context, s *settings.Settings) {
	n.awaitConfiguration(ctx)
	if ctx.Err() != nil {
		return
	}
	n.readiness.await(awaitsInstances)
	n.awaitInstances(ctx, instancesWithin*settings.Milliseconds(s.HeartbeatMs))
	if ctx.Err() != nil {
		return
	}
	n.awaitSightings(ctx)
	n.readiness.ready.Store(true)
	close(n.readiness.started)
	n.log.Info("ready")
}

// awaitConfiguration returns once a quorum read has confirmed the configuration, or other routers have told one and no quorum
// answers.
func (n *Node) awaitConfiguration(ctx context.Context) {
	begin := time.Now()
	confirmed := false
	for ctx.Err() == nil {
		if !confirmed {
			confirmed = n.readFresh(ctx)
		}
		enough := confirmed || time.Since(begin) > freshWithin
		if enough && n.table.Load() != nil {
			return
		}
		pause(ctx, readinessEvery)
	}
}

// readFresh reads the configuration from a quorum of the acceptors.
func (n *Node) readFresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, freshReadTimeout)
	defer cancel()
	askedAt := n.clock.Now()
	state, err := n.store.Read(ctx)
	if err != nil {
		return false
	}
	n.keys.confirmed(askedAt, state.Revision)
	return true
}

// awaitInstances returns once each service has an instance that is ready, or the time is over.
func (n *Node) awaitInstances(ctx context.Context, within time.Duration) {
	for begin := time.Now(); time.Since(begin) < within && ctx.Err() == nil; {
		if n.everyServiceHasInstances() {
			return
		}
		pause(ctx, readinessEvery)
	}
}

// everyServiceHasInstances tells whether requests of all routes can be served.
func (n *Node) everyServiceHasInstances() bool {
	snapshot := n.registry.Snapshot()
	for _, backend := range n.table.Load().Backends() {
		if len(snapshot.Backend(backend.Name)) == 0 {
			return false
		}
	}
	return true
}

// pause waits, or until the context ends.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
