package enginelab

import (
	"cmp"
	"container/heap"
	"time"
)

// clock is virtual time: what is due runs in order, and at the same moment in the order in which it was put in.
type clock struct {
	now      time.Duration
	due      dueEvents
	sequence int
}

type dueEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// after runs a function once the given time has passed.
func (c *clock) after(wait time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.due, dueEvent{at: c.now + max(0, wait), sequence: c.sequence, run: run})
}

// every runs a function now and after each further period.
func (c *clock) every(period time.Duration, run func()) {
	run()
	c.after(period, func() { c.every(period, run) })
}

// run plays until the end.
func (c *clock) run(end time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= end {
		next := heap.Pop(&c.due).(dueEvent)
		c.now = next.at
		next.run()
	}
	c.now = end
}

type dueEvents []dueEvent

func (d dueEvents) Len() int      { return len(d) }
func (d dueEvents) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d dueEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].sequence, d[j].sequence)) < 0
}
func (d *dueEvents) Push(x any) { *d = append(*d, x.(dueEvent)) }
func (d *dueEvents) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
