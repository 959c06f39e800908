package front

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
)

func respondRejected(c net.Conn, r *receivedRequest) bool {
	return reply(c, r, 503, "full", notExecutedLine, "Retry-After: 0.3", "X-Pewterrudder-Load: 4,2,4")
}

func dropConnection(c net.Conn, r *receivedRequest) bool { return false }

func respondServerError(c net.Conn, r *receivedRequest) bool {
	return reply(c, r, 500, "oops", signatureLine)
}

// newUnreachableInstance returns an instance on whose address nothing listens.
func newUnreachableInstance(t *testing.T, id string) *fakeInstance {
	s := newFakeInstance(t, id, respondOK)
	s.listener.Close()
	return s
}

// TestFinalAnswers checks the response that a client gets for various behaviors of instances, and which instances got the
// request.
func TestFinalAnswers(t *testing.T) {
	type script = func(c net.Conn, r *receivedRequest) bool
	signed503 := func(c net.Conn, r *receivedRequest) bool { return reply(c, r, 503, "x", signatureLine) }
	misdirected := func(c net.Conn, r *receivedRequest) bool { return reply(c, r, 421, "") }
	unsigned := func(c net.Conn, r *receivedRequest) bool { return reply(c, r, 200, "x") }
	notFound := func(c net.Conn, r *receivedRequest) bool { return reply(c, r, 404, "gone", signatureLine) }
	for name, c := range map[string]struct {
		path    string
		scripts []script // of the instances in order of selection; nil: nothing listens
		status  int
		body    string // "": an error response of the router
		got     []int  // requests at each instance
	}{
		"no instance":                                 {"/once/", nil, 503, "", nil},
		"unreachable":                                 {"/once/", []script{nil, nil}, 503, "", []int{0, 0}},
		"unreachable, then fine":                      {"/once/", []script{nil, nil, respondOK}, 200, "fine", []int{0, 0, 1}},
		"rejected":                                    {"/once/", []script{respondRejected}, 503, "", []int{1}},
		"rejected, then fine":                         {"/once/", []script{respondRejected, misdirected, respondOK}, 200, "fine", []int{1, 1, 1}},
		"rejected by all":                             {"/once/", []script{respondRejected, respondRejected, respondRejected, respondRejected, respondRejected, respondRejected}, 503, "", []int{1, 1, 1, 1, 1, 0}},
		"misdirected":                                 {"/once/", []script{misdirected}, 503, "", []int{1}},
		"may have run":                                {"/once/", []script{dropConnection, respondOK}, 502, "", []int{1, 0}},
		"rejected, then may have run":                 {"/once/", []script{respondRejected, dropConnection, respondOK}, 502, "", []int{1, 1, 0}},
		"no signature":                                {"/once/", []script{unsigned, respondOK}, 502, "", []int{1, 0}},
		"failure":                                     {"/once/", []script{respondServerError, respondOK}, 500, "oops", []int{1, 0}},
		"not found there":                             {"/twice/", []script{notFound, respondOK}, 404, "gone", []int{1, 0}},
		"503 without not-executed header":             {"/once/", []script{signed503, respondOK}, 502, "", []int{1, 0}},
		"repeatable: dropped, fine":                   {"/twice/", []script{dropConnection, respondOK}, 200, "fine", []int{1, 1}},
		"repeatable: failure, fine":                   {"/twice/", []script{respondServerError, respondOK}, 200, "fine", []int{1, 1}},
		"repeatable: failures":                        {"/twice/", []script{respondServerError, respondServerError, respondOK}, 500, "oops", []int{1, 1, 0}},
		"repeatable: failure, dropped":                {"/twice/", []script{respondServerError, dropConnection, respondOK}, 500, "oops", []int{1, 1, 0}},
		"repeatable: drops":                           {"/twice/", []script{dropConnection, dropConnection, respondOK}, 502, "", []int{1, 1, 0}},
		"repeatable: dropped, rejected":               {"/twice/", []script{dropConnection, respondRejected, respondOK}, 200, "fine", []int{1, 1, 1}},
		"repeatable: dropped, none left":              {"/twice/", []script{dropConnection}, 502, "", []int{1}},
		"repeatable: 503 without not-executed header": {"/twice/", []script{signed503, unsigned}, 502, "", []int{1, 1}},
		"stream: failure":                             {"/stream/", []script{respondServerError, respondOK}, 500, "oops", []int{1, 0}},
		"resumable: failure, then fine":               {"/resume/", []script{respondServerError, respondOK}, 200, "fine", []int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			var all []*fakeInstance
			for i, script := range c.scripts {
				id := "i-" + strconv.Itoa(i)
				if script == nil {
					all = append(all, newUnreachableInstance(t, id))
				} else {
					all = append(all, newFakeInstance(t, id, script))
				}
			}
			f := newTestFront(t, nil, all...)
			response, body := f.exchange(t, requestText("POST", c.path, "Content-Length: 2")+"hi")
			assert.Equal(t, response.StatusCode, c.status, body)
			checkResponse(t, response, body, c.body)
			var got []int
			for _, s := range all {
				got = append(got, len(s.requests()))
			}
			assert.DeepEqual(t, got, c.got)
			assert.Equal(t, len(f.outcomes), len(f.picks), "each pick must be reported done exactly once")
		})
	}
}

