package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/selection"
)

// forwardStream forwards the events of a response as they arrive and reports whether the client got all of them. If the
// stream breaks off, it returns false and has forwarded complete events only; the next attempt resumes after the last one.
func (c *call) forwardStream(ctx context.Context, pick Pick, response *attempt.Response) bool {
	sent := false
	part, err := response.Next()
	if len(part) > 0 || err == io.EOF {
		pick.FirstByte(time.Now())
		c.beginStream(response)
	}
	for {
		if len(part) > 0 {
			c.writeEvents(part, response.EndReceived())
			sent = true
		}
		if err != nil {
			break
		}
		part, err = response.Next()
	}
	if err == io.EOF {
		pick.Done(time.Now(), selection.Outcome{Result: selection.Succeeded})
		return true
	}
	c.recordBrokenStream(ctx, pick, response, sent)
	return false
}

// beginStream writes the status and header of the response, unless an earlier attempt already did.
func (c *call) beginStream(response *attempt.Response) {
	if c.headerSent {
		return
	}
	c.copyHeader(response)
	c.writeStatus(response.Status)
}

// flusher is implemented by net/http's response writers.
type flusher interface{ FlushError() error }

// writeEvents writes complete events and flushes them. If the end of the response has already been received, it does not
// flush, since ending the response flushes too.
func (c *call) writeEvents(events []byte, endReceived bool) {
	_, err := c.writer.Write(events)
	if err == nil && !endReceived {
		err = c.writer.(flusher).FlushError()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// recordBrokenStream records that a stream broke off. If events were sent, it sets the event id after which the next
// attempt resumes, or marks the call as unresumable if the id of the last event is unknown.
func (c *call) recordBrokenStream(ctx context.Context, pick Pick, response *attempt.Response, sent bool) {
	result := selection.Failed
	if ctx.Err() != nil || !time.Now().Before(c.request.Deadline) {
		result = selection.Abandoned
	}
	pick.Done(time.Now(), selection.Outcome{Result: result})
	c.server.counters.countAttempt(attempt.MayHaveRun)
	if !sent {
		return
	}
	if c.request.LastEventID = response.LastEventID(); c.request.LastEventID == "" {
		c.unresumable = true
	}
}
