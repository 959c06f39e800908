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

// read checks a request, of which it is known whether its head frames its body twice, and reads its body. What fails here never goes to an app node.
func (a *Acceptor) read(w http.ResponseWriter, r *http.Request, twice bool) (*reducer.Call, error) {
	terms := a.terms.Load()
	bad := func(text string) (*reducer.Call, error) { return nil, &refused{http.StatusBadRequest, text} }
	// net/http takes Transfer-Encoding over a Content-Length and drops the latter (HTTP/1.0: the reverse), so a body
	// that was framed both ways cannot be told apart here, and may hide another request behind its end. What has come on the
	// connection tells (framing.go).
	switch {
	case twice:
		return bad("a body is framed by its Content-Length or its Transfer-Encoding, not both")
	case len(r.TransferEncoding) > 0 && !r.ProtoAtLeast(1, 1):
		return nil, &refused{http.StatusLengthRequired, "a body needs a Content-Length, or HTTP/1.1"}
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return bad("X-Request-Id is missing")
	}
	class, ok := terms.Classes[r.Header.Get("X-Class")]
	if !ok {
		return bad("X-Class is missing or unknown")
	}
	wait, ok := duration(r.Header.Get("X-Deadline"))
	if !ok {
		return bad("X-Deadline is missing or malformed")
	}
	tenant, ok := a.tenants.Find(r.Header.Get("X-Tenant"))
	if !ok {
		tenant.ID = -1
	}
	call := a.lastCall.Add(1)
	out, err := a.body(w, r, call)
	if err != nil {
		return nil, err
	}
	hint := r.Header.Get("X-Cost-Hint")
	work, ok := duration(hint)
	if !ok {
		work, _ = duration(hint + "m") // a bare figure is in ms; one that makes no sense is none
	}
	out.Trailer = r.Trailer
	return &reducer.Call{ID: call, ClientID: strings.Clone(id), Class: class, Tenant: tenant.ID, Quota: tenant.Quota, Retry: r.Header.Get("X-Retry") == "1",
		Key: r.URL.Query().Get("key"), Work: float64(work) / float64(time.Millisecond), Message: out, OneShot: out.Upload != nil,
		Deadline: a.now() + min(wait, terms.Deadlines[class])}, nil // nobody waits longer, and no timer should
}

// body reads a body within the connection's read deadline, or leaves one that is too large to be held to whoever sends
// it on. One that is too long by its own account is turned away unread.
func (a *Acceptor) body(w http.ResponseWriter, r *http.Request, call uint64) (*message.Call, error) {
	most := max(a.bounds.Upload, flow.Hold)
	switch {
	case r.ContentLength > most:
		return nil, &refused{http.StatusRequestEntityTooLarge, "the body is over the limit"}
	case r.ContentLength == 0:
		return &message.Call{}, nil
	}
	control := http.NewResponseController(w)
	upload := func(body io.Reader) *message.Call {
		body = &staying{Reader: body, client: r.Context().Value(clientKey{}).(*client), left: r.ContentLength}
		return &message.Call{Upload: flow.NewUpload(body, r.ContentLength, most, min(a.bounds.ClientIdle, uploadPatience), time.Now,
			func(t time.Time) { control.SetReadDeadline(t) }, func(last time.Time) {
				a.post(reducer.Uploaded{Call: call, Last: a.now() - time.Since(last)})
			})}
	}
	if r.ContentLength > flow.Hold {
		return upload(r.Body), nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, flow.Hold+1)) // grows as it comes: a length is only said
	switch {
	case err != nil:
		return nil, &refused{http.StatusRequestTimeout, "the body is not as long as it should be"}
	case len(body) <= flow.Hold:
		control.SetReadDeadline(time.Time{}) // or its end would seem to be the client's leaving
		return &message.Call{Body: body}, nil
	case a.bounds.Upload <= flow.Hold:
		return nil, &refused{http.StatusRequestEntityTooLarge, "the body is over the limit"}
	}
	return upload(io.MultiReader(bytes.NewReader(body), r.Body)), nil // in chunks, of unknown length
}

// duration reads a number and its unit: m for milliseconds, u for microseconds.
func duration(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || !(v >= 0 && v < 1e10) { // NaN fails both
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}
