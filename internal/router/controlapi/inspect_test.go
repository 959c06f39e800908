package controlapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/status"
)

// fixedInspector returns constant values.
type fixedInspector struct{}

func (fixedInspector) Status() status.Status { return status.Status{Node: "router-1", Ready: true} }
func (fixedInspector) Members() []status.Member {
	return []status.Member{{Node: "router-2", Status: "failed"}}
}
func (fixedInspector) Instances() []status.Instance {
	return []status.Instance{{ID: "i-1", Holder: "router-2"}}
}

// ask makes a request, decodes the JSON body of the response into value unless value is nil, and returns the status.
func ask(t *testing.T, api *API, method, path string, value any) int {
	t.Helper()
	response := httptest.NewRecorder()
	api.Handler().ServeHTTP(response, httptest.NewRequest(method, path, nil))
	if value != nil {
		assert.Equal(t, response.Header().Get("Content-Type"), protocol.ContentTypeJSON)
		assert.NilError(t, json.Unmarshal(response.Body.Bytes(), value))
	}
	return response.Code
}

func TestReadOnlyCallsReturnInspectorState(t *testing.T) {
	api := New(Options{Inspector: fixedInspector{}})
	var state status.Status
	assert.Equal(t, ask(t, api, http.MethodGet, protocol.PathStatus, &state), http.StatusOK)
	assert.DeepEqual(t, state, fixedInspector{}.Status())
	var members []status.Member
	assert.Equal(t, ask(t, api, http.MethodGet, protocol.PathMembers, &members), http.StatusOK)
	assert.DeepEqual(t, members, fixedInspector{}.Members())
	var instances []status.Instance
	assert.Equal(t, ask(t, api, http.MethodGet, protocol.PathInstances, &instances), http.StatusOK)
	assert.DeepEqual(t, instances, fixedInspector{}.Instances())
}

// errorBody is the body of a response with a result code.
type errorBody struct {
	Code resultcode.Code `json:"code"`
}

func TestReadOnlyCallsRejectOtherMethods(t *testing.T) {
	api := New(Options{Inspector: fixedInspector{}})
	for _, path := range []string{protocol.PathStatus, protocol.PathMembers, protocol.PathInstances} {
		var refused errorBody
		assert.Equal(t, ask(t, api, http.MethodPost, path, &refused), http.StatusMethodNotAllowed, path)
		assert.Equal(t, refused.Code, resultcode.MethodNotAllowed)
	}
}

func TestUnknownCallsReturnResultCode(t *testing.T) {
	var refused errorBody
	assert.Equal(t, ask(t, New(Options{}), http.MethodGet, "/v1/other", &refused), http.StatusNotFound)
	assert.Equal(t, refused.Code, resultcode.NoSuchCall)
}

func TestReadOnlyCallsNeedInspector(t *testing.T) {
	assert.Equal(t, ask(t, New(Options{}), http.MethodGet, protocol.PathStatus, nil), http.StatusNotFound)
}
