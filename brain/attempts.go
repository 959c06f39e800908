package brain

import (
	"math"
	"time"
)

// Attempts: sending, retrying, holding and answering requests.

func (n *Node) onRequest(e *Request) {
	if n.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(n.classes) {
		return
	}
	n.detector.Arrive(n.now)
	if e.Tenant >= 0 {
		n.tenants.add(e.Tenant, n.rankedAt)
	}
	r := &request{Request: *e}
	n.setDeadline(r, e.Deadline)
	n.requests[e.ID] = r
	n.meanTime += 0.02 * (n.classes[e.Class].mean - n.meanTime)
	n.repeatTokens = min(n.repeatTokens+repeatTokensPerRequest, maxBudgetTokens)
	n.retryTokens = min(n.retryTokens+retryTokensPerRequest, maxBudgetTokens)
	if n.now-n.rankedAt >= rankInterval {
		n.rerank()
	}
	n.dispatch(r)
	n.sendProbes()
}

// setDeadline sets the deadline of a request and the time until which an answer is useful.
func (n *Node) setDeadline(r *request, deadline time.Duration) {
	r.Deadline, r.usefulUntil = deadline, deadline
	if c := &n.classes[r.Class]; c.Late <= 0 { // a late answer is worthless: let the client try again
		r.usefulUntil = min(r.usefulUntil, n.now+c.Aim)
	}
}

// onUploaded handles the end of an upload: from now on the server works on the request, which gets a
// deadline.
func (n *Node) onUploaded(e *Uploaded) {
	r := n.requests[e.ID]
	if r == nil || r.done || !r.Upload {
		return
	}
	r.Upload = false
	n.setDeadline(r, e.Deadline)
	if i := len(r.attempts) - 1; i >= 0 && !r.attempts[i].ended && !r.streamed {
		n.beginWork(r, i)
		n.reposition(r.attempts[i].server)
	}
}

// dispatch sends a request to a picked server. If there is none, the request is held, refused or failed.
func (n *Node) dispatch(r *request) {
	if len(r.attempts) >= n.cfg.MaxAttempts || n.now >= r.Deadline-answerMargin || r.First == Nowhere {
		n.refuseOrFail(r)
		return
	}
	s := n.pick(r)
	switch {
	case s != nil:
		n.send(r, s)
	case n.overloaded && n.mayRefuse(r): // load shedding
		n.refuse(r)
	case len(r.attempts) > 0 && !n.hasEligibleServer(r): // holding it would only delay the answer
		n.refuseOrFail(r)
	default:
		n.enqueue(r)
	}
}

func (n *Node) send(r *request, s *server) {
	s.coldTokens--
	r.outstanding, r.First = r.outstanding+1, r.Later // First now restricts the next attempt
	r.attempts = append(r.attempts, attempt{server: s, sent: n.now, scoreAtSend: s.loadScore})
	n.emit(Action{Kind: Send, ID: r.ID, Server: s.Server})
	if r.Upload { // the client determines how long it takes
		r.Deadline, r.usefulUntil = math.MaxInt64, math.MaxInt64
	} else {
		n.beginWork(r, len(r.attempts)-1)
	}
	n.reposition(s)
}

// beginWork starts to count an attempt as load and for stall detection, and schedules its overdue check,
// early enough that a second copy can still be useful.
func (n *Node) beginWork(r *request, i int) {
	a, c := &r.attempts[i], &n.classes[r.Class]
	s, h := a.server, &a.server.health[r.Class]
	if h.inFlight == 0 {
		h.waitingSince = n.now
	}
	n.updateLaggedLoad(s)
	a.working, a.cost = true, c.mean/n.meanTime
	s.ownLoad += a.cost
	s.inFlight, h.inFlight, n.inFlight = s.inFlight+1, h.inFlight+1, n.inFlight+1
	due := n.now + seconds((c.mean+overdueDeviations*c.dev)*max(1, n.timeByLoad.at(a.scoreAtSend)))
	due = max(min(due, r.usefulUntil-seconds(1.5*c.mean)), n.now+seconds(c.mean+3*c.dev))
	n.scheduleCheck(overdueCheck{r, i, min(due, r.usefulUntil)})
}

