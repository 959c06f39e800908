package selection

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pewterrudder/internal/router/balance"
)

// An engine prefills prompts between the decoding steps of its running requests, so that a stream pauses during a
// prefill. The stream set separates streams, which are requests with long answers, from the other requests, called
// prompts here. It does so by degree: streams prefer the first instances of the backend in a ranking that all routers
// share, and few prompts have their home there. The set is as large as the running streams need. Their number is
// estimated from the loads of all instances, which all routers receive alike, so that no agreement is needed. An
// instance of the set that is full, slow, suspect or gone loses its streams to others by its cost, as any instance
// does.

const (
	// streamSlotShare is the share of an instance's slots that streams are to take in the set.
	streamSlotShare = 0.7
	// streamSetHeadroom is the size of the set beyond what its streams need, as a share of that.
	streamSetHeadroom = 0.3
	// streamSetHysteresis is the number of instances by which the set may be too large before it shrinks, since each
	// change moves homes.
	streamSetHysteresis = 1.5
	// The set has at most maxStreamSetShare of a backend's instances, less streamSetReserve instances: with few
	// instances, even one is too many to take from the prompts.
	maxStreamSetShare = 0.5
	streamSetReserve  = 1
	// Bounds on the share of time that the instances outside of the set spend on prefill. Up to separationMinShare
	// pauses are rare and streams are not separated; from separationFullShare on they are separated fully. Each router
	// estimates the share by itself and may be off by a factor of two. The size of the set must not depend on it:
	// routers that disagreed on the size would mix what the others separate.
	separationMinShare  = 0.1
	separationFullShare = 0.25
	// streamSetHomeShare is the number of homes on an instance in the set, relative to one outside: some prefill does
	// little harm.
	streamSetHomeShare = 0.25
	// Streams may use streamGrowthRoom instances beyond the set, and at least minStreamShare of the backend's
	// instances: loads are reported a second late, so that streams need more room while their number grows. They may
	// also use at least minStreamInstances instances, so that the loss of one breaks a quarter of the streams and not
	// all.
	streamGrowthRoom   = 1.0
	minStreamShare     = 0.125
	minStreamInstances = 4
	// streamTimeRatio is the ratio of the answer's time to the prompt's prefill time above which a request counts as a
	// stream.
	streamTimeRatio = 10
	// streamSetInterval is the least time between two updates of the set.
	streamSetInterval = 100 * time.Millisecond
	// defaultOutputTokenMs is the time per output token until a first one is measured.
	defaultOutputTokenMs = 0.5
	// latestLoadWeight is the weight of the last reported load against its moving average, which lags behind a growing
	// number of streams.
	latestLoadWeight = 0.5
)

// streamSet is the stream set of one backend.
type streamSet struct {
	size         float64 // in instances; the last one may belong to it in part
	prefillShare float64 // share of time that the instances outside spend on prefill
	separation   float64 // degree to which streams are separated, from 0 (little prefill outside) to 1
	updatedAt    time.Time
}

// hasStreamSet reports whether streams are separated from prompts. Only engines run both side by side.
func (b *backend) hasStreamSet() bool { return b.config.HasEngine && !b.isMixed }

