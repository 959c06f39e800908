package balance

// Weights are the parameters of the cost. None depends on the deployment.
type Weights struct {
	// Occupancy is the cost of an instance whose slots are all taken, in multiples of the mean service time.
	Occupancy float64
	// EngineOccupancy replaces Occupancy for instances that run requests in batches, in multiples of the time to
	// prefill a mean prompt: a taken slot there slows the other requests a little and does not block them.
	EngineOccupancy float64
	// DuplicatePrefill is the price of duplicate prefill, that is of shared tokens that another instance has cached, in
	// multiples of the prefill time and in addition to it.
	DuplicatePrefill float64
	// ZoneHopMs is the cost of an attempt in another zone, in ms, and ZoneMsPerKB the additional cost of each 1,000
	// bytes of its request.
	ZoneHopMs   float64
	ZoneMsPerKB float64
	// DecodeDelay is the price of the time by which the prefill of other prompts is expected to delay the answer, in
	// multiples of that time.
	DecodeDelay float64
	// IgnorePrompt excludes prefill and its effects from the cost.
	IgnorePrompt bool
}

// DefaultWeights are the weights used in production.
var DefaultWeights = Weights{
	Occupancy: 1, EngineOccupancy: 0.5, DuplicatePrefill: 10, ZoneHopMs: 1.5, ZoneMsPerKB: 1, DecodeDelay: 0.1,
}

// Candidate describes one instance with regard to the request that is to be sent.
type Candidate struct {
	Queued          float64 // requests of all routers that wait there
	Running         float64 // requests of all routers that run there
	Slots           float64
	PendingTokens   float64 // prompt tokens that wait to be prefilled there
	UncachedTokens  float64 // prompt tokens of this request that would have to be prefilled there
	DuplicateTokens float64 // of these, tokens of shared blocks that another instance prefilled recently
	Slowness        float64 // its time to first byte relative to the mean; 0 counts as 1
	OtherZone       bool
	RequestKB       float64 // size of the request in units of 1,000 bytes
	PrefillShare    float64 // expected share of time that it spends on prefill
	HoldMs          float64 // time for which requests there hold their slots, if longer than the backend's mean
	OutputMs        float64 // expected time from the first token of the answer to its last
}

// Performance holds measured averages of a backend.
type Performance struct {
	ServiceMs          float64 // mean time for which a request holds its slot
	PrefillTokensPerMs float64 // prompt tokens prefilled per ms; 0: the backend has no engine
	MeanPromptTokens   float64 // mean length of a prompt, in tokens
}

// Cost returns the expected wait of a request at a candidate, plus the prices of another zone, of duplicate prefill and
// of delays of the answer, all in ms. The wait is scaled by the instance's slowness.
func (w *Weights) Cost(candidate *Candidate, performance Performance) float64 {
	wait := w.occupancy(candidate, performance) + slotWait(candidate, performance)
	price := w.otherZone(candidate)
	if performance.PrefillTokensPerMs > 0 && !w.IgnorePrompt {
		wait += prefillTime(candidate, performance)
		price += w.duplicatePrefill(candidate, performance) + w.decodeDelay(candidate)
	}
	if candidate.Slowness > 0 {
		wait *= candidate.Slowness
	}
	return wait + price
}

// prefillTime returns the time to prefill the waiting prompts and this request's own, in ms. Sources: the last reported
// queue and this router's own requests; the estimate of the blocks in the instance's cache; the prefill rate learned
// from times to first token.
func prefillTime(candidate *Candidate, performance Performance) float64 {
	return (candidate.PendingTokens + candidate.UncachedTokens) / performance.PrefillTokensPerMs
}

// duplicatePrefill returns the price of prefilling shared tokens that another instance has cached, in ms. Sources:
// those of prefillTime, and the sightings of other routers or the homes of prefixes.
func (w *Weights) duplicatePrefill(candidate *Candidate, performance Performance) float64 {
	return w.DuplicatePrefill * candidate.DuplicateTokens / performance.PrefillTokensPerMs
}

// decodeDelay returns the price of the pauses in the answer during the prefill of other prompts, in ms. Sources: the
// share of time spent on prefill, by Little's law from the loads of all instances; the time per output token, learned
// from answers.
func (w *Weights) decodeDelay(candidate *Candidate) float64 {
	return w.DecodeDelay * candidate.PrefillShare * candidate.OutputMs
}

// occupancy returns the cost of the taken slots, in ms. Sources: the loads that instances give in reports and answers.
func (w *Weights) occupancy(candidate *Candidate, performance Performance) float64 {
	inFlight := candidate.Queued + candidate.Running
	return w.fullOccupancyMs(performance) * inFlight / max(1, candidate.Slots)
}

// slotWait returns the expected time for which the request waits for a slot, in ms. Sources: those of occupancy; the
// time for which requests hold their slots, learned from answers, or this request's own on instances of the stream set.
func slotWait(candidate *Candidate, performance Performance) float64 {
	slots := max(1, candidate.Slots)
	excess := candidate.Queued + candidate.Running + 1 - slots
	return max(performance.ServiceMs, candidate.HoldMs) * max(0, excess) / slots
}

// otherZone returns the cost of an attempt in another zone, in ms. Sources: the zones in settings and heartbeats; the
// size of the request.
func (w *Weights) otherZone(candidate *Candidate) float64 {
	if !candidate.OtherZone {
		return 0
	}
	return w.ZoneHopMs + w.ZoneMsPerKB*candidate.RequestKB
}

// fullOccupancyMs returns the cost of an instance whose slots are all taken while no request waits.
func (w *Weights) fullOccupancyMs(performance Performance) float64 {
	if performance.PrefillTokensPerMs > 0 {
		return w.EngineOccupancy * performance.MeanPromptTokens / performance.PrefillTokensPerMs
	}
	return w.Occupancy * performance.ServiceMs
}
