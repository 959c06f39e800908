package reducer

import (
	"time"

	"pewterrudder/brain"
)

func (r *Reducer) onDialed(e Dialed) {
	k := r.conns[e.Conn]
	if k == nil || k.state != dialing {
		return
	}
	d := k.delg
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
	case d != nil && !d.call.over():
		r.exchange(k, d)
	case d != nil: // its call ended while the connection was made: that is kept, and nothing is sent
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
	r.armSweep()
}

// close is the one place where a connection is given back.
func (r *Reducer) close(k *conn) {
	if k.state == idle {
		for i, o := range k.srv.idle {
			if o == k {
				k.srv.idle = append(k.srv.idle[:i], k.srv.idle[i+1:]...)
				break
			}
		}
	}
	k.state = closed
	delete(r.conns, k.id)
	delete(k.srv.conns, k.id)
	r.emit(Close{k.id})
}

// closeOldest makes room under the descriptor budget.
func (r *Reducer) closeOldest() bool {
	var oldest *conn
	for _, k := range r.conns {
		if k.state == idle && (oldest == nil || k.idleSince < oldest.idleSince ||
			k.idleSince == oldest.idleSince && k.id < oldest.id) {
			oldest = k
		}
	}
	if oldest == nil {
		return false
	}
	r.close(oldest)
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
	left := false
	for _, s := range r.ordered {
		for len(s.idle) > 0 && r.now-s.idle[0].idleSince >= r.idleFor() {
			r.close(s.idle[0])
		}
		left = left || len(s.idle) > 0
	}
	if left {
		r.armSweep()
	}
}