// checkResponse checks that the body and the signature are the instance's, or, if want is empty, that the response has no
// signature and, if its status is 503, a valid Retry-After.
func checkResponse(t *testing.T, response *http.Response, body, want string) {
	t.Helper()
	signature := response.Header.Get(protocol.HeaderResponseSignature)
	if want != "" {
		assert.Equal(t, body, want)
		assert.Equal(t, signature, testSignature)
		return
	}
	assert.Equal(t, signature, "")
	if response.StatusCode == http.StatusServiceUnavailable {
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 0.05 && seconds <= 1)
	}
}

func TestRetryAfterOfTheInstanceIsForwarded(t *testing.T) {
	f := newTestFront(t, nil, newFakeInstance(t, "i-1", respondRejected))
	response, _ := f.exchange(t, requestText("GET", "/once/"))
	assert.Equal(t, response.Header.Get("Retry-After"), "0.300")
}

func TestRetryBudget(t *testing.T) {
	for _, c := range []struct {
		path    string
		first   func(c net.Conn, r *receivedRequest) bool
		allowed bool
		status  int
	}{
		{"/once/", respondRejected, true, 200}, {"/once/", respondRejected, false, 503},
		{"/twice/", dropConnection, true, 200}, {"/twice/", dropConnection, false, 502},
	} {
		first, second := newFakeInstance(t, "i-1", c.first), newFakeInstance(t, "i-2", respondOK)
		f := newTestFront(t, nil, first, second)
		f.retriesDenied = !c.allowed
		response, _ := f.exchange(t, requestText("GET", c.path))
		assert.Equal(t, response.StatusCode, c.status)
		assert.Equal(t, f.retries, 1)
		assert.Equal(t, len(second.requests()) == 1, c.allowed)
	}
}

func TestUndeliveredAttemptsNeedNoRetryBudget(t *testing.T) {
	f := newTestFront(t, nil, newUnreachableInstance(t, "i-1"), newFakeInstance(t, "i-2", respondOK))
	f.retriesDenied = true
	response, _ := f.exchange(t, requestText("GET", "/once/"))
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, f.retries, 0)
}

func TestOutcomesForTheSelection(t *testing.T) {
	misdirected := func(c net.Conn, r *receivedRequest) bool { return reply(c, r, 421, "") }
	f := newTestFront(t, nil, newUnreachableInstance(t, "i-1"), newFakeInstance(t, "i-2", respondRejected), newFakeInstance(t, "i-3", misdirected),
		newFakeInstance(t, "i-4", dropConnection), newFakeInstance(t, "i-5", respondOK))
	response, _ := f.exchange(t, requestText("GET", "/twice/"))
	assert.Equal(t, response.StatusCode, 200)
	waitFor(t, "five outcomes", func() bool { f.mutex.Lock(); defer f.mutex.Unlock(); return len(f.outcomes) == 5 })
	var results []selection.Result
	for _, outcome := range f.outcomes {
		results = append(results, outcome.Result)
	}
	assert.DeepEqual(t, results, []selection.Result{selection.Unreachable, selection.Rejected, selection.WrongInstance,
		selection.Failed, selection.Succeeded})
}