// assignStreamRanks numbers the backend's instances in the order in which streams prefer them. The order follows from
// the hashes of the ids, so that it is the same on all routers.
func (b *backend) assignStreamRanks() {
	ranked := slices.Clone(b.targets)
	slices.SortFunc(ranked, func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
	for rank, t := range ranked {
		t.streamRank = rank
	}
}

// updateStreamSet recomputes the set from the current loads, at most once per streamSetInterval.
func (b *backend) updateStreamSet(now time.Time, performance balance.Performance) {
	if !b.hasStreamSet() || now.Sub(b.streamSet.updatedAt) < streamSetInterval {
		return
	}
	b.streamSet.updatedAt = now
	loads := b.sumInFlight()
	prefillLoad := b.prefillLoad(&loads, performance)
	b.streamSet.prefillShare = min(1, prefillLoad/max(1, loads.instances-b.streamSet.size))
	b.streamSet.separation = min(1, max(0, (b.streamSet.prefillShare-separationMinShare)/(separationFullShare-separationMinShare)))
	wanted := loads.streamCount() / max(1, streamSlotShare*loads.meanSlots()) * (1 + streamSetHeadroom)
	maxSize := max(0, maxStreamSetShare*loads.instances-streamSetReserve)
	b.streamSet.size = min(maxSize, max(wanted, min(b.streamSet.size, wanted+streamSetHysteresis)))
}

// prefillLoad estimates the prefill work outside of the set as the number of instances that it would keep busy all the
// time. By Little's law the rate of prompts follows from the requests in flight on the upper half, which are prompts,
// and their mean time in flight; each takes the mean time of a prefill.
func (b *backend) prefillLoad(loads *loadSums, performance balance.Performance) float64 {
	if performance.PrefillTokensPerMs <= 0 || b.nonStreamMs.value <= 0 || loads.upperCount == 0 {
		return 0
	}
	perMs := loads.upperInFlight / loads.upperCount / b.nonStreamMs.value
	outside := loads.instances - b.streamSet.size*(1-streamSetHomeShare)
	return perMs * outside * b.uncachedTokens.value / performance.PrefillTokensPerMs
}

// loadSums are the loads of a backend's instances, summed over the lower half by rank, where the streams are, and the
// upper half.
type loadSums struct {
	instances, slots             float64
	lowerInFlight, upperInFlight float64 // requests in flight
	lowerCount, upperCount       float64 // instances
	setSize                      float64 // of the stream set
}

func (b *backend) sumInFlight() loadSums {
	sums := loadSums{instances: float64(len(b.targets)), setSize: b.streamSet.size}
	half := len(b.targets) / 2
	for _, t := range b.targets {
		slots := float64(t.slots())
		inFlight := min(slots, t.load.smoothedInFlight()+float64(t.own.waiting+t.own.running))
		sums.slots += slots
		if t.streamRank < half {
			sums.lowerInFlight, sums.lowerCount = sums.lowerInFlight+inFlight, sums.lowerCount+1
		} else {
			sums.upperInFlight, sums.upperCount = sums.upperInFlight+inFlight, sums.upperCount+1
		}
	}
	return sums
}

func (l *loadSums) meanSlots() float64 { return l.slots / max(1, l.instances) }

// streamCount estimates how many requests in the lower half are streams: those beyond the expected number of prompts.
// Prompts are spread evenly over the instances outside of the set, so that each has as many as an instance of the upper
// half.
func (l *loadSums) streamCount() float64 {
	if l.lowerCount == 0 {
		return 0
	}
	prompts := l.upperInFlight / l.upperCount * max(0, l.lowerCount-l.setSize)
	return max(0, l.lowerInFlight-prompts)
}

// smoothedInFlight returns the requests of other routers in flight at an instance, a weighted mean of the last report
// and the moving average.
func (l *loadEstimate) smoothedInFlight() float64 {
	return latestLoadWeight*l.inFlight + (1-latestLoadWeight)*l.meanInFlight
}

// isStream reports whether a request counts as a stream: its answer is expected to take much longer than its prompt.
func (b *backend) isStream(request *Request, performance balance.Performance) bool {
	if !b.hasStreamSet() || performance.PrefillTokensPerMs <= 0 {
		return false
	}
	return b.outputMs(request) > streamTimeRatio*float64(request.PromptTokens)/performance.PrefillTokensPerMs
}

// outputMs returns the expected time from the first token of the answer to its last.
func (b *backend) outputMs(request *Request) float64 {
	perToken := b.outputTokenMs.value
	if b.outputTokenMs.count == 0 {
		perToken = defaultOutputTokenMs
	}
	return perToken * float64(request.OutputTokens)
}

// streamRange returns the number of instances that streams may use, from the first in rank: the set with room to grow.
func (b *backend) streamRange() float64 {
	if !b.hasStreamSet() {
		return 0
	}
	instances := float64(len(b.targets))
	size := max(b.streamSet.size+streamGrowthRoom, minStreamShare*instances, minStreamInstances)
	return max(0, min(size, maxStreamSetShare*instances-streamSetReserve))
}

// streamPickWidth returns the number of least loaded instances among which a stream's instance is picked: half of the
// stream range, since many routers have the same load reports and would otherwise all pick the same instance.
func (b *backend) streamPickWidth() int { return max(1, int(math.Ceil(b.streamRange()/2))) }
