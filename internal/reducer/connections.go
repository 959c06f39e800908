package reducer

import (
	"slices"
	"time"

	"pewterrudder/brain"
)

func (r *Reducer) onDialed(e Dialed) {
	k := r.conns[e.Conn]
	if k == nil || k.state != dialing {
		return
	}
	d := k.delg
	if !k.doomed { // one that has moved was tried where it is no more
		r.heardAt(k.srv, e.Err == nil)
		if e.Err != nil {
			k.srv.failed = r.now
		}
	}
	switch {
	case e.Err != nil:
		r.close(k)
		if d != nil {
			d.conn = nil
			r.end(d, brain.ConnectFailed, nil)
		}
	case k.doomed:
		r.close(k)
		if d != nil {
			r.place(d) // at the new address
		}
	case d != nil && !d.call.over() && !r.tooLate(d):
		r.exchange(k, d)
	case d != nil: // its time was over while the connection was made: that is kept, and nothing is sent
		d.conn = nil
		r.rest(k)
		r.end(d, brain.NeverSent, nil)
	default:
		r.rest(k)
	}
}

// rest puts a connection among the idle ones.
func (r *Reducer) rest(k *conn) {
	if k.doomed {
		r.close(k)
		return
	}
	k.state, k.idleSince, k.delg = idle, r.now, nil
	k.srv.idle = append(k.srv.idle, k)
	if k.older = r.newest; k.older != nil {
		k.older.newer = k
	} else {
		r.oldest = k
	}
	r.newest = k
	r.armSweep()
}

// wake takes a connection from among the idle ones.
func (r *Reducer) wake(k *conn) {
	if i := slices.Index(k.srv.idle, k); i >= 0 {
		k.srv.idle = slices.Delete(k.srv.idle, i, i+1)
	}
	if k.older != nil {
		k.older.newer = k.newer
	} else {
		r.oldest = k.newer
	}
	if k.newer != nil {
		k.newer.older = k.older
	} else {
		r.newest = k.older
	}
	k.older, k.newer = nil, nil
}

// close is the one place where a connection is given back.
func (r *Reducer) close(k *conn) {
	if k.state == idle {
		r.wake(k)
	}
	k.state = closed
	delete(r.conns, k.id)
	delete(k.srv.conns, k.id)
	r.emit(Close{k.id})
}

// closeOldest makes room under the descriptor budget.
func (r *Reducer) closeOldest() bool {
	if r.oldest == nil {
		return false
	}
	r.close(r.oldest)
	return true
}

// idleFor is how long an idle connection is worth keeping.
func (r *Reducer) idleFor() time.Duration {
	return r.cfg.IdleClose - min(idleMargin, r.cfg.IdleClose/4)
}

func (r *Reducer) armSweep() {
	if !r.sweeping {
		r.sweeping = true
		r.emit(Arm{min(sweepEvery, r.idleFor()), sweep{}})
	}
}

func (r *Reducer) onSweep() {
	r.sweeping = false
	for r.oldest != nil && r.now-r.oldest.idleSince >= r.idleFor() {
		r.close(r.oldest)
	}
	if r.oldest != nil {
		r.armSweep()
	}
}