// TestTimeouts checks the deadline that applies, and the deadline sent to the instance, when the instance never responds.
func TestTimeouts(t *testing.T) {
	silent := func(c net.Conn, r *receivedRequest) bool { time.Sleep(1500 * time.Millisecond); return false }
	for name, c := range map[string]struct {
		timeout  float64
		deadline string
		left     int // maximum deadline in milliseconds that may be sent to the instance
	}{
		"route's":                          {150, "5000", 150},
		"client's":                         {2000, "150", 140},
		"route's, no client deadline":      {150, "", 150},
		"route's, invalid client deadline": {150, "x", 150},
	} {
		t.Run(name, func(t *testing.T) {
			instance := newFakeInstance(t, "i-1", silent)
			f := newTestFront(t, func(configuration *document.Configuration, _ *Dependencies, _ *Options) {
				for i := range configuration.Routes {
					configuration.Routes[i].TimeoutMs = c.timeout
				}
			}, instance, newFakeInstance(t, "i-2", respondOK))
			began := time.Now()
			response, body := f.exchange(t, requestText("POST", "/twice/", "X-Pewterrudder-Deadline-Ms: "+c.deadline, "Content-Length: 2")+"hi")
			took := time.Since(began)
			assert.Equal(t, response.StatusCode, 504, body)
			assert.Assert(t, took >= time.Duration(c.left)*time.Millisecond && took < time.Second, "%v", took)
			sentDeadline, err := strconv.Atoi(instance.requests()[0].Header.Get(protocol.HeaderDeadlineMs))
			assert.NilError(t, err)
			assert.Assert(t, sentDeadline <= c.left && sentDeadline > 50, "%d", sentDeadline)
		})
	}
}

// TestNoAttemptAtTheLastMoment checks that no further attempt is made when an instance fails just before the deadline.
func TestNoAttemptAtTheLastMoment(t *testing.T) {
	second := newFakeInstance(t, "i-2", respondOK)
	f := newTestFront(t, nil, newFakeInstance(t, "i-1", func(c net.Conn, r *receivedRequest) bool {
		ms, _ := strconv.Atoi(r.Header.Get(protocol.HeaderDeadlineMs))
		time.Sleep(time.Until(r.receivedAt.Add(time.Duration(ms-3) * time.Millisecond)))
		return respondServerError(c, r)
	}), second)
	response, _ := f.exchange(t, requestText("GET", "/twice/", "X-Pewterrudder-Deadline-Ms: 150"))
	assert.Assert(t, response.StatusCode >= 500)
	assert.Equal(t, len(second.requests()), 0)
}

func TestPassedDeadlineIsNotExecuted(t *testing.T) {
	instance := newFakeInstance(t, "i-1", respondOK)
	f := newTestFront(t, nil, instance)
	response, _ := f.exchange(t, requestText("GET", "/once/", "X-Pewterrudder-Deadline-Ms: 0"))
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, len(instance.requests()), 0)
}

func TestConnectionLimitIsPassed(t *testing.T) {
	release := make(chan struct{})
	instance := newFakeInstance(t, "i-1", func(c net.Conn, r *receivedRequest) bool {
		<-release
		return respondOK(c, r)
	})
	f := newTestFront(t, func(_ *document.Configuration, d *Dependencies, _ *Options) {
		d.ConnectionLimit = func(b *routing.Backend) int { return b.MaxConnections / 10 }
	}, instance)
	waiting := f.dial(t)
	waiting.send(requestText("GET", "/once/"))
	waitFor(t, "the first request", func() bool { return len(instance.requests()) == 1 })
	response, _ := f.exchange(t, requestText("GET", "/once/"))
	assert.Equal(t, response.StatusCode, 503)
	close(release)
	response, _, _ = waiting.readResponse()
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, f.deps.Pool.Stats().Open, 1)
}

func TestFigures(t *testing.T) {
	f := newTestFront(t, nil, newFakeInstance(t, "i-1", respondRejected), newFakeInstance(t, "i-2", respondOK))
	f.exchange(t, requestText("GET", "/once/"))
	f.exchange(t, requestText("GET", "/no/"))
	stats := f.server.Stats()
	assert.Equal(t, stats.Succeeded, uint64(1))
	assert.Equal(t, stats.Rejected, uint64(1))
	assert.Equal(t, stats.ClientErrors, uint64(1))
	assert.Equal(t, stats.Codes[1001], uint64(1))
	_ = attempt.Rejected
}
