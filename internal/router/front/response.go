package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/selection"
)

const (
	// minRetryAfter and retryAfterJitter determine the Retry-After that the router sends if neither the instance nor the
	// quota gave one. The jitter keeps clients that were refused at the same time from retrying at the same time.
	minRetryAfter    = 50 * time.Millisecond
	retryAfterJitter = 150 * time.Millisecond
	// errorWriteTimeout bounds the writing of an error response that the router itself generates.
	errorWriteTimeout = 2 * time.Second
	// writeGrace is how long after the deadline the rest of a response may still be written.
	writeGrace = 200 * time.Millisecond
)

// forwardResponse forwards a response that is not an event stream. A buffered 5xx response to a repeatable request is
// kept as lastFailure instead, so that another attempt can be made. It reports whether the client got its response.
func (c *call) forwardResponse(pick Pick, response *attempt.Response) bool {
	now := time.Now()
	pick.FirstByte(now)
	failed := response.Status >= http.StatusInternalServerError
	if failed {
		pick.Done(now, selection.Outcome{Result: selection.Failed})
		if response.Buffered && c.route.Repeatable() {
			c.lastFailure = response
			return false
		}
	}
	c.writeResponse(response)
	if !failed {
		pick.Done(time.Now(), selection.Outcome{Result: selection.Succeeded})
	}
	return true
}

// writeResponse writes an instance's response that is not an event stream. A status that guarantees that the request
// was not executed is replaced by an error, since the request may have been executed.
func (c *call) writeResponse(response *attempt.Response) {
	if guaranteesNotExecuted(response.Status) { // but the response does not state that the request was not executed
		c.respondError(resultcode.New(resultcode.AttemptFailed, "the instance answered %d", response.Status))
		return
	}
	c.copyHeader(response)
	if response.Buffered {
		if hasBody(c.incoming.Method, response.Status) {
			c.writer.Header()["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
		}
		c.writeStatus(response.Status)
		c.writer.Write(response.Body)
		return
	}
	if length := response.Length(); length >= 0 {
		c.writer.Header()["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	c.writeStatus(response.Status)
	for {
		part, err := response.Next()
		if _, writeErr := c.writer.Write(part); writeErr != nil {
			panic(http.ErrAbortHandler)
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			c.server.counters.abortedResponses.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
}

// hasBody reports whether a response to the method with the status may have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// guaranteesNotExecuted reports whether a status guarantees to the client that the request has not been executed and
// never will be.
func guaranteesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHeader copies the header of the instance's response to the client's response.
func (c *call) copyHeader(response *attempt.Response) {
	header := c.writer.Header()
	values := make([]string, len(response.Fields))
	for i, field := range response.Fields {
		values[i] = field.Value
		if earlier := header[field.Name]; earlier != nil {
			header[field.Name] = append(earlier, field.Value)
		} else {
			header[field.Name] = values[i : i+1 : i+1]
		}
	}
	for _, name := range [...]string{"Content-Type", "Date"} { // nil keeps net/http from adding its own
		if _, found := header[name]; !found {
			header[name] = nil
		}
	}
}

func (c *call) writeStatus(status int) {
	c.headerSent = true
	c.server.counters.countStatus(status)
	c.writer.WriteHeader(status)
}

// respondWithFailure ends a request that no instance answered successfully: it aborts a response that has begun, or
// sends the last failure of an instance or, if there is none, an error.
func (c *call) respondWithFailure() {
	if c.headerSent {
		c.server.counters.abortedResponses.Add(1)
		panic(http.ErrAbortHandler)
	}
	if c.lastFailure != nil {
		c.writeResponse(c.lastFailure)
		return
	}
	c.respondError(c.failureReason())
}

// failureReason returns the result code for a request that got no response from an instance.
func (c *call) failureReason() *resultcode.Error {
	deadlinePassed := !time.Now().Before(c.request.Deadline)
	switch {
	case c.possibleRuns > 0 && deadlinePassed:
		return resultcode.New(resultcode.TimeoutExceeded, "")
	case c.possibleRuns > 0:
		return resultcode.New(resultcode.AttemptFailed, "")
	case deadlinePassed:
		return resultcode.New(resultcode.DeadlineBeforeRun, "")
	case c.budgetExhausted:
		return resultcode.New(resultcode.RetryBudgetExhausted, "")
	case c.rejections > 0:
		return resultcode.New(resultcode.InstanceRejected, "")
	case c.attempts > 0:
		return resultcode.New(resultcode.NeverSent, "")
	}
	return resultcode.New(resultcode.NoInstance, "")
}

// respondError sends an error response with a result code. Statuses 429 and 503 get a Retry-After header.
func (c *call) respondError(failure *resultcode.Error) {
	status := failure.Status()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		c.writer.Header().Set(protocol.HeaderRetryAfter, formatSeconds(c.retryAfter()))
	}
	if c.request.ID != "" {
		c.writer.Header().Set(protocol.HeaderRequestID, c.request.ID)
	}
	c.headerSent = true
	c.connection.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
	c.server.counters.countStatus(status)
	c.server.counters.countCode(failure.Code)
	resultcode.Write(c.writer, failure)
}

// retryAfter returns the Retry-After given by the instance or the quota, or else a random one.
func (c *call) retryAfter() time.Duration {
	if c.retryAfterHint > 0 {
		return c.retryAfterHint
	}
	return minRetryAfter + time.Duration(c.server.dependencies.Random()*float64(retryAfterJitter))
}

// formatSeconds formats a duration in seconds with three decimal places.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
