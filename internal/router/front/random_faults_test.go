package front

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/selection"
)

const (
	// faultTestRequests is how many requests TestGuaranteesUnderRandomFaults sends to each router. For a long manual run,
	// the first environment variable sets another number, and the second the number of routers that share the instances.
	faultTestRequests         = 720
	faultTestRequestsVariable = "FRONT_TROUBLED_REQUESTS"
	faultTestRoutersVariable  = "FRONT_TROUBLED_ROUTERS"
	// faultTestClients is the number of concurrent clients of each router.
	faultTestClients = 12
)

// environmentNumber returns the value of an environment variable, or the fallback if it is empty.
func environmentNumber(t *testing.T, variable string, fallback int) int {
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return number
}

// executionLog counts how often each request was executed, by request id.
type executionLog struct {
	mutex      sync.Mutex
	executions map[string]int
}

func (l *executionLog) record(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.executions[id]++
}

func (l *executionLog) count(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.executions[id]
}

// respondWithFaults executes requests and responds with their path, or fails at random: it rejects the request, sends a
// surplus, truncated or invalid response, a status 500, or closes the connection.
func (l *executionLog) respondWithFaults(c net.Conn, r *receivedRequest) bool {
	id := r.Header.Get(protocol.HeaderRequestID)
	chance := rand.IntN(100)
	if chance < 15 {
		return reply(c, r, 503, "full", notExecutedLine)
	}
	if chance < 20 {
		return reply(c, r, 421, "")
	}
	l.record(id)
	if strings.HasPrefix(r.RequestURI, "/resume/") || strings.HasPrefix(r.RequestURI, "/stream/") {
		return streamWithFaults(c, r, chance)
	}
	switch {
	case chance < 30: // a surplus copy of the response
		reply(c, r, 200, r.RequestURI, signatureLine)
		return reply(c, r, 200, r.RequestURI, signatureLine)
	case chance < 35: // a delayed surplus copy
		reply(c, r, 200, r.RequestURI, signatureLine)
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		return reply(c, r, 200, r.RequestURI, signatureLine)
	case chance < 40:
		c.(*net.TCPConn).SetLinger(0)
		return false
	case chance < 45:
		text := responseText(id, 200, r.RequestURI, signatureLine)
		io.WriteString(c, text[:rand.IntN(len(text))])
		return false
	case chance < 50:
		io.WriteString(c, "no answer at all\r\n\r\n")
		return true
	case chance < 55:
		reply(c, r, 200, r.RequestURI, signatureLine)
		return false
	case chance < 60:
		return reply(c, r, 500, "oops", signatureLine)
	}
	return reply(c, r, 200, r.RequestURI, signatureLine)
}

// streamWithFaults sends the events after Last-Event-Id up to the tenth, or breaks off at a random point.
func streamWithFaults(c net.Conn, r *receivedRequest, chance int) bool {
	first, _ := strconv.Atoi(r.Header.Get(protocol.HeaderLastEventID))
	writeStreamHead(c, r)
	for id := first + 1; id <= 10; id++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", id, r.RequestURI)
		if chance < 50 && rand.IntN(6) == 0 {
			writeChunk(c, text[:1+rand.IntN(len(text)-1)]) // an empty chunk would end the body
			return false
		}
		writeChunk(c, text)
	}
	endChunks(c)
	return true
}

// TestGuaranteesUnderRandomFaults has many clients send requests to instances that fail at random, and checks the
// guarantees that a client relies on: no response belongs to another request, no non-repeatable request is executed
// twice, no request is executed whose status guarantees that it was not, streams contain each event once and in order,
// and each request gets a response.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	log := &executionLog{executions: map[string]int{}}
	var all []*fakeInstance
	for i := range 5 {
		instance := newFakeInstance(t, "i-"+strconv.Itoa(i), log.respondWithFaults)
		instance.discardsRequests = true
		all = append(all, instance)
	}
	requests, routers := environmentNumber(t, faultTestRequestsVariable, faultTestRequests), environmentNumber(t, faultTestRoutersVariable, 1)
	var running sync.WaitGroup
	for router := range routers {
		f := newTestFront(t, func(c *document.Configuration, d *Dependencies, _ *Options) { c.Limits.IdleTimeoutMs = 9000 }, all...)
		f.server.dependencies.Select = f.chooseRandom(all)
		running.Go(func() { runFaultClients(t, f, log, router, requests) })
	}
	running.Wait()
}