// endWork stops counting an attempt as load.
func (n *Node) endWork(a *attempt, r *request) {
	if !a.working {
		return
	}
	s, h := a.server, &a.server.health[r.Class]
	n.updateLaggedLoad(s)
	a.working = false
	s.ownLoad = max(0, s.ownLoad-a.cost)
	s.inFlight, h.inFlight, n.inFlight = s.inFlight-1, h.inFlight-1, n.inFlight-1
}

func (n *Node) onAttemptEnded(e *AttemptEnded) {
	r := n.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.mayHaveRun = true, e.Outcome != Shed && e.Outcome != ConnectFailed && e.Outcome != NeverSent
	r.outstanding--
	n.endWork(a, r)
	n.recordOutcome(a, r, e)
	if held, ok := n.parseReport(a.server, e.Report); ok && len(e.Report) > 0 && n.cfg.Weights != WeightLive {
		n.recordReport(a.server, held)
	}
	n.reposition(a.server)
	if r.Upload { // ended before the whole body was sent
		n.setDeadline(r, n.now+n.classes[r.Class].Deadline)
	}
	switch {
	case r.done:
		n.release(r)
	case e.Final || e.Outcome == OK:
		n.finish(r)
	case r.outstanding == 0:
		n.retry(r, a.mayHaveRun)
	}
}

// retry decides, once no attempt is in flight, between a further attempt within the budgets and a final
// answer.
func (n *Node) retry(r *request, mayHaveRun bool) {
	budget := &n.retryTokens
	if mayHaveRun {
		budget = &n.repeatTokens
	}
	c := &n.classes[r.Class]
	if *budget < 1 || n.now+seconds(c.mean/2) > r.usefulUntil || mayHaveRun && c.Repeat == Unsafe {
		n.refuseOrFail(r)
		return
	}
	*budget--
	n.dispatch(r)
}

// refuseOrFail gives the final answer: a refusal if that is permitted, else a failure.
func (n *Node) refuseOrFail(r *request) {
	if n.mayRefuse(r) {
		n.refuse(r)
		return
	}
	n.emit(Action{Kind: Fail, ID: r.ID})
	n.finish(r)
}

func (n *Node) refuse(r *request) {
	a := Action{Kind: Refuse, ID: r.ID}
	if n.cfg.RetryAfter {
		a.After = time.Duration((0.5 + n.rng.Float64()/2) * float64(n.cfg.MaxRetryAfter))
	}
	n.emit(a)
	n.finish(r)
}

// finish marks a request as answered and cancels its remaining attempts, unless its answer is streaming.
func (n *Node) finish(r *request) {
	r.done = true
	if !r.streamed {
		n.cancelOthers(r, nil)
	}
	n.release(r)
}

// cancelOthers cancels all attempts in flight except keep, which may be nil.
func (n *Node) cancelOthers(r *request, keep *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; n.cfg.CanCancel && !a.ended && a != keep {
			n.emit(Action{Kind: Cancel, ID: r.ID, Attempt: i})
		}
	}
}

// release deletes a request that is answered and has no attempt in flight.
func (n *Node) release(r *request) {
	if r.done && r.outstanding == 0 && !r.queued {
		delete(n.requests, r.ID)
	}
}

// enqueue holds a request for which no server is available.
func (n *Node) enqueue(r *request) {
	if !r.queued {
		r.queued = true
		n.queue = append(n.queue, r)
	}
	n.arm(&n.queueArmed, queueInterval, cookieQueue)
}

// retryQueued dispatches the held requests again, and ends those that could no longer be answered in time.
func (n *Node) retryQueued() {
	queued := n.queue
	n.queue = nil
	for _, r := range queued {
		r.queued = false
		if r.done {
			n.release(r)
			continue
		}
		wait := max(seconds(n.classes[r.Class].mean/2), answerMargin+queueInterval)
		if n.now > r.usefulUntil-wait {
			n.refuseOrFail(r)
			continue
		}
		n.dispatch(r)
	}
}
