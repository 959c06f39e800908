// Package selection picks the model instance for each request of a router: uniformly among the K least loaded ones. For
// each instance it keeps the last reported load, the requests that this router has in flight there, an estimate of the
// prompt prefixes in its cache, and this router's own evidence of its failures. A polling loop refreshes the load of
// instances whose answers do not carry it.
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

// ErrNoInstance is returned if a backend has no instance that the request may be sent to, or is not configured.
var ErrNoInstance = errors.New("no instance can take the request")

// DefaultRefreshInterval is the default of D, the interval at which loads are refreshed.
const DefaultRefreshInterval = time.Second

// PollFunc fetches an instance's load report.
type PollFunc func(ctx context.Context, instance *instances.Instance) (*protocol.Report, error)

// Options configure a Selector. All but Zone may be zero, which stands for the default.
type Options struct {
	Zone            string
	Log             logrus.FieldLogger
	RefreshInterval time.Duration    // D; 0: DefaultRefreshInterval
	Widths          balance.Widths   // K outside of bursts and in them; zero: balance.DefaultWidths
	Weights         *balance.Weights // of the cost; nil: balance.DefaultWeights
	NoHomes         bool             // no instance is presumed to cache shared blocks
	NoStreamSet     bool             // streams are not separated from prompts: there is no stream set
	Detector        Detector         // detects bursts; nil: internal/burst
	Poll            PollFunc         // nil: no polling
	// Assigned reports whether this router polls an instance for all routers. If nil, each router polls for itself.
	Assigned func(instance *instances.Instance) bool
	// BroadcastReport sends the report of an assigned instance to the other routers. It is not called if nil.
	BroadcastReport func(id string, report *protocol.Report)
	Sightings       *SightingOptions // nil: routers do not tell each other where they send shared blocks
	Routers         func() int       // number of routers that share the instances, this one included; nil: 1
	Random          func() uint64    // nil: a generator with a random seed
	Clock           func() time.Time // used by the polling loop; nil: time.Now
}

// BackendConfig is the operator's configuration of a backend.
type BackendConfig struct {
	Slots      int   // requests that an instance runs at once, unless the instance says otherwise
	KVCapacity int64 // tokens that an instance's KV cache holds
	HasEngine  bool  // instances are batching inference engines, which cache prefixes and give load reports
	MaxConns   int
}

// Request is the input of Select.
type Request struct {
	Tenant       string // empty: none
	Backend      string
	Model        string
	PromptTokens int
	OutputTokens int // most tokens that the answer may have
	Bytes        int // size of the body as far as known
	Prefix       []prefixcache.Block
	Excluded     []string // ids of the instances of earlier attempts; not empty: a retry
	Now          time.Time
}

// Selector picks instances. It is safe for concurrent use.
type Selector struct {
	options Options
	weights balance.Weights
	random  func() uint64
	created time.Time // start of the first poll round

	mutex           sync.Mutex
	firstArrival    time.Time // the detector's times are relative to it
	lastArrival     time.Duration
	lastEvaluation  time.Duration
	isBurst         bool
	backends        map[string]*backend
	byID            map[string]*target
	byHash          map[uint64]*target
	engineInstances int           // number of instances that give load reports
	recentBlocks    *recentBlocks // nil: routers do not exchange sightings
	snapshot        *instances.Snapshot
	configs         map[string]BackendConfig
	commonPrefixes  *commonprefix.Set // nil: no set agreed on
	commonPrefixUse map[string]*CommonPrefixUse
	scratch         scratch
}

// New returns a selector without instances.
func New(options Options) *Selector {
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	if options.RefreshInterval <= 0 {
		options.RefreshInterval = DefaultRefreshInterval
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
		options:         options,
		weights:         weights,
		random:          random,
		created:         options.Clock(),
		backends:        map[string]*backend{},
		byID:            map[string]*target{},
		byHash:          map[uint64]*target{},
		recentBlocks:    newRecentBlocks(options.Sightings),
		snapshot:        &instances.Snapshot{},
		configs:         map[string]BackendConfig{},
		commonPrefixUse: map[string]*CommonPrefixUse{},
	}
}

// Select picks an instance for a request. The caller must end the pick with Done.
func (s *Selector) Select(request Request) (*Pick, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noteArrival(&request)
	b := s.backends[request.Backend]
	if b == nil {
		return nil, ErrNoInstance
	}
	b.lastRequestAt = request.Now
	b.popularity.record(&request)
	chosen, uncachedTokens := s.chooseTarget(b, &request)
	if chosen == nil {
		return nil, ErrNoInstance
	}
	s.countCommonPrefixUse(b, chosen, &request)
	return s.startPick(chosen, &request, uncachedTokens), nil
}

// noteArrival feeds the burst detector. A retry is not an arrival.
func (s *Selector) noteArrival(request *Request) {
	if len(request.Excluded) > 0 {
		return
	}
	if s.firstArrival.IsZero() {
		s.firstArrival = request.Now
	}
	now := max(s.lastArrival, request.Now.Sub(s.firstArrival)) // concurrent callers may arrive out of order
	s.lastArrival = now
	s.options.Detector.Arrive(now)
	if now-s.lastEvaluation >= evaluateInterval {
		s.lastEvaluation = now
		s.isBurst = s.options.Detector.Evaluate(now)
	}
}

// routers returns the number of routers that share the instances, at least 1.
func (s *Selector) routers() int { return max(1, s.options.Routers()) }
