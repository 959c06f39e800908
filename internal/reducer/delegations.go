package reducer

import (
	"slices"
	"strconv"
	"time"

	"pewterrudder/brain"
)

func (r *Reducer) startAttempt(c *call, a *brain.Action) {
	if c == nil {
		return
	}
	att := &attempt{call: c, index: len(c.attempts), server: a.Server, srv: r.servers[a.Server], startedAt: r.now}
	c.attempts = append(c.attempts, att)
	c.outstanding++
	if c.noMoreAttempts() || att.srv == nil || !slices.Contains(att.srv.usingPools, c.pool.index) || att.index >= r.cfg.MaxAttempts {
		r.endAttempt(att, brain.NeverSent, nil)
		return
	}
	if c.StreamedBody && slices.ContainsFunc(c.attempts, func(other *attempt) bool { return other.bodyUsed }) {
		if c.outstanding == 1 { // no other attempt is outstanding, and none can follow
			r.answer(c, r.bodyUsedReply(c, WroteAll))
		}
		r.endAttempt(att, brain.NeverSent, nil)
		return
	}
	r.recordZoneAttempt(att)
	r.dispatch(att)
}

// dispatch assigns an attempt to the most recently used idle connection that has been idle for reuseDelay, otherwise to
// the longest idle one, otherwise to a new connection.
func (r *Reducer) dispatch(att *attempt) {
	// The call ended or the app node was removed during a dial.
	if att.call.noMoreAttempts() || att.srv.removed || r.tooLate(att) {
		r.endAttempt(att, brain.NeverSent, nil)
		return
	}
	for len(att.srv.idle) > 0 {
		at := len(att.srv.idle) - 1
		for at > 0 && r.now-att.srv.idle[at].idleSince < reuseDelay {
			at--
		}
		cn := att.srv.idle[at]
		if r.now-cn.idleSince >= r.idleLimit() {
			r.close(cn)
			continue
		}
		r.takeIdle(cn)
		r.exchange(cn, att)
		return
	}
	if len(r.conns) >= r.connBudget && !r.closeOldestIdle() {
		if r.now >= r.nextBudgetLog { // at most once per second, not once per call
			r.nextBudgetLog = r.now + time.Second
			r.emit(Log{"delegation: every connection of the descriptor budget is in use"})
		}
		att.outOfDescriptors = true
		r.endAttempt(att, brain.ConnectFailed, nil)
		return
	}
	r.lastConnID++
	cn := &conn{id: r.lastConnID, srv: att.srv, state: dialing, attempt: att}
	att.conn = cn
	r.conns[cn.id], att.srv.conns[cn.id] = cn, cn
	r.emit(Dial{cn.id, att.srv.address, r.cfg.ConnectTimeout})
}

// tooLate reports whether an attempt that the decider requested must no longer be sent. The decision was made in time,
// but a dial can take long: when a network partition heals, the handshake succeeds at its next retransmission. By then
// the call may have expired although its callDeadline event is still queued behind this one, the app node may have been
// draining for longer than the grace period allows, or the app nodes may have forgotten the call's key.
func (r *Reducer) tooLate(att *attempt) bool {
	// A decision made in this very event already takes the drain into account.
	if !att.call.uploading && r.now >= att.call.deadline || r.now > att.startedAt && r.drainedTooLong(att.srv) {
		return true
	}
	class := &r.cfg.Classes[att.call.Class]
	return class.Repeat == brain.Keyed && slices.ContainsFunc(att.call.attempts, func(other *attempt) bool {
		return other != att && other.mayHaveRunSince > 0 && r.now-other.mayHaveRunSince > class.Window-keyWindowMargin
	})
}

// drainedTooLong reports whether an app node has been out of service for so long that nothing may be sent to it any
// more. Half of the grace period is reserved for delays: the list may have waited before we read it, and the call waits
// for its writer.
func (r *Reducer) drainedTooLong(s *server) bool {
	return s.member.State != brain.Ready && r.now-s.notReadySince >= r.cfg.Rules.DrainGrace/2
}

