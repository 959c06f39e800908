// Package controlapi serves the HTTP control interface for operators and model instances.
package controlapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/configstore"
	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
)

const (
	// maxConfigurationBytes is the maximum size of a configuration or patch. Snapshots may have twice this size.
	maxConfigurationBytes = 16 << 20
	// maxHeartbeatBytes is the maximum size of the body of an instance's call.
	maxHeartbeatBytes = 64 << 10
	// registerTimeout bounds a call to the register. It is below one second, after which callers try another router.
	registerTimeout = 850 * time.Millisecond
	// instanceCallTimeout bounds the handling of an instance's call. After it, an instance that drains or deregisters is
	// told to ask another router. It is below one second, for which instances wait for a response.
	instanceCallTimeout = 500 * time.Millisecond
	// registerTimeoutPerMegabyte is added to registerTimeout for each MiB of the request body.
	registerTimeoutPerMegabyte = time.Second
)

// Register is the replicated register that holds the configuration.
type Register interface {
	Propose(ctx context.Context, change func(configstore.State) (configstore.State, error)) (configstore.State, error)
	Read(ctx context.Context) (configstore.State, error)
}

// Instances handles the calls of model instances. An error means that the call must not be acknowledged: that the
// instance drains or leaves is not yet known to the other routers.
type Instances interface {
	Heartbeat(ctx context.Context, id string, beat *protocol.Heartbeat) error
	Deregister(ctx context.Context, id string) error
}

// Options configure an API.
type Options struct {
	Register  Register
	Instances Instances
	// Inspector answers the read-only calls about the router itself; nil means that they are not served.
	Inspector Inspector
	// BeatURL is the URL to which instances should send later heartbeats; empty means any router.
	BeatURL string
	// Prefixes returns the agreed common prefixes; nil means that they are not served.
	Prefixes func() *protocol.PrefixStatus
	Log      logrus.FieldLogger
}

// API handles the calls of the control interface.
type API struct {
	options Options
	// lastParsed caches the configuration that was parsed last. The next one mostly differs from it in a few items, and
	// document.ParseAfter builds on it.
	lastParsed atomic.Pointer[document.Configuration]
}

// New returns an API with the given options.
func New(options Options) *API { return &API{options: options} }

// Handler returns the HTTP handler with the routes of all calls.
func (a *API) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(protocol.PathHeartbeat, a.heartbeat).Methods(http.MethodPost)
	router.HandleFunc(protocol.PathDeregister, a.deregister).Methods(http.MethodPost)
	router.HandleFunc(protocol.PathConfigPut, a.put).Methods(http.MethodPost)
	router.HandleFunc(protocol.PathConfigPatch, a.patch).Methods(http.MethodPost)
	router.HandleFunc(protocol.PathConfigGet, a.get).Methods(http.MethodGet)
	router.HandleFunc(protocol.PathSnapshot, a.snapshot).Methods(http.MethodGet)
	router.HandleFunc(protocol.PathRestore, a.restore).Methods(http.MethodPost)
	a.addPrefixRoutes(router)
	a.addInspectionRoutes(router)
	router.NotFoundHandler = http.HandlerFunc(noSuchCall)
	router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return router
}

// heartbeat handles an instance's heartbeat. Before it is acknowledged, its changes have been sent to the other routers.
// If the instance is draining, the routers that may send requests to it know so.
func (a *API) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, heartbeatBody)
	if err != nil {
		resultcode.Write(w, err)
		return
	}
	var beat protocol.Heartbeat
	if err := json.Unmarshal(body, &beat); err != nil {
		resultcode.Write(w, resultcode.New(resultcode.HeartbeatUnreadable, "%v", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), instanceCallTimeout)
	defer cancel()
	if err := a.options.Instances.Heartbeat(ctx, mux.Vars(r)["id"], &beat); err != nil {
		resultcode.Write(w, resultcode.New(resultcode.HeartbeatNotSpread, "%v", err))
		return
	}
	writeJSON(w, &protocol.HeartbeatResponse{BeatURL: a.options.BeatURL})
}

// deregister handles the deregistration of an instance.
func (a *API) deregister(w http.ResponseWriter, r *http.Request) {
	if _, err := readBody(w, r, heartbeatBody); err != nil {
		resultcode.Write(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), instanceCallTimeout)
	defer cancel()
	if err := a.options.Instances.Deregister(ctx, mux.Vars(r)["id"]); err != nil {
		resultcode.Write(w, resultcode.New(resultcode.HeartbeatNotSpread, "%v", err))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// get responds with the newest configuration.
func (a *API) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), registerTimeout)
	defer cancel()
	state, err := a.options.Register.Read(ctx)
	if err != nil {
		resultcode.Write(w, resultcode.New(resultcode.OutcomeUnclear, "%v", err))
		return
	}
	if len(state.Document) == 0 {
		resultcode.Write(w, resultcode.New(resultcode.NoConfiguration, "none has been taken yet"))
		return
	}
	w.Header().Set("Content-Type", protocol.ContentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(state.Document)))
	_, _ = w.Write(state.Document)
}

// writeError responds with the result code of err. An error without one is reported as OutcomeUnclear.
func writeError(w http.ResponseWriter, err error) {
	if coded, ok := resultcode.FromError(err); ok {
		resultcode.Write(w, coded)
		return
	}
	resultcode.Write(w, resultcode.New(resultcode.OutcomeUnclear, "%v", err))
}

// writeJSON responds with value encoded as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", protocol.ContentTypeJSON)
	_, _ = w.Write(text)
}
