package command

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/settings"
)

// Exit statuses of the process. README.md lists them.
const (
	exitOK      = 0
	exitFailure = 1 // a file or the settings are invalid, or the router failed
	exitUsage   = 2 // the command line is invalid
	exitRefused = 3 // the fleet refused the change, and a retry would be refused too
	exitStale   = 4 // the current revision is not the base of the change
	exitUnclear = 5 // no router gave a clear answer; the change may or may not take effect
)

// usageError is an error in the command line.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }
func (e *usageError) Unwrap() error { return e.cause }

// report prints an error, if there is one, and returns the exit status for it.
func report(out io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	printError(out, err)
	return statusOf(err)
}

// printError prints an error. The faults of a settings file are printed one per line.
func printError(out io.Writer, err error) {
	var invalid *settings.ValidationError
	if !errors.As(err, &invalid) {
		fmt.Fprintln(out, "pewterrudder:", err)
		return
	}
	for _, fault := range invalid.Faults {
		fmt.Fprintln(out, "fault:", fault)
	}
}

// statusOf returns the exit status for an error.
func statusOf(err error) int {
	var usage *usageError
	var refused *refusedError
	var unclear *unclearError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused) && refused.Status == http.StatusPreconditionFailed:
		return exitStale
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &unclear):
		return exitUnclear
	default:
		return exitFailure
	}
}
