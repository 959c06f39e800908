package enginelab

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/prefixcache"
)

// shortened plays a day's first seconds only.
func shortened(day Setup, length time.Duration) Setup {
	day.Length = length
	return day
}

// mixed has streams and prompts share all instances.
func mixed(day Setup) Setup {
	day.Selection.NoStreamSet = true
	return day
}

func TestStreamSetKeepsStreamsFromPausing(t *testing.T) {
	apart, together := 0.0, 0.0
	for seed := range uint64(2) {
		day := shortened(mixedDay(959, seed+1), 16*time.Second)
		apart += Run(day).Kinds["coach"].Late()
		together += Run(mixed(day)).Kinds["coach"].Late()
	}
	assert.Assert(t, apart < 0.6*together, "%v, %v", apart, together)
}

func TestStreamsAloneNeedNoSet(t *testing.T) {
	day := shortened(mixedDay(0, 1), 10*time.Second)
	day.Kinds = []Kind{longStreams(60)}
	with, without := Run(day), Run(mixed(day))
	assert.Equal(t, with.Kinds["coach"].Refused, 0)
	assert.Assert(t, with.Kinds["coach"].Late() <= without.Kinds["coach"].Late()+0.01)
}

func TestPromptsAloneAreSpreadAsBefore(t *testing.T) {
	day := shortened(mixedDay(0, 1), 10*time.Second)
	day.Kinds = []Kind{longPrompts(959)}
	with, without := Run(day), Run(mixed(day))
	assert.Assert(t, with.Kinds["plan"].Late() <= without.Kinds["plan"].Late()+0.005)
	assert.Assert(t, with.Busiest <= 1.1*without.Busiest, "%v, %v", with.Busiest, without.Busiest)
}

// TestFewInstances: where each instance is much of the fleet, streams are late no more often than without the set, and prompts are late
// more often by no more than a tenth of what the streams gain, and two in a hundred of noise.
func TestFewInstances(t *testing.T) {
	for _, count := range []int{1, 2, 3, 4, 6, 9} {
		var gain, loss float64
		const seeds = 6
		for seed := range uint64(seeds) {
			day := shortened(mixedDay(20*float64(count), seed+1), 10*time.Second)
			day.Instances, day.Zones, day.Routers = count, 1, 3
			with, without := Run(day), Run(mixed(day))
			gain += (without.Kinds["coach"].Late() - with.Kinds["coach"].Late()) / seeds
			loss += (with.Kinds["plan"].Late() - without.Kinds["plan"].Late()) / seeds
		}
		assert.Assert(t, gain >= 0, "%d instances: %v", count, gain)
		assert.Assert(t, loss <= 0.1*gain+0.02, "%d instances: %v for %v", count, loss, gain)
	}
}

// TestSameSeedSameDay: a run is a function of its setup.
func TestSameSeedSameDay(t *testing.T) {
	day := shortened(busyDay(3), 4*time.Second)
	assert.DeepEqual(t, Run(day), Run(day))
}

// plainReading is how long a step with this prompt alone takes, chunk by chunk.
func plainReading(spec *EngineSpec, prompt int) (tookMs float64) {
	for read := 0; read < prompt; {
		piece := min(spec.ChunkTokens, prompt-read)
		tookMs += spec.StepMs + float64(piece)/spec.TokensPerMs + spec.PairsMs*float64(piece)*(float64(read)+float64(piece)/2)/1e6
		read += piece
	}
	return tookMs
}

func TestAnEngineReadsByChunksAndMakesATokenAStep(t *testing.T) {
	spec := twelveSlots()
	spec.SlotMs, spec.ContextMs = 0, 0
	now := newClock()
	played := newEngine(&spec, now)
	var events []time.Duration
	entered := &job{
		blocks: []prefixcache.Block{{ID: 1, Tokens: 6000}, {ID: 2, Tokens: 3000}}, prompt: 9000, output: 2*spec.StrideTokens + 1,
		onEvent: func() { events = append(events, now.Now()) }, onEnd: func() {},
	}
	assert.Assert(t, played.enter(entered))
	now.Run(time.Minute)
	first := plainReading(&spec, 9000)
	stride := spec.StepMs * float64(spec.StrideTokens)
	assert.Equal(t, len(events), 3)
	for i, at := range events {
		want := milliseconds(first + float64(i)*stride)
		assert.Assert(t, (at-want).Abs() < time.Microsecond, "event %d: %v, %v", i, at, want)
	}
	assert.Equal(t, played.read, 9000.0)
}

func TestAnEngineKeepsTheBlocksUsedLast(t *testing.T) {
	kept := newKeptBlocks(100)
	blocks := func(ids ...uint64) (list []prefixcache.Block) {
		for _, id := range ids {
			list = append(list, prefixcache.Block{ID: id, Tokens: 40})
		}
		return list
	}
	kept.use(blocks(1, 2))
	assert.Equal(t, len(kept.missing(blocks(1, 2))), 0)
	kept.use(blocks(1, 3))
	assert.Equal(t, len(kept.missing(blocks(1, 3))), 0)
	assert.DeepEqual(t, kept.missing(blocks(1, 2)), blocks(2))
	assert.DeepEqual(t, kept.missing(blocks(9, 1)), blocks(9, 1))
}
