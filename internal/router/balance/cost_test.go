package balance

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	enginePerformance = Performance{ServiceMs: 100, PrefillTokensPerMs: 300, MeanPromptTokens: 9000}
	plainPerformance  = Performance{ServiceMs: 20}
)

func costOf(candidate Candidate, performance Performance) float64 {
	return DefaultWeights.Cost(&candidate, performance)
}

func TestCostOfPlainInstances(t *testing.T) {
	assert.Equal(t, costOf(Candidate{Slots: 8}, plainPerformance), 0.0)
	assert.Equal(t, costOf(Candidate{Slots: 8, Running: 4}, plainPerformance), 10.0)
	// All slots are taken: the next request waits for the first one that becomes free.
	assert.Equal(t, costOf(Candidate{Slots: 8, Running: 8}, plainPerformance), 20+20.0/8)
	assert.Equal(t, costOf(Candidate{Slots: 8, Running: 8, Queued: 8}, plainPerformance), 40+20.0/8*9)
	assert.Equal(t, costOf(Candidate{Slots: 8, Running: 4, Slowness: 2}, plainPerformance), 20.0)
}

func TestCostOfEngines(t *testing.T) {
	assert.Equal(t, costOf(Candidate{Slots: 64, UncachedTokens: 3000}, enginePerformance), 10.0)
	assert.Equal(t, costOf(Candidate{Slots: 64, PendingTokens: 3000, UncachedTokens: 3000}, enginePerformance), 20.0)
	// Duplicate prefill costs an additional DuplicatePrefill times its duration.
	assert.Equal(t, costOf(Candidate{Slots: 64, UncachedTokens: 3000, DuplicateTokens: 300}, enginePerformance), 10+DefaultWeights.DuplicatePrefill)
	assert.Equal(t, costOf(Candidate{Slots: 64, Running: 32}, enginePerformance), DefaultWeights.EngineOccupancy*30/2)
	ignoring := Weights{IgnorePrompt: true}
	assert.Equal(t, ignoring.Cost(&Candidate{Slots: 64, UncachedTokens: 3000, DuplicateTokens: 300}, enginePerformance), 0.0)
}

func TestOtherZoneCostsLessThanAnyLoad(t *testing.T) {
	otherZone := costOf(Candidate{Slots: 8, OtherZone: true}, plainPerformance)
	assert.Equal(t, otherZone, DefaultWeights.ZoneHopMs)
	assert.Equal(t, costOf(Candidate{Slots: 8, OtherZone: true, RequestKB: 9}, plainPerformance), otherZone+9*DefaultWeights.ZoneMsPerKB)
	assert.Equal(t, costOf(Candidate{Slots: 8, RequestKB: 9}, plainPerformance), 0.0)
	assert.Assert(t, otherZone < costOf(Candidate{Slots: 8, Running: 1}, plainPerformance))
	assert.Assert(t, otherZone < costOf(Candidate{Slots: 64, UncachedTokens: 600}, enginePerformance))
}

// TestCostGrowsWithLoad checks that an increase of any kind of load never lowers the cost.
func TestCostGrowsWithLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Float64Range(0, 500)
		base := Candidate{
			Queued: amount.Draw(t, "queued"), Running: amount.Draw(t, "running"), Slots: rapid.Float64Range(0, 64).Draw(t, "slots"),
			PendingTokens: 100 * amount.Draw(t, "pending"), UncachedTokens: 100 * amount.Draw(t, "missing"),
			Slowness: rapid.Float64Range(0.5, 4).Draw(t, "slowness"),
		}
		base.DuplicateTokens = base.UncachedTokens / 2
		performance := rapid.SampledFrom([]Performance{enginePerformance, plainPerformance}).Draw(t, "performance")
		more := rapid.Float64Range(0, 100).Draw(t, "more")
		for _, raise := range []func(*Candidate){
			func(c *Candidate) { c.Queued += more },
			func(c *Candidate) { c.Running += more },
			func(c *Candidate) { c.PendingTokens += more },
			func(c *Candidate) { c.UncachedTokens += more },
			func(c *Candidate) { c.DuplicateTokens += more },
			func(c *Candidate) { c.Slowness += more },
			func(c *Candidate) { c.OtherZone = true },
		} {
			raised := base
			raise(&raised)
			assert.Assert(t, costOf(raised, performance) >= costOf(base, performance))
		}
	})
}
