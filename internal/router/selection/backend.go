package selection

import (
	"time"

	"pewterrudder/internal/router/balance"
	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
)

// backend holds a service's configuration, its instances and what this router has learned of it.
type backend struct {
	config         BackendConfig
	targets        []*target
	performance    balance.PerformanceEstimator
	firstByteMs    average // time to first byte
	uncachedTokens average // prompt tokens to prefill, per request
	nonStreamMs    average // total time of a request that is not a stream
	outputTokenMs  average // answer time, divided by the output tokens that the request allows
	isMixed        bool    // streams are not separated: there is no stream set
	streamSet      streamSet
	popularity     popularity
	lastRequestAt  time.Time
	replicas       map[commonprefix.Key]int // number of instances that should cache each common prefix
	places         []commonprefix.Place     // places agreed among the routers, each with its current instance
}

// minSampleWeight is the weight of a new sample in an average once 1/minSampleWeight samples have been seen.
const minSampleWeight = 0.02

// average is the plain mean of the first samples and an exponentially weighted moving average after that. The zero
// value has no samples.
type average struct {
	count float64
	value float64
}

func (a *average) addSample(sample float64) {
	a.count++
	a.value += max(minSampleWeight, 1/a.count) * (sample - a.value)
}

// SetInstances replaces the instances. An instance whose id was known before keeps its learned state.
func (s *Selector) SetInstances(snapshot *instances.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = snapshot
	s.rebuild()
}

// SetBackends replaces the configured backends, by name. Other backends are sent no requests.
func (s *Selector) SetBackends(configs map[string]BackendConfig) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configs = configs
	s.rebuild()
}

// rebuild assigns the instances to the configured backends. A backend keeps its learned state by its name.
func (s *Selector) rebuild() {
	previous, previousTargets := s.backends, s.byID
	s.backends = make(map[string]*backend, len(s.configs))
	s.byID = make(map[string]*target, len(previousTargets))
	s.byHash = make(map[uint64]*target, len(previousTargets))
	s.engineInstances = 0
	for name, config := range s.configs {
		b := previous[name]
		if b == nil {
			b = &backend{popularity: newPopularity(), isMixed: s.options.NoStreamSet}
		}
		b.config = config
		b.targets = nil
		s.backends[name] = b
		for _, instance := range s.snapshot.Backend(name) {
			s.addTarget(b, instance, previousTargets[instance.ID])
		}
		b.assignStreamRanks()
	}
	s.resizeCaches()
	s.applyCommonPrefixes()
}

// addTarget adds an instance to its backend. t is the instance's previous state, nil for a new one; it is replaced if
// it belonged to another backend.
func (s *Selector) addTarget(b *backend, instance *instances.Instance, t *target) {
	if t == nil || t.backend != b {
		t = newTarget(instance.ID)
	}
	t.instance, t.backend = instance, b
	s.byID[instance.ID] = t
	s.byHash[t.hash] = t
	if b.config.HasEngine {
		s.engineInstances++
	}
	b.targets = append(b.targets, t)
}

// resizeCaches sets the capacity of all cache estimates. When there are new ones, it fills them from the recent
// sightings.
func (s *Selector) resizeCaches() {
	routers := s.routers()
	anyNew := false
	for _, t := range s.byID {
		anyNew = anyNew || t.cache == nil
		t.resizeCache(routers)
	}
	if anyNew && s.recentBlocks != nil {
		s.applySightings(s.recentBlocks.options.Recent(s.options.Clock()))
	}
}

// resizeCache sets the capacity of the cache estimate to what running requests leave of the KV cache.
func (t *target) resizeCache(routers int) {
	config := &t.backend.config
	if !config.HasEngine || config.KVCapacity <= 0 {
		t.cache = nil
		return
	}
	capacity := config.KVCapacity - t.load.kvUsed
	if t.cache == nil {
		t.cache = prefixcache.New(capacity, routers)
		return
	}
	t.cache.Resize(capacity, routers)
}
