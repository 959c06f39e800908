// Package controlapi serves the calls of the operator and of the model instances.
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
	// maxConfigurationBytes bounds the body of an operator's call.
	maxConfigurationBytes = 16 << 20
	// maxHeartbeatBytes bounds the body of an instance's call.
	maxHeartbeatBytes = 64 << 10
	// answerWithin is when a call to the register is given up. The callers go on to another router after a second of silence.
	answerWithin = 850 * time.Millisecond
	// confirmWithin is when an instance that leaves is told to ask another router. It waits a second for an answer.
	confirmWithin = 500 * time.Millisecond
	// answerWithinPerMegabyte is added for large bodies.
	answerWithinPerMegabyte = time.Second
)

// Register is the replicated configuration.
type Register interface {
	Propose(ctx context.Context, change func(configstore.State) (configstore.State, error)) (configstore.State, error)
	Read(ctx context.Context) (configstore.State, error)
}

// Instances takes the calls of model instances. An error says that an instance must not be told that its end is known.
type Instances interface {
	Heartbeat(ctx context.Context, id string, beat *protocol.Heartbeat) error
	Deregister(ctx context.Context, id string) error
}

// Options of an API.
type Options struct {
	Register  Register
	Instances Instances
	// Inspector answers the read-only calls about the router itself; nil: they are not served.
	Inspector Inspector
	// BeatURL is where instances shall send their later heartbeats; empty: anywhere.
	BeatURL string
	// Prefixes describes the agreed common prefixes; nil: not served.
	Prefixes func() *protocol.PrefixStatus
	Log      logrus.FieldLogger
}

// API answers control calls.
type API struct {
	options Options
	// parsed is the configuration that was parsed last. The next one mostly differs from it in a few items.
	parsed atomic.Pointer[document.Configuration]
}

// New makes the API.
func New(options Options) *API { return &API{options: options} }

// Handler routes the calls.
func (a *API) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(protocol.PathHeartbeat, a.heartbeat).Methods(http.MethodPost)
	router.HandleFunc(protocol.PathDeregister, a.deregister).Methods(http.MethodPost)
	router.HandleFunc(protocol.PathConfigPut, a.put).Methods(http.MethodPost)
	router.HandleFunc(protocol.PathConfigEdit, a.patch).Methods(http.MethodPost)
	router.HandleFunc(protocol.PathConfigGet, a.get).Methods(http.MethodGet)
	router.HandleFunc(protocol.PathSnapshot, a.snapshot).Methods(http.MethodGet)
	router.HandleFunc(protocol.PathRestore, a.restore).Methods(http.MethodPost)
	a.addPrefixes(router)
	a.routeInspection(router)
	router.NotFoundHandler = http.HandlerFunc(noSuchCall)
	router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return router
}

// heartbeat takes an instance's heartbeat. What it changes is on its way to the other routers before it is acknowledged, and that it
// drains is known to those that may send to it.
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
	ctx, cancel := context.WithTimeout(r.Context(), confirmWithin)
	defer cancel()
	if err := a.options.Instances.Heartbeat(ctx, mux.Vars(r)["id"], &beat); err != nil {
		resultcode.Write(w, resultcode.New(resultcode.HeartbeatNotSpread, "%v", err))
		return
	}
	writeJSON(w, &protocol.HeartbeatAnswer{BeatURL: a.options.BeatURL})
}

// deregister takes an instance's farewell.
func (a *API) deregister(w http.ResponseWriter, r *http.Request) {
	if _, err := readBody(w, r, heartbeatBody); err != nil {
		resultcode.Write(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), confirmWithin)
	defer cancel()
	if err := a.options.Instances.Deregister(ctx, mux.Vars(r)["id"]); err != nil {
		resultcode.Write(w, resultcode.New(resultcode.HeartbeatNotSpread, "%v", err))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// get answers with the newest configuration.
func (a *API) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
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

// writeError answers with a numbered error; others leave the outcome unclear.
func writeError(w http.ResponseWriter, err error) {
	if numbered, ok := resultcode.Of(err); ok {
		resultcode.Write(w, numbered)
		return
	}
	resultcode.Write(w, resultcode.New(resultcode.OutcomeUnclear, "%v", err))
}

// writeJSON answers with a body.
func writeJSON(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", protocol.ContentTypeJSON)
	_, _ = w.Write(text)
}