func (r *Reducer) exchange(cn *conn, att *attempt) {
	cn.state, cn.attempt, att.conn, att.mayHaveRunSince = busy, att, cn, r.now
	timeLeft := att.call.deadline - r.now
	if att.bodyUsed = att.call.StreamedBody; att.bodyUsed {
		att.call.uploading, timeLeft = true, att.call.timeout // the app node, too, counts from the last byte
	}
	stall := r.stallEstimators[att.call.Class].Timeout()
	flowStall := flowStallFactor * stall
	if r.fixedStall == 0 {
		flowStall = max(flowStall, minFlowStall)
	}
	r.emit(Exchange{cn.id, att.call.Call, timeLeft, stall, flowStall})
}

// bodyUsedReply is the answer to a call whose body has been consumed, so that no further attempt is possible.
func (r *Reducer) bodyUsedReply(c *call, written WriteProgress) Reply {
	if written == WroteAll && !r.repeatable(c) {
		return Reply{Kind: Failed}
	}
	return r.refusedReply()
}

// abandon gives up an attempt: the app node sees its connection close. A dial continues, and its connection becomes
// idle.
func (r *Reducer) abandon(att *attempt) {
	if cn := att.conn; cn != nil {
		if cn.state == busy || cn.state == flowing {
			r.close(cn)
		}
		cn.attempt, att.conn = nil, nil
	}
}

// endAttempt records the end of an attempt and reports it to the decider. It is called exactly once per attempt.
func (r *Reducer) endAttempt(att *attempt, o brain.Outcome, report []float64) {
	c := att.call
	att.ended = true
	if o == brain.NeverSent || o == brain.ConnectFailed || o == brain.Shed { // it never ran
		att.mayHaveRunSince = 0
	}
	c.outstanding--
	took := r.now - att.startedAt
	if att.committedAt > 0 {
		took = att.committedAt - att.startedAt
	}
	r.recordZoneOutcome(att, o, took, report)
	r.notify(c.pool, &brain.AttemptEnded{ID: c.deciderID, Attempt: att.index, Server: att.server, Outcome: o,
		Took: took, Final: c.done, Report: report})
	r.removeIfDone(c)
}

// onFlowing commits a call to the first of its attempts that asks. From here on the answer belongs to the client.
func (r *Reducer) onFlowing(e Flowing) {
	cn := r.conns[e.Conn]
	if cn == nil || cn.state != busy {
		return
	}
	att := cn.attempt
	c := att.call
	if c.noMoreAttempts() {
		r.abandon(att)
		r.endAttempt(att, brain.Cancelled, nil)
		return
	}
	kind := Served
	if e.Result == ResultInvalidCall {
		kind, c.rejected = Rejected, true
	}
	cn.state, c.committed, att.committedAt = flowing, att, r.now // counted when the flow ends
	r.emit(Answer{c.ID, Reply{Kind: kind, Message: e.Message}})
	r.notify(c.pool, &brain.StreamBegun{ID: c.deciderID, Attempt: att.index, Server: att.server, Took: r.now - att.startedAt})
}

