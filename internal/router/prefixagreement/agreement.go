// Package prefixagreement runs the fleet's agreement on common prompt prefixes: each router counts its requests and
// reports to the coordinator, which proposes the next set to the configuration register. A request waits for none of it.
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

// Lease names the coordinator. What it names may be out of date; its owner finds out by itself.
type Lease interface {
	Coordinator(ctx context.Context) (address string, err error)
	Holds() bool
}

// Register is the replicated state.
type Register interface {
	Propose(ctx context.Context, change func(configstore.State) (configstore.State, error)) (configstore.State, error)
}

// Caller sends a message to the router at an address and waits for its answer.
type Caller interface {
	Call(ctx context.Context, address string, request []byte) ([]byte, error)
}

// Options of an Agreement. All are needed.
type Options struct {
	Router   string // this router's name
	Lease    Lease
	Register Register
	Caller   Caller
	Log      logrus.FieldLogger
	// Quotas are the tenants' quotas in force.
	Quotas func() commonprefix.Quotas
	// Assignments are the instances of the backends and their places, as this router sees them.
	Assignments func() []commonprefix.Assignment
	// Adopted is called with each set that comes into force, in order.
	Adopted func(*commonprefix.Set)
}

// Agreement is one router's part. Its methods may be called from any goroutine.
type Agreement struct {
	options Options
	started time.Time

	mutex    sync.Mutex
	set      *commonprefix.Set
	counter  *commonprefix.Counter // nil until the fleet has a seed
	version  commonprefix.ReportVersion
	merger   *commonprefix.Merger
	placer   *commonprefix.Placer
	proposed time.Duration // when this router proposed last
}

// New makes a router's part. The set in force is empty until Adopt is called.
func New(options Options) *Agreement {
	started := time.Now()
	return &Agreement{
		options:  options,
		started:  started,
		set:      &commonprefix.Set{},
		version:  commonprefix.ReportVersion{Incarnation: uint64(started.UnixNano())},
		merger:   commonprefix.NewMerger(),
		placer:   commonprefix.NewPlacer(),
		proposed: -proposeEvery,
	}
}

// Count enters a request that is sent for the first time.
func (a *Agreement) Count(request *commonprefix.Request) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.counter != nil {
		a.counter.Count(request)
	}
}

// Set is the one in force here.
func (a *Agreement) Set() *commonprefix.Set {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.set
}

// Adopt puts the set of a chosen state in force. An older one than that in force changes nothing.
func (a *Agreement) Adopt(encoded []byte) {
	set, err := commonprefix.Decode(encoded)
	if err != nil {
		a.options.Log.WithError(err).Error("the agreed common prefixes cannot be read")
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
	a.options.Adopted(set)
	a.options.Log.WithField("version", set.Version).WithField("prefixes", len(set.Prefixes)).Info("common prefixes in force")
}

// SetQuotas takes over new quotas.
func (a *Agreement) SetQuotas(quotas commonprefix.Quotas) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.counter != nil {
		a.counter.SetQuotas(quotas)
	}
}

// now is the time since the start, by the monotonic clock.
func (a *Agreement) now() time.Duration { return time.Since(a.started) }

// newSeed draws the seed of a fleet, which is never zero.
func newSeed() uint64 { return max(1, rand.Uint64()) }
