package front

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

func TestResponseIsForwardedUnchanged(t *testing.T) {
	instance := newFakeInstance(t, "i-1", respondOK)
	f := newTestFront(t, nil, instance)
	response, body := f.exchange(t, requestText("POST", "/once//a%2Fb/../c?q=1&&r=%20", "Content-Length: 5", "X-Own: 1", "X-Own: 2")+"hello")
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, body, "fine")
	assert.Equal(t, response.Header.Get(protocol.HeaderResponseSignature), testSignature)
	got := instance.requests()[0]
	assert.Equal(t, got.Method, "POST")
	assert.Equal(t, got.RequestURI, "/once//a%2Fb/../c?q=1&&r=%20")
	assert.Equal(t, got.Host, "api.example")
	assert.Equal(t, got.body, "hello")
	assert.DeepEqual(t, got.Header["X-Own"], []string{"1", "2"})
	assert.Equal(t, got.Header.Get(protocol.HeaderExpectInstance), "i-1")
}

func TestStreamIsForwarded(t *testing.T) {
	instance := newFakeInstance(t, "i-1", func(c net.Conn, r *receivedRequest) bool {
		writeStreamHead(c, r)
		writeChunk(c, event(1))
		writeChunk(c, event(2))
		endChunks(c)
		return true
	})
	f := newTestFront(t, nil, instance)
	for range 2 {
		response, body := f.exchange(t, requestText("GET", "/stream/x"))
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, event(1)+event(2))
	}
	assert.Equal(t, instance.connections(), 1)
}
