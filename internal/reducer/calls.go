package reducer

import (
	"strconv"
	"time"

	"pewterrudder/brain"
)

func (r *Reducer) onArrived(in *Call) {
	// The decider knows calls by internal IDs: a client may send the same ID again after a closed connection, and that
	// call must not be confused with what is left of the first.
	c := &call{Call: in, deadline: in.Deadline - answerMargin, arrivedAt: r.now, timeout: in.Deadline - r.now, deciderID: strconv.FormatUint(in.ID, 10)}
	c.pool = r.routeCall(in)
	c.pool.openCalls++
	r.classSlots[c.Class].openCalls++
	r.counts.Taken++
	r.calls[in.ID], r.callsByDeciderID[c.deciderID] = c, c
	if first := r.callsByClientID[c.ClientID]; first != nil {
		// Client IDs are unique, so one of the two calls is a copy. The order in which two sockets are read does not
		// tell which one, but the app node does: it rejects the copy. Until then the later call waits. Two attempts with
		// the same ID at two app nodes, or a refusal of a call that may have run, could lead to a duplicate execution.
		c.waiting = true
		first.duplicates = append(first.duplicates, c)
	} else if r.recentlyUsed(c.ClientID) {
		r.answer(c, Reply{Kind: Conflict})
		return
	} else if c.deadline <= r.now {
		r.answer(c, r.fallbackReply(c))
		return
	} else if limit := r.maxOpen(c.pool); limit > 0 && c.pool.openCalls > limit {
		r.answer(c, r.refusedReply())
		return
	}
	r.armDeadline(c)
	if !c.waiting {
		r.admit(c)
	}
}

// noMoreAttempts reports whether a call has its answer or its client has left, so that nothing may be sent for it.
func (c *call) noMoreAttempts() bool { return c.done || c.committed != nil }

// admit passes a call to the decider.
func (r *Reducer) admit(c *call) {
	c.waiting = false
	if c.ClientID != "" {
		r.callsByClientID[c.ClientID] = c
	}
	first, later := r.zoneBounds(c)
	r.notify(c.pool, &brain.Request{First: first, Later: later, ID: c.deciderID, Class: c.Class, Tenant: c.Tenant, Quota: c.Quota, Retry: c.Retry, Key: c.Key,
		Work: c.Work, Deadline: c.deadline, Upload: c.StreamedBody})
}

// releaseClientID releases the client ID of a finished call. Calls that wait for it are copies and are answered with
// Conflict, unless the finished call was itself rejected as the copy: then the next one takes its place.
func (r *Reducer) releaseClientID(c *call) {
	if r.callsByClientID[c.ClientID] != c {
		return
	}
	delete(r.callsByClientID, c.ClientID)
	duplicates := c.duplicates
	c.duplicates = nil
	if !c.rejected {
		r.rememberClientID(c.ClientID)
	}
	for i, next := range duplicates {
		switch {
		case next.done:
		case c.rejected:
			next.duplicates = duplicates[i+1:]
			r.admit(next)
			return
		default:
			r.answer(next, Reply{Kind: Conflict})
		}
	}
}

func (r *Reducer) rememberClientID(id string) {
	if r.now-r.recentClientIDsSince >= clientIDRetention || len(r.recentClientIDs[0]) >= maxClientIDs {
		r.recentClientIDs[0], r.recentClientIDs[1], r.recentClientIDsSince = r.recentClientIDs[1], r.recentClientIDs[0], r.now
		clear(r.recentClientIDs[0])
	}
	r.recentClientIDs[0][id] = struct{}{}
}

func (r *Reducer) recentlyUsed(id string) bool {
	_, recent := r.recentClientIDs[0][id]
	_, older := r.recentClientIDs[1][id]
	return recent || older
}

// onClientGone handles a client that left. The decider has no further part in a flow, so the flow is ended here.
func (r *Reducer) onClientGone(c *call) {
	c.done = true
	r.counts.Left++
	r.notify(c.pool, &brain.ClientGone{ID: c.deciderID})
	if att := c.committed; att != nil && !att.ended {
		r.abandon(att)
		r.endAttempt(att, brain.Cancelled, nil)
	}
	r.releaseClientID(c)
	r.removeIfDone(c)
}

// onDeadline ends the outstanding attempts, as the decider expects at the deadline, and answers the call even if the
// decider does not. An answer that already flows continues for as long as the client and the app node keep it up.
func (r *Reducer) onDeadline(id uint64) {
	c := r.calls[id]
	if c == nil {
		return
	}
	if c.uploading || r.now < c.deadline {
		return // an upload's deadline does not run yet, or has been restarted
	}
	for _, att := range c.attempts {
		if !att.ended && att != c.committed {
			r.abandon(att)
			r.endAttempt(att, brain.TimedOut, nil)
		}
	}
	if c.committed != nil && !c.done {
		return
	}
	if !c.done { // held by the decider, or lost by it
		r.answer(c, r.fallbackReply(c))
		r.notify(c.pool, &brain.ClientGone{ID: c.deciderID})
	}
	r.releaseClientID(c)
	r.removeIfDone(c)
}

// onUploaded handles the last byte of a body: the call's time limit counts from there.
func (r *Reducer) onUploaded(c *call, last time.Duration) {
	if !c.uploading {
		return
	}
	for _, att := range c.attempts {
		if !att.ended {
			att.startedAt = r.now
		}
	}
	r.restartDeadline(c, max(last, c.arrivedAt))
	r.notify(c.pool, &brain.Uploaded{ID: c.deciderID, Deadline: c.deadline})
}

// restartDeadline counts the time limit of an upload from the given time on.
func (r *Reducer) restartDeadline(c *call, start time.Duration) {
	c.uploading, c.deadline = false, start+c.timeout-answerMargin
	r.armDeadline(c)
}

func (r *Reducer) armDeadline(c *call) {
	r.emit(StartTimer{max(0, c.deadline-r.now), callDeadline{c.ID}})
}

// answer gives a call its final answer. Only the first takes effect.
func (r *Reducer) answer(c *call, reply Reply) {
	if c == nil || c.noMoreAttempts() {
		return
	}
	c.done = true
	r.countEnd(c, reply.Kind)
	r.emit(Answer{c.ID, reply})
	r.releaseClientID(c)
	r.removeIfDone(c)
}

func (r *Reducer) removeIfDone(c *call) {
	if c.done && c.outstanding == 0 && r.calls[c.ID] == c {
		delete(r.calls, c.ID)
		delete(r.callsByDeciderID, c.deciderID)
		r.classSlots[c.Class].openCalls--
		c.pool.openCalls--
		r.freeIfUnused(c.pool)
	}
}

// fallbackReply is the answer if the decider gives none. It is a refusal as long as nothing was sent, because retrying
// is then harmless whatever the class.
func (r *Reducer) fallbackReply(c *call) Reply {
	switch {
	case c.waiting:
		return Reply{Kind: Conflict}
	case len(c.attempts) > 0:
		return Reply{Kind: Failed}
	}
	return r.refusedReply()
}

// refusedReply is a refusal that the reducer decides on itself, with a retry hint if the settings allow one.
func (r *Reducer) refusedReply() Reply {
	if !r.cfg.RetryAfter {
		return Reply{Kind: Refused}
	}
	return Reply{Kind: Refused, RetryAfter: r.cfg.MaxRetryAfter / 2}
}

// repeatable reports whether a call may be tried again even though it has run.
func (r *Reducer) repeatable(c *call) bool {
	class := &r.cfg.Classes[c.Class]
	return class.Repeat == brain.Safe || class.Repeat == brain.Keyed && class.Scope == brain.ScopeAll
}