func (r *Reducer) onExchanged(e Exchanged) {
	cn := r.conns[e.Conn]
	if cn == nil || cn.state != busy && cn.state != flowing {
		return
	}
	att, wasFlowing := cn.attempt, cn.state == flowing
	c := att.call
	cn.attempt, att.conn = nil, nil
	att.bodyUsed = att.bodyUsed && e.BodyUsed
	if c.uploading && !att.bodyUsed {
		r.restartDeadline(c, c.arrivedAt) // nothing of the body was sent
	}
	noAnswer := e.Result == ResultBroken || e.Result == ResultStalled
	if !noAnswer && e.Reusable && e.Written == WroteAll {
		r.putIdle(cn)
	} else {
		r.close(cn)
	}
	if e.Result == ResultGood {
		cn.srv.lastAnswer = r.now
	} else if e.Result == ResultBroken || e.Result == ResultStalled || e.Result == ResultAppError {
		cn.srv.lastFailure = r.now
	}
	if e.Result == ResultStalled {
		r.stallEstimators[c.Class].ObserveTimeout()
	} else if e.LongestPause > 0 && e.Result != ResultBroken {
		r.stallEstimators[c.Class].ObservePause(e.LongestPause)
	}
	if wasFlowing {
		r.onFlowEnded(att, e)
		return
	}
	if noAnswer && e.Written == WroteNothing {
		// The app node closed the idle connection just before. No byte was sent, so this does not count as an attempt.
		r.dispatch(att)
		return
	}
	// Noticed just before the call was to be written, ahead of the ClientGone event.
	if e.Result == ResultClientLeft && e.Written == WroteNothing {
		if !c.done {
			r.onClientGone(c)
		}
		if !att.ended {
			r.endAttempt(att, brain.Cancelled, nil)
		}
		return
	}
	if att.bodyUsed && e.Result != ResultGood && e.Result != ResultInvalidCall && e.Result != ResultNoMemory {
		written := e.Written
		if e.Result == ResultShed {
			written = WroteNothing
		}
		r.answer(c, r.bodyUsedReply(c, written))
	}
	switch {
	case noAnswer && e.Written == WrotePart:
		r.endAttempt(att, brain.ConnectFailed, nil)
	case noAnswer:
		r.endAttempt(att, brain.Dropped, nil)
	case e.Result == ResultGood:
		r.answer(c, Reply{Kind: Served, Message: e.Message})
		r.endAttempt(att, brain.OK, e.Report)
	case e.Result == ResultShed:
		r.endAttempt(att, brain.Shed, e.Report)
	case e.Result == ResultInvalidCall: // says nothing about the health of the app node
		c.rejected = true
		r.answer(c, Reply{Kind: Rejected, Message: e.Message})
		r.endAttempt(att, brain.Cancelled, e.Report)
	case e.Result == ResultNoMemory: // the lack of memory is ours, and another app node's answer would not fit either
		if r.repeatable(c) {
			r.answer(c, r.refusedReply())
		} else {
			r.answer(c, Reply{Kind: Failed})
		}
		r.endAttempt(att, brain.Cancelled, e.Report)
	case e.Result == ResultClientLeft: // the client did not send its complete body
		r.endAttempt(att, brain.Cancelled, nil)
	default:
		r.endAttempt(att, brain.AppError, e.Report)
	}
}

// onFlowEnded handles the end of a committed answer. The call is finished whether the client received all of it or saw
// it break off. The duration reported to the decider ends at the commit, because from there on the client sets the pace.
func (r *Reducer) onFlowEnded(att *attempt, e Exchanged) {
	c := att.call
	c.done = true
	switch {
	case e.Result == ResultClientLeft:
		r.counts.Left++
		r.endAttempt(att, brain.Cancelled, e.Report)
	case c.rejected:
		r.countEnd(c, Rejected)
		r.endAttempt(att, brain.Cancelled, e.Report)
	case e.Result == ResultGood:
		r.countEnd(c, Served)
		r.endAttempt(att, brain.OK, e.Report)
	default:
		r.countEnd(c, Failed)
		r.logBrokenAnswer(att, e)
		r.endAttempt(att, brain.Dropped, nil)
	}
	r.releaseClientID(c)
	r.removeIfDone(c)
}

// logBrokenAnswer logs answers that broke off midway, at most once per brokenLogInterval.
func (r *Reducer) logBrokenAnswer(att *attempt, e Exchanged) {
	if r.brokenAnswers++; r.now < r.nextBrokenLog {
		return
	}
	reason := "ended early"
	if e.Err != nil {
		reason = e.Err.Error()
	}
	r.emit(Log{"flow: " + strconv.Itoa(r.brokenAnswers) + " answers broke off in their middle, the last from " + att.server + ": " + reason})
	r.brokenAnswers, r.nextBrokenLog = 0, r.now+brokenLogInterval
}
