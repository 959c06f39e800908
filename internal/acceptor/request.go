package acceptor

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/flow"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
)

// parseRequest validates a request and reads its body. doubleFramed says whether the header frames the body twice. A
// request that fails here is never forwarded to an app node.
func (a *Acceptor) parseRequest(w http.ResponseWriter, r *http.Request, doubleFramed bool) (*reducer.Call, error) {
	terms := a.classLimits.Load()
	bad := func(text string) (*reducer.Call, error) { return nil, &requestError{http.StatusBadRequest, text} }
	// net/http prefers Transfer-Encoding to Content-Length and drops the latter (HTTP/1.0: the reverse), so r does not show
	// whether a body was framed both ways, which may hide another request behind its end. The headerScanner of the
	// connection has seen it (framing.go).
	switch {
	case doubleFramed:
		return bad("a body is framed by its Content-Length or its Transfer-Encoding, not both")
	case len(r.TransferEncoding) > 0 && !r.ProtoAtLeast(1, 1):
		return nil, &requestError{http.StatusLengthRequired, "a body needs a Content-Length, or HTTP/1.1"}
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return bad("X-Request-Id is missing")
	}
	class, ok := terms.Classes[r.Header.Get("X-Class")]
	if !ok {
		return bad("X-Class is missing or unknown")
	}
	timeout, ok := parseDuration(r.Header.Get("X-Deadline"))
	if !ok {
		return bad("X-Deadline is missing or malformed")
	}
	tenant, ok := a.tenants.Find(r.Header.Get("X-Tenant"))
	if !ok {
		tenant.ID = -1
	}
	callID := a.lastCallID.Add(1)
	out, err := a.readBody(w, r, callID)
	if err != nil {
		return nil, err
	}
	hint := r.Header.Get("X-Cost-Hint")
	cost, ok := parseDuration(hint)
	if !ok {
		cost, _ = parseDuration(hint + "m") // a number without a unit is in ms; a malformed hint counts as none
	}
	out.Trailer = r.Trailer
	return &reducer.Call{ID: callID, ClientID: strings.Clone(id), Class: class, Tenant: tenant.ID, Quota: tenant.Quota, Retry: r.Header.Get("X-Retry") == "1",
		Key: r.URL.Query().Get("key"), Work: float64(cost) / float64(time.Millisecond), Message: out, StreamedBody: out.Upload != nil,
		Deadline: a.now() + min(timeout, terms.Deadlines[class])}, nil // caps the timers of the call
}

// readBody reads a body of up to flow.MaxBufferedBytes bytes within the connection's read deadline, and returns a
// longer one as an upload that is read while it is forwarded. A body whose Content-Length is over the limit is rejected
// unread.
func (a *Acceptor) readBody(w http.ResponseWriter, r *http.Request, callID uint64) (*message.Call, error) {
	limit := max(a.bodyLimits.MaxUploadBytes, flow.MaxBufferedBytes)
	switch {
	case r.ContentLength > limit:
		return nil, &requestError{http.StatusRequestEntityTooLarge, "the body is over the limit"}
	case r.ContentLength == 0:
		return &message.Call{}, nil
	}
	control := http.NewResponseController(w)
	upload := func(body io.Reader) *message.Call {
		body = &connectedReader{Reader: body, conn: r.Context().Value(connKey{}).(*clientConn), remaining: r.ContentLength}
		return &message.Call{Upload: flow.NewUpload(body, r.ContentLength, limit, min(a.bodyLimits.ClientIdleTimeout, maxUploadLag), time.Now,
			func(t time.Time) { control.SetReadDeadline(t) }, func(last time.Time) {
				a.post(reducer.Uploaded{Call: callID, Last: a.now() - time.Since(last)})
			})}
	}
	if r.ContentLength > flow.MaxBufferedBytes {
		return upload(r.Body), nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, flow.MaxBufferedBytes+1)) // grows with the data, whatever length is stated
	switch {
	case err != nil:
		return nil, &requestError{http.StatusRequestTimeout, "the body is not as long as it should be"}
	case len(body) <= flow.MaxBufferedBytes:
		control.SetReadDeadline(time.Time{}) // or its expiry would look like a disconnect of the client
		return &message.Call{Body: body}, nil
	case a.bodyLimits.MaxUploadBytes <= flow.MaxBufferedBytes:
		return nil, &requestError{http.StatusRequestEntityTooLarge, "the body is over the limit"}
	}
	return upload(io.MultiReader(bytes.NewReader(body), r.Body)), nil // chunked, of unknown length
}

// parseDuration parses a number with its unit: m for milliseconds, u for microseconds. The number must be in [0, 1e10).
func parseDuration(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || !(v >= 0 && v < 1e10) { // NaN fails both comparisons
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}
