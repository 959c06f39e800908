package reducer

import (
	"slices"
	"strconv"
	"time"

	"pewterrudder/brain"
)

func (r *Reducer) send(c *call, a *brain.Action) {
	if c == nil {
		return
	}
	d := &delegation{call: c, attempt: len(c.delegations), server: a.Server, srv: r.servers[a.Server], sent: r.now}
	c.delegations = append(c.delegations, d)
	c.out++
	if c.over() || d.srv == nil || !slices.Contains(d.srv.pools, c.pool.index) || d.attempt >= r.cfg.MaxAttempts {
		r.end(d, brain.NeverSent, nil)
		return
	}
	if c.OneShot && slices.ContainsFunc(c.delegations, func(o *delegation) bool { return o.shot }) {
		if c.out == 1 { // nothing else is out, and nothing else can be sent
			r.answer(c, r.spent(c, Whole))
		}
		r.end(d, brain.NeverSent, nil)
		return
	}
	r.sentTo(d)
	r.place(d)
}

// place puts a delegation on the latest-used idle connection that has settled, else on the one that has rested for
// the longest, else on a new one.
func (r *Reducer) place(d *delegation) {
	if d.call.over() || d.srv.gone || r.tooLate(d) { // over, or nobody there, while a connection was being made
		r.end(d, brain.NeverSent, nil)
		return
	}
	for len(d.srv.idle) > 0 {
		at := len(d.srv.idle) - 1
		for at > 0 && r.now-d.srv.idle[at].idleSince < settleFor {
			at--
		}
		k := d.srv.idle[at]
		if r.now-k.idleSince >= r.idleFor() {
			r.close(k)
			continue
		}
		r.wake(k)
		r.exchange(k, d)
		return
	}
	if len(r.conns) >= r.budget && !r.closeOldest() {
		if r.now >= r.sayFullAt { // not once a call
			r.sayFullAt = r.now + time.Second
			r.emit(Log{"delegation: every connection of the descriptor budget is in use"})
		}
		d.ours = true
		r.end(d, brain.ConnectFailed, nil)
		return
	}
	r.lastConn++
	k := &conn{id: r.lastConn, srv: d.srv, state: dialing, delg: d}
	d.conn = k
	r.conns[k.id], d.srv.conns[k.id] = k, k
	r.emit(Dial{k.id, d.srv.address, r.cfg.ConnectTimeout})
}

// tooLate: what the module has decided must not go out any more. The decision came in time, but a connection can take long to
// make: a cut that is mended lets the handshake through at its next try. By then the time of the call may be over, though
// that stands behind this event; its app node may be draining for longer than is allowed; or the app nodes may have forgotten
// its key.
func (r *Reducer) tooLate(d *delegation) bool {
	if !d.call.open && r.now >= d.call.deadline || r.now > d.sent && r.draining(d.srv) { // what it decides now is its own
		return true
	}
	k := &r.cfg.Classes[d.call.Class]
	return k.Repeat == brain.Keyed && slices.ContainsFunc(d.call.delegations, func(o *delegation) bool {
		return o != d && o.asked > 0 && r.now-o.asked > k.Window-keyMargin
	})
}

// draining says that an app node has not been in service for so long that nothing may be sent to it any more. Half of the
// grace is left for what lies between: the word may have waited for us before we read it, and the call waits for its writer.
func (r *Reducer) draining(s *server) bool {
	return s.member.State != brain.Ready && r.now-s.leftAt >= r.cfg.Rules.DrainGrace/2
}

func (r *Reducer) exchange(k *conn, d *delegation) {
	k.state, k.delg, d.conn, d.asked = busy, d, k, r.now
	wait := d.call.deadline - r.now
	if d.shot = d.call.OneShot; d.shot {
		d.call.open, wait = true, d.call.wait // which the app node counts from the last byte, too
	}
	stall := r.stalls[d.call.Class].Wait()
	flows := flowStalls * stall
	if r.stallFixed == 0 {
		flows = max(flows, flowStallLeast)
	}
	r.emit(Exchange{k.id, d.call.Call, wait, stall, flows})
}

// spent is the answer to a call whose body is gone, so that nothing can be sent for it any more.
func (r *Reducer) spent(c *call, w Written) Reply {
	if w == Whole && !r.repeatable(c) {
		return Reply{Kind: Failed}
	}
	return r.refusal()
}

// abandon gives a delegation up: the app node sees its connection close. A dial goes on, for the pool.
func (r *Reducer) abandon(d *delegation) {
	if k := d.conn; k != nil {
		if k.state == busy || k.state == flowing {
			r.close(k)
		}
		k.delg, d.conn = nil, nil
	}
}

// end tells the node of the one end of a delegation.
func (r *Reducer) end(d *delegation, o brain.Outcome, report []float64) {
	c := d.call
	d.over = true
	if o == brain.NeverSent || o == brain.ConnectFailed || o == brain.Shed { // it never ran
		d.asked = 0
	}
	c.out--
	took := r.now - d.sent
	if d.begun > 0 {
		took = d.begun - d.sent
	}
	r.heardFrom(d, o, took, report)
	r.tell(c.pool, &brain.AttemptEnded{ID: c.brainID, Attempt: d.attempt, Server: d.server, Outcome: o,
		Took: took, Final: c.done, Report: report})
	r.forget(c)
}

