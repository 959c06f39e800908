package controlapi

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/configstore"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
)

// snapshot responds with the newest state of the register, in the format that restore accepts.
func (a *API) snapshot(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), registerTimeout)
	defer cancel()
	state, err := a.options.Register.Read(ctx)
	if err != nil {
		writeError(w, err)
		return
	}
	if state.Revision == 0 {
		resultcode.Write(w, resultcode.New(resultcode.NoConfiguration, "none has been taken yet"))
		return
	}
	text, err := configstore.EncodeSnapshot(state)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", protocol.ContentTypeJSON)
	_, _ = w.Write(text)
}

// restore writes a snapshot to a register whose state is older.
func (a *API) restore(w http.ResponseWriter, r *http.Request) {
	body, tooLarge := readBody(w, r, snapshotBody)
	if tooLarge != nil {
		resultcode.Write(w, tooLarge)
		return
	}
	snapshot, err := a.readSnapshot(body)
	if err != nil {
		resultcode.Write(w, resultcode.New(resultcode.SnapshotDamaged, "%v", err))
		return
	}
	timeout := registerTimeout + time.Duration(len(body))*registerTimeoutPerMegabyte/(1<<20)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	_, err = a.options.Register.Propose(ctx, func(state configstore.State) (configstore.State, error) {
		return state.WithSnapshot(snapshot)
	})
	var outdated configstore.SnapshotOutdatedError
	switch {
	case errors.As(err, &outdated):
		resultcode.Write(w, resultcode.New(resultcode.SnapshotOutdated, "%v", outdated))
	case err != nil:
		writeError(w, err)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// readSnapshot decodes a snapshot and checks that its configuration is valid.
func (a *API) readSnapshot(body []byte) (configstore.State, error) {
	snapshot, err := configstore.DecodeSnapshot(body)
	if err != nil {
		return configstore.State{}, err
	}
	if _, err := a.parse(snapshot.Document); err != nil {
		return configstore.State{}, errors.Wrap(err, "its configuration")
	}
	return snapshot, nil
}
