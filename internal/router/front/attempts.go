package front

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/selection"
)

// maxAttempts is the maximum number of attempts for one request, including those that reached no instance.
const maxAttempts = 5

// minTimeForRetry is the minimum time before the deadline for another attempt to be worthwhile.
const minTimeForRetry = 5 * time.Millisecond

// runAttempts makes attempts until one yields the response or no further one is allowed, and responds to the client.
func (c *call) runAttempts(ctx context.Context) {
	c.connection.SetWriteDeadline(c.request.Deadline.Add(writeGrace))
	if count := c.server.dependencies.CountRequest; count != nil {
		count(c.arrival, c.backend.Name)
	}
	for {
		pick, err := c.selectInstance()
		if err != nil {
			break
		}
		if c.attempt(ctx, pick) {
			return
		}
		if ctx.Err() != nil || !c.mayRetry() {
			break
		}
	}
	if ctx.Err() != nil {
		c.server.counters.clientDisconnects.Add(1)
		panic(http.ErrAbortHandler)
	}
	c.respondWithFailure()
}

// selectInstance selects an instance that has not been tried for this request.
func (c *call) selectInstance() (Pick, error) {
	c.selection.Now = time.Now()
	return c.server.dependencies.Select(c.selection)
}

// attempt makes one attempt on the picked instance and reports whether the client got its response.
func (c *call) attempt(ctx context.Context, pick Pick) bool {
	instance := pick.Instance()
	c.attempts++
	c.selection.Excluded = append(c.selection.Excluded, instance.ID)
	target := attempt.Target{ID: instance.ID, Address: instance.Address, MaxConnections: c.connectionLimit()}
	response, err := c.server.dependencies.Pool.RoundTrip(ctx, target, &c.request)
	if err != nil {
		c.recordFailure(pick, err)
		return false
	}
	defer response.Close()
	c.reached++
	c.possibleRuns++
	reportLoad(pick, response.Load)
	if response.Stream && isSuccess(response.Status) {
		return c.forwardStream(ctx, pick, response)
	}
	if c.headerSent { // a resumed stream can only continue with events
		pick.Done(time.Now(), selection.Outcome{Result: selection.Failed})
		return false
	}
	return c.forwardResponse(pick, response)
}

func (c *call) connectionLimit() int {
	if limit := c.server.dependencies.ConnectionLimit; limit != nil {
		return limit(c.backend)
	}
	return 0
}

// recordFailure records an attempt that got no response: in the counters, the log, the selector and the call.
func (c *call) recordFailure(pick Pick, err error) {
	now := time.Now()
	var failure *attempt.Error
	if !errors.As(err, &failure) {
		failure = &attempt.Error{Outcome: attempt.MayHaveRun, Cause: err}
	}
	c.server.counters.countAttempt(failure.Outcome)
	reportLoad(pick, failure.Load)
	switch failure.Outcome {
	case attempt.Rejected:
		c.reached++
		c.rejections++
		c.retryAfterHint = failure.RetryAfter
	case attempt.MayHaveRun:
		c.reached++
		c.possibleRuns++
	}
	pick.Done(now, selection.Outcome{Result: selectionResult(failure)})
	c.server.failureLogger.logFailure(now, pick.Instance().ID, failure)
}

// selectionResult translates a failed attempt into a result for the selector.
func selectionResult(failure *attempt.Error) selection.Result {
	switch {
	case errors.Is(failure.Cause, attempt.ErrAbandoned), errors.Is(failure.Cause, attempt.ErrDeadline):
		return selection.Abandoned
	case failure.Outcome == attempt.Rejected && failure.Status == http.StatusMisdirectedRequest:
		return selection.WrongInstance
	case failure.Outcome == attempt.Rejected, errors.Is(failure.Cause, attempt.ErrConnectionLimit):
		return selection.Rejected
	case failure.Outcome == attempt.NeverSent:
		return selection.Unreachable
	}
	return selection.Failed
}

// mayRetry reports whether another attempt is allowed. A request that may have run is retried only if its route allows
// that; a request that has reached an instance takes one retry from the fleet's retry budget.
func (c *call) mayRetry() bool {
	if c.unresumable || c.attempts >= maxAttempts || time.Until(c.request.Deadline) < minTimeForRetry {
		return false
	}
	if c.possibleRuns > 0 && (!c.route.Repeatable() || c.possibleRuns >= c.route.Retries) {
		return false
	}
	if c.reached == 0 {
		return true
	}
	if retry := c.server.dependencies.TakeRetry; retry != nil && !retry(time.Now(), c.backend.Name) {
		c.budgetExhausted = true
		return false
	}
	return true
}

// reportLoad passes an instance's load report to the selector. An empty or invalid report is ignored.
func reportLoad(pick Pick, value string) {
	if value == "" {
		return
	}
	if load, ok := selection.ParseLoad(value); ok {
		pick.ReportLoad(time.Now(), load)
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
