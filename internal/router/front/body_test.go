package front

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/protocol"
)

// TestBodiesInChunksStayWithinMemory has more bodies in chunks arrive at once than the memory for bodies holds. It guards
// against a router that holds all of them until they are complete, and is killed for its memory.
func TestBodiesInChunksStayWithinMemory(t *testing.T) {
	const (
		bodyMemory = 1 << 20
		partBytes  = 300_000
		uploads    = 8
		// mostHeld is how many buffers for a part, which double in size, fit into the memory.
		mostHeld = bodyMemory / (512 << 10)
	)
	instance := newFakeInstance(t, "i-1", respondOK)
	f := newTestFront(t, func(_ *document.Configuration, _ *Dependencies, o *Options) { o.BodyMemory = bodyMemory }, instance)
	statuses := make(chan int, uploads)
	finish := make(chan struct{})
	part := fmt.Sprintf("%x\r\n%s\r\n", partBytes, strings.Repeat("a", partBytes))
	for range uploads {
		c := f.dial(t)
		go func() { // the connection of a refused upload may be closed meanwhile
			_, _ = io.WriteString(c, requestText("POST", "/once/", "Transfer-Encoding: chunked")+part)
			<-finish
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}()
		go func() {
			response, err := http.ReadResponse(c.reader, nil)
			if !assert.Check(t, err) {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	for range uploads - mostHeld {
		assert.Equal(t, <-statuses, http.StatusServiceUnavailable, "refused before the end of the body")
	}
	held := f.server.Stats().BodyBytesHeld
	assert.Assert(t, held > 0 && held <= bodyMemory, "%d bytes", held)
	close(finish)
	served := 0
	for range mostHeld {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served > 0)
	waitFor(t, "no body held", func() bool { return f.server.Stats().BodyBytesHeld == 0 })
}

// TestRefusedUploadReceivesItsAnswer guards against a reset connection: a client whose body finds no memory sends all of it
// before it reads the answer, and then uses the connection again.
func TestRefusedUploadReceivesItsAnswer(t *testing.T) {
	const size = 1 << 20
	large := strings.Repeat("a", size)
	for name, upload := range map[string]string{
		"length": requestText("POST", "/once/", fmt.Sprint("Content-Length: ", size)) + large,
		"chunks": requestText("POST", "/once/", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, large),
	} {
		t.Run(name, func(t *testing.T) {
			instance := newFakeInstance(t, "i-1", respondOK)
			f := newTestFront(t, func(_ *document.Configuration, _ *Dependencies, o *Options) { o.BodyMemory = size / 2 }, instance)
			c := f.dial(t)
			for range 2 {
				c.send(upload)
				response, body, err := c.readResponse()
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, strings.Contains(body, "overloaded"), body)
				assert.Assert(t, response.Header.Get(protocol.HeaderRetryAfter) != "")
				c.send(requestText("POST", "/once/", "Content-Length: 2") + "hi")
				response, _, err = c.readResponse()
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
			assert.Equal(t, len(instance.requests()), 2)
			assert.Equal(t, f.server.Stats().BodyBytesHeld, int64(0))
		})
	}
}

// TestStalledUploadIsClosedAfterRefusal guards against connections that are held by clients whose body was refused and
// which neither finish it nor go away: the connection ends at the deadline of the request.
func TestStalledUploadIsClosedAfterRefusal(t *testing.T) {
	const size = 1 << 20
	f := newTestFront(t, func(_ *document.Configuration, _ *Dependencies, o *Options) { o.BodyMemory = size / 2 }, newFakeInstance(t, "i-1", respondOK))
	for name, start := range map[string]string{
		"length": requestText("POST", "/once/", fmt.Sprint("Content-Length: ", size-1), protocol.HeaderDeadlineMs+": 300") + "a",
		"chunks": requestText("POST", "/once/", "Transfer-Encoding: chunked", protocol.HeaderDeadlineMs+": 300") + "ffffff\r\n" + strings.Repeat("a", size/2),
		"chunks over the limit": requestText("POST", "/once/", "Transfer-Encoding: chunked", protocol.HeaderDeadlineMs+": 300") +
			"ffffff\r\n" + strings.Repeat("a", 2*size),
	} {
		t.Run(name, func(t *testing.T) {
			c := f.dial(t)
			c.send(start)
			response, _, err := c.readResponse()
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			_, err = c.reader.ReadByte()
			assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		})
	}
}

// TestBodyOfUnknownLength checks bodies in chunks around the sizes at which the buffer grows, and around the limit.
func TestBodyOfUnknownLength(t *testing.T) {
	const limit = 1 << 20 // of the test configuration
	instance := newFakeInstance(t, "i-1", respondOK)
	f := newTestFront(t, nil, instance)
	for _, size := range []int{1, initialBodyBuffer - 1, initialBodyBuffer, initialBodyBuffer + 1, 3 * initialBodyBuffer, limit - 1, limit} {
		body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		response, _ := f.exchange(t, requestText("POST", "/once/", "Transfer-Encoding: chunked")+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body))
		assert.Equal(t, response.StatusCode, http.StatusOK, "%d bytes", size)
		all := instance.requests()
		assert.Assert(t, all[len(all)-1].body == body, "%d bytes", size)
	}
	waitFor(t, "no body held", func() bool { return f.server.Stats().BodyBytesHeld == 0 })
}
