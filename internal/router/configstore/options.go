package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/disk"
)

// ErrOutcomeUnknown is returned when no quorum has answered in time. The proposed change may have been chosen, may be
// chosen later, or never.
var ErrOutcomeUnknown = errors.New("configstore: no quorum answered in time, the outcome is unknown")

// ErrClosed is returned by calls after Close.
var ErrClosed = errors.New("configstore: closed")

// Caller sends a request to the configuration store of the router at an address ("ip:port") and returns its response.
type Caller interface {
	Call(ctx context.Context, address string, request []byte) ([]byte, error)
}

// Options are the settings of a store.
type Options struct {
	// Node is the name of this process's machine.
	Node string
	// Self describes this process's acceptor; nil means none. Its address must be set, its ID is determined by Open. A
	// volatile acceptor keeps its record in memory and never reads Directory.
	Self *casregister.Acceptor
	// Directory is where the acceptor's record is stored.
	Directory string
	// Files is used instead of Directory if it is not nil.
	Files disk.FileSystem
	// Bootstrap must be true only at the first start of the whole fleet.
	Bootstrap bool
	// Seeds are the transport addresses of the seeds. At the first start of the fleet they form the initial
	// acceptor set, and must be the same on all routers; later they are only queried for the newest state.
	Seeds []string
	// Tolerate is the number of acceptors that may fail at the same time.
	Tolerate int
	Caller   Caller
	Log      logrus.FieldLogger
}

// Candidate is a machine that is or could become an acceptor, as membership reports it.
type Candidate struct {
	Acceptor  casregister.Acceptor
	Zone      string
	Reachable bool
	// Unlisted is true if membership has never listed the machine, so that it is known from the acceptor set only.
	Unlisted bool
	// SilentFor is how long nothing has been received from the machine.
	SilentFor time.Duration
}
