package controlapi

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
)

const (
	heartbeatPath  = "/v1/instances/i-1/heartbeat"
	deregisterPath = "/v1/instances/i-1/deregister"
)

func TestHeartbeatsReachTheRegistry(t *testing.T) {
	api, _ := newTestAPI()
	body := `{"backend":"b","address":"10.0.0.1:80","state":"draining","slots":4,"seq":3,"unknown":1}`
	response := post(api, heartbeatPath, "", strings.NewReader(body))
	assert.Equal(t, response.Code, http.StatusOK)
	assert.Equal(t, response.Body.String(), `{"beat_url":"http://127.0.0.1:1/"}`)
	expected := protocol.Heartbeat{Backend: "b", Address: "10.0.0.1:80", State: protocol.StateDraining, Slots: 4, Seq: 3}
	assert.DeepEqual(t, api.options.Instances.(*recordedInstances).heartbeats["i-1"], expected)
}

func TestUnreadableHeartbeatsAreRefused(t *testing.T) {
	api, _ := newTestAPI()
	for body, code := range map[string]resultcode.Code{
		``:                       resultcode.HeartbeatUnreadable,
		`{"seq":1`:               resultcode.HeartbeatUnreadable,
		`{"seq":"one"}`:          resultcode.HeartbeatUnreadable,
		strings.Repeat(" ", 1e5): resultcode.CallTooLarge,
	} {
		response := post(api, heartbeatPath, "", strings.NewReader(body))
		assert.Equal(t, response.Code, code.Status())
		assert.Assert(t, strings.Contains(response.Body.String(), code.String()), response.Body.String())
	}
	assert.Equal(t, len(api.options.Instances.(*recordedInstances).heartbeats), 0)
}

func TestDeregistrationsReachTheRegistry(t *testing.T) {
	api, _ := newTestAPI()
	assert.Equal(t, post(api, deregisterPath, "", strings.NewReader("")).Code, http.StatusOK)
	assert.DeepEqual(t, api.options.Instances.(*recordedInstances).deregistered, []string{"i-1"})
}

// TestUnconfirmedDrainOrDeregistrationIsNotAcknowledged checks that the instance gets an error, so that it asks another
// router.
func TestUnconfirmedDrainOrDeregistrationIsNotAcknowledged(t *testing.T) {
	api, _ := newTestAPI()
	api.options.Instances.(*recordedInstances).err = errNoQuorum
	for _, path := range []string{heartbeatPath, deregisterPath} {
		response := post(api, path, "", strings.NewReader(`{"backend":"b","state":"draining","seq":3}`))
		assert.Equal(t, response.Code, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(response.Body.String(), resultcode.HeartbeatNotSpread.String()), response.Body.String())
	}
}

func TestUnknownPathsAndMethodsAreRejected(t *testing.T) {
	api, register := newTestAPI()
	for _, path := range []string{"/", "/v1/config", "/v1/config/put/", "/v1/instances//heartbeat", "/v1/instances/i/j/heartbeat"} {
		status := post(api, path, "0", strings.NewReader(configuration(5, 10))).Code
		assert.Assert(t, status == http.StatusNotFound || status == http.StatusMovedPermanently, "%s: %d", path, status)
	}
	for _, path := range []string{protocol.PathConfigPut, protocol.PathConfigPatch, heartbeatPath, deregisterPath} {
		assert.Equal(t, ask(t, api, http.MethodGet, path, nil), http.StatusMethodNotAllowed, path)
	}
	assert.Equal(t, register.proposals, 0)
}