// onFlowing commits a call to the one of its delegations that asks first. From here on the answer is the client's.
func (r *Reducer) onFlowing(e Flowing) {
	k := r.conns[e.Conn]
	if k == nil || k.state != busy {
		return
	}
	d := k.delg
	c := d.call
	if c.over() {
		r.abandon(d)
		r.end(d, brain.Cancelled, nil)
		return
	}
	kind := Served
	if e.Result == Unusable {
		kind, c.rejected = Rejected, true
	}
	k.state, c.flow, d.begun = flowing, d, r.now // it is counted by its end
	r.emit(Answer{c.ID, Reply{Kind: kind, Message: e.Message}})
	r.tell(c.pool, &brain.StreamBegun{ID: c.brainID, Attempt: d.attempt, Server: d.server, Took: r.now - d.sent})
}

func (r *Reducer) onExchanged(e Exchanged) {
	k := r.conns[e.Conn]
	if k == nil || k.state != busy && k.state != flowing {
		return
	}
	d, flowed := k.delg, k.state == flowing
	c := d.call
	k.delg, d.conn = nil, nil
	d.shot = d.shot && e.Spent
	if c.open && !d.shot {
		r.restart(c, c.came) // nothing of it has gone out
	}
	none := e.Result == Broke || e.Result == Stalled
	if !none && e.Reuse && e.Written == Whole {
		r.rest(k)
	} else {
		r.close(k)
	}
	if e.Result == Good {
		k.srv.answered = r.now
	} else if e.Result == Broke || e.Result == Stalled || e.Result == Errored {
		k.srv.failed = r.now
	}
	if e.Result == Stalled {
		r.stalls[c.Class].RanOut()
	} else if e.Pause > 0 && e.Result != Broke {
		r.stalls[c.Class].Whole(e.Pause)
	}
	if flowed {
		r.flowed(d, e)
		return
	}
	if none && e.Written == Nothing {
		// The app node closed an idle connection just before: no byte was sent, so this was no attempt.
		r.place(d)
		return
	}
	if e.Result == Left && e.Written == Nothing { // it was seen when the call was to be written, before ClientGone came here
		if !c.done {
			r.onClientGone(c)
		}
		if !d.over {
			r.end(d, brain.Cancelled, nil)
		}
		return
	}
	if d.shot && e.Result != Good && e.Result != Unusable && e.Result != NoRoom {
		w := e.Written
		if e.Result == Shed {
			w = Nothing
		}
		r.answer(c, r.spent(c, w))
	}
	switch {
	case none && e.Written == Partly:
		r.end(d, brain.ConnectFailed, nil)
	case none:
		r.end(d, brain.Dropped, nil)
	case e.Result == Good:
		r.answer(c, Reply{Kind: Served, Message: e.Message})
		r.end(d, brain.OK, e.Report)
	case e.Result == Shed:
		r.end(d, brain.Shed, e.Report)
	case e.Result == Unusable: // nothing that speaks for or against the app node
		c.rejected = true
		r.answer(c, Reply{Kind: Rejected, Message: e.Message})
		r.end(d, brain.Cancelled, e.Report)
	case e.Result == NoRoom: // ours is the fault, and another app node's answer would find no more room
		if r.repeatable(c) {
			r.answer(c, r.refusal())
		} else {
			r.answer(c, Reply{Kind: Failed})
		}
		r.end(d, brain.Cancelled, e.Report)
	case e.Result == Left: // the client did not send its whole body
		r.end(d, brain.Cancelled, nil)
	default:
		r.end(d, brain.AppError, e.Report)
	}
}

// flowed is the end of an answer that belonged to the client. Whether the client took it whole or saw it break off, the
// call is over. The time that the module hears of is the one up to the commit: from there on the client sets the pace.
func (r *Reducer) flowed(d *delegation, e Exchanged) {
	c := d.call
	c.done = true
	switch {
	case e.Result == Left:
		r.counts.Left++
		r.end(d, brain.Cancelled, e.Report)
	case c.rejected:
		r.counted(c, Rejected)
		r.end(d, brain.Cancelled, e.Report)
	case e.Result == Good:
		r.counted(c, Served)
		r.end(d, brain.OK, e.Report)
	default:
		r.counted(c, Failed)
		r.sayBroken(d, e)
		r.end(d, brain.Dropped, nil)
	}
	r.settle(c)
	r.forget(c)
}

// sayBroken tells the operator of answers that broke off, once a second at the most.
func (r *Reducer) sayBroken(d *delegation, e Exchanged) {
	if r.broken++; r.now < r.sayBrokenAt {
		return
	}
	why := "it stopped"
	if e.Err != nil {
		why = e.Err.Error()
	}
	r.emit(Log{"flow: " + strconv.Itoa(r.broken) + " answers broke off in their middle, the last from " + d.server + ": " + why})
	r.broken, r.sayBrokenAt = 0, r.now+sayBrokenEvery
}
