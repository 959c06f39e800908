package enginelab

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/balance"
)

// fewLargeDay has twelve instances of 64 slots and nine routers, each of which sees a small part of the requests.
func fewLargeDay(perSecond float64, length time.Duration) Setup {
	day := mixedDay(perSecond, 7)
	day.Engine.Slots, day.Engine.Queue, day.Engine.SlotMs = 64, 192, 0.02
	day.Engine.TokensPerMs, day.Engine.ChunkTokens, day.Engine.Capacity = 300, 2048, 1_000_000
	day.Instances, day.Routers, day.Clients, day.Length = 12, 9, 54, length
	day.Kinds = []Kind{longPrompts(0.94 * perSecond), longStreams(0.06 * perSecond)}
	day.Kinds[0].Chain[1].Things = 742
	day.Kinds[0].PauseAim = time.Hour // these tests look at first events
	day.Engine.PairsMs = 0
	day.CountFrom = length / 4
	return day
}

func withWidths(day Setup, widths balance.Widths) Setup {
	day.Selection.Widths = widths
	return day
}

func withoutHomes(day Setup) Setup {
	day.Selection.NoHomes = true
	return day
}

// burstingDay has the prompts come three times as often in every second two seconds, and all routers know.
func burstingDay() Setup {
	day := fewLargeDay(210, 8*time.Second)
	for at := 2 * time.Second; at < day.Length; at += 4 * time.Second {
		day.Faults = append(day.Faults, Fault{Kind: Burst, At: at, For: 2 * time.Second, Of: "plan", Factor: 3})
	}
	day.Selection.Detector = alwaysBurst{}
	return day
}

type alwaysBurst struct{}

func (alwaysBurst) Arrive(time.Duration)        {}
func (alwaysBurst) Evaluate(time.Duration) bool { return true }

// TestHomesSpareReading: without homes, routers that see a small part of the requests have shared blocks read again all the time, and a load
// that the homes bear is too much.
func TestHomesSpareReading(t *testing.T) {
	calm := fewLargeDay(210, 8*time.Second)
	with, without := Run(calm), Run(withoutHomes(calm))
	assert.Assert(t, with.ReadAgain < 0.1*without.ReadAgain, "%v, %v", with.ReadAgain, without.ReadAgain)
	assert.Assert(t, with.Kinds["plan"].MedianFirstMs() < 0.7*without.Kinds["plan"].MedianFirstMs())

	loaded := fewLargeDay(600, 8*time.Second)
	assert.Assert(t, Run(loaded).Kinds["plan"].Late() < 0.02)
	assert.Assert(t, Run(withoutHomes(loaded)).Kinds["plan"].Late() > 0.2)
}

// TestHotPrefixDoesNotDrownItsHome: more than a fourth of all requests ask for one prefix.
func TestHotPrefixDoesNotDrownItsHome(t *testing.T) {
	day := fewLargeDay(700, 8*time.Second)
	day.Faults = []Fault{{Kind: HotThing, For: day.Length, Of: "plan", Share: 0.28}}
	hot := Run(day)
	assert.Assert(t, hot.Kinds["plan"].Late() < 0.05, "%v", hot.Kinds["plan"].Late())
	assert.Assert(t, hot.Busiest < 2, "%v", hot.Busiest)
}

// TestBurstsReadLittleAgain: a burst widens the pick to those that keep the prefix alone, and a wider pick would read much again.
func TestBurstsReadLittleAgain(t *testing.T) {
	day := burstingDay()
	widened, narrow := Run(day), Run(withWidths(day, balance.Widths{Normal: 1}))
	assert.Assert(t, widened.Kinds["plan"].Late() < 0.02, "%v", widened.Kinds["plan"].Late())
	assert.Assert(t, widened.ReadAgain < 1.1*narrow.ReadAgain, "%v, %v", widened.ReadAgain, narrow.ReadAgain)
	assert.Assert(t, Run(withWidths(day, balance.Widths{Normal: 6})).ReadAgain > 1.5*widened.ReadAgain)
}
