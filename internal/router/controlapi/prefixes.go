package controlapi

import (
	"net/http"

	"github.com/gorilla/mux"

	"pewterrudder/internal/router/protocol"
)

// addPrefixRoutes adds the route that serves the agreed common prefixes, if Prefixes is set.
func (a *API) addPrefixRoutes(router *mux.Router) {
	if a.options.Prefixes == nil {
		return
	}
	router.HandleFunc(protocol.PathPrefixes, a.prefixes).Methods(http.MethodGet)
}

func (a *API) prefixes(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.options.Prefixes()) }
