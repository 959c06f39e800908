package controlapi

import (
	"net/http"

	"github.com/gorilla/mux"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/status"
)

// Inspector returns the current state of the router. Its methods are called on demand, once per request.
type Inspector interface {
	Status() status.Status
	Members() []status.Member
	Instances() []status.Instance
}

// addInspectionRoutes adds the routes of the read-only calls, if an Inspector is set.
func (a *API) addInspectionRoutes(router *mux.Router) {
	inspector := a.options.Inspector
	if inspector == nil {
		return
	}
	serve := func(path string, result func() any) {
		handler := func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, result()) }
		router.HandleFunc(path, handler).Methods(http.MethodGet)
	}
	serve(protocol.PathStatus, func() any { return inspector.Status() })
	serve(protocol.PathMembers, func() any { return inspector.Members() })
	serve(protocol.PathInstances, func() any { return inspector.Instances() })
}
