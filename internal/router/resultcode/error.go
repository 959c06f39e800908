// Package resultcode defines the numbered results that a router responds with when it does not forward the response of
// an instance. Each code has a name, an HTTP status and an explanation; docs/result-codes.md lists them.
package resultcode

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with a result code. Detail describes the specific case and is sent to the caller; the cause is not.
type Error struct {
	Code   Code
	Detail string
	cause  error
}

// New returns an error with a code and a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a code, a formatted detail and the error that caused it.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	wrapped := New(code, format, args...)
	wrapped.cause = cause
	return wrapped
}

// FromError returns the first error with a result code in err's chain, and whether there is one.
func FromError(err error) (*Error, bool) {
	var coded *Error
	if errors.As(err, &coded) && coded != nil {
		return coded, true
	}
	return nil, false
}

// Error returns name, number, detail and cause on one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%d)", e.Code, int(e.Code))
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status of the code.
func (e *Error) Status() int { return e.Code.Status() }
