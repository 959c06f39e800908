// Package selection picks the model instance for each request of a router: uniformly among the K least loaded ones. It
// keeps, for each instance, the load that it last told, the requests that this router has under way there, an estimate
// of the prompt prefixes that it keeps, and this router's own evidence of its failures. A polling loop refreshes the
// load figures of instances whose answers do not tell them.
package selection

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/balance"
	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/protocol"
)

// ErrNoInstance says that a backend has no instance that a request may be sent to.
var ErrNoInstance = errors.New("no instance can take the request")

// DefaultWindow is D, the period at which load figures are refreshed.
const DefaultWindow = time.Second

// PollFunc asks an instance for its report.
type PollFunc func(ctx context.Context, instance *instances.Instance) (*protocol.Report, error)

// Options of a Selector. Only Zone is needed; the zero values of the others stand for the defaults.
type Options struct {
	Zone     string
	Log      logrus.FieldLogger
	Window   time.Duration    // D
	Widths   balance.Widths   // ths and thl
	Weights  *balance.Weights // of the load figure
	NoHomes  bool             // no instance is presumed to keep shared blocks
	Mixed    bool             // streams and prompts share all instances alike: there is no stream set
	Detector Detector         // of bursts; nil: the one of internal/burst
	Poll     PollFunc         // nil: no polling
	// Assigned tells whether this router polls an instance for all routers; nil: each router polls for itself.
	Assigned func(instance *instances.Instance) bool
	// Share hands on the report of an assigned instance.
	Share     func(id string, report *protocol.Report)
	Sightings *SightingOptions // nil: routers don't tell each other where shared blocks are sent
	Routers   func() int       // routers that share the instances, this one included
	Random    func() uint64    // nil: seeded from the system
	Clock     func() time.Time // of the polling loop; nil: time.Now
}

// BackendConfig is what the operator's configuration says of a backend.
type BackendConfig struct {
	Slots      int
	KVCapacity int64
	HasEngine  bool
	MaxConns   int
}

// Request is what a pick depends on.
type Request struct {
	Tenant       string // empty: none
	Backend      string
	Model        string
	PromptTokens int
	OutputTokens int
	Bytes        int // of the body, as far as known
	Prefix       []prefixcache.Block
	Excluded     []string // ids of instances that this request was tried at
	Now          time.Time
}

// Selector picks instances. Its methods may be called from any goroutine.
type Selector struct {
	options Options
	weights balance.Weights
	random  func() uint64
	created time.Time // rounds of polls are counted from here

	mutex       sync.Mutex
	started     time.Time // of the first arrival; the detector's origin of time
	arrivedAt   time.Duration
	evaluatedAt time.Duration
	isBurst     bool
	backends    map[string]*backend
	byID        map[string]*target
	byHash      map[uint64]*target
	engines     int       // instances that give reports
	fleetUse    *fleetUse // nil: routers don't tell each other
	snapshot    *instances.Snapshot
	configs     map[string]BackendConfig
	common      *commonprefix.Set // nil: none agreed
	commonUse   map[string]*CommonUse
	scratch     scratch
}

// New makes a selector that knows no instances yet.
func New(options Options) *Selector {
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	if options.Widths == (balance.Widths{}) {
		options.Widths = balance.DefaultWidths
	}
	if options.Routers == nil {
		options.Routers = func() int { return 1 }
	}
	if options.Detector == nil {
		options.Detector = newDetector()
	}
	if options.Clock == nil {
		options.Clock = time.Now
	}
	weights := balance.DefaultWeights
	if options.Weights != nil {
		weights = *options.Weights
	}
	random := options.Random
	if random == nil {
		random = rand.NewPCG(rand.Uint64(), rand.Uint64()).Uint64
	}
	return &Selector{
		options:   options,
		weights:   weights,
		random:    random,
		created:   options.Clock(),
		backends:  map[string]*backend{},
		byID:      map[string]*target{},
		byHash:    map[uint64]*target{},
		fleetUse:  newFleetUse(options.Sightings),
		snapshot:  &instances.Snapshot{},
		configs:   map[string]BackendConfig{},
		commonUse: map[string]*CommonUse{},
	}
}

// Select picks an instance for a request. The caller ends the pick with Done, exactly once.
func (s *Selector) Select(request Request) (*Pick, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noteArrival(&request)
	from := s.backends[request.Backend]
	if from == nil {
		return nil, ErrNoInstance
	}
	from.requestedAt = request.Now
	from.popular.note(&request)
	chosen, missing := s.choose(from, &request)
	if chosen == nil {
		return nil, ErrNoInstance
	}
	s.noteCommon(from, chosen, &request)
	return s.start(chosen, &request, missing), nil
}

// noteArrival feeds the detector. A further attempt of a request is no arrival.
func (s *Selector) noteArrival(request *Request) {
	if len(request.Excluded) > 0 {
		return
	}
	if s.started.IsZero() {
		s.started = request.Now
	}
	now := max(s.arrivedAt, request.Now.Sub(s.started)) // callers that race may come out of order
	s.arrivedAt = now
	s.options.Detector.Arrive(now)
	if now-s.evaluatedAt >= evaluateEvery {
		s.evaluatedAt = now
		s.isBurst = s.options.Detector.Evaluate(now)
	}
}

// routers is the number of routers that share the instances.
func (s *Selector) routers() int { return max(1, s.options.Routers()) }
