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
	// troubledRequests is how many requests TestPromisesAmongTroubles makes at a router. The variable asks for another number, for a long
	// run by hand, and troubledRouters for that many routers which share the instances.
	troubledRequests         = 720
	troubledRequestsVariable = "FRONT_TROUBLED_REQUESTS"
	troubledRoutersVariable  = "FRONT_TROUBLED_ROUTERS"
	// troubledClients is how many clients ask one router at once.
	troubledClients = 12
)

// numberFrom is the value of an environment variable, or the other number where there is none.
func numberFrom(t *testing.T, variable string, otherwise int) int {
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return number
}

// runLog counts how often each request has run.
type runLog struct {
	mutex sync.Mutex
	runs  map[string]int
}

func (l *runLog) ran(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id]++
}

func (l *runLog) count(id string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[id]
}

// troubled answers requests with their path, and in many other ways.
func (l *runLog) troubled(c net.Conn, r *received) bool {
	id := r.Header.Get(protocol.HeaderRequestID)
	chance := rand.IntN(100)
	if chance < 15 {
		return reply(c, r, 503, "full", notExecutedLine)
	}
	if chance < 20 {
		return reply(c, r, 421, "")
	}
	l.ran(id)
	if strings.HasPrefix(r.RequestURI, "/resume/") || strings.HasPrefix(r.RequestURI, "/stream/") {
		return troubledStream(c, r, chance)
	}
	switch {
	case chance < 30: // a surplus copy
		reply(c, r, 200, r.RequestURI, stampLine)
		return reply(c, r, 200, r.RequestURI, stampLine)
	case chance < 35: // a surplus copy that comes later
		reply(c, r, 200, r.RequestURI, stampLine)
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		return reply(c, r, 200, r.RequestURI, stampLine)
	case chance < 40:
		c.(*net.TCPConn).SetLinger(0)
		return false
	case chance < 45:
		text := answerText(id, 200, r.RequestURI, stampLine)
		io.WriteString(c, text[:rand.IntN(len(text))])
		return false
	case chance < 50:
		io.WriteString(c, "no answer at all\r\n\r\n")
		return true
	case chance < 55:
		reply(c, r, 200, r.RequestURI, stampLine)
		return false
	case chance < 60:
		return reply(c, r, 500, "oops", stampLine)
	}
	return reply(c, r, 200, r.RequestURI, stampLine)
}

// troubledStream sends ten events behind the last that the client has, or breaks off somewhere.
func troubledStream(c net.Conn, r *received, chance int) bool {
	first, _ := strconv.Atoi(r.Header.Get(protocol.HeaderLastEventID))
	beginEvents(c, r)
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

// TestPromisesAmongTroubles has many clients ask troubled instances and checks from outside what must hold: no answer belongs to
// another request, no request that must not run twice does, what was promised not to have run has not, streams hold each event
// once and in order, and each request is answered.
func TestPromisesAmongTroubles(t *testing.T) {
	log := &runLog{runs: map[string]int{}}
	var all []*standIn
	for i := range 5 {
		instance := newStandIn(t, "i-"+strconv.Itoa(i), log.troubled)
		instance.forgets = true
		all = append(all, instance)
	}
	requests, routers := numberFrom(t, troubledRequestsVariable, troubledRequests), numberFrom(t, troubledRoutersVariable, 1)
	var running sync.WaitGroup
	for router := range routers {
		f := newFleet(t, func(c *document.Configuration, d *Dependencies, _ *Options) { c.Limits.IdleTimeoutMs = 9000 }, all...)
		f.server.dependencies.Select = f.chooseAnyOf(all)
		running.Go(func() { playTroubles(t, f, log, router, requests) })
	}
	running.Wait()
}

// playTroubles has the clients of one router make so many requests.
func playTroubles(t *testing.T, f *fleet, log *runLog, router, requests int) {
	var clients sync.WaitGroup
	for i := range troubledClients {
		clients.Go(func() { askAmongTroubles(t, f, log, router*troubledClients+i, requests/troubledClients) })
	}
	clients.Wait()
	figures := f.server.Figures()
	assert.Check(t, int(figures.Succeeded) > requests*200/troubledRequests, "%+v", figures)
	assert.Check(t, int(figures.MayHaveRun) > requests*50/troubledRequests && int(figures.Rejected) > requests*50/troubledRequests, "%+v", figures)
	waitFor(t, "no body held", func() bool { return f.server.Figures().BodyBytesHeld == 0 })
	t.Logf("router %d: %d requests succeeded, %d attempts rejected, %d may have run", router, figures.Succeeded, figures.Rejected, figures.MayHaveRun)
}

// chooseAnyOf picks one of the instances that aren't excluded by chance.
func (f *fleet) chooseAnyOf(all []*standIn) func(selection.Request) (Pick, error) {
	return func(request selection.Request) (Pick, error) {
		for _, i := range rand.Perm(len(all)) {
			if !strings.Contains(strings.Join(request.Excluded, " "), all[i].ID) {
				return &testPick{fleet: f, instance: all[i].Instance}, nil
			}
		}
		return nil, errNone
	}
}

func askAmongTroubles(t *testing.T, f *fleet, log *runLog, client, requests int) {
	var c *clientOfTroubles
	for n := range requests {
		if c == nil {
			c = newClientOfTroubles(t, f)
		}
		kind := []string{"/once/", "/twice/", "/stream/", "/resume/"}[rand.IntN(4)]
		id := fmt.Sprintf("id-%d-%d", client, n)
		if !c.ask(t, log, id, kind+id) {
			c = nil
		}
	}
}

type clientOfTroubles struct {
	net.Conn
	reader *bufio.Reader
}

func newClientOfTroubles(t *testing.T, f *fleet) *clientOfTroubles {
	c := f.dial(t)
	return &clientOfTroubles{Conn: c.Conn, reader: c.reader}
}

// ask sends a request, checks what comes, and tells whether the connection may be used again.
func (c *clientOfTroubles) ask(t *testing.T, log *runLog, id, path string) bool {
	c.SetDeadline(time.Now().Add(answerPatience)) // the connection is used for many requests
	asked := time.Now()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: api.example\r\n%s: %s\r\nContent-Length: 2\r\n\r\nhi", path, protocol.HeaderRequestID, id)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Errorf("%s: no answer: %v", path, err)
		return false
	}
	body, bodyErr := io.ReadAll(response.Body)
	runs := log.count(id)
	if got := response.Header.Get(protocol.HeaderRequestID); got != id {
		t.Errorf("%s: the answer belongs to %s", path, got)
	}
	if strings.HasPrefix(path, "/once/") || strings.HasPrefix(path, "/stream/") {
		checkRunsAtMost(t, path, runs, 1)
	} else {
		checkRunsAtMost(t, path, runs, 3)
	}
	switch response.StatusCode {
	case 200:
		checkSuccess(t, path, string(body), bodyErr)
	case 429, 503, 408, 421:
		checkRunsAtMost(t, path, runs, 0)
	case 500, 502:
	case 504: // on a starved machine, and no sooner than the operator wants the request held
		if took := time.Since(asked); took < routeTimeout {
			t.Errorf("%s: status 504 after %v", path, took)
		}
	default:
		t.Errorf("%s: status %d", path, response.StatusCode)
	}
	return bodyErr == nil && !response.Close
}

func checkRunsAtMost(t *testing.T, path string, runs, most int) {
	if runs > most {
		t.Errorf("%s has run %d times", path, runs)
	}
}

// checkSuccess checks the body of a success; a stream that was cut must not look complete.
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
