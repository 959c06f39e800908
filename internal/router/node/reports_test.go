package node

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/protocol"
)

// TestFetchReport checks that reports are fetched over one persistent connection, and that other answers are errors.
func TestFetchReport(t *testing.T) {
	var connections atomic.Int64
	want := protocol.Report{Queued: 1, Running: 12, KVUsed: 41000, KVTotal: 90000, Models: []protocol.Model{{Name: "m"}}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case request.URL.Path != protocol.PathReport:
			writer.WriteHeader(http.StatusNotFound)
		case request.Header.Get(protocol.HeaderExpectInstance) == "unreadable":
			writer.Write([]byte("not json"))
		case request.Header.Get(protocol.HeaderExpectInstance) != "a":
			writer.WriteHeader(http.StatusMisdirectedRequest)
		default:
			assert.Check(t, json.NewEncoder(writer).Encode(&want))
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	n := &Node{attempts: attempt.NewPool(attempt.Options{})}
	at := func(id string) *instances.Instance {
		return &instances.Instance{ID: id, Backend: "b", Address: server.Listener.Addr().String()}
	}
	for range 5 {
		report, err := n.fetchReport(t.Context(), at("a"))
		assert.NilError(t, err)
		assert.DeepEqual(t, *report, want)
	}
	assert.Equal(t, connections.Load(), int64(1), "the connection must be reused")
	_, err := n.fetchReport(t.Context(), at("c"))
	assert.ErrorContains(t, err, "421")
	_, err = n.fetchReport(t.Context(), at("unreadable"))
	assert.ErrorContains(t, err, "report")
	unreachable := at("a")
	unreachable.Address = "127.0.0.1:1"
	_, err = n.fetchReport(t.Context(), unreachable)
	assert.ErrorContains(t, err, "connection refused")
}
