package brain

import "container/heap"

// Overdue attempts: second copies (hedging) and giving up.

// checkOverdue sends a second copy of each overdue request, and gives the request up once an answer is worth
// nothing. Without it a request that a server loses or hangs on would be noticed only at its deadline.
func (n *Node) checkOverdue() {
	for len(n.checks) > 0 {
		check := n.checks[0]
		r := check.request
		a := &r.attempts[check.attempt]
		ended := a.ended || r.done || r.streamed
		if !ended && check.due > n.now {
			break
		}
		heap.Pop(&n.checks)
		switch {
		case ended:
		case n.now > r.usefulUntil: // worthless, but still counted as load
			if a.overdue = true; n.classes[r.Class].Late <= 0 {
				n.refuseOrFail(r)
			}
		default:
			a.overdue = true
			n.scheduleCheck(overdueCheck{r, check.attempt, r.usefulUntil + 1})
			n.sendSecondCopy(r)
		}
	}
	if len(n.checks) > 0 {
		n.arm(&n.overdueArmed, overdueInterval, cookieOverdue)
	}
}

// scheduleCheck schedules the check of an attempt. Checks run in order of due time, not of scheduling.
func (n *Node) scheduleCheck(check overdueCheck) {
	heap.Push(&n.checks, check)
	n.arm(&n.overdueArmed, overdueInterval, cookieOverdue)
}

// sendSecondCopy sends another attempt while the first is in flight, if the budget and the class permit it.
// The first answer ends both.
func (n *Node) sendSecondCopy(r *request) {
	c := &n.classes[r.Class]
	if !n.cfg.SecondCopies || c.Repeat == Unsafe || n.repeatTokens < 1 ||
		len(r.attempts) >= n.cfg.MaxAttempts || n.now+seconds(c.mean/2) > r.usefulUntil {
		return
	}
	if s := n.pick(r); s != nil {
		n.repeatTokens--
		n.send(r, s)
	}
}
