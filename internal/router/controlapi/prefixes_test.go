package controlapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

func TestPrefixesAreServed(t *testing.T) {
	want := protocol.PrefixStatus{
		Enabled:  true,
		Version:  4,
		Prefixes: []protocol.PrefixInfo{{Key: "a1", Backend: "b", Tenant: "t", Tokens: 9, Share: 0.5, Instances: []string{"i"}}},
		Tenants:  map[string]protocol.TenantPrefixUse{"t": {Requests: 3, Hits: 2, RecomputedTokens: 9}},
	}
	api := New(Options{Prefixes: func() *protocol.PrefixStatus { return &want }})
	response := httptest.NewRecorder()
	api.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, protocol.PathPrefixes, nil))
	assert.Equal(t, response.Code, http.StatusOK)
	var got protocol.PrefixStatus
	assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &got))
	assert.DeepEqual(t, got, want)
}

func TestPrefixesAreNotServedByDefault(t *testing.T) {
	response := httptest.NewRecorder()
	New(Options{}).Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, protocol.PathPrefixes, nil))
	assert.Equal(t, response.Code, http.StatusNotFound)
}
