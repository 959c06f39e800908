package roster

import (
	"strings"
	"time"
)

// Connect records whether a connect to an app node, or a call to it, succeeded. A failure must concern that address alone:
// connection refused, reset before the first byte of a response, or no answer within the connect timeout.
func (r *Roster) Connect(now time.Duration, id string, ok bool) {
	r.advance(now)
	n := r.nodes[id]
	switch {
	case n == nil || n.published.State == Gone:
	case ok:
		n.lastOK = max(r.now, 1)
		if r.clearSuspicion(n) && !r.localFault {
			r.note("suspect %s: it answers again", id)
		}
	case r.cfg.SuspectFails == 0:
	case n.failingPos > 0:
		if n.onTrial {
			n.onTrial = false
			n.trialPause = min(2*n.trialPause, r.cfg.TrialMost)
			r.scheduleTrial(n, n.trialPause)
			r.markDirty(n)
		}
	default:
		if n.failures == 0 {
			n.failingSince = r.now
		}
		n.failures++
		if n.countedUp && n.failures >= r.cfg.SuspectFails && r.now-n.failingSince >= r.cfg.SuspectOver {
			r.failing = append(r.failing, n)
			n.failingPos, n.trialPause = len(r.failing), r.cfg.TrialFirst
			r.scheduleTrial(n, n.trialPause)
			r.markDirty(n)
		}
	}
}

// scheduleTrial sets the time at which the trial of a node next begins or ends.
func (r *Roster) scheduleTrial(n *node, after time.Duration) {
	n.trialAt = r.now + after
	r.schedule(n.trialAt, trialTimer, nil, n)
}

// toggleTrial begins a trial, or ends one in which no connect was made. The latter is no evidence, so the pause stays.
func (r *Roster) toggleTrial(m timer) {
	n := m.node
	if n.failingPos == 0 || n.trialAt != m.at {
		return
	}
	if n.onTrial = !n.onTrial && !r.localFault; n.onTrial {
		r.scheduleTrial(n, r.cfg.TrialFor)
	} else {
		r.scheduleTrial(n, n.trialPause)
	}
	r.markDirty(n)
}

// clearSuspicion clears the failures of a node, and reports whether it was failing.
func (r *Roster) clearSuspicion(n *node) bool {
	n.failures, n.onTrial, n.trialAt = 0, false, 0
	if n.failingPos == 0 {
		return false
	}
	last := r.failing[len(r.failing)-1]
	r.failing[n.failingPos-1], last.failingPos = last, n.failingPos
	r.failing[len(r.failing)-1] = nil
	r.failing = r.failing[:len(r.failing)-1]
	n.failingPos = 0
	r.markDirty(n)
	return true
}

// setCountedUp maintains upCount, the number of nodes that are up by their sources' reports.
func (r *Roster) setCountedUp(n *node, up bool) {
	if n.countedUp == up {
		return
	}
	n.countedUp = up
	if up {
		r.upCount++
		return
	}
	r.upCount--
	r.clearSuspicion(n)
}

// maxSuspects is how many nodes may be suspects at the same time.
func (r *Roster) maxSuspects() int {
	if r.upCount < 2 {
		return 0 // never suspect the only node
	}
	return max(1, int(r.cfg.SuspectShare*float64(r.upCount)))
}

// updateLocalFault checks whether more nodes fail than maxSuspects. Then the local network is assumed to be at fault, and
// no node is a suspect.
func (r *Roster) updateLocalFault() {
	ours := len(r.failing) > r.maxSuspects()
	if ours == r.localFault {
		return
	}
	r.localFault, r.failingLeft = ours, len(r.failing)
	if ours {
		r.note("suspects: connects to %d of %d app nodes fail; that is taken for our own network, and nobody is a suspect",
			len(r.failing), r.upCount)
	} else {
		r.note("suspects: connects fail to %d of %d app nodes only; they are suspects again", len(r.failing), r.upCount)
	}
}

// recheckFailing marks up to n failing nodes dirty after localFault changed.
func (r *Roster) recheckFailing(n int) {
	r.failingLeft = min(r.failingLeft, len(r.failing))
	for ; n > 0 && r.failingLeft > 0; n-- {
		r.failingLeft--
		f := r.failing[r.failingLeft]
		if f.onTrial {
			f.onTrial = false
			r.scheduleTrial(f, f.trialPause)
		}
		r.markDirty(f)
	}
}

// joinNames joins the first names for a log line.
func joinNames(names []string) string {
	const most = 3
	if len(names) > most {
		return strings.Join(names[:most], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}
