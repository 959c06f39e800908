package selection

import (
	"time"

	"pewterrudder/internal/router/balance"
	"pewterrudder/internal/router/prefixcache"
)

// How an instance is picked: the candidates are the ready instances with the best health status; each is given a cost;
// the pick is uniform among the K candidates with the lowest costs. K depends on the burst detector, on the kind of
// request, and on which instances cache its prefix.

// scratch holds slices that are reused from one pick to the next.
type scratch struct {
	targets        []*target
	statuses       []healthStatus
	uncachedTokens []int
	costs          []float64
	homes          []home
}

// pickContext is the input of one pick that does not depend on the candidate.
type pickContext struct {
	backend           *backend
	request           *Request
	modelHash         uint64
	performance       balance.Performance
	waitTime          time.Duration // mean time to first byte
	serviceTime       time.Duration // mean time for which a request holds a slot
	outputMs          float64       // expected time from the first token of the answer to its last
	isStream          bool
	defaultLoad       meanLoad
	expected          cacheExpectation
	withoutDuplicates int // candidates that would not prefill again what another instance prefilled recently
}

// chooseTarget picks the instance for a request and returns it with the prompt tokens that it is expected to prefill.
// It returns nil if there is no candidate.
func (s *Selector) chooseTarget(b *backend, request *Request) (*target, int) {
	c := s.newPickContext(b, request)
	candidates := s.candidates(b, request)
	if len(candidates) == 0 {
		return nil, 0
	}
	s.computeCosts(&c, candidates)
	index := balance.Choose(s.scratch.costs, s.pickWidth(&c, len(candidates)), s.random())
	return candidates[index], s.scratch.uncachedTokens[index]
}

func (s *Selector) newPickContext(b *backend, request *Request) pickContext {
	performance := b.performance.Performance(b.config.HasEngine)
	b.updateStreamSet(request.Now, performance)
	return pickContext{
		backend:     b,
		request:     request,
		modelHash:   prefixcache.HashName(request.Model),
		performance: performance,
		waitTime:    fromMilliseconds(b.firstByteMs.value),
		serviceTime: fromMilliseconds(performance.ServiceMs),
		outputMs:    b.outputMs(request),
		isStream:    b.isStream(request, performance),
		defaultLoad: b.meanLoad(),
	}
}

// computeCosts fills the scratch with each candidate's cost and uncached tokens, and sets c.expected and
// c.withoutDuplicates.
func (s *Selector) computeCosts(c *pickContext, candidates []*target) {
	c.expected = s.expectCached(c, candidates)
	s.scratch.costs, s.scratch.uncachedTokens = s.scratch.costs[:0], s.scratch.uncachedTokens[:0]
	for _, t := range candidates {
		candidate := s.balanceCandidate(c, t)
		if candidate.DuplicateTokens == 0 {
			c.withoutDuplicates++
		}
		s.scratch.costs = append(s.scratch.costs, s.weights.Cost(&candidate, c.performance))
		s.scratch.uncachedTokens = append(s.scratch.uncachedTokens, int(candidate.UncachedTokens))
	}
}

// balanceCandidate gathers what is known of an instance with regard to this request. An instance whose load is not
// known counts with the mean load of the others.
func (s *Selector) balanceCandidate(c *pickContext, t *target) balance.Candidate {
	streamShare := c.backend.streamSet.separation * t.streamSetShare(c.backend.streamRange())
	holdMs := c.outputMs * streamShare
	queued, inFlight := c.defaultLoad.queued, c.defaultLoad.inFlight
	if t.load.isKnown {
		queued, inFlight = t.load.estimateAt(c.request.Now, c.waitTime, max(c.serviceTime, fromMilliseconds(holdMs)))
	}
	candidate := balance.Candidate{
		Queued:        queued + float64(t.own.waiting),
		Running:       inFlight - queued + float64(t.own.running),
		Slots:         float64(t.slots()),
		HoldMs:        holdMs,
		PendingTokens: queued*c.backend.uncachedTokens.value + float64(t.own.pendingTokens),
		OutputMs:      c.outputMs,
		PrefillShare:  c.backend.streamSet.prefillShare * (1 - streamShare),
		Slowness:      t.slowness,
		RequestKB:     float64(c.request.Bytes) / 1000,
		OtherZone:     s.options.Zone != "" && t.instance.Zone != s.options.Zone,
	}
	if t.cache != nil {
		candidate.UncachedTokens, candidate.DuplicateTokens = t.uncachedTokens(c.request, c.modelHash, &c.expected)
	}
	return candidate
}

// pickWidth returns K, the number of least loaded candidates among which the pick is uniform. A stream goes to one of
// the less loaded half of the instances that streams may use. For requests that share a prefix, a burst widens the pick
// to no more than the instances that cache the prefix or are presumed to, since another one would prefill it again. For
// a popular prefix K is half of its homes, so that routers with the same load reports do not all pick the same
// instance.
func (s *Selector) pickWidth(c *pickContext, candidates int) int {
	widths := s.options.Widths
	if c.isStream {
		return min(candidates, max(c.backend.streamPickWidth(), widths.Normal))
	}
	if !c.backend.sharesPrefix(c.request) {
		return widths.K(candidates, s.isBurst, false)
	}
	if byPopularity := c.expected.homes.byPopularity; byPopularity > 1 {
		return max(widths.Normal, byPopularity/2)
	}
	return min(widths.K(candidates, s.isBurst, true), max(widths.Normal, c.withoutDuplicates))
}

// sharesPrefix reports whether instances cache parts of the prompt that other requests may share.
func (b *backend) sharesPrefix(request *Request) bool {
	return b.config.HasEngine && len(prefixcache.SharedBlocks(request.Prefix)) > 0
}

// meanLoad is the mean load of the instances whose load is known. It stands for the load of the others.
type meanLoad struct {
	queued   float64
	inFlight float64
}

func (b *backend) meanLoad() meanLoad {
	var mean meanLoad
	count := 0.0
	for _, t := range b.targets {
		if t.load.isKnown {
			count++
			mean.queued += (t.load.meanQueued - mean.queued) / count
			mean.inFlight += (t.load.meanInFlight - mean.inFlight) / count
		}
	}
	return mean
}

// since returns the time that has passed from then to now, 0 if then is later.
func since(now, then time.Time) time.Duration { return max(0, now.Sub(then)) }
