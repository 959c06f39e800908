package reducer

import (
	"strconv"
	"time"

	"pewterrudder/brain"
)

func (r *Reducer) onArrived(in *Call) {
	// The node knows calls by numbers of ours: a client that sends the same id again, as it may after a
	// closed connection, must not meet what is left of the first.
	c := &call{Call: in, deadline: in.Deadline - answerMargin, came: r.now, wait: in.Deadline - r.now, brainID: strconv.FormatUint(in.ID, 10)}
	c.pool = r.poolOf(in)
	c.pool.open++
	r.places[c.Class].open++
	r.counts.Taken++
	r.calls[in.ID], r.byBrain[c.brainID] = c, c
	if first := r.byClient[c.ClientID]; first != nil {
		// Ids are fresh, so one of the two is a copy, and which of them is not told by the order in which we read
		// two sockets. The app node tells: it cannot use the copy. Until then the later one waits, since two
		// attempts with one id in two places, or a refusal of one that may have run, would be a duplicate.
		c.waiting = true
		first.behind = append(first.behind, c)
	} else if r.wasUsed(c.ClientID) {
		r.answer(c, Reply{Kind: Conflict})
		return
	} else if c.deadline <= r.now {
		r.answer(c, r.unserved(c))
		return
	} else if most := r.cap(c.pool); most > 0 && c.pool.open > most {
		r.answer(c, r.refusal())
		return
	}
	r.armDeadline(c)
	if !c.waiting {
		r.admit(c)
	}
}

// over says that a call has its answer, or its client has left: nothing may be sent for it any more.
func (c *call) over() bool { return c.done || c.flow != nil }

// admit hands a call to the node.
func (r *Reducer) admit(c *call) {
	c.waiting = false
	if c.ClientID != "" {
		r.byClient[c.ClientID] = c
	}
	first, later := r.boundOf(c)
	r.tell(c.pool, &brain.Request{First: first, Later: later, ID: c.brainID, Class: c.Class, Tenant: c.Tenant, Quota: c.Quota, Retry: c.Retry, Key: c.Key,
		Work: c.Work, Deadline: c.deadline, Upload: c.OneShot})
}

// settle frees the client's id of a call that is over. Those that wait behind it are copies, unless it was the
// copy itself: then the next takes its place.
func (r *Reducer) settle(c *call) {
	if r.byClient[c.ClientID] != c {
		return
	}
	delete(r.byClient, c.ClientID)
	behind := c.behind
	c.behind = nil
	if !c.rejected {
		r.remember(c.ClientID)
	}
	for i, next := range behind {
		switch {
		case next.done:
		case c.rejected:
			next.behind = behind[i+1:]
			r.admit(next)
			return
		default:
			r.answer(next, Reply{Kind: Conflict})
		}
	}
}

func (r *Reducer) remember(id string) {
	if r.now-r.usedFrom >= idKept || len(r.used[0]) >= idsMost {
		r.used[0], r.used[1], r.usedFrom = r.used[1], r.used[0], r.now
		clear(r.used[0])
	}
	r.used[0][id] = struct{}{}
}

func (r *Reducer) wasUsed(id string) bool {
	_, late := r.used[0][id]
	_, early := r.used[1][id]
	return late || early
}

// onClientGone: nothing is owed any more. What flows to the client is no business of the module's, so it ends here.
func (r *Reducer) onClientGone(c *call) {
	c.done = true
	r.counts.Left++
	r.tell(c.pool, &brain.ClientGone{ID: c.brainID})
	if d := c.flow; d != nil && !d.over {
		r.abandon(d)
		r.end(d, brain.Cancelled, nil)
	}
	r.settle(c)
	r.forget(c)
}

// onDeadline ends what is out, as the node expects at the deadline, and answers even if the node does not. An answer that
// flows is the client's since its first bytes, and goes on for as long as both sides do.
func (r *Reducer) onDeadline(id uint64) {
	c := r.calls[id]
	if c == nil {
		return
	}
	if c.open || r.now < c.deadline {
		return // the time of an upload does not run yet, or has begun anew
	}
	for _, d := range c.delegations {
		if !d.over && d != c.flow {
			r.abandon(d)
			r.end(d, brain.TimedOut, nil)
		}
	}
	if c.flow != nil && !c.done {
		return
	}
	if !c.done { // held by the node, or forgotten
		r.answer(c, r.unserved(c))
		r.tell(c.pool, &brain.ClientGone{ID: c.brainID})
	}
	r.settle(c)
	r.forget(c)
}

// onUploaded: the last byte of a body has come, and the time of its call counts from there.
func (r *Reducer) onUploaded(c *call, last time.Duration) {
	if !c.open {
		return
	}
	for _, d := range c.delegations {
		if !d.over {
			d.sent = r.now
		}
	}
	r.restart(c, max(last, c.came))
	r.tell(c.pool, &brain.Uploaded{ID: c.brainID, Deadline: c.deadline})
}

// restart has the time of an upload run from a moment on.
func (r *Reducer) restart(c *call, from time.Duration) {
	c.open, c.deadline = false, from+c.wait-answerMargin
	r.armDeadline(c)
}

func (r *Reducer) armDeadline(c *call) {
	r.emit(Arm{max(0, c.deadline-r.now), deadline{c.ID}})
}

// answer gives the final answer; the first wins.
func (r *Reducer) answer(c *call, reply Reply) {
	if c == nil || c.over() {
		return
	}
	c.done = true
	r.counted(c, reply.Kind)
	r.emit(Answer{c.ID, reply})
	r.settle(c)
	r.forget(c)
}

func (r *Reducer) forget(c *call) {
	if c.done && c.out == 0 && r.calls[c.ID] == c {
		delete(r.calls, c.ID)
		delete(r.byBrain, c.brainID)
		r.places[c.Class].open--
		c.pool.open--
		r.free(c.pool)
	}
}

// unserved is the answer where the node has none: a refusal as long as nothing was sent, since then trying
// again is harmless whatever the class.
func (r *Reducer) unserved(c *call) Reply {
	switch {
	case c.waiting:
		return Reply{Kind: Conflict}
	case len(c.delegations) > 0:
		return Reply{Kind: Failed}
	}
	return r.refusal()
}

// refusal is one of the reducer's own, with its advice.
func (r *Reducer) refusal() Reply {
	if !r.cfg.RetryAfter {
		return Reply{Kind: Refused}
	}
	return Reply{Kind: Refused, After: r.cfg.MaxRetryAfter / 2}
}

// repeatable says that a call may be tried again though it has run.
func (r *Reducer) repeatable(c *call) bool {
	class := &r.cfg.Classes[c.Class]
	return class.Repeat == brain.Safe || class.Repeat == brain.Keyed && class.Scope == brain.ScopeAll
}
