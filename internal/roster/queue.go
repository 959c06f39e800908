package roster

import "time"

// what a moment is for.
type errand uint8

const (
	holdEnds  errand = iota // of a word
	trialTurn               // of a node: its trial begins, or ends without a connect
)

// moment is an errand at its time. What it was set for may have changed since; fall looks.
type moment struct {
	at   time.Duration
	seq  uint64 // of two at one time, the first that was set
	what errand
	word *word
	node *node
}

// queue is a heap of moments, the earliest first. container/heap would allocate for each.
type queue []moment

func (q queue) less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}

func (r *Roster) at(t time.Duration, what errand, w *word, n *node) {
	r.seq++
	r.due = append(r.due, moment{t, r.seq, what, w, n})
	q := r.due
	for i := len(q) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.less(i, up) {
			break
		}
		q[i], q[up] = q[up], q[i]
		i = up
	}
}

func (q *queue) pop() moment {
	h := *q
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], moment{}
	h = h[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down+1 < last && h.less(down+1, down) {
			down++
		}
		if down >= last || !h.less(down, i) {
			break
		}
		h[i], h[down] = h[down], h[i]
		i = down
	}
	*q = h
	return first
}

// fall carries out a moment that has come.
func (r *Roster) fall(m moment) {
	switch {
	case m.what == trialTurn:
		r.turnTrial(m)
	case m.word.source.byID[m.word.node.id] != m.word || m.word.until != m.at:
		// told anew since, or gone from the state
	case m.word.entry.State == Gone:
		r.forget(m.word)
	case m.word.held:
		m.word.held = false
		r.touch(m.word.node)
	}
}
