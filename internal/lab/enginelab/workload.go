package enginelab

import (
	"math"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/prefixcache"
)

// Kind is a kind of request.
type Kind struct {
	Name      string
	PerSecond float64
	Chain     []Link // shared parts of its prompts, in order
	Own       Size   // prompt tokens of each request alone
	Events    Size   // of the answer
	Aim       time.Duration
	PauseAim  time.Duration // longest pause between two events that is in time
}

// Link is one shared part of the prompts: so many things, each with its own tokens. The last link names what the prompt is about;
// each thing of it has one thing of every link before it.
type Link struct {
	Things int
	Tokens float64 // mean
	Spread float64
	Most   float64
	Skew   float64 // of the Zipf distribution by which the things are asked for
}

// Size is a log-normal size, bounded.
type Size struct {
	Mean   float64
	Spread float64
	Most   float64
}

func (s Size) draw(random *rand.Rand) float64 {
	if s.Spread == 0 {
		return s.Mean
	}
	location := math.Log(s.Mean) - s.Spread*s.Spread/2
	return min(s.Most, math.Exp(location+s.Spread*random.NormFloat64()))
}

// FaultKind is a disruption of a day.
type FaultKind int

// The disruptions.
const (
	HotThing FaultKind = iota // one thing of a kind gets a share of its requests
	Burst                     // a kind's rate is multiplied
	Slow                      // a share of the instances gets slower by the factor
	Gone                      // a share of the instances leaves for good
)

// Fault is one disruption.
type Fault struct {
	Kind    FaultKind
	At, For time.Duration
	Of      string // kind of request
	Share   float64
	Factor  float64
}

func (f *Fault) isOn(now time.Duration) bool { return now >= f.At && now < f.At+f.For }

// source makes the requests of one kind.
type source struct {
	kind    Kind
	random  *rand.Rand
	tokens  [][]int // by link and thing
	weights []float64
	firstID uint64
	nextOwn uint64
}

const ownIDs = 1 << 40 // ids of requests' own blocks start here

func newSource(kind Kind, number int, random *rand.Rand) *source {
	s := &source{kind: kind, random: random, firstID: uint64(number+1) << 24, nextOwn: ownIDs * uint64(number+1)}
	for _, link := range kind.Chain {
		var tokens []int
		for range link.Things {
			tokens = append(tokens, max(1, int(Size{link.Tokens, link.Spread, link.Most}.draw(random))))
		}
		s.tokens = append(s.tokens, tokens)
	}
	if len(kind.Chain) > 0 {
		last := kind.Chain[len(kind.Chain)-1]
		sum := 0.0
		for thing := range last.Things {
			sum += math.Pow(float64(thing+1), -last.Skew)
			s.weights = append(s.weights, sum)
		}
	}
	return s
}

// draw makes the prompt of a request. hot is the share of the requests that are about one thing.
func (s *source) draw(hot float64) []prefixcache.Block {
	var blocks []prefixcache.Block
	if len(s.weights) > 0 {
		thing := s.thing(hot)
		for link := range s.kind.Chain {
			at := thing % s.kind.Chain[link].Things
			blocks = append(blocks, prefixcache.Block{ID: s.firstID + uint64(link)<<20 + uint64(at), Tokens: s.tokens[link][at]})
		}
	}
	s.nextOwn++
	own := max(1, int(s.kind.Own.draw(s.random)))
	return append(blocks, prefixcache.Block{ID: s.nextOwn, Tokens: own})
}

// hotThing is the one that a hot key asks for: not among the most frequent ones anyway.
const hotThing = 17

func (s *source) thing(hot float64) int {
	if s.random.Float64() < hot {
		return hotThing % len(s.weights)
	}
	wanted := s.random.Float64() * s.weights[len(s.weights)-1]
	low, high := 0, len(s.weights)-1
	for low < high {
		middle := (low + high) / 2
		if s.weights[middle] < wanted {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
