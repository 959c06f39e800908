package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
)

// call is a request to the control interface.
type call struct {
	method string
	path   string
	// base is the generation that a change is based on; nil for calls that change nothing or need no base.
	base *int64
	body []byte
}

// timeout returns the time limit of one attempt, which grows with the size of the body.
func (c *call) timeout() time.Duration {
	return callTimeout + time.Duration(len(c.body))*callTimeoutPerMegabyte/(1<<20)
}

// refusedError is the error of a call that a router refused. Every other router would refuse it too.
type refusedError struct {
	Status int
	Code   resultcode.Code
	Name   string
	Detail string
}

// Error returns the result code with its name, the status and the detail.
func (e *refusedError) Error() string {
	return "refused: " + describeResponse(e.Status, e.Code, e.Name, e.Detail)
}

// unclearError is the error of a call to one router that failed without a definitive response. Another router may give
// one.
type unclearError struct {
	Address string
	Problem string
}

func (e *unclearError) Error() string { return "no clear answer: " + e.Address + ": " + e.Problem }

// errorBody is the body of a response with a result code.
type errorBody struct {
	Error  string          `json:"error"`
	Code   resultcode.Code `json:"code"`
	Detail string          `json:"detail"`
}

// callOne makes one attempt of a call to one router. Its error is a *refusedError or an *unclearError, or a *usageError
// for an address that gives no valid URL.
func (f *fleetClient) callOne(address string, c call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout())
	defer cancel()
	request, err := newRequest(ctx, address, c)
	if err != nil {
		return nil, &usageError{err}
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, &unclearError{Address: address, Problem: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &unclearError{Address: address, Problem: errors.Wrap(err, "reading the response").Error()}
	}
	return body, classifyResponse(address, response.StatusCode, body)
}

// newRequest returns the HTTP request of a call.
func newRequest(ctx context.Context, address string, c call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	if c.base != nil {
		request.Header.Set(protocol.HeaderBaseRevision, strconv.FormatInt(*c.base, 10))
		request.Header.Set("Content-Type", protocol.ContentTypeJSON)
	}
	return request, nil
}

// classifyResponse returns nil for a successful response, else a *refusedError or an *unclearError.
func classifyResponse(address string, status int, body []byte) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	var reason errorBody
	_ = json.Unmarshal(body, &reason) // if the body has another form, only the status is reported
	if isDefinitive(status) {
		return &refusedError{Status: status, Code: reason.Code, Name: reason.Error, Detail: reason.Detail}
	}
	return &unclearError{Address: address, Problem: describeResponse(status, reason.Code, reason.Error, reason.Detail)}
}

// isDefinitive reports whether another router would respond with the same status.
func isDefinitive(status int) bool {
	if status == http.StatusRequestTimeout || status == http.StatusTooManyRequests {
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// describeResponse returns a text with result code, name, status and detail of a response.
func describeResponse(status int, code resultcode.Code, name, detail string) string {
	text := "status " + strconv.Itoa(status)
	if name != "" {
		text = strconv.Itoa(int(code)) + " " + name + " (" + text + ")"
	}
	if detail != "" {
		text += ": " + detail
	}
	return text
}
