package controlapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/configstore"
	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
)

// put replaces the whole configuration.
func (a *API) put(w http.ResponseWriter, r *http.Request) {
	a.change(w, r, func(body []byte) (editFunc, error) {
		next, err := document.ParseAfter(a.lastParsed.Load(), body)
		if err != nil {
			return nil, err
		}
		return func(*document.Configuration) (*document.Configuration, error) { return next, nil }, nil
	})
}

// patch changes named items of the current configuration.
func (a *API) patch(w http.ResponseWriter, r *http.Request) {
	a.change(w, r, func(body []byte) (editFunc, error) {
		patch, err := document.ParsePatch(body)
		if err != nil {
			return nil, err
		}
		return patch.Apply, nil
	})
}

// editFunc returns the next configuration, given the current one.
type editFunc func(base *document.Configuration) (*document.Configuration, error)

// errAlreadyApplied aborts a proposal whose change was applied before; the caller gets an acknowledgement.
var errAlreadyApplied = errors.New("the change has already been applied")

// change reads a change request, proposes it to the register and sends the response.
func (a *API) change(w http.ResponseWriter, r *http.Request, parse func([]byte) (editFunc, error)) {
	body, err := readBody(w, r, configurationBody)
	if err != nil {
		resultcode.Write(w, err)
		return
	}
	base, parseErr := strconv.ParseInt(r.Header.Get(protocol.HeaderBaseRevision), 10, 64)
	if parseErr != nil {
		resultcode.Write(w, resultcode.New(resultcode.BaseRevisionInvalid, "%s must be a whole number", protocol.HeaderBaseRevision))
		return
	}
	apply, parseErr := parse(body)
	if parseErr != nil {
		writeError(w, parseErr)
		return
	}
	timeout := registerTimeout + time.Duration(len(body))*registerTimeoutPerMegabyte/(1<<20)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	request := changeRequest{
		base:  base,
		id:    document.Identity(r.URL.Path, base, body),
		parse: a.parse,
		apply: apply,
	}
	_, proposeErr := a.options.Register.Propose(ctx, request.propose)
	if proposeErr != nil && !errors.Is(proposeErr, errAlreadyApplied) {
		writeError(w, proposeErr)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parse parses a configuration and caches it in lastParsed. An empty text gives an empty configuration.
func (a *API) parse(text []byte) (*document.Configuration, error) {
	if len(text) == 0 {
		return &document.Configuration{}, nil
	}
	parsed, err := document.ParseAfter(a.lastParsed.Load(), text)
	if err != nil {
		return nil, err
	}
	a.lastParsed.Store(parsed)
	return parsed, nil
}

// changeRequest is one change requested by the operator, on top of the generation base. A repeated request has the same
// id.
type changeRequest struct {
	base  int64
	id    configstore.ChangeID
	parse func(text []byte) (*document.Configuration, error)
	apply editFunc
}

// propose is the change function passed to Register.Propose. It returns the next state, or the reason for a refusal.
func (r *changeRequest) propose(state configstore.State) (configstore.State, error) {
	status := state.ChangeStatus(r.base, r.id)
	switch {
	case status == configstore.ChangeApplied:
		return state, errAlreadyApplied
	case status == configstore.ChangeForgotten:
		return state, resultcode.New(resultcode.OrderForgotten, "generation %d is current, and orders on %d are not remembered", state.Generation, r.base)
	case state.Generation != r.base:
		return state, resultcode.New(resultcode.RevisionMismatch, "generation %d is current", state.Generation)
	}
	current, err := r.parse(state.Document)
	if err != nil {
		return state, errors.Wrap(err, "the configuration in force")
	}
	next, err := r.apply(current)
	if err != nil {
		return state, err
	}
	if err := next.CheckSuccessor(current); err != nil {
		return state, err
	}
	text, err := next.Marshal()
	if err != nil {
		return state, err
	}
	return state.WithChange(text, next.Generation, r.id), nil
}
