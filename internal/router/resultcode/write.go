package resultcode

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// responseBody is the JSON body of an error response.
type responseBody struct {
	Error  string `json:"error"`
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// Write responds with the status of the error and a small JSON body. Other header fields that are already set are kept.
func Write(w http.ResponseWriter, err *Error) {
	body := Body(err)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(err.Status())
	_, _ = w.Write(body) // the status has been sent, so a failure cannot be reported to the caller
}

// Body returns the JSON body of the response to an error.
func Body(err *Error) []byte {
	body, encodeErr := json.Marshal(responseBody{Error: err.Code.String(), Code: err.Code, Detail: err.Detail})
	if encodeErr != nil {
		return []byte(`{"error":"internal"}`)
	}
	return body
}
