package selection

import (
	"time"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
)

// Result tells how an attempt ended.
type Result uint8

// The results.
const (
	Succeeded     Result = iota
	Rejected             // the instance was full
	Failed               // the instance answered with an error or broke off
	Unreachable          // no connection could be established
	Abandoned            // the client disconnected
	WrongInstance        // another incarnation of the instance answered
)

// Outcome is the result of an attempt with its times, measured from when it was sent. A zero FirstByte or Total is
// unknown.
type Outcome struct {
	Result    Result
	FirstByte time.Duration
	Total     time.Duration
	Load      *Load // load header of the answer, unless given to ReportLoad already; nil: none
}

// Pick is an attempt in flight at an instance.
type Pick struct {
	selector       *Selector
	target         *target
	instance       *instances.Instance // as of the time of the pick
	sentAt         time.Time
	uncachedTokens int // prompt tokens that the instance was expected to prefill
	outputTokens   int // most tokens that the answer may have
	isStream       bool
	hasFirstByte   bool
	firstByteTime  time.Duration
	isDone         bool
}

// Instance returns the picked instance as it was at the time of the pick; later updates do not change it.
func (p *Pick) Instance() *instances.Instance { return p.instance }

// startPick counts a new attempt at an instance and enters its prompt into the cache estimates.
func (s *Selector) startPick(t *target, request *Request, uncachedTokens int) *Pick {
	own := &t.own
	own.advanceLagged(request.Now)
	if own.waiting == 0 {
		t.health.lastAliveAt = request.Now
	}
	own.waiting++
	own.pendingTokens += uncachedTokens
	t.backend.performance.ObservePrompt(float64(request.PromptTokens))
	if t.cache != nil {
		modelHash := prefixcache.HashName(request.Model)
		t.cache.RecordUse(modelHash, request.Prefix)
		s.recentBlocks.record(request.Now, t, modelHash, prefixcache.SharedBlocks(request.Prefix))
	}
	return &Pick{
		selector: s, target: t, instance: t.instance, sentAt: request.Now,
		uncachedTokens: uncachedTokens, outputTokens: request.OutputTokens,
		isStream: t.backend.isStream(request, t.backend.performance.Performance(t.backend.config.HasEngine)),
	}
}

// ReportLoad records the load header of the attempt's answer.
func (p *Pick) ReportLoad(now time.Time, load Load) {
	p.selector.mutex.Lock()
	defer p.selector.mutex.Unlock()
	p.target.health.noteAlive(now)
	p.target.applyLoad(now, load)
}

// FirstByte records that the first byte of the attempt's answer has arrived.
func (p *Pick) FirstByte(now time.Time) {
	p.selector.mutex.Lock()
	defer p.selector.mutex.Unlock()
	p.recordFirstByte(now, now.Sub(p.sentAt))
}

func (p *Pick) recordFirstByte(now time.Time, took time.Duration) {
	if p.hasFirstByte || p.isDone {
		return
	}
	p.removeWaiting(now)
	p.target.own.running++
	p.hasFirstByte = true
	p.firstByteTime = took
	p.target.health.noteAlive(now)
	p.learnFirstByteTime(took)
}

func (p *Pick) learnFirstByteTime(took time.Duration) {
	ms := toMilliseconds(took)
	b := p.target.backend
	if b.config.HasEngine {
		b.performance.ObservePrefill(float64(p.uncachedTokens), ms)
		b.uncachedTokens.addSample(float64(p.uncachedTokens))
	}
	b.firstByteMs.addSample(ms)
	p.target.updateSlowness(ms, b.firstByteMs.value)
}

func (p *Pick) removeWaiting(now time.Time) {
	own := &p.target.own
	own.advanceLagged(now)
	own.waiting--
	own.pendingTokens -= p.uncachedTokens
}

// Done ends the attempt and records its outcome. Further calls have no effect.
func (p *Pick) Done(now time.Time, outcome Outcome) {
	p.selector.mutex.Lock()
	defer p.selector.mutex.Unlock()
	if p.isDone {
		return
	}
	if outcome.Result == Succeeded && !p.hasFirstByte {
		p.recordFirstByte(now, p.timeToFirstByte(now, outcome))
	}
	p.removeInFlight(now)
	p.isDone = true
	p.recordOutcome(now, outcome)
	if outcome.Load != nil {
		p.target.applyLoad(now, *outcome.Load)
	}
}

// timeToFirstByte returns the measured time to first byte, or the time since the attempt was sent if none was measured.
func (p *Pick) timeToFirstByte(now time.Time, outcome Outcome) time.Duration {
	if outcome.FirstByte > 0 {
		return outcome.FirstByte
	}
	return now.Sub(p.sentAt)
}

func (p *Pick) removeInFlight(now time.Time) {
	if !p.hasFirstByte {
		p.removeWaiting(now)
		return
	}
	p.target.own.advanceLagged(now)
	p.target.own.running--
}

// recordOutcome updates the instance's health and the learned times.
func (p *Pick) recordOutcome(now time.Time, outcome Outcome) {
	t := p.target
	switch outcome.Result {
	case Succeeded:
		t.health.noteAlive(now)
		t.updateErrorRate(now, false)
		p.learnServiceTime(now, outcome)
	case Rejected: // not a sign of life: this router's own connection limit rejects too
		t.health.fullUntil = now.Add(fullBackoff)
	case Failed:
		t.updateErrorRate(now, true)
		p.backOffIfSilent(now)
	case Abandoned:
		p.backOffIfSilent(now)
	case Unreachable:
		t.health.backOff(now)
	case WrongInstance:
		t.health.wrongInstance = true
	}
}

// backOffIfSilent backs off from an instance that gave no sign of life during an attempt longer than the stall time.
func (p *Pick) backOffIfSilent(now time.Time) {
	t := p.target
	isSilent := !p.hasFirstByte && !t.health.lastAliveAt.After(p.sentAt)
	if isSilent && now.Sub(p.sentAt) > t.backend.stallTime() {
		t.health.backOff(now)
	}
}

// learnServiceTime learns how long the request held its slot. An engine assigns a slot with the first token, others at
// once.
func (p *Pick) learnServiceTime(now time.Time, outcome Outcome) {
	total := outcome.Total
	if total <= 0 {
		total = now.Sub(p.sentAt)
	}
	b := p.target.backend
	if !b.config.HasEngine {
		b.performance.ObserveService(toMilliseconds(total))
		return
	}
	answer := toMilliseconds(max(0, total-p.firstByteTime))
	b.performance.ObserveService(answer)
	if p.outputTokens > 0 {
		b.outputTokenMs.addSample(answer / float64(p.outputTokens))
	}
	if !p.isStream {
		b.nonStreamMs.addSample(toMilliseconds(total))
	}
}

func toMilliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }
