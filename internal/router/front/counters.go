package front

import (
	"io"
	stdlog "log"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/resultcode"
)

// statusClasses is the length of an array indexed by status class (status / 100); index 0 is unused.
const statusClasses = 6

// counters holds the server's counters.
type counters struct {
	statuses          [statusClasses]atomic.Uint64
	outcomes          [attempt.Answered + 1]atomic.Uint64
	abortedResponses  atomic.Uint64
	clientDisconnects atomic.Uint64

	mutex sync.Mutex
	codes map[resultcode.Code]uint64
}

func (c *counters) countStatus(status int) {
	if class := status / 100; class < statusClasses {
		c.statuses[class].Add(1)
	}
}

// countAttempt counts an attempt without a complete response.
func (c *counters) countAttempt(outcome attempt.Outcome) { c.outcomes[outcome].Add(1) }

func (c *counters) countCode(code resultcode.Code) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.codes == nil {
		c.codes = map[resultcode.Code]uint64{}
	}
	c.codes[code]++
}

// Stats holds counts since the start of the server; Connections and BodyBytesHeld are current values.
type Stats struct {
	Succeeded         uint64                     // 2xx responses
	Redirected        uint64                     // 3xx responses
	ClientErrors      uint64                     // 4xx responses
	ServerErrors      uint64                     // 5xx responses
	AbortedResponses  uint64                     // responses aborted before their end
	ClientDisconnects uint64                     // requests whose client disconnected
	NeverSent         uint64                     // attempts that sent nothing to an instance
	Rejected          uint64                     // attempts that the instance rejected without executing the request
	MayHaveRun        uint64                     // attempts without a complete response whose request may have been executed
	Codes             map[resultcode.Code]uint64 // error responses by result code
	Connections       int                        // open client connections
	BodyBytesHeld     int64                      // memory reserved for request bodies
}

// Stats returns a snapshot of the counters.
func (s *Server) Stats() Stats {
	c := &s.counters
	stats := Stats{
		Succeeded:         c.statuses[2].Load(),
		Redirected:        c.statuses[3].Load(),
		ClientErrors:      c.statuses[4].Load(),
		ServerErrors:      c.statuses[5].Load(),
		AbortedResponses:  c.abortedResponses.Load(),
		ClientDisconnects: c.clientDisconnects.Load(),
		NeverSent:         c.outcomes[attempt.NeverSent].Load(),
		Rejected:          c.outcomes[attempt.Rejected].Load(),
		MayHaveRun:        c.outcomes[attempt.MayHaveRun].Load(),
		Connections:       s.connections.count(),
		BodyBytesHeld:     s.bodyMemory.Load(),
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stats.Codes = maps.Clone(c.codes)
	return stats
}

// failureLogInterval is the minimum time between two log lines about failed attempts.
const failureLogInterval = 5 * time.Second

// failureLogger logs failed attempts, rate-limited: one line covers all failures since the previous line and names the
// most recent one.
type failureLogger struct {
	log     logrus.FieldLogger
	mutex   sync.Mutex
	nextLog time.Time
	count   int
}

func (r *failureLogger) logFailure(now time.Time, instance string, failure *attempt.Error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count++
	if now.Before(r.nextLog) {
		return
	}
	r.log.WithError(failure).WithFields(logrus.Fields{"instance": instance, "failures": r.count}).Warn("attempts failed")
	r.nextLog, r.count = now.Add(failureLogInterval), 0
}

// discardLogger drops net/http's own log lines, which would be one for each faulty client connection.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
