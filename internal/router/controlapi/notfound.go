package controlapi

import (
	"net/http"

	"pewterrudder/internal/router/resultcode"
)

// noSuchCall responds to a call to an unknown path.
func noSuchCall(w http.ResponseWriter, r *http.Request) {
	resultcode.Write(w, resultcode.New(resultcode.NoSuchCall, "%s", r.URL.Path))
}

// methodNotAllowed responds to a call with a method that its path does not support.
func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	resultcode.Write(w, resultcode.New(resultcode.MethodNotAllowed, "%s", r.Method))
}
