package selection

import (
	"time"

	"pewterrudder/internal/router/balance"
	"pewterrudder/internal/router/prefixcache"
)

// The way of one pick: the candidates are the ready instances of the best standing; each gets a load figure; the pick is uniform
// among the K candidates with the lowest figures, and K follows from the burst detector, from what the request is, and from where
// its prefix is kept.

// scratch is memory that one choice leaves for the next.
type scratch struct {
	targets   []*target
	standings []standing
	missing   []int
	figures   []float64
	homes     []home
}

// choice is what one pick goes by.
type choice struct {
	from        *backend
	request     *Request
	modelHash   uint64
	pace        balance.Pace
	waitTime    time.Duration // for a first byte
	serviceTime time.Duration // for which a request holds its slot
	outputMs    float64       // time that the answer is expected to take from its first token on
	isStream    bool
	unknown     meanLoad
	expected    expectation
	wasteless   int // candidates that would read nothing that others have read of late
}

// choose picks the instance for a request, with the prompt tokens that it is expected to read.
func (s *Selector) choose(from *backend, request *Request) (*target, int) {
	c := s.newChoice(from, request)
	candidates := s.candidates(from, request)
	if len(candidates) == 0 {
		return nil, 0
	}
	s.rate(&c, candidates)
	at := balance.Choose(s.scratch.figures, s.width(&c, len(candidates)), s.random())
	return candidates[at], s.scratch.missing[at]
}

func (s *Selector) newChoice(from *backend, request *Request) choice {
	pace := from.pace.Pace(from.config.HasEngine)
	from.refreshStreamSet(request.Now, pace)
	return choice{
		from:        from,
		request:     request,
		modelHash:   prefixcache.HashModel(request.Model),
		pace:        pace,
		waitTime:    milliseconds(from.firstByteMs.value),
		serviceTime: milliseconds(pace.ServiceMs),
		outputMs:    from.outputMs(request),
		isStream:    from.isStream(request, pace),
		unknown:     from.meanLoad(),
	}
}

// rate fills the scratch with the figures of the candidates and the tokens that each would read, and counts the candidates that
// would read nothing that others have read of late.
func (s *Selector) rate(c *choice, candidates []*target) {
	c.expected = s.expectKept(c, candidates)
	s.scratch.figures, s.scratch.missing = s.scratch.figures[:0], s.scratch.missing[:0]
	for _, known := range candidates {
		rated := s.describe(c, known)
		if rated.MissingShared == 0 {
			c.wasteless++
		}
		s.scratch.figures = append(s.scratch.figures, s.weights.Figure(&rated, c.pace))
		s.scratch.missing = append(s.scratch.missing, int(rated.MissingTokens))
	}
}

// describe is what is known of an instance for this request.
func (s *Selector) describe(c *choice, known *target) balance.Candidate {
	streamShare := c.from.streams.worth * known.streamShare(c.from.streamSpace())
	holdMs := c.outputMs * streamShare
	queued, held := c.unknown.queued, c.unknown.held
	if known.load.isKnown {
		queued, held = known.load.at(c.request.Now, c.waitTime, max(c.serviceTime, milliseconds(holdMs)))
	}
	described := balance.Candidate{
		Queued:        queued + float64(known.own.waiting),
		Running:       held - queued + float64(known.own.running),
		Slots:         float64(known.slots()),
		HoldMs:        holdMs,
		PendingTokens: queued*c.from.missing.value + float64(known.own.pendingTokens),
		OutputMs:      c.outputMs,
		ReadingShare:  c.from.streams.reading * (1 - streamShare),
		Slowness:      known.slowness,
		RequestKB:     float64(c.request.Bytes) / 1000,
		OtherZone:     s.options.Zone != "" && known.instance.Zone != s.options.Zone,
	}
	if known.cache != nil {
		described.MissingTokens, described.MissingShared = known.missing(c.request, c.modelHash, &c.expected)
	}
	return described
}

// width is K, the number of least loaded candidates among which the pick is uniform. A stream goes to one of the less loaded half of
// the stream set. Of requests that share a prefix, a burst widens the pick no further than there are instances that keep the prefix
// or are presumed to, since another one would read it again; for one that many ask for it is half of these, so that routers
// that know the same loads do not all take the same instance.
func (s *Selector) width(c *choice, candidates int) int {
	widths := s.options.Widths
	if c.isStream {
		return min(candidates, max(c.from.streamWidth(), widths.Rest))
	}
	if !c.from.sharesPrefix(c.request) {
		return widths.K(candidates, s.isBurst, false)
	}
	if popular := c.expected.homes.popular; popular > 1 {
		return max(widths.Rest, popular/2)
	}
	return min(widths.K(candidates, s.isBurst, true), max(widths.Rest, c.wasteless))
}

// sharesPrefix tells whether instances keep parts of the prompt that other requests share.
func (b *backend) sharesPrefix(request *Request) bool {
	return b.config.HasEngine && len(prefixcache.Shared(request.Prefix)) > 0
}

// meanLoad is the load that an instance without a figure counts at: the mean of the others.
type meanLoad struct {
	queued float64
	held   float64
}

func (b *backend) meanLoad() meanLoad {
	var mean meanLoad
	count := 0.0
	for _, known := range b.targets {
		if known.load.isKnown {
			count++
			mean.queued += (known.load.meanQueued - mean.queued) / count
			mean.held += (known.load.meanHeld - mean.held) / count
		}
	}
	return mean
}

// since is the time that has passed, 0 for a time that lies ahead.
func since(now, then time.Time) time.Duration { return max(0, now.Sub(then)) }
