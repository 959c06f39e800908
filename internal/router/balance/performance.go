package balance

const (
	defaultServiceMs          = 50.0
	defaultPrefillTokensPerMs = 50.0
	minPrefillTokensPerMs     = 1.0
	maxPrefillTokensPerMs     = 10_000.0

	minPrefillSamples = 16   // samples before the learned prefill rate replaces the default
	maxRateRatio      = 4    // largest ratio of the prefill rate to mean tokens over mean time
	minSampleWeight   = 0.02 // weight of a new sample in the means once 1/minSampleWeight were seen
	minServiceMs      = 0.1
	maxServiceMs      = 60_000.0
)

// PerformanceEstimator estimates a backend's performance from the requests sent to it. The zero value is ready to use
// and starts from defaults.
type PerformanceEstimator struct {
	serviceCount      float64
	serviceMs         float64
	promptCount       float64
	meanPromptTokens  float64
	prefillCount      float64
	meanPrefillTokens float64
	meanFirstTokenMs  float64
	tokensVariance    float64 // of the tokens to prefill
	covariance        float64 // of the tokens to prefill and the time to first token
}

// ObserveService adds the time for which a request held its slot.
func (e *PerformanceEstimator) ObserveService(totalMs float64) {
	e.serviceCount++
	step := max(minSampleWeight, 1/e.serviceCount)
	e.serviceMs += step * (min(totalMs, maxServiceMs) - e.serviceMs)
}

// ObservePrompt adds the length of a prompt.
func (e *PerformanceEstimator) ObservePrompt(tokens float64) {
	e.promptCount++
	e.meanPromptTokens += max(minSampleWeight, 1/e.promptCount) * (tokens - e.meanPromptTokens)
}

// ObservePrefill adds the time to first token of a request that had the given number of tokens to prefill.
func (e *PerformanceEstimator) ObservePrefill(tokens, firstTokenMs float64) {
	e.prefillCount++
	if e.prefillCount == 1 {
		e.meanPrefillTokens, e.meanFirstTokenMs = tokens, firstTokenMs
		return
	}
	step := max(minSampleWeight, 1/e.prefillCount)
	deltaTokens, deltaMs := tokens-e.meanPrefillTokens, firstTokenMs-e.meanFirstTokenMs
	e.meanPrefillTokens += step * deltaTokens
	e.meanFirstTokenMs += step * deltaMs
	e.tokensVariance += step * ((1-step)*deltaTokens*deltaTokens - e.tokensVariance)
	e.covariance += step * ((1-step)*deltaTokens*deltaMs - e.covariance)
}

// Performance returns the current estimates. Those of prefill are zero for a backend without an engine.
func (e *PerformanceEstimator) Performance(hasEngine bool) Performance {
	performance := Performance{ServiceMs: defaultServiceMs}
	if e.serviceCount > 0 {
		performance.ServiceMs = max(e.serviceMs, minServiceMs)
	}
	if hasEngine {
		performance.PrefillTokensPerMs = e.prefillTokensPerMs()
		performance.MeanPromptTokens = e.meanPromptTokens
	}
	return performance
}

// prefillTokensPerMs returns the prefill rate as the slope of the regression line through the samples. The time to
// first token includes the prefill, so that the rate is at least the ratio of the means. It is also limited to a
// multiple of that ratio, since waits in the queue distort the slope.
func (e *PerformanceEstimator) prefillTokensPerMs() float64 {
	if e.prefillCount < minPrefillSamples || e.meanPrefillTokens <= 0 || e.meanFirstTokenMs <= 0 {
		return defaultPrefillTokensPerMs
	}
	minRate := e.meanPrefillTokens / e.meanFirstTokenMs
	maxRate := maxRateRatio * minRate
	rate := maxRate
	if e.covariance > 0 {
		rate = min(max(e.tokensVariance/e.covariance, minRate), maxRate)
	}
	return min(max(rate, minPrefillTokensPerMs), maxPrefillTokensPerMs)
}
