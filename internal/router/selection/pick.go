package selection

import (
	"time"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
)

// Result is how an attempt ended.
type Result uint8

// The results.
const (
	Succeeded     Result = iota
	Rejected             // the instance was full
	Failed               // it answered an error or broke off
	Unreachable          // no connection could be had
	Abandoned            // the client left
	WrongInstance        // another incarnation answered
)

// Outcome is what an attempt showed. A zero FirstByte or Total is unknown.
type Outcome struct {
	Result    Result
	FirstByte time.Duration
	Total     time.Duration
	Load      *Load // told by an answer whose load was not reported yet
}

// Pick is an attempt under way at an instance.
type Pick struct {
	selector      *Selector
	target        *target
	instance      *instances.Instance // as it was when it was picked
	sentAt        time.Time
	missing       int // prompt tokens expected to be read
	outputTokens  int // of the answer at the most
	isStream      bool
	hasFirst      bool
	firstByteTook time.Duration
	isDone        bool
}

// Instance is the one that was picked. What is heard of it later does not change it.
func (p *Pick) Instance() *instances.Instance { return p.instance }

// start enters a pick into the instance's counts.
func (s *Selector) start(to *target, request *Request, missing int) *Pick {
	own := &to.own
	own.advance(request.Now)
	if own.waiting == 0 {
		to.health.aliveAt = request.Now
	}
	own.waiting++
	own.pendingTokens += missing
	to.backend.pace.Prompted(float64(request.PromptTokens))
	if to.cache != nil {
		modelHash := prefixcache.HashModel(request.Model)
		to.cache.Used(modelHash, request.Prefix)
		s.fleetUse.note(request.Now, to, modelHash, prefixcache.Shared(request.Prefix))
	}
	return &Pick{
		selector: s, target: to, instance: to.instance, sentAt: request.Now,
		missing: missing, outputTokens: request.OutputTokens,
		isStream: to.backend.isStream(request, to.backend.pace.Pace(to.backend.config.HasEngine)),
	}
}

// ReportLoad enters the load that the attempt's answer told.
func (p *Pick) ReportLoad(now time.Time, load Load) {
	p.selector.mutex.Lock()
	defer p.selector.mutex.Unlock()
	p.target.health.alive(now)
	p.target.takeLoad(now, load)
}

// FirstByte notes that the attempt's answer has begun.
func (p *Pick) FirstByte(now time.Time) {
	p.selector.mutex.Lock()
	defer p.selector.mutex.Unlock()
	p.firstByte(now, now.Sub(p.sentAt))
}

func (p *Pick) firstByte(now time.Time, took time.Duration) {
	if p.hasFirst || p.isDone {
		return
	}
	p.leaveWaiting(now)
	p.target.own.running++
	p.hasFirst = true
	p.firstByteTook = took
	p.target.health.alive(now)
	p.learnFirstByte(took)
}

func (p *Pick) learnFirstByte(took time.Duration) {
	ms := inMilliseconds(took)
	from := p.target.backend
	if from.config.HasEngine {
		from.pace.Read(float64(p.missing), ms)
		from.missing.add(float64(p.missing))
	}
	from.firstByteMs.add(ms)
	p.target.noteTime(ms, from.firstByteMs.value)
}

func (p *Pick) leaveWaiting(now time.Time) {
	own := &p.target.own
	own.advance(now)
	own.waiting--
	own.pendingTokens -= p.missing
}

// Done ends the attempt. Further calls have no effect.
func (p *Pick) Done(now time.Time, outcome Outcome) {
	p.selector.mutex.Lock()
	defer p.selector.mutex.Unlock()
	if p.isDone {
		return
	}
	if outcome.Result == Succeeded && !p.hasFirst {
		p.firstByte(now, p.timeToFirstByte(now, outcome))
	}
	p.leave(now)
	p.isDone = true
	p.judge(now, outcome)
	if outcome.Load != nil {
		p.target.takeLoad(now, *outcome.Load)
	}
}

func (p *Pick) timeToFirstByte(now time.Time, outcome Outcome) time.Duration {
	if outcome.FirstByte > 0 {
		return outcome.FirstByte
	}
	return now.Sub(p.sentAt)
}

func (p *Pick) leave(now time.Time) {
	if !p.hasFirst {
		p.leaveWaiting(now)
		return
	}
	p.target.own.advance(now)
	p.target.own.running--
}

// judge draws the conclusions from the attempt's end.
func (p *Pick) judge(now time.Time, outcome Outcome) {
	to := p.target
	switch outcome.Result {
	case Succeeded:
		to.health.alive(now)
		to.noteError(now, false)
		p.learnTotal(now, outcome)
	case Rejected: // no sign of life in itself: the bound of this router's own connections rejects too
		to.health.fullUntil = now.Add(fullPause)
	case Failed:
		to.noteError(now, true)
		p.judgeSilence(now)
	case Abandoned:
		p.judgeSilence(now)
	case Unreachable:
		to.health.pause(now)
	case WrongInstance:
		to.health.wrongInstance = true
	}
}

// judgeSilence pauses an instance that gave no sign of life during an attempt that lasted long enough for one.
func (p *Pick) judgeSilence(now time.Time) {
	to := p.target
	isSilent := !p.hasFirst && !to.health.aliveAt.After(p.sentAt)
	if isSilent && now.Sub(p.sentAt) > to.backend.stallTime() {
		to.health.pause(now)
	}
}

// learnTotal learns for how long the request held its slot: an engine gives one with the first token.
func (p *Pick) learnTotal(now time.Time, outcome Outcome) {
	total := outcome.Total
	if total <= 0 {
		total = now.Sub(p.sentAt)
	}
	from := p.target.backend
	if !from.config.HasEngine {
		from.pace.Served(inMilliseconds(total))
		return
	}
	answer := inMilliseconds(max(0, total-p.firstByteTook))
	from.pace.Served(answer)
	if p.outputTokens > 0 {
		from.tokenMs.add(answer / float64(p.outputTokens))
	}
	if !p.isStream {
		from.promptMs.add(inMilliseconds(total))
	}
}

func inMilliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }
