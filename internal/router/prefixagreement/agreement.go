// Package prefixagreement lets the routers agree on the set of common prompt prefixes. Each router counts the prefixes
// of its requests and reports them to the coordinator, which proposes the next set to the replicated configuration
// register. All of this happens in the background; no request waits for it.
package prefixagreement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/configstore"
)

// Lease determines the coordinator. The result of Coordinator may be out of date: a router that receives a report
// verifies with IsCoordinator that it is the coordinator.
type Lease interface {
	Coordinator(ctx context.Context) (address string, err error)
	IsCoordinator() bool
}

// Register changes the replicated state.
type Register interface {
	Propose(ctx context.Context, change func(configstore.State) (configstore.State, error)) (configstore.State, error)
}

// Caller sends a request to the router at an address and returns its response.
type Caller interface {
	Call(ctx context.Context, address string, request []byte) ([]byte, error)
}

// Options configures an Agreement. All fields are required.
type Options struct {
	Router   string // this router's name
	Lease    Lease
	Register Register
	Caller   Caller
	Log      logrus.FieldLogger
	// Quotas returns the tenants' current quotas.
	Quotas func() commonprefix.Quotas
	// Assignments returns this router's view of the backends' instances and places.
	Assignments func() []commonprefix.Assignment
	// OnAdopt is called with each new set, in order of versions, while the lock of the Agreement is held.
	OnAdopt func(*commonprefix.Set)
}

// Agreement is a router's participant in the agreement. It is safe for concurrent use.
type Agreement struct {
	options Options
	started time.Time

	mutex        sync.Mutex
	set          *commonprefix.Set
	counter      *commonprefix.Counter // nil until the fleet has a seed
	version      commonprefix.ReportVersion
	merger       *commonprefix.Merger
	placer       *commonprefix.Placer
	lastProposed time.Duration // time of this router's last proposal
}

// New returns an Agreement whose set is empty until Adopt is called.
func New(options Options) *Agreement {
	started := time.Now()
	return &Agreement{
		options:      options,
		started:      started,
		set:          &commonprefix.Set{},
		version:      commonprefix.ReportVersion{Incarnation: uint64(started.UnixNano())},
		merger:       commonprefix.NewMerger(),
		placer:       commonprefix.NewPlacer(),
		lastProposed: -minProposeInterval,
	}
}

// Count counts the prefix of a request. It is called for the first attempt of a request only.
func (a *Agreement) Count(request *commonprefix.Request) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.counter != nil {
		a.counter.Count(request)
	}
}

// Set returns the set that this router uses.
func (a *Agreement) Set() *commonprefix.Set {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.set
}

// Adopt replaces this router's set with the encoded set of a state that the register has chosen. It ignores a set that
// is not newer than the current one.
func (a *Agreement) Adopt(encoded []byte) {
	set, err := commonprefix.Decode(encoded)
	if err != nil {
		a.options.Log.WithError(err).Error("cannot decode the agreed common prefixes")
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if set.Version <= a.set.Version {
		return
	}
	a.set = set
	if a.counter == nil {
		a.counter = commonprefix.NewCounter(set.Seed, a.options.Quotas())
	}
	a.options.OnAdopt(set)
	a.options.Log.WithField("version", set.Version).WithField("prefixes", len(set.Prefixes)).Info("common prefixes in force")
}

// SetQuotas sets the tenants' quotas.
func (a *Agreement) SetQuotas(quotas commonprefix.Quotas) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.counter != nil {
		a.counter.SetQuotas(quotas)
	}
}

// now returns the time since the start by the monotonic clock.
func (a *Agreement) now() time.Duration { return time.Since(a.started) }

// newSeed returns a random seed for a fleet, which is never zero.
func newSeed() uint64 { return max(1, rand.Uint64()) }
