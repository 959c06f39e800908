package roster

import "time"

// timerKind is what happens when a timer fires.
type timerKind uint8

const (
	holdTimer  timerKind = iota // the hold of a report's drain or removal expires
	trialTimer                  // a node's trial begins, or ends without a connect
)

// timer is an action due at a time. Timers are not cancelled: fire checks whether the timer still applies.
type timer struct {
	at     time.Duration
	seq    uint64 // orders timers due at the same time by when they were set
	kind   timerKind
	report *report
	node   *node
}

// timerQueue is a min-heap of timers by due time. container/heap would allocate for each timer.
type timerQueue []timer

func (q timerQueue) less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}

// schedule adds a timer for a report or a node.
func (r *Roster) schedule(t time.Duration, kind timerKind, rep *report, n *node) {
	r.seq++
	r.timers = append(r.timers, timer{t, r.seq, kind, rep, n})
	q := r.timers
	for i := len(q) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			break
		}
		q[i], q[parent] = q[parent], q[i]
		i = parent
	}
}

// pop removes and returns the earliest timer.
func (q *timerQueue) pop() timer {
	h := *q
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], timer{}
	h = h[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < last && h.less(child+1, child) {
			child++
		}
		if child >= last || !h.less(child, i) {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	*q = h
	return first
}

// fire runs a timer that is due.
func (r *Roster) fire(m timer) {
	switch {
	case m.kind == trialTimer:
		r.toggleTrial(m)
	case m.report.source.byID[m.report.node.id] != m.report || m.report.holdUntil != m.at:
		// reported again since then, or deleted
	case m.report.entry.State == Gone:
		r.deleteReport(m.report)
	case m.report.overruled:
		m.report.overruled, m.report.endRev, m.report.endedStart = false, 0, 0
		r.markDirty(m.report.node)
	}
}
