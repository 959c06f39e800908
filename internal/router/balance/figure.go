package balance

// Weights are the parameters of the load figure. All are free of any deployment's constants.
type Weights struct {
	// Occupancy weighs the share of an instance's slots that is taken, as a share of the mean service time.
	Occupancy float64
	// EngineOccupancy takes Occupancy's place for instances that run requests in batches, as a share of the time to
	// read a mean prompt: a taken slot there slows the others a little and does not shut them out.
	EngineOccupancy float64
	// ReadAgain is the price of reading shared tokens that another instance keeps, in addition to the time that the
	// reading takes and in multiples of it.
	ReadAgain float64
	// ZoneHopMs is what an attempt in another zone costs, in ms, and ZoneMsPerKB what each 1,000 bytes of its request cost beside.
	ZoneHopMs   float64
	ZoneMsPerKB float64
	// Delayed is the price of the time for which prompts that are read at an instance are expected to hold the answer up.
	Delayed float64
	// IgnorePrompt leaves prompts out of the figure.
	IgnorePrompt bool
}

// DefaultWeights are the ones in service.
var DefaultWeights = Weights{
	Occupancy: 1, EngineOccupancy: 0.5, ReadAgain: 10, ZoneHopMs: 1.5, ZoneMsPerKB: 1, Delayed: 0.1,
}

// Candidate is what is known of one instance when a request is to be sent.
type Candidate struct {
	Queued        float64 // requests waiting there, of all routers
	Running       float64 // requests at work there, of all routers
	Slots         float64
	PendingTokens float64 // prompt tokens that wait to be read there
	MissingTokens float64 // prompt tokens of this request that would have to be read there
	MissingShared float64 // of these, tokens of shared blocks
	Slowness      float64 // its time for a request against the mean of the others; 0 counts as 1
	OtherZone     bool
	RequestKB     float64 // size of the request, in 1,000 bytes
	ReadingShare  float64 // of the time, for which prompts are expected to be read there
	HoldMs        float64 // time for which the requests there hold their slots; 0: the backend's mean
	OutputMs      float64 // time that the answer is expected to take from its first token on
}

// Pace is what has been learned of a backend.
type Pace struct {
	ServiceMs   float64 // mean time for which a request holds its slot
	TokensPerMs float64 // prompt tokens read in a ms; 0: the backend reads no prompts
	MeanPrompt  float64 // tokens of a prompt
}

// Figure is the wait that a request is expected to meet at a candidate, and the price of what it would read again and of what would hold
// its answer up, all in ms. What depends on the instance's speed grows with its slowness.
func (w *Weights) Figure(candidate *Candidate, pace Pace) float64 {
	wait := w.occupancy(candidate, pace) + slotWait(candidate, pace)
	price := w.otherZone(candidate)
	if pace.TokensPerMs > 0 && !w.IgnorePrompt {
		wait += reading(candidate, pace)
		price += w.readAgain(candidate, pace) + w.delayed(candidate)
	}
	if candidate.Slowness > 0 {
		wait *= candidate.Slowness
	}
	return wait + price
}

// reading is the time to read the prompts that wait there and this request's own, in ms. Sources: the queue that was last told and
// this router's own requests; the estimate of the blocks that the instance keeps; the speed learned from first tokens.
func reading(candidate *Candidate, pace Pace) float64 {
	return (candidate.PendingTokens + candidate.MissingTokens) / pace.TokensPerMs
}

// readAgain is the price of shared tokens that another instance keeps and this one would have to read, in ms of reading. Sources: as for
// reading, and what other routers tell of blocks or the homes of prefixes.
func (w *Weights) readAgain(candidate *Candidate, pace Pace) float64 {
	return w.ReadAgain * candidate.MissingShared / pace.TokensPerMs
}

// delayed is the price of the pauses of a long answer where prompts are read beside it, in ms. Sources: the share of the time for which
// prompts are read there, by Little's law from the loads of all instances; the time for a token, learned from answers.
func (w *Weights) delayed(candidate *Candidate) float64 {
	return w.Delayed * candidate.ReadingShare * candidate.OutputMs
}

// occupancy is the price of the slots that are taken, in ms. Sources: the loads that instances tell in reports and answers.
func (w *Weights) occupancy(candidate *Candidate, pace Pace) float64 {
	held := candidate.Queued + candidate.Running
	return w.occupancyMs(pace) * held / max(1, candidate.Slots)
}

// slotWait is the time for which the request is expected to wait for a slot, in ms. Sources: as for occupancy; the time for which requests
// hold their slots, learned from answers, or this request's own where streams are.
func slotWait(candidate *Candidate, pace Pace) float64 {
	slots := max(1, candidate.Slots)
	over := candidate.Queued + candidate.Running + 1 - slots
	return max(pace.ServiceMs, candidate.HoldMs) * max(0, over) / slots
}

// otherZone is the price of an attempt in another zone, in ms. Sources: the zones in settings and heartbeats; the request's length.
func (w *Weights) otherZone(candidate *Candidate) float64 {
	if !candidate.OtherZone {
		return 0
	}
	return w.ZoneHopMs + w.ZoneMsPerKB*candidate.RequestKB
}

// occupancyMs is the figure of an instance whose slots are all taken while nobody waits.
func (w *Weights) occupancyMs(pace Pace) float64 {
	if pace.TokensPerMs > 0 {
		return w.EngineOccupancy * pace.MeanPrompt / pace.TokensPerMs
	}
	return w.Occupancy * pace.ServiceMs
}
