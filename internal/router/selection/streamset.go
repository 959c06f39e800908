package selection

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pewterrudder/internal/router/balance"
)

// An engine reads prompts between the tokens of what runs there, so that a stream pauses while prompts are read. The stream set keeps
// the two apart by degree: long streams prefer the first instances of the backend in a rank that all routers share, and few prompts
// have their home there. The set is as large as the streams that run need. How many these are follows from the loads of all
// instances, which all routers hear alike; nothing is agreed on. An instance of the set that is full, slow, suspect or gone loses its
// streams to others by its figure, as any instance does.

const (
	// streamFill is the share of an instance's slots that streams take in the set at rest.
	streamFill = 0.7
	// streamSetSpare is what the set has beyond that, as a share of it.
	streamSetSpare = 0.3
	// streamSetSlack is by how many instances the set may be larger than it need be before it shrinks, since each change moves homes.
	streamSetSlack = 1.5
	// streamSetMost is the largest share of a backend's instances in the set, less streamSetOut instances: where there are few, one
	// of them is too much to take from the prompts.
	streamSetMost = 0.5
	streamSetOut  = 1
	// The shares of the time for which prompts are read on the other instances: up to readingLeast pauses are rare and nothing need be
	// kept apart, and from readingFull on it is worth all that it costs. The share is each router's own estimate, and may be wrong by a
	// factor of two. So nothing else follows from it: routers that disagree on the size of the set mix what the others keep apart.
	readingLeast = 0.1
	readingFull  = 0.25
	// streamSetHomes is the share of homes of an instance in the set against that of another one: some reading does little harm.
	streamSetHomes = 0.25
	// streamGrowth is the room that streams have beyond the set, in instances, and streamRoom the least that they have, as a share of
	// the backend's instances: as loads are told a second late, streams need more room while they become more. Nor have they less room
	// than streamSpread instances, so that the end of one of them breaks a quarter of the streams and not all.
	streamGrowth = 1.0
	streamRoom   = 0.125
	streamSpread = 4
	// streamRatio is the time for an answer, in multiples of the time to read the prompt, from which on a request counts as a stream.
	streamRatio = 10
	// streamSetEvery is the pause between two looks at the loads.
	streamSetEvery = 100 * time.Millisecond
	// defaultTokenMs is the time for a token of an answer before any was seen.
	defaultTokenMs = 0.5
	// freshLoad is the weight of the load that was told last against the mean of late, of which streams that become more are ahead.
	freshLoad = 0.5
)

// streamSet is the set of one backend.
type streamSet struct {
	size    float64 // in instances; the last one belongs to it in part
	reading float64 // share of the time for which prompts are read on the instances outside
	worth   float64 // of keeping streams apart: 1 where so much is read outside that they would pause often, 0 where little is
	sizedAt time.Time
}

// hasStreamSet tells whether there is something to keep apart: only engines read prompts beside streams.
func (b *backend) hasStreamSet() bool { return b.config.HasEngine && !b.isMixed }

// rankForStreams numbers the backend's instances in the rank by which streams prefer them.
func (b *backend) rankForStreams() {
	ranked := slices.Clone(b.targets)
	slices.SortFunc(ranked, func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
	for rank, known := range ranked {
		known.streamRank = rank
	}
}

// refreshStreamSet sizes the set by the loads that are known now.
func (b *backend) refreshStreamSet(now time.Time, pace balance.Pace) {
	if !b.hasStreamSet() || now.Sub(b.streams.sizedAt) < streamSetEvery {
		return
	}
	b.streams.sizedAt = now
	loads := b.sumLoads()
	reading := b.reading(&loads, pace)
	b.streams.reading = min(1, reading/max(1, loads.instances-b.streams.size))
	b.streams.worth = min(1, max(0, (b.streams.reading-readingLeast)/(readingFull-readingLeast)))
	wanted := loads.streams() / max(1, streamFill*loads.meanSlots()) * (1 + streamSetSpare)
	most := max(0, streamSetMost*loads.instances-streamSetOut)
	b.streams.size = min(most, max(wanted, min(b.streams.size, wanted+streamSetSlack)))
}

// reading estimates how many instances would read prompts all the time, by Little's law: from the requests that the instances in the
// upper half hold, which are prompts, the time for which they hold one, and the time to read it.
func (b *backend) reading(loads *loadSums, pace balance.Pace) float64 {
	if pace.TokensPerMs <= 0 || b.promptMs.value <= 0 || loads.upperCount == 0 {
		return 0
	}
	perMs := loads.upper / loads.upperCount / b.promptMs.value
	outside := loads.instances - b.streams.size*(1-streamSetHomes)
	return perMs * outside * b.missing.value / pace.TokensPerMs
}

// loadSums are the loads of a backend's instances, of the lower half in rank, where streams are, and of the upper half.
type loadSums struct {
	instances, slots       float64
	lower, upper           float64 // requests that are held
	lowerCount, upperCount float64 // instances
	setSize                float64
}

func (b *backend) sumLoads() loadSums {
	sums := loadSums{instances: float64(len(b.targets)), setSize: b.streams.size}
	half := len(b.targets) / 2
	for _, known := range b.targets {
		slots := float64(known.slots())
		held := min(slots, known.load.recent()+float64(known.own.waiting+known.own.running))
		sums.slots += slots
		if known.streamRank < half {
			sums.lower, sums.lowerCount = sums.lower+held, sums.lowerCount+1
		} else {
			sums.upper, sums.upperCount = sums.upper+held, sums.upperCount+1
		}
	}
	return sums
}

func (l *loadSums) meanSlots() float64 { return l.slots / max(1, l.instances) }

// streams estimates how many requests in the lower half are streams: what it holds beyond the prompts. Prompts are spread over the
// instances outside of the set alike, so that they are as many on each as in the upper half.
func (l *loadSums) streams() float64 {
	if l.lowerCount == 0 {
		return 0
	}
	prompts := l.upper / l.upperCount * max(0, l.lowerCount-l.setSize)
	return max(0, l.lower-prompts)
}

// recent are the requests of other routers at an instance, between the last figure and the mean.
func (l *loadEstimate) recent() float64 { return freshLoad*l.held + (1-freshLoad)*l.meanHeld }

// isStream tells whether the answer takes so much longer than the prompt that the request counts as a stream.
func (b *backend) isStream(request *Request, pace balance.Pace) bool {
	if !b.hasStreamSet() || pace.TokensPerMs <= 0 {
		return false
	}
	return b.outputMs(request) > streamRatio*float64(request.PromptTokens)/pace.TokensPerMs
}

// outputMs is the time that the answer is expected to take from its first token on.
func (b *backend) outputMs(request *Request) float64 {
	perToken := b.tokenMs.value
	if b.tokenMs.count == 0 {
		perToken = defaultTokenMs
	}
	return perToken * float64(request.OutputTokens)
}

// streamSpace is the size of the set as streams see it, with room to grow.
func (b *backend) streamSpace() float64 {
	if !b.hasStreamSet() {
		return 0
	}
	instances := float64(len(b.targets))
	space := max(b.streams.size+streamGrowth, streamRoom*instances, streamSpread)
	return max(0, min(space, streamSetMost*instances-streamSetOut))
}

// streamWidth is the number of least loaded instances among which a stream is sent: half of the set, since many routers know the same
// loads and would all take the same instance.
func (b *backend) streamWidth() int { return max(1, int(math.Ceil(b.streamSpace()/2))) }
