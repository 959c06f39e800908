package balance

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestEstimatorStartsWithDefaults(t *testing.T) {
	var estimator PerformanceEstimator
	assert.Equal(t, estimator.Performance(false), Performance{ServiceMs: defaultServiceMs})
	assert.Equal(t, estimator.Performance(true), Performance{ServiceMs: defaultServiceMs, PrefillTokensPerMs: defaultPrefillTokensPerMs})
}

func TestEstimatorLearnsPrefillRateAndServiceTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var estimator PerformanceEstimator
	for range 500 {
		tokens := 500 + 8000*rng.Float64()
		estimator.ObservePrefill(tokens, 5+4*rng.Float64()+tokens/250)
		estimator.ObserveService(80 + 40*rng.Float64())
		estimator.ObservePrompt(9000)
	}
	performance := estimator.Performance(true)
	assert.Assert(t, performance.PrefillTokensPerMs > 230 && performance.PrefillTokensPerMs < 270, "%v", performance)
	assert.Assert(t, performance.ServiceMs > 90 && performance.ServiceMs < 110, "%v", performance)
	assert.Assert(t, performance.MeanPromptTokens > 8999 && performance.MeanPromptTokens < 9001, "%v", performance)
}

// TestPrefillRateStaysWithinBounds checks that for any samples the rate is at least mean tokens over mean time, and at
// most maxRateRatio times that.
func TestPrefillRateStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var estimator PerformanceEstimator
		for range rapid.IntRange(0, 200).Draw(t, "samples") {
			estimator.ObservePrefill(rapid.Float64Range(0, 40_000).Draw(t, "tokens"), rapid.Float64Range(0.01, 5000).Draw(t, "ms"))
		}
		rate := estimator.Performance(true).PrefillTokensPerMs
		assert.Assert(t, rate >= minPrefillTokensPerMs && rate <= maxPrefillTokensPerMs)
		if estimator.prefillCount < minPrefillSamples || estimator.meanPrefillTokens == 0 {
			assert.Equal(t, rate, defaultPrefillTokensPerMs)
			return
		}
		minRate := estimator.meanPrefillTokens / estimator.meanFirstTokenMs
		assert.Assert(t, rate >= min(minRate, maxPrefillTokensPerMs)*0.999)
		assert.Assert(t, rate <= max(maxRateRatio*minRate, minPrefillTokensPerMs)*1.001)
	})
}
