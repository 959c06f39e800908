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

// snapshot answers with the newest state of the register, as a file that restore takes.
func (a *API) snapshot(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
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

// restore puts a snapshot in force on a register that is behind it.
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
	within := answerWithin + time.Duration(len(body))*answerWithinPerMegabyte/(1<<20)
	ctx, cancel := context.WithTimeout(r.Context(), within)
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

// readSnapshot checks a snapshot and the configuration in it.
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
