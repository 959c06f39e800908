package controlapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

// takeSnapshot requests a snapshot and returns its text.
func takeSnapshot(t *testing.T, api *API) string {
	t.Helper()
	response := httptest.NewRecorder()
	api.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, protocol.PathSnapshot, nil))
	assert.Equal(t, response.Code, http.StatusOK, response.Body.String())
	return response.Body.String()
}

// restore sends a snapshot and returns the status.
func restore(api *API, snapshot string) int {
	return post(api, protocol.PathRestore, "", strings.NewReader(snapshot)).Code
}

// TestSnapshotIsRestored moves a state to an empty fleet. The second fleet recognizes changes that the first one applied,
// and accepts further changes.
func TestSnapshotIsRestored(t *testing.T) {
	first, _ := newTestAPI()
	assert.Equal(t, put(first, 0, configuration(7, 10)), http.StatusOK)
	old := takeSnapshot(t, first)
	assert.Equal(t, put(first, 7, configuration(9, 10)), http.StatusOK)
	newest := takeSnapshot(t, first)

	second, register := newTestAPI()
	assert.Equal(t, restore(second, newest), http.StatusOK)
	assert.Equal(t, register.current().Generation, int64(9))
	assert.Equal(t, put(second, 7, configuration(9, 10)), http.StatusOK, "repeated change that the first fleet applied")
	assert.Equal(t, restore(second, newest), http.StatusOK, "repeated restore")
	assert.Equal(t, restore(second, old), http.StatusConflict)
	assert.Equal(t, put(second, 9, configuration(11, 10)), http.StatusOK)
	assert.Equal(t, restore(second, newest), http.StatusConflict)
	assert.Equal(t, register.current().Generation, int64(11))
}

func TestInvalidSnapshotsAreRefused(t *testing.T) {
	api, register := newTestAPI()
	response := httptest.NewRecorder()
	api.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, protocol.PathSnapshot, nil))
	assert.Equal(t, response.Code, http.StatusServiceUnavailable, "no configuration to snapshot")
	assert.Equal(t, restore(api, "no snapshot"), http.StatusBadRequest)
	assert.Equal(t, put(api, 0, configuration(7, 10)), http.StatusOK)
	snapshot := takeSnapshot(t, api)
	assert.Equal(t, restore(api, strings.Replace(snapshot, `"generation": 7`, `"generation": 8`, 1)), http.StatusBadRequest)
	register.fails = true
	assert.Equal(t, restore(api, snapshot), http.StatusServiceUnavailable)
	response = httptest.NewRecorder()
	api.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, protocol.PathSnapshot, nil))
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
}
