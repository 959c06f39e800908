package roster

import (
	"strings"
	"time"
)

// Connect says whether a connect to an app node, or a call's answer, came. A failure counts where the address was tried
// alone: refused, reset before a byte came back, or no answer in the time for connects.
func (r *Roster) Connect(now time.Duration, id string, ok bool) {
	r.advance(now)
	n := r.nodes[id]
	switch {
	case n == nil || n.told.State == Gone:
	case ok:
		n.lastOK = max(r.now, 1)
		if r.clearSuspicion(n) && !r.ours {
			r.note("suspect %s: it answers again", id)
		}
	case r.cfg.SuspectFails == 0:
	case n.failing > 0:
		if n.onTrial {
			n.onTrial = false
			n.pause = min(2*n.pause, r.cfg.TrialMost)
			r.setTrial(n, n.pause)
			r.touch(n)
		}
	default:
		if n.fails == 0 {
			n.failFrom = r.now
		}
		n.fails++
		if n.counted && n.fails >= r.cfg.SuspectFails && r.now-n.failFrom >= r.cfg.SuspectOver {
			r.failing = append(r.failing, n)
			n.failing, n.pause = len(r.failing), r.cfg.TrialFirst
			r.setTrial(n, n.pause)
			r.touch(n)
		}
	}
}

func (r *Roster) setTrial(n *node, after time.Duration) {
	n.trialAt = r.now + after
	r.at(n.trialAt, trialTurn, nil, n)
}

// turnTrial begins a trial, or ends one in which no connect was made: it tells nothing, so the pause stays.
func (r *Roster) turnTrial(m moment) {
	n := m.node
	if n.failing == 0 || n.trialAt != m.at {
		return
	}
	if n.onTrial = !n.onTrial && !r.ours; n.onTrial {
		r.setTrial(n, r.cfg.TrialFor)
	} else {
		r.setTrial(n, n.pause)
	}
	r.touch(n)
}

// clearSuspicion forgets all failures of a node, and says whether there was a suspicion.
func (r *Roster) clearSuspicion(n *node) bool {
	n.fails, n.onTrial, n.trialAt = 0, false, 0
	if n.failing == 0 {
		return false
	}
	last := r.failing[len(r.failing)-1]
	r.failing[n.failing-1], last.failing = last, n.failing
	r.failing[len(r.failing)-1] = nil
	r.failing = r.failing[:len(r.failing)-1]
	n.failing = 0
	r.touch(n)
	return true
}

// count keeps the number of nodes that are up by their sources' words.
func (r *Roster) count(n *node, up bool) {
	if n.counted == up {
		return
	}
	n.counted = up
	if up {
		r.listed++
		return
	}
	r.listed--
	r.clearSuspicion(n)
}

// suspectsMost is how many may be suspects together.
func (r *Roster) suspectsMost() int {
	if r.listed < 2 {
		return 0 // the only one
	}
	return max(1, int(r.cfg.SuspectShare*float64(r.listed)))
}

// weighFailing looks whether so many fail that it must be our own network: then nobody is a suspect.
func (r *Roster) weighFailing() {
	ours := len(r.failing) > r.suspectsMost()
	if ours == r.ours {
		return
	}
	r.ours, r.walk = ours, len(r.failing)
	if ours {
		r.note("suspects: connects to %d of %d app nodes fail; that is taken for our own network, and nobody is a suspect",
			len(r.failing), r.listed)
	} else {
		r.note("suspects: connects fail to %d of %d app nodes only; they are suspects again", len(r.failing), r.listed)
	}
}

// walkFailing has those that fail looked at after that has changed.
func (r *Roster) walkFailing(n int) {
	r.walk = min(r.walk, len(r.failing))
	for ; n > 0 && r.walk > 0; n-- {
		r.walk--
		f := r.failing[r.walk]
		if f.onTrial {
			f.onTrial = false
			r.setTrial(f, f.pause)
		}
		r.touch(f)
	}
}

// sayNames joins some names for a line.
func sayNames(names []string) string {
	const most = 3
	if len(names) > most {
		return strings.Join(names[:most], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}
