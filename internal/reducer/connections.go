package reducer

import (
	"slices"
	"time"

	"pewterrudder/brain"
)

func (r *Reducer) onDialed(e Dialed) {
	cn := r.conns[e.Conn]
	if cn == nil || cn.state != dialing {
		return
	}
	att := cn.attempt
	if !cn.closeWhenDone { // otherwise the dial went to an outdated address and says nothing about the app node
		r.reportConnect(cn.srv, e.Err == nil)
		if e.Err != nil {
			cn.srv.lastFailure = r.now
		}
	}
	switch {
	case e.Err != nil:
		r.close(cn)
		if att != nil {
			att.conn = nil
			r.endAttempt(att, brain.ConnectFailed, nil)
		}
	case cn.closeWhenDone:
		r.close(cn)
		if att != nil {
			r.dispatch(att) // at the new address
		}
	case att != nil && !att.call.noMoreAttempts() && !r.tooLate(att):
		r.exchange(cn, att)
	case att != nil: // the call expired during the dial: the connection is kept, and nothing is sent
		att.conn = nil
		r.putIdle(cn)
		r.endAttempt(att, brain.NeverSent, nil)
	default:
		r.putIdle(cn)
	}
}

// putIdle adds a connection to the idle ones.
func (r *Reducer) putIdle(cn *conn) {
	if cn.closeWhenDone {
		r.close(cn)
		return
	}
	cn.state, cn.idleSince, cn.attempt = idle, r.now, nil
	cn.srv.idle = append(cn.srv.idle, cn)
	if cn.older = r.newestIdle; cn.older != nil {
		cn.older.newer = cn
	} else {
		r.oldestIdle = cn
	}
	r.newestIdle = cn
	r.armSweep()
}

// takeIdle removes a connection from the idle ones.
func (r *Reducer) takeIdle(cn *conn) {
	if i := slices.Index(cn.srv.idle, cn); i >= 0 {
		cn.srv.idle = slices.Delete(cn.srv.idle, i, i+1)
	}
	if cn.older != nil {
		cn.older.newer = cn.newer
	} else {
		r.oldestIdle = cn.newer
	}
	if cn.newer != nil {
		cn.newer.older = cn.older
	} else {
		r.newestIdle = cn.older
	}
	cn.older, cn.newer = nil, nil
}

// close is the only place where a connection is released.
func (r *Reducer) close(cn *conn) {
	if cn.state == idle {
		r.takeIdle(cn)
	}
	cn.state = closed
	delete(r.conns, cn.id)
	delete(cn.srv.conns, cn.id)
	r.emit(Close{cn.id})
}

// closeOldestIdle makes room in the connection budget. It reports whether there was an idle connection to close.
func (r *Reducer) closeOldestIdle() bool {
	if r.oldestIdle == nil {
		return false
	}
	r.close(r.oldestIdle)
	return true
}

// idleLimit is how long an idle connection is kept and used.
func (r *Reducer) idleLimit() time.Duration {
	return r.cfg.IdleClose - min(idleMargin, r.cfg.IdleClose/4)
}

func (r *Reducer) armSweep() {
	if !r.idleSweepArmed {
		r.idleSweepArmed = true
		r.emit(StartTimer{min(idleSweepInterval, r.idleLimit()), idleSweepTimer{}})
	}
}

func (r *Reducer) onSweep() {
	r.idleSweepArmed = false
	for r.oldestIdle != nil && r.now-r.oldestIdle.idleSince >= r.idleLimit() {
		r.close(r.oldestIdle)
	}
	if r.oldestIdle != nil {
		r.armSweep()
	}
}