// runFaultClients has the clients of one router make the given number of requests in total, and checks the counts.
func runFaultClients(t *testing.T, f *testFront, log *executionLog, router, requests int) {
	var clients sync.WaitGroup
	for i := range faultTestClients {
		clients.Go(func() { runFaultClient(t, f, log, router*faultTestClients+i, requests/faultTestClients) })
	}
	clients.Wait()
	stats := f.server.Stats()
	assert.Check(t, int(stats.Succeeded) > requests*200/faultTestRequests, "%+v", stats)
	assert.Check(t, int(stats.MayHaveRun) > requests*50/faultTestRequests && int(stats.Rejected) > requests*50/faultTestRequests, "%+v", stats)
	waitFor(t, "no body held", func() bool { return f.server.Stats().BodyBytesHeld == 0 })
	t.Logf("router %d: %d requests succeeded, %d attempts rejected, %d may have run", router, stats.Succeeded, stats.Rejected, stats.MayHaveRun)
}

// chooseRandom picks a random instance among those that are not excluded.
func (f *testFront) chooseRandom(all []*fakeInstance) func(selection.Request) (Pick, error) {
	return func(request selection.Request) (Pick, error) {
		for _, i := range rand.Perm(len(all)) {
			if !strings.Contains(strings.Join(request.Excluded, " "), all[i].ID) {
				return &testPick{front: f, instance: all[i].Instance}, nil
			}
		}
		return nil, errNoInstance
	}
}

// runFaultClient makes the requests of one client, one after the other, each to a random route.
func runFaultClient(t *testing.T, f *testFront, log *executionLog, client, requests int) {
	var c *faultClient
	for n := range requests {
		if c == nil {
			c = newFaultClient(t, f)
		}
		kind := []string{"/once/", "/twice/", "/stream/", "/resume/"}[rand.IntN(4)]
		id := fmt.Sprintf("id-%d-%d", client, n)
		if !c.exchange(t, log, id, kind+id) {
			c = nil
		}
	}
}

// faultClient is the raw connection of a client.
type faultClient struct {
	net.Conn
	reader *bufio.Reader
}

func newFaultClient(t *testing.T, f *testFront) *faultClient {
	c := f.dial(t)
	return &faultClient{Conn: c.Conn, reader: c.reader}
}

// exchange sends a request, checks the response, and reports whether the connection can be reused.
func (c *faultClient) exchange(t *testing.T, log *executionLog, id, path string) bool {
	c.SetDeadline(time.Now().Add(responseTimeout)) // the connection is reused for many requests
	asked := time.Now()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: api.example\r\n%s: %s\r\nContent-Length: 2\r\n\r\nhi", path, protocol.HeaderRequestID, id)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Errorf("%s: no response: %v", path, err)
		return false
	}
	body, bodyErr := io.ReadAll(response.Body)
	runs := log.count(id)
	if got := response.Header.Get(protocol.HeaderRequestID); got != id {
		t.Errorf("%s: response belongs to request %q", path, got)
	}
	if strings.HasPrefix(path, "/once/") || strings.HasPrefix(path, "/stream/") {
		checkExecutionsAtMost(t, path, runs, 1)
	} else {
		checkExecutionsAtMost(t, path, runs, 3)
	}
	switch response.StatusCode {
	case 200:
		checkSuccess(t, path, string(body), bodyErr)
	case 429, 503, 408, 421:
		checkExecutionsAtMost(t, path, runs, 0)
	case 500, 502:
	case 504: // may occur on an overloaded machine, but never before the route's timeout
		if took := time.Since(asked); took < routeTimeout {
			t.Errorf("%s: status 504 after %v, before the route's timeout", path, took)
		}
	default:
		t.Errorf("%s: status %d", path, response.StatusCode)
	}
	return bodyErr == nil && !response.Close
}

func checkExecutionsAtMost(t *testing.T, path string, runs, most int) {
	if runs > most {
		t.Errorf("%s was executed %d times, at most %d allowed", path, runs, most)
	}
}

// checkSuccess checks the body of a successful response. A truncated stream must not look complete.
func checkSuccess(t *testing.T, path, body string, bodyErr error) {
	if !strings.HasPrefix(path, "/resume/") && !strings.HasPrefix(path, "/stream/") {
		if body != path || bodyErr != nil {
			t.Errorf("%s: body %q, %v", path, body, bodyErr)
		}
		return
	}
	want := ""
	for id := 1; id <= 10; id++ {
		want += fmt.Sprintf("id: %d\ndata: %s\n\n", id, path)
	}
	if bodyErr == nil && body != want || !strings.HasPrefix(want, body) || body != "" && !strings.HasSuffix(body, "\n\n") {
		t.Errorf("%s: stream %q, %v", path, body, bodyErr)
	}
}
