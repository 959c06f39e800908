package selection

import (
	"time"

	"pewterrudder/internal/router/balance"
	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
)

// backend is a service with its instances.
type backend struct {
	config      BackendConfig
	targets     []*target
	pace        balance.PaceLearner
	firstByteMs average // time to the first byte
	missing     average // prompt tokens to read per request
	promptMs    average // time for which an instance holds a request that is no stream
	tokenMs     average // time for a token of an answer, of those that the request allows
	isMixed     bool    // it has no stream set
	streams     streamSet
	popular     popularity
	requestedAt time.Time
	replicas    map[commonprefix.Key]int // instances that shall keep each common prefix
	places      []commonprefix.Place     // as agreed, with the instances that hold them now
}

// meanStep is the weight of one sample in an average, once there are enough of them.
const meanStep = 0.02

// average is a mean that forgets slowly. The zero value has no samples.
type average struct {
	count float64
	value float64
}

func (a *average) add(sample float64) {
	a.count++
	a.value += max(meanStep, 1/a.count) * (sample - a.value)
}

// SetInstances takes over a new table of instances. What was learned of an instance stays with its id.
func (s *Selector) SetInstances(snapshot *instances.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = snapshot
	s.rebuild()
}

// SetBackends takes over what the operator's configuration says of the backends. Only these get requests.
func (s *Selector) SetBackends(configs map[string]BackendConfig) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configs = configs
	s.rebuild()
}

// rebuild puts the instances under the configured backends. A backend keeps what it has learned under its name.
func (s *Selector) rebuild() {
	previous, previousTargets := s.backends, s.byID
	s.backends = make(map[string]*backend, len(s.configs))
	s.byID = make(map[string]*target, len(previousTargets))
	s.byHash = make(map[uint64]*target, len(previousTargets))
	s.engines = 0
	for name, config := range s.configs {
		known := previous[name]
		if known == nil {
			known = &backend{popular: newPopularity(), isMixed: s.options.Mixed}
		}
		known.config = config
		known.targets = nil
		s.backends[name] = known
		for _, instance := range s.snapshot.Backend(name) {
			s.place(known, instance, previousTargets[instance.ID])
		}
		known.rankForStreams()
	}
	s.sizeCaches()
	s.placeCommon()
}

func (s *Selector) place(under *backend, instance *instances.Instance, known *target) {
	if known == nil || known.backend != under {
		known = newTarget(instance.ID)
	}
	known.instance, known.backend = instance, under
	s.byID[instance.ID] = known
	s.byHash[known.hash] = known
	if under.config.HasEngine {
		s.engines++
	}
	under.targets = append(under.targets, known)
}

// sizeCaches gives each instance's estimate what its running requests leave of the capacity.
func (s *Selector) sizeCaches() {
	routers := s.routers()
	anyNew := false
	for _, known := range s.byID {
		anyNew = anyNew || known.cache == nil
		known.sizeCache(routers)
	}
	if anyNew && s.fleetUse != nil {
		s.heard(s.fleetUse.options.Recent(s.options.Clock()))
	}
}

func (t *target) sizeCache(routers int) {
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
