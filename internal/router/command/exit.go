package command

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/settings"
)

// The statuses with which the process ends. README.md lists them.
const (
	exitDone    = 0
	exitFault   = 1 // a file or the settings have a fault, or the router failed
	exitUsage   = 2 // the command line has a fault
	exitRefused = 3 // the fleet refused the order for good
	exitStale   = 4 // another revision than the named base is current
	exitUnclear = 5 // no router gave a clear answer; the order may or may not take effect
)

// usageError is a fault of the command line.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }
func (e *usageError) Unwrap() error { return e.cause }

// report prints an error and returns the status for it.
func report(out io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	printError(out, err)
	return statusOf(err)
}

// printError prints an error, and the faults of settings one a line.
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

// statusOf is the status of the process for an error.
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
		return exitFault
	}
}
